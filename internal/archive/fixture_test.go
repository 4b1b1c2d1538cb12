package archive

import (
	"context"
	"fmt"
	"log/slog"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"sagevale/internal/storage"
	"sagevale/internal/storage/storagetest"
)

const (
	// leadershipKey is the key whose version guards the leader's writes.
	leadershipKey = "lead"
	// testTimeout is the timeout of a call of an Archiver.
	testTimeout = 5 * time.Second
	// shortTimeout is the timeout of a call of an Archiver that may get no response from the store.
	shortTimeout = 3 * time.Second
	// loadTime is longer than an Archiver takes to load all pages.
	loadTime = time.Minute
)

var testLimits = storage.Limits{RequestsPerS: 400, ChangesPerS: 400, ValueBytes: 1024, TxnOps: 12}

// testReporter fails a test, or a single random history of a test. *testing.T and *rapid.T implement it.
type testReporter interface {
	Helper()
	Fatalf(format string, args ...any)
	Errorf(format string, args ...any)
}

// fixture is a key-value store with the Archivers of several controllers, in simulated time.
type fixture struct {
	t            testReporter
	store        *storagetest.Service
	limits       *storage.LimitTracker
	memoryBytes  int         // memory limit of the Archivers that are started next
	disconnected atomic.Bool // whether all Archivers are disconnected from the store
	term         uint64
	cancels      []context.CancelFunc
	running      sync.WaitGroup
}

func newFixture(t testReporter) *fixture {
	f := &fixture{t: t, store: storagetest.NewService(), limits: storage.NewLimitTracker(testLimits), memoryBytes: 1 << 20}
	f.store.ValueBytes, f.store.TxnOps = testLimits.ValueBytes, testLimits.TxnOps
	return f
}

// runWithFixture runs a test with a new fixture in simulated time.
func runWithFixture(t *testing.T, test func(t *testing.T, f *fixture)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t)
		defer f.close()
		test(t, f)
	})
}

// close stops all Archivers, and waits for delayed writes.
func (f *fixture) close() {
	for _, stop := range f.cancels {
		stop()
	}
	f.running.Wait()
	f.store.Close()
	time.Sleep(time.Hour)
}

// newArchiver returns an Archiver that isn't running.
func (f *fixture) newArchiver(store storage.KeyValueStore, follow bool) *Archiver {
	settings := Settings{RefreshInterval: 10 * time.Second, RequestTimeout: time.Second, MemoryBytes: f.memoryBytes, Follow: follow}
	return NewArchiver(store, f.limits, settings, slog.New(slog.DiscardHandler))
}

// start starts an Archiver. follow is its Settings.Follow.
func (f *fixture) start(follow bool) *Archiver {
	a := f.newArchiver(&storagetest.Client{Service: f.store, Disconnected: &f.disconnected}, follow)
	ctx, stop := context.WithCancel(context.Background())
	f.cancels = append(f.cancels, stop)
	f.running.Go(func() { a.Run(ctx) })
	return a
}

// startIdle starts an Archiver that holds no pages unless its controller is the leader.
func (f *fixture) startIdle() *Archiver { return f.start(false) }

// startFollower starts an Archiver that always holds pages.
func (f *fixture) startFollower() *Archiver { return f.start(true) }

// startLeader starts the Archiver of a new leader.
func (f *fixture) startLeader() *Archiver {
	f.t.Helper()
	a := f.startIdle()
	f.beginTerm(a)
	return a
}

// startLeaderWith starts the Archiver of a leader and archives the given number of jobs.
func (f *fixture) startLeaderWith(jobs int) (*Archiver, []Entry) {
	f.t.Helper()
	a, entries := f.startLeader(), newEntries(jobs)
	f.archive(a, entries)
	return a, entries
}

// beginTerm makes an Archiver's controller the leader. From then on the writes of all other Archivers
// fail.
func (f *fixture) beginTerm(a *Archiver) Leadership {
	f.t.Helper()
	f.term++
	version := f.put(leadershipKey, fmt.Sprint(f.term))
	leadership := Leadership{f.term, storage.Guard{Key: leadershipKey, Version: version}}
	a.BeginTerm(context.Background(), leadership)
	return leadership
}

