package scheduler

import (
	"time"

	"sagevale/internal/cluster"
	"sagevale/internal/storage"
)

// addAttempt adds an attempt and reserves its resources.
func (s *scheduler) addAttempt(a *cluster.Attempt) {
	s.state.AddAttempt(a)
	s.activation.attemptReserved(a, time.Now())
}

// removeAttempt removes an attempt and releases its resources. The attempt must be proved absent from its machine, or its
// start command must never have been sent.
func (s *scheduler) removeAttempt(a *cluster.Attempt, reason string) {
	now := time.Now()
	if !s.state.RemoveAttempt(a, now) {
		return
	}
	j, m := a.Job, a.Machine
	s.markPage(j, a.Task)
	if j.Spec.Gang && j.Phase == storage.PhaseOpen {
		s.gangTaskLost(a)
	}
	if m.DrainReason != "" && len(m.Attempts) == 0 {
		// The next tick takes a fleet snapshot, so that the empty machine is terminated soon. The next drain of a machine waits
		// for this termination.
		s.nextSnapshot = time.Time{}
	}
	s.log.Debug("attempt removed", "job", j.Spec.ID, "task", a.Task, "attempt", a.Number, "machine", m.ID, "reason", reason)
	s.activation.attemptRemoved(a, now)
	s.releaseFinalJob(j)
	s.placementDue = true
}

// stopAttempt marks an attempt to be stopped, with a grace period of graceSeconds to save a checkpoint; 0 means none. If the
// attempt's start command can't have reached the worker, stopAttempt removes the attempt at once.
func (s *scheduler) stopAttempt(a *cluster.Attempt, graceSeconds float64) {
	if !a.StartMayBeDelivered() {
		s.removeAttempt(a, "stopped before its start")
		return
	}
	s.state.MarkStopping(a, graceSeconds)
}
