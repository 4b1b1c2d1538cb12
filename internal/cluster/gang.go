package cluster

import (
	"maps"
	"slices"
	"time"

	"sagevale/internal/worker"
)

// Gang is what is known of the present attempt of a gang: the tasks of a job that run at the same time or
// not at all. Workers find the other tasks by the attempt's number, which all tasks share. Until they
// run, a lost task is replaced under the same number; from then on a loss ends the attempt.
type Gang struct {
	Number   uint64       // of the attempt; 0: there is none
	Started  bool         // its tasks have run
	Failed   bool         // it can't be completed any more
	ExitedOn map[int]bool // machines on which a task of it has exited: it can't start there again
}

// GangCompletable reports whether the present attempt may still be completed by replacing tasks: nothing of
// it has run, and nothing may have run that isn't known.
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

// waitsInGang reports whether an attempt surely waits to run with the others of the gang's attempt.
func (j *Job) waitsInGang(a *Attempt) bool {
	switch {
	case a.Stopping || a.Number != j.Gang.Number:
		return false
	case !a.Reported:
		return a.ThisTerm
	}
	return a.State == worker.Pulling || a.State == worker.Gathering
}

// recordGangAttempt notes that an attempt of one of the gang's tasks was entered.
func (j *Job) recordGangAttempt(a *Attempt) {
	if j.Gang.Number != 0 && j.Gang.Number != a.Number {
		j.Gang.Failed = true // records of two attempts: a leader ended between its commits
	}
	j.Gang.Number = max(j.Gang.Number, a.Number)
}

// GangAttempts returns the job's attempts in the order of their tasks.
func (j *Job) GangAttempts() []*Attempt {
	return slices.SortedFunc(maps.Values(j.Attempts), func(a, b *Attempt) int { return a.Task - b.Task })
}

// GatherTime is for how long the first of the gang's tasks has waited for the others.
func (j *Job) GatherTime(now time.Time) time.Duration {
	var longest time.Duration
	for _, a := range j.Attempts {
		if a.Reported && a.State == worker.Gathering && !a.GatheringSince.IsZero() {
			longest = max(longest, now.Sub(a.GatheringSince))
		}
	}
	return longest
}
