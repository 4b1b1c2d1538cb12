package groupcommit

// waiter is a callback with the mark of each lane up to which it waits for durability; 0: none.
type waiter struct {
	marks    [laneCount]uint64
	callback func(error)
}

// OnDurable registers a callback for when all entities that are marked now in the given lanes are durable.
// If a commit fails before, the callback gets its error. EndCommit makes the call.
func (q *Queue) OnDurable(callback func(error), in ...Lane) {
	w := waiter{callback: callback}
	for _, lane := range in {
		w.marks[lane] = q.lanes[lane].lastMark
	}
	q.waiters = append(q.waiters, w)
}

// OnAllDurable registers a callback like OnDurable for all lanes.
func (q *Queue) OnAllDurable(callback func(error)) { q.OnDurable(callback, Urgent, Interactive, Bulk) }

// callbackDue reports whether everything that some callback waits for is durable already.
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
	q.waiters = nil // callbacks may add others
	for _, w := range waiters {
		if err != nil || q.isDue(&w) {
			due = append(due, w)
		} else {
			q.waiters = append(q.waiters, w)
		}
	}
	return due
}
