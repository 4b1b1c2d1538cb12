// Package groupcommit queues changed entities and groups their records into commits of bounded size. An entity
// is a key with a value to store or to remove. The queue is divided into lanes. Within a lane, entities are
// written in the order in which they were marked as changed. The lanes share a commit evenly, and the part that
// one lane doesn't need goes to the other lanes. A flood of changes in one lane therefore delays the other lanes
// little.
//
// A Queue does no input or output and is not safe for concurrent use. Its owner passes each commit
// to the journal and reports the result to the queue. The invariants are:
//
//   - At most one commit is in flight.
//   - An entity waits in at most one lane. Its value at the beginning of the commit is written.
//   - A callback is called exactly once: when everything that it waits for is durable, or when a
//     commit fails.
package groupcommit

import (
	"math"

	"sagevale/internal/storage"
)

// Lane is a class of entities. The classes differ in who waits for the entities to become durable. Each lane has its
// share of a commit.
type Lane int

// The lanes.
const (
	// Urgent is for urgent jobs and the starts of their tasks.
	Urgent Lane = iota
	// Interactive is for records that users of other jobs wait for: submissions, cancellations and
	// final states.
	Interactive
	// Bulk is for everything else.
	Bulk
	laneCount
)

// Queue holds the entities that wait for a commit and the keys of those in the commit in flight.
type Queue struct {
	lanes      [laneCount]lane
	waiters    []waiter
	bulkBytes  int             // maximum number of bytes of the bulk lane in a commit; 0: the lane is held back
	inFlight   bool            // a commit is in flight
	committing map[string]bool // keys of the entities in the commit in flight
	full       bool            // the last commit left entities of the interactive lane behind
}

// New returns an empty queue without a limit for the bulk lane.
func New() *Queue {
	q := &Queue{bulkBytes: math.MaxInt}
	for i := range q.lanes {
		q.lanes[i].waiting = make(map[string]entity)
	}
	return q
}

// Mark queues a changed entity in a lane. data is called when the entity's commit begins. It returns the entity's
// value, or nil if the entity is removed. An entity that already waits in another lane moves to this lane. An
// entity that is marked several times before its commit is written once, with the data of the last call.
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
			q.removeFromLane(from, key, in, mark)
		}
	}
}

// removeFromLane removes an entity from a lane if it waits there. Callbacks that wait for it in that lane then
// wait for its mark in the other lane.
func (q *Queue) removeFromLane(from Lane, key string, to Lane, mark uint64) {
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

// IsDurable reports whether the entity's last marked change is durable.
func (q *Queue) IsDurable(key string) bool {
	for i := range q.lanes {
		if _, waits := q.lanes[i].waiting[key]; waits {
			return false
		}
	}
	return !q.committing[key]
}

// Waiting returns the number of entities in a lane that aren't in a commit yet.
func (q *Queue) Waiting(in Lane) int { return len(q.lanes[in].waiting) }

// LimitBulk limits the bytes of the bulk lane in the next commits. 0 holds the lane back. Any other limit
// allows at least one record.
func (q *Queue) LimitBulk(bytes int) { q.bulkBytes = bytes }

// Idle reports whether no commit is in flight.
func (q *Queue) Idle() bool { return !q.inFlight }

// BeginCommit begins a commit and returns its records. It returns false if a commit is in flight, or if no
// entity may be written and no callback is due. It takes entities until the records reach the limit in bytes,
// and takes at least one if any may be written. The last record may therefore exceed the limit. Entities that
// can't be encoded are passed to failed and left out.
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
	q.fill(&c, bytes) // what some lanes left of their shares goes to the others
	q.full = q.Waiting(Interactive) > 0
	return c.records, true
}

// commit is a commit that is being filled.
type commit struct {
	records   []storage.Record
	bytesLeft int
	bulkLeft  int // bytes that the bulk lane may still use
	failed    func(key string, err error)
}

// fill adds entities of each lane to a commit until they take up share bytes. The last record of a lane may exceed this
// limit.
func (q *Queue) fill(c *commit, share int) {
	for i := range laneCount {
		limit := min(share, c.bytesLeft)
		if i == Bulk {
			limit = min(limit, c.bulkLeft)
		}
		if q.Waiting(i) == 0 || limit <= 0 {
			continue
		}
		used := q.takeFromLane(i, c, limit)
		c.bytesLeft -= used
		if i == Bulk {
			c.bulkLeft -= used
		}
	}
}

// takeFromLane adds the oldest entities of a lane to a commit until they take up the given bytes, and returns their
// size. It adds at least one record, however large.
func (q *Queue) takeFromLane(from Lane, c *commit, bytes int) (used int) {
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

// lanesWaiting returns the number of lanes with entities that the next commit may contain.
func (q *Queue) lanesWaiting() (n int) {
	for i := range laneCount {
		if q.Waiting(i) > 0 && (i != Bulk || q.bulkBytes > 0) {
			n++
		}
	}
	return n
}

// EndCommit ends the commit in flight with its result, and calls the callbacks that are due. If the commit failed, all
// callbacks are due. EndCommit reports whether the commit was full, which means that entities of the interactive
// lane were left for the next commit.
func (q *Queue) EndCommit(err error) (full bool) {
	for i := range q.lanes {
		q.lanes[i].lastDurable = q.lanes[i].lastTaken
	}
	q.inFlight, q.committing = false, nil
	for _, w := range q.removeDue(err) {
		w.callback(err)
	}
	return q.full
}
