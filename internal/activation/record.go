// Package activation decides when a model that nobody asks for stops, and when it starts
// again: exactly once for each wake. A model's lifecycle is one durable record. The leader moves
// it by the pure transitions of this package, each written under its leadership key and the
// record's revision before anything rests on it.
//
// Nothing in this package does input or output.
package activation

import (
	"encoding/json"
	"fmt"
	"time"
)

// State is where a model stands.
type State string

// The states of a model.
const (
	Idle     State = "idle"     // holds no machine
	Starting State = "starting" // a replica is to answer soon; starts that fail are repeated
	Ready    State = "ready"    // its replica answers
	Draining State = "draining" // no new requests; may be revived. Its replica may have been lost
	Stopping State = "stopping" // its replica is being stopped, and must be proved gone
	Failed   State = "failed"   // all starts of this generation have failed; it cools down
)

// Replica is a booked attempt to run the model.
type Replica struct {
	Attempt int    `json:"attempt"` // of its generation, from 1
	Machine int    `json:"machine"`
	Session uint64 `json:"session"`
}

// Record is a model's lifecycle as it is stored. The zero record is an idle model that
// never ran.
type Record struct {
	State State `json:"state"`
	// Generation grows by one with each wake.
	Generation uint64 `json:"generation"`
	// Attempts is how many replicas of this generation have been booked, and Failures how many
	// of them in a row were gone before they answered.
	Attempts int `json:"attempts,omitempty"`
	Failures int `json:"failures,omitempty"`
	// Drain numbers the drains of all generations: a node's word on one says nothing of the next.
	Drain uint64 `json:"drain,omitempty"`
	// Replica is the one whose place isn't proved empty; nil: there is none.
	Replica *Replica `json:"replica,omitempty"`
	// Abandoned tells that the replica is to be stopped, and another one started once it is
	// gone.
	Abandoned bool `json:"abandoned,omitempty"`
	// WakeWanted tells that demand came while the model was being stopped.
	WakeWanted bool `json:"wake_wanted,omitempty"`
	// SinceMS is the time of day at which the state was entered, in milliseconds.
	SinceMS int64 `json:"since_ms"`
	// NotBeforeMS is the time of day before which no replica is booked: the pause after a
	// start that failed, or the cooldown.
	NotBeforeMS int64 `json:"not_before_ms,omitempty"`
}

// DamagedError says that a record can't be what a leader wrote. The model is neither started nor
// stopped then.
type DamagedError struct{ Key, Reason string }

func (e *DamagedError) Error() string { return fmt.Sprintf("key %s is damaged: %s", e.Key, e.Reason) }

// Decode reads a record, stored under key.
func Decode(key string, data []byte) (Record, error) {
	var r Record
	if err := json.Unmarshal(data, &r); err != nil {
		return Record{}, &DamagedError{key, "it is no lifecycle record"}
	}
	if reason := r.inconsistency(); reason != "" {
		return Record{}, &DamagedError{key, reason}
	}
	return r, nil
}

// inconsistency tells what no sequence of transitions leads to; "": nothing.
func (r *Record) inconsistency() string {
	replica := r.Replica != nil
	switch {
	case r.Attempts < 0 || r.Failures < 0 || r.Failures > r.Attempts || replica && r.Failures == r.Attempts:
		return "it counts attempts wrongly"
	case replica && (r.Replica.Attempt != r.Attempts || r.Attempts == 0):
		return "its replica is not the last attempt"
	case r.Abandoned && (!replica || r.State != Starting):
		return "it has abandoned no replica"
	case r.WakeWanted && r.State != Stopping:
		return "a wake is wanted though nothing is being stopped"
	}
	switch r.State {
	case Idle, Failed:
		if replica {
			return fmt.Sprintf("it is %s with a replica", r.State)
		}
	case Ready, Stopping:
		if !replica {
			return fmt.Sprintf("it is %s without a replica", r.State)
		}
	case Starting, Draining:
	default:
		return fmt.Sprintf("unknown state %q", r.State)
	}
	if r.State != Idle && r.Generation == 0 {
		return "it has no generation"
	}
	return ""
}

// enter returns the record in another state.
func (r Record) enter(state State, now time.Time) Record {
	r.State, r.SinceMS = state, now.UnixMilli()
	return r
}

// rests is how long no replica may be booked yet.
func (r *Record) rests(now time.Time) time.Duration {
	return max(0, time.UnixMilli(r.NotBeforeMS).Sub(now))
}
