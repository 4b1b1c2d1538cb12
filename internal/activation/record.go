package activation

import (
	"encoding/json"
	"fmt"
	"time"
)

// State is the state of a model's lifecycle.
type State string

// The states of a model.
const (
	Idle     State = "idle"     // scaled to zero
	Starting State = "starting" // a replica is being started; failed starts are retried
	Ready    State = "ready"    // the replica answers requests
	Draining State = "draining" // no new requests are passed on; may be cancelled. The replica may have been lost
	Stopping State = "stopping" // the replica is being stopped, until it is proved gone
	Failed   State = "failed"   // all starts of this generation failed; cooling down
)

// NoReplica is the attempt number that stands for no attempt.
const NoReplica uint64 = 0

// Record is the durable record of a model's lifecycle. The zero record is an idle model that was never
// started.
type Record struct {
	State State `json:"state"`
	// Generation is increased by one with each wake.
	Generation uint64 `json:"generation"`
	// Failures is the number of consecutive failed starts in this generation.
	Failures int `json:"failures,omitempty"`
	// Drain numbers the drains over all generations, so that the acknowledgement of one doesn't count
	// for the next.
	Drain uint64 `json:"drain,omitempty"`
	// Replica is the number of the attempt that may be on a machine, or NoReplica. It isn't stored
	// here, because the scheduler stores the attempts: Restore sets it.
	Replica uint64 `json:"-"`
	// Abandoned reports that the replica is to be stopped, and another one started once it is proved
	// gone.
	Abandoned bool `json:"abandoned,omitempty"`
	// WakeWanted reports that there was demand while the replica was being stopped.
	WakeWanted bool `json:"wake_wanted,omitempty"`
	// SinceMS is the time at which the state was entered, in Unix milliseconds.
	SinceMS int64 `json:"since_ms"`
	// NotBeforeMS is the time before which no replica is reserved, in Unix milliseconds: the end of the
	// backoff after a failed start, or of the cooldown.
	NotBeforeMS int64 `json:"not_before_ms,omitempty"`
}

// DamagedError reports that a stored record can't have been written by a leader. The model is neither
// started nor stopped then.
type DamagedError struct{ Key, Reason string }

func (e *DamagedError) Error() string { return fmt.Sprintf("key %s is damaged: %s", e.Key, e.Reason) }

// Decode decodes a record, stored under key. It returns a *DamagedError if the value is no valid record.
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

// inconsistency describes what no sequence of transitions can lead to. "": there is nothing.
func (r *Record) inconsistency() string {
	switch {
	case r.Failures < 0:
		return "it counts failures wrongly"
	case r.Abandoned && r.State != Starting:
		return "it has abandoned a replica without starting one"
	case r.WakeWanted && r.State != Stopping:
		return "a wake is wanted though nothing is being stopped"
	case r.State != Idle && r.Generation == 0:
		return "it has no generation"
	}
	switch r.State {
	case Idle, Starting, Ready, Draining, Stopping, Failed:
		return ""
	}
	return fmt.Sprintf("unknown state %q", r.State)
}

// String formats a record for operators.
func (r Record) String() string {
	if r.Replica == NoReplica {
		return fmt.Sprintf("%s, generation %d", r.State, r.Generation)
	}
	return fmt.Sprintf("%s, generation %d, attempt %d", r.State, r.Generation, r.Replica)
}

// SameStored reports whether two records have the same stored fields.
func (r Record) SameStored(other Record) bool {
	r.Replica, other.Replica = NoReplica, NoReplica
	return r == other
}

// BackoffRemaining returns how long no replica may be reserved yet.
func (r *Record) BackoffRemaining(now time.Time) time.Duration {
	return max(0, time.UnixMilli(r.NotBeforeMS).Sub(now))
}

// age returns how long the record has been in its state.
func (r *Record) age(now time.Time) time.Duration { return now.Sub(time.UnixMilli(r.SinceMS)) }

// enter returns the record in another state.
func (r Record) enter(state State, now time.Time) Record {
	r.State, r.SinceMS = state, now.UnixMilli()
	return r
}
