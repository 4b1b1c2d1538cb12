package groupcommit

// waiter is a callback that waits until marks of each lane are durable.
type waiter struct {
	marks    [laneCount]uint64
	callback func(error)
}

// OnDurable calls back once everything that is marked now in some lanes is durable, or with the
// error of a commit that failed. The callback comes from Committed.
func (q *Queue) OnDurable(callback func(error), in ...Lane) {
	w := waiter{callback: callback}
	for _, lane := range in {
		w.marks[lane] = q.lanes[lane].marked
	}
	q.waiters = append(q.waiters, w)
}

// OnAllDurable is OnDurable for all lanes.
func (q *Queue) OnAllDurable(callback func(error)) { q.OnDurable(callback, Urgent, Interactive, Bulk) }

// callbackDue reports whether some callback waits only for what is durable.
func (q *Queue) callbackDue() bool {
	for i := range q.waiters {
		if q.isDue(&q.waiters[i]) {
			return true
		}
	}
	return false
}

// isDue reports whether everything that a callback waits for is durable.
func (q *Queue) isDue(w *waiter) bool {
	for i := range q.lanes {
		if q.lanes[i].durable < w.marks[i] {
			return false
		}
	}
	return true
}

// removeDue removes the callbacks that are due after a commit; after one that failed all are.
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
