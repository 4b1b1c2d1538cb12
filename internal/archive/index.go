package archive

import (
	"slices"
	"sync/atomic"
)

// LookupStatus is the outcome of looking up whether a job is archived.
type LookupStatus int

// The lookup statuses.
const (
	Unknown LookupStatus = iota // the job's page has to be read: it isn't in memory, or its copy is damaged
	Found                       // the job is archived; its final state never changes
	Absent                      // the job wasn't in its page when the page was read, or there were no pages; see Result.Term
	Damaged                     // the job's page can't be decoded
)

// Result is the result of looking up a job.
type Result struct {
	Status     LookupStatus
	FinalState FinalState // if Found
	// Term is set if Status is Absent. Only the leader of this term may conclude that the job isn't archived. For other
	// leaders, the job may have been archived after its page was read. 0: no leader may conclude this.
	Term uint64
	Key  string // if Damaged: key of the page
}

// Index holds the pages in memory. When the packed pages exceed the size limit, it evicts the entries of
// some pages. An Index may be read from any goroutine; only its Archiver changes it.
type Index struct {
	current   atomic.Pointer[snapshot]
	maxBytes  int
	bytes     int // total size of the packed pages in memory
	clockHand int // position of the page that the eviction scan visited last
}

// snapshot is an immutable state of the index. Each update replaces it as a whole.
type snapshot struct {
	pages    []*cachedPage // sorted by upper end
	complete bool          // all pages have been read from the store since the index was created
	term     uint64        // leader's term for which the whole snapshot is exact, see the package comment; 0: none
}

// NewIndex returns an empty index that holds at most maxBytes bytes of packed pages.
func NewIndex(maxBytes int) *Index {
	x := &Index{maxBytes: maxBytes}
	x.current.Store(&snapshot{})
	return x
}

// Lookup looks up a job in the pages in memory.
func (x *Index) Lookup(number JobNumber) Result { return x.current.Load().lookup(number) }

func (s *snapshot) lookup(number JobNumber) Result {
	i, _ := findPage(s.pages, number)
	switch {
	case len(s.pages) == 0 && s.complete:
		return Result{Status: Absent, Term: s.term}
	case i == len(s.pages):
		return Result{} // the archive's last page is missing from the index, and possibly also from the store
	case s.pages[i].damaged, s.pages[i].evicted, number <= s.pages[i].lower:
		return Result{}
	}
	return s.pages[i].lookup(number, s.term)
}

// ExactFor reports whether the whole index is exact for a leader's term. If it is, the leader of this term can
// conclude from the index that a job isn't archived.
func (x *Index) ExactFor(term uint64) bool { return x.current.Load().term == term }

// update applies f to a copy of the snapshot, evicts entries if the copy exceeds the size limit, and
// publishes the copy.
func (x *Index) update(f func(s *snapshot)) {
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

// put adds pages to the index, or replaces the index's copies of them. It leaves out a page if the index
// already has a later version of the page.
func (x *Index) put(pages []*cachedPage) {
	x.update(func(s *snapshot) {
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

// remove removes a page that was deleted from the store at the given revision. It has no effect if the
// index has a version of the page that was written at this revision or later.
func (x *Index) remove(upper JobNumber, revision uint64) {
	x.update(func(s *snapshot) {
		s.pages = slices.DeleteFunc(s.pages, func(p *cachedPage) bool { return p.upper == upper && p.version < revision })
	})
}

// evict drops the entries of pages that weren't used recently, until the remaining entries fit the size
// limit. It uses the CLOCK algorithm: it visits the pages in turn, and keeps the entries of a page that
// was used since the last visit.
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

// Stats holds the numbers of jobs and pages in an index, and the total size of the packed pages in memory. Damaged
// and Evicted are the numbers of damaged pages and of pages whose entries were evicted.
type Stats struct {
	Jobs, Pages, Damaged, Evicted, Bytes int  // Jobs excludes the jobs in damaged pages
	Complete                             bool // all pages have been read from the store since the index was created
}

// Stats returns the index's current statistics.
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
