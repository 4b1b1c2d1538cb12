// Package failures attributes task failures to jobs or machines. A job is at fault if it fails on several machines
// or again and again. A machine is at fault if several jobs fail on it. Until either is found to be at fault, a
// failure counts against both. Once a job is at fault, its failures no longer count against machines.
//
// The package does no input or output, and its types are not safe for concurrent use.
package failures

import (
	"slices"
	"time"
)

const (
	// jobFaultThreshold is the number of machines on which a job must fail to be at fault. A job is also at fault
	// after this number of consecutive failures.
	jobFaultThreshold = 3
	// maxBackoffDoublings is the maximum number of times that the backoff between retries is doubled.
	maxBackoffDoublings = 4
	// maxRemembered is the maximum number of failed jobs remembered per machine, and of failed tasks per job.
	maxRemembered = 8
)

// Job records the failures of a job's tasks since one of them last succeeded. The zero value has no failures.
type Job struct {
	machines      []int       // IDs of machines on which tasks failed, at most jobFaultThreshold
	consecutive   int         // number of consecutive failures
	lastCountedAt time.Time   // when the last consecutive failure was counted
	earlierByTask map[int]int // number of failures under earlier leaders by task, for at most maxRemembered tasks
}

// RecordFailure records that a task failed on a machine now. started is when the task was started. Failures of tasks
// that ran at the same time are assumed to have one cause. A failure is therefore counted as a further consecutive
// failure only if the task was started after the last counted failure.
func (j *Job) RecordFailure(machine int, started, now time.Time) {
	j.addMachine(machine)
	if j.consecutive == 0 || started.After(j.lastCountedAt) {
		j.consecutive++
		j.lastCountedAt = now
	}
}

// RecordEarlierFailure records that a task failed on a machine at an unknown time under an earlier leader. Several
// failures of the same task are consecutive, because the task was retried after each.
func (j *Job) RecordEarlierFailure(machine, task int) {
	j.addMachine(machine)
	if j.earlierByTask == nil {
		j.earlierByTask = make(map[int]int)
	}
	if _, known := j.earlierByTask[task]; known || len(j.earlierByTask) < maxRemembered {
		j.earlierByTask[task]++
	}
	j.consecutive = max(j.consecutive, min(jobFaultThreshold, j.earlierByTask[task]))
}

// addMachine adds a machine on which a task failed, unless jobFaultThreshold machines are already recorded.
func (j *Job) addMachine(machine int) {
	if len(j.machines) < jobFaultThreshold && !slices.Contains(j.machines, machine) {
		j.machines = append(j.machines, machine)
	}
}

// RecordSuccess records that a task succeeded. It drops all failures, so that the job is no longer at fault.
func (j *Job) RecordSuccess() { *j = Job{} }

// AtFault reports whether the job is assumed to fail on every machine.
func (j *Job) AtFault() bool {
	return len(j.machines) >= jobFaultThreshold || j.consecutive >= jobFaultThreshold
}

// Machines returns the IDs of the first machines on which the job failed, at most jobFaultThreshold of them. The
// caller must not modify the slice.
func (j *Job) Machines() []int { return j.machines }

// Backoff returns how long to wait before the next retry of a job at fault. It is one unit, doubled for each
// consecutive failure after the first, up to 16 units.
func (j *Job) Backoff(unit time.Duration) time.Duration {
	return unit << min(max(0, j.consecutive-1), maxBackoffDoublings)
}
