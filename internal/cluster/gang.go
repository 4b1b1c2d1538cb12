package cluster

import (
	"maps"
	"slices"
	"time"

	"sagevale/internal/worker"
)

// Gang is the state of the current attempt of a gang job, whose tasks run at the same time or not at all. All tasks of
// the gang share the number of the attempt, by which workers find the other tasks. If a task is lost before the gang
// runs, it is replaced under the same number. If a task is lost after the gang has started to run, the attempt ends.
type Gang struct {
	Number   uint64       // number of the attempt; 0 if there is none
	Started  bool         // the tasks have started to run
	Failed   bool         // the attempt can't be completed any more
	ExitedOn map[int]bool // IDs of machines on which a task of the attempt has exited and can't start again
}

// GangCompletable reports whether the current attempt can still be completed by replacing lost tasks. This requires
// that the attempt hasn't failed, and that no task has run or may have run without the leader's knowledge.
func (j *Job) GangCompletable() bool {
	if j.Gang.Failed || j.Gang.Started {
		return false
	}
	for _, a := range j.Attempts {
		if !j.waitsInGang(a) {
			return false
		}
	}
	return true
}

// waitsInGang reports whether a task's attempt belongs to the gang's current attempt and certainly hasn't run yet.
func (j *Job) waitsInGang(a *Attempt) bool {
	switch {
	case a.Stopping || a.Number != j.Gang.Number:
		return false
	case !a.Reported:
		return a.ThisTerm
	}
	return a.State == worker.Pulling || a.State == worker.Gathering
}

// recordGangAttempt updates the gang's state when an attempt of one of its tasks is added.
func (j *Job) recordGangAttempt(a *Attempt) {
	if j.Gang.Number != 0 && j.Gang.Number != a.Number {
		j.Gang.Failed = true // an earlier leader ended between two commits, so the records contain two attempts
	}
	j.Gang.Number = max(j.Gang.Number, a.Number)
}

// GangAttempts returns the job's attempts, ordered by task.
func (j *Job) GangAttempts() []*Attempt {
	return slices.SortedFunc(maps.Values(j.Attempts), func(a, b *Attempt) int { return a.Task - b.Task })
}

// GatherTime returns the longest time for which any task of the gang has waited for the other tasks.
func (j *Job) GatherTime(now time.Time) time.Duration {
	var longest time.Duration
	for _, a := range j.Attempts {
		if a.Reported && a.State == worker.Gathering && !a.GatheringSince.IsZero() {
			longest = max(longest, now.Sub(a.GatheringSince))
		}
	}
	return longest
}
