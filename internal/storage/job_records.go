package storage

import (
	"encoding/json"
	"fmt"
)

// Priority is the priority of a job. Jobs with larger values are scheduled first.
type Priority int

// The priorities that users can request.
const (
	PriorityBestEffort Priority = iota
	PriorityNormal
	PriorityHigh
	PriorityProduction
)

// Spec is the specification of a job as its user submitted it. Fields whose names end in a
// capital S are durations in seconds.
type Spec struct {
	ID          string    `json:"-"`
	Class       string    `json:"b,omitempty"`
	Team        string    `json:"o,omitempty"`
	Service     bool      `json:"s,omitempty"`
	Gang        bool      `json:"gg,omitempty"` // all tasks start and run at the same time
	Priority    Priority  `json:"u,omitempty"`
	Tasks       int       `json:"n"`
	Resources   Resources `json:"r"` // resources of each task
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

// Phase is the durable part of a job's lifecycle state: whether the job is open, done or cancelled.
type Phase int

// The phases of a job. PhaseDone and PhaseCancelled are final.
const (
	PhaseOpen Phase = iota
	PhaseDone
	PhaseCancelled
)

// JobRecord is the durable record of a job. Once the job is done or cancelled and has no attempts
// left, the record holds no specification.
type JobRecord struct {
	Phase       Phase `json:"f,omitempty"`
	Tasks       int   `json:"n"`
	SubmittedMS int64 `json:"a,omitempty"` // Unix time in milliseconds
	Spec        *Spec `json:"s,omitempty"`
	DoneTasks   int   `json:"d,omitempty"`
	// Activation is the lifecycle state of an open service that may be scaled to zero. It is
	// written only while the feature gate upgrade.Activation is in use.
	Activation json.RawMessage `json:"w,omitempty"`
}

// TasksPerPage is the number of consecutive tasks of a job that share one page record. The largest
// page record must stay well below the value limit of the key-value store.
const TasksPerPage = 64

// TaskPageRecord holds the finished tasks and the attempts of one page of a job's tasks: see
// TasksPerPage.
type TaskPageRecord struct {
	Done     []int           `json:"d,omitempty"` // ranges of finished tasks: the first and the last task of each range
	Attempts []AttemptRecord `json:"a,omitempty"`
}

// AttemptRecord is the durable record of an attempt to run a task. The attempt may still be running
// on its machine.
type AttemptRecord struct {
	Task        int    `json:"t"`
	Number      uint64 `json:"y"`
	Machine     int    `json:"m"`
	Incarnation uint64 `json:"r"` // incarnation of the machine's worker
}

// IsFinished reports whether r is the record of a job that is done or cancelled and has no attempts
// left. It returns an error if the record can't be decoded.
func IsFinished(r Record) (bool, error) {
	var job JobRecord
	if err := json.Unmarshal(r.Data, &job); err != nil {
		return false, fmt.Errorf("decode record %s: %w", r.Key, err)
	}
	return job.Phase != PhaseOpen && job.Spec == nil, nil
}
