package cluster

import (
	"encoding/json"
	"time"
)

// Lifecycle is what the state must know of a service that scales to zero.
type Lifecycle interface {
	// Stored returns the lifecycle's record as it goes into the job's.
	Stored() json.RawMessage
	// MayPlace reports whether a replica may be placed now.
	MayPlace(now time.Time) bool
}

// ScalesToZero reports whether the job is a service that runs only while there is demand.
func (j *Job) ScalesToZero() bool { return j.Lifecycle != nil }

// MayPlace reports whether the job's lifecycle, if it has one, lets its tasks be placed.
func (j *Job) MayPlace(now time.Time) bool { return j.Lifecycle == nil || j.Lifecycle.MayPlace(now) }
