package scheduler

import (
	"time"

	"sagevale/internal/clock"
	"sagevale/internal/cluster"
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
func (d *scheduler) gangTaskLost(a *cluster.Attempt) {
	j := a.Job
	if len(j.Attempts) == 0 {
		j.Gang = cluster.Gang{}
		return
	}
	if a.Reported && a.State == worker.Exited {
		if j.Gang.ExitedOn == nil {
			j.Gang.ExitedOn = make(map[int]bool)
		}
		j.Gang.ExitedOn[a.Machine.ID] = true
	}
	if j.Gang.Started {
		j.Gang.Failed = true
	}
	if j.Gang.Failed && j.Waiting > 0 {
		d.abortGang(j)
	}
}

// abortGang ends what is left of a gang's attempt.
func (d *scheduler) abortGang(j *cluster.Job) {
	for _, a := range j.GangAttempts() {
		if j.Attempts[a.Task] == a && (!a.Stopping || a.GraceSeconds > 0) {
			a.StopCommanded = false
			d.stopAttempt(a, 0)
		}
	}
	d.commandStopsOf(j)
}

// stopGang stops all tasks of a gang so that it saves its progress: all are told
// within gang_peer_s of the first, directly, and again with their reports.
func (d *scheduler) stopGang(j *cluster.Job) {
	for _, a := range j.GangAttempts() {
		if j.Attempts[a.Task] == a && !a.Stopping {
			d.stopAttempt(a, j.Spec.SaveS)
		}
	}
	d.commandStopsOf(j)
}

// commandStopsOf tells the workers of a job's tasks directly what to stop.
func (d *scheduler) commandStopsOf(j *cluster.Job) {
	told := make(map[*cluster.Machine]bool)
	for _, a := range j.GangAttempts() {
		if !told[a.Machine] {
			told[a.Machine] = true
			d.commandStops(a.Machine)
		}
	}
}

// completeGang makes all tasks of a gang done, for one of them is: they complete
// together.
func (d *scheduler) completeGang(j *cluster.Job) {
	for i := range j.Tasks {
		j.SetTask(i, cluster.TaskDone)
		if i%storage.PageTasks == 0 {
			d.markPage(j, i)
		}
	}
}

// drainGang sees to a gang's task on a machine that is drained. It may finish,
// unless the machine is being taken: then it is replaced while its gang waits to
// run, and saves where there is time for that. Otherwise it goes on: another save
// point may be reached.
func (d *scheduler) drainGang(a *cluster.Attempt, now time.Time) {
	j, m := a.Job, a.Machine
	if m.PreemptionAt.IsZero() {
		return
	}
	if !j.Gang.Started {
		d.stopAttempt(a, 0)
		return
	}
	if j.Spec.CheckpointS <= 0 {
		return
	}
	left := m.PreemptionAt.Sub(now)
	ends := clock.Seconds(d.state.Classes.RunSeconds(j)) - now.Sub(a.Started)
	if ends > left && clock.Seconds(j.Spec.SaveS)+d.settings.HeartbeatInterval/2 < left && d.GangReachable(j, now) {
		d.stopGang(j)
	}
}

// replaceStalledGangTasks looks for tasks that keep the others of their gang waiting, on
// machines that hang or fetch for too long, and has them start elsewhere.
func (d *scheduler) replaceStalledGangTasks(now time.Time) {
	patience := clock.Scale(d.settings.GangWait, gatherPatience)
	for _, j := range d.state.Jobs.Open {
		if !j.Spec.Gang || j.Phase != storage.Open || patience <= 0 || !j.GangCompletable() || j.GatherTime(now) < patience {
			continue
		}
		for _, a := range j.GangAttempts() {
			if j.Attempts[a.Task] == a && a.State != worker.Gathering && now.Sub(a.ReservedAt) > patience {
				d.log.Info("a gang's task doesn't come", "job", j.Spec.ID, "task", a.Task, "machine", a.Machine.ID)
				d.stopAttempt(a, 0)
			}
		}
		d.commandJobStops(j)
	}
}
