package coordination

import (
	"time"

	"sagevale/internal/storage"
)

type taskTry struct {
	id  TaskID
	try uint64
}

// handleHeartbeat takes a worker's report and answers it.
func (d *dispatcher) handleHeartbeat(r *Report) HeartbeatResponse {
	now := time.Now()
	if r.Token > d.tokens.Last {
		d.handleLaterToken(r, now)
		return HeartbeatResponse{Busy: true}
	}
	if now.After(d.role.HoldOut) {
		// A successor may have told a user that a job is cancelled, counting
		// on the workers' leases to end.
		return HeartbeatResponse{Busy: true}
	}
	if d.removed[r.Machine] {
		return HeartbeatResponse{Busy: true}
	}
	m := d.machine(r.Machine)
	if m.stale(r) {
		// A late copy: it neither shows the present nor renews the lease.
		return HeartbeatResponse{Busy: true}
	}
	first := m.token < d.tokens.First
	d.apply(m, r, true, now)
	m.lastAnswered = now
	if first && r.Token < d.tokens.First {
		// The worker must have seen our token before its reports prove
		// anything; telling it directly saves an interval.
		d.announceToken(m)
	}
	d.raiseToken(m)
	return HeartbeatResponse{Accepted: true, Token: m.fence.Token(), Orders: d.ordersFor(m, r, now)}
}

func (d *dispatcher) stepDown(reason string) { d.giveUp(reason, false) }

// giveUp gives up the lead, once. Nothing is delegated from here on.
func (d *dispatcher) giveUp(reason string, standDown bool) {
	if d.resigned {
		return // what waited while this process stood still tells the same again and again
	}
	d.log.Info("stepping down", "reason", reason)
	d.resigned = true
	r := d.role
	r.Certain, r.HoldOut = time.Time{}, time.Time{}
	d.setRole(r)
	d.delegator.terms.Store(nil)
	select {
	case d.resign <- resignation{d.term, standDown}:
	default:
	}
}

// apply takes in what a report tells. beat says that it is a report, not the
// answer to a direct command.
func (d *dispatcher) apply(m *machine, r *Report, beat bool, now time.Time) {
	if m.stale(r) {
		return
	}
	if r.Session > m.session {
		d.sessionEnded(m, r, now)
	}
	m.session, m.seq, m.token = r.Session, r.Seq, max(m.token, r.Token)
	m.fence.ObserveToken(r.Token)
	if m.kind != r.Type || m.addr != r.Addr || m.zone != r.Zone {
		m.addr, m.kind, m.zone, m.spot, m.typ = r.Addr, r.Type, r.Zone, r.Spot, d.types[r.Type]
		m.recorded = false
	}
	if !m.recorded {
		d.markMachine(m)
	}
	first := d.tokens.Contains(r.Token) && !m.heard && r.Session > m.lapsed
	if first {
		// From here on only our own answers renew its lease.
		m.heard, m.lastAnswered = true, now
		d.noteUp(m, now)
		if len(m.attempts) == 0 {
			m.idleSince = now
		}
		d.log.Debug("machine ready", "machine", m.id, "type", m.kind, "zone", m.zone, "spot", m.spot, "after", now.Sub(m.born))
		d.place = true
	}
	m.lastHeard = now
	if beat {
		m.lastReport = now
	}
	if r.Notice != nil && m.noticeAt.IsZero() {
		m.noticeAt = now.Add(seconds(*r.Notice))
		d.drain(m, "spot notice")
	}
	listed := make(map[taskTry]bool, len(r.Tasks))
	m.ended = m.ended[:0]
	for _, t := range r.Tasks {
		listed[taskTry{t.ID, t.Try}] = true
		d.applyTask(m, r, t, now)
	}
	if first {
		d.recallFailures(m, r)
	}
	if beat {
		d.watchCompliance(m, r, now)
	}
	for _, a := range m.sortedAttempts() {
		if !listed[taskTry{a.id(), a.try}] && d.provedAbsent(a, r, beat) {
			d.free(a, "absent from a newer report")
		}
	}
}

