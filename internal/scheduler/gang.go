package scheduler

import (
	"time"

	"sagevale/internal/clock"
	"sagevale/internal/storage"
	"sagevale/internal/worker"
)

// A gang's tasks run at the same time or not at all. The workers find each other
// by the number of the attempt, so all tasks of one attempt share it. All hold
// booked room, durably, before any is started. Until they run, a task that is lost
// is replaced under the same number; from then on a loss ends the attempt, and the
// next one begins once every task of it is proved gone.

// gatherPatience of gang_wait_s is how long the others wait for a task before it is
// looked for elsewhere; it then has as long again, and more, to come.
const gatherPatience = 0.4

// gangTaskLost takes in that a task of a gang is gone, and why; what is left of an attempt
// that ran is stopped at once, for its progress since the last save is gangTaskLost.
func (d *scheduler) gangTaskLost(a *attempt) {
	j := a.job
	if len(j.attempts) == 0 {
		j.gang = gang{}
		return
	}
	if a.reported && a.state == worker.Exited {
		if j.gang.exitedOn == nil {
			j.gang.exitedOn = make(map[int]bool)
		}
		j.gang.exitedOn[a.machine.id] = true
	}
	if j.gang.started {
		j.gang.failed = true
	}
	if j.gang.failed && j.waiting > 0 {
		d.abortGang(j)
	}
}

// abortGang ends what is left of a gang's attempt.
func (d *scheduler) abortGang(j *job) {
	for _, a := range j.gangAttempts() {
		if j.attempts[a.task] == a && (!a.stopping || a.graceSeconds > 0) {
			a.stopCommanded = false
			d.stopAttempt(a, 0)
		}
	}
	d.commandStopsOf(j)
}

// stopGang stops all tasks of a gang so that it saves its progress: all are told
// within gang_peer_s of the first, directly, and again with their reports.
func (d *scheduler) stopGang(j *job) {
	for _, a := range j.gangAttempts() {
		if j.attempts[a.task] == a && !a.stopping {
			d.stopAttempt(a, j.spec.SaveS)
		}
	}
	d.commandStopsOf(j)
}

// commandStopsOf tells the workers of a job's tasks directly what to stop.
func (d *scheduler) commandStopsOf(j *job) {
	told := make(map[*machine]bool)
	for _, a := range j.gangAttempts() {
		if !told[a.machine] {
			told[a.machine] = true
			d.commandStops(a.machine)
		}
	}
}

// completeGang makes all tasks of a gang done, for one of them is: they complete
// together.
func (d *scheduler) completeGang(j *job) {
	for i := range j.tasks {
		j.setTask(i, taskDone)
		if i%storage.PageTasks == 0 {
			d.markPage(j, i)
		}
	}
}

// drainGang sees to a gang's task on a machine that is drained. It may finish,
// unless the machine is being taken: then it is replaced while its gang waits to
// run, and saves where there is time for that. Otherwise it goes on: another save
// point may be reached.
func (d *scheduler) drainGang(a *attempt, now time.Time) {
	j, m := a.job, a.machine
	if m.preemptionAt.IsZero() {
		return
	}
	if !j.gang.started {
		d.stopAttempt(a, 0)
		return
	}
	if j.spec.CheckpointS <= 0 {
		return
	}
	left := m.preemptionAt.Sub(now)
	ends := clock.Seconds(d.state.classes.runSeconds(j)) - now.Sub(a.started)
	if ends > left && clock.Seconds(j.spec.SaveS)+d.settings.HeartbeatInterval/2 < left && d.gangReachable(j, now) {
		d.stopGang(j)
	}
}

// replaceStalledGangTasks looks for tasks that keep the others of their gang waiting, on
// machines that hang or fetch for too long, and has them start elsewhere.
func (d *scheduler) replaceStalledGangTasks(now time.Time) {
	patience := clock.Scale(d.settings.GangWait, gatherPatience)
	for _, j := range d.state.jobs.open {
		if !j.spec.Gang || j.phase != storage.Open || patience <= 0 || !j.gangCompletable() || j.gatherTime(now) < patience {
			continue
		}
		for _, a := range j.gangAttempts() {
			if j.attempts[a.task] == a && a.state != worker.Gathering && now.Sub(a.reservedAt) > patience {
				d.log.Info("a gang's task doesn't come", "job", j.spec.ID, "task", a.task, "machine", a.machine.id)
				d.stopAttempt(a, 0)
			}
		}
		d.commandJobStops(j)
	}
}
