package activation

import "time"

// WakeRequest tells the leader that a controller has requests for a model. However many wait, a
// controller sends one at a time for each model. Other versions read it: fields are only added.
type WakeRequest struct {
	Model string // the service's job
	// Generation is the latest that the sender knows: only demand that names the present one
	// begins the next.
	Generation uint64
	// Wait is how long the answer may be put off while the model starts.
	Wait time.Duration
}

// Verdict tells what a leader can say of a model.
type Verdict int

// The verdicts.
const (
	Undecided Verdict = iota // nobody can say now: the request is to be sent again
	Known                    // State and Generation tell where it stands
	Unknown                  // there is no such service
	Damaged                  // its record can't be understood, so it is neither started nor stopped
)

// WakeResponse tells where a model stands. Other versions read it: fields are only added.
type WakeResponse struct {
	Verdict    Verdict
	State      State
	Generation uint64
	Machine    string // address of the machine of a replica that answers
	// Expected is how long the start under way, or the pause, may still take; 0: not known.
	Expected time.Duration
	// Holds is for how long after the request was sent the response may be gone by.
	Holds  time.Duration
	Reason string // for people
}

// Ready tells whether requests may be passed on to the model.
func (r *WakeResponse) Ready() bool {
	return r.Verdict == Known && r.State == Ready && r.Machine != ""
}

// Asleep tells whether demand that names the response's generation could begin the next.
func (r *WakeResponse) Asleep() bool {
	return r.Verdict == Known && (r.State == Idle || r.State == Failed && r.Expected <= 0)
}

// UsageReport is what a controller tells the leader of the models that requests have come for. Other
// versions read it: fields are only added.
type UsageReport struct {
	Node    string
	Session string        // of the process, unlike any other's
	Serial  uint64        // grows with each report of the session
	Uptime  time.Duration // of the process: requests to an earlier one ended with it
	Models  []ModelUsage  // those with requests within the idle window, or in a drain
}

// ModelUsage is a controller's use of a model.
type ModelUsage struct {
	Model    string
	InFlight int           // requests passed on, or held, that have no answer yet
	QuietFor time.Duration // since the last request came or was answered
	// Drained is the latest drain after which the controller passes nothing on by an earlier answer; what
	// it had passed on before is in InFlight. 0: none.
	Drained uint64
}

// UsageResponse tells a controller which models drain. Other versions read it: fields are only added.
type UsageResponse struct {
	Verdict  Verdict // Known, or Undecided
	Draining []DrainOrder
	Reason   string // for people
}

// DrainOrder has a controller pass no more requests on by earlier answers.
type DrainOrder struct {
	Model string
	Drain uint64
}
