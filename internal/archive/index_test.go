package archive

import "testing"

// newTestPage returns the in-memory copy of a page that is stored with the given version.
func newTestPage(p Page, version uint64) *cachedPage {
	return &cachedPage{packedPage: packedPage{p.Lower, p.Upper, len(p.Entries), pack(&p)}, key: pageKey(p.Upper), version: version}
}

func TestIndexKeepsLaterVersion(t *testing.T) {
	const number = 5
	page := func(version uint64) *cachedPage {
		return newTestPage(Page{0, LastJobNumber, []Entry{{number, FinalState{Done: int(version)}}}}, version)
	}
	x := NewIndex(1 << 20)
	x.put([]*cachedPage{page(4)})
	x.put([]*cachedPage{page(3)})
	x.remove(LastJobNumber, 2)
	if r := x.Lookup(number); r.Status != Found || r.FinalState.Done != 4 {
		t.Errorf("after changes of versions 3 and 2: got %+v, want version 4", r)
	}
	x.remove(LastJobNumber, 5)
	if r := x.Lookup(number); r.Status != Unknown {
		t.Errorf("after its removal: got %+v, want unknown", r)
	}
}

func TestIndexEvictsPagesNotUsedRecently(t *testing.T) {
	const pages, jobs, maxBytes = 10, 400, 3000
	const lookedUp = JobNumber(1) // a job in the first page, looked up after each page is added
	x := NewIndex(maxBytes)
	for i := range JobNumber(pages) {
		p := Page{i * 1000, (i + 1) * 1000, nil}
		for number := p.Lower + 1; number <= p.Lower+jobs; number++ {
			p.Entries = append(p.Entries, Entry{number, FinalState{Done: 1}})
		}
		x.put([]*cachedPage{newTestPage(p, 1)})
		x.Lookup(lookedUp)
	}
	stats := x.Stats()
	if stats.Bytes > maxBytes || stats.Jobs != pages*jobs || stats.Pages != pages || stats.Evicted < 5 || stats.Evicted > 8 {
		t.Errorf("got %+v, want %d jobs in %d pages, at most %d bytes, and 5 to 8 pages evicted", stats, pages*jobs, pages, maxBytes)
	}
	if r := x.Lookup(lookedUp); r.Status != Found {
		t.Errorf("lookup in the page that is used: got %+v, want found", r)
	}
	unknown := 0
	for i := range JobNumber(pages) {
		if x.Lookup(i*1000+1).Status == Unknown {
			unknown++
		}
	}
	if unknown != stats.Evicted {
		t.Errorf("got %d pages unknown, want the %d that are evicted", unknown, stats.Evicted)
	}
}
