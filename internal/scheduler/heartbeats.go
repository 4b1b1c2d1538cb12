package scheduler

import (
	"time"

	"sagevale/internal/clock"
	"sagevale/internal/cluster"
	"sagevale/internal/leadership"
	"sagevale/internal/storage"
	"sagevale/internal/worker"
)

// handleHeartbeat takes a worker's report and answers it.
func (d *scheduler) handleHeartbeat(r *worker.Report) worker.HeartbeatResponse {
	now := time.Now()
	if r.Token > d.tokens.Last {
		d.handleHigherToken(r, now)
		return worker.HeartbeatResponse{Busy: true}
	}
	if now.After(d.role.RenewUntil) {
		// A successor may have told a user that a job is cancelled, counting
		// on the workers' leases to end.
		return worker.HeartbeatResponse{Busy: true}
	}
	if d.terminated[r.Machine] {
		return worker.HeartbeatResponse{Busy: true}
	}
	m := d.state.EnsureMachine(r.Machine, now)
	if m.Stale(r) {
		// A late copy: it neither shows the present nor renews the lease.
		return worker.HeartbeatResponse{Busy: true}
	}
	first := m.Token < d.tokens.First
	d.applyReport(m, r, true, now)
	m.LastAcknowledged = now
	if first && r.Token < d.tokens.First {
		// The worker must have seen our token before its reports prove
		// anything; telling it directly saves an interval.
		d.announceToken(m)
	}
	d.raiseToken(m)
	return worker.HeartbeatResponse{Accepted: true, Token: m.Fence.Token(), Commands: d.commandsFor(m, r, now)}
}

func (d *scheduler) resignLeadership(reason string) { d.resignOnce(reason, false) }

// resignOnce gives up the lead, once. Nothing is delegated from here on.
func (d *scheduler) resignOnce(reason string, standDown bool) {
	if d.resigned {
		return // what waited while this process stood still tells the same again and again
	}
	d.log.Info("stepping down", "reason", reason)
	d.resigned = true
	r := d.role
	r.LeaseValidUntil, r.RenewUntil = time.Time{}, time.Time{}
	d.setRole(r)
	d.delegator.terms.Store(nil)
	d.resign(leadership.Resignation{Term: d.term, StandDown: standDown})
}

// applyReport takes in what a report tells. beat says that it is a report, not the
// answer to a direct command.
func (d *scheduler) applyReport(m *cluster.Machine, r *worker.Report, beat bool, now time.Time) {
	if m.Stale(r) {
		return
	}
	if r.Incarnation > m.Incarnation {
		d.incarnationEnded(m, r, now)
	}
	m.Incarnation, m.Seq, m.Token = r.Incarnation, r.Seq, max(m.Token, r.Token)
	m.Fence.ObserveToken(r.Token)
	if m.TypeName != r.Type || m.Addr != r.Addr || m.Zone != r.Zone {
		m.Addr, m.TypeName, m.Zone, m.Spot, m.Type = r.Addr, r.Type, r.Zone, r.Spot, d.state.Types.Get(r.Type)
		m.Recorded = false
	}
	if !m.Recorded {
		d.markMachine(m)
	}
	first := d.tokens.Contains(r.Token) && !m.Confirmed && r.Incarnation > m.ExpiredIncarnation
	if first {
		// From here on only our own answers renew its lease.
		m.Confirmed, m.LastAcknowledged = true, now
		d.reviewer.NoteProvisioned(m, now)
		if len(m.Attempts) == 0 {
			m.IdleSince = now
		}
		d.log.Debug("machine ready", "machine", m.ID, "type", m.TypeName, "zone", m.Zone, "spot", m.Spot, "after", now.Sub(m.FirstSeen))
		d.placementDue = true
	}
	m.LastContact = now
	if beat {
		m.LastHeartbeat = now
	}
	if r.NoticeSeconds != nil && m.PreemptionAt.IsZero() {
		m.PreemptionAt = now.Add(clock.Seconds(*r.NoticeSeconds))
		d.drain(m, "spot notice")
	}
	listed := make(map[cluster.AttemptKey]bool, len(r.Tasks))
	m.Exited = m.Exited[:0]
	for _, t := range r.Tasks {
		listed[cluster.AttemptKey{ID: t.ID, Number: t.Attempt}] = true
		d.applyTaskReport(m, r, t, now)
	}
	if first {
		d.recallFailures(m, r)
	}
	if beat {
		d.watchCompliance(m, r, now)
	}
	for _, a := range m.SortedAttempts() {
		if !listed[a.Key()] && d.provedAbsent(a, r, beat) {
			d.removeAttempt(a, "absent from a newer report")
		}
	}
}

