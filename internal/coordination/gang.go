package coordination

import (
	"maps"
	"slices"
	"time"

	"sagevale/internal/storage"
)

// A gang's tasks run at the same time or not at all. The workers find each other
// by the number of the attempt, so all tasks of one attempt share it. All hold
// booked room, durably, before any is started. Until they run, a task that is lost
// is replaced under the same number; from then on a loss ends the attempt, and the
// next one begins once every task of it is proved gone.

// gang is what is known of a gang's present attempt.
type gang struct {
	try  uint64       // its number; 0: there is none
	ran  bool         // its tasks have run
	over bool         // it can't be completed any more
	left map[int]bool // machines on which a task of it has ended: there it can't start again
}

// gatherShare of gang_wait_s is how long the others wait for a task before it is
// looked for elsewhere; it then has as long again, and more, to come.
const gatherShare = 0.4

// whole tells whether the present attempt may still be completed by what has
// waited to run: nothing of it has run, and nothing may have that isn't known.
func (j *job) whole() bool {
	if j.gang.over || j.gang.ran {
		return false
	}
	for _, a := range j.attempts {
		if a.stop || a.try != j.gang.try || !a.seen && !a.ownTerm || a.seen && a.state != Pulling && a.state != Gathering {
			return false
		}
	}
	return true
}

// noteGang takes in that an attempt was booked.
func (j *job) noteGang(a *attempt) {
	if j.gang.try != 0 && j.gang.try != a.try {
		j.gang.over = true // a record of two attempts: a leader ended between its commits
	}
	j.gang.try = max(j.gang.try, a.try)
}

// lost takes in that a task of a gang is gone, and why; what is left of an attempt
// that ran is stopped at once, for its progress since the last save is lost.
func (d *dispatcher) lost(a *attempt) {
	j := a.job
	if len(j.attempts) == 0 {
		j.gang = gang{}
		return
	}
	if a.seen && a.state == Ended {
		if j.gang.left == nil {
			j.gang.left = make(map[int]bool)
		}
		j.gang.left[a.on.id] = true
	}
	if j.gang.ran {
		j.gang.over = true
	}
	if j.gang.over && j.waiting > 0 {
		d.disband(j)
	}
}

// disband ends what is left of a gang's attempt.
func (d *dispatcher) disband(j *job) {
	for _, a := range j.gangAttempts() {
		if j.attempts[a.task] == a && (!a.stop || a.graceS > 0) {
			a.stopSent = false
			d.stop(a, 0)
		}
	}
	d.stopSeenOf(j)
}

// stopGang stops all tasks of a gang so that it saves its progress: all are told
// within gang_peer_s of the first, directly, and again with their reports.
func (d *dispatcher) stopGang(j *job) {
	for _, a := range j.gangAttempts() {
		if j.attempts[a.task] == a && !a.stop {
			d.stop(a, j.spec.SaveS)
		}
	}
	d.stopSeenOf(j)
}

// stopSeenOf tells the workers of a job's tasks directly what to stop.
func (d *dispatcher) stopSeenOf(j *job) {
	told := make(map[*machine]bool)
	for _, a := range j.gangAttempts() {
		if !told[a.on] {
			told[a.on] = true
			d.stopSeen(a.on)
		}
	}
}

// gangAttempts lists a job's attempts in the order of their tasks.
func (j *job) gangAttempts() []*attempt {
	return slices.SortedFunc(maps.Values(j.attempts), func(a, b *attempt) int { return a.task - b.task })
}

// gangDone makes all tasks of a gang done, for one of them is: they complete
// together.
func (d *dispatcher) gangDone(j *job) {
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
func (d *dispatcher) drainGang(a *attempt, now time.Time) {
	j, m := a.job, a.on
	if m.noticeAt.IsZero() {
		return
	}
	if !j.gang.ran {
		d.stop(a, 0)
		return
	}
	if j.spec.CheckpointS <= 0 {
		return
	}
	left := m.noticeAt.Sub(now)
	ends := seconds(d.runTime(j)) - now.Sub(a.started)
	if ends > left && seconds(j.spec.SaveS)+d.settings.HeartbeatInterval/2 < left && d.gangReachable(j, now) {
		d.stopGang(j)
	}
}

// tendGangs looks for tasks that keep the others of their gang waiting, on
// machines that hang or fetch for too long, and has them start elsewhere.
func (d *dispatcher) tendGangs(now time.Time) {
	patience := scale(d.settings.GangWait, gatherShare)
	for _, j := range d.jobs.open {
		if !j.spec.Gang || j.phase != storage.Open || patience <= 0 || !j.whole() || j.gatherTime(now) < patience {
			continue
		}
		for _, a := range j.gangAttempts() {
			if j.attempts[a.task] == a && a.state != Gathering && now.Sub(a.booked) > patience {
				d.log.Info("a gang's task doesn't come", "job", j.spec.ID, "task", a.task, "machine", a.on.id)
				d.stop(a, 0)
			}
		}
		d.orderStops(j)
	}
}

// gatherTime is for how long the first of a gang's tasks has waited for the others.
func (j *job) gatherTime(now time.Time) time.Duration {
	var longest time.Duration
	for _, a := range j.attempts {
		if a.seen && a.state == Gathering && !a.gatheringSince.IsZero() {
			longest = max(longest, now.Sub(a.gatheringSince))
		}
	}
	return longest
}
