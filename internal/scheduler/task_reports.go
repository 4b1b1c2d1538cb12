package scheduler

import (
	"time"

	"sagevale/internal/cluster"
	"sagevale/internal/storage"
	"sagevale/internal/worker"
)

// applyTaskReport reconciles the attempts with the entry of one task in a worker's report.
func (s *scheduler) applyTaskReport(m *cluster.Machine, r *worker.Report, t worker.TaskReport, now time.Time) {
	a := m.Attempts[t.ID]
	switch {
	case a != nil && a.Number == t.Attempt && a.Incarnation == r.Incarnation:
		s.updateAttempt(a, t, now)
	case t.State == worker.Exited:
		s.applyUntrackedExit(t)
		m.Exited = append(m.Exited, t)
	case a == nil && s.taskWaiting(t.ID):
		s.adoptAttempt(m, r, t, now)
	default:
		m.Orphans = append(m.Orphans, t)
	}
}

// taskWaiting reports whether a task exists, has no attempt and isn't done.
func (s *scheduler) taskWaiting(id worker.TaskID) bool {
	j := s.state.Jobs.Get(id.Job)
	return j != nil && id.Task < len(j.Tasks) && j.Tasks[id.Task] == cluster.TaskWaiting
}

// updateAttempt updates an attempt from its entry in a worker's report.
func (s *scheduler) updateAttempt(a *cluster.Attempt, t worker.TaskReport, now time.Time) {
	m, spec := a.Machine, &a.Job.Spec
	wasRunning := a.Reported && a.State == worker.Running
	a.Reported, a.State = true, t.State
	switch t.State {
	case worker.Pulling:
	case worker.Gathering:
		if a.GatheringSince.IsZero() {
			a.GatheringSince = now
		}
		m.UseImage(spec.Image, spec.ImageGB, now)
	case worker.Running, worker.Saving:
		a.Job.Gang.Started = spec.Gang
		if !wasRunning && t.State == worker.Running {
			s.attemptRunning(a, now)
		}
		m.UseImage(spec.Image, spec.ImageGB, now)
	case worker.Exited:
		s.attemptExited(a, t, now)
		m.Exited = append(m.Exited, t)
	}
}

// attemptRunning handles the first report that shows an attempt running.
func (s *scheduler) attemptRunning(a *cluster.Attempt, now time.Time) {
	a.Started = now
	s.log.Debug("task running", "job", a.Job.Spec.ID, "class", a.Job.Spec.Class, "task", a.Task, "machine", a.Machine.ID,
		"since_submission", now.Sub(a.Job.Submitted), "since_reservation", now.Sub(a.ReservedAt))
	s.activation.attemptRunning(a, now)
}

// applyUntrackedExit handles the exit of an attempt that the scheduler doesn't track. If the attempt completed a task that
// still waits to be placed, the task is done.
func (s *scheduler) applyUntrackedExit(t worker.TaskReport) {
	if t.Cause != worker.CauseDone || !s.taskWaiting(t.ID) {
		return
	}
	j := s.state.Jobs.Get(t.ID.Job)
	if j.Spec.Gang {
		s.completeGang(j)
	}
	j.SetTask(t.ID.Task, cluster.TaskDone)
	s.markPage(j, t.ID.Task)
	s.finishIfDone(j)
}

// adoptAttempt adds an attempt for a task that a worker reports as live although the task has no reservation. This happens
// when the worker executes an earlier start command late.
func (s *scheduler) adoptAttempt(m *cluster.Machine, r *worker.Report, t worker.TaskReport, now time.Time) {
	j := s.state.Jobs.Get(t.ID.Job)
	s.log.Info("unreserved task adopted", "job", t.ID.Job, "task", t.ID.Task, "machine", m.ID, "attempt", t.Attempt)
	a := &cluster.Attempt{
		Job: j, Task: t.ID.Task, Number: t.Attempt, Machine: m, Incarnation: r.Incarnation,
		ReservedAt: now, Reported: true, State: t.State,
	}
	a.Stopping = j.Phase != storage.PhaseOpen || !j.MayPlace(now)
	s.addAttempt(a)
	s.markPage(j, a.Task)
}

// attemptExited handles the reported exit of an attempt, depending on its cause.
func (s *scheduler) attemptExited(a *cluster.Attempt, t worker.TaskReport, now time.Time) {
	j, m := a.Job, a.Machine
	switch t.Cause {
	case worker.CauseDone:
		j.Failures.RecordSuccess()
		m.Failures.RecordSuccess()
		s.state.Classes.RecordRunTime(a, now)
		if j.Spec.Gang {
			s.completeGang(j)
		}
		j.SetTask(a.Task, cluster.TaskDone)
	case worker.CauseGangMissing:
		j.Gang.Failed = true // attributed to the gang, not to the machine
	case worker.CauseError:
		a.Failed = true
		if j.Gang.Failed {
			m.Failures.RecordFailure(j.Spec.ID) // the job's failure was counted with the first failed task of the gang
		} else {
			s.recordTaskFailure(j, m, a.ReservedAt, now)
		}
		j.Gang.Failed = j.Gang.Failed || j.Gang.Started
	case worker.CauseFull, worker.CauseBusy:
		m.QuarantinedUntil = now.Add(s.settings.HeartbeatInterval)
	case worker.CauseUnknownJob:
		j.RetryAfter = now.Add(s.settings.HeartbeatInterval)
	case worker.CauseStopped, worker.CauseNone: // neither the job nor the machine is at fault
	}
	s.log.Debug("attempt exited", "job", j.Spec.ID, "task", a.Task, "attempt", a.Number, "machine", m.ID, "cause", t.Cause, "saved", t.Saved)
	s.removeAttempt(a, "exited")
	s.finishIfDone(j)
}
