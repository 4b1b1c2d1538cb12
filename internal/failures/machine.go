package failures

import "slices"

// machineFaultThreshold is the number of jobs that must fail on a machine for the machine to be at fault.
const machineFaultThreshold = 2

// Machine records which jobs failed on a machine since a task last succeeded there. The zero value has no failures.
type Machine struct {
	jobs []string // job IDs, at most maxRemembered
}

// RecordFailure records that a task of the job failed on the machine. A job counts only once, however many of its tasks
// fail. Once maxRemembered jobs are recorded, further jobs are ignored.
func (m *Machine) RecordFailure(job string) {
	if len(m.jobs) < maxRemembered && !slices.Contains(m.jobs, job) {
		m.jobs = append(m.jobs, job)
	}
}

// Clear drops the failures of a job because the job itself is at fault.
func (m *Machine) Clear(job string) {
	m.jobs = slices.DeleteFunc(m.jobs, func(other string) bool { return other == job })
}

// RecordSuccess records that a task succeeded on the machine. It drops all failures.
func (m *Machine) RecordSuccess() { m.jobs = nil }

// Suspected reports whether a failure is recorded for the machine. Failures of jobs that are known to be at fault don't
// count, because Clear drops them.
func (m *Machine) Suspected() bool { return len(m.jobs) > 0 }

// AtFault reports whether the machine is assumed to make every job fail.
func (m *Machine) AtFault() bool { return len(m.jobs) >= machineFaultThreshold }

// Excess returns by how much the number of jobs that failed on the machine exceeds machineFaultThreshold.
func (m *Machine) Excess() int { return max(0, len(m.jobs)-machineFaultThreshold) }
