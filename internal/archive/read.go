package archive

import "context"

// Read looks up a job. If this controller is the leader and the index doesn't give a certain answer, Read
// looks up the job in its stored page. Read fails with ErrBusy at once if there are too many requests, and
// with ErrIncomplete if the store has no page for the job.
func (a *Archiver) Read(ctx context.Context, number JobNumber) (Result, error) {
	replies := make(chan reply[Result], 1)
	return call(ctx, a, replies, func(serving context.Context) {
		if ctx.Err() == nil { // once ctx has ended, the caller no longer waits for the reply
			replies <- newReply(a.read(serving, number))
		}
	})
}

// read looks up a job in the index. The leader then reads the job's page from the store, unless the job was
// found in the index or its absence is certain for the current term.
func (a *Archiver) read(ctx context.Context, number JobNumber) (Result, error) {
	held := a.Index.Lookup(number)
	if a.leadership == nil || held.Status == Found || held.Status == Absent && held.Term == a.leadership.Term {
		return held, nil
	}
	a.applyLimits()
	if !a.readLimiter.Allow() {
		return Result{}, ErrBusy
	}
	return a.readPage(ctx, number)
}

// readPage reads a job's page from the store and looks up the job in it.
func (a *Archiver) readPage(ctx context.Context, number JobNumber) (Result, error) {
	ctx, cancel := a.withTimeout(ctx)
	defer cancel()
	// This lists the first page whose upper end is at least the number.
	items, _, _, err := a.store.List(ctx, pagePrefix, pageKey(number-1), 1)
	if err != nil {
		return Result{}, err
	}
	if len(items) == 0 {
		// The archive may have no pages at all, or its last page is missing. Only a refresh shows which.
		return Result{}, ErrIncomplete
	}
	pages := a.decodePages(items, a.leadership.Term)
	a.Index.put(pages)
	if len(pages) == 0 || pages[0].damaged || number <= pages[0].lower {
		return Result{Status: Damaged, Key: items[0].Key}, nil // number <= lower: the page before this one is missing
	}
	return pages[0].lookup(number, 0), nil
}