// sessionEnded clears what an ended session has killed.
func (d *dispatcher) sessionEnded(m *machine, r *Report, now time.Time) {
	if m.heard && now.Sub(m.lastHeard) <= d.settings.fresh() {
		// Its reports came and our answers went nowhere: it is deaf.
		m.lapses++
		m.pauseTill = now.Add(scale(d.settings.WorkerLease, float64(min(m.lapses, pauseLeases))))
		d.log.Info("machine lost its session", "machine", m.id, "session", r.Session, "lapses", m.lapses)
	}
	for _, a := range m.sortedAttempts() {
		if a.session < r.Session {
			d.free(a, "a later session")
		}
	}
	m.fence.IncarnationEnded()
	m.recorded = false
	// The new session's lease began before now. Counting on from the answers
	// to the one before would call its tasks gone while they run.
	m.lastAnswered = now
}

// watchCompliance leaves a machine alone whose reports come but which doesn't do as
// it is told.
func (d *dispatcher) watchCompliance(m *machine, r *Report, now time.Time) {
	m.unresponsive = false
	for _, a := range m.attempts {
		if !a.seen && a.orderedSeq != 0 && r.Seq > a.orderedSeq+1 && now.Sub(a.booked) > 2*d.settings.HeartbeatInterval {
			m.unresponsive = true
			m.pauseTill = now.Add(d.settings.fresh())
			d.log.Debug("machine takes no orders", "machine", m.id)
			return
		}
	}
}

// provedAbsent tells whether a newer report without the attempt proves that it
// neither is on the machine nor can come there.
func (d *dispatcher) provedAbsent(a *attempt, r *Report, beat bool) bool {
	switch {
	case !d.tokens.Contains(r.Token) || r.Session != a.session:
		return false
	case !a.ownTerm:
		// An earlier leader's commands are void where our token is known.
		return true
	case !a.sent() || a.startUnresolved():
		return false
	case !beat:
		// An answer that carries the start may still be on its way.
		return false
	}
	// One that was never seen wasn't executed: it is ordered again, under the
	// same try.
	return a.seen
}

func (d *dispatcher) applyTask(m *machine, r *Report, t TaskReport, now time.Time) {
	a := m.attempts[t.ID]
	if a != nil && a.try == t.Try && a.session == r.Session {
		wasRunning := a.seen && a.state == Running
		a.seen, a.state = true, t.State
		switch t.State {
		case Pulling:
		case Gathering:
			if a.gatheringSince.IsZero() {
				a.gatheringSince = now
			}
			m.useImage(a.job.spec.Image, a.job.spec.ImageGB, now)
		case Running, Saving:
			a.job.gang.ran = a.job.spec.Gang
			if !wasRunning && t.State == Running {
				a.started = now
				d.log.Debug("task running", "job", a.job.spec.ID, "class", a.job.spec.Class, "task", a.task, "machine", m.id,
					"since_submit", now.Sub(a.job.submitted), "since_booking", now.Sub(a.booked))
				d.activation.running(a, now)
			}
			m.useImage(a.job.spec.Image, a.job.spec.ImageGB, now)
		case Ended:
			d.ended(a, t, now)
			m.ended = append(m.ended, t)
		}
		return
	}
	j := d.jobs.get(t.ID.Job)
	if t.State == Ended {
		if j != nil && t.Cause == CauseDone && t.ID.Task < len(j.tasks) && j.tasks[t.ID.Task] == taskWaiting {
			if j.spec.Gang {
				d.gangDone(j)
			}
			j.setTask(t.ID.Task, taskDone)
			d.markPage(j, t.ID.Task)
			d.finish(j)
		}
		m.ended = append(m.ended, t)
		return
	}
	// A live task without a booking: a command from before, executed late.
	if j != nil && t.ID.Task < len(j.tasks) && j.tasks[t.ID.Task] == taskWaiting && a == nil {
		d.log.Info("adopting an unbooked task", "machine", m.id, "job", t.ID.Job, "task", t.ID.Task, "try", t.Try)
		a = &attempt{job: j, task: t.ID.Task, try: t.Try, on: m, session: r.Session, booked: now, seen: true, state: t.State}
		a.stop = j.phase != storage.Open || !j.managed.mayPlace(now)
		d.enter(a)
		d.markPage(j, a.task)
		return
	}
	m.orphans = append(m.orphans, t)
}

