package archive

import (
	"cmp"
	"slices"
	"sync/atomic"

	"sagevale/internal/storage"
)

// cachedPage is the copy of a stored page in memory.
type cachedPage struct {
	packedPage
	key          string
	version      uint64
	damaged      bool        // the page can't be decoded; lower and the entries are unknown
	evicted      bool        // the entries were dropped from memory
	term         uint64      // the term for which this page is exact even if the index isn't, see the package comment; 0: none
	recentlyUsed atomic.Bool // a job was looked up in the page since the eviction scan last visited it
}

// newCachedPage decodes a stored item. term is the term for which the page is exact (see the package
// comment), or 0. If decoding fails, newCachedPage returns the error and a page that is marked as damaged.
// The page is nil if the key isn't a page key.
func newCachedPage(item storage.Item, term uint64) (*cachedPage, error) {
	packed, err := decode(item.Key, item.Data)
	if err == nil {
		return &cachedPage{packedPage: packed, key: item.Key, version: item.Version, term: term}, nil
	}
	upper, keyErr := parsePageKey(item.Key)
	if keyErr != nil {
		return nil, keyErr // the item covers no range of numbers
	}
	return &cachedPage{packedPage: packedPage{upper: upper}, key: item.Key, version: item.Version, damaged: true, term: term}, err
}

// lookup looks up a job whose number is in the page's range. indexTerm is the term for which the whole
// index is exact, or 0.
func (p *cachedPage) lookup(number JobNumber, indexTerm uint64) Result {
	p.recentlyUsed.Store(true)
	if final, found := p.find(number); found {
		return Result{Status: Found, FinalState: final}
	}
	return Result{Status: Absent, Term: max(indexTerm, p.term)}
}

// withoutEntries returns a copy of the page without its entries. The copy is marked as evicted.
func (p *cachedPage) withoutEntries() *cachedPage {
	return &cachedPage{
		packedPage: packedPage{lower: p.lower, upper: p.upper, count: p.count},
		key:        p.key, version: p.version, evicted: true, term: p.term,
	}
}

// findPage returns the position of the first page whose upper end is at least the number. isUpperEnd
// reports whether the upper end equals the number. If there is no such page, the position is len(pages).
func findPage(pages []*cachedPage, number JobNumber) (position int, isUpperEnd bool) {
	return slices.BinarySearchFunc(pages, number, func(p *cachedPage, n JobNumber) int { return cmp.Compare(p.upper, n) })
}
