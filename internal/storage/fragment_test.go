package storage_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"sagevale/internal/storage"
	"sagevale/internal/storage/storagetest"
)

// If a term ends before all fragments of a record are written, the next leader reads the previous
// record of the same key.
func TestIncompleteFragmentsAreIgnored(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t)
		f.setLimits(storage.Limits{ValueBytes: lowestLimits.ValueBytes, TxnOps: 3})
		tracker := trackerWithNext(lowestLimits)
		tracker.Observe(storage.ErrMalformed)
		firstTerm, endFirstTerm := context.WithCancel(t.Context())
		first := f.openWith(firstTerm, tracker)
		first.write(map[string]any{"p1": text(1, 6000)})

		transactions := 0
		f.Update(func(s *storagetest.Service) {
			s.DropTxn = func(storagetest.Txn) bool { transactions++; return transactions > 2 }
		})
		go func() { _ = first.append(map[string]any{"p1": text(5, 7000)}) }() // returns when the term ends
		synctest.Wait()
		time.Sleep(20 * time.Second)
		endFirstTerm()
		f.Update(func(s *storagetest.Service) { s.DropTxn = nil })
		if transactions < 3 {
			t.Fatalf("%d transactions were sent, want 3", transactions)
		}
		if got, want := f.records()["p1"], marshal(t, text(1, 6000)); got != want {
			t.Errorf("the next leader reads %.20s, want %.20s", got, want)
		}

		f.openWith(t.Context(), tracker).write(map[string]any{"p1": text(3, 5000)})
		if got, want := f.records()["p1"], marshal(t, text(3, 5000)); got != want {
			t.Errorf("the next leader reads %.20s, want %.20s", got, want)
		}
	})
}

// Fragments of different writes have different tags and must not be joined, even if their indexes
// are consecutive.
func TestFragmentsOfDifferentWritesAreNotJoined(t *testing.T) {
	f := newFixture(t)
	for i, value := range []string{`[["p1","MQ==",0,2,7]]`, `[["p1","Mg==",1,2,8]]`, `[["p2","MQ==",0,2,9]]`, `[["p2","Mg==",1,2,9]]`} {
		f.put(storage.ChunkKey(uint64(i+1)), value)
	}
	if got := f.records(); len(got) != 1 || got["p2"] != "12" {
		t.Errorf("got records %v, want only p2: 12", got)
	}
}
