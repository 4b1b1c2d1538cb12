package scheduler

import (
	"fmt"
	"time"

	"sagevale/internal/api"
	"sagevale/internal/clock"
	"sagevale/internal/cluster"
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
func (d *scheduler) whenDurable(j *cluster.Job, reply chan api.Response, then func() api.Response) {
	id := j.Spec.ID
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

func (d *scheduler) handleUser(m userMessage) {
	now := time.Now()
	j := d.state.Jobs.Get(m.req.ID)
	if j != nil {
		d.finalizeArchived(j)
	}
	if j != nil && j.FinalDurable {
		m.reply <- responseOf(j)
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

func (d *scheduler) poll(m userMessage, j *cluster.Job) {
	switch {
	case j == nil:
		m.reply <- api.Response{Code: api.CodeNotFound, ID: m.req.ID, Reason: "no such job"}
	case !j.Acknowledged:
		m.reply <- api.Unavailable(m.req.ID, "acceptance not yet recorded")
	default:
		m.reply <- responseOf(j)
	}
}

func (d *scheduler) submit(m userMessage, j *cluster.Job, now time.Time) {
	if j != nil && j.Acknowledged {
		m.reply <- responseOf(j)
		return
	}
	if d.stalled(now) {
		m.reply <- api.Unavailable(m.req.ID, "state service slow or out of reach")
		return
	}
	if j == nil {
		if d.state.Types.Count() == 0 {
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
		if d.state.Jobs.OpenTasks+spec.Tasks > d.settings.MaxOpenTasks() {
			m.reply <- api.Response{Code: api.CodeBusy, ID: spec.ID, Reason: "too many tasks are waiting", RetrySeconds: int(d.settings.WorkerLease.Seconds())}
			return
		}
		if !d.admit(spec.Team) {
			m.reply <- api.Response{Code: api.CodeBusy, ID: spec.ID, Reason: "more is submitted than can be recorded", RetrySeconds: d.admission.RetryAfterSeconds(now)}
			return
		}
		j = cluster.NewJob(spec, now)
		d.state.Jobs.AddOpen(j)
		if d.activation.applies(&spec) && d.mayUse(upgrade.Activation) {
			d.activation.track(j, now)
		}
		if !j.ScalesToZero() {
			d.activation.postpone(j)
		}
		d.state.Classes.NoteArrival(j)
		d.markJob(j)
		d.onJobCommit(j, func(error) {
			d.admission.Recorded(spec.Team)
			d.acceptedInCommit++
		})
		d.placementDue = true
		d.log.Debug("accept", "job", spec.ID, "class", spec.Class, "tasks", spec.Tasks, "estimate", spec.EstimateS, "due", spec.DeadlineS, "team", spec.Team)
	}
	d.whenDurable(j, m.reply, func() api.Response {
		j.Acknowledged = true
		return api.Response{Code: api.CodeCreated, ID: j.Spec.ID, State: api.StatePending}
	})
	// Others may wait for the same commit; the job is known however the
	// first of them fares.
	d.onJobCommit(j, func(err error) {
		if err == nil {
			j.Acknowledged = true
		}
	})
}

// infeasible tells why a job can never run.
func (d *scheduler) infeasible(s *storage.Spec) string {
	team := d.settings.Team(s.Team)
	if team == nil {
		return fmt.Sprintf("unknown team %q", s.Team)
	}
	if len(d.state.Types.Feasible(s)) == 0 {
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

func (d *scheduler) cancel(m userMessage, j *cluster.Job, now time.Time) {
	switch {
	case j == nil:
		m.reply <- api.Response{Code: api.CodeNotFound, ID: m.req.ID, Reason: "no such job"}
		return
	case !j.Acknowledged, d.stalled(now):
		m.reply <- api.Unavailable(m.req.ID, "state service slow or out of reach")
		return
	case j.Phase == storage.Open:
		j.Phase = storage.Cancelled
		d.state.Jobs.TrackCancelling(j)
		d.state.Classes.NoteDeparture(j, now)
		d.activation.release(j)
		d.log.Debug("cancel", "job", j.Spec.ID, "attempts", len(j.Attempts))
		d.markJob(j)
		d.onJobCommit(j, func(err error) {
			if err != nil {
				return
			}
			j.FinalDurable = true
			d.stopJob(j)
			d.commandJobStops(j)
			d.retire(j)
		})
	}
	d.whenDurable(j, m.reply, func() api.Response { return responseOf(j) })
}

// finish makes a job done whose tasks have all completed.
func (d *scheduler) finish(j *cluster.Job) {
	if j.Phase != storage.Open || j.Done < j.Spec.Tasks || j.Spec.Service {
		return
	}
	j.Phase = storage.Done
	d.markJob(j)
	d.log.Debug("done", "job", j.Spec.ID, "class", j.Spec.Class, "tasks", j.Spec.Tasks, "after", time.Since(j.Submitted), "due", j.Spec.DeadlineS)
	d.onJobCommit(j, func(err error) {
		if err == nil {
			j.FinalDurable = true
			d.retire(j)
		}
	})
}

// retire lets go of a final job's tasks once none of them can be anywhere.
func (d *scheduler) retire(j *cluster.Job) {
	if !j.FinalDurable || len(j.Attempts) > 0 || j.Tasks == nil {
		return
	}
	for p := 0; p*storage.PageTasks < len(j.Tasks); p++ {
		d.queue.Mark(pageLane(j), storage.PageKey(j.Spec.ID, p), removed)
	}
	d.state.Jobs.ReleaseTasks(j)
	d.markJob(j)
	d.onCommit(func(err error) {
		if err == nil {
			d.trackFinished(j)
		}
	})
}

// stopJob has every attempt of a job stopped at once.
func (d *scheduler) stopJob(j *cluster.Job) {
	for _, a := range j.Attempts {
		d.stopAttempt(a, 0)
	}
}

// stateOf is what a job's user sees. Only durable facts count as final.
func stateOf(j *cluster.Job) api.JobState {
	switch {
	case j.FinalDurable && j.Phase == storage.Done:
		return api.StateDone
	case j.FinalDurable && j.Phase == storage.Cancelled:
		return api.StateCancelled
	case j.RunningTasks() > 0:
		return api.StateRunning
	}
	return api.StatePending
}

// responseOf tells a user of a job.
func responseOf(j *cluster.Job) api.Response {
	response := api.Response{Code: api.CodeOK, ID: j.Spec.ID, State: stateOf(j), Done: j.Done}
	if !response.Final() {
		response.Running = j.RunningTasks()
	}
	return response
}

// userMessage brings a request of a user.
type userMessage struct {
	req    api.Request
	reply  chan api.Response
	absent bool // the job is known not to be archived
}

func (m userMessage) handle(d *scheduler) { d.handleUser(m) }
