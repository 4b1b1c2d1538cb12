package archive

import (
	"context"
	"errors"
	"slices"
	"time"

	"sagevale/internal/storage"
)

const (
	// listLimit is how many pages one request reads at the most, by the protocol.
	listLimit = 1000
	// refreshPause is the least pause between two steps of a refresh, in durations of one step.
	refreshPause = 10
	// staleRefreshes is for how many refresh intervals changes are requested: beyond that the
	// answer could be larger than all pages, and they are loaded again.
	staleRefreshes = 8
)

// load is the state of reading all pages, which takes several steps.
type load struct {
	cursor   string // key of the last page that was read; empty: none
	revision uint64 // of the store when the load began
	seen     map[JobNumber]bool
}

// refresh does one step of bringing the index up to date: it reads the next pages of a load, or the
// changes since the last refresh.
func (a *Archiver) refresh(ctx context.Context) {
	began := time.Now()
	if a.load == nil && a.isStale(began) {
		a.load = &load{}
	}
	var err error
	switch {
	case a.load != nil || !a.Index.current.Load().complete:
		err = a.loadNext(ctx)
	case a.exact():
		// Only this controller writes, so it knows all changes.
		a.nextRefresh = time.Time{}
		return
	default:
		err = a.readChanges(ctx)
	}
	pause := refreshPause * time.Since(began)
	switch {
	case errors.Is(err, storage.ErrCompacted):
		a.load = &load{}
	case err != nil:
		a.log.Debug("archive refresh failed", "error", err)
		pause = max(pause, a.settings.RequestTimeout)
	case a.load == nil && a.leadership == nil:
		pause = max(pause, a.settings.RefreshInterval)
	}
	a.nextRefresh = time.Now().Add(pause)
}

// isStale reports whether the index is too old for its changes to be requested.
func (a *Archiver) isStale(now time.Time) bool {
	return !a.exact() && now.Sub(a.refreshed) > staleRefreshes*a.settings.RefreshInterval
}

// loadNext reads the next pages of a load. What has changed since it began is read by the refreshes
// that follow it.
func (a *Archiver) loadNext(ctx context.Context) error {
	if a.load == nil {
		a.load = &load{}
	}
	ctx, cancel := a.withTimeout(ctx)
	defer cancel()
	items, more, revision, err := a.store.List(ctx, prefix, a.load.cursor, listLimit)
	if err != nil {
		return err
	}
	if a.load.cursor == "" {
		a.load.revision, a.load.seen = revision, make(map[JobNumber]bool)
	}
	pages := a.decodePages(items, 0)
	for _, p := range pages {
		a.load.seen[p.upper] = true
	}
	a.Index.put(pages)
	if more && len(items) > 0 {
		a.load.cursor = items[len(items)-1].Key
		return nil
	}
	a.finishLoad()
	return nil
}

// finishLoad removes the pages from the index that the load hasn't seen.
func (a *Archiver) finishLoad() {
	a.Index.edit(func(s *snapshot) {
		s.pages = slices.DeleteFunc(s.pages, func(p *cachedPage) bool { return !a.load.seen[p.upper] })
		s.complete = true
	})
	a.revision, a.refreshed = a.load.revision, time.Now()
	a.load = nil
}

// readChanges applies the changes since the last refresh. If they are read in this controller's
// term the index is exact: no other controller writes pages any longer.
func (a *Archiver) readChanges(ctx context.Context) error {
	ctx, cancel := a.withTimeout(ctx)
	defer cancel()
	changes, revision, err := a.store.Watch(ctx, prefix, a.revision, 0)
	if err != nil {
		return err
	}
	isRemoval := func(item storage.Item) bool { return item.Data == nil }
	a.Index.put(a.decodePages(slices.DeleteFunc(slices.Clone(changes), isRemoval), 0))
	for _, item := range changes {
		if upper, err := upperOf(item.Key); err == nil && isRemoval(item) {
			a.Index.remove(upper, item.Version)
		}
	}
	a.revision, a.refreshed = max(a.revision, revision), time.Now()
	if a.leadership != nil {
		a.Index.edit(func(s *snapshot) { s.term = a.leadership.Term })
	}
	return nil
}

// decodePages returns the pages of stored items. Damage is logged; what has no page's key is left
// out.
func (a *Archiver) decodePages(items []storage.Item, term uint64) []*cachedPage {
	pages := make([]*cachedPage, 0, len(items))
	for _, item := range items {
		page, err := newCachedPage(item, term)
		if err != nil {
			a.report(err)
		}
		if page != nil {
			pages = append(pages, page)
		}
	}
	return pages
}
