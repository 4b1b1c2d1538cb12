package archive

import (
	"context"
	"errors"
	"slices"
	"time"

	"sagevale/internal/storage"
)

const (
	// maxListedPages is the protocol's limit on the number of items that one request lists.
	maxListedPages = 1000
	// refreshPauseFactor is the minimum pause after a call of refresh, as a multiple of the duration of
	// that call.
	refreshPauseFactor = 10
	// maxMissedRefreshes is the number of refresh intervals without a completed refresh after which the
	// Archiver reads all pages again. The changes since the last refresh could then be larger than all
	// pages.
	maxMissedRefreshes = 8
)

// fullLoad is the progress of a full load, which reads all pages with several requests.
type fullLoad struct {
	cursor   string             // key of the last page that was read; empty: none was read
	revision uint64             // revision of the store when the load began
	seen     map[JobNumber]bool // upper ends of the pages that were read
}

// refresh brings the index closer to the store. During a full load, it reads the next pages; otherwise it
// reads the changes since the last refresh. It then schedules the next refresh, unless the index
// was already exact.
func (a *Archiver) refresh(ctx context.Context) {
	began := time.Now()
	if a.loadState == nil && a.isStale(began) {
		a.loadState = &fullLoad{}
	}
	var err error
	switch {
	case a.loadState != nil || !a.Index.current.Load().complete:
		err = a.loadNextPages(ctx)
	case a.indexIsExact():
		// Only this controller writes pages, and it applies its own writes to the index.
		a.nextRefresh = time.Time{}
		return
	default:
		err = a.readChanges(ctx)
	}
	pause := refreshPauseFactor * time.Since(began)
	switch {
	case errors.Is(err, storage.ErrCompacted):
		a.loadState = &fullLoad{}
	case err != nil:
		a.log.Debug("archive refresh failed", "error", err)
		pause = max(pause, a.settings.RequestTimeout)
	case a.loadState == nil && a.leadership == nil:
		pause = max(pause, a.settings.RefreshInterval)
	}
	a.nextRefresh = time.Now().Add(pause)
}

// isStale reports whether the index is so outdated that all pages have to be read again.
func (a *Archiver) isStale(now time.Time) bool {
	return !a.indexIsExact() && now.Sub(a.refreshedAt) > maxMissedRefreshes*a.settings.RefreshInterval
}

// loadNextPages reads the next pages of a full load. The refreshes after the load read the changes that
// were made since the load began.
func (a *Archiver) loadNextPages(ctx context.Context) error {
	if a.loadState == nil {
		a.loadState = &fullLoad{}
	}
	ctx, cancel := a.withTimeout(ctx)
	defer cancel()
	items, more, revision, err := a.store.List(ctx, pagePrefix, a.loadState.cursor, maxListedPages)
	if err != nil {
		return err
	}
	if a.loadState.cursor == "" {
		a.loadState.revision, a.loadState.seen = revision, make(map[JobNumber]bool)
	}
	pages := a.decodePages(items, 0)
	for _, p := range pages {
		a.loadState.seen[p.upper] = true
	}
	a.Index.put(pages)
	if more && len(items) > 0 {
		a.loadState.cursor = items[len(items)-1].Key
		return nil
	}
	a.finishLoad()
	return nil
}

// finishLoad ends a full load. It removes each page from the index that wasn't read by the load.
func (a *Archiver) finishLoad() {
	a.Index.update(func(s *snapshot) {
		s.pages = slices.DeleteFunc(s.pages, func(p *cachedPage) bool { return !a.loadState.seen[p.upper] })
		s.complete = true
	})
	a.refreshRevision, a.refreshedAt = a.loadState.revision, time.Now()
	a.loadState = nil
}

// readChanges reads the changes since the last refresh and applies them to the index. If this controller
// is the leader, the index is then exact for its term, because no other controller can write pages
// any more.
func (a *Archiver) readChanges(ctx context.Context) error {
	ctx, cancel := a.withTimeout(ctx)
	defer cancel()
	changes, revision, err := a.store.Watch(ctx, pagePrefix, a.refreshRevision, 0)
	if err != nil {
		return err
	}
	isRemoval := func(item storage.Item) bool { return item.Data == nil }
	a.Index.put(a.decodePages(slices.DeleteFunc(slices.Clone(changes), isRemoval), 0))
	for _, item := range changes {
		if upper, err := parsePageKey(item.Key); err == nil && isRemoval(item) {
			a.Index.remove(upper, item.Version)
		}
	}
	a.refreshRevision, a.refreshedAt = max(a.refreshRevision, revision), time.Now()
	if a.leadership != nil {
		a.Index.update(func(s *snapshot) { s.term = a.leadership.Term })
	}
	return nil
}

// decodePages decodes stored items. term is the term for which the pages are exact, or 0. decodePages logs
// damaged items, and omits items whose key isn't a page key.
func (a *Archiver) decodePages(items []storage.Item, term uint64) []*cachedPage {
	pages := make([]*cachedPage, 0, len(items))
	for _, item := range items {
		page, err := newCachedPage(item, term)
		if err != nil {
			a.logError(err)
		}
		if page != nil {
			pages = append(pages, page)
		}
	}
	return pages
}
