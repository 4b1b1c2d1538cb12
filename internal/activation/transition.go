package activation

import "time"

// Action is what the leader has to do once a changed record is durable. Actions may be repeated. They
// follow from the record, so a new leader obtains the outstanding one from Record.Pending.
type Action int

// The actions.
const (
	Nothing Action = iota
	Reserve        // reserve resources for the next replica, which ends with Reserved
	Start          // start the reserved replica, like any task, which ends with Serving or ReplicaGone
	Stop           // stop the replica, which ends with ReplicaGone
	Drain          // order every controller to pass no more requests on, which ends with Drained
)

// Apply returns the record after an event, and the action to take. A record that is returned unchanged
// need not be stored. Events that are late, repeated, or of another generation, attempt or drain have
// no effect.
func (r Record) Apply(e Event, p *Policy, now time.Time) (Record, Action) { return e.apply(r, p, now) }

// Pending returns the outstanding action of a record.
func (r *Record) Pending(now time.Time) Action {
	switch r.State {
	case Starting:
		switch {
		case r.Abandoned:
			return Stop
		case r.Replica != NoReplica:
			return Start
		case r.BackoffRemaining(now) == 0:
			return Reserve
		}
	case Draining:
		return Drain
	case Stopping:
		return Stop
	case Idle, Failed:
		if r.Replica != NoReplica {
			return Stop // the record was stored before the end of the attempt
		}
	case Ready:
	}
	return Nothing
}

// lostReplica stands for an attempt whose record is gone already.
const lostReplica uint64 = 1

// Restore returns the record as a new leader finds it, and the outstanding action. replica is the
// attempt that may be on a machine according to the stored attempts, or NoReplica. The record and the
// attempts are stored independently, so either may be ahead of the other. If the record still has a
// replica and the attempts don't, Restore applies the ReplicaGone that wasn't stored.
func (r Record) Restore(replica uint64, p *Policy, now time.Time) (Record, Action) {
	r.Replica = replica
	hasReplica := r.State == Ready || r.State == Stopping || r.Abandoned
	if replica != NoReplica || !hasReplica {
		return r, r.Pending(now)
	}
	r.Replica = lostReplica
	return r.Apply(ReplicaGone{Generation: r.Generation, Attempt: lostReplica}, p, now)
}

func (e Demand) apply(r Record, _ *Policy, now time.Time) (Record, Action) {
	if e.Generation != r.Generation {
		return r, Nothing // the controller learns the present generation, and repeats its demand if need be
	}
	switch r.State {
	case "", Idle, Failed:
		if r.BackoffRemaining(now) == 0 && r.Replica == NoReplica {
			return r.wake(now)
		}
	case Draining:
		return r.cancelDrain(now)
	case Stopping:
		r.WakeWanted = true
	case Starting, Ready:
	}
	return r, Nothing
}

func (e Reserved) apply(r Record, _ *Policy, now time.Time) (Record, Action) {
	if r.State != Starting || e.Generation != r.Generation || r.Replica != NoReplica || r.BackoffRemaining(now) > 0 {
		return r, Nothing
	}
	r.Replica = e.Attempt
	return r, Start
}

func (e Serving) apply(r Record, _ *Policy, now time.Time) (Record, Action) {
	if r.State != Starting || r.Abandoned || !r.isReplica(e.Generation, e.Attempt) {
		return r, Nothing
	}
	return r.enter(Ready, now), Nothing
}

func (e ReplicaGone) apply(r Record, p *Policy, now time.Time) (Record, Action) {
	if !r.isReplica(e.Generation, e.Attempt) {
		return r, Nothing
	}
	failed := e.Failed || r.Abandoned
	r.Replica, r.Abandoned = NoReplica, false
	switch r.State {
	case Stopping:
		if r.WakeWanted {
			return r.wake(now)
		}
		return r.enter(Idle, now), Nothing
	case Draining:
		return r, Nothing // controllers may still pass requests on to it
	case Starting:
		return r.restart(failed, p, now)
	case Ready:
		stable := r.age(now) >= p.StableAfter
		if stable {
			r.Failures = 0
		}
		return r.restart(failed && !stable, p, now)
	case Idle, Failed:
	}
	return r, Nothing
}

func (e Quiet) apply(r Record, p *Policy, now time.Time) (Record, Action) {
	since := time.UnixMilli(r.SinceMS)
	if e.Since.After(since) {
		since = e.Since
	}
	if r.State != Ready || e.Generation != r.Generation || now.Sub(since) < p.IdleWindow {
		return r, Nothing
	}
	r.Drain++
	return r.enter(Draining, now), Drain
}

func (e Drained) apply(r Record, _ *Policy, now time.Time) (Record, Action) {
	if r.State != Draining || e.Drain != r.Drain {
		return r, Nothing
	}
	if r.Replica == NoReplica {
		return r.enter(Idle, now), Nothing
	}
	return r.enter(Stopping, now), Stop
}

func (e Tick) apply(r Record, p *Policy, now time.Time) (Record, Action) {
	switch {
	case r.State == Starting && r.Replica == NoReplica && r.BackoffRemaining(now) == 0:
		return r, Reserve
	case r.State == Starting && r.Replica != NoReplica && e.ReservedFor > p.StartTimeout:
		r.Abandoned = true
		return r, Stop
	case r.State == Draining && r.age(now) > p.DrainTimeout:
		return r.cancelDrain(now) // the model is still in use
	}
	return r, Nothing
}

// isReplica reports whether an event is about the present replica.
func (r *Record) isReplica(generation, attempt uint64) bool {
	return generation == r.Generation && r.Replica != NoReplica && r.Replica == attempt
}

// wake begins the next generation.
func (r Record) wake(now time.Time) (Record, Action) {
	next := r.enter(Starting, now)
	next.Generation++
	next.Failures, next.Abandoned, next.WakeWanted, next.NotBeforeMS = 0, false, false, 0
	return next, Reserve
}

// cancelDrain makes the model ready again, or starts it again if its replica was lost in the drain.
func (r Record) cancelDrain(now time.Time) (Record, Action) {
	if r.Replica == NoReplica {
		return r.enter(Starting, now), Reserve
	}
	return r.enter(Ready, now), Nothing
}

// restart starts another replica of the same generation after one that is gone without having been
// scaled to zero. After a failure it does so with a growing backoff, and at most as many times as the
// policy allows; otherwise at once.
func (r Record) restart(failed bool, p *Policy, now time.Time) (Record, Action) {
	next := r.enter(Starting, now)
	if !failed {
		return next, Reserve
	}
	next.Failures++
	if next.Failures >= p.MaxAttempts {
		next.State = Failed
		next.NotBeforeMS = now.Add(p.Cooldown).UnixMilli()
		return next, Nothing
	}
	next.NotBeforeMS = now.Add(p.backoff(next.Failures)).UnixMilli()
	return next, Nothing
}
