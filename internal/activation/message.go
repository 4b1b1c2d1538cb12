package activation

import "time"

// Controllers of different versions exchange the messages in this file. Fields of the messages may be
// added, but not changed or removed.

// WakeRequest reports to the leader that a controller has received requests for a model. A controller has
// at most one WakeRequest in flight for each model, however many requests it has received.
type WakeRequest struct {
	Model string // job ID of the service
	// Generation is the latest generation of the model that the sender knows. The leader starts the
	// next generation only if Generation is the current one.
	Generation uint64
	// Wait is how long the leader may delay the response while the model starts.
	Wait time.Duration
}

// Verdict classifies the response to a WakeRequest or a UsageReport.
type Verdict int

// The verdicts.
const (
	VerdictUndecided Verdict = iota // no leader can answer now; the sender should retry the request
	VerdictKnown                    // the response is valid; a WakeResponse then has State and Generation set
	VerdictUnknown                  // there is no such service
	VerdictDamaged                  // the lifecycle record can't be decoded; the model is neither started nor stopped
)

// WakeResponse is the leader's response to a WakeRequest: the state of the model.
type WakeResponse struct {
	Verdict    Verdict
	State      State
	Generation uint64
	Machine    string // address of the machine with a ready replica
	// Expected is how much longer the current start or cooldown is expected to take. 0: not known.
	Expected time.Duration
	// Holds is how long the response is valid, counted from the time at which the request was sent.
	Holds  time.Duration
	Reason string // for users and operators
}

// Ready reports whether requests may be forwarded to the model.
func (r *WakeResponse) Ready() bool {
	return r.Verdict == VerdictKnown && r.State == Ready && r.Machine != ""
}

// CanWake reports whether a WakeRequest with the response's generation could start the next generation.
func (r *WakeResponse) CanWake() bool {
	return r.Verdict == VerdictKnown && (r.State == Idle || r.State == Failed && r.Expected <= 0)
}

// UsageReport reports to the leader the models for which a controller has had requests.
type UsageReport struct {
	Node    string
	Session string        // unique to each process of the controller
	Serial  uint64        // increases with each report of the session
	Uptime  time.Duration // time since the process started; requests to an earlier process ended with that process
	Models  []ModelUsage  // at least the models that had requests within Policy.IdleWindow and those being drained
}

// ModelUsage is a controller's usage of a model.
type ModelUsage struct {
	Model    string
	InFlight int           // requests that are held or forwarded and not answered yet
	QuietFor time.Duration // time since a request last arrived or was answered
	// Drained is the number of the latest drain that the controller has acknowledged; 0: none. After
	// the acknowledgment, the controller no longer forwards requests on the basis of wake responses
	// from before the drain. InFlight still counts the requests that it forwarded earlier.
	Drained uint64
}

// UsageResponse is the leader's response to a UsageReport: the models that are being drained.
type UsageResponse struct {
	Verdict  Verdict // VerdictKnown or VerdictUndecided
	Draining []DrainOrder
	Reason   string // for operators
}

// DrainOrder orders a controller to forward no more requests to a model until a new WakeResponse allows
// the controller to do so.
type DrainOrder struct {
	Model string
	Drain uint64
}
