package archive

import (
	"context"
	"time"
)

// Withdrawing the archive moves all jobs back into the journal, page by page: the leader reads the first
// page, makes its jobs durable in the journal, and removes the page. After a failover the next leader
// continues with the remaining pages.

// Count returns how many jobs are archived, and counts each damaged page as one job. It includes all
// jobs that were archived before the call. It fails with ErrIncomplete unless this controller is the
// leader and the index is exact for its term (see the package comment).
func (a *Archiver) Count(ctx context.Context) (int, error) {
	return callIfExact(ctx, a, func(context.Context) (int, error) {
		stats := a.Index.Stats()
		return stats.Jobs + stats.Damaged, nil
	})
}

// FirstPage returns the first page, or a Page with Upper 0 if the archive has no pages. It fails with
// ErrIncomplete under the same conditions as Count, and with a DamagedError if the page can't be decoded.
func (a *Archiver) FirstPage(ctx context.Context) (Page, error) {
	return callIfExact(ctx, a, a.firstPage)
}

func (a *Archiver) firstPage(ctx context.Context) (Page, error) {
	pages := a.Index.current.Load().pages
	if len(pages) == 0 {
		return Page{}, nil
	}
	if pages[0].damaged {
		return Page{}, &DamagedError{Key: pages[0].key, Reason: "its jobs can't be restored"}
	}
	return a.pageWithEntries(ctx, pages[0])
}

// DropFirstPage removes the first page if the upper end of this page is upper. The page's jobs must be
// durable elsewhere. The next page is extended over the range of the removed page, so that the ranges have
// no gap. If the write rate limit currently allows too few changes, DropFirstPage does nothing and
// returns nil; the caller has to call FirstPage again to see whether the page was removed.
func (a *Archiver) DropFirstPage(ctx context.Context, upper JobNumber) error {
	_, err := callIfExact(ctx, a, func(ctx context.Context) (struct{}, error) {
		return struct{}{}, a.dropFirstPage(ctx, upper)
	})
	return err
}

// dropPageChanges is how many changes the removal of a page requires: deleting it and writing the next
// page.
const dropPageChanges = 2

func (a *Archiver) dropFirstPage(ctx context.Context, upper JobNumber) error {
	limits := a.applyLimits()
	pages := a.Index.current.Load().pages
	if len(pages) == 0 || pages[0].upper != upper || !a.writeLimiter.AllowN(time.Now(), dropPageChanges) {
		return nil
	}
	if len(pages) == 1 {
		return a.replacePages(ctx, replacement{old: pages[0]})
	}
	if pages[1].damaged {
		return &DamagedError{Key: pages[1].key, Reason: "it can't be extended over the range of the page before it"}
	}
	next, err := a.pageWithEntries(ctx, pages[1])
	if err != nil {
		return err
	}
	next.Lower = pages[0].lower
	return a.replacePages(ctx, replacement{old: pages[1], absorbed: pages[0], pages: splitPage(next, maxPageBytes(&limits))})
}

// callIfExact calls f in the Archiver's goroutine. It doesn't call f but fails with ErrIncomplete if the index
// isn't exact for the current term at that time.
func callIfExact[T any](ctx context.Context, a *Archiver, f func(context.Context) (T, error)) (T, error) {
	replies := make(chan reply[T], 1)
	return call(ctx, a, replies, func(serving context.Context) {
		if !a.indexIsExact() {
			replies <- reply[T]{err: ErrIncomplete}
			return
		}
		replies <- newReply(f(serving))
	})
}
