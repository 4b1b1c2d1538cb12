package archive

import (
	"context"
	"time"
)

// A withdrawal moves the jobs back to where they came from, page by page: the leader reads the first
// page, makes its jobs durable elsewhere, and removes the page. The next leader continues with the
// pages that are left.

// Count returns how many jobs are archived, where each damaged page counts as one. It includes all
// jobs that were archived before. It fails with ErrIncomplete unless the index is exact.
func (a *Archiver) Count(ctx context.Context) (int, error) {
	return callExact(ctx, a, func(context.Context) (int, error) {
		stats := a.Index.Stats()
		return stats.Jobs + stats.Damaged, nil
	})
}

// FirstPage returns the first page, or one without a range if there is none. It fails with
// ErrIncomplete unless the index is exact, and with a DamagedError if the page can't be decoded.
func (a *Archiver) FirstPage(ctx context.Context) (Page, error) {
	return callExact(ctx, a, a.firstPage)
}

func (a *Archiver) firstPage(ctx context.Context) (Page, error) {
	pages := a.Index.current.Load().pages
	if len(pages) == 0 {
		return Page{}, nil
	}
	if pages[0].damaged {
		return Page{}, &DamagedError{Key: pages[0].key, Reason: "its jobs can't be brought back"}
	}
	return a.pageOf(ctx, pages[0])
}

// DropFirstPage removes the first page, whose jobs must be durable elsewhere, if its range ends with
// upper. The next page takes over its range, so that no range is without a page. If the budget
// allows no changes yet it does nothing: the caller looks at the first page again.
func (a *Archiver) DropFirstPage(ctx context.Context, upper JobNumber) error {
	_, err := callExact(ctx, a, func(ctx context.Context) (struct{}, error) {
		return struct{}{}, a.dropFirstPage(ctx, upper)
	})
	return err
}

// dropChanges is how many changes the removal of a page takes.
const dropChanges = 2

func (a *Archiver) dropFirstPage(ctx context.Context, upper JobNumber) error {
	limits := a.applyLimits()
	pages := a.Index.current.Load().pages
	if len(pages) == 0 || pages[0].upper != upper || !a.writes.AllowN(time.Now(), dropChanges) {
		return nil
	}
	if len(pages) == 1 {
		return a.replace(ctx, replacement{old: pages[0]})
	}
	if pages[1].damaged {
		return &DamagedError{Key: pages[1].key, Reason: "it can't take over the range before it"}
	}
	next, err := a.pageOf(ctx, pages[1])
	if err != nil {
		return err
	}
	next.Lower = pages[0].lower
	return a.replace(ctx, replacement{old: pages[1], neighbour: pages[0], pages: split(next, maxPageBytes(&limits))})
}

// callExact has the archiver's goroutine call f if the index is exact then.
func callExact[T any](ctx context.Context, a *Archiver, f func(context.Context) (T, error)) (T, error) {
	replies := make(chan reply[T], 1)
	return call(ctx, a, replies, func(serving context.Context) {
		if !a.exact() {
			replies <- reply[T]{err: ErrIncomplete}
			return
		}
		replies <- replyOf(f(serving))
	})
}
