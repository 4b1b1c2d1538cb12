package scheduler

import (
	"maps"
	"slices"
	"time"

	"sagevale/internal/worker"
)

// gang is what is known of a gang's present attempt.
type gang struct {
	number   uint64       // its number; 0: there is none
	started  bool         // its tasks have run
	failed   bool         // it can't be completed any more
	exitedOn map[int]bool // machines on which a task of it has ended: there it can't start again
}

// gangCompletable tells whether the present attempt may still be completed by what has
// waited to run: nothing of it has run, and nothing may have that isn't known.
func (j *job) gangCompletable() bool {
	if j.gang.failed || j.gang.started {
		return false
	}
	for _, a := range j.attempts {
		if a.stopping || a.number != j.gang.number || !a.reported && !a.thisTerm || a.reported && a.state != worker.Pulling && a.state != worker.Gathering {
			return false
		}
	}
	return true
}

// recordGangAttempt takes in that an attempt was booked.
func (j *job) recordGangAttempt(a *attempt) {
	if j.gang.number != 0 && j.gang.number != a.number {
		j.gang.failed = true // a record of two attempts: a leader ended between its commits
	}
	j.gang.number = max(j.gang.number, a.number)
}

// gangAttempts lists a job's attempts in the order of their tasks.
func (j *job) gangAttempts() []*attempt {
	return slices.SortedFunc(maps.Values(j.attempts), func(a, b *attempt) int { return a.task - b.task })
}

// gatherTime is for how long the first of a gang's tasks has waited for the others.
func (j *job) gatherTime(now time.Time) time.Duration {
	var longest time.Duration
	for _, a := range j.attempts {
		if a.reported && a.state == worker.Gathering && !a.gatheringSince.IsZero() {
			longest = max(longest, now.Sub(a.gatheringSince))
		}
	}
	return longest
}
