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
	Book           // book room for the next replica, and tell by Booked
	Start          // start the booked replica, by the ordinary path of any task
	Stop           // stop the replica, and tell by Gone once its place is proved empty
	Drain          // have every node pass no more requests on, and tell by Drained
)

// The events.
type (
	// Demand is a request for the model at some node, which knows of this generation.
	Demand struct{ Generation uint64 }
	// Booked tells where room has been reserved for the next replica.
	Booked struct {
		Generation uint64
		Machine    int
		Session    uint64
	}
	// Answering tells that a replica answers requests.
	Answering struct {
		Generation uint64
		Attempt    int
	}
	// Gone tells that a replica's place is proved empty.
	Gone struct {
		Generation uint64
		Attempt    int
	}
	// Quiet tells that all nodes have seen no request for the model since a time, by fresh reports.
	Quiet struct {
		Generation uint64
		Since      time.Time
	}
	// Drained tells that every node passes nothing on any more, by its word on this very drain or
	// because its lease has run out, and that nothing is in flight.
	Drained struct{ Drain uint64 }
	// Tick tells that time has passed.
	Tick struct{}
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
		case r.Replica != nil:
			return Start
		case r.rests(now) == 0:
			return Book
		}
	case Draining:
		return Drain
	case Stopping:
		return Stop
	case Idle, Ready, Failed:
	}
	return Nothing
}

// wake begins the next generation.
func (r Record) wake(now time.Time) (Record, Action) {
	next := r.enter(Starting, now)
	next.Generation++
	next.Attempts, next.Failures, next.Replica, next.Abandoned, next.WakeWanted, next.NotBeforeMS = 0, 0, nil, false, false, 0
	return next, Book
}

func (e Demand) apply(r Record, _ *Policy, now time.Time) (Record, Action) {
	if e.Generation != r.Generation {
		return r, Nothing // its node learns where things stand, and asks again if it must
	}
	switch r.State {
	case "", Idle:
		return r.wake(now)
	case Failed:
		if r.rests(now) == 0 {
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
	if r.Replica == nil {
		return r.enter(Starting, now), Book
	}
	return r.enter(Ready, now), Nothing
}

func (e Booked) apply(r Record, _ *Policy, now time.Time) (Record, Action) {
	if r.State != Starting || e.Generation != r.Generation || r.Replica != nil || r.rests(now) > 0 {
		return r, Nothing
	}
	next := r.enter(Starting, now)
	next.Attempts++
	next.Replica = &Replica{Attempt: next.Attempts, Machine: e.Machine, Session: e.Session}
	return next, Start
}

// isReplica tells whether an event is about the present replica.
func (r *Record) isReplica(generation uint64, attempt int) bool {
	return generation == r.Generation && r.Replica != nil && r.Replica.Attempt == attempt
}

func (e Answering) apply(r Record, _ *Policy, now time.Time) (Record, Action) {
	if r.State != Starting || r.Abandoned || !r.isReplica(e.Generation, e.Attempt) {
		return r, Nothing
	}
	r.Failures = 0
	return r.enter(Ready, now), Nothing
}

func (e Gone) apply(r Record, p *Policy, now time.Time) (Record, Action) {
	if !r.isReplica(e.Generation, e.Attempt) {
		return r, Nothing
	}
	r.Replica, r.Abandoned = nil, false
	switch r.State {
	case Stopping:
		if r.WakeWanted {
			return r.wake(now)
		}
		return r.enter(Idle, now), Nothing
	case Draining:
		return r, Nothing // the nodes may still pass requests on to it
	case Starting:
		r.Failures++
		return r.startAnew(p, now)
	case Ready:
		return r.startAnew(p, now)
	case Idle, Failed:
	}
	return r, Nothing
}

// startAnew goes on after a replica that is gone without having been stopped for lack of
// requests: the same generation starts anew, so many times after starts that failed and with
// growing pauses.
func (r Record) startAnew(p *Policy, now time.Time) (Record, Action) {
	if r.Failures >= p.Attempts {
		next := r.enter(Failed, now)
		next.NotBeforeMS = now.Add(p.Cooldown).UnixMilli()
		return next, Nothing
	}
	next := r.enter(Starting, now)
	if r.Failures == 0 {
		return next, Book
	}
	next.NotBeforeMS = now.Add(p.backoff(r.Failures)).UnixMilli()
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
	if r.Replica == nil {
		return r.enter(Idle, now), Nothing
	}
	return r.enter(Stopping, now), Stop
}

func (Tick) apply(r Record, p *Policy, now time.Time) (Record, Action) {
	age := now.Sub(time.UnixMilli(r.SinceMS))
	switch {
	case r.State == Starting && r.Replica == nil && r.rests(now) == 0:
		return r, Book
	case r.State == Starting && r.Replica != nil && age > p.StartWithin:
		r.Abandoned = true
		return r, Stop
	case r.State == Draining && age > p.DrainTimeout:
		return r.revive(now) // someone still uses it
	}
	return r, Nothing
}

// String writes a record for operators.
func (r Record) String() string {
	if r.Replica == nil {
		return fmt.Sprintf("%s, generation %d", r.State, r.Generation)
	}
	return fmt.Sprintf("%s, generation %d, attempt %d on machine %d", r.State, r.Generation, r.Replica.Attempt, r.Replica.Machine)
}
