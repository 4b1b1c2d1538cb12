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

// waiter is a user's request whose response waits for a commit.
type waiter struct {
	id       string
	reply    chan api.Response
	answered bool
}

// answer sends the response to the user, unless an earlier call has sent one.
func (w *waiter) answer(response api.Response) {
	if !w.answered {
		w.answered = true
		w.reply <- response
	}
}

// answerWhenDurable sends the response to a user once the current value of a job's record is durable. If the commit takes
// too long, failWaiters sends another response that asks the user to retry.
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

// failWaiters sends a response to all users who wait for a commit, without waiting for the commit any longer.
func (s *scheduler) failWaiters(response api.Response) {
	for _, w := range s.waiters {
		response.ID = w.id
		w.answer(response)
	}
	s.waiters = s.waiters[:0]
}

// commitStalled reports whether the commit in flight takes so long that users should retry instead of waiting for the commit.
func (s *scheduler) commitStalled(now time.Time) bool {
	return !s.commitStarted.IsZero() && now.Sub(s.commitStarted) > clock.Scale(s.settings.HeartbeatInterval, commitStallPerHeartbeat)
}

// handleUser handles a user's request. It sends the response at once, or arranges that it is sent later: after a read of
// the archive, or after the commit of the change that the response reports.
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
	// If the leadership lease may have expired, a new leader may already have changed any state that isn't final.
	if !s.leaseValid(now) {
		m.reply <- api.Unavailable(m.req.ID, "leadership not certain")
		return
	}
	switch m.req.Op {
	case api.OpSubmit:
		s.handleSubmit(m, j, now)
	case api.OpPoll:
		s.handlePoll(m, j)
	case api.OpCancel:
		s.handleCancel(m, j, now)
	default:
		m.reply <- api.Unavailable(m.req.ID, "unknown request")
	}
}

// handlePoll responds to a poll with the job's state. j is nil if the job doesn't exist.
func (s *scheduler) handlePoll(m userMessage, j *cluster.Job) {
	switch {
	case j == nil:
		m.reply <- api.Response{Code: api.CodeNotFound, ID: m.req.ID, Reason: "no such job"}
	case !j.Acknowledged:
		m.reply <- api.Unavailable(m.req.ID, "acceptance not yet recorded")
	default:
		m.reply <- responseOf(j)
	}
}

// handleSubmit handles a submission. Submissions are idempotent: the response to a repeated submission is the job's
// state. If the job's record isn't durable yet, the repeated submission waits until the record is durable. j is nil if the
// job doesn't exist.
func (s *scheduler) handleSubmit(m userMessage, j *cluster.Job, now time.Time) {
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
		if gate, missing := s.missingGate(&m.req.Spec); missing {
			s.awaitGate(m, gate, now)
			return
		}
		if busy := s.overloadResponse(&m.req.Spec, now); busy != nil {
			m.reply <- *busy
			return
		}
		j = s.acceptJob(m.req.Spec, now)
	}
	s.answerWhenDurable(j, m.reply, func() api.Response {
		j.Acknowledged = true
		return api.Response{Code: api.CodeCreated, ID: j.Spec.ID, State: api.StatePending}
	})
	// The job is acknowledged once its record is durable, even if the user has been asked to retry in the meantime.
	s.onJobCommit(j, func(err error) {
		if err == nil {
			j.Acknowledged = true
		}
	})
}

// missingGate returns a feature gate that the job depends on but for which mayUse returns false, if there is one. If that gate
// is open, mayUse has requested that the gate be marked as used. A service that should scale to zero depends on its gate only
// while the gate is open, because without the gate the service runs all the time.
func (s *scheduler) missingGate(spec *storage.Spec) (gate upgrade.GateName, missing bool) {
	if spec.Gang && !s.mayUse(upgrade.GangJobs) {
		return upgrade.GangJobs, true
	}
	if s.activation.scalesToZero(spec) && s.gates.Gate(upgrade.Activation).Phase == upgrade.GateOpen && !s.mayUse(upgrade.Activation) {
		return upgrade.Activation, true
	}
	return "", false
}

