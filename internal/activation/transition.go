package activation

import "time"

// Action is what the leader must do once a changed record is durable. The same action may be returned
// repeatedly. After a failover, the new leader gets the action that may not have been completed from
// Record.Pending, which derives it from the record.
type Action int

// The actions.
const (
	NoAction Action = iota
	Reserve         // reserve resources for the next replica; completed by the event Reserved
	Start           // start the reserved replica like any task; completed by Serving or ReplicaGone
	Stop            // stop the replica; completed by ReplicaGone
	Drain           // order every controller to stop forwarding requests; completed by Drained
)

// Apply returns the record after an event, and the action to take. A record that is returned unchanged
// need not be stored. Events that arrive late or again have no effect, and neither have events of another
// generation, attempt or drain.
func (r Record) Apply(e Event, p *Policy, now time.Time) (Record, Action) { return e.apply(r, p, now) }

// Pending returns the action that is still to be completed according to the record.
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
			return Stop // the record was stored, but the end of the attempt was not
		}
	case Ready:
	}
	return NoAction
}

// placeholderAttempt is the number that Restore uses for an attempt that is no longer stored.
const placeholderAttempt uint64 = 1

// Restore returns the record that a new leader starts from, and the action to take. replica is the
// attempt whose replica may be on a machine according to the stored attempts, or NoReplica. The record and
// the attempts are stored independently, so either may be ahead of the other. If the record's state
// requires a replica but no attempt is stored, the replica is gone and the record doesn't show it yet.
// Restore then applies the event ReplicaGone.
func (r Record) Restore(replica uint64, p *Policy, now time.Time) (Record, Action) {
	r.Replica = replica
	hasReplica := r.State == Ready || r.State == Stopping || r.Abandoned
	if replica != NoReplica || !hasReplica {
		return r, r.Pending(now)
	}
	r.Replica = placeholderAttempt
	return r.Apply(ReplicaGone{Generation: r.Generation, Attempt: placeholderAttempt}, p, now)
}

func (e Demand) apply(r Record, _ *Policy, now time.Time) (Record, Action) {
	if e.Generation != r.Generation {
		// The leader's response contains the current generation; the controller repeats its demand if necessary.
		return r, NoAction
	}
	switch r.State {
	case "", Idle, Failed:
		if r.BackoffRemaining(now) == 0 && r.Replica == NoReplica {
			return r.startNextGeneration(now)
		}
	case Draining:
		return r.cancelDrain(now)
	case Stopping:
		r.WakeWanted = true
	case Starting, Ready:
	}
	return r, NoAction
}

func (e Reserved) apply(r Record, _ *Policy, now time.Time) (Record, Action) {
	if r.State != Starting || e.Generation != r.Generation || r.Replica != NoReplica || r.BackoffRemaining(now) > 0 {
		return r, NoAction
	}
	r.Replica = e.Attempt
	return r, Start
}

func (e Serving) apply(r Record, _ *Policy, now time.Time) (Record, Action) {
	if r.State != Starting || r.Abandoned || !r.isCurrentReplica(e.Generation, e.Attempt) {
		return r, NoAction
	}
	return r.enterState(Ready, now), NoAction
}

func (e ReplicaGone) apply(r Record, p *Policy, now time.Time) (Record, Action) {
	if !r.isCurrentReplica(e.Generation, e.Attempt) {
		return r, NoAction
	}
	failed := e.Failed || r.Abandoned
	r.Replica, r.Abandoned = NoReplica, false
	switch r.State {
	case Stopping:
		if r.WakeWanted {
			return r.startNextGeneration(now)
		}
		return r.enterState(Idle, now), NoAction
	case Draining:
		return r, NoAction // controllers may still forward requests to the model
	case Starting:
		return r.replaceReplica(failed, p, now)
	case Ready:
		stable := r.timeInState(now) >= p.StableAfter
		if stable {
			r.Failures = 0
		}
		return r.replaceReplica(failed && !stable, p, now)
	case Idle, Failed:
	}
	return r, NoAction
}

func (e Quiet) apply(r Record, p *Policy, now time.Time) (Record, Action) {
	since := time.UnixMilli(r.SinceMS)
	if e.Since.After(since) {
		since = e.Since
	}
	if r.State != Ready || e.Generation != r.Generation || now.Sub(since) < p.IdleWindow {
		return r, NoAction
	}
	r.Drain++
	return r.enterState(Draining, now), Drain
}

func (e Drained) apply(r Record, _ *Policy, now time.Time) (Record, Action) {
	if r.State != Draining || e.Drain != r.Drain {
		return r, NoAction
	}
	if r.Replica == NoReplica {
		return r.enterState(Idle, now), NoAction
	}
	return r.enterState(Stopping, now), Stop
}

func (e Tick) apply(r Record, p *Policy, now time.Time) (Record, Action) {
	switch {
	case r.State == Starting && r.Replica == NoReplica && r.BackoffRemaining(now) == 0:
		return r, Reserve
	case r.State == Starting && r.Replica != NoReplica && e.ReservedFor > p.StartTimeout:
		r.Abandoned = true
		return r, Stop
	case r.State == Draining && r.timeInState(now) > p.DrainTimeout:
		return r.cancelDrain(now) // the drain may never complete while the model is in use
	}
	return r, NoAction
}

// isCurrentReplica reports whether an event of this generation and attempt is about the current replica.
func (r *Record) isCurrentReplica(generation, attempt uint64) bool {
	return generation == r.Generation && r.Replica != NoReplica && r.Replica == attempt
}

// startNextGeneration wakes the model: it begins the next generation.
func (r Record) startNextGeneration(now time.Time) (Record, Action) {
	next := r.enterState(Starting, now)
	next.Generation++
	next.Failures, next.Abandoned, next.WakeWanted, next.NotBeforeMS = 0, false, false, 0
	return next, Reserve
}

// cancelDrain makes the model ready again, or starts another replica if the replica was lost during the
// drain.
func (r Record) cancelDrain(now time.Time) (Record, Action) {
	if r.Replica == NoReplica {
		return r.enterState(Starting, now), Reserve
	}
	return r.enterState(Ready, now), NoAction
}

// replaceReplica starts another replica of the same generation. It is called when a replica is gone and
// the model isn't being scaled to zero. If failed is false, the next replica is reserved immediately.
// If failed is true, the loss counts as a failed start: the next start waits for a growing backoff, and after
// Policy.MaxAttempts consecutive failures the wake fails.
func (r Record) replaceReplica(failed bool, p *Policy, now time.Time) (Record, Action) {
	next := r.enterState(Starting, now)
	if !failed {
		return next, Reserve
	}
	next.Failures++
	if next.Failures >= p.MaxAttempts {
		next.State = Failed
		next.NotBeforeMS = now.Add(p.Cooldown).UnixMilli()
		return next, NoAction
	}
	next.NotBeforeMS = now.Add(p.backoff(next.Failures)).UnixMilli()
	return next, NoAction
}
