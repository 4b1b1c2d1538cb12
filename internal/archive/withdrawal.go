package archive

import (
	"context"
	"time"
)

// withdrawal is what the keeper is asked to bring the archived jobs back.
type withdrawal struct {
	serveWith func(ctx context.Context, k *Archiver) withdrawn
	reply     chan withdrawn
}

type withdrawn struct {
	count int
	page  Page
	err   error
}

func (w withdrawal) serve(ctx context.Context, k *Archiver) {
	if !k.exact() {
		w.reply <- withdrawn{err: ErrIncomplete}
		return
	}
	w.reply <- w.serveWith(ctx, k)
}

func (k *Archiver) withdraw(ctx context.Context, serve func(context.Context, *Archiver) withdrawn) withdrawn {
	w := withdrawal{serve, make(chan withdrawn, 1)}
	if err := k.ask(w); err != nil {
		return withdrawn{err: err}
	}
	select {
	case r := <-w.reply:
		return r
	case <-ctx.Done():
		return withdrawn{err: ctx.Err()}
	}
}

// Count tells how many jobs are archived, damaged pages counted as one each. All that was offered
// before is in it.
func (k *Archiver) Count(ctx context.Context) (int, error) {
	r := k.withdraw(ctx, func(_ context.Context, k *Archiver) withdrawn {
		stats := k.Index.Stats()
		return withdrawn{count: stats.Jobs + stats.Damaged}
	})
	return r.count, r.err
}

// FirstPage returns the first page; without entries if there is none. Its jobs may be brought back to where they came from, and then be
// dropped here: whoever leads next goes on with what is left.
func (k *Archiver) FirstPage(ctx context.Context) (Page, error) {
	r := k.withdraw(ctx, func(ctx context.Context, k *Archiver) withdrawn {
		pages := k.Index.current.Load().pages
		if len(pages) == 0 {
			return withdrawn{}
		}
		if pages[0].damaged {
			return withdrawn{err: &DamagedError{Key: pages[0].key, Reason: "its jobs can't be brought back"}}
		}
		page, err := k.unpack(ctx, pages[0])
		return withdrawn{page: page, err: err}
	})
	return r.page, r.err
}

// DropFirstPage removes the first page, whose jobs are durable elsewhere, if its range still ends there. The next page
// takes its range over, so that no range is without a page.
func (k *Archiver) DropFirstPage(ctx context.Context, upper JobNumber) error {
	return k.withdraw(ctx, func(ctx context.Context, k *Archiver) withdrawn { return withdrawn{err: k.dropFirst(ctx, upper)} }).err
}

func (k *Archiver) dropFirst(ctx context.Context, upper JobNumber) error {
	limits := k.applyLimits()
	pages := k.Index.current.Load().pages
	if len(pages) == 0 || pages[0].upper != upper || !k.writes.AllowN(time.Now(), 2) {
		return nil // in the last case the caller comes again
	}
	if len(pages) == 1 {
		return k.write(ctx, pages[0], nil, nil)
	}
	if pages[1].damaged {
		return &DamagedError{Key: pages[1].key, Reason: "it can't take over the range before it"}
	}
	next, err := k.unpack(ctx, pages[1])
	if err != nil {
		return err
	}
	next.Lower = pages[0].lower
	return k.write(ctx, pages[1], split(next, room(&limits)), pages[0])
}
