package storage

import (
	"encoding/json"
	"fmt"
	"reflect"
	"testing"
)

// pagesChunk returns the value of a plain chunk that holds page records with attempts.
func pagesChunk(tb testing.TB, pages int) []byte {
	tb.Helper()
	var records []Record
	for i := range pages {
		page := TaskPageRecord{Done: []int{0, 3}}
		for task := range 5 {
			page.Attempts = append(page.Attempts, AttemptRecord{Task: task, Number: uint64(167772160 + i), Machine: 231 + i, Incarnation: 1})
		}
		r, err := NewRecord(TaskPageKey(fmt.Sprintf("%06d", i), 0), page)
		if err != nil {
			tb.Fatal(err)
		}
		records = append(records, r)
	}
	value, err := EncodeChunk(records)
	if err != nil {
		tb.Fatal(err)
	}
	return value
}

// parseRecords and UnmarshalJSON must accept the same chunks and decode the same records.
func TestParseRecordsMatchesUnmarshalJSON(t *testing.T) {
	for _, raw := range []string{
		string(pagesChunk(t, 3)), `[]`, `[["m8"]]`, `[["m8",null]]`, `[["a\u0062",{"x":1}]]`, `[["k","cGllY2U=",0,2,7]]`,
		`[["k","cGllY2U=",2,2,7]]`, `[[]]`, `[["a",1,2]]`, `[[7,1]]`, `{}`, `[["a",1]`, `null`, `[null]`, `[["a",1],7]`,
	} {
		var want []Record
		wantErr := json.Unmarshal([]byte(raw), &want)
		got, err := parseRecords([]byte(raw))
		if (err == nil) != (wantErr == nil) || err == nil && len(want) > 0 && !reflect.DeepEqual(got, want) {
			t.Errorf("%s: got %+v, %v; want %+v, %v", raw, got, err, want, wantErr)
		}
	}
}

// A failover decodes every chunk while there is no leader, so decoding must allocate little.
func TestParseRecordsAllocations(t *testing.T) {
	const records, maxPerRecord = 40, 7
	raw := pagesChunk(t, records)
	allocs := testing.AllocsPerRun(50, func() {
		if _, err := parseRecords(raw); err != nil {
			t.Fatal(err)
		}
	})
	if perRecord := allocs / records; perRecord > maxPerRecord {
		t.Errorf("got %.1f allocations a record, want at most %d", perRecord, maxPerRecord)
	}
}

func BenchmarkParseRecords(b *testing.B) {
	raw := pagesChunk(b, 40)
	b.ReportAllocs()
	for b.Loop() {
		if _, err := parseRecords(raw); err != nil {
			b.Fatal(err)
		}
	}
}

func BenchmarkUnmarshalRecords(b *testing.B) {
	raw := pagesChunk(b, 40)
	b.ReportAllocs()
	for b.Loop() {
		var records []Record
		if err := json.Unmarshal(raw, &records); err != nil {
			b.Fatal(err)
		}
	}
}
