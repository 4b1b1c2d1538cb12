package scheduler

import (
	"fmt"
	"time"

	"sagevale/internal/api"
	"sagevale/internal/clock"
	"sagevale/internal/storage"
	"sagevale/internal/upgrade"
)

// waiter is a user whose answer hangs on a commit.
type waiter struct {
	id       string
	reply    chan api.Response
	answered bool
}

func (w *waiter) answer(a api.Response) {
	if !w.answered {
		w.answered = true
		w.reply <- a
	}
}

// whenDurable answers a user once a job's record is durable as it is marked now. A user
// whose commit takes too long is told to come back: see failWaiters.
func (d *scheduler) whenDurable(j *job, reply chan api.Response, then func() api.Response) {
	id := j.spec.ID
	w := &waiter{id: id, reply: reply}
	d.waiters = append(d.waiters, w)
	d.onJobCommit(j, func(err error) {
		if err != nil {
			w.answer(api.Unavailable(id, "not recorded"))
			return
		}
		a := then()
		w.answer(a)
	})
}

// failWaiters answers all who wait for a commit, at once.
func (d *scheduler) failWaiters(a api.Response) {
	for _, w := range d.waiters {
		a.ID = w.id
		w.answer(a)
	}
	d.waiters = d.waiters[:0]
}

// stalled tells whether the commit under way takes too long to let others
// wait behind it.
func (d *scheduler) stalled(now time.Time) bool {
	return !d.commitStarted.IsZero() && now.Sub(d.commitStarted) > clock.Scale(d.settings.HeartbeatInterval, stallPerHeartbeat)
}

func (d *scheduler) handleUser(m userMsg) {
	now := time.Now()
	j := d.state.jobs.get(m.req.ID)
	if j != nil {
		d.finalizeArchived(j)
	}
	if j != nil && j.finalDurable {
		m.reply <- j.answer(api.CodeOK)
		return
	}
	if j == nil && d.answerArchived(m, now) {
		return
	}
	// Anything that isn't final may be outdated by a successor.
	if !d.leaseValid(now) {
		m.reply <- api.Unavailable(m.req.ID, "leadership not certain")
		return
	}
	switch m.req.Op {
	case api.OpSubmit:
		d.submit(m, j, now)
	case api.OpPoll:
		d.poll(m, j)
	case api.OpCancel:
		d.cancel(m, j, now)
	default:
		m.reply <- api.Unavailable(m.req.ID, "unknown request")
	}
}

func (d *scheduler) poll(m userMsg, j *job) {
	switch {
	case j == nil:
		m.reply <- api.Response{Code: api.CodeNotFound, ID: m.req.ID, Reason: "no such job"}
	case !j.acknowledged:
		m.reply <- api.Unavailable(m.req.ID, "acceptance not yet recorded")
	default:
		m.reply <- j.answer(api.CodeOK)
	}
}

func (d *scheduler) submit(m userMsg, j *job, now time.Time) {
	if j != nil && j.acknowledged {
		m.reply <- j.answer(api.CodeOK)
		return
	}
	if d.stalled(now) {
		m.reply <- api.Unavailable(m.req.ID, "state service slow or out of reach")
		return
	}
	if j == nil {
		if d.state.types.count() == 0 {
			m.reply <- api.Unavailable(m.req.ID, "machine types not yet known")
			return
		}
		spec := m.req.Spec
		if reason := d.infeasible(&spec); reason != "" {
			m.reply <- api.Response{Code: api.CodeInfeasible, ID: spec.ID, Reason: reason}
			return
		}
		if spec.Gang && !d.mayUse(upgrade.GangJobs) {
			d.awaitGate(m, upgrade.GangJobs, now)
			return
		}
		if d.activation.applies(&spec) && d.gates.Gate(upgrade.Activation).Phase == upgrade.GateOpen && !d.mayUse(upgrade.Activation) {
			d.awaitGate(m, upgrade.Activation, now)
			return
		}
		if d.state.jobs.openTasks+spec.Tasks > d.settings.MaxOpenTasks() {
			m.reply <- api.Response{Code: api.CodeBusy, ID: spec.ID, Reason: "too many tasks are waiting", RetrySeconds: int(d.settings.WorkerLease.Seconds())}
			return
		}
		if !d.admit(spec.Team) {
			m.reply <- api.Response{Code: api.CodeBusy, ID: spec.ID, Reason: "more is submitted than can be recorded", RetrySeconds: d.admission.RetryS(now)}
			return
		}
		j = newJob(spec, now)
		d.state.jobs.insert(j)
		if d.activation.applies(&spec) && d.mayUse(upgrade.Activation) {
			d.activation.track(j, now)
		}
		if !j.scalesToZero() {
			d.activation.postpone(j)
		}
		d.state.classes.noteArrival(j)
		d.markJob(j)
		d.onJobCommit(j, func(error) {
			d.admission.Recorded(spec.Team)
			d.acceptedInCommit++
		})
		d.placementDue = true
		d.log.Debug("accept", "job", spec.ID, "class", spec.Class, "tasks", spec.Tasks, "estimate", spec.EstimateS, "due", spec.DeadlineS, "team", spec.Team)
	}
	d.whenDurable(j, m.reply, func() api.Response {
		j.acknowledged = true
		return api.Response{Code: api.CodeCreated, ID: j.spec.ID, State: api.StatePending}
	})
	// Others may wait for the same commit; the job is known however the
	// first of them fares.
	d.onJobCommit(j, func(err error) {
		if err == nil {
			j.acknowledged = true
		}
	})
}

