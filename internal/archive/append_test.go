package archive

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"testing"
	"time"

	"sagevale/internal/storage"
	"sagevale/internal/storage/storagetest"
)

func TestArchivedJobsAreFoundByEveryController(t *testing.T) {
	runWithFixture(t, func(t *testing.T, f *fixture) {
		leader, follower := f.startIdle(), f.startFollower()
		f.beginTerm(leader)
		entries := newEntries(600)
		f.archive(leader, entries)
		if pages := f.storedPageKeys(); len(pages) < 5 {
			t.Errorf("got %d pages, want at least 5", len(pages))
		}
		time.Sleep(30 * time.Second)
		next := f.startLeader()
		for _, e := range entries {
			checkHeld(t, leader, e)
			checkHeld(t, follower, e)
			f.checkFound(next, e)
		}
		for _, id := range edgeIDs[2:] {
			number, _ := ParseJobNumber(id)
			if _, archived := slices.BinarySearchFunc(entries, number, compareNumber); !archived {
				f.checkAbsent(next, number)
			}
		}
	})
}

// The first leader archives jobs, but its writes arrive late, or the responses to its writes are lost. The
// next leader then archives some of the same jobs again. Every job must be found and be counted once, and the
// first leader must archive nothing after its term.
func TestNextLeaderArchivesSameJobs(t *testing.T) {
	for _, c := range []struct {
		name   string
		faults func(s *storagetest.Service)
	}{
		{"answers lost", func(s *storagetest.Service) { s.LoseResponses = 3 }},
		{"late", func(s *storagetest.Service) { s.Delay = delayOnce(2 * time.Second) }},
		{"very late", func(s *storagetest.Service) { s.Delay = delayOnce(time.Minute) }},
	} {
		t.Run(c.name, func(t *testing.T) {
			runWithFixture(t, func(t *testing.T, f *fixture) { archiveWithTwoLeaders(t, f, c.faults) })
		})
	}
}

func archiveWithTwoLeaders(t *testing.T, f *fixture, faults func(s *storagetest.Service)) {
	entries := newEntries(300)
	first := f.startLeader()
	f.archive(first, entries[:100])
	f.store.Update(faults)
	_, _ = archiveOnce(first, entries[100:200], shortTimeout) // may fail
	f.archive(f.startLeader(), entries[50:])
	if _, err := first.Archive(context.Background(), entries[200:]); err == nil {
		if archived, _ := archiveOnce(first, entries[200:], shortTimeout); len(archived) > 0 {
			t.Errorf("the first leader archives %v after its term", archived)
		}
	}
	time.Sleep(2 * time.Minute)
	last := f.startLeader()
	for _, e := range entries {
		f.checkFound(last, e)
	}
	time.Sleep(loadTime)
	if n, err := last.Count(context.Background()); err != nil || n != len(entries) {
		t.Errorf("Count: got %d, %v; want %d", n, err, len(entries))
	}
}

// A write that arrives again after later writes of the same page has no effect.
func TestRepeatedWriteHasNoEffect(t *testing.T) {
	runWithFixture(t, func(t *testing.T, f *fixture) {
		leader := f.startLeader()
		entries := newEntries(400)
		for group := range slices.Chunk(entries, 40) {
			f.archive(leader, group)
		}
		f.store.Update(func(s *storagetest.Service) {
			if len(s.Sent) < 8 {
				t.Fatalf("got %d writes, want at least 8", len(s.Sent))
			}
		})
		before := leader.Index.Stats()
		for _, txn := range f.store.Sent {
			var conflict *storage.ConflictError
			if _, err := f.store.Apply(txn.Guards, txn.Ops); !errors.As(err, &conflict) {
				t.Errorf("repeated write: got %v, want a conflict", err)
			}
		}
		next := f.startLeader()
		for _, e := range entries {
			f.checkFound(next, e)
		}
		if after := next.Index.Stats(); after.Jobs != before.Jobs {
			t.Errorf("got %+v, want the jobs of %+v", after, before)
		}
	})
}

func TestArchivedFinalStateIsNotReplaced(t *testing.T) {
	runWithFixture(t, func(_ *testing.T, f *fixture) {
		leader := f.startLeader()
		e := newEntries(5)[4]
		f.archive(leader, []Entry{e})
		f.archive(leader, []Entry{{e.Number, FinalState{Cancelled: !e.Cancelled, Done: 7}}})
		f.checkFound(leader, e)
	})
}

// The store's limits fall below the size of stored pages. Jobs in such a page must remain readable. If the
// lower limits allow it, the page must be split when jobs are added to it.
func TestLimitsFallBelowPageSize(t *testing.T) {
	for _, c := range []struct {
		valueBytes, txnOps int
		canSplit           bool
	}{{512, 12, true}, {256, 3, false}} {
		t.Run(fmt.Sprint(c.valueBytes), func(t *testing.T) {
			runWithFixture(t, func(t *testing.T, f *fixture) {
				limits := testLimits
				limits.Next = &storage.Limits{ValueBytes: c.valueBytes, TxnOps: c.txnOps}
				f.limits = storage.NewLimitTracker(limits)
				var early, late []Entry
				for i, e := range newEntries(300) {
					if i%10 == 0 {
						late = append(late, e)
					} else {
						early = append(early, e)
					}
				}
				leader := f.startLeader()
				f.archive(leader, early)
				f.store.Update(func(s *storagetest.Service) { s.ValueBytes, s.TxnOps = c.valueBytes, c.txnOps })
				if c.canSplit {
					f.archive(leader, late)
				} else {
					for range 50 {
						_, _ = leader.Archive(context.Background(), late) // may fail
						time.Sleep(200 * time.Millisecond)
					}
				}
				next := f.startLeader()
				for _, e := range early {
					f.checkFound(next, e)
				}
				for _, e := range late {
					if r, err := read(next, e.Number); c.canSplit && (err != nil || r.Status != Found) {
						t.Errorf("read %s: got %+v, %v; want found", e.Number.ID(), r, err)
					}
				}
			})
		})
	}
}
