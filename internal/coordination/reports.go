package coordination

import (
	"context"
	"time"

	"sagevale/internal/storage"
)

type taskTry struct {
	id  TaskID
	try uint64
}

// handleBeat takes a worker's report and answers it.
func (d *dispatcher) handleBeat(r *Report) BeatAnswer {
	now := time.Now()
	if r.Token > d.term {
		d.stepDown("a worker knows a higher token")
		return BeatAnswer{}
	}
	if now.After(d.role.HoldOut) {
		// A successor may have told a user that a job is cancelled, counting
		// on the workers' leases to end.
		return BeatAnswer{Busy: true}
	}
	if d.goneBefore[r.Machine] {
		return BeatAnswer{Busy: true}
	}
	m := d.machine(r.Machine)
	if m.stale(r) {
		// A late copy: it neither shows the present nor renews the lease.
		return BeatAnswer{Busy: true}
	}
	first := m.token < d.term
	d.apply(m, r, true, now)
	m.answered = now
	if first && r.Token < d.term {
		// The worker must have seen our token before its reports prove
		// anything; telling it directly saves an interval.
		d.greet(m)
	}
	return BeatAnswer{Accepted: true, Token: d.term, Orders: d.ordersFor(m, r, now)}
}

func (d *dispatcher) stepDown(reason string) {
	d.log.Info("stepping down", "reason", reason)
	d.resigned = true
	d.role.Certain, d.role.HoldOut = time.Time{}, time.Time{}
	select {
	case d.resign <- d.term:
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
	if m.kind != r.Type || m.addr != r.Addr || m.zone != r.Zone {
		m.addr, m.kind, m.zone, m.spot, m.typ = r.Addr, r.Type, r.Zone, r.Spot, d.types[r.Type]
		m.recorded = false
	}
	if !m.recorded {
		d.markMachine(m)
	}
	if r.Token == d.term && !m.heard && r.Session > m.lapsed {
		// From here on only our own answers renew its lease.
		m.heard, m.answered = true, now
		d.log.Debug("machine ready", "machine", m.id, "type", m.kind, "zone", m.zone, "spot", m.spot, "after", now.Sub(m.born))
		d.place = true
	}
	m.lastBeat = now
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
	if beat {
		d.watchHeed(m, r, now)
	}
	for _, a := range m.sortedAttempts() {
		if !listed[taskTry{a.id(), a.try}] && d.provedAbsent(a, r, beat) {
			d.free(a, "absent from a newer report")
		}
	}
}

// sessionEnded clears what an ended session has killed.
func (d *dispatcher) sessionEnded(m *machine, r *Report, now time.Time) {
	if m.heard && now.Sub(m.lastBeat) <= d.settings.fresh() {
		// Its reports came and our answers went nowhere: it is deaf.
		m.lapses++
		m.pauseTill = now.Add(scale(d.settings.Lease, float64(m.lapses)))
		d.log.Info("machine lost its session", "machine", m.id, "session", r.Session, "lapses", m.lapses)
	}
	for _, a := range m.sortedAttempts() {
		if a.session < r.Session {
			d.free(a, "a later session")
		}
	}
	clear(m.tainted)
	m.recorded = false
	// The new session's lease began before now. Counting on from the answers
	// to the one before would call its tasks gone while they run.
	m.answered = now
}

// watchHeed leaves a machine alone whose reports come but which doesn't do as
// it is told.
func (d *dispatcher) watchHeed(m *machine, r *Report, now time.Time) {
	m.unheeding = false
	for _, a := range m.attempts {
		if !a.seen && a.beatSeq != 0 && r.Seq > a.beatSeq+1 && now.Sub(a.booked) > 2*d.settings.Report {
			m.unheeding = true
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
	case r.Token != d.term || r.Session != a.session:
		return false
	case !a.mine:
		// An earlier leader's commands are void where our token is known.
		return true
	case !a.sent() || a.loose():
		return false
	case !beat:
		// An answer that carries the start may still be on its way.
		return false
	case a.seen:
		return r.Seq > a.beatSeq
	}
	// Not executed: it is ordered again, under the same try.
	return false
}

func (d *dispatcher) applyTask(m *machine, r *Report, t TaskReport, now time.Time) {
	a := m.attempts[t.ID]
	if a != nil && a.try == t.Try && a.session == r.Session {
		wasRunning := a.seen && a.state == Running
		a.seen, a.state = true, t.State
		switch t.State {
		case Pulling:
		case Gathering:
			m.useImage(a.job.spec.Image, a.job.spec.ImageGB, now)
		case Running, Saving:
			if !wasRunning && t.State == Running {
				a.started = now
				d.log.Debug("task running", "job", a.job.spec.ID, "class", a.job.spec.Class, "task", a.task, "machine", m.id,
					"since_submit", now.Sub(a.job.submitted), "since_booking", now.Sub(a.booked))
			}
			m.useImage(a.job.spec.Image, a.job.spec.ImageGB, now)
		case Ended:
			d.ended(a, t, now)
			m.ended = append(m.ended, t)
		}
		return
	}
	j := d.jobs[t.ID.Job]
	if t.State == Ended {
		if j != nil && t.Cause == CauseDone && t.ID.Task < len(j.tasks) && j.tasks[t.ID.Task] == taskWaiting {
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
		a.stop = j.phase != storage.Open
		d.enter(a)
		d.markPage(j, a.task)
		return
	}
	m.strays = append(m.strays, t)
}

// ended takes in an attempt's end.
func (d *dispatcher) ended(a *attempt, t TaskReport, now time.Time) {
	j, m := a.job, a.on
	switch t.Cause {
	case CauseDone:
		j.failures = 0
		m.failures = 0
		d.ran(a, now)
		j.setTask(a.task, taskDone)
	case CauseError:
		j.failures++
		if m.lastFail != j.spec.ID {
			m.lastFail = j.spec.ID
			m.failures++
		}
		d.failed(j, m, now)
	case CauseFull, CauseBusy:
		m.pauseTill = now.Add(d.settings.Report)
	case CauseUnknown:
		j.pauseTill = now.Add(d.settings.Report)
	}
	d.log.Debug("attempt ended", "job", j.spec.ID, "task", a.task, "try", a.try, "machine", m.id, "cause", t.Cause, "saved", t.Saved)
	d.free(a, "ended")
	d.finish(j)
}

// ordersFor makes the orders that go with the answer to a report.
func (d *dispatcher) ordersFor(m *machine, r *Report, now time.Time) []Order {
	var out []Order
	for _, a := range m.sortedAttempts() {
		if a.session != r.Session {
			continue
		}
		switch {
		case a.stop && a.seen:
			if a.state != Saving || a.graceS == 0 {
				out = append(out, Order{Verb: Stop, ID: a.id(), Try: a.try, GraceS: a.graceS})
			}
		case a.stop && !a.sent():
			d.free(a, "stopped before its start")
		case a.stop && (a.direct == directUnresolved || a.direct == directSettled):
			// The start may still come, minutes late. Having the worker learn
			// the attempt and end it makes the late start void.
			if d.certain(now) {
				a.beatSeq = r.Seq
				out = append(out, Order{Verb: Start, ID: a.id(), Try: a.try})
			}
			out = append(out, Order{Verb: Stop, ID: a.id(), Try: a.try})
		case a.stop && !a.seen && a.beatSeq != 0 && r.Seq > a.beatSeq && a.direct != directInFlight && r.Token == d.term:
			d.free(a, "its start was not executed")
		case a.stop:
		case !a.seen && a.durable && d.certain(now) && !m.returning:
			a.beatSeq = r.Seq
			out = append(out, Order{Verb: Start, ID: a.id(), Try: a.try})
		}
	}
	for _, t := range m.strays {
		out = append(out, Order{Verb: Stop, ID: t.ID, Try: t.Try})
	}
	m.strays = m.strays[:0]
	for _, t := range m.ended {
		if a := m.attempts[t.ID]; a != nil && a.try == t.Try {
			continue
		}
		// A start that went directly may be repeated late: only an attempt
		// that the worker still knows makes that harmless.
		if m.tainted[taskTry{t.ID, t.Try}] || !d.certain(now) || !d.pageSettled(t.ID) {
			continue
		}
		out = append(out, Order{Verb: Forget, ID: t.ID, Try: t.Try})
	}
	return out
}

// enter books an attempt.
func (d *dispatcher) enter(a *attempt) {
	a.job.attempts[a.task] = a
	a.job.setTask(a.task, taskActive)
	a.on.attempts[a.id()] = a
	d.books.Book(a.on.id, a.job.spec.Team, a.job.spec.Room)
}

// free takes an attempt out of the books: its place is proved empty, or its
// start was never sent.
func (d *dispatcher) free(a *attempt, why string) {
	j, m := a.job, a.on
	if j.attempts[a.task] != a {
		return
	}
	delete(j.attempts, a.task)
	delete(m.attempts, a.id())
	d.books.Release(m.id, j.spec.Team, j.spec.Room)
	if a.direct != directNone {
		m.tainted[taskTry{a.id(), a.try}] = true
	}
	j.setTask(a.task, taskWaiting)
	d.markPage(j, a.task)
	d.regather(j)
	if m.draining != "" && len(m.attempts) == 0 {
		d.viewAt = time.Time{} // to be returned; the next drain waits for it
	}
	d.log.Debug("attempt over", "job", j.spec.ID, "task", a.task, "try", a.try, "machine", m.id, "why", why)
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
		a.stop, a.graceS = true, graceS
	}
}

// orderStops tells the workers of a job's stopped attempts directly.
func (d *dispatcher) orderStops(j *job) {
	orders := make(map[*machine][]Order)
	for _, a := range j.attempts {
		if a.stop && a.session == a.on.session {
			orders[a.on] = append(orders[a.on], Order{Verb: Stop, ID: a.id(), Try: a.try, GraceS: a.graceS})
		}
	}
	for m, o := range orders {
		d.direct(m, o, nil)
	}
}

// direct sends orders straight to a worker. The starts among them are loose
// until the answer comes.
func (d *dispatcher) direct(m *machine, orders []Order, starts []*attempt) {
	if m.addr == "" || m.session == 0 {
		return
	}
	for _, a := range starts {
		a.direct = directInFlight
	}
	d.send(m, orders, starts, d.settings.Report)
}

func (d *dispatcher) send(m *machine, orders []Order, starts []*attempt, limit time.Duration) {
	addr, session, id := m.addr, m.session, m.id
	go func() {
		ctx, cancel := context.WithTimeout(d.ctx, limit)
		defer cancel()
		outcome, report := d.deps.Workers.Orders(ctx, addr, d.term, session, orders)
		d.post(directMsg{machine: id, greet: len(orders) == 0, starts: starts, outcome: outcome, report: report})
	}()
}

// greet spreads our token to one worker, unless as many as the sockets allow
// are being told already: then its own next report brings it the token.
func (d *dispatcher) greet(m *machine) bool {
	if d.greeting >= d.settings.greets() {
		return false
	}
	if m.token >= d.term || m.returning || m.addr == "" || m.session == 0 {
		return true // knows it, or can't be told
	}
	d.greeting++
	d.send(m, nil, nil, scale(d.settings.Report, greetPerReport))
	return true
}

// greetPerReport is how long a worker has to take our token, in report
// intervals: behind a cut it would only hold a socket.
const greetPerReport = 0.25

// spreadToken tells all known workers at the start of a term that their old
// leader's commands are over, some at a time.
func (d *dispatcher) spreadToken() {
	for len(d.ungreeted) > 0 {
		m := d.ungreeted[0]
		if d.machines[m.id] == m && !d.greet(m) {
			return
		}
		d.ungreeted = d.ungreeted[1:]
	}
}

// handleDirect takes in what became of direct orders.
func (d *dispatcher) handleDirect(msg directMsg) {
	now := time.Now()
	m := d.machines[msg.machine]
	if msg.greet {
		d.greeting--
		d.spreadToken()
	}
	defer d.dropUnsent(msg.starts)
	for _, a := range msg.starts {
		switch msg.outcome {
		case Executed:
			a.direct = directSettled
		case NotSent, Rejected:
			a.direct = directNone
		case Unresolved:
			a.direct = directUnresolved
		}
	}
	if m == nil || msg.report == nil {
		return
	}
	r := msg.report
	if r.Machine != m.id {
		return
	}
	if r.Token > d.term {
		d.stepDown("a worker knows a higher token")
		return
	}
	d.apply(m, r, false, now)
	// What is to be stopped but was first seen here needn't wait for a report.
	d.stopSeen(m)
}

// dropUnsent takes out what was stopped while its start was on its way and
// turned out not to have been executed.
func (d *dispatcher) dropUnsent(starts []*attempt) {
	for _, a := range starts {
		if a.stop && !a.sent() {
			d.free(a, "stopped before its start")
		}
	}
}

// stopSeen tells one worker directly what to stop.
func (d *dispatcher) stopSeen(m *machine) {
	var orders []Order
	for _, a := range m.sortedAttempts() {
		if a.stop && a.seen && a.state != Saving && !a.stopSent {
			a.stopSent = true
			orders = append(orders, Order{Verb: Stop, ID: a.id(), Try: a.try, GraceS: a.graceS})
		}
	}
	if len(orders) > 0 {
		d.direct(m, orders, nil)
	}
}

// expire frees the attempts on machines whose lease has surely ended, and
// gives up starts that no worker takes.
func (d *dispatcher) expire(now time.Time) {
	for _, m := range d.machines {
		if !m.heard && len(m.attempts) == 0 {
			continue
		}
		if now.Before(d.emptyBy(m)) {
			continue
		}
		d.log.Info("lease surely ended", "machine", m.id, "attempts", len(m.attempts))
		for _, a := range m.sortedAttempts() {
			d.free(a, "its lease has surely ended")
		}
		// The next report comes under a later session.
		m.heard, m.lapsed = false, m.session
	}
}

// emptyBy is when a machine that stays silent has surely lost its lease. Until
// it has heard our token, an earlier leader may have been renewing it.
func (d *dispatcher) emptyBy(m *machine) time.Time {
	bound := m.answered.Add(d.settings.leaseBound())
	if !m.heard {
		if b := d.began.Add(d.settings.strangerBound()); b.After(bound) {
			return b
		}
	}
	return bound
}

// taintLimit is how many ended attempts a worker may have to remember for us.
// A report must stay well under the 64 KiB of a request.
const taintLimit = 256

// renewToken gives up the lead once some worker has to remember too much: under
// the next term's token all earlier direct starts are void and may be forgotten.
func (d *dispatcher) renewToken(now time.Time) {
	if !d.certain(now) || now.Sub(d.began) < d.settings.Lease {
		return
	}
	for _, m := range d.machines {
		if len(m.tainted) >= taintLimit {
			d.stepDown("a new token lets ended attempts be forgotten")
			return
		}
	}
}
