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

// Limits that fell without notice once ended every term: each new leader began with a value
// that the store called malformed. Stored chunks stay readable, records are written in smaller
// chunks from then on, and the old chunks are compacted away.
func TestJournalAppliesLoweredLimits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const records = 40
		f := newFixture(t)
		tracker := trackerTo(lowest)
		j := f.openWith(t.Context(), tracker)
		data := func(i int) string { return text(i, 100*(i%8)*(i%8)) }
		for i := range records {
			j.write(map[string]any{numbered("p", i): data(i)})
		}
		f.checkSentPlain()
		f.setLimits(lowest)
		for round := range 30 {
			for i := range records {
				if round == 0 && i%2 == 1 {
					continue // stays in its large chunk for now
				}
				j.write(map[string]any{numbered("p", i): data(i), "f": round})
			}
		}
		if l := tracker.Limits(); l.ValueBytes != 2048 || l.TxnOps != 4 || l.ChangesPerS != 15 {
			t.Errorf("got limits %+v, want %+v", l, lowest)
		}
		got := f.records()
		for i := range records {
			if want := marshal(t, data(i)); got[numbered("p", i)] != want {
				t.Errorf("record %d of %d bytes is read as %d bytes", i, len(want), len(got[numbered("p", i)]))
			}
		}
		chunks := f.chunks()
		if len(chunks) > 500 {
			t.Errorf("%d chunks are left, want at most 500", len(chunks))
		}
		for _, c := range chunks {
			if len(c.Data) > lowest.ValueBytes {
				t.Errorf("a chunk of %d bytes is left, want at most %d", len(c.Data), lowest.ValueBytes)
			}
		}
	})
}

// checkSentPlain checks that no chunk that was sent is compressed or holds fragments.
func (f *fixture) checkSentPlain() {
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

// Under the lowered limits commits took seconds, because the pages of a few job arrays used up
// the changes. Such pages resemble each other.
func TestChunksAreCompressedUnderLoweredLimits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t)
		f.setLimits(lowest)
		tracker := trackerTo(lowest)
		tracker.Observe(storage.ErrMalformed)
		j := f.openWith(t.Context(), tracker)
		const rounds, pages = 20, 8
		plain := 0
		for round := range rounds {
			batch := make(map[string]any)
			for p := range pages {
				page := attemptsPage(round, p)
				batch[storage.PageKey(fmt.Sprint(p), 0)] = page
				plain += len(marshal(t, page))
			}
			j.write(batch)
		}
		changes := 0
		for _, txn := range f.Sent {
			changes += len(txn.Ops)
		}
		if least := plain / (lowest.ValueBytes * 9 / 10); changes > least*6/10 {
			t.Errorf("got %d changes, want at most 60%% of the %d that plain chunks take", changes, least)
		}
		if got := f.records(); len(got) != pages {
			t.Errorf("the next leader reads %d pages, want %d", len(got), pages)
		}
	})
}

// attemptsPage is a page record of a job array that runs.
func attemptsPage(round, page int) storage.PageRecord {
	var record storage.PageRecord
	for i := range storage.PageTasks / 2 {
		record.Attempts = append(record.Attempts, storage.AttemptRecord{
			Task: i, Number: uint64(5<<24 + 1000*round + 40*page + i), Machine: 100 + (i*7+page)%90, Incarnation: 1,
		})
	}
	return record
}

// If a commit without an answer is called malformed at its retry, the first attempt may have
// been applied: smaller chunks must not be written over it. The next leader reads what there is.
func TestLimitsLoweredAfterAppliedCommitEndTerm(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t)
		j := f.openWith(t.Context(), trackerTo(lowest))
		j.write(map[string]any{"a": 1})
		f.Update(func(s *storagetest.Service) { s.LoseResponses = 1 })
		time.AfterFunc(10*time.Millisecond, func() { f.setLimits(lowest) })
		if err := j.append(map[string]any{"b": text(1, 3000), "c": text(2, 3000)}); err == nil || errors.Is(err, storage.ErrMalformed) {
			t.Errorf("append: got %v, want the loss of leadership", err)
		}
		if got := f.records(); len(got) != 3 {
			t.Errorf("the next leader reads %d records, want 3", len(got))
		}
	})
}

// If the first attempt wasn't applied, the term continues with smaller chunks, and the first
// attempt must have no effect later.
func TestLimitsLoweredAfterDroppedCommitAreApplied(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t)
		j := f.openWith(t.Context(), trackerWithTimeout(time.Second))
		j.write(map[string]any{"a": 1})
		first := len(f.Sent)
		f.Update(func(s *storagetest.Service) {
			s.Drop = func(storagetest.Txn) bool { return len(s.Sent) == first+1 }
		})
		time.AfterFunc(10*time.Millisecond, func() { f.setLimits(lowest) })
		j.write(map[string]any{"b": text(1, 3000), "c": text(2, 3000)})
		f.setLimits(limits) // the first attempt arrived before they fell
		if _, err := f.Txn(t.Context(), f.Sent[first].Guards, f.Sent[first].Ops); err == nil {
			t.Error("the first attempt is applied late")
		}
		if got := f.records(); len(got) != 3 {
			t.Errorf("the next leader reads %d records, want 3", len(got))
		}
	})
}