// overloadResponse returns the response that rejects a job because too many tasks are open or submissions can't be
// recorded fast enough. It returns nil if the job can be accepted.
func (s *scheduler) overloadResponse(spec *storage.Spec, now time.Time) *api.Response {
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

// acceptJob adds a job and marks its record to be written.
func (s *scheduler) acceptJob(spec storage.Spec, now time.Time) *cluster.Job {
	j := cluster.NewJob(spec, now)
	s.state.Jobs.AddOpen(j)
	if s.activation.scalesToZero(&spec) && s.mayUse(upgrade.Activation) {
		s.activation.track(j, now)
	}
	if !j.ScalesToZero() {
		s.activation.postpone(j)
	}
	s.state.Classes.RecordArrival(j)
	s.markJob(j)
	s.onJobCommit(j, func(error) {
		s.admission.MarkRecorded(spec.Team)
		s.acceptedInCommit++
	})
	s.placementDue = true
	s.log.Debug("job accepted", "job", spec.ID, "team", spec.Team, "class", spec.Class, "tasks", spec.Tasks,
		"estimate_s", spec.EstimateS, "deadline_s", spec.DeadlineS)
	return j
}

// infeasibleReason returns the reason why a job can never run, or "" if it can.
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

// handleCancel handles a cancellation. The job's tasks are stopped once the cancellation is durable. j is nil if the job
// doesn't exist.
func (s *scheduler) handleCancel(m userMessage, j *cluster.Job, now time.Time) {
	switch {
	case j == nil:
		m.reply <- api.Response{Code: api.CodeNotFound, ID: m.req.ID, Reason: "no such job"}
		return
	case !j.Acknowledged, s.commitStalled(now):
		m.reply <- api.Unavailable(m.req.ID, "state service slow or out of reach")
		return
	case j.Phase == storage.PhaseOpen:
		j.Phase = storage.PhaseCancelled
		s.state.Jobs.TrackCancelling(j)
		s.state.Classes.RecordDeparture(j, now)
		s.activation.untrack(j)
		s.log.Debug("job cancelled", "job", j.Spec.ID, "attempts", len(j.Attempts))
		s.markJob(j)
		s.onJobCommit(j, func(err error) {
			if err != nil {
				return
			}
			j.FinalDurable = true
			s.stopJob(j)
			s.sendJobStops(j)
			s.releaseFinalJob(j)
		})
	}
	s.answerWhenDurable(j, m.reply, func() api.Response { return responseOf(j) })
}

// finishIfDone marks a job as done if all of its tasks are done. Services are never done.
func (s *scheduler) finishIfDone(j *cluster.Job) {
	if j.Phase != storage.PhaseOpen || j.Done < j.Spec.Tasks || j.Spec.Service {
		return
	}
	j.Phase = storage.PhaseDone
	s.markJob(j)
	s.log.Debug("job done", "job", j.Spec.ID, "class", j.Spec.Class, "tasks", j.Spec.Tasks,
		"duration", time.Since(j.Submitted), "deadline_s", j.Spec.DeadlineS)
	s.onJobCommit(j, func(err error) {
		if err == nil {
			j.FinalDurable = true
			s.releaseFinalJob(j)
		}
	})
}

// releaseFinalJob frees the memory of the tasks of a done or cancelled job, and removes their pages from the journal. After
// that the job may be archived. If the job's final state isn't durable yet, or attempts of the job remain, releaseFinalJob
// does nothing.
func (s *scheduler) releaseFinalJob(j *cluster.Job) {
	if !j.FinalDurable || len(j.Attempts) > 0 || j.Tasks == nil {
		return
	}
	for p := 0; p*storage.TasksPerPage < len(j.Tasks); p++ {
		s.queue.Mark(pageLane(j), storage.TaskPageKey(j.Spec.ID, p), noData)
	}
	s.state.Jobs.ReleaseTasks(j)
	s.markJob(j)
	s.onCommit(func(err error) {
		if err == nil {
			s.trackFinished(j)
		}
	})
}

// stopJob marks all attempts of a job to be stopped, without a grace period.
func (s *scheduler) stopJob(j *cluster.Job) {
	for _, a := range j.Attempts {
		s.stopAttempt(a, 0)
	}
}

// stateOf returns the state of a job as users see it. A final state is shown only once it is durable.
func stateOf(j *cluster.Job) api.JobState {
	switch {
	case j.FinalDurable && j.Phase == storage.PhaseDone:
		return api.StateDone
	case j.FinalDurable && j.Phase == storage.PhaseCancelled:
		return api.StateCancelled
	case j.RunningTasks() > 0:
		return api.StateRunning
	}
	return api.StatePending
}

// responseOf returns the response with a job's state.
func responseOf(j *cluster.Job) api.Response {
	response := api.Response{Code: api.CodeOK, ID: j.Spec.ID, State: stateOf(j), Done: j.Done}
	if !response.Final() {
		response.Running = j.RunningTasks()
	}
	return response
}

// userMessage carries a user's request to the scheduler.
type userMessage struct {
	req         api.Request
	reply       chan api.Response
	notArchived bool // a read of the archive in this term has shown that the job isn't archived
}

func (m userMessage) handle(s *scheduler) { s.handleUser(m) }