// incarnationEnded clears what an ended session has killed.
func (d *scheduler) incarnationEnded(m *cluster.Machine, r *worker.Report, now time.Time) {
	if m.Confirmed && now.Sub(m.LastContact) <= d.settings.ReportFreshness() {
		// Its reports came and our answers went nowhere: it is deaf.
		m.LostIncarnations++
		m.QuarantinedUntil = now.Add(clock.Scale(d.settings.WorkerLease, float64(min(m.LostIncarnations, maxQuarantineLeases))))
		d.log.Info("machine lost its session", "machine", m.ID, "session", r.Incarnation, "lapses", m.LostIncarnations)
	}
	for _, a := range m.SortedAttempts() {
		if a.Incarnation < r.Incarnation {
			d.removeAttempt(a, "a later session")
		}
	}
	m.Fence.IncarnationEnded()
	m.Recorded = false
	// The new session's lease began before now. Counting on from the answers
	// to the one before would call its tasks gone while they run.
	m.LastAcknowledged = now
}

// watchCompliance leaves a machine alone whose reports come but which doesn't do as
// it is told.
func (d *scheduler) watchCompliance(m *cluster.Machine, r *worker.Report, now time.Time) {
	m.Unresponsive = false
	for _, a := range m.Attempts {
		if !a.Reported && a.CommandedSeq != 0 && r.Seq > a.CommandedSeq+1 && now.Sub(a.ReservedAt) > 2*d.settings.HeartbeatInterval {
			m.Unresponsive = true
			m.QuarantinedUntil = now.Add(d.settings.ReportFreshness())
			d.log.Debug("machine takes no orders", "machine", m.ID)
			return
		}
	}
}

// provedAbsent tells whether a newer report without the attempt proves that it
// neither is on the machine nor can come there.
func (d *scheduler) provedAbsent(a *cluster.Attempt, r *worker.Report, beat bool) bool {
	switch {
	case !d.tokens.Contains(r.Token) || r.Incarnation != a.Incarnation:
		return false
	case !a.ThisTerm:
		// An earlier leader's commands are void where our token is known.
		return true
	case !a.MaybeDelivered() || a.StartUnresolved():
		return false
	case !beat:
		// An answer that carries the start may still be on its way.
		return false
	}
	// One that was never seen wasn't executed: it is ordered again, under the
	// same try.
	return a.Reported
}

func (d *scheduler) applyTaskReport(m *cluster.Machine, r *worker.Report, t worker.TaskReport, now time.Time) {
	a := m.Attempts[t.ID]
	if a != nil && a.Number == t.Attempt && a.Incarnation == r.Incarnation {
		wasRunning := a.Reported && a.State == worker.Running
		a.Reported, a.State = true, t.State
		switch t.State {
		case worker.Pulling:
		case worker.Gathering:
			if a.GatheringSince.IsZero() {
				a.GatheringSince = now
			}
			m.UseImage(a.Job.Spec.Image, a.Job.Spec.ImageGB, now)
		case worker.Running, worker.Saving:
			a.Job.Gang.Started = a.Job.Spec.Gang
			if !wasRunning && t.State == worker.Running {
				a.Started = now
				d.log.Debug("task running", "job", a.Job.Spec.ID, "class", a.Job.Spec.Class, "task", a.Task, "machine", m.ID,
					"since_submit", now.Sub(a.Job.Submitted), "since_booking", now.Sub(a.ReservedAt))
				d.activation.attemptRunning(a, now)
			}
			m.UseImage(a.Job.Spec.Image, a.Job.Spec.ImageGB, now)
		case worker.Exited:
			d.attemptExited(a, t, now)
			m.Exited = append(m.Exited, t)
		}
		return
	}
	j := d.state.Jobs.Get(t.ID.Job)
	if t.State == worker.Exited {
		if j != nil && t.Cause == worker.CauseDone && t.ID.Task < len(j.Tasks) && j.Tasks[t.ID.Task] == cluster.TaskWaiting {
			if j.Spec.Gang {
				d.completeGang(j)
			}
			j.SetTask(t.ID.Task, cluster.TaskDone)
			d.markPage(j, t.ID.Task)
			d.finish(j)
		}
		m.Exited = append(m.Exited, t)
		return
	}
	// A live task without a booking: a command from before, executed late.
	if j != nil && t.ID.Task < len(j.Tasks) && j.Tasks[t.ID.Task] == cluster.TaskWaiting && a == nil {
		d.log.Info("adopting an unbooked task", "machine", m.ID, "job", t.ID.Job, "task", t.ID.Task, "try", t.Attempt)
		a = &cluster.Attempt{Job: j, Task: t.ID.Task, Number: t.Attempt, Machine: m, Incarnation: r.Incarnation, ReservedAt: now, Reported: true, State: t.State}
		a.Stopping = j.Phase != storage.Open || !j.MayPlace(now)
		d.addAttempt(a)
		d.markPage(j, a.Task)
		return
	}
	m.Orphans = append(m.Orphans, t)
}

