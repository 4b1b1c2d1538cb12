// Package groupcommit owns what is to become durable, and groups it into commits of a bounded
// size. Entities are written in the order in which they were marked, each in its lane. The lanes
// share a commit evenly, and what one doesn't need the others get: a flood in one lane delays
// the others little.
//
// A Queue does no input or output and is not safe for concurrent use: its owner hands each
// commit to the journal and reports the result to the queue. The invariants:
//
//   - At most one commit is in flight.
//   - An entity waits in at most one lane, and is written as it is when its commit begins.
//   - A callback is called exactly once: when everything that it waits for is durable, or when a
//     commit fails.
package groupcommit

import (
	"math"

	"sagevale/internal/storage"
)

// Lane is a class of entities by who waits for them.
type Lane int

// The lanes.
const (
	// Urgent is for urgent jobs and the starts of their tasks.
	Urgent Lane = iota
	// Interactive is for what the users of other jobs wait for: submissions, cancellations and
	// final states.
	Interactive
	// Bulk is for everything else.
	Bulk
	laneCount
)

// Queue holds the entities that wait for a commit, and those of the commit in flight.
type Queue struct {
	lanes      [laneCount]lane
	waiters    []waiter
	bulkBytes  int             // how many bytes of the bulk lane a commit may hold
	inFlight   bool            // a commit is in flight
	committing map[string]bool // its entities
	full       bool            // it left entities of the interactive lane behind
}

// New returns an empty queue without a limit for bulk.
func New() *Queue {
	q := &Queue{bulkBytes: math.MaxInt}
	for i := range q.lanes {
		q.lanes[i].waiting = make(map[string]entity)
	}
	return q
}

// Mark notes that an entity has changed. data is called for its value when its commit begins,
// and returns nil if the entity is removed. An entity that waits in another lane moves to this
// one: it is written once, as it was marked last.
func (q *Queue) Mark(in Lane, key string, data func() any) {
	l := &q.lanes[in]
	if old, waits := l.waiting[key]; waits {
		old.data = data
		l.waiting[key] = old
		return
	}
	mark := l.add(key, data)
	for from := range laneCount {
		if from != in {
			q.remove(from, key, in, mark)
		}
	}
}

// remove removes an entity from a lane if it waits there. Callbacks that wait for it there wait
// for its mark in the other lane instead.
func (q *Queue) remove(from Lane, key string, to Lane, mark uint64) {
	old, waits := q.lanes[from].waiting[key]
	if !waits {
		return
	}
	delete(q.lanes[from].waiting, key)
	for i := range q.waiters {
		if w := &q.waiters[i]; w.marks[from] >= old.mark {
			w.marks[to] = max(w.marks[to], mark)
		}
	}
}

// Durable reports whether the latest mark of an entity is durable.
func (q *Queue) Durable(key string) bool {
	for i := range q.lanes {
		if _, waits := q.lanes[i].waiting[key]; waits {
			return false
		}
	}
	return !q.committing[key]
}

// Waiting returns how many entities of a lane are in no commit yet.
func (q *Queue) Waiting(in Lane) int { return len(q.lanes[in].waiting) }

// LimitBulk limits how many bytes of the bulk lane a commit may hold. 0 holds the lane back; any
// other limit allows at least one record.
func (q *Queue) LimitBulk(bytes int) { q.bulkBytes = bytes }

// Idle reports whether no commit is in flight.
func (q *Queue) Idle() bool { return !q.inFlight }

// BeginCommit begins a commit of at most so many bytes, but of at least one record if any waits. It
// returns false while a commit is in flight, and if nothing waits. Entities that can't be
// encoded are passed to failed and left out.
func (q *Queue) BeginCommit(bytes int, failed func(key string, err error)) ([]storage.Record, bool) {
	waiting := q.lanesWaiting()
	if q.inFlight || waiting == 0 && !q.callbackDue() {
		return nil, false
	}
	q.inFlight, q.committing = true, make(map[string]bool)
	for i := range q.lanes {
		q.lanes[i].skipMoved()
	}
	c := commit{bytesLeft: bytes, bulkLeft: q.bulkBytes, failed: failed}
	q.fill(&c, bytes/max(1, waiting))
	q.fill(&c, bytes) // with what some lanes have left of their shares
	q.full = q.Waiting(Interactive) > 0
	return c.records, true
}

// commit is a commit that is put together.
type commit struct {
	records   []storage.Record
	bytesLeft int
	bulkLeft  int // bytes that the bulk lane may still use
	failed    func(key string, err error)
}

// fill adds up to share bytes of each lane to a commit.
func (q *Queue) fill(c *commit, share int) {
	for i := range laneCount {
		most := min(share, c.bytesLeft)
		if i == Bulk {
			most = min(most, c.bulkLeft)
		}
		if q.Waiting(i) == 0 || most <= 0 {
			continue
		}
		used := q.take(i, c, most)
		c.bytesLeft -= used
		if i == Bulk {
			c.bulkLeft -= used
		}
	}
}

// take adds the oldest entities of a lane to a commit, the first however large it is, and
// returns how many bytes they take.
func (q *Queue) take(from Lane, c *commit, bytes int) (used int) {
	l := &q.lanes[from]
	for len(l.order) > 0 && (used == 0 || used < bytes) {
		e := l.oldest()
		record, err := storage.NewRecord(e.key, e.data())
		l.takeOldest()
		if err != nil {
			c.failed(e.key, err)
		} else {
			c.records = append(c.records, record)
			q.committing[e.key] = true
			used += record.Size()
		}
		l.skipMoved()
	}
	return used
}

// lanesWaiting returns how many lanes have entities that the next commit may hold.
func (q *Queue) lanesWaiting() (n int) {
	for i := range laneCount {
		if q.Waiting(i) > 0 && (i != Bulk || q.bulkBytes > 0) {
			n++
		}
	}
	return n
}

// EndCommit ends the commit in flight with its result, and calls the callbacks that waited for
// it. After an error these are all callbacks. It reports whether the commit was full, so that
// entities of the interactive lane had to be left to the next one.
func (q *Queue) EndCommit(err error) (full bool) {
	for i := range q.lanes {
		q.lanes[i].durable = q.lanes[i].taken
	}
	q.inFlight, q.committing = false, nil
	for _, w := range q.removeDue(err) {
		w.callback(err)
	}
	return q.full
}
