package scheduler

import (
	"time"

	"sagevale/internal/clock"
	"sagevale/internal/worker"
)

// maxQuarantineLeases is the longest that a machine in trouble is left alone, in leases:
// beyond that, work would wait for long beside its room.
const maxQuarantineLeases = 2

// failed attributes a task's failure to its job or its machine. A job that fails wherever it runs
// is retried a task at a time, after longer and longer pauses, and its machines are cleared of
// it; a machine on which several jobs fail is left alone for a while.
func (d *scheduler) failed(j *job, m *machine, booked, now time.Time) {
	j.failures.Failed(m.id, booked, now)
	m.failures.Failed(j.spec.ID)
	if j.failures.AtFault() {
		d.clearMachines(j)
		m.clearFailures(j)
		j.retryAfter = now.Add(j.failures.Backoff(d.settings.HeartbeatInterval))
		d.log.Info("job fails wherever it runs", "job", j.spec.ID, "pause", j.retryAfter.Sub(now))
		return
	}
	if m.failures.AtFault() {
		pause := clock.Scale(d.settings.WorkerLease, float64(min(1+m.failures.Excess(), maxQuarantineLeases)))
		m.quarantinedUntil = now.Add(pause)
		d.log.Info("machine fails several jobs", "machine", m.id, "pause", pause)
	}
}

// clearMachines clears the machines that a job at fault has failed on.
func (d *scheduler) clearMachines(j *job) {
	for _, id := range j.failures.Machines() {
		if m := d.state.machines.get(id); m != nil {
			m.clearFailures(j)
		}
	}
}

// recallFailures takes in what a worker's first report of this term tells of failures that an
// earlier leader has dealt with: a job that fails wherever it runs isn't started everywhere anew.
func (d *scheduler) recallFailures(m *machine, r *worker.Report) {
	for _, t := range r.Tasks {
		j := d.state.jobs.get(t.ID.Job)
		if t.State != worker.Exited || t.Cause != worker.CauseError || j == nil || j.done > 0 {
			continue
		}
		if j.failures.Recall(m.id, t.ID.Task); j.failures.AtFault() {
			d.clearMachines(j)
		}
	}
}
