package activation

import "time"

// The messages of this file are exchanged between controllers of different versions. Fields may only
// be added.

// WakeRequest informs the leader that a controller holds requests for a model. A controller has one
// WakeRequest at a time for each model in flight, however many requests it holds.
type WakeRequest struct {
	Model string // job ID of the service
	// Generation is the latest generation that the sender knows. Only demand that names the present
	// generation starts the next one.
	Generation uint64
	// Wait is how long the response may be delayed while the model starts.
	Wait time.Duration
}

// Verdict is what a leader knows of a model.
type Verdict int

// The verdicts.
const (
	Undecided Verdict = iota // no leader can answer now: the request is to be retried
	Known                    // State and Generation are set
	Unknown                  // there is no such service
	Damaged                  // the lifecycle record can't be decoded: the model is neither started nor stopped
)

// WakeResponse is the state of a model.
type WakeResponse struct {
	Verdict    Verdict
	State      State
	Generation uint64
	Machine    string // address of the machine with a ready replica
	// Expected is how much longer the present start or cooldown is expected to take. 0: not known.
	Expected time.Duration
	// Holds is how long after the request was sent the response is valid.
	Holds  time.Duration
	Reason string // for people
}

// Ready reports whether requests may be passed on to the model.
func (r *WakeResponse) Ready() bool {
	return r.Verdict == Known && r.State == Ready && r.Machine != ""
}

// Asleep reports whether demand that names the response's generation could start the next one.
func (r *WakeResponse) Asleep() bool {
	return r.Verdict == Known && (r.State == Idle || r.State == Failed && r.Expected <= 0)
}

// UsageReport informs the leader of the models for which a controller has had requests.
type UsageReport struct {
	Node    string
	Session string        // unique to the process
	Serial  uint64        // increases with each report of the session
	Uptime  time.Duration // of the process; requests to an earlier process ended with it
	Models  []ModelUsage  // those with requests within the idle window, or being drained
}

// ModelUsage is a controller's usage of a model.
type ModelUsage struct {
	Model    string
	InFlight int           // requests passed on, or held, that aren't answered yet
	QuietFor time.Duration // time since the last request arrived or was answered
	// Drained is the latest drain after which the controller passes no request on by an earlier
	// response. Requests passed on before are counted by InFlight. 0: none.
	Drained uint64
}

// UsageResponse informs a controller of the models that are being drained.
type UsageResponse struct {
	Verdict  Verdict // Known or Undecided
	Draining []DrainOrder
	Reason   string // for people
}

// DrainOrder orders a controller to pass no more requests on to a model by earlier responses.
type DrainOrder struct {
	Model string
	Drain uint64
}
