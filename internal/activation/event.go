package activation

import "time"

// Event is an input to the lifecycle of a model.
type Event interface {
	apply(r Record, p *Policy, now time.Time) (Record, Action)
}

// The events.
type (
	// Demand is a request for the model at a controller that knows this generation.
	Demand struct{ Generation uint64 }
	// Reserved reports that resources have been reserved for the next replica. Attempt numbers are
	// assigned by the scheduler and never used again.
	Reserved struct {
		Generation uint64
		Attempt    uint64
	}
	// Serving reports that a replica answers requests.
	Serving struct {
		Generation uint64
		Attempt    uint64
	}
	// ReplicaGone reports proof that a replica is no longer on a machine. Failed: it ended by itself,
	// rather than with its machine or by an order.
	ReplicaGone struct {
		Generation uint64
		Attempt    uint64
		Failed     bool
	}
	// Quiet reports that no controller has had a request for the model since a time, according to
	// recent reports of all of them.
	Quiet struct {
		Generation uint64
		Since      time.Time
	}
	// Drained reports that no controller passes requests on to the model any more and that none is in
	// flight: each controller has acknowledged this drain, or what it may act by has expired.
	Drained struct{ Drain uint64 }
	// Tick reports the passage of time, and how long the present replica has been reserved.
	Tick struct{ ReservedFor time.Duration }
)

// Cause describes an event for operators.
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
