package archive

import (
	"slices"
	"sync/atomic"
)

// Knowledge is what is known of a job.
type Knowledge int

// What may be known.
const (
	Unknown Knowledge = iota // its page isn't held or can't be decoded, and has to be read
	Found                    // it is archived; that never changes
	Absent                   // it wasn't in its page when that was read
	Damaged                  // its page can't be decoded
)

// Result is the result of looking up a job.
type Result struct {
	Knowledge Knowledge
	Final     FinalState // if found
	Term      uint64     // if absent: the term of the leader for which that is exact; 0: none
	Key       string     // if damaged: of the page
}

// Index holds pages in memory, as many as its size allows. It may be read from any goroutine, and
// is changed only by its Archiver.
type Index struct {
	current   atomic.Pointer[snapshot]
	maxBytes  int
	bytes     int
	clockHand int // position of the last page that was considered for eviction
}

// snapshot is what readers of the index see. It is replaced as a whole.
type snapshot struct {
	pages    []*cachedPage // by the ends of their ranges
	complete bool          // holds all pages that existed at some revision
	term     uint64        // the term of the leader for which the whole is exact; 0: none
}

// NewIndex returns an empty index that holds at most so many bytes of packed pages.
func NewIndex(maxBytes int) *Index {
	x := &Index{maxBytes: maxBytes}
	x.current.Store(&snapshot{})
	return x
}

// Lookup returns what is known of a job without reading its page.
func (x *Index) Lookup(number JobNumber) Result { return x.current.Load().lookup(number) }

func (s *snapshot) lookup(number JobNumber) Result {
	i, _ := findPage(s.pages, number)
	switch {
	case len(s.pages) == 0 && s.complete:
		return Result{Knowledge: Absent, Term: s.term}
	case i == len(s.pages):
		return Result{} // the last page is missing, even if the index is complete
	case s.pages[i].damaged, s.pages[i].evicted, number <= s.pages[i].lower:
		return Result{}
	}
	return s.pages[i].lookup(number, s.term)
}

// ExactFor reports whether the whole index is exact for the leader of a term.
func (x *Index) ExactFor(term uint64) bool { return x.current.Load().term == term }

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

// put adds pages, unless a later version of one is held.
func (x *Index) put(pages []*cachedPage) {
	x.edit(func(s *snapshot) {
		for _, p := range pages {
			i, found := findPage(s.pages, p.upper)
			switch {
			case !found:
				s.pages = slices.Insert(s.pages, i, p)
			case p.version >= s.pages[i].version:
				s.pages[i] = p
			}
		}
	})
}

// remove removes a page that was deleted at a revision, unless a later version of it is held.
func (x *Index) remove(upper JobNumber, revision uint64) {
	x.edit(func(s *snapshot) {
		s.pages = slices.DeleteFunc(s.pages, func(p *cachedPage) bool { return p.upper == upper && p.version < revision })
	})
}

// evict drops the entries of pages that weren't used recently until the rest fits: the pages are
// considered in turn, and one that was used since its last turn is kept (the CLOCK algorithm).
func (x *Index) evict(s *snapshot) {
	for steps := 2 * len(s.pages); x.bytes > x.maxBytes && steps > 0; steps-- {
		x.clockHand = (x.clockHand + 1) % len(s.pages)
		p := s.pages[x.clockHand]
		if len(p.packed) == 0 || p.recentlyUsed.Swap(false) {
			continue
		}
		x.bytes -= len(p.packed)
		s.pages[x.clockHand] = p.withoutEntries()
	}
}

// Stats are figures of an index.
type Stats struct {
	Jobs, Pages, Damaged, Evicted, Bytes int  // Jobs without those of damaged pages
	Complete                             bool // all pages that existed at some revision are counted
}

// Stats counts what the index knows.
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
