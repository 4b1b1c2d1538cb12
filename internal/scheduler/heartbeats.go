package scheduler

import (
	"time"

	"sagevale/internal/clock"
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
	m := d.state.ensureMachine(r.Machine, now)
	if m.stale(r) {
		// A late copy: it neither shows the present nor renews the lease.
		return worker.HeartbeatResponse{Busy: true}
	}
	first := m.token < d.tokens.First
	d.applyReport(m, r, true, now)
	m.lastAcknowledged = now
	if first && r.Token < d.tokens.First {
		// The worker must have seen our token before its reports prove
		// anything; telling it directly saves an interval.
		d.announceToken(m)
	}
	d.raiseToken(m)
	return worker.HeartbeatResponse{Accepted: true, Token: m.fence.Token(), Commands: d.commandsFor(m, r, now)}
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
func (d *scheduler) applyReport(m *machine, r *worker.Report, beat bool, now time.Time) {
	if m.stale(r) {
		return
	}
	if r.Incarnation > m.incarnation {
		d.incarnationEnded(m, r, now)
	}
	m.incarnation, m.seq, m.token = r.Incarnation, r.Seq, max(m.token, r.Token)
	m.fence.ObserveToken(r.Token)
	if m.typeName != r.Type || m.addr != r.Addr || m.zone != r.Zone {
		m.addr, m.typeName, m.zone, m.spot, m.machineType = r.Addr, r.Type, r.Zone, r.Spot, d.state.types.get(r.Type)
		m.recorded = false
	}
	if !m.recorded {
		d.markMachine(m)
	}
	first := d.tokens.Contains(r.Token) && !m.confirmed && r.Incarnation > m.expiredIncarnation
	if first {
		// From here on only our own answers renew its lease.
		m.confirmed, m.lastAcknowledged = true, now
		d.noteProvisioned(m, now)
		if len(m.attempts) == 0 {
			m.idleSince = now
		}
		d.log.Debug("machine ready", "machine", m.id, "type", m.typeName, "zone", m.zone, "spot", m.spot, "after", now.Sub(m.firstSeen))
		d.placementDue = true
	}
	m.lastContact = now
	if beat {
		m.lastHeartbeat = now
	}
	if r.NoticeSeconds != nil && m.preemptionAt.IsZero() {
		m.preemptionAt = now.Add(clock.Seconds(*r.NoticeSeconds))
		d.drain(m, "spot notice")
	}
	listed := make(map[attemptKey]bool, len(r.Tasks))
	m.exited = m.exited[:0]
	for _, t := range r.Tasks {
		listed[attemptKey{t.ID, t.Attempt}] = true
		d.applyTaskReport(m, r, t, now)
	}
	if first {
		d.recallFailures(m, r)
	}
	if beat {
		d.watchCompliance(m, r, now)
	}
	for _, a := range m.sortedAttempts() {
		if !listed[attemptKey{a.id(), a.number}] && d.provedAbsent(a, r, beat) {
			d.removeAttempt(a, "absent from a newer report")
		}
	}
}

// incarnationEnded clears what an ended session has killed.
func (d *scheduler) incarnationEnded(m *machine, r *worker.Report, now time.Time) {
	if m.confirmed && now.Sub(m.lastContact) <= d.settings.ReportFreshness() {
		// Its reports came and our answers went nowhere: it is deaf.
		m.lostIncarnations++
		m.quarantinedUntil = now.Add(clock.Scale(d.settings.WorkerLease, float64(min(m.lostIncarnations, maxQuarantineLeases))))
		d.log.Info("machine lost its session", "machine", m.id, "session", r.Incarnation, "lapses", m.lostIncarnations)
	}
	for _, a := range m.sortedAttempts() {
		if a.incarnation < r.Incarnation {
			d.removeAttempt(a, "a later session")
		}
	}
	m.fence.IncarnationEnded()
	m.recorded = false
	// The new session's lease began before now. Counting on from the answers
	// to the one before would call its tasks gone while they run.
	m.lastAcknowledged = now
}

// watchCompliance leaves a machine alone whose reports come but which doesn't do as
// it is told.
func (d *scheduler) watchCompliance(m *machine, r *worker.Report, now time.Time) {
	m.unresponsive = false
	for _, a := range m.attempts {
		if !a.reported && a.commandedSeq != 0 && r.Seq > a.commandedSeq+1 && now.Sub(a.reservedAt) > 2*d.settings.HeartbeatInterval {
			m.unresponsive = true
			m.quarantinedUntil = now.Add(d.settings.ReportFreshness())
			d.log.Debug("machine takes no orders", "machine", m.id)
			return
		}
	}
}

// provedAbsent tells whether a newer report without the attempt proves that it
// neither is on the machine nor can come there.
func (d *scheduler) provedAbsent(a *attempt, r *worker.Report, beat bool) bool {
	switch {
	case !d.tokens.Contains(r.Token) || r.Incarnation != a.incarnation:
		return false
	case !a.thisTerm:
		// An earlier leader's commands are void where our token is known.
		return true
	case !a.maybeDelivered() || a.startUnresolved():
		return false
	case !beat:
		// An answer that carries the start may still be on its way.
		return false
	}
	// One that was never seen wasn't executed: it is ordered again, under the
	// same try.
	return a.reported
}

func (d *scheduler) applyTaskReport(m *machine, r *worker.Report, t worker.TaskReport, now time.Time) {
	a := m.attempts[t.ID]
	if a != nil && a.number == t.Attempt && a.incarnation == r.Incarnation {
		wasRunning := a.reported && a.state == worker.Running
		a.reported, a.state = true, t.State
		switch t.State {
		case worker.Pulling:
		case worker.Gathering:
			if a.gatheringSince.IsZero() {
				a.gatheringSince = now
			}
			m.useImage(a.job.spec.Image, a.job.spec.ImageGB, now)
		case worker.Running, worker.Saving:
			a.job.gang.started = a.job.spec.Gang
			if !wasRunning && t.State == worker.Running {
				a.started = now
				d.log.Debug("task running", "job", a.job.spec.ID, "class", a.job.spec.Class, "task", a.task, "machine", m.id,
					"since_submit", now.Sub(a.job.submitted), "since_booking", now.Sub(a.reservedAt))
				d.activation.attemptRunning(a, now)
			}
			m.useImage(a.job.spec.Image, a.job.spec.ImageGB, now)
		case worker.Exited:
			d.attemptExited(a, t, now)
			m.exited = append(m.exited, t)
		}
		return
	}
	j := d.state.jobs.get(t.ID.Job)
	if t.State == worker.Exited {
		if j != nil && t.Cause == worker.CauseDone && t.ID.Task < len(j.tasks) && j.tasks[t.ID.Task] == taskWaiting {
			if j.spec.Gang {
				d.completeGang(j)
			}
			j.setTask(t.ID.Task, taskDone)
			d.markPage(j, t.ID.Task)
			d.finish(j)
		}
		m.exited = append(m.exited, t)
		return
	}
	// A live task without a booking: a command from before, executed late.
	if j != nil && t.ID.Task < len(j.tasks) && j.tasks[t.ID.Task] == taskWaiting && a == nil {
		d.log.Info("adopting an unbooked task", "machine", m.id, "job", t.ID.Job, "task", t.ID.Task, "try", t.Attempt)
		a = &attempt{job: j, task: t.ID.Task, number: t.Attempt, machine: m, incarnation: r.Incarnation, reservedAt: now, reported: true, state: t.State}
		a.stopping = j.phase != storage.Open || !j.mayPlace(now)
		d.addAttempt(a)
		d.markPage(j, a.task)
		return
	}
	m.orphans = append(m.orphans, t)
}

// attemptExited takes in an attempt's end.
func (d *scheduler) attemptExited(a *attempt, t worker.TaskReport, now time.Time) {
	j, m := a.job, a.machine
	switch t.Cause {
	case worker.CauseDone:
		j.failures.Succeeded()
		m.failures.Succeeded()
		d.state.classes.noteRunTime(a, now)
		if j.spec.Gang {
			d.completeGang(j)
		}
		j.setTask(a.task, taskDone)
	case worker.CausePeers:
		j.gang.failed = true // the gang's failure, not the machine's
	case worker.CauseError:
		a.failed = true
		if j.gang.failed {
			m.failures.Failed(j.spec.ID) // the job's was counted with the first of the gang
		} else {
			d.failed(j, m, a.reservedAt, now)
		}
		j.gang.failed = j.gang.failed || j.gang.started
	case worker.CauseFull, worker.CauseBusy:
		m.quarantinedUntil = now.Add(d.settings.HeartbeatInterval)
	case worker.CauseUnknown:
		j.retryAfter = now.Add(d.settings.HeartbeatInterval)
	}
	d.log.Debug("attempt ended", "job", j.spec.ID, "task", a.task, "try", a.number, "machine", m.id, "cause", t.Cause, "saved", t.Saved)
	d.removeAttempt(a, "ended")
	d.finish(j)
}

// addAttempt enters an attempt and reserves its resources.
func (d *scheduler) addAttempt(a *attempt) {
	d.state.addAttempt(a)
	d.activation.attemptReserved(a, time.Now())
}

// removeAttempt takes out an attempt that is proved absent from its machine, or whose start was never
// sent, and releases its resources.
func (d *scheduler) removeAttempt(a *attempt, reason string) {
	now := time.Now()
	if !d.state.removeAttempt(a, now) {
		return
	}
	j, m := a.job, a.machine
	d.markPage(j, a.task)
	if j.spec.Gang && j.phase == storage.Open {
		d.gangTaskLost(a)
	}
	if m.drainReason != "" && len(m.attempts) == 0 {
		d.nextSnapshot = time.Time{} // to be terminated; the next drain waits for it
	}
	d.log.Debug("attempt removed", "job", j.spec.ID, "task", a.task, "attempt", a.number, "machine", m.id, "reason", reason)
	d.activation.attemptRemoved(a, now)
	d.retire(j)
	d.placementDue = true
}

// stopAttempt has an attempt stopped, with a grace period in which it may save a checkpoint. One that was
// never sent is removed at once.
func (d *scheduler) stopAttempt(a *attempt, graceSeconds float64) {
	if !a.maybeDelivered() {
		d.removeAttempt(a, "stopped before its start")
		return
	}
	d.state.markStopping(a, graceSeconds)
}