// ended takes in an attempt's end.
func (d *dispatcher) ended(a *attempt, t TaskReport, now time.Time) {
	j, m := a.job, a.on
	switch t.Cause {
	case CauseDone:
		j.failures.Succeeded()
		m.failures.Succeeded()
		d.ran(a, now)
		if j.spec.Gang {
			d.gangDone(j)
		}
		j.setTask(a.task, taskDone)
	case CausePeers:
		j.gang.over = true // the gang's failure, not the machine's
	case CauseError:
		a.failed = true
		if j.gang.over {
			m.failures.Failed(j.spec.ID) // the job's was counted with the first of the gang
		} else {
			d.failed(j, m, a.booked, now)
		}
		j.gang.over = j.gang.over || j.gang.ran
	case CauseFull, CauseBusy:
		m.pauseTill = now.Add(d.settings.HeartbeatInterval)
	case CauseUnknown:
		j.pauseTill = now.Add(d.settings.HeartbeatInterval)
	}
	d.log.Debug("attempt ended", "job", j.spec.ID, "task", a.task, "try", a.try, "machine", m.id, "cause", t.Cause, "saved", t.Saved)
	d.free(a, "ended")
	d.finish(j)
}

// enter reserves the room of an attempt.
func (d *dispatcher) enter(a *attempt) {
	if a.job.phase == storage.Cancelled {
		d.jobs.cancel(a.job)
	}
	a.job.attempts[a.task] = a
	a.job.setTask(a.task, taskActive)
	a.on.attempts[a.id()] = a
	d.reservations.Reserve(a.on.id, a.job.spec.Team, a.job.spec.Room)
	a.on.hold(a, 1)
	if a.job.spec.Gang {
		a.job.noteGang(a)
	}
	d.activation.booked(a, time.Now())
}

// free takes an attempt out of the reservations: its place is proved empty, or its
// start was never sent.
func (d *dispatcher) free(a *attempt, why string) {
	j, m := a.job, a.on
	if j.attempts[a.task] != a {
		return
	}
	delete(j.attempts, a.task)
	delete(m.attempts, a.id())
	if len(m.attempts) == 0 {
		m.idleSince = time.Now()
	}
	d.reservations.Release(m.id, j.spec.Team, j.spec.Room)
	m.hold(a, -1)
	if a.direct != directNone {
		m.fence.Retain(taskTry{a.id(), a.try}, a.directToken)
	}
	j.setTask(a.task, taskWaiting)
	d.markPage(j, a.task)
	if j.spec.Gang && j.phase == storage.Open {
		d.lost(a)
	}
	if m.draining != "" && len(m.attempts) == 0 {
		d.snapshotAt = time.Time{} // to be returned; the next drain waits for it
	}
	d.log.Debug("attempt over", "job", j.spec.ID, "task", a.task, "try", a.try, "machine", m.id, "why", why)
	d.activation.gone(a, time.Now())
	d.retire(j)
	d.place = true
}

// stop has an attempt stopped. One that was never sent is just taken out.
func (d *dispatcher) stop(a *attempt, graceS float64) {
	if !a.sent() {
		d.free(a, "stopped before its start")
		return
	}
	if !a.stop || graceS < a.graceS {
		a.on.hold(a, -1)
		a.stop, a.graceS = true, graceS
		a.on.hold(a, 1)
	}
}
