package archive

import (
	"slices"
	"testing"

	"pgregory.net/rapid"

	"sagevale/internal/storage"
)

// When entries are added to a page, the page may be split into parts. The parts must hold the present and the
// added entries, and cover the page's range without gaps. Each part must fit into one value.
func TestAddSplitsPage(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limits := storage.Limits{ValueBytes: rapid.IntRange(1024, 8192).Draw(t, "value"), TxnOps: rapid.IntRange(2, 32).Draw(t, "ops")}
		pageBytes, partLimit := maxPageBytes(&limits), maxParts(&limits, rapid.IntRange(2, 40).Draw(t, "changes"))
		lower, upper := drawRange(t)
		page := Page{lower, upper, drawEntries(t, "present", lower, upper, 100)}
		if packedSize(&page) > pageBytes {
			page.Entries = page.Entries[:len(page.Entries)/8]
		}
		if packedSize(&page) > pageBytes {
			t.Skip("too large for one value")
		}
		added := drawEntries(t, "added", lower, upper, 200)
		pages, rest := addEntries(&page, added, pageBytes, partLimit)
		added = added[:len(added)-len(rest)]
		if len(rest) > 0 && partLimit > 1 && len(added) == 0 {
			t.Fatalf("nothing is added, though %d parts may be written", partLimit)
		}
		if len(pages) > partLimit {
			t.Fatalf("got %d parts, want at most %d", len(pages), partLimit)
		}
		want := make(map[JobNumber]FinalState)
		for _, e := range append(slices.Clone(added), page.Entries...) { // present entries keep their states
			want[e.Number] = e.FinalState
		}
		from, n := lower, 0
		for i := range pages {
			if size := len(pack(&pages[i])); size > pageBytes || valueBytes(size) > limits.ValueBytes {
				t.Fatalf("part %d takes %d bytes, want at most %d", i, size, pageBytes)
			}
			if pages[i].Lower != from || pages[i].Upper <= from {
				t.Fatalf("part %d is of %d to %d, want it to begin at %d", i, pages[i].Lower, pages[i].Upper, from)
			}
			from = pages[i].Upper
			for _, e := range pages[i].Entries {
				if n++; want[e.Number] != e.FinalState || e.Number <= pages[i].Lower || e.Number > pages[i].Upper {
					t.Fatalf("part %d holds %+v, which is out of its range or changed", i, e)
				}
			}
		}
		if from != upper || n != len(want) {
			t.Fatalf("the parts end at %d with %d jobs, want %d and %d", from, n, upper, len(want))
		}
	})
}
