package archive

import (
	"cmp"
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

// drawEntries draws at most maxCount jobs in a range, sorted by number. Some have consecutive numbers,
// others are far apart.
func drawEntries(t *rapid.T, name string, lower, upper JobNumber, maxCount int) []Entry {
	var entries []Entry
	for i := range rapid.IntRange(0, maxCount).Draw(t, name) {
		number := JobNumber(rapid.Uint64Range(uint64(lower)+1, uint64(upper)).Draw(t, fmt.Sprintf("%s %d", name, i)))
		if len(entries) > 0 && rapid.Bool().Draw(t, "close") && entries[len(entries)-1].Number < upper {
			number = entries[len(entries)-1].Number + 1
		}
		entries = append(entries, Entry{number, FinalState{Cancelled: rapid.Bool().Draw(t, "cancelled"), Done: rapid.IntRange(0, 100_000).Draw(t, "done")}})
	}
	slices.SortFunc(entries, func(a, b Entry) int { return cmp.Compare(a.Number, b.Number) })
	return slices.CompactFunc(entries, func(a, b Entry) bool { return a.Number == b.Number })
}

// drawRange draws the range of a page. In half of the cases the range contains all job numbers.
func drawRange(t *rapid.T) (lower, upper JobNumber) {
	a := rapid.Uint64Range(0, uint64(LastJobNumber)-1).Draw(t, "lower")
	if rapid.Bool().Draw(t, "whole") {
		return 0, LastJobNumber
	}
	return JobNumber(a), JobNumber(rapid.Uint64Range(a+1, uint64(LastJobNumber)).Draw(t, "upper"))
}

// valueBytes returns the length of the stored value of a page that takes the given number of bytes when
// packed. The value is base64 in quotes.
func valueBytes(packed int) int { return base64.StdEncoding.EncodedLen(packed) + 2 }

func TestPageRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		lower, upper := drawRange(t)
		page := Page{lower, upper, drawEntries(t, "entries", lower, upper, 60)}
		packed := pack(&page)
		if len(packed) > packedSize(&page) {
			t.Fatalf("got %d packed bytes, want at most %d", len(packed), packedSize(&page))
		}
		value, err := encode(packed)
		if err != nil || len(value) > valueBytes(len(packed)) {
			t.Fatalf("got a value of %d bytes, %v; want at most %d", len(value), err, valueBytes(len(packed)))
		}
		decoded, err := decode(pageKey(upper), value)
		if err != nil {
			t.Fatal(err)
		}
		again := decoded.unpack()
		if again.Lower != lower || again.Upper != upper || !slices.Equal(again.Entries, page.Entries) {
			t.Fatalf("%+v is decoded as %+v", page, again)
		}
		for _, e := range page.Entries {
			if final, found := decoded.find(e.Number); !found || final != e.FinalState {
				t.Fatalf("find(%d): got %+v, %v; want %+v", e.Number, final, found, e.FinalState)
			}
		}
		// The checksum includes the key, so the same value is damaged under another page's key.
		if other := pageKey(upper%LastJobNumber + 1); other != pageKey(upper) {
			if _, err := decode(other, value); err == nil {
				t.Fatal("the value is decoded under another key")
			}
		}
	})
}

func TestDecodeReportsDamage(t *testing.T) {
	page := Page{0, 100, []Entry{{7, FinalState{Done: 3}}, {9, FinalState{Cancelled: true}}}}
	packed := pack(&page)
	key := pageKey(page.Upper)
	flipped := slices.Clone(packed)
	flipped[4] ^= 1
	for name, value := range map[string]json.RawMessage{
		"no text": json.RawMessage(`{}`), "no base64": json.RawMessage(`"%"`), "empty": json.RawMessage(`""`), "null": json.RawMessage(`null`),
		"a bit flipped": encoded(t, flipped), "cut short": encoded(t, packed[:len(packed)-2]),
	} {
		_, err := decode(key, value)
		var damaged *DamagedError
		if !errors.As(err, &damaged) || damaged.Key != key {
			t.Errorf("%s: got %v, want a DamagedError of %s", name, err, key)
		}
	}
	for _, key := range []string{"archive/page/", "archive/page/12", "archive/page/9999999999999999999", "archive/page/00000000000000000x1", "other"} {
		if _, err := decode(key, encoded(t, packed)); err == nil {
			t.Errorf("%q is accepted as a page's key", key)
		}
	}
}

// encoded returns the stored value of a packed page.
func encoded(t *testing.T, packed []byte) json.RawMessage {
	t.Helper()
	value, err := encode(packed)
	if err != nil {
		t.Fatal(err)
	}
	return value
}

// FuzzDecode checks that any value under a page key is either decoded or reported as damaged, and that
// packing a decoded page again preserves it. The test adds a correct checksum, so that the code after the
// checksum check is reached.
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
		value := encoded(t, binary.LittleEndian.AppendUint32(slices.Clone(body), sum))
		decoded, err := decode(pageKey(upper), value)
		if err != nil {
			return
		}
		page := decoded.unpack()
		previous := page.Lower
		for _, e := range page.Entries {
			if e.Number <= previous || e.Number > upper {
				t.Fatalf("out of order or range: %+v", page)
			}
			previous = e.Number
		}
		again := packedPage{upper: upper, packed: pack(&page)}
		if err := again.validate(pageKey(upper)); err != nil || len(page.Entries) != decoded.count {
			t.Fatalf("%+v is decoded, and encoded damaged: %v", page, err)
		}
		if second := again.unpack(); !slices.Equal(second.Entries, page.Entries) || second.Lower != page.Lower {
			t.Fatalf("%+v is encoded as %+v", page, second)
		}
	})
}
