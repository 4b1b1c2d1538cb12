// Package failures attributes the failures of tasks. A failure may be the fault of the job, which
// then fails wherever it runs, or of the machine, on which then other jobs fail too. Until that is
// known both are suspected; once a job is found to be at fault, the machines that it failed on
// are cleared of it.
//
// The types do no input or output and aren't safe for concurrent use.
package failures

import (
	"slices"
	"time"
)

const (
	// several is on how many machines, or how many times in a row, a job fails until it is
	// taken to be at fault itself.
	several = 3
	// faulty is how many jobs fail on a machine until it is taken to be at fault.
	faulty = 2
	// longestBackoff is the exponent of the longest pause between two retries of a job that
	// is at fault.
	longestBackoff = 4
)

// Job is what is known of the failures of a job's tasks since one last succeeded. The zero value
// has none.
type Job struct {
	machines []int // on which tasks have failed, at most several
	streak   int   // failures one after the other
	latest   time.Time
	recalled map[int]int // how often a task is known to have failed before, of at most most tasks
}

// Failed takes in that a task that was started at some time has failed on a machine now. Tasks
// that ran beside each other fail for one reason, and count once in a row.
func (j *Job) Failed(machine int, started, now time.Time) {
	j.note(machine)
	if j.streak == 0 || started.After(j.latest) {
		j.streak++
		j.latest = now
	}
}

// Recall takes in that a task, by its number, has failed on a machine at some time before. A task that
// has failed several times was retried, one time after the other.
func (j *Job) Recall(machine, task int) {
	j.note(machine)
	if j.recalled == nil {
		j.recalled = make(map[int]int)
	}
	if _, known := j.recalled[task]; known || len(j.recalled) < most {
		j.recalled[task]++
	}
	j.streak = max(j.streak, min(several, j.recalled[task]))
}

// note remembers a machine that a task has failed on.
func (j *Job) note(machine int) {
	if len(j.machines) < several && !slices.Contains(j.machines, machine) {
		j.machines = append(j.machines, machine)
	}
}

// Succeeded takes in that a task has succeeded: the job isn't at fault.
func (j *Job) Succeeded() { *j = Job{} }

// AtFault tells whether the job is taken to fail wherever it runs.
func (j *Job) AtFault() bool { return len(j.machines) >= several || j.streak >= several }

// Machines lists the machines that the job is known to have failed on, the first several of them.
func (j *Job) Machines() []int { return j.machines }

// Backoff is how long to wait before the next retry of a job that is at fault: the unit, doubled
// with each failure in a row up to sixteen units.
func (j *Job) Backoff(unit time.Duration) time.Duration {
	return unit << min(max(0, j.streak-1), longestBackoff)
}

// Machine is which jobs have failed on a machine since one last succeeded there. The zero value has none.
type Machine struct {
	jobs []string // at most most
}

// most is how many jobs are remembered of a machine, and how many tasks of a job.
const most = 8

// Failed takes in that a task of a job has failed on the machine.
func (m *Machine) Failed(job string) {
	if len(m.jobs) < most && !slices.Contains(m.jobs, job) {
		m.jobs = append(m.jobs, job)
	}
}

// Clear takes back what a job has failed: it is at fault itself.
func (m *Machine) Clear(job string) {
	m.jobs = slices.DeleteFunc(m.jobs, func(other string) bool { return other == job })
}

// Succeeded takes in that a task has succeeded on the machine.
func (m *Machine) Succeeded() { m.jobs = nil }

// Suspected tells whether a task has failed on the machine for which no job is known to be at fault.
func (m *Machine) Suspected() bool { return len(m.jobs) > 0 }

// AtFault tells whether the machine is taken to fail whatever runs on it.
func (m *Machine) AtFault() bool { return len(m.jobs) >= faulty }

// Excess is how many more jobs have failed on the machine than make it at fault.
func (m *Machine) Excess() int { return max(0, len(m.jobs)-faulty) }
