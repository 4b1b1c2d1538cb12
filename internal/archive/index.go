package archive

import (
	"cmp"
	"slices"
	"sync/atomic"

	"sagevale/internal/storage"
)

// Knowledge is what is known of a job.
type Knowledge int

// What may be known.
const (
	Unknown Knowledge = iota // its page isn't held, or can't be understood: to be read
	Found                    // it is archived: true for good
	Absent                   // it wasn't in its page when that was read
	Damaged                  // its page can't be understood
)

// Result is what is known of a job.
type Result struct {
	Knowledge Knowledge
	Final     FinalState // if found
	Term      uint64     // if absent: of the leader for which that holds; 0: of none
	Key       string     // if damaged: of the page
}

// heldPage is a page as it is held in memory.
type heldPage struct {
	packedPage
	key     string
	version uint64
	damaged bool        // lower is not known then
	evicted bool        // its entries aren't held
	term    uint64      // the leader's that has read or written it
	used    atomic.Bool // looked at since the last eviction passed it
}

// snapshot is what readers see, replaced as a whole.
type snapshot struct {
	pages    []*heldPage // by their upper ends
	complete bool        // all pages that existed at some revision are there
	term     uint64      // the leader's for which the whole is exact; 0: of none
}

// Index holds the pages in memory, as far as its bytes allow. Lookups may come from any goroutine, changes
// from one.
type Index struct {
	current atomic.Pointer[snapshot]
	most    int // bytes
	bytes   int
	hand    int // where the search for a page to evict goes on
}

// NewIndex makes an empty index of so many bytes at the most.
func NewIndex(bytes int) *Index {
	x := &Index{most: bytes}
	x.current.Store(&snapshot{})
	return x
}

// Lookup tells what is known of a job.
func (x *Index) Lookup(rank JobNumber) Result { return x.current.Load().lookup(rank) }

func (s *snapshot) lookup(rank JobNumber) Result {
	i, _ := slices.BinarySearchFunc(s.pages, rank, func(p *heldPage, r JobNumber) int { return cmp.Compare(p.upper, r) })
	switch {
	case len(s.pages) == 0 && s.complete:
		return Result{Knowledge: Absent, Term: s.term}
	case i == len(s.pages):
		return Result{} // even if it's complete: the last page is missing then
	case s.pages[i].damaged, s.pages[i].evicted, rank <= s.pages[i].lower:
		return Result{}
	}
	return s.pages[i].lookup(rank, s.term)
}

// lookup tells what a page that covers the rank says of it.
func (p *heldPage) lookup(rank JobNumber, term uint64) Result {
	p.used.Store(true)
	if final, found := p.find(rank); found {
		return Result{Knowledge: Found, Final: final}
	}
	return Result{Knowledge: Absent, Term: max(term, p.term)}
}

// CompleteFor tells whether the whole index is exact for a term's leader.
func (x *Index) CompleteFor(term uint64) bool { return x.current.Load().term == term }

// edit publishes a changed copy of the snapshot.
func (x *Index) edit(f func(s *snapshot)) {
	next := *x.current.Load()
	next.pages = slices.Clone(next.pages)
	f(&next)
	x.bytes = 0
	for _, p := range next.pages {
		x.bytes += len(p.packed)
	}
	x.evict(&next)
	x.current.Store(&next)
}

// put takes pages in, unless a later version of one is held.
func (x *Index) put(pages []*heldPage) {
	x.edit(func(s *snapshot) {
		for _, p := range pages {
			i, there := slices.BinarySearchFunc(s.pages, p.upper, func(held *heldPage, r JobNumber) int { return cmp.Compare(held.upper, r) })
			switch {
			case !there:
				s.pages = slices.Insert(s.pages, i, p)
			case p.version >= s.pages[i].version:
				s.pages[i] = p
			}
		}
	})
}

// remove takes in that a page was removed with a revision.
func (x *Index) remove(upper JobNumber, revision uint64) {
	x.edit(func(s *snapshot) {
		s.pages = slices.DeleteFunc(s.pages, func(p *heldPage) bool { return p.upper == upper && p.version < revision })
	})
}

// evict lets go of the entries of pages that haven't been looked at for longest, until the rest fits.
func (x *Index) evict(s *snapshot) {
	for steps := 2 * len(s.pages); x.bytes > x.most && steps > 0; steps-- {
		x.hand = (x.hand + 1) % len(s.pages)
		p := s.pages[x.hand]
		if len(p.packed) == 0 || p.used.Swap(false) {
			continue
		}
		x.bytes -= len(p.packed)
		s.pages[x.hand] = &heldPage{packedPage: packedPage{lower: p.lower, upper: p.upper, count: p.count}, key: p.key, version: p.version, evicted: true, term: p.term}
	}
}

// Stats are figures of the index, for operators.
type Stats struct {
	Jobs, Pages, Damaged, Evicted, Bytes int
	Complete                             bool
}

// Stats counts.
func (x *Index) Stats() Stats { return x.current.Load().stats() }

func (s *snapshot) stats() Stats {
	stats := Stats{Pages: len(s.pages), Complete: s.complete}
	for _, p := range s.pages {
		stats.Jobs += p.count
		stats.Bytes += len(p.packed)
		if p.damaged {
			stats.Damaged++
		}
		if p.evicted {
			stats.Evicted++
		}
	}
	return stats
}

// hold makes a held page of a stored one, which may be damaged; err says how.
func hold(it storage.Item, term uint64) (page *heldPage, err error) {
	packed, err := decode(it.Key, it.Data)
	if err == nil {
		return &heldPage{packedPage: packed, key: it.Key, version: it.Version, term: term}, nil
	}
	upper, keyErr := upperOf(it.Key)
	if keyErr != nil {
		return nil, keyErr // it is in the way of no page
	}
	return &heldPage{packedPage: packedPage{upper: upper}, key: it.Key, version: it.Version, damaged: true, term: term}, err
}