// put writes a key without guards and returns its version.
func (f *fixture) put(key, value string) (version uint64) {
	f.t.Helper()
	return f.apply(storage.Op{Key: key, Data: []byte(value)})
}

// apply applies operations without guards.
func (f *fixture) apply(ops ...storage.Op) (revision uint64) {
	f.t.Helper()
	revision, err := f.store.Apply(nil, ops)
	if err != nil {
		f.t.Fatalf("apply %+v: %v", ops, err)
	}
	return revision
}

// storedPageKeys returns the keys of all stored pages, in order.
func (f *fixture) storedPageKeys() []string { return f.store.Keys(pagePrefix) }

// archive passes jobs to an Archiver until all of them are archived.
func (f *fixture) archive(a *Archiver, entries []Entry) {
	f.t.Helper()
	entries = slices.Clone(entries)
	for range 2000 {
		archived, _ := archiveOnce(a, entries, testTimeout) // errors are retried
		entries = slices.DeleteFunc(entries, func(e Entry) bool { return slices.Contains(archived, e.Number) })
		if len(entries) == 0 {
			return
		}
		time.Sleep(100 * time.Millisecond)
	}
	f.t.Fatalf("%d jobs aren't archived", len(entries))
}

// archiveOnce passes jobs to an Archiver once, with a timeout.
func archiveOnce(a *Archiver, entries []Entry, timeout time.Duration) ([]JobNumber, error) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	return a.Archive(ctx, entries)
}

// read reads a job once, with testTimeout.
func read(a *Archiver, number JobNumber) (Result, error) {
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	return a.Read(ctx, number)
}

// readUntilAnswered reads a job repeatedly until a read succeeds.
func (f *fixture) readUntilAnswered(a *Archiver, number JobNumber) Result {
	f.t.Helper()
	var err error
	for range 100 {
		var r Result
		if r, err = read(a, number); err == nil {
			return r
		}
		time.Sleep(100 * time.Millisecond)
	}
	f.t.Errorf("read %s: %v", number.ID(), err)
	return Result{}
}

// checkFound reads a job and requires that it is archived.
func (f *fixture) checkFound(a *Archiver, want Entry) {
	f.t.Helper()
	if r := f.readUntilAnswered(a, want.Number); r.Status != Found || r.FinalState != want.FinalState {
		f.t.Errorf("read %s: got %+v, want found %+v", want.Number.ID(), r, want.FinalState)
	}
}

// checkAbsent reads a job and requires that it isn't archived.
func (f *fixture) checkAbsent(a *Archiver, number JobNumber) {
	f.t.Helper()
	if r := f.readUntilAnswered(a, number); r.Status != Absent {
		f.t.Errorf("read %s: got %+v, want absent", number.ID(), r)
	}
}

// checkHeld looks up a job in the index and requires that it is found without reading its page.
func checkHeld(t *testing.T, a *Archiver, want Entry) {
	t.Helper()
	if r := a.Index.Lookup(want.Number); r.Status != Found || r.FinalState != want.FinalState {
		t.Errorf("lookup of %s: got %+v, want found %+v", want.Number.ID(), r, want.FinalState)
	}
}

// newEntries returns n finished jobs whose IDs are far apart.
func newEntries(n int) []Entry {
	var entries []Entry
	for i := range n {
		number, _ := ParseJobNumber(fmt.Sprintf("%018d", i*999_999_999_937))
		entries = append(entries, Entry{number, FinalState{Cancelled: i%3 == 0, Done: i % 200}})
	}
	return entries
}

// delayOnce returns a fault that delays the next transaction. The store applies it late and sends no
// response.
func delayOnce(by time.Duration) func() time.Duration {
	used := false
	return func() time.Duration {
		if used {
			return 0
		}
		used = true
		return by
	}
}
