package activation

import "time"

// Event is an input to the lifecycle of a model.
type Event interface {
	apply(r Record, p *Policy, now time.Time) (Record, Action)
}

// The event types.
type (
	// Demand reports a request for the model at a controller whose latest known generation is
	// Generation.
	Demand struct{ Generation uint64 }
	// Reserved reports that resources have been reserved for the next replica. The scheduler assigns
	// the attempt numbers and never reuses one.
	Reserved struct {
		Generation uint64
		Attempt    uint64
	}
	// Serving reports that a replica answers requests.
	Serving struct {
		Generation uint64
		Attempt    uint64
	}
	// ReplicaGone reports that a replica is proved to be no longer on a machine. Failed is true if
	// the replica ended by itself, rather than because its machine was lost or it was ordered to stop.
	ReplicaGone struct {
		Generation uint64
		Attempt    uint64
		Failed     bool
	}
	// Quiet reports that no controller has had a request for the model since the time Since,
	// according to recent reports of all controllers.
	Quiet struct {
		Generation uint64
		Since      time.Time
	}
	// Drained reports that no controller forwards requests to the model any more and that none is in
	// flight: each controller has acknowledged this drain, or the responses that allowed it to
	// forward requests have expired.
	Drained struct{ Drain uint64 }
	// Tick reports that time has passed, and how long ago the current replica was reserved.
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
