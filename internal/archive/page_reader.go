package archive

import (
	"context"
	"errors"
	"slices"
	"time"

	"sagevale/internal/storage"
)

// refresh does one step of bringing the index up to date: the next pages of a load, or the changes
// since.
func (k *Archiver) refresh(ctx context.Context) {
	began := time.Now()
	if !k.exact() && began.Sub(k.caughtUp) > staleRefreshes*k.settings.Refresh {
		k.loading = true
	}
	var err error
	switch {
	case k.loading || !k.Index.current.Load().complete:
		err = k.load(ctx)
	case k.exact():
		// Only this controller writes, so nothing changes that it doesn't know of.
		k.wake = time.Time{}
		return
	default:
		err = k.catchUp(ctx)
	}
	rest := loadRest * time.Since(began)
	switch {
	case errors.Is(err, storage.ErrCompacted):
		k.loading, k.cursor = true, ""
	case err != nil:
		k.log.Debug("archive not read", "err", err)
		rest = max(rest, k.settings.CallTime)
	case !k.loading && k.lead == nil:
		rest = max(rest, k.settings.Refresh)
	}
	k.wake = time.Now().Add(rest)
}

// load reads the next pages; after the last one changes are looked for that came meanwhile.
func (k *Archiver) load(ctx context.Context) error {
	cctx, cancel := k.call(ctx)
	defer cancel()
	items, more, revision, err := k.svc.List(cctx, prefix, k.cursor, loadPages)
	if err != nil {
		return err
	}
	if !k.loading || k.cursor == "" {
		k.loading, k.loadedFrom, k.seen = true, revision, make(map[JobNumber]bool)
	}
	pages := k.hold(items, 0)
	for _, p := range pages {
		k.seen[p.upper] = true
	}
	k.Index.put(pages)
	if more && len(items) > 0 {
		k.cursor = items[len(items)-1].Key
		return nil
	}
	k.Index.edit(func(s *snapshot) {
		s.pages = slices.DeleteFunc(s.pages, func(p *heldPage) bool { return !k.seen[p.upper] })
		s.complete = true
	})
	k.loading, k.cursor, k.seen = false, "", nil
	k.revision, k.caughtUp = k.loadedFrom, time.Now()
	return nil
}

// hold makes held pages of stored ones; what is no page at all is named and left out.
func (k *Archiver) hold(items []storage.Item, term uint64) []*heldPage {
	pages := make([]*heldPage, 0, len(items))
	for _, it := range items {
		page, err := hold(it, term)
		if err != nil {
			k.report(err)
		}
		if page != nil {
			pages = append(pages, page)
		}
	}
	return pages
}

// catchUp takes in the changes since the last look. If it was begun in this term, the index is exact then: no other
// controller writes pages any longer.
func (k *Archiver) catchUp(ctx context.Context) error {
	cctx, cancel := k.call(ctx)
	defer cancel()
	changes, revision, err := k.svc.Watch(cctx, prefix, k.revision, 0)
	if err != nil {
		return err
	}
	isRemoval := func(it storage.Item) bool { return it.Data == nil }
	k.Index.put(k.hold(slices.DeleteFunc(slices.Clone(changes), isRemoval), 0))
	for _, it := range changes {
		if upper, err := upperOf(it.Key); err == nil && isRemoval(it) {
			k.Index.remove(upper, it.Version)
		}
	}
	k.revision, k.caughtUp = max(k.revision, revision), time.Now()
	if k.lead != nil {
		k.Index.edit(func(s *snapshot) { s.term = k.lead.Term })
	}
	return nil
}

// question asks for one job's page to be read.
type question struct {
	ctx   context.Context // ends when nobody waits for the answer any longer
	rank  JobNumber
	reply chan answer
}

type answer struct {
	result Result
	err    error
}

// Read tells what is known of a job after its page was read, if that is needed. Where too much is asked it fails at once.
func (k *Archiver) Read(ctx context.Context, rank JobNumber) (Result, error) {
	q := question{ctx, rank, make(chan answer, 1)}
	if err := k.ask(q); err != nil {
		return Result{}, err
	}
	select {
	case a := <-q.reply:
		return a.result, a.err
	case <-ctx.Done():
		return Result{}, ctx.Err()
	}
}

func (q question) serve(ctx context.Context, k *Archiver) {
	if q.ctx.Err() != nil {
		return
	}
	result, err := k.readPage(ctx, q.rank)
	q.reply <- answer{result, err}
}

// readPage looks a job up, and reads its page unless what is held is exact.
func (k *Archiver) readPage(ctx context.Context, rank JobNumber) (Result, error) {
	held := k.Index.Lookup(rank)
	if held.Knowledge == Found || k.lead == nil || held.Knowledge == Absent && held.Term == k.lead.Term {
		return held, nil
	}
	k.applyLimits()
	if !k.reads.Allow() {
		return Result{}, ErrBusy
	}
	cctx, cancel := k.call(ctx)
	defer cancel()
	// The first page whose range doesn't end before the rank.
	items, _, _, err := k.svc.List(cctx, prefix, pageKey(rank-1), 1)
	switch {
	case err != nil:
		return Result{}, err
	case len(items) == 0:
		// None at all: only the whole of the archive tells whether that may be.
		return Result{}, ErrIncomplete
	}
	pages := k.hold(items, k.lead.Term)
	k.Index.put(pages)
	if len(pages) == 0 || pages[0].damaged || rank <= pages[0].lower {
		return Result{Knowledge: Damaged, Key: items[0].Key}, nil // or the page before it is missing
	}
	return pages[0].lookup(rank, 0), nil
}
