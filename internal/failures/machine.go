package failures

import "slices"

// machineFaultThreshold is the number of jobs with failures on a machine at which the machine is at fault.
const machineFaultThreshold = 2

// Machine records which jobs failed on a machine since a task last succeeded there. The zero value has no failures.
type Machine struct {
	jobs []string // job IDs, at most maxRemembered
}

// RecordFailure records that a task of the job failed on the machine.
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

// Suspected reports whether any job has failed on the machine that isn't known to be at fault itself.
func (m *Machine) Suspected() bool { return len(m.jobs) > 0 }

// AtFault reports whether the machine is assumed to make every job fail.
func (m *Machine) AtFault() bool { return len(m.jobs) >= machineFaultThreshold }

// Excess returns by how many jobs the failures on the machine exceed machineFaultThreshold.
func (m *Machine) Excess() int { return max(0, len(m.jobs)-machineFaultThreshold) }
