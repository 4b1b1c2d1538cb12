package storage_test

import (
	"encoding/json"
	"errors"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"sagevale/internal/storage"
	"sagevale/internal/storage/storagetest"
)

// The store may lower its limits without notice. In a former version every term ended from then on,
// because each new leader first wrote a value that the store rejected as malformed. After the limits
// are lowered, stored chunks must stay readable, the journal must write smaller chunks, and compaction
// must remove the old chunks.
func TestJournalAppliesLoweredLimits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const records = 40
		f := newFixture(t)
		tracker := trackerWithNext(lowestLimits)
		j := f.openWith(t.Context(), tracker)
		data := func(i int) string { return text(i, 100*(i%8)*(i%8)) }
		for i := range records {
			j.write(map[string]any{numberedKey("p", i): data(i)})
		}
		f.checkSentChunksArePlain()
		f.setLimits(lowestLimits)
		for round := range 30 {
			for i := range records {
				if round == 0 && i%2 == 1 {
					continue // the record stays in its large chunk for now
				}
				j.write(map[string]any{numberedKey("p", i): data(i), "f": round})
			}
		}
		if l := tracker.Limits(); l.ValueBytes != 2048 || l.TxnOps != 4 || l.ChangesPerS != 15 {
			t.Errorf("got limits %+v, want %+v", l, lowestLimits)
		}
		got := f.records()
		for i := range records {
			if want := marshal(t, data(i)); got[numberedKey("p", i)] != want {
				t.Errorf("record %d of %d bytes is read as %d bytes", i, len(want), len(got[numberedKey("p", i)]))
			}
		}
		chunks := f.chunks()
		if len(chunks) > 500 {
			t.Errorf("%d chunks are left, want at most 500", len(chunks))
		}
		for _, c := range chunks {
			if len(c.Data) > lowestLimits.ValueBytes {
				t.Errorf("a chunk of %d bytes is left, want at most %d", len(c.Data), lowestLimits.ValueBytes)
			}
		}
	})
}

// checkSentChunksArePlain checks that no sent chunk is compressed or holds fragments.
func (f *fixture) checkSentChunksArePlain() {
	f.t.Helper()
	for _, txn := range f.Sent {
		for _, op := range txn.Ops {
			if op.Data == nil {
				continue
			}
			if op.Data[0] != '[' {
				f.t.Errorf("chunk is compressed: %.60s", op.Data)
			}
			var records [][]json.RawMessage
			if json.Unmarshal(op.Data, &records) != nil {
				continue
			}
			for _, fields := range records {
				if len(fields) > 2 {
					f.t.Errorf("chunk holds fragments: %.60s", op.Data)
				}
			}
		}
	}
}

// Under lowered limits uncompressed commits took seconds, because the pages of a few job arrays
// used up the budget of changes. Such pages resemble each other, so they compress well.
func TestChunksAreCompressedUnderLoweredLimits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t)
		f.setLimits(lowestLimits)
		tracker := trackerWithNext(lowestLimits)
		tracker.Observe(storage.ErrMalformed)
		j := f.openWith(t.Context(), tracker)
		const rounds, pages = 20, 8
		plain := 0
		for round := range rounds {
			batch := make(map[string]any)
			for p := range pages {
				page := attemptsPage(round, p)
				batch[storage.TaskPageKey(fmt.Sprint(p), 0)] = page
				plain += len(marshal(t, page))
			}
			j.write(batch)
		}
		changes := 0
		for _, txn := range f.Sent {
			changes += len(txn.Ops)
		}
		if least := plain / (lowestLimits.ValueBytes * 9 / 10); changes > least*6/10 {
			t.Errorf("got %d changes, want at most 60%% of the %d that plain chunks take", changes, least)
		}
		if got := f.records(); len(got) != pages {
			t.Errorf("the next leader reads %d pages, want %d", len(got), pages)
		}
	})
}

// attemptsPage returns a page record of a running job array.
func attemptsPage(round, page int) storage.TaskPageRecord {
	var record storage.TaskPageRecord
	for i := range storage.TasksPerPage / 2 {
		record.Attempts = append(record.Attempts, storage.AttemptRecord{
			Task: i, Number: uint64(5<<24 + 1000*round + 40*page + i), Machine: 100 + (i*7+page)%90, Incarnation: 1,
		})
	}
	return record
}

// The response to a commit is lost, and the store rejects the retry as malformed. Here the first
// request was applied, so the journal must not replace its chunk by smaller ones. The term ends, and
// the next leader reads the stored records.
func TestLimitsLoweredAfterAppliedCommitEndTerm(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t)
		j := f.openWith(t.Context(), trackerWithNext(lowestLimits))
		j.write(map[string]any{"a": 1})
		f.Update(func(s *storagetest.Service) { s.LoseResponses = 1 })
		time.AfterFunc(10*time.Millisecond, func() { f.setLimits(lowestLimits) })
		if err := j.append(map[string]any{"b": text(1, 3000), "c": text(2, 3000)}); err == nil || errors.Is(err, storage.ErrMalformed) {
			t.Errorf("append: got %v, want the loss of leadership", err)
		}
		if got := f.records(); len(got) != 3 {
			t.Errorf("the next leader reads %d records, want 3", len(got))
		}
	})
}

// The first request of a commit isn't applied, and the store rejects the retry as malformed. The term
// must continue with smaller chunks, and the first request must have no effect if the store receives
// it later.
func TestLimitsLoweredAfterDroppedCommitAreApplied(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t)
		j := f.openWith(t.Context(), trackerWithTimeout(time.Second))
		j.write(map[string]any{"a": 1})
		first := len(f.Sent)
		f.Update(func(s *storagetest.Service) {
			s.DropTxn = func(storagetest.Txn) bool { return len(s.Sent) == first+1 }
		})
		time.AfterFunc(10*time.Millisecond, func() { f.setLimits(lowestLimits) })
		j.write(map[string]any{"b": text(1, 3000), "c": text(2, 3000)})
		f.setLimits(initialLimits) // the first request was sent before the limits were lowered
		if _, err := f.Txn(t.Context(), f.Sent[first].Guards, f.Sent[first].Ops); err == nil {
			t.Error("the first request was applied late")
		}
		if got := f.records(); len(got) != 3 {
			t.Errorf("the next leader reads %d records, want 3", len(got))
		}
	})
}
