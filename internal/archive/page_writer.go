package archive

import (
	"context"
	"errors"
	"fmt"
	"slices"

	"sagevale/internal/storage"
)

// replacement describes one or two stored pages, and the new pages that replace them and cover the same
// range.
type replacement struct {
	old      *cachedPage // nil: the archive has no pages yet
	absorbed *cachedPage // another page to delete because the new pages also cover its range; nil: none
	pages    []Page      // empty: the old page was the only one, and the archive is left without pages
}

// transaction is a guarded transaction of the store.
type transaction struct {
	guards  []storage.Guard
	ops     []storage.Op
	written []*cachedPage // pages to put into the index once the transaction is applied
}

// replacePages writes a replacement in one transaction that is guarded by the leadership key and by the
// versions of all pages that it touches. If the store doesn't respond, replacePages invalidates the index,
// because the write may still be applied, late or twice.
func (a *Archiver) replacePages(ctx context.Context, r replacement) error {
	txn, err := r.transaction(a.leadership)
	if err != nil {
		return err
	}
	ctx, cancel := a.withTimeout(ctx)
	defer cancel()
	revision, err := a.store.Txn(ctx, txn.guards, txn.ops)
	if err != nil {
		return a.handleWriteError(err)
	}
	for _, p := range txn.written {
		p.version = revision
	}
	a.Index.put(txn.written) // before the removals, so that the index always has a page for every range
	if r.absorbed != nil {
		a.Index.remove(r.absorbed.upper, revision)
	}
	if len(r.pages) == 0 {
		a.Index.remove(r.old.upper, revision)
	}
	return nil
}

// transaction returns the transaction that writes the replacement in a term.
func (r *replacement) transaction(leadership *Leadership) (transaction, error) {
	txn := transaction{guards: []storage.Guard{leadership.Guard}}
	if r.old != nil {
		txn.guards = append(txn.guards, storage.Guard{Key: r.old.key, Version: r.old.version})
	}
	if r.absorbed != nil {
		txn.guards = append(txn.guards, storage.Guard{Key: r.absorbed.key, Version: r.absorbed.version})
		txn.ops = append(txn.ops, storage.Op{Key: r.absorbed.key, Delete: true})
	}
	if len(r.pages) == 0 {
		txn.ops = append(txn.ops, storage.Op{Key: r.old.key, Delete: true})
	}
	for i := range r.pages {
		if err := r.addPage(&txn, &r.pages[i], leadership.Term); err != nil {
			return transaction{}, err
		}
	}
	return txn, nil
}

// addPage adds a page to the transaction. If the page's key differs from the key of the old page, addPage
// also adds a guard that requires that the page's key doesn't exist yet.
func (r *replacement) addPage(txn *transaction, page *Page, term uint64) error {
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

// handleWriteError handles the error of a write. If another controller is the leader, it returns
// ErrLeadershipLost; otherwise it returns the error wrapped. If the store refused the write or rejected it as
// malformed, the index stays valid. After all other errors, handleWriteError invalidates the index, because
// the write may have been applied, or the stored pages may be newer than those in the index.
func (a *Archiver) handleWriteError(err error) error {
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

// pageWithEntries decodes a page of the index. If the page's entries were evicted, pageWithEntries reads
// the page from the store. If held is nil because the archive has no pages yet, it returns an empty page
// that covers all numbers.
func (a *Archiver) pageWithEntries(ctx context.Context, held *cachedPage) (Page, error) {
	if held == nil {
		return Page{Upper: LastJobNumber}, nil
	}
	if !held.evicted {
		return held.unpack(), nil
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
		a.logError(err)
		return Page{}, err
	}
	return page.unpack(), nil
}
