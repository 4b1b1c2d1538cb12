// Package groupcommit keeps what is to become durable, and cuts it into commits of a bounded
// size. Entities are written in the order in which they were marked, each in its lane. The
// lanes share a commit evenly, and what one doesn't need the others get: a flood in one
// delays the others little.
//
// A Queue does no input or output and is not safe for concurrent use: its owner hands each
// commit to the journal and tells the queue what became of it.
package groupcommit

import (
	"math"

	"sagevale/internal/storage"
)

// Lane tells what waits for an entity.
type Lane int

// The lanes.
const (
	// Urgent is for urgent jobs and their starts.
	Urgent Lane = iota
	// Interactive is for what the users of other jobs wait for: acceptances, cancellations, ends.
	Interactive
	// Bulk is for everything else.
	Bulk
	lanes
)

// Queue is what waits for a commit, and what the commit under way holds.
type Queue struct {
	lanes   [lanes]lane
	writing map[string]bool // entities of the commit under way
	waits   []wait
	bulk    int // how many bytes of the bulk lane a commit may hold
	busy    bool
	full    bool // the commit under way left some of the prompt lane behind
}

// lane is the entities of one lane, by the number of their first mark since they were last taken.
type lane struct {
	dirty   map[string]entity
	order   []entity // oldest mark first; those that went to another lane since are passed over
	marked  uint64   // the number of the last mark
	taken   uint64   // all marks up to this one are in a commit
	durable uint64   // all marks up to this one are durable
}

type entity struct {
	key  string
	mark uint64
	data func() any
}

// wait is a call that waits for marks of each lane.
type wait struct {
	upTo [lanes]uint64
	call func(error)
}

// New returns an empty queue.
func New() *Queue {
	q := &Queue{bulk: math.MaxInt}
	for i := range q.lanes {
		q.lanes[i].dirty = make(map[string]entity)
	}
	return q
}

// Mark notes that an entity has changed; data is asked for its value when it is written, and
// returns nil if the entity is to be removed. An entity that waits in another lane goes over to
// this one: it is written once, as it was marked last.
func (q *Queue) Mark(in Lane, key string, data func() any) {
	l := &q.lanes[in]
	if old, dirty := l.dirty[key]; dirty {
		old.data = data
		l.dirty[key] = old
		return
	}
	l.marked++
	e := entity{key: key, mark: l.marked, data: data}
	l.dirty[key] = e
	l.order = append(l.order, e)
	for from := range lanes {
		if from != in {
			q.leave(from, key, in, e.mark)
		}
	}
}

// leave takes an entity out of a lane it waits in. Calls that wait for it there wait for its mark
// in the other lane instead.
func (q *Queue) leave(from Lane, key string, to Lane, mark uint64) {
	left, dirty := q.lanes[from].dirty[key]
	if !dirty {
		return
	}
	delete(q.lanes[from].dirty, key)
	for i := range q.waits {
		if w := &q.waits[i]; w.upTo[from] >= left.mark {
			w.upTo[to] = max(w.upTo[to], mark)
		}
	}
}

// pass passes over the entities at the head of a lane that have left it.
func (l *lane) pass() {
	for len(l.order) > 0 {
		head := l.order[0]
		if e, dirty := l.dirty[head.key]; dirty && e.mark == head.mark {
			return
		}
		l.taken = head.mark
		l.order = l.order[1:]
	}
}

// Durable tells whether an entity is durable as it stands.
func (q *Queue) Durable(key string) bool {
	for i := range q.lanes {
		if _, dirty := q.lanes[i].dirty[key]; dirty {
			return false
		}
	}
	return !q.writing[key]
}

// Waiting is how many entities of a lane are in no commit yet.
func (q *Queue) Waiting(in Lane) int { return len(q.lanes[in].dirty) }

