package archive

import (
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"sagevale/internal/storage"
)

// ids at the ends of the range, and where the number of digits changes.
var edgeIDs = []string{"000000", "000001", "999999", "0000000", "9999999", "000000000000000000", "999999999999999999"}

func drawID(t *rapid.T, name string) string {
	if rapid.IntRange(0, 9).Draw(t, name+" edge") == 0 {
		return rapid.SampledFrom(edgeIDs).Draw(t, name)
	}
	return rapid.StringMatching(`[0-9]{6,18}`).Draw(t, name)
}

func TestRanksStandForIDs(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b := drawID(t, "a"), drawID(t, "b")
		ra, _ := ParseJobNumber(a)
		rb, _ := ParseJobNumber(b)
		if ra.ID() != a || ra < 1 || ra > LastJobNumber {
			t.Fatalf("%s has rank %d, which has id %s", a, ra, ra.ID())
		}
		if (ra == rb) != (a == b) || (pageKey(ra) < pageKey(rb)) != (ra < rb) {
			t.Fatalf("%s and %s have ranks %d and %d", a, b, ra, rb)
		}
	})
	if r, _ := ParseJobNumber("999999999999999999"); r != LastJobNumber {
		t.Errorf("the last id has rank %d of %d", r, LastJobNumber)
	}
	for _, id := range []string{"", "12345", "1234567890123456789", "12345x", "-12345", "１２３４５６"} {
		if _, ok := ParseJobNumber(id); ok {
			t.Errorf("%q has a rank", id)
		}
	}
}

// drawEntries draws jobs in order; some lie close together, some far apart.
func drawEntries(t *rapid.T, name string, lower, upper JobNumber, most int) []Entry {
	var entries []Entry
	for i := range rapid.IntRange(0, most).Draw(t, name) {
		rank := JobNumber(rapid.Uint64Range(uint64(lower)+1, uint64(upper)).Draw(t, fmt.Sprintf("%s %d", name, i)))
		if len(entries) > 0 && rapid.Bool().Draw(t, "close") && entries[len(entries)-1].Number < upper {
			rank = entries[len(entries)-1].Number + 1
		}
		entries = append(entries, Entry{rank, FinalState{rapid.Bool().Draw(t, "cancelled"), rapid.IntRange(0, 100_000).Draw(t, "done")}})
	}
	slices.SortFunc(entries, func(a, b Entry) int { return cmp.Compare(a.Number, b.Number) })
	return slices.CompactFunc(entries, func(a, b Entry) bool { return a.Number == b.Number })
}

func drawRange(t *rapid.T) (lower, upper JobNumber) {
	a := rapid.Uint64Range(0, uint64(LastJobNumber)-1).Draw(t, "lower")
	if rapid.Bool().Draw(t, "whole") {
		return 0, LastJobNumber
	}
	return JobNumber(a), JobNumber(rapid.Uint64Range(a+1, uint64(LastJobNumber)).Draw(t, "upper"))
}

func TestAPageIsReadAsItWasWritten(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		lower, upper := drawRange(t)
		page := Page{lower, upper, drawEntries(t, "entries", lower, upper, 60)}
		packed := pack(&page)
		if len(packed) > packedSize(&page) {
			t.Fatalf("%d bytes, reckoned %d", len(packed), packedSize(&page))
		}
		value, err := encode(packed)
		if err != nil || len(value) > valueBytes(len(packed)) {
			t.Fatalf("%d bytes of value, reckoned %d: %v", len(value), valueBytes(len(packed)), err)
		}
		read, err := decode(pageKey(upper), value)
		if err != nil {
			t.Fatal(err)
		}
		again := read.page()
		if again.Lower != lower || again.Upper != upper || !slices.Equal(again.Entries, page.Entries) {
			t.Fatalf("%+v is read as %+v", page, again)
		}
		for _, e := range page.Entries {
			if final, found := read.find(e.Number); !found || final != e.FinalState {
				t.Fatalf("%d is found as %v %v", e.Number, final, found)
			}
		}
		// The same value under another page's key is damaged.
		if other := pageKey(upper%LastJobNumber + 1); other != pageKey(upper) {
			if _, err := decode(other, value); err == nil {
				t.Fatal("read under another key")
			}
		}
	})
}

