package storage

import (
	"encoding/json"
	"fmt"
)

// Priority orders jobs; a larger value goes first.
type Priority int

// The priorities of the users' interface.
const (
	BestEffort Priority = iota
	Normal
	High
	Production
)

// Spec is the specification of a job as its user submitted it.
type Spec struct {
	ID          string    `json:"-"`
	Class       string    `json:"b,omitempty"`
	Team        string    `json:"o,omitempty"`
	Service     bool      `json:"s,omitempty"`
	Gang        bool      `json:"gg,omitempty"` // all tasks run together
	Priority    Priority  `json:"u,omitempty"`
	Tasks       int       `json:"n"`
	Resources   Resources `json:"r"` // of each task
	Types       []string  `json:"t,omitempty"`
	Zone        string    `json:"z,omitempty"`
	SameZone    bool      `json:"sz,omitempty"`
	Spread      bool      `json:"sp,omitempty"`
	Spot        bool      `json:"l,omitempty"`
	Image       string    `json:"i,omitempty"`
	ImageGB     float64   `json:"ig,omitempty"`
	EstimateS   float64   `json:"e,omitempty"`
	CheckpointS float64   `json:"k,omitempty"`
	SaveS       float64   `json:"ks,omitempty"`
	DeadlineS   float64   `json:"d,omitempty"`
}

// Phase is the durable part of a job's state.
type Phase int

// A job is open until it is done or cancelled; both are final.
const (
	Open Phase = iota
	Done
	Cancelled
)

// JobRecord is the durable record of a job. Final jobs keep no specification.
type JobRecord struct {
	Phase       Phase `json:"f,omitempty"`
	Tasks       int   `json:"n"`
	SubmittedMS int64 `json:"a,omitempty"` // Unix time in milliseconds
	Spec        *Spec `json:"s,omitempty"`
	DoneTasks   int   `json:"d,omitempty"`
	// Activation is the lifecycle of an open service that may be scaled to zero. It is
	// written only while the gate of activation is in use.
	Activation json.RawMessage `json:"w,omitempty"`
}

// PageTasks is how many tasks of a job share one page record. A full page must stay well
// below the value limit of the key-value store.
const PageTasks = 64

// PageRecord holds the done tasks and the attempts of one page of a job's tasks.
type PageRecord struct {
	Done     []int           `json:"d,omitempty"` // ranges: first and last task in turn
	Attempts []AttemptRecord `json:"a,omitempty"`
}

// AttemptRecord is one attempt of a task that may be on a machine.
type AttemptRecord struct {
	Task        int    `json:"t"`
	Number      uint64 `json:"y"`
	Machine     int    `json:"m"`
	Incarnation uint64 `json:"r"` // of the machine's worker
}

// IsFinished reports whether a job's record is that of a finished job without attempts. It
// fails if the record can't be decoded.
func IsFinished(r Record) (bool, error) {
	var job JobRecord
	if err := json.Unmarshal(r.Data, &job); err != nil {
		return false, fmt.Errorf("record %s: %w", r.Key, err)
	}
	return job.Phase != Open && job.Spec == nil, nil
}
