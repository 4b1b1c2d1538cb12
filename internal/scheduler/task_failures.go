package scheduler

import (
	"time"

	"sagevale/internal/clock"
	"sagevale/internal/cluster"
	"sagevale/internal/worker"
)

// maxQuarantineLeases is the longest that a failing machine is quarantined, in worker leases. More would keep work
// waiting beside free resources.
const maxQuarantineLeases = 2

// recordTaskFailure attributes a task's failure to its job or its machine. A job that fails on every machine is retried one
// task at a time with a growing backoff, and its failures no longer count against the machines. A machine on which
// several jobs fail is quarantined for a while.
func (s *scheduler) recordTaskFailure(j *cluster.Job, m *cluster.Machine, reservedAt, now time.Time) {
	j.Failures.RecordFailure(m.ID, reservedAt, now)
	m.Failures.RecordFailure(j.Spec.ID)
	if j.Failures.AtFault() {
		s.clearMachines(j)
		m.ClearFailures(j)
		j.RetryAfter = now.Add(j.Failures.Backoff(s.settings.HeartbeatInterval))
		s.log.Info("job failing on every machine", "job", j.Spec.ID, "backoff", j.RetryAfter.Sub(now))
		return
	}
	if m.Failures.AtFault() {
		quarantine := clock.Scale(s.settings.WorkerLease, float64(min(1+m.Failures.Excess(), maxQuarantineLeases)))
		m.QuarantinedUntil = now.Add(quarantine)
		s.log.Info("machine quarantined", "machine", m.ID, "duration", quarantine)
	}
}

// clearMachines removes the failures of a job at fault from the machines that it has failed on.
func (s *scheduler) clearMachines(j *cluster.Job) {
	for _, id := range j.Failures.Machines() {
		if m := s.state.Machines.Get(id); m != nil {
			m.ClearFailures(j)
		}
	}
}

// learnEarlierFailures learns from a worker's first report of this term of failures under earlier leaders, so that a job that
// fails on every machine isn't started everywhere again.
func (s *scheduler) learnEarlierFailures(m *cluster.Machine, r *worker.Report) {
	for _, t := range r.Tasks {
		j := s.state.Jobs.Get(t.ID.Job)
		if t.State != worker.Exited || t.Cause != worker.CauseError || j == nil || j.Done > 0 {
			continue
		}
		if j.Failures.RecordEarlierFailure(m.ID, t.ID.Task); j.Failures.AtFault() {
			s.clearMachines(j)
		}
	}
}
