package groupcommit

import (
	"errors"
	"fmt"
	"slices"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"sagevale/internal/storage"
)

func unencodable(key string, err error) { panic(fmt.Sprint(key, err)) }

// value is an entity of about that many bytes.
func value(bytes int) func() any { return func() any { return strings.Repeat("x", bytes) } }

func keys(records []storage.Record) (out []string) {
	for _, r := range records {
		out = append(out, r.Key)
	}
	return out
}

// history is a queue beside what it should do: values that count up, and what of them is durable.
type history struct {
	queue            *Queue
	values           map[string]int  // the entities' present values
	in               map[string]Lane // where they were marked last
	writing, durable map[string]int
	calls            map[int]map[string]int // what each open call waits for
	nextCall         int
	failed           bool
}

func (h *history) mark(in Lane, key string) {
	h.values[key]++
	h.in[key] = in
	h.queue.Mark(in, key, func() any { return h.values[key] })
}

// await registers a call, and checks when it comes that all it waits for is durable.
func (h *history) await(t *rapid.T, in ...Lane) {
	waits := make(map[string]int)
	for key, v := range h.values {
		if slices.Contains(in, h.in[key]) {
			waits[key] = v
		}
	}
	id := h.nextCall
	h.nextCall++
	h.calls[id] = waits
	called := func(err error) {
		if _, open := h.calls[id]; !open {
			t.Fatalf("call %d came twice", id)
		}
		for key, v := range h.calls[id] {
			if err == nil && h.durable[key] < v {
				t.Fatalf("called with %s at %d, durable is %d", key, v, h.durable[key])
			}
		}
		if (err != nil) != h.failed {
			t.Fatalf("called with %v", err)
		}
		delete(h.calls, id)
	}
	if len(in) == int(lanes) {
		h.queue.OnAllDurable(called)
	} else {
		h.queue.OnDurable(called, in...)
	}
}

func (h *history) begin(bytes int) bool {
	records, ok := h.queue.Next(bytes, unencodable)
	if !ok {
		return false
	}
	h.writing = make(map[string]int)
	for _, r := range records {
		h.writing[r.Key] = h.values[r.Key]
	}
	return true
}

func (h *history) end(err error) {
	h.failed = err != nil
	if err == nil {
		for key, v := range h.writing {
			h.durable[key] = v
		}
	}
	h.writing = nil
	h.queue.Committed(err)
}

// Whatever is marked, awaited and committed in whichever order: a call comes once, when all that
// it waits for is durable and not before, and nothing is left behind.
func TestCallsComeWhenAllTheyWaitForIsDurable(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := &history{queue: New(), values: map[string]int{}, in: map[string]Lane{}, durable: map[string]int{}, calls: map[int]map[string]int{}}
		t.Repeat(map[string]func(*rapid.T){
			"mark": func(t *rapid.T) {
				h.mark(Lane(rapid.IntRange(0, int(lanes)-1).Draw(t, "lane")), rapid.StringMatching("[a-f]").Draw(t, "key"))
			},
			"awaitAll":    func(t *rapid.T) { h.await(t, Urgent, Interactive, Bulk) },
			"awaitUrgent": func(t *rapid.T) { h.await(t, Urgent, Interactive) },
			"awaitPrompt": func(t *rapid.T) { h.await(t, Interactive) },
			"begin": func(t *rapid.T) {
				if h.writing != nil {
					if _, ok := h.queue.Next(100, unencodable); ok {
						t.Fatal("two commits at once")
					}
					return
				}
				h.begin(rapid.IntRange(0, 60).Draw(t, "bytes"))
			},
			"end": func(t *rapid.T) {
				if h.writing != nil {
					h.end(nil)
				}
			},
			"": func(t *rapid.T) {
				for key, v := range h.values {
					if settled := h.durable[key] == v && h.writing[key] == 0; settled != h.queue.Durable(key) {
						t.Fatalf("%s at %d, durable %d: settled is %v", key, v, h.durable[key], h.queue.Durable(key))
					}
				}
			},
		})
		if h.writing != nil {
			h.end(nil)
		}
		for range 100 {
			if h.begin(20) {
				h.end(nil)
			}
		}
		if len(h.calls) > 0 || h.queue.lanesWaiting() > 0 {
			t.Fatalf("%d calls and entities of %d lanes are left", len(h.calls), h.queue.lanesWaiting())
		}
	})
}

// A flood in one lane delays the other by a commit at the most.
func TestALaneDoesNotStarveTheOther(t *testing.T) {
	for flood := range lanes {
		q := New()
		for i := range 1000 {
			q.Mark(flood, fmt.Sprintf("flood%d", i), value(100))
		}
		for other := range lanes {
			if other != flood {
				q.Mark(other, fmt.Sprintf("other%d", other), value(100))
			}
		}
		records, _ := q.Next(2000, unencodable)
		if n := strings.Count(strings.Join(keys(records), " "), "other"); n != 2 {
			t.Errorf("a flood in lane %d leaves the others %d of %v", flood, n, keys(records))
		}
		if len(records) < 15 {
			t.Errorf("a commit of %d records: what the others don't need is left empty", len(records))
		}
		if len(records) > 25 {
			t.Errorf("a commit of %d records of 100 bytes in 2,000", len(records))
		}
		if full := q.Committed(nil); full != (flood == Interactive) {
			t.Errorf("a flood in lane %d: full is %v", flood, full)
		}
	}
}

func TestTheOldestMarksAreWrittenFirst(t *testing.T) {
	q := New()
	for _, key := range []string{"c", "a", "b", "c"} {
		q.Mark(Bulk, key, value(100))
	}
	var order []string
	for {
		records, ok := q.Next(1, unencodable)
		if !ok {
			break
		}
		order = append(order, keys(records)...)
		q.Committed(nil)
	}
	if got := strings.Join(order, ""); got != "cab" {
		t.Errorf("written as %s", got)
	}
}

// What can't be encoded is told and left out; a failed commit is told to all who wait.
func TestWhatFailsIsTold(t *testing.T) {
	q := New()
	q.Mark(Interactive, "bad", func() any { return func() {} })
	q.Mark(Interactive, "good", value(1))
	var told string
	records, ok := q.Next(1000, func(key string, err error) { told = key })
	if !ok || told != "bad" || len(records) != 1 || records[0].Key != "good" {
		t.Errorf("told of %q, wrote %v", told, keys(records))
	}
	var failures int
	q.OnAllDurable(func(err error) {
		if err != nil {
			failures++
		}
	})
	if q.Committed(errors.New("deposed")); failures != 1 {
		t.Errorf("%d failures told", failures)
	}
}