// OnDurable calls once all that is marked now in some lanes is durable, or with the error of a commit
// that failed.
func (q *Queue) OnDurable(call func(error), in ...Lane) {
	w := wait{call: call}
	for _, lane := range in {
		w.upTo[lane] = q.lanes[lane].marked
	}
	q.waits = append(q.waits, w)
}

// OnAllDurable calls once all that is marked now is durable, or with the error of a commit that failed.
func (q *Queue) OnAllDurable(call func(error)) { q.OnDurable(call, Urgent, Interactive, Bulk) }

// LimitBulk lets a commit hold so many bytes of the bulk lane, but at least one record if it may hold
// any; 0 holds the lane back.
func (q *Queue) LimitBulk(bytes int) { q.bulk = bytes }

// Idle tells whether no commit is under way.
func (q *Queue) Idle() bool { return !q.busy }

// Next begins a commit of at most so many bytes, but of at least one record if any waits. It is
// false while a commit is under way, and if nothing waits. What can't be encoded is passed to
// failed and left out.
func (q *Queue) Next(bytes int, failed func(key string, err error)) ([]storage.Record, bool) {
	waiting := q.lanesWaiting()
	if q.busy || waiting == 0 && !q.callDue() {
		return nil, false
	}
	q.busy, q.writing = true, make(map[string]bool)
	for i := range q.lanes {
		q.lanes[i].pass()
	}
	var records []storage.Record
	left := bytes
	bulk := q.bulk
	for _, share := range []int{bytes / max(1, waiting), bytes} { // then what the others have left
		for i := range lanes {
			most := min(share, left)
			if i == Bulk {
				most = min(most, bulk)
			}
			if q.Waiting(i) == 0 || most <= 0 {
				continue
			}
			var used int
			records, used = q.take(i, records, most, failed)
			left -= used
			if i == Bulk {
				bulk -= used
			}
		}
	}
	q.full = q.Waiting(Interactive) > 0
	return records, true
}

// callDue tells whether some call waits for nothing that isn't durable.
func (q *Queue) callDue() bool {
	for i := range q.waits {
		if q.reached(&q.waits[i]) {
			return true
		}
	}
	return false
}

// lanesWaiting is how many lanes have entities that the next commit may hold.
func (q *Queue) lanesWaiting() (n int) {
	for i := range lanes {
		if q.Waiting(i) > 0 && (i != Bulk || q.bulk > 0) {
			n++
		}
	}
	return n
}

// take adds the oldest records of a lane, the first however large, and returns what they take.
func (q *Queue) take(from Lane, records []storage.Record, bytes int, failed func(string, error)) (_ []storage.Record, used int) {
	l := &q.lanes[from]
	for len(l.order) > 0 && (used == 0 || used < bytes) {
		e := l.dirty[l.order[0].key]
		record, err := storage.NewRecord(e.key, e.data())
		l.order = l.order[1:]
		l.taken = e.mark
		delete(l.dirty, e.key)
		if err != nil {
			failed(e.key, err)
			l.pass()
			continue
		}
		records = append(records, record)
		q.writing[e.key] = true
		used += record.Size()
		l.pass()
	}
	return records, used
}

// Committed takes in what became of the commit under way, and makes the calls that waited for
// it. It tells whether the commit was full: whether entities of the prompt lane had to be left to
// the next one.
func (q *Queue) Committed(err error) (full bool) {
	for i := range q.lanes {
		q.lanes[i].durable = q.lanes[i].taken
	}
	q.busy, q.writing = false, nil
	waits := q.waits
	q.waits = nil
	var due []wait
	for _, w := range waits {
		if err != nil || q.reached(&w) {
			due = append(due, w)
		} else {
			q.waits = append(q.waits, w)
		}
	}
	for _, w := range due {
		w.call(err)
	}
	return q.full
}

// reached tells whether all that a call waits for is durable.
func (q *Queue) reached(w *wait) bool {
	for i := range q.lanes {
		if q.lanes[i].durable < w.upTo[i] {
			return false
		}
	}
	return true
}