// infeasible tells why a job can never run.
func (d *scheduler) infeasible(s *storage.Spec) string {
	team := d.settings.Team(s.Team)
	if team == nil {
		return fmt.Sprintf("unknown team %q", s.Team)
	}
	if len(d.state.types.feasible(s)) == 0 {
		return "a task fits no allowed machine type"
	}
	need := s.Resources
	if s.Service || s.Gang {
		need = need.Mul(s.Tasks)
	}
	if !storage.WithinLimit(need, team.Limit) {
		return "the job needs more than its team's limit"
	}
	return ""
}

func (d *scheduler) cancel(m userMsg, j *job, now time.Time) {
	switch {
	case j == nil:
		m.reply <- api.Response{Code: api.CodeNotFound, ID: m.req.ID, Reason: "no such job"}
		return
	case !j.acknowledged, d.stalled(now):
		m.reply <- api.Unavailable(m.req.ID, "state service slow or out of reach")
		return
	case j.phase == storage.Open:
		j.phase = storage.Cancelled
		d.state.jobs.trackCancelling(j)
		d.state.classes.noteDeparture(j, now)
		d.activation.release(j)
		d.log.Debug("cancel", "job", j.spec.ID, "attempts", len(j.attempts))
		d.markJob(j)
		d.onJobCommit(j, func(err error) {
			if err != nil {
				return
			}
			j.finalDurable = true
			d.stopJob(j)
			d.commandJobStops(j)
			d.retire(j)
		})
	}
	d.whenDurable(j, m.reply, func() api.Response { return j.answer(api.CodeOK) })
}

// finish makes a job done whose tasks have all completed.
func (d *scheduler) finish(j *job) {
	if j.phase != storage.Open || j.done < j.spec.Tasks || j.spec.Service {
		return
	}
	j.phase = storage.Done
	d.markJob(j)
	d.log.Debug("done", "job", j.spec.ID, "class", j.spec.Class, "tasks", j.spec.Tasks, "after", time.Since(j.submitted), "due", j.spec.DeadlineS)
	d.onJobCommit(j, func(err error) {
		if err == nil {
			j.finalDurable = true
			d.retire(j)
		}
	})
}

// retire lets go of a final job's tasks once none of them can be anywhere.
func (d *scheduler) retire(j *job) {
	if !j.finalDurable || len(j.attempts) > 0 || j.tasks == nil {
		return
	}
	for p := 0; p*storage.PageTasks < len(j.tasks); p++ {
		d.queue.Mark(pageLane(j), storage.PageKey(j.spec.ID, p), removed)
	}
	d.state.jobs.releaseTasks(j)
	d.markJob(j)
	d.onCommit(func(err error) {
		if err == nil {
			d.trackFinished(j)
		}
	})
}

// stopJob has every attempt of a job stopped at once.
func (d *scheduler) stopJob(j *job) {
	for _, a := range j.attempts {
		d.stopAttempt(a, 0)
	}
}

// bytesPerTask is what a waiting task may cost in memory, with its share of
// records; half of the quota may go to tasks.

// state is what users see; only durable facts count as final.
func (j *job) state() api.JobState {
	switch {
	case j.finalDurable && j.phase == storage.Done:
		return api.StateDone
	case j.finalDurable && j.phase == storage.Cancelled:
		return api.StateCancelled
	case j.runningTasks() > 0:
		return api.StateRunning
	}
	return api.StatePending
}

func (j *job) answer(code api.Code) api.Response {
	a := api.Response{Code: code, ID: j.spec.ID, State: j.state(), Done: j.done}
	switch a.State {
	case api.StateDone, api.StateCancelled:
	default:
		a.Running = j.runningTasks()
	}
	return a
}
