package scheduler

import (
	"time"

	"sagevale/internal/clock"
	"sagevale/internal/cluster"
	"sagevale/internal/storage"
	"sagevale/internal/worker"
)

const (
	// roundPause is how long placement pauses after a round, in durations of that round: what comes
	// meanwhile widens the next.
	roundPause = 8
	// reachableReports is up to which age of a machine's last report direct commands are likely to reach it, in
	// heartbeat intervals.
	reachableReports = 1.5
)

// placeRound reserves resources for waiting tasks, and starts them once the reservations are durable.
func (s *scheduler) placeRound(now time.Time) {
	s.placementDue = false
	if !s.leaseValid(now) || s.commitStalled(now) {
		return
	}
	reserved, unfinished := s.planner.Round(now)
	if unfinished {
		s.placementDue = true
	}
	s.startWhenDurable(reserved)
}

// Reserve is part of placement.Actions.
func (s *scheduler) Reserve(j *cluster.Job, task int, m *cluster.Machine, now time.Time) *cluster.Attempt {
	number := s.nextAttempt()
	if j.Spec.Gang {
		number = j.Gang.Number
	}
	a := &cluster.Attempt{
		Job: j, Task: task, Number: number, Machine: m, Incarnation: m.Incarnation,
		ThisTerm: true, ReservedAt: now,
	}
	s.addAttempt(a)
	s.markPage(j, task)
	return a
}

// nextAttempt returns a number that no attempt has had.
func (s *scheduler) nextAttempt() uint64 {
	s.lastAttempt++
	return s.lastAttempt
}

// BeginGang is part of placement.Actions.
func (s *scheduler) BeginGang(j *cluster.Job) { j.Gang = cluster.Gang{Number: s.nextAttempt()} }

// AbortGang is part of placement.Actions.
func (s *scheduler) AbortGang(j *cluster.Job) { s.abortGang(j) }

// CommandStops is part of placement.Actions.
func (s *scheduler) CommandStops(m *cluster.Machine) { s.sendStops(m) }

// Preempt is part of placement.Actions. A gang that has run is stopped in order, so that it saves a checkpoint, or
// at once where it can't save all the same.
func (s *scheduler) Preempt(a *cluster.Attempt, now time.Time) {
	switch {
	case !a.Job.Spec.Gang || !a.Job.Gang.Started:
		s.stopAttempt(a, a.Job.Spec.SaveS)
	case s.GangReachable(a.Job, now):
		s.stopGang(a.Job)
	default:
		s.abortGang(a.Job)
	}
}

// GangReachable is part of placement.Actions. Where one task of a gang can't be told to stop within the gang's
// window, the others exit without it and the checkpoint fails.
func (s *scheduler) GangReachable(j *cluster.Job, now time.Time) bool {
	for _, a := range j.Attempts {
		if !s.reachable(a.Machine, now) {
			return false
		}
	}
	return true
}

// reachable reports whether a direct command is likely to reach a machine at once.
func (s *scheduler) reachable(m *cluster.Machine, now time.Time) bool {
	return m.Addr != "" && m.InFlight < maxInFlightCommands && !m.Unresponsive && !s.commandsFailing[m.ID] &&
		now.Sub(m.LastContact) <= clock.Scale(s.settings.HeartbeatInterval, reachableReports)
}

// startReserved sends the starts of attempts that have become durable to their workers.
func (s *scheduler) startReserved(reserved []*cluster.Attempt) {
	leaseValid := s.leaseValid(time.Now())
	starts := make(map[*cluster.Machine][]*cluster.Attempt)
	for _, a := range reserved {
		if a.Job.Attempts[a.Task] != a {
			continue
		}
		a.Durable = true
		if leaseValid && s.mayStart(a) {
			starts[a.Machine] = append(starts[a.Machine], a)
		}
	}
	for m, attempts := range starts {
		commands := make([]worker.Command, 0, len(attempts))
		for _, a := range attempts {
			commands = append(commands, worker.Command{Verb: worker.Start, ID: a.ID(), Attempt: a.Number})
		}
		s.sendCommands(m, commands, attempts)
	}
}

// mayStart reports whether a durable attempt may be started directly. Its job's cancellation may be on its way to
// being durable, and the command would arrive after the user was told.
func (s *scheduler) mayStart(a *cluster.Attempt) bool {
	m := a.Machine
	if a.Job.Phase != storage.Open || a.Stopping || m.Terminating || a.Incarnation != m.Incarnation || a.MaybeDelivered() {
		return false
	}
	return s.mayStartDirectly(m, a.Job) // else with the answer to a heartbeat
}
