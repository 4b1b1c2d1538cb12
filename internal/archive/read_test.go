package archive

import (
	"context"
	"errors"
	"testing"
	"time"

	"sagevale/internal/storage/storagetest"
)

// Only a page that was read in the leader's own term proves that a job isn't archived. Here the index of the
// new leader was read before the last write of the previous leader.
func TestOutdatedIndexDoesNotProveAbsence(t *testing.T) {
	runWithFixture(t, func(t *testing.T, f *fixture) {
		first, second := f.startIdle(), f.startFollower()
		f.beginTerm(first)
		entries := newEntries(100)
		f.archive(first, entries[:50])
		time.Sleep(loadTime)
		late := entries[70]
		if r := second.Index.Lookup(late.Number); r.Status != Absent || r.Term != 0 {
			t.Errorf("lookup at a follower: got %+v, want absent for no term", r)
		}
		f.archive(first, []Entry{late})
		f.disconnected.Store(true)
		leadership := f.beginTerm(second)
		if r := second.Index.Lookup(late.Number); r.Status == Absent && r.Term == leadership.Term {
			t.Error("the outdated index proves that the job isn't archived")
		}
		if r, err := read(second, late.Number); err == nil && r.Status == Absent && r.Term == leadership.Term {
			t.Errorf("read without the store: got %+v, want no proof", r)
		}
		f.disconnected.Store(false)
		f.checkFound(second, late)
		f.checkAbsent(second, late.Number-1)
	})
}

// Reads beyond the archive's share of the request rate fail with ErrBusy at once.
func TestReadsAreRateLimited(t *testing.T) {
	const reads = 1000
	runWithFixture(t, func(t *testing.T, f *fixture) {
		first := f.startIdle()
		f.memoryBytes = 1 // all entries are evicted
		leader := f.startIdle()
		f.beginTerm(first)
		f.archive(first, newEntries(600))
		f.beginTerm(leader)
		time.Sleep(loadTime)
		began := time.Now()
		errs := make(chan error, reads)
		for i := range reads {
			go func() {
				_, err := read(leader, JobNumber(i*1_000_003+1))
				errs <- err
			}()
		}
		busy, answered := 0, 0
		for range reads {
			if err := <-errs; errors.Is(err, ErrBusy) {
				busy++
			} else if err == nil {
				answered++
			}
		}
		took := time.Since(began)
		share := testLimits.RequestsPerS * readRateShare
		if maxAnswered := int(share*took.Seconds()) + int(share) + 1; answered > maxAnswered || busy < 800 || took > time.Second {
			t.Errorf("got %d answered, %d busy in %v; want at most %d, at least 800, and at most a second",
				answered, busy, took, maxAnswered)
		}
	})
}

// A read whose caller no longer waits sends no request to the store.
func TestReadSkipsCancelledRequest(t *testing.T) {
	runWithFixture(t, func(t *testing.T, f *fixture) {
		f.memoryBytes = 1 // all entries are evicted
		leader, entries := f.startLeaderWith(100)
		time.Sleep(loadTime)
		requests := 0
		f.store.Update(func(s *storagetest.Service) {
			s.RefuseRead = func(string) bool { requests++; return false }
		})
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		if _, err := leader.Read(ctx, entries[50].Number); !errors.Is(err, context.Canceled) {
			t.Errorf("Read: got %v, want %v", err, context.Canceled)
		}
		time.Sleep(time.Second)
		if requests > 0 {
			t.Errorf("got %d requests, want none", requests)
		}
		if _, err := read(leader, entries[50].Number); err != nil || requests != 1 {
			t.Errorf("a read that isn't cancelled: got %d requests, %v; want 1", requests, err)
		}
	})
}
