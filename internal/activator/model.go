package activator

import (
	"time"

	"sagevale/internal/activation"
)

// model is a Tracker's state for one model.
type model struct {
	response   activation.WakeResponse // the leader's latest usable response to a wake request
	validUntil time.Time               // end of the response's validity

	wakePending     bool      // a wake request is in flight
	undecidedWakes  int       // number of consecutive wake requests without a usable response; see scheduleRetry
	undecidedReason string    // reason given in the latest response that wasn't usable
	retryAt         time.Time // no wake request is sent before this time
	// Until demandUntil, wake requests are repeated even if no request waits for the model. handleWakeResponse clears
	// demandUntil when a usable response arrives.
	demandUntil time.Time

	waiting   []*request // requests that wait for a decision, in order of arrival
	inFlight  int        // granted requests that haven't finished
	lastUsed  time.Time  // when a request last arrived or finished
	lastDrain uint64     // number of the latest drain that the leader has ordered; 0: none
	drainedAt time.Time  // when the order for lastDrain was received
}

// model returns the state of a model, and creates it if there is none.
func (t *Tracker) model(name string) *model {
	m := t.models[name]
	if m == nil {
		m = &model{}
		t.models[name] = m
	}
	return m
}

// responseValid reports whether the leader's latest response is still valid for deciding on requests.
func (m *model) responseValid(now time.Time) bool { return now.Before(m.validUntil) }

// needsWake reports whether a wake request has to be sent now, if there is demand for the model. No wake request is sent
// while another one is in flight, while the latest response is valid, or before retryAt.
func (m *model) needsWake(now time.Time) bool {
	return !m.wakePending && !m.responseValid(now) && !now.Before(m.retryAt)
}

// canBeRemoved reports whether the model no longer has to be in usage reports. The model must have no requests and no
// valid response. In addition, there must have been neither a request nor a drain order for it within rememberFor.
func (m *model) canBeRemoved(now time.Time, rememberFor time.Duration) bool {
	idle := m.inFlight == 0 && len(m.waiting) == 0 && !m.responseValid(now)
	return idle && now.Sub(m.lastUsed) > rememberFor && now.Sub(m.drainedAt) > rememberFor
}

// heldRequests returns how many requests for the model are held. Requests that are queued until the leader responds to a
// wake request, and that holdOrReply hasn't held yet, don't count.
func (m *model) heldRequests() int {
	held := 0
	for _, r := range m.waiting {
		if r.held {
			held++
		}
	}
	return held
}