// What is added to a page is in its parts, with what was there; the parts cover its range without gaps and each
// fits a value.
func TestPartsOfAPage(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limits := storage.Limits{ValueBytes: rapid.IntRange(1024, 8192).Draw(t, "value"), TxnOps: rapid.IntRange(2, 32).Draw(t, "ops")}
		bytes, parts := room(&limits), mostParts(&limits, rapid.IntRange(2, 40).Draw(t, "changes"))
		lower, upper := drawRange(t)
		page := Page{lower, upper, drawEntries(t, "there", lower, upper, 100)}
		if packedSize(&page) > bytes {
			page.Entries = page.Entries[:len(page.Entries)/8]
		}
		if packedSize(&page) > bytes {
			t.Skip("too large for one value")
		}
		added := drawEntries(t, "added", lower, upper, 200)
		pages, rest := add(&page, added, bytes, parts)
		taken := added[:len(added)-len(rest)]
		if len(added) > 0 && parts > 1 && len(taken) == 0 {
			t.Fatal("nothing is added though there is room for parts")
		}
		if len(pages) > parts {
			t.Fatalf("%d parts, of %d", len(pages), parts)
		}
		want := make(map[JobNumber]FinalState)
		for _, e := range append(slices.Clone(taken), page.Entries...) { // what was there stays
			want[e.Number] = e.FinalState
		}
		from, n := lower, 0
		for i := range pages {
			if size := len(pack(&pages[i])); size > bytes || valueBytes(size) > limits.ValueBytes {
				t.Fatalf("part %d takes %d bytes of %d", i, size, bytes)
			}
			if pages[i].Lower != from || pages[i].Upper <= from {
				t.Fatalf("part %d is of %d to %d, after %d", i, pages[i].Lower, pages[i].Upper, from)
			}
			from = pages[i].Upper
			for _, e := range pages[i].Entries {
				if n++; want[e.Number] != e.FinalState || e.Number <= pages[i].Lower || e.Number > pages[i].Upper {
					t.Fatalf("%+v in part %d", e, i)
				}
			}
		}
		if from != upper || n != len(want) {
			t.Fatalf("the parts end at %d of %d with %d jobs of %d", from, upper, n, len(want))
		}
	})
}

func TestDamagedPagesNameTheirKeys(t *testing.T) {
	page := Page{0, 100, []Entry{{7, FinalState{Done: 3}}, {9, FinalState{Cancelled: true}}}}
	packed := pack(&page)
	good, err := encode(packed)
	if err != nil {
		t.Fatal(err)
	}
	key := pageKey(100)
	for name, value := range map[string]json.RawMessage{
		"no text": json.RawMessage(`{}`), "no base64": json.RawMessage(`"%"`), "empty": json.RawMessage(`""`), "null": json.RawMessage(`null`),
		"a bit flipped": flipped(t, packed, 4), "cut short": cut(t, packed),
	} {
		_, err := decode(key, value)
		var damaged *DamagedError
		if !errors.As(err, &damaged) || damaged.Key != key {
			t.Errorf("%s: %v", name, err)
		}
	}
	for _, key := range []string{"archive/page/", "archive/page/12", "archive/page/9999999999999999999", "archive/page/00000000000000000x1", "other"} {
		if _, err := decode(key, good); err == nil {
			t.Errorf("%q is a page's key", key)
		}
	}
}

func flipped(t *testing.T, packed []byte, at int) json.RawMessage {
	broken := slices.Clone(packed)
	broken[at] ^= 1
	value, err := encode(broken)
	if err != nil {
		t.Fatal(err)
	}
	return value
}

func cut(t *testing.T, packed []byte) json.RawMessage {
	value, err := encode(packed[:len(packed)-2])
	if err != nil {
		t.Fatal(err)
	}
	return value
}

