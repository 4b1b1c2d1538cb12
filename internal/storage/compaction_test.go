package storage_test

import (
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"sagevale/internal/storage"
)

// Commits at the highest rate use up the change rate, so that none of it is left for compaction.
// Compaction is therefore forced beyond a number of excess chunks. Without this the journal grew to
// 2000 chunks, all of which the next leader had to read.
func TestCompactionKeepsUpWithLoad(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t)
		j := f.open()
		for i := range 1500 {
			j.write(map[string]any{numberedKey("j", i%300): i})
		}
		if chunks := f.chunks(); len(chunks) > 150 {
			t.Errorf("got %d chunks of 300 records, want at most 150", len(chunks))
		}
		if got := f.records(); len(got) != 300 || got["j299"] != "1499" {
			t.Errorf("got %d records, the last is %s; want 300 and 1499", len(got), got["j299"])
		}
	})
}

// Compaction expects records to compress as well as the records that it moved before. If they
// compress worse, the compaction must be abandoned as a whole. In a former version such records
// counted as moved although they were not written, and were lost when their old chunk was deleted.
func TestCompactionKeepsRecordsThatCompressWorse(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t)
		j := f.openWith(t.Context(), trackerWithNext(lowestLimits))
		want := make(map[string]string)
		write := func(batch map[string]any) {
			j.write(batch)
			for key, data := range batch {
				want[key] = marshal(t, data)
			}
		}
		for i := range 80 {
			write(map[string]any{numberedKey("j", i): text(2*i+1, 300+10*i)})
		}
		f.setLimits(lowestLimits)
		for i := range 300 {
			batch := make(map[string]any)
			for k := range 6 {
				batch[numberedKey("p", k)] = strings.Repeat(fmt.Sprint(i), 600)
			}
			write(batch)
		}
		got := f.records()
		for key := range want {
			if got[key] != want[key] {
				t.Errorf("record %s of %d bytes is read as %d bytes", key, len(want[key]), len(got[key]))
			}
		}
		if n := len(f.Keys(chunkPrefix)); n > 250 {
			t.Errorf("%d chunks are left, want at most 250", n)
		}
	})
}

// A record was written whole while the limits were higher. While fragments aren't allowed, compaction
// must not split this record, and leaves the record's chunk in place.
func TestPlainOnlyCompactionWritesNoFragments(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t)
		f.open().write(map[string]any{"plarge": text(1, 2200)})
		j := f.openUnderLoweredLimits(t.Context())
		j.SetEncoding(storage.PlainOnly)
		for i := range 300 {
			j.write(map[string]any{"f": i})
			time.Sleep(100 * time.Millisecond)
		}
		if keys := f.encodedChunkKeys(); len(keys) > 0 {
			t.Errorf("encoded chunks were written: %v", keys)
		}
		if got := f.records()["plarge"]; len(got) < 2200 {
			t.Errorf("the large record is read as %d bytes, want 2200", len(got))
		}
	})
}
