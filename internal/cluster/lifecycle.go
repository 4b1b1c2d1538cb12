package cluster

import (
	"encoding/json"
	"time"
)

// Lifecycle controls when replicas of a service that scales to zero may be placed.
type Lifecycle interface {
	// Stored returns the lifecycle's state as it is stored in the job's record.
	Stored() json.RawMessage
	// MayPlace reports whether a replica may be placed at the given time.
	MayPlace(now time.Time) bool
}

// ScalesToZero reports whether the job is a service that runs only while there is demand.
func (j *Job) ScalesToZero() bool { return j.Lifecycle != nil }

// MayPlace reports whether the job's tasks may be placed at the given time. A job without a lifecycle always may.
func (j *Job) MayPlace(now time.Time) bool { return j.Lifecycle == nil || j.Lifecycle.MayPlace(now) }