// attemptExited takes in an attempt's end.
func (d *scheduler) attemptExited(a *cluster.Attempt, t worker.TaskReport, now time.Time) {
	j, m := a.Job, a.Machine
	switch t.Cause {
	case worker.CauseDone:
		j.Failures.RecordSuccess()
		m.Failures.RecordSuccess()
		d.state.Classes.NoteRunTime(a, now)
		if j.Spec.Gang {
			d.completeGang(j)
		}
		j.SetTask(a.Task, cluster.TaskDone)
	case worker.CausePeers:
		j.Gang.Failed = true // the gang's failure, not the machine's
	case worker.CauseError:
		a.Failed = true
		if j.Gang.Failed {
			m.Failures.RecordFailure(j.Spec.ID) // the job's was counted with the first of the gang
		} else {
			d.failed(j, m, a.ReservedAt, now)
		}
		j.Gang.Failed = j.Gang.Failed || j.Gang.Started
	case worker.CauseFull, worker.CauseBusy:
		m.QuarantinedUntil = now.Add(d.settings.HeartbeatInterval)
	case worker.CauseUnknown:
		j.RetryAfter = now.Add(d.settings.HeartbeatInterval)
	}
	d.log.Debug("attempt ended", "job", j.Spec.ID, "task", a.Task, "try", a.Number, "machine", m.ID, "cause", t.Cause, "saved", t.Saved)
	d.removeAttempt(a, "ended")
	d.finish(j)
}

// addAttempt enters an attempt and reserves its resources.
func (d *scheduler) addAttempt(a *cluster.Attempt) {
	d.state.AddAttempt(a)
	d.activation.attemptReserved(a, time.Now())
}

// removeAttempt takes out an attempt that is proved absent from its machine, or whose start was never
// sent, and releases its resources.
func (d *scheduler) removeAttempt(a *cluster.Attempt, reason string) {
	now := time.Now()
	if !d.state.RemoveAttempt(a, now) {
		return
	}
	j, m := a.Job, a.Machine
	d.markPage(j, a.Task)
	if j.Spec.Gang && j.Phase == storage.Open {
		d.gangTaskLost(a)
	}
	if m.DrainReason != "" && len(m.Attempts) == 0 {
		d.nextSnapshot = time.Time{} // to be terminated; the next drain waits for it
	}
	d.log.Debug("attempt removed", "job", j.Spec.ID, "task", a.Task, "attempt", a.Number, "machine", m.ID, "reason", reason)
	d.activation.attemptRemoved(a, now)
	d.retire(j)
	d.placementDue = true
}

// stopAttempt has an attempt stopped, with a grace period in which it may save a checkpoint. One that was
// never sent is removed at once.
func (d *scheduler) stopAttempt(a *cluster.Attempt, graceSeconds float64) {
	if !a.MaybeDelivered() {
		d.removeAttempt(a, "stopped before its start")
		return
	}
	d.state.MarkStopping(a, graceSeconds)
}

// heartbeatsMessage brings workers' heartbeats.
type heartbeatsMessage struct {
	reports []*worker.Report
	reply   chan []worker.HeartbeatResponse
}

func (m heartbeatsMessage) handle(d *scheduler) {
	responses := make([]worker.HeartbeatResponse, 0, len(m.reports))
	for _, r := range m.reports {
		responses = append(responses, d.handleHeartbeat(r))
	}
	m.reply <- responses
}
