package scheduler

import (
	"time"

	"sagevale/internal/clock"
	"sagevale/internal/cluster"
	"sagevale/internal/worker"
)

// maxQuarantineLeases is the longest quarantine of a machine that fails tasks or loses its lease, in worker leases. No tasks
// are placed on a machine in quarantine, so during a longer quarantine tasks would wait although resources are free.
const maxQuarantineLeases = 2

// recordTaskFailure records a task's failure and attributes it to the job or the machine. A job that fails on every machine
// is retried one task at a time with an increasing backoff, and its failures no longer count against the machines. A
// machine on which several jobs fail is quarantined for a limited time.
func (s *scheduler) recordTaskFailure(j *cluster.Job, m *cluster.Machine, reservedAt, now time.Time) {
	j.Failures.RecordFailure(m.ID, reservedAt, now)
	m.Failures.RecordFailure(j.Spec.ID)
	if j.Failures.AtFault() {
		s.clearMachineFailures(j)
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

// clearMachineFailures removes a job's failures from the records of the machines on which the job has failed, because the
// job itself is the cause of these failures.
func (s *scheduler) clearMachineFailures(j *cluster.Job) {
	for _, id := range j.Failures.Machines() {
		if m := s.state.Machines.Get(id); m != nil {
			m.ClearFailures(j)
		}
	}
}

// recordEarlierFailures records task failures that happened under earlier leaders. It takes them from a worker's first report
// of this term. Without these records, a job that fails on every machine would be started on every machine again.
func (s *scheduler) recordEarlierFailures(m *cluster.Machine, r *worker.Report) {
	for _, t := range r.Tasks {
		j := s.state.Jobs.Get(t.ID.Job)
		if t.State != worker.Exited || t.Cause != worker.CauseError || j == nil || j.Done > 0 {
			continue
		}
		if j.Failures.RecordEarlierFailure(m.ID, t.ID.Task); j.Failures.AtFault() {
			s.clearMachineFailures(j)
		}
	}
}
