package activation

import "time"

// Event is an input to the lifecycle of a model.
type Event interface {
	apply(r Record, p *Policy, now time.Time) (Record, Action)
}

// The event types.
type (
	// Demand reports that a controller has received a request for the model. Generation is the
	// latest generation of the model that this controller knows.
	Demand struct{ Generation uint64 }
	// Reserved reports that resources have been reserved for the next replica. Attempt is the number
	// of the attempt to run this replica. The scheduler assigns these numbers and never reuses one.
	Reserved struct {
		Generation uint64
		Attempt    uint64
	}
	// Serving reports that the replica of an attempt answers requests.
	Serving struct {
		Generation uint64
		Attempt    uint64
	}
	// ReplicaGone reports that the replica of an attempt has been proved to be on no machine any
	// more. Failed is true if the replica ended by itself. It is false if the machine was lost or the
	// replica was ordered to stop.
	ReplicaGone struct {
		Generation uint64
		Attempt    uint64
		Failed     bool
	}
	// Quiet reports that no controller has had a request for the model after the time Since. Every
	// controller has sent a recent usage report that shows this.
	Quiet struct {
		Generation uint64
		Since      time.Time
	}
	// Drained reports that the drain with the number Drain is complete: no controller forwards
	// requests to the model any more. Each controller with a recent usage report has acknowledged
	// the drain and has no request for the model in flight. For every controller without a recent usage
	// report, the leader's responses that allowed it to forward requests have expired.
	Drained struct{ Drain uint64 }
	// Tick triggers the transitions that depend only on the time, such as timeouts. ReservedFor is the
	// time since resources were reserved for the current replica, or 0 if there is no replica.
	Tick struct{ ReservedFor time.Duration }
)

// Cause describes an event, as the cause of a transition, for operators.
func Cause(e Event) string {
	switch e := e.(type) {
	case Demand:
		return "demand"
	case Reserved:
		return "resources are reserved"
	case Serving:
		return "its replica answers requests"
	case ReplicaGone:
		if e.Failed {
			return "its replica failed"
		}
		return "its replica is gone"
	case Quiet:
		return "no requests"
	case Drained:
		return "no controller forwards requests"
	case Tick:
		return "time"
	}
	return "unknown"
}
