package scheduler

import (
	"encoding/json"
	"time"
)

// lifecycle is what the job table must know of a service that scales to zero.
type lifecycle interface {
	// stored returns the lifecycle's record as it goes into the job's.
	stored() json.RawMessage
	// mayPlace reports whether a replica may be placed now.
	mayPlace(now time.Time) bool
}

// scalesToZero reports whether a job is a service that runs only while there is demand.
func (j *job) scalesToZero() bool { return j.lifecycle != nil }

// mayPlace reports whether the job's lifecycle, if it has one, lets its tasks be placed.
func (j *job) mayPlace(now time.Time) bool { return j.lifecycle == nil || j.lifecycle.mayPlace(now) }
