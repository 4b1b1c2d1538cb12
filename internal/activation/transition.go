package activation

import (
	"fmt"
	"time"
)

// Event is something that may move a model's lifecycle.
type Event interface {
	apply(r Record, p *Policy, now time.Time) (Record, Action)
}

// Action is what the leader does once the record is durable as it was moved. Each may be repeated:
// it follows from the record, so a new leader learns it from Record.Pending.
type Action int

// The actions.
const (
	Nothing Action = iota
	Reserve        // book room for the next replica, and tell by Booked
	Start          // start the booked replica, by the ordinary path of any task
	Stop           // stop the replica, and tell by Gone once its place is proved empty
	Drain          // have every node pass no more requests on, and tell by Drained
)

// The events.
type (
	// Demand is a request for the model at some node, which knows of this generation.
	Demand struct{ Generation uint64 }
	// Reserved tells that room has been reserved for the next replica. Attempts are numbered by the
	// scheduler, which never uses a number again.
	Reserved struct {
		Generation uint64
		Attempt    uint64
	}
	// Serving tells that a replica answers requests.
	Serving struct {
		Generation uint64
		Attempt    uint64
	}
	// ReplicaGone tells that a replica's place is proved empty. Failed: it ended by itself, rather than
	// with its machine or by an order.
	ReplicaGone struct {
		Generation uint64
		Attempt    uint64
		Failed     bool
	}
	// Quiet tells that all nodes have seen no request for the model since a time, by fresh reports.
	Quiet struct {
		Generation uint64
		Since      time.Time
	}
	// Drained tells that every node passes nothing on any more, by its word on this very drain or
	// because its lease has run out, and that nothing is in flight.
	Drained struct{ Drain uint64 }
	// Tick tells that time has passed, and for how long the present replica has been booked.
	Tick struct{ ReservedFor time.Duration }
)

// Apply moves a record by an event. A record that stays as it is needs no write. What is late,
// repeated, or of another generation or attempt has no effect.
func (r Record) Apply(e Event, p *Policy, now time.Time) (Record, Action) { return e.apply(r, p, now) }

// Pending is what a new leader has to do for a record as it stands.
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
			return Stop // the record was durable before the attempt's end was
		}
	case Ready:
	}
	return Nothing
}

// wake begins the next generation.
func (r Record) wake(now time.Time) (Record, Action) {
	next := r.enter(Starting, now)
	next.Generation++
	next.Failures, next.Abandoned, next.WakeWanted, next.NotBeforeMS = 0, false, false, 0
	return next, Reserve
}

func (e Demand) apply(r Record, _ *Policy, now time.Time) (Record, Action) {
	if e.Generation != r.Generation {
		return r, Nothing // its node learns where things stand, and asks again if it must
	}
	switch r.State {
	case "", Idle, Failed:
		if r.BackoffRemaining(now) == 0 && r.Replica == NoReplica {
			return r.wake(now)
		}
	case Draining:
		return r.revive(now)
	case Stopping:
		r.WakeWanted = true
	case Starting, Ready:
	}
	return r, Nothing
}

// revive calls a drain off.
func (r Record) revive(now time.Time) (Record, Action) {
	if r.Replica == NoReplica {
		return r.enter(Starting, now), Reserve
	}
	return r.enter(Ready, now), Nothing
}

func (e Reserved) apply(r Record, _ *Policy, now time.Time) (Record, Action) {
	if r.State != Starting || e.Generation != r.Generation || r.Replica != NoReplica || r.BackoffRemaining(now) > 0 {
		return r, Nothing
	}
	r.Replica = e.Attempt
	return r, Start
}

// isReplica tells whether an event is about the present replica.
func (r *Record) isReplica(generation, attempt uint64) bool {
	return generation == r.Generation && r.Replica != NoReplica && r.Replica == attempt
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
		return r, Nothing // the nodes may still pass requests on to it
	case Starting:
		return r.startAnew(failed, p, now)
	case Ready:
		stable := r.age(now) >= p.StableAfter
		if stable {
			r.Failures = 0
		}
		return r.startAnew(failed && !stable, p, now)
	case Idle, Failed:
	}
	return r, Nothing
}

// startAnew goes on after a replica that is gone without having been stopped for lack of
// requests: the same generation starts anew, at once or, after starts that failed, so many times and
// with growing pauses.
func (r Record) startAnew(failed bool, p *Policy, now time.Time) (Record, Action) {
	next := r.enter(Starting, now)
	if !failed {
		return next, Reserve
	}
	next.Failures++
	if next.Failures >= p.Attempts {
		next.State = Failed
		next.NotBeforeMS = now.Add(p.Cooldown).UnixMilli()
		return next, Nothing
	}
	next.NotBeforeMS = now.Add(p.backoff(next.Failures)).UnixMilli()
	return next, Nothing
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
	case r.State == Starting && r.Replica != NoReplica && e.ReservedFor > p.StartWithin:
		r.Abandoned = true
		return r, Stop
	case r.State == Draining && r.age(now) > p.DrainTimeout:
		return r.revive(now) // someone still uses it
	}
	return r, Nothing
}

// String writes a record for operators.
func (r Record) String() string {
	if r.Replica == NoReplica {
		return fmt.Sprintf("%s, generation %d", r.State, r.Generation)
	}
	return fmt.Sprintf("%s, generation %d, attempt %d", r.State, r.Generation, r.Replica)
}

// Cause names an event for operators.
func Cause(e Event) string {
	switch e := e.(type) {
	case Demand:
		return "demand"
	case Reserved:
		return "room is booked"
	case Serving:
		return "it answers"
	case ReplicaGone:
		if e.Failed {
			return "its replica failed"
		}
		return "its replica is gone"
	case Quiet:
		return "no requests"
	case Drained:
		return "no controller passes requests on"
	case Tick:
		return "time"
	}
	return "unknown"
}
