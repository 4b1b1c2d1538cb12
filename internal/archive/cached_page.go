package archive

import (
	"cmp"
	"slices"
	"sync/atomic"

	"sagevale/internal/storage"
)

// cachedPage is a stored page as it is held in memory.
type cachedPage struct {
	packedPage
	key          string
	version      uint64
	damaged      bool        // can't be decoded; its lower end isn't known
	evicted      bool        // its entries aren't held
	term         uint64      // of the leader that has read or written it; 0: of none
	recentlyUsed atomic.Bool // since the last search for a page to evict
}

// newCachedPage returns the page of a stored item. If it can't be decoded, the error says why, and
// the page is marked as damaged, or nil if the key is no page's.
func newCachedPage(item storage.Item, term uint64) (*cachedPage, error) {
	packed, err := decode(item.Key, item.Data)
	if err == nil {
		return &cachedPage{packedPage: packed, key: item.Key, version: item.Version, term: term}, nil
	}
	upper, keyErr := upperOf(item.Key)
	if keyErr != nil {
		return nil, keyErr // it covers no numbers
	}
	return &cachedPage{packedPage: packedPage{upper: upper}, key: item.Key, version: item.Version, damaged: true, term: term}, err
}

// lookup returns what a page says of a job in its range. index is the term of the leader for which
// the whole index is exact.
func (p *cachedPage) lookup(number JobNumber, index uint64) Result {
	p.recentlyUsed.Store(true)
	if final, found := p.find(number); found {
		return Result{Knowledge: Found, Final: final}
	}
	return Result{Knowledge: Absent, Term: max(index, p.term)}
}

// withoutEntries returns the page as it is held once its entries are evicted.
func (p *cachedPage) withoutEntries() *cachedPage {
	return &cachedPage{
		packedPage: packedPage{lower: p.lower, upper: p.upper, count: p.count},
		key:        p.key, version: p.version, evicted: true, term: p.term,
	}
}

// findPage returns the position of the first page whose range doesn't end before a number, and
// whether its range ends with it.
func findPage(pages []*cachedPage, number JobNumber) (position int, exact bool) {
	return slices.BinarySearchFunc(pages, number, func(p *cachedPage, n JobNumber) int { return cmp.Compare(p.upper, n) })
}
