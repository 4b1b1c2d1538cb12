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

// NoReplica stands for the number of an attempt where there is none.
const NoReplica uint64 = 0

// Record is a model's lifecycle as it is stored. The zero record is an idle model that
// never ran.
type Record struct {
	State State `json:"state"`
	// Generation grows by one with each wake.
	Generation uint64 `json:"generation"`
	// Failures is how many starts in a row have failed, in this generation.
	Failures int `json:"failures,omitempty"`
	// Drain numbers the drains of all generations: a node's word on one says nothing of the next.
	Drain uint64 `json:"drain,omitempty"`
	// Replica is the number of the attempt whose place isn't proved empty. It is not stored: where
	// replicas may be stands in the scheduler's records of attempts alone, and Restore brings it in.
	Replica uint64 `json:"-"`
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

// SameStored tells whether two records are stored alike.
func (r Record) SameStored(other Record) bool {
	r.Replica, other.Replica = NoReplica, NoReplica
	return r == other
}

// Restore brings in what a new leader finds in the records of attempts: the attempt whose place
// isn't proved empty, or NoReplica. The two are written independently of each other, so the record
// may be ahead of the attempts, or behind them.
func (r Record) Restore(replica uint64, p *Policy, now time.Time) (Record, Action) {
	r.Replica = replica
	if replica != NoReplica {
		return r, r.Pending(now)
	}
	lost := r.State == Ready || r.State == Stopping || r.Abandoned
	if !lost {
		return r, r.Pending(now)
	}
	r.Replica = lostReplica // its place was proved empty, and that was all that became durable
	return r.Apply(ReplicaGone{Generation: r.Generation, Attempt: lostReplica}, p, now)
}

// lostReplica stands for an attempt whose record is gone already.
const lostReplica uint64 = 1

// enter returns the record in another state.
func (r Record) enter(state State, now time.Time) Record {
	r.State, r.SinceMS = state, now.UnixMilli()
	return r
}

// BackoffRemaining is how long no replica may be booked yet.
func (r *Record) BackoffRemaining(now time.Time) time.Duration {
	return max(0, time.UnixMilli(r.NotBeforeMS).Sub(now))
}

// age is for how long the record has been in its state.
func (r *Record) age(now time.Time) time.Duration { return now.Sub(time.UnixMilli(r.SinceMS)) }
