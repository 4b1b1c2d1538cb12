package groupcommit

// waiter is a callback that waits until entities are durable.
type waiter struct {
	marks    [laneCount]uint64 // by lane, the last mark that must be durable; 0: none
	callback func(error)
}

// OnDurable registers a callback. EndCommit calls it once all entities that have been marked in the given lanes
// until now are durable. If a commit fails before that, EndCommit calls the callback with the commit's error.
func (q *Queue) OnDurable(callback func(error), in ...Lane) {
	w := waiter{callback: callback}
	for _, lane := range in {
		w.marks[lane] = q.lanes[lane].lastMark
	}
	q.waiters = append(q.waiters, w)
}

// OnAllDurable registers a callback as OnDurable does, for all lanes.
func (q *Queue) OnAllDurable(callback func(error)) { q.OnDurable(callback, Urgent, Interactive, Bulk) }

// callbackDue reports whether at least one callback is due: everything that it waits for is already durable.
func (q *Queue) callbackDue() bool {
	for i := range q.waiters {
		if q.isDue(&q.waiters[i]) {
			return true
		}
	}
	return false
}

// isDue reports whether everything that a waiter waits for is durable.
func (q *Queue) isDue(w *waiter) bool {
	for i := range q.lanes {
		if q.lanes[i].lastDurable < w.marks[i] {
			return false
		}
	}
	return true
}

// removeDue removes and returns the waiters that are due after a commit. After a failed commit all are due.
func (q *Queue) removeDue(err error) (due []waiter) {
	waiters := q.waiters
	q.waiters = nil // the waiters that aren't due are added again
	for _, w := range waiters {
		if err != nil || q.isDue(&w) {
			due = append(due, w)
		} else {
			q.waiters = append(q.waiters, w)
		}
	}
	return due
}
