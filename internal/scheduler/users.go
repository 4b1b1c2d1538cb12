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

// waiter is a user whose response waits for a commit.
type waiter struct {
	id       string
	reply    chan api.Response
	answered bool
}

// answer sends the first response, and drops later ones.
func (w *waiter) answer(a api.Response) {
	if !w.answered {
		w.answered = true
		w.reply <- a
	}
}

// answerWhenDurable answers a user once the present value of a job's record is durable. A user whose commit takes too long
// is told to retry: see failWaiters.
func (s *scheduler) answerWhenDurable(j *cluster.Job, reply chan api.Response, response func() api.Response) {
	id := j.Spec.ID
	w := &waiter{id: id, reply: reply}
	s.waiters = append(s.waiters, w)
	s.onJobCommit(j, func(err error) {
		if err != nil {
			w.answer(api.Unavailable(id, "not recorded"))
			return
		}
		w.answer(response())
	})
}

// failWaiters answers all users who wait for a commit, without waiting further.
func (s *scheduler) failWaiters(a api.Response) {
	for _, w := range s.waiters {
		a.ID = w.id
		w.answer(a)
	}
	s.waiters = s.waiters[:0]
}

// commitStalled reports whether the commit in flight takes too long to let more users wait behind it.
func (s *scheduler) commitStalled(now time.Time) bool {
	return !s.commitStarted.IsZero() && now.Sub(s.commitStarted) > clock.Scale(s.settings.HeartbeatInterval, stallPerHeartbeat)
}

// handleUser answers a user's request, or has it answered once what it rests on is known or durable.
func (s *scheduler) handleUser(m userMessage) {
	now := time.Now()
	j := s.state.Jobs.Get(m.req.ID)
	if j != nil {
		s.finalizeArchived(j)
	}
	if j != nil && j.FinalDurable {
		m.reply <- responseOf(j)
		return
	}
	if j == nil && s.answerFromArchive(m, now) {
		return
	}
	// A successor may already have changed anything that isn't final.
	if !s.leaseValid(now) {
		m.reply <- api.Unavailable(m.req.ID, "leadership not certain")
		return
	}
	switch m.req.Op {
	case api.OpSubmit:
		s.submit(m, j, now)
	case api.OpPoll:
		s.poll(m, j)
	case api.OpCancel:
		s.cancel(m, j, now)
	default:
		m.reply <- api.Unavailable(m.req.ID, "unknown request")
	}
}

// poll answers a poll for a job.
func (s *scheduler) poll(m userMessage, j *cluster.Job) {
	switch {
	case j == nil:
		m.reply <- api.Response{Code: api.CodeNotFound, ID: m.req.ID, Reason: "no such job"}
	case !j.Acknowledged:
		m.reply <- api.Unavailable(m.req.ID, "acceptance not yet recorded")
	default:
		m.reply <- responseOf(j)
	}
}

// submit handles a submission. It is idempotent: a repeated submission of a job gets the job's state, and one whose first
// copy isn't durable yet waits for the same commit.
func (s *scheduler) submit(m userMessage, j *cluster.Job, now time.Time) {
	if j != nil && j.Acknowledged {
		m.reply <- responseOf(j)
		return
	}
	if s.commitStalled(now) {
		m.reply <- api.Unavailable(m.req.ID, "state service slow or out of reach")
		return
	}
	if j == nil {
		if s.state.Types.Count() == 0 {
			m.reply <- api.Unavailable(m.req.ID, "machine types not yet known")
			return
		}
		if reason := s.infeasibleReason(&m.req.Spec); reason != "" {
			m.reply <- api.Response{Code: api.CodeInfeasible, ID: m.req.Spec.ID, Reason: reason}
			return
		}
		if gate, closed := s.missingGate(&m.req.Spec); closed {
			s.awaitGate(m, gate, now)
			return
		}
		if overload := s.overload(&m.req.Spec, now); overload != nil {
			m.reply <- *overload
			return
		}
		j = s.acceptJob(m.req.Spec, now)
	}
	s.answerWhenDurable(j, m.reply, func() api.Response {
		j.Acknowledged = true
		return api.Response{Code: api.CodeCreated, ID: j.Spec.ID, State: api.StatePending}
	})
	// The job becomes known with its commit, even if its first user was told to retry meanwhile.
	s.onJobCommit(j, func(err error) {
		if err == nil {
			j.Acknowledged = true
		}
	})
}

// missingGate returns the gate that a job depends on and that isn't durably in use yet, if any. It requests the use.
func (s *scheduler) missingGate(spec *storage.Spec) (gate upgrade.GateName, missing bool) {
	if spec.Gang && !s.mayUse(upgrade.GangJobs) {
		return upgrade.GangJobs, true
	}
	if s.activation.scalesToZero(spec) && s.gates.Gate(upgrade.Activation).Phase == upgrade.GateOpen && !s.mayUse(upgrade.Activation) {
		return upgrade.Activation, true
	}
	return "", false
}

