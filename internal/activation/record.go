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
	Draining State = "draining" // new requests aren't forwarded; the drain may be canceled, and the replica may be lost
	Stopping State = "stopping" // the replica has to be stopped, and may still be on a machine
	Failed   State = "failed"   // too many consecutive starts failed; the next wake must wait for the cooldown
)

// NoReplica is the value of Record.Replica if it is certain that no replica is on a machine.
const NoReplica uint64 = 0

// Record is the durable record of a model's lifecycle. The zero value describes an idle model that was
// never started.
type Record struct {
	State State `json:"state"`
	// Generation is the number of wakes of the model up to now.
	Generation uint64 `json:"generation"`
	// Failures is the number of consecutive failed starts in this generation.
	Failures int `json:"failures,omitempty"`
	// Drain is the number of the latest drain. Drains are numbered across all generations, so that a
	// controller's acknowledgment of one drain isn't taken for an acknowledgment of the next drain.
	Drain uint64 `json:"drain,omitempty"`
	// Replica is the number of the attempt whose replica may be on a machine, or NoReplica. It isn't
	// stored in this record, because the scheduler stores the attempts; Restore sets it.
	Replica uint64 `json:"-"`
	// Abandoned reports that the replica took too long to start and must be stopped. Once it is proved
	// gone, another replica is started.
	Abandoned bool `json:"abandoned,omitempty"`
	// WakeWanted reports that there was demand while the replica was being stopped.
	WakeWanted bool `json:"wake_wanted,omitempty"`
	// SinceMS is the time at which the state was entered, in Unix milliseconds.
	SinceMS int64 `json:"since_ms"`
	// NotBeforeMS is the time before which no replica may be reserved, in Unix milliseconds. It is the
	// end of the backoff after a failed start, or of the cooldown.
	NotBeforeMS int64 `json:"not_before_ms,omitempty"`
}

// DamagedError reports that the value stored under a key is not a record that a leader can have written.
// The model of such a record is neither started nor stopped.
type DamagedError struct{ Key, Reason string }

func (e *DamagedError) Error() string { return fmt.Sprintf("key %s is damaged: %s", e.Key, e.Reason) }

// Decode decodes a record that was stored under key. It returns a *DamagedError if the value is not a
// valid record.
func Decode(key string, data []byte) (Record, error) {
	var r Record
	if err := json.Unmarshal(data, &r); err != nil {
		return Record{}, &DamagedError{key, "the value is not a lifecycle record"}
	}
	if reason := r.inconsistency(); reason != "" {
		return Record{}, &DamagedError{key, reason}
	}
	return r, nil
}

// inconsistency describes a contradiction that no sequence of transitions can lead to, or returns "" if
// it finds none in the record.
func (r *Record) inconsistency() string {
	switch {
	case r.Failures < 0:
		return "the number of failures is negative"
	case r.Abandoned && r.State != Starting:
		return "a replica is abandoned, but the model is not being started"
	case r.WakeWanted && r.State != Stopping:
		return "a wake is pending, but the model is not being stopped"
	case r.State != Idle && r.Generation == 0:
		return "the generation is missing"
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

// SameStored reports whether two records are equal in their stored fields: in all fields except Replica.
func (r Record) SameStored(other Record) bool {
	r.Replica, other.Replica = NoReplica, NoReplica
	return r == other
}

// BackoffRemaining returns the remaining time until a replica may be reserved.
func (r *Record) BackoffRemaining(now time.Time) time.Duration {
	return max(0, time.UnixMilli(r.NotBeforeMS).Sub(now))
}

// timeInState returns how long the record has been in its current state.
func (r *Record) timeInState(now time.Time) time.Duration { return now.Sub(time.UnixMilli(r.SinceMS)) }

// enterState returns the record in the given state, entered at now.
func (r Record) enterState(state State, now time.Time) Record {
	r.State, r.SinceMS = state, now.UnixMilli()
	return r
}
