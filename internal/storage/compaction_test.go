package storage_test

import (
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"sagevale/internal/storage"
)

// Commits at the highest rate leave no changes for compaction: the journal once grew to two
// thousand chunks, which the next leader had to read.
func TestCompactionKeepsUpWithLoad(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t)
		j := f.open()
		for i := range 1500 {
			j.write(map[string]any{numbered("j", i%300): i})
		}
		if chunks := f.chunks(); len(chunks) > 150 {
			t.Errorf("got %d chunks of 300 records, want at most 150", len(chunks))
		}
		if got := f.records(); len(got) != 300 || got["j299"] != "1499" {
			t.Errorf("got %d records, the last is %s; want 300 and 1499", len(got), got["j299"])
		}
	})
}

// Compaction expects records to shrink as much as earlier ones. If they shrink less, nothing
// may change: they were once noted as moved though they weren't, and lost with their old chunk.
func TestCompactionKeepsRecordsThatCompressWorse(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t)
		j := f.openWith(t.Context(), trackerTo(lowest))
		want := make(map[string]string)
		write := func(batch map[string]any) {
			j.write(batch)
			for key, data := range batch {
				want[key] = marshal(t, data)
			}
		}
		for i := range 80 {
			write(map[string]any{numbered("j", i): text(2*i+1, 300+10*i)})
		}
		f.setLimits(lowest)
		for i := range 300 {
			batch := make(map[string]any)
			for k := range 6 {
				batch[numbered("p", k)] = strings.Repeat(fmt.Sprint(i), 600)
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

// A record that was written whole under higher limits is not split by compaction unless that is
// allowed: its chunk stays.
func TestPlainOnlyCompactionWritesNoFragments(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t)
		f.open().write(map[string]any{"plarge": text(1, 2200)})
		j := f.openLowered(t.Context())
		j.SetEncoding(storage.PlainOnly)
		for i := range 300 {
			j.write(map[string]any{"f": i})
			time.Sleep(100 * time.Millisecond)
		}
		if keys := f.encodedKeys(); len(keys) > 0 {
			t.Errorf("encoded chunks were written: %v", keys)
		}
		if got := f.records()["plarge"]; len(got) < 2200 {
			t.Errorf("the large record is read as %d bytes, want 2200", len(got))
		}
	})
}