// overload returns the response to a job for which there is no capacity to queue or record it, or nil.
func (s *scheduler) overload(spec *storage.Spec, now time.Time) *api.Response {
	if s.state.Jobs.OpenTasks+spec.Tasks > s.settings.MaxOpenTasks() {
		return &api.Response{
			Code: api.CodeBusy, ID: spec.ID, Reason: "too many tasks are waiting", RetrySeconds: int(s.settings.WorkerLease.Seconds()),
		}
	}
	if !s.admitSubmission(spec.Team) {
		return &api.Response{
			Code: api.CodeBusy, ID: spec.ID, Reason: "more is submitted than can be recorded", RetrySeconds: s.admission.RetryAfterSeconds(now),
		}
	}
	return nil
}

// acceptJob adds a job and has its record written.
func (s *scheduler) acceptJob(spec storage.Spec, now time.Time) *cluster.Job {
	j := cluster.NewJob(spec, now)
	s.state.Jobs.AddOpen(j)
	if s.activation.scalesToZero(&spec) && s.mayUse(upgrade.Activation) {
		s.activation.track(j, now)
	}
	if !j.ScalesToZero() {
		s.activation.postpone(j)
	}
	s.state.Classes.NoteArrival(j)
	s.markJob(j)
	s.onJobCommit(j, func(error) {
		s.admission.Recorded(spec.Team)
		s.acceptedInCommit++
	})
	s.placementDue = true
	s.log.Debug("job accepted", "job", spec.ID, "team", spec.Team, "class", spec.Class, "tasks", spec.Tasks,
		"estimate_s", spec.EstimateS, "deadline_s", spec.DeadlineS)
	return j
}

// infeasibleReason returns the reason why a job can never run, or "".
func (s *scheduler) infeasibleReason(spec *storage.Spec) string {
	team := s.settings.Team(spec.Team)
	if team == nil {
		return fmt.Sprintf("unknown team %q", spec.Team)
	}
	if len(s.state.Types.Feasible(spec)) == 0 {
		return "a task fits no allowed machine type"
	}
	need := spec.Resources
	if spec.Service || spec.Gang {
		need = need.Mul(spec.Tasks)
	}
	if !storage.WithinLimit(need, team.Limit) {
		return "the job needs more than its team's limit"
	}
	return ""
}

// cancel handles a cancellation. The job's tasks are stopped once the cancellation is durable.
func (s *scheduler) cancel(m userMessage, j *cluster.Job, now time.Time) {
	switch {
	case j == nil:
		m.reply <- api.Response{Code: api.CodeNotFound, ID: m.req.ID, Reason: "no such job"}
		return
	case !j.Acknowledged, s.commitStalled(now):
		m.reply <- api.Unavailable(m.req.ID, "state service slow or out of reach")
		return
	case j.Phase == storage.Open:
		j.Phase = storage.Cancelled
		s.state.Jobs.TrackCancelling(j)
		s.state.Classes.NoteDeparture(j, now)
		s.activation.release(j)
		s.log.Debug("job cancelled", "job", j.Spec.ID, "attempts", len(j.Attempts))
		s.markJob(j)
		s.onJobCommit(j, func(err error) {
			if err != nil {
				return
			}
			j.FinalDurable = true
			s.stopJob(j)
			s.sendJobStops(j)
			s.retire(j)
		})
	}
	s.answerWhenDurable(j, m.reply, func() api.Response { return responseOf(j) })
}

// finish marks a job as done if all of its tasks are.
func (s *scheduler) finish(j *cluster.Job) {
	if j.Phase != storage.Open || j.Done < j.Spec.Tasks || j.Spec.Service {
		return
	}
	j.Phase = storage.Done
	s.markJob(j)
	s.log.Debug("job done", "job", j.Spec.ID, "class", j.Spec.Class, "tasks", j.Spec.Tasks,
		"duration", time.Since(j.Submitted), "deadline_s", j.Spec.DeadlineS)
	s.onJobCommit(j, func(err error) {
		if err == nil {
			j.FinalDurable = true
			s.retire(j)
		}
	})
}

// retire releases the memory and the stored pages of a final job's tasks, once no attempt of it can exist.
func (s *scheduler) retire(j *cluster.Job) {
	if !j.FinalDurable || len(j.Attempts) > 0 || j.Tasks == nil {
		return
	}
	for p := 0; p*storage.PageTasks < len(j.Tasks); p++ {
		s.queue.Mark(pageLane(j), storage.PageKey(j.Spec.ID, p), removed)
	}
	s.state.Jobs.ReleaseTasks(j)
	s.markJob(j)
	s.onCommit(func(err error) {
		if err == nil {
			s.trackFinished(j)
		}
	})
}

// stopJob has every attempt of a job stopped at once.
func (s *scheduler) stopJob(j *cluster.Job) {
	for _, a := range j.Attempts {
		s.stopAttempt(a, 0)
	}
}

// stateOf is the state that users see. A final state counts only once it is durable.
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

// responseOf is the response with a job's state.
func responseOf(j *cluster.Job) api.Response {
	response := api.Response{Code: api.CodeOK, ID: j.Spec.ID, State: stateOf(j), Done: j.Done}
	if !response.Final() {
		response.Running = j.RunningTasks()
	}
	return response
}

// userMessage is a request of a user.
type userMessage struct {
	req         api.Request
	reply       chan api.Response
	notArchived bool // the job is known not to be archived
}

func (m userMessage) handle(s *scheduler) { s.handleUser(m) }
