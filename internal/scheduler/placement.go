package scheduler

import (
	"time"

	"sagevale/internal/clock"
	"sagevale/internal/cluster"
	"sagevale/internal/storage"
	"sagevale/internal/worker"
)

const (
	// placementPauseFactor is how long placement pauses after a round, as a multiple of the duration of that round. The
	// next round handles all changes that arrive during the pause.
	placementPauseFactor = 8
	// reachableReportAge is the maximum age of a reachable machine's last report, in heartbeat intervals. If the last report
	// is older, a direct command is unlikely to reach the machine.
	reachableReportAge = 1.5
)

// placeRound reserves resources for waiting tasks, and starts them once the reservations are durable.
func (s *scheduler) placeRound(now time.Time) {
	s.placementDue = false
	if !s.leaseValid(now) || s.commitStalled(now) {
		return
	}
	reserved, unfinished := s.planner.RunRound(now)
	if unfinished {
		s.placementDue = true
	}
	s.startWhenDurable(reserved)
}

// Reserve implements placement.Actions. All tasks in one attempt of a gang share the number of that attempt. The attempt of
// any other task gets a new number.
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

// nextAttempt returns an attempt number that has never been used.
func (s *scheduler) nextAttempt() uint64 {
	s.lastAttempt++
	return s.lastAttempt
}

// BeginGang implements placement.Actions.
func (s *scheduler) BeginGang(j *cluster.Job) { j.Gang = cluster.Gang{Number: s.nextAttempt()} }

// AbortGang implements placement.Actions.
func (s *scheduler) AbortGang(j *cluster.Job) { s.abortGang(j) }

// CommandStops implements placement.Actions.
func (s *scheduler) CommandStops(m *cluster.Machine) { s.sendStops(m) }

// Preempt implements placement.Actions. A gang whose tasks have run is stopped with a grace period, so that it saves a
// checkpoint. If not all of its machines can be reached the checkpoint would fail, so the gang is stopped at once.
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

// GangReachable implements placement.Actions. It reports whether direct commands are likely to reach all machines of a gang.
// If one task receives its stop command more than gang_peer_s (a setting, in seconds) after the other tasks, they exit without
// waiting for it and the checkpoint fails.
func (s *scheduler) GangReachable(j *cluster.Job, now time.Time) bool {
	for _, a := range j.Attempts {
		if !s.reachable(a.Machine, now) {
			return false
		}
	}
	return true
}

// reachable reports whether a direct command is likely to reach a machine without delay.
func (s *scheduler) reachable(m *cluster.Machine, now time.Time) bool {
	return m.Addr != "" && m.InFlight < maxInFlightCommands && !m.Unresponsive && !s.unreachableMachines[m.ID] &&
		now.Sub(m.LastContact) <= clock.Scale(s.settings.HeartbeatInterval, reachableReportAge)
}

// startReserved marks reserved attempts as durable. If mayStartDirectly permits it, startReserved sends an attempt's start
// command directly to the worker.
func (s *scheduler) startReserved(reserved []*cluster.Attempt) {
	leaseValid := s.leaseValid(time.Now())
	starts := make(map[*cluster.Machine][]*cluster.Attempt)
	for _, a := range reserved {
		if a.Job.Attempts[a.Task] != a {
			continue
		}
		a.Durable = true
		if leaseValid && s.mayStartDirectly(a) {
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

// mayStartDirectly reports whether a durable attempt may be started by a direct command. The attempts of a cancelled job may
// not be started, even if the cancellation isn't durable yet: the start command could arrive after the user has received
// the response to the cancellation.
func (s *scheduler) mayStartDirectly(a *cluster.Attempt) bool {
	m := a.Machine
	if a.Job.Phase != storage.PhaseOpen || a.Stopping || m.Terminating || a.Incarnation != m.Incarnation || a.StartMayBeDelivered() {
		return false
	}
	return s.directStartsAllowed(m, a.Job) // if not, the response to the worker's next heartbeat carries the start command
}
