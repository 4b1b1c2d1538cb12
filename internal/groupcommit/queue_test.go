package groupcommit

import (
	"errors"
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"sagevale/internal/storage"
)

// failOnUnencodable panics. Tests in which every entity can be encoded pass it to BeginCommit as the callback for
// entities that can't be encoded.
func failOnUnencodable(key string, err error) { panic(fmt.Sprint(key, err)) }

// dataOfSize returns a data function for an entity of about the given size.
func dataOfSize(bytes int) func() any { return func() any { return strings.Repeat("x", bytes) } }

// recordKeys returns the keys of the records, in order.
func recordKeys(records []storage.Record) (out []string) {
	for _, r := range records {
		out = append(out, r.Key)
	}
	return out
}

// model runs a queue and a reference model of this queue side by side. The value of an entity is the number of times
// that the entity was marked. The model records which values are durable.
type model struct {
	queue        *Queue
	values       map[string]int  // the latest value of each entity
	lanes        map[string]Lane // the lane of each entity's last mark
	committing   map[string]int  // the values in the commit in flight; nil: there is none
	durable      map[string]int
	callbacks    map[int]map[string]int // the values that each callback waits for; called callbacks are removed
	nextCallback int
	failed       bool // the last commit failed
}

func newModel() *model {
	return &model{
		queue: New(), values: make(map[string]int), lanes: make(map[string]Lane),
		durable: make(map[string]int), callbacks: make(map[int]map[string]int),
	}
}

// mark changes an entity's value and marks it in a lane.
func (m *model) mark(in Lane, key string) {
	m.values[key]++
	m.lanes[key] = in
	m.queue.Mark(in, key, func() any { return m.values[key] })
}

// addCallback registers a callback for the given lanes. When the callback is called, it checks that the values that it
// waits for are durable.
func (m *model) addCallback(t *rapid.T, in ...Lane) {
	waits := make(map[string]int)
	for key, v := range m.values {
		if slices.Contains(in, m.lanes[key]) {
			waits[key] = v
		}
	}
	id := m.nextCallback
	m.nextCallback++
	m.callbacks[id] = waits
	called := func(err error) {
		if _, open := m.callbacks[id]; !open {
			t.Fatalf("callback %d was called twice", id)
		}
		for key, v := range m.callbacks[id] {
			if err == nil && m.durable[key] < v {
				t.Fatalf("callback %d was called while %s is durable at %d, want %d", id, key, m.durable[key], v)
			}
		}
		if (err != nil) != m.failed {
			t.Fatalf("callback %d: got error %v, want one: %v", id, err, m.failed)
		}
		delete(m.callbacks, id)
	}
	if len(in) == int(laneCount) {
		m.queue.OnAllDurable(called)
	} else {
		m.queue.OnDurable(called, in...)
	}
}

// begin begins a commit with about the given number of bytes, and records the values in the commit. It returns false
// if there is nothing to commit.
func (m *model) begin(bytes int) bool {
	records, ok := m.queue.BeginCommit(bytes, failOnUnencodable)
	if !ok {
		return false
	}
	m.committing = make(map[string]int)
	for _, r := range records {
		m.committing[r.Key] = m.values[r.Key]
	}
	return true
}

// end ends the commit in flight with a result.
func (m *model) end(err error) {
	m.failed = err != nil
	if err == nil {
		maps.Copy(m.durable, m.committing)
	}
	m.committing = nil
	m.queue.EndCommit(err)
}

// In any sequence of marks, callbacks and commits, each callback must be called exactly once and not before
// everything that it waits for is durable. Nothing may be left in the queue in the end.
func TestCallbacksWaitUntilDurable(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newModel()
		t.Repeat(map[string]func(*rapid.T){
			"mark": func(t *rapid.T) {
				m.mark(Lane(rapid.IntRange(0, int(laneCount)-1).Draw(t, "lane")), rapid.StringMatching("[a-f]").Draw(t, "key"))
			},
			"awaitAll":         func(t *rapid.T) { m.addCallback(t, Urgent, Interactive, Bulk) },
			"awaitUrgent":      func(t *rapid.T) { m.addCallback(t, Urgent, Interactive) },
			"awaitInteractive": func(t *rapid.T) { m.addCallback(t, Interactive) },
			"begin": func(t *rapid.T) {
				if m.committing != nil {
					if _, ok := m.queue.BeginCommit(100, failOnUnencodable); ok {
						t.Fatal("got a second commit while one is in flight")
					}
					return
				}
				m.begin(rapid.IntRange(0, 60).Draw(t, "bytes"))
			},
			"end": func(*rapid.T) {
				if m.committing != nil {
					m.end(nil)
				}
			},
			"": func(t *rapid.T) {
				for key, v := range m.values {
					want := m.durable[key] == v && m.committing[key] == 0
					if got := m.queue.IsDurable(key); got != want {
						t.Fatalf("Durable(%s) at %d, with %d durable: got %v, want %v", key, v, m.durable[key], got, want)
					}
				}
			},
		})
		if m.committing != nil {
			m.end(nil)
		}
		for range 100 {
			if m.begin(20) {
				m.end(nil)
			}
		}
		if len(m.callbacks) > 0 || m.queue.lanesWaiting() > 0 {
			t.Fatalf("%d callbacks and entities of %d lanes are left, want none", len(m.callbacks), m.queue.lanesWaiting())
		}
	})
}

