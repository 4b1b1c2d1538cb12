// Package failures attributes failures of tasks to jobs or machines. A job at fault fails wherever it
// runs; on a machine at fault several jobs fail. Until one of them is found to be at fault both are
// suspected. Once a job is, the machines that it failed on are cleared of its failures.
//
// The package does no input or output, and its types are not safe for concurrent use.
package failures

import (
	"slices"
	"time"
)

const (
	// jobFaultThreshold is the number of machines on which a job fails, or of its consecutive
	// failures, from which the job is at fault.
	jobFaultThreshold = 3
	// maxBackoffDoublings bounds how often the backoff between retries doubles.
	maxBackoffDoublings = 4
	// maxRemembered bounds the jobs remembered of a machine, and the tasks remembered of a job.
	maxRemembered = 8
)

// Job is the failures of a job's tasks since one of them last succeeded. The zero value has none.
type Job struct {
	machines      []int // machines on which tasks failed, at most jobFaultThreshold
	consecutive   int   // failures one after the other
	lastCounted   time.Time
	earlierByTask map[int]int // failures known from before this leader, of at most maxRemembered tasks
}

// RecordFailure records that a task failed on a machine now. Tasks that ran at the same time are taken to
// fail for one reason: only a task that was started after the last failure counted is a consecutive
// one.
func (j *Job) RecordFailure(machine int, started, now time.Time) {
	j.addMachine(machine)
	if j.consecutive == 0 || started.After(j.lastCounted) {
		j.consecutive++
		j.lastCounted = now
	}
}

// RecordEarlierFailure records that a task, given by its number, failed on a machine at an unknown earlier time.
// Several failures of the same task are consecutive, because it was retried after each.
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

// addMachine remembers a machine on which a task failed.
func (j *Job) addMachine(machine int) {
	if len(j.machines) < jobFaultThreshold && !slices.Contains(j.machines, machine) {
		j.machines = append(j.machines, machine)
	}
}

// RecordSuccess records that a task succeeded, so that the job isn't at fault.
func (j *Job) RecordSuccess() { *j = Job{} }

// AtFault reports whether the job is taken to fail wherever it runs.
func (j *Job) AtFault() bool {
	return len(j.machines) >= jobFaultThreshold || j.consecutive >= jobFaultThreshold
}

// Machines lists the first machines on which the job failed, at most three. The caller must not
// change the list.
func (j *Job) Machines() []int { return j.machines }

// Backoff returns how long to wait before the next retry of a job at fault: the unit, doubled with
// each consecutive failure after the first, up to sixteen units.
func (j *Job) Backoff(unit time.Duration) time.Duration {
	return unit << min(max(0, j.consecutive-1), maxBackoffDoublings)
}