// FuzzDecode: whatever is stored under a page's key is read or called damaged, and what is read is written
// the same. The checksum is made to fit, so that what lies behind it is reached.
func FuzzDecode(f *testing.F) {
	f.Add([]byte{}, uint64(LastJobNumber))
	f.Add([]byte{pageFormat, 0, 0}, uint64(100))
	f.Add([]byte{pageFormat, 0, 2, 7, 6, 2, 1}, uint64(100))
	f.Add([]byte{pageFormat, 0, 1, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 1, 0}, uint64(100))
	f.Add([]byte{pageFormat, 0, 2, 7, 6, 0, 1}, uint64(100))
	f.Add([]byte{pageFormat, 0, 1, 0xff, 1, 0}, uint64(100))
	f.Add([]byte{pageFormat, 9, 0xff, 0xff, 0xff, 0xff, 0x0f}, uint64(100))
	f.Fuzz(func(t *testing.T, body []byte, last uint64) {
		upper := JobNumber(last%uint64(LastJobNumber) + 1)
		sum := checksum(pageKey(upper), body)
		value, err := encode(append(slices.Clone(body), byte(sum), byte(sum>>8), byte(sum>>16), byte(sum>>24)))
		if err != nil {
			t.Fatal(err)
		}
		read, err := decode(pageKey(upper), value)
		if err != nil {
			return
		}
		page := read.page()
		for i, before := 0, page.Lower; i < len(page.Entries); i++ {
			if rank := page.Entries[i].Number; rank <= before || rank > upper {
				t.Fatalf("out of order or range: %+v", page)
			}
			before = page.Entries[i].Number
		}
		again := packedPage{upper: upper, packed: pack(&page)}
		if err := again.check(pageKey(upper)); err != nil || len(page.Entries) != read.count {
			t.Fatalf("%+v is read, and written damaged: %v", page, err)
		}
		if second := again.page(); !slices.Equal(second.Entries, page.Entries) || second.Lower != page.Lower {
			t.Fatalf("%+v is written as %+v", page, second)
		}
	})
}

// What is older than what is held changes nothing.
func TestTheIndexKeepsTheLaterVersion(t *testing.T) {
	held := func(version uint64, final FinalState) *heldPage {
		p := Page{0, LastJobNumber, []Entry{{5, final}}}
		return &heldPage{packedPage: packedPage{p.Lower, p.Upper, 1, pack(&p)}, key: pageKey(p.Upper), version: version}
	}
	x := NewIndex(1 << 20)
	x.put([]*heldPage{held(4, FinalState{Done: 4})})
	x.put([]*heldPage{held(3, FinalState{Done: 3})})
	x.remove(LastJobNumber, 2)
	if r := x.Lookup(5); r.Knowledge != Found || r.Final.Done != 4 {
		t.Errorf("%+v", r)
	}
	x.remove(LastJobNumber, 5)
	if r := x.Lookup(5); r.Knowledge != Unknown {
		t.Errorf("%+v", r)
	}
}

func TestTheIndexEvictsWhatIsNotLookedAt(t *testing.T) {
	x := NewIndex(3000)
	var pages []*heldPage
	for i := range JobNumber(10) {
		p := Page{i * 1000, (i + 1) * 1000, nil}
		for r := p.Lower + 1; r <= p.Lower+400; r++ {
			p.Entries = append(p.Entries, Entry{r, FinalState{Done: 1}})
		}
		pages = append(pages, &heldPage{packedPage: packedPage{p.Lower, p.Upper, len(p.Entries), pack(&p)}, key: pageKey(p.Upper), version: 1})
	}
	for _, p := range pages {
		x.put([]*heldPage{p})
		x.Lookup(1) // the first page is asked for all the time
	}
	stats := x.Stats()
	if stats.Bytes > 3000 || stats.Jobs != 4000 || stats.Pages != 10 || stats.Evicted < 5 || stats.Evicted > 8 {
		t.Errorf("%+v", stats)
	}
	if r := x.Lookup(1); r.Knowledge != Found {
		t.Errorf("the page that is asked for is evicted: %+v", r)
	}
	unknown := 0
	for i := range JobNumber(10) {
		if x.Lookup(i*1000+1).Knowledge == Unknown {
			unknown++
		}
	}
	if unknown != stats.Evicted {
		t.Errorf("%d pages unknown, %d evicted", unknown, stats.Evicted)
	}
}
