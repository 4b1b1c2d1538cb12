package failures

import "slices"

// machineFaultThreshold is the number of jobs that fail on a machine from which the machine is at
// fault.
const machineFaultThreshold = 2

// Machine is the jobs that failed on a machine since a task last succeeded there. The zero value has
// none.
type Machine struct {
	jobs []string // at most maxRemembered
}

// RecordFailure records that a task of the job failed on the machine.
func (m *Machine) RecordFailure(job string) {
	if len(m.jobs) < maxRemembered && !slices.Contains(m.jobs, job) {
		m.jobs = append(m.jobs, job)
	}
}

// Clear drops the failures of a job that is at fault itself.
func (m *Machine) Clear(job string) {
	m.jobs = slices.DeleteFunc(m.jobs, func(other string) bool { return other == job })
}

// RecordSuccess records that a task succeeded on the machine.
func (m *Machine) RecordSuccess() { m.jobs = nil }

// Suspected reports whether a job failed on the machine that isn't known to be at fault itself.
func (m *Machine) Suspected() bool { return len(m.jobs) > 0 }

// AtFault reports whether the machine is taken to fail whatever runs on it.
func (m *Machine) AtFault() bool { return len(m.jobs) >= machineFaultThreshold }

// Excess returns how many more jobs failed on the machine than are needed for it to be at fault.
func (m *Machine) Excess() int { return max(0, len(m.jobs)-machineFaultThreshold) }
