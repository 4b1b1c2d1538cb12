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
	// reachableReports is how old a machine's last report may be, in heartbeat intervals, for direct
	// commands to count on reaching it.
	reachableReports = 1.5
)

// placeRound reserves resources for waiting tasks, and starts them once the reservations are durable.
func (d *scheduler) placeRound(now time.Time) {
	d.placementDue = false
	if !d.leaseValid(now) || d.stalled(now) {
		return
	}
	reserved, unfinished := d.planner.Round(now)
	if unfinished {
		d.placementDue = true
	}
	d.startWhenDurable(reserved)
}

// Reserve is part of placement.Actions.
func (d *scheduler) Reserve(j *cluster.Job, task int, m *cluster.Machine, now time.Time) *cluster.Attempt {
	number := d.nextAttempt()
	if j.Spec.Gang {
		number = j.Gang.Number
	}
	a := &cluster.Attempt{
		Job: j, Task: task, Number: number, Machine: m, Incarnation: m.Incarnation,
		ThisTerm: true, ReservedAt: now,
	}
	d.addAttempt(a)
	d.markPage(j, task)
	return a
}

// nextAttempt returns a number that no attempt has had.
func (d *scheduler) nextAttempt() uint64 {
	d.lastAttempt++
	return d.lastAttempt
}

// BeginGang is part of placement.Actions.
func (d *scheduler) BeginGang(j *cluster.Job) { j.Gang = cluster.Gang{Number: d.nextAttempt()} }

// AbortGang is part of placement.Actions.
func (d *scheduler) AbortGang(j *cluster.Job) { d.abortGang(j) }

// CommandStops is part of placement.Actions.
func (d *scheduler) CommandStops(m *cluster.Machine) { d.commandStops(m) }

// Preempt is part of placement.Actions. A gang that has run is stopped in order, so that it saves a checkpoint, or
// at once where it can't save all the same.
func (d *scheduler) Preempt(a *cluster.Attempt, now time.Time) {
	switch {
	case !a.Job.Spec.Gang || !a.Job.Gang.Started:
		d.stopAttempt(a, a.Job.Spec.SaveS)
	case d.GangReachable(a.Job, now):
		d.stopGang(a.Job)
	default:
		d.abortGang(a.Job)
	}
}

// GangReachable is part of placement.Actions. Where one task of a gang can't be told to stop within the gang's
// window, the others exit without it and the checkpoint fails.
func (d *scheduler) GangReachable(j *cluster.Job, now time.Time) bool {
	for _, a := range j.Attempts {
		if !d.reachable(a.Machine, now) {
			return false
		}
	}
	return true
}

// reachable reports whether a direct command is likely to reach a machine at once.
func (d *scheduler) reachable(m *cluster.Machine, now time.Time) bool {
	return m.Addr != "" && m.InFlight < maxInFlightCommands && !m.Unresponsive && !d.commandsFailing[m.ID] &&
		now.Sub(m.LastContact) <= clock.Scale(d.settings.HeartbeatInterval, reachableReports)
}

// startReserved sends the starts of attempts that have become durable to their workers.
func (d *scheduler) startReserved(reserved []*cluster.Attempt) {
	leaseValid := d.leaseValid(time.Now())
	starts := make(map[*cluster.Machine][]*cluster.Attempt)
	for _, a := range reserved {
		if a.Job.Attempts[a.Task] != a {
			continue
		}
		a.Durable = true
		if leaseValid && d.mayStart(a) {
			starts[a.Machine] = append(starts[a.Machine], a)
		}
	}
	for m, attempts := range starts {
		commands := make([]worker.Command, 0, len(attempts))
		for _, a := range attempts {
			commands = append(commands, worker.Command{Verb: worker.Start, ID: a.ID(), Attempt: a.Number})
		}
		d.sendCommands(m, commands, attempts)
	}
}

// mayStart reports whether a durable attempt may be started directly. Its job's cancellation may be on its way to
// being durable, and the command would arrive after the user was told.
func (d *scheduler) mayStart(a *cluster.Attempt) bool {
	m := a.Machine
	if a.Job.Phase != storage.Open || a.Stopping || m.Terminating || a.Incarnation != m.Incarnation || a.MaybeDelivered() {
		return false
	}
	return d.mayStartDirectly(m, a.Job) // else with the answer to a heartbeat
}
