package archive

import (
	"cmp"
	"slices"
	"sync/atomic"

	"sagevale/internal/storage"
)

// cachedPage is the copy in memory of a stored page.
type cachedPage struct {
	packedPage
	key          string
	version      uint64
	damaged      bool        // can't be decoded; lower and the entries are unknown
	evicted      bool        // the entries were dropped from memory
	term         uint64      // term of the leader that read this page alone or wrote it; 0: read by a refresh
	recentlyUsed atomic.Bool // looked up since the eviction scan last visited the page
}

// newCachedPage decodes a stored item. If that fails, it returns the error and a page that is marked as
// damaged, or a nil page if the key isn't a page key.
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

// lookup looks up a job in the page's range. indexTerm is the term for which the whole index is exact,
// or 0.
func (p *cachedPage) lookup(number JobNumber, indexTerm uint64) Result {
	p.recentlyUsed.Store(true)
	if final, found := p.find(number); found {
		return Result{Status: Found, FinalState: final}
	}
	return Result{Status: Absent, Term: max(indexTerm, p.term)}
}

// withoutEntries returns a copy of the page that is marked as evicted and has no entries.
func (p *cachedPage) withoutEntries() *cachedPage {
	return &cachedPage{
		packedPage: packedPage{lower: p.lower, upper: p.upper, count: p.count},
		key:        p.key, version: p.version, evicted: true, term: p.term,
	}
}

// findPage returns the position of the first page whose upper end isn't below a number, and whether
// its upper end equals the number. If there is none, the position is len(pages).
func findPage(pages []*cachedPage, number JobNumber) (position int, exact bool) {
	return slices.BinarySearchFunc(pages, number, func(p *cachedPage, n JobNumber) int { return cmp.Compare(p.upper, n) })
}
