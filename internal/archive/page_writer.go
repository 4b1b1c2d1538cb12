package archive

import (
	"context"
	"errors"
	"fmt"
	"slices"

	"sagevale/internal/storage"
)

// replacement replaces stored pages by others of the same range.
type replacement struct {
	old       *cachedPage // nil: the new pages are the first ones
	neighbour *cachedPage // another page that is removed, because the new pages cover its range too; nil: none
	pages     []Page      // none: the archive has no pages any longer
}

// transaction is a guarded transaction, and the pages as they are held once it is applied.
type transaction struct {
	guards  []storage.Guard
	ops     []storage.Op
	written []*cachedPage
}

// replace writes a replacement in one transaction that is guarded by the leadership key and by the
// versions of all pages that it touches. It may be applied late, twice or without an answer: then
// the index is invalidated.
func (a *Archiver) replace(ctx context.Context, r replacement) error {
	txn, err := r.transaction(a.leadership)
	if err != nil {
		return err
	}
	ctx, cancel := a.withTimeout(ctx)
	defer cancel()
	revision, err := a.store.Txn(ctx, txn.guards, txn.ops)
	if err != nil {
		return a.writeFailed(err)
	}
	for _, p := range txn.written {
		p.version = revision
	}
	a.Index.put(txn.written) // before the removals, so that every range has a page at any time
	if r.neighbour != nil {
		a.Index.remove(r.neighbour.upper, revision)
	}
	if len(r.pages) == 0 {
		a.Index.remove(r.old.upper, revision)
	}
	return nil
}

// transaction returns the transaction of a replacement in a term.
func (r *replacement) transaction(leadership *Leadership) (transaction, error) {
	txn := transaction{guards: []storage.Guard{leadership.Guard}}
	if r.old != nil {
		txn.guards = append(txn.guards, storage.Guard{Key: r.old.key, Version: r.old.version})
	}
	if r.neighbour != nil {
		txn.guards = append(txn.guards, storage.Guard{Key: r.neighbour.key, Version: r.neighbour.version})
		txn.ops = append(txn.ops, storage.Op{Key: r.neighbour.key, Delete: true})
	}
	if len(r.pages) == 0 {
		txn.ops = append(txn.ops, storage.Op{Key: r.old.key, Delete: true})
	}
	for i := range r.pages {
		if err := r.put(&txn, &r.pages[i], leadership.Term); err != nil {
			return transaction{}, err
		}
	}
	return txn, nil
}

// put adds a page to the transaction. Its key must be that of the old page, or absent.
func (r *replacement) put(txn *transaction, page *Page, term uint64) error {
	key := pageKey(page.Upper)
	if r.old == nil || key != r.old.key {
		txn.guards = append(txn.guards, storage.Guard{Key: key})
	}
	packed := pack(page)
	data, err := encode(packed)
	if err != nil {
		return fmt.Errorf("encode %s: %w", key, err)
	}
	txn.ops = append(txn.ops, storage.Op{Key: key, Data: data})
	txn.written = append(txn.written, &cachedPage{
		packedPage: packedPage{lower: page.Lower, upper: page.Upper, count: len(page.Entries), packed: packed}, key: key, term: term,
	})
	return nil
}

// writeFailed handles the error of a write and returns it wrapped. Unless the write was refused it
// may have been applied, so the index is invalidated.
func (a *Archiver) writeFailed(err error) error {
	var conflict *storage.ConflictError
	switch {
	case errors.As(err, &conflict) && slices.Contains(conflict.Failed, a.leadership.Guard.Key):
		a.invalidate()
		return ErrLeadershipLost
	case errors.Is(err, storage.ErrMalformed), errors.Is(err, storage.ErrRateLimited):
		a.limits.Observe(err)
	case errors.Is(err, storage.ErrRefused):
	default:
		a.invalidate()
	}
	return fmt.Errorf("archive not written: %w", err)
}

// pageOf returns a page with its entries, which are read again if they were evicted. A page that
// doesn't exist yet is the first one, which covers all numbers.
func (a *Archiver) pageOf(ctx context.Context, held *cachedPage) (Page, error) {
	if held == nil {
		return Page{Upper: LastJobNumber}, nil
	}
	if !held.evicted {
		return held.page(), nil
	}
	ctx, cancel := a.withTimeout(ctx)
	defer cancel()
	item, err := a.store.Get(ctx, held.key)
	if err != nil {
		return Page{}, err
	}
	if item.Version != held.version {
		a.invalidate()
		return Page{}, ErrIncomplete
	}
	page, err := decode(item.Key, item.Data)
	if err != nil {
		a.report(err)
		return Page{}, err
	}
	return page.page(), nil
}
