package scheduler

import (
	"time"

	"sagevale/internal/clock"
	"sagevale/internal/cluster"
	"sagevale/internal/worker"
)

// maxQuarantineLeases is the longest that a machine in trouble is left alone, in leases:
// beyond that, work would wait for long beside its room.
const maxQuarantineLeases = 2

// failed attributes a task's failure to its job or its machine. A job that fails wherever it runs
// is retried a task at a time, after longer and longer pauses, and its machines are cleared of
// it; a machine on which several jobs fail is left alone for a while.
func (d *scheduler) failed(j *cluster.Job, m *cluster.Machine, booked, now time.Time) {
	j.Failures.RecordFailure(m.ID, booked, now)
	m.Failures.RecordFailure(j.Spec.ID)
	if j.Failures.AtFault() {
		d.clearMachines(j)
		m.ClearFailures(j)
		j.RetryAfter = now.Add(j.Failures.Backoff(d.settings.HeartbeatInterval))
		d.log.Info("job fails wherever it runs", "job", j.Spec.ID, "pause", j.RetryAfter.Sub(now))
		return
	}
	if m.Failures.AtFault() {
		pause := clock.Scale(d.settings.WorkerLease, float64(min(1+m.Failures.Excess(), maxQuarantineLeases)))
		m.QuarantinedUntil = now.Add(pause)
		d.log.Info("machine fails several jobs", "machine", m.ID, "pause", pause)
	}
}

// clearMachines clears the machines that a job at fault has failed on.
func (d *scheduler) clearMachines(j *cluster.Job) {
	for _, id := range j.Failures.Machines() {
		if m := d.state.Machines.Get(id); m != nil {
			m.ClearFailures(j)
		}
	}
}

// recallFailures takes in what a worker's first report of this term tells of failures that an
// earlier leader has dealt with: a job that fails wherever it runs isn't started everywhere anew.
func (d *scheduler) recallFailures(m *cluster.Machine, r *worker.Report) {
	for _, t := range r.Tasks {
		j := d.state.Jobs.Get(t.ID.Job)
		if t.State != worker.Exited || t.Cause != worker.CauseError || j == nil || j.Done > 0 {
			continue
		}
		if j.Failures.RecordEarlierFailure(m.ID, t.ID.Task); j.Failures.AtFault() {
			d.clearMachines(j)
		}
	}
}