// A flood of changes in one lane must not keep the entities of the other lanes out of the next commit.
func TestLanesShareCommits(t *testing.T) {
	for flood := range laneCount {
		q := New()
		for i := range 1000 {
			q.Mark(flood, fmt.Sprintf("flood%d", i), dataOfSize(100))
		}
		for other := range laneCount {
			if other != flood {
				q.Mark(other, fmt.Sprintf("other%d", other), dataOfSize(100))
			}
		}
		records, _ := q.BeginCommit(2000, failOnUnencodable)
		if n := strings.Count(strings.Join(recordKeys(records), " "), "other"); n != 2 {
			t.Errorf("flood in lane %d: got %d records of the other lanes, want 2: %v", flood, n, recordKeys(records))
		}
		if n := len(records); n < 15 || n > 25 {
			t.Errorf("flood in lane %d: got %d records of 100 bytes, want 15 to 25 in 2000 bytes", flood, n)
		}
		if got, want := q.EndCommit(nil), flood == Interactive; got != want {
			t.Errorf("flood in lane %d: got full %v, want %v", flood, got, want)
		}
	}
}

func TestOldestMarksAreCommittedFirst(t *testing.T) {
	q := New()
	for _, key := range []string{"c", "a", "b", "c"} {
		q.Mark(Bulk, key, dataOfSize(100))
	}
	var order []string
	for {
		records, ok := q.BeginCommit(1, failOnUnencodable)
		if !ok {
			break
		}
		order = append(order, recordKeys(records)...)
		q.EndCommit(nil)
	}
	if got, want := strings.Join(order, ""), "cab"; got != want {
		t.Errorf("got order %s, want %s", got, want)
	}
}

func TestUnencodableEntityIsLeftOut(t *testing.T) {
	q := New()
	q.Mark(Interactive, "bad", func() any { return func() {} })
	q.Mark(Interactive, "good", dataOfSize(1))
	var failed string
	records, ok := q.BeginCommit(1000, func(key string, _ error) { failed = key })
	if !ok || failed != "bad" || !slices.Equal(recordKeys(records), []string{"good"}) {
		t.Errorf("got failed %q, records %v; want bad and good", failed, recordKeys(records))
	}
}

func TestFailedCommitCallsAllCallbacks(t *testing.T) {
	q := New()
	q.Mark(Interactive, "job", dataOfSize(1))
	if _, ok := q.BeginCommit(1000, failOnUnencodable); !ok {
		t.Fatal("no commit begins")
	}
	want := errors.New("leadership lost")
	var got []error
	q.OnAllDurable(func(err error) { got = append(got, err) })
	q.EndCommit(want)
	if !slices.Equal(got, []error{want}) {
		t.Errorf("got callbacks with %v, want one with %v", got, want)
	}
}

func TestBulkHeldBackWaitsForOtherLanes(t *testing.T) {
	q := New()
	q.LimitBulk(0)
	calls := 0
	q.Mark(Bulk, "page", dataOfSize(100))
	q.OnAllDurable(func(error) { calls++ })
	if _, ok := q.BeginCommit(1000, failOnUnencodable); ok {
		t.Error("bulk is committed while it is held back")
	}
	q.Mark(Interactive, "job", dataOfSize(100))
	records, _ := q.BeginCommit(1000, failOnUnencodable)
	if got := recordKeys(records); !slices.Equal(got, []string{"job"}) {
		t.Errorf("got records %v, want only the job", got)
	}
	q.EndCommit(nil)
	if calls != 0 {
		t.Error("the callback was called before bulk is durable")
	}
	q.LimitBulk(1)
	records, _ = q.BeginCommit(1000, failOnUnencodable)
	q.EndCommit(nil)
	if got := recordKeys(records); !slices.Equal(got, []string{"page"}) || calls != 1 {
		t.Errorf("got records %v and %d calls, want only the page and one call", got, calls)
	}
	q.LimitBulk(0)
	q.OnAllDurable(func(error) { calls++ })
	if _, ok := q.BeginCommit(1000, failOnUnencodable); !ok {
		t.Error("no commit begins for a callback that waits for nothing")
	}
}
