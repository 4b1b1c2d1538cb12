package archive

import "context"

// Read returns what is known of a job, and reads its page if that is needed. It fails with ErrBusy
// at once if there are too many requests, and with ErrIncomplete if there is no page to read.
func (a *Archiver) Read(ctx context.Context, number JobNumber) (Result, error) {
	replies := make(chan reply[Result], 1)
	return call(ctx, a, replies, func(serving context.Context) {
		if ctx.Err() == nil { // else nobody waits for the reply
			replies <- replyOf(a.read(serving, number))
		}
	})
}

// read looks a job up, and reads its page unless what is held is exact.
func (a *Archiver) read(ctx context.Context, number JobNumber) (Result, error) {
	held := a.Index.Lookup(number)
	if a.leadership == nil || held.Knowledge == Found || held.Knowledge == Absent && held.Term == a.leadership.Term {
		return held, nil
	}
	a.applyLimits()
	if !a.reads.Allow() {
		return Result{}, ErrBusy
	}
	return a.readPage(ctx, number)
}

// readPage reads the page of a job and looks it up there.
func (a *Archiver) readPage(ctx context.Context, number JobNumber) (Result, error) {
	ctx, cancel := a.withTimeout(ctx)
	defer cancel()
	// The first page whose range doesn't end before the number.
	items, _, _, err := a.store.List(ctx, prefix, pageKey(number-1), 1)
	if err != nil {
		return Result{}, err
	}
	if len(items) == 0 {
		// There may be no pages at all, which only a refresh can tell.
		return Result{}, ErrIncomplete
	}
	pages := a.decodePages(items, a.leadership.Term)
	a.Index.put(pages)
	if len(pages) == 0 || pages[0].damaged || number <= pages[0].lower {
		return Result{Knowledge: Damaged, Key: items[0].Key}, nil // in the last case the page before it is missing
	}
	return pages[0].lookup(number, 0), nil
}
