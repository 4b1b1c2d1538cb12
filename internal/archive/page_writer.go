package archive

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"time"

	"sagevale/internal/storage"
)

// offer hands over jobs that may be archived.
type offer struct {
	entries []Entry
	reply   chan moved
}

type moved struct {
	ranks []JobNumber
	err   error
}

// Archive archives some of the jobs, which must be in order: those of the page that most of them belong to. It returns which of
// them are archived durably now. Where the budget allows nothing yet, that is none.
func (k *Archiver) Archive(ctx context.Context, entries []Entry) ([]JobNumber, error) {
	o := offer{entries, make(chan moved, 1)}
	if err := k.ask(o); err != nil {
		return nil, err
	}
	select {
	case m := <-o.reply:
		return m.ranks, m.err
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

func (o offer) serve(ctx context.Context, k *Archiver) {
	ranks, err := k.move(ctx, o.entries)
	o.reply <- moved{ranks, err}
}

// move archives the jobs of one page.
func (k *Archiver) move(ctx context.Context, entries []Entry) ([]JobNumber, error) {
	if !k.exact() {
		return nil, ErrIncomplete
	}
	limits := k.applyLimits()
	changes := min(int(k.writes.Tokens()), k.writes.Burst())
	if changes < 2 {
		return nil, nil // a page that is full needs two
	}
	held, group := k.largestGroup(entries)
	if len(group) == 0 {
		return nil, nil
	}
	page, err := k.unpack(ctx, held)
	if err != nil {
		return nil, err
	}
	pages, rest := add(&page, group, room(&limits), mostParts(&limits, changes))
	group = group[:len(group)-len(rest)]
	if len(group) == 0 {
		k.report(fmt.Errorf("page %s is larger than may be written now; the jobs of its range stay in the journal", pageKey(page.Upper)))
		return nil, nil
	}
	// Written even if all of them are there already: what comes late for the page's present version is barred then.
	k.writes.AllowN(time.Now(), len(pages))
	if err := k.write(ctx, held, pages, nil); err != nil {
		return nil, err
	}
	ranks := make([]JobNumber, 0, len(group))
	for i := range group {
		ranks = append(ranks, group[i].Number)
	}
	return ranks, nil
}

// largestGroup finds the page that most of the entries belong to; nil stands for the first page of all, which
// doesn't exist yet. Damaged pages get nothing.
func (k *Archiver) largestGroup(entries []Entry) (page *heldPage, group []Entry) {
	pages := k.Index.current.Load().pages
	if len(pages) == 0 {
		return nil, entries
	}
	for len(entries) > 0 {
		i, _ := slices.BinarySearchFunc(pages, entries[0].Number, func(p *heldPage, r JobNumber) int { return cmp.Compare(p.upper, r) })
		if i == len(pages) {
			break // the last page is missing
		}
		end, _ := slices.BinarySearchFunc(entries, pages[i].upper+1, func(e Entry, r JobNumber) int { return cmp.Compare(e.Number, r) })
		if covers := !pages[i].damaged && entries[0].Number > pages[i].lower; covers && end > len(group) {
			page, group = pages[i], entries[:end]
		}
		entries = entries[end:]
	}
	return page, group
}

// unpack returns a page with its entries, which may have to be read again.
func (k *Archiver) unpack(ctx context.Context, held *heldPage) (Page, error) {
	if held == nil {
		return Page{Upper: LastJobNumber}, nil
	}
	if !held.evicted {
		return held.page(), nil
	}
	cctx, cancel := k.call(ctx)
	defer cancel()
	it, err := k.svc.Get(cctx, held.key)
	if err != nil {
		return Page{}, err
	}
	if it.Version != held.version {
		k.doubt()
		return Page{}, ErrIncomplete
	}
	page, err := decode(it.Key, it.Data)
	if err != nil {
		k.report(err)
		return Page{}, err
	}
	return page.page(), nil
}

// write replaces a page by others of the same range, in one transaction that is guarded by the lead and by the
// versions of all pages that it touches; also is another page that it removes. It may be carried out late, twice or without an answer: then the
// pages are read again before anything rests on them.
func (k *Archiver) write(ctx context.Context, held *heldPage, pages []Page, also *heldPage) error {
	guards, ops, written, err := k.transaction(held, pages, also)
	if err != nil {
		return err
	}
	cctx, cancel := k.call(ctx)
	defer cancel()
	revision, err := k.svc.Txn(cctx, guards, ops)
	if err != nil {
		return k.failed(err)
	}
	for _, p := range written {
		p.version = revision
	}
	k.Index.put(written) // before the removal, so that no range is without a page
	if also != nil {
		k.Index.remove(also.upper, revision)
	}
	if len(pages) == 0 {
		k.Index.remove(held.upper, revision)
	}
	return nil
}

// transaction makes the guards and changes of a write, and the pages as they are held then.
func (k *Archiver) transaction(held *heldPage, pages []Page, also *heldPage) (guards []storage.Guard, ops []storage.Op, written []*heldPage, err error) {
	guards = []storage.Guard{k.lead.Guard}
	if held != nil {
		guards = append(guards, storage.Guard{Key: held.key, Version: held.version})
	}
	if also != nil {
		guards = append(guards, storage.Guard{Key: also.key, Version: also.version})
		ops = append(ops, storage.Op{Key: also.key, Delete: true})
	}
	if len(pages) == 0 {
		ops = append(ops, storage.Op{Key: held.key, Delete: true})
	}
	for i := range pages {
		key := pageKey(pages[i].Upper)
		if held == nil || key != held.key {
			guards = append(guards, storage.Guard{Key: key})
		}
		packed := pack(&pages[i])
		var data json.RawMessage
		if data, err = encode(packed); err != nil {
			return nil, nil, nil, fmt.Errorf("encode %s: %w", key, err)
		}
		ops = append(ops, storage.Op{Key: key, Data: data})
		written = append(written, &heldPage{
			packedPage: packedPage{lower: pages[i].Lower, upper: pages[i].Upper, count: len(pages[i].Entries), packed: packed}, key: key, term: k.lead.Term,
		})
	}
	return guards, ops, written, nil
}

// failed sorts a write's failure: after all but a plain refusal the pages have to be read again.
func (k *Archiver) failed(err error) error {
	var conflict *storage.ConflictError
	switch {
	case errors.As(err, &conflict) && slices.Contains(conflict.Failed, k.lead.Guard.Key):
		k.doubt()
		return ErrLeadershipLost
	case errors.Is(err, storage.ErrMalformed), errors.Is(err, storage.ErrRateLimited):
		k.limits.Learn(err)
	case errors.Is(err, storage.ErrRefused):
	default:
		k.doubt()
	}
	return fmt.Errorf("archive not written: %w", err)
}
