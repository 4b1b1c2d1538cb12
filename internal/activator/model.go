package activator

import (
	"time"

	"sagevale/internal/activation"
)

// model is a tracker's state of one model.
type model struct {
	response   activation.WakeResponse // the leader's latest
	validUntil time.Time               // of response

	wakePending bool      // a wake request has no response yet
	failures    int       // wake requests in a row that were undecided
	reason      string    // of the latest of them
	retryAt     time.Time // no wake request is sent before
	demandUntil time.Time // there was demand that is undecided: it is repeated until then

	waiting   []*request // in the order in which they came
	inFlight  int        // granted requests
	lastUsed  time.Time  // when a request last came, or was finished
	drain     uint64     // the latest drain that the leader has ordered
	drainedAt time.Time  // when the order was received
}

// model returns the state of a model, which is created where there is none.
func (t *Tracker) model(name string) *model {
	m := t.models[name]
	if m == nil {
		m = &model{}
		t.models[name] = m
	}
	return m
}

// responseValid reports whether requests may be decided by the leader's latest response.
func (m *model) responseValid(now time.Time) bool { return now.Before(m.validUntil) }

// needsWake reports whether a wake request is to be sent, if there is demand.
func (m *model) needsWake(now time.Time) bool {
	return !m.wakePending && !m.responseValid(now) && !now.Before(m.retryAt)
}

// unused reports whether the model has no requests, and none for as long as it is to be reported.
func (m *model) unused(now time.Time, remember time.Duration) bool {
	idle := m.inFlight == 0 && len(m.waiting) == 0 && !m.responseValid(now)
	return idle && now.Sub(m.lastUsed) > remember && now.Sub(m.drainedAt) > remember
}

// heldRequests returns how many requests for the model are held.
func (m *model) heldRequests() int {
	held := 0
	for _, r := range m.waiting {
		if r.held {
			held++
		}
	}
	return held
}
