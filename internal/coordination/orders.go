package coordination

import (
	"context"
	"time"

	"sagevale/internal/storage"
)

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
				a.orderedIn(r)
				out = append(out, Order{Verb: Start, ID: a.id(), Try: a.try})
			}
			out = append(out, Order{Verb: Stop, ID: a.id(), Try: a.try})
		case a.stop && !a.seen && a.orderedSeq != 0 && a.direct != directInFlight && d.tokens.Contains(r.Token):
			d.free(a, "its start was not executed")
		case a.stop:
		case !a.seen && a.durable && a.job.phase == storage.Open && d.certain(now) && !m.returning:
			a.orderedIn(r)
			out = append(out, Order{Verb: Start, ID: a.id(), Try: a.try})
		}
	}
	for _, t := range m.orphans {
		out = append(out, Order{Verb: Stop, ID: t.ID, Try: t.Try})
	}
	m.orphans = m.orphans[:0]
	for _, t := range m.ended {
		if a := m.attempts[t.ID]; a != nil && a.try == t.Try {
			continue
		}
		// A start that went directly may be repeated late: only an attempt
		// that the worker still knows makes that harmless.
		if m.fence.MustRetain(taskTry{t.ID, t.Try}) || !d.certain(now) || !d.pageSettled(t.ID) {
			continue
		}
		out = append(out, Order{Verb: Forget, ID: t.ID, Try: t.Try})
	}
	return out[:min(len(out), ordersMost)]
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

// directMost is how many direct orders may be on their way to a worker. One that
// leaves them unanswered gets the rest with its reports, and its sockets are for
// others.
const directMost = 3

// direct sends orders straight to a worker. The starts among them are loose
// until the answer comes.
func (d *dispatcher) direct(m *machine, orders []Order, starts []*attempt) {
	if m.addr == "" || m.session == 0 || m.inFlight >= directMost {
		return
	}
	for _, a := range starts {
		a.direct, a.directToken = directInFlight, m.fence.Token()
	}
	d.send(m, orders, starts, d.settings.HeartbeatInterval)
}

func (d *dispatcher) send(m *machine, orders []Order, starts []*attempt, limit time.Duration) {
	addr, token, session, id := m.addr, m.fence.Token(), m.session, m.id
	m.inFlight++
	var sendBy time.Time
	if len(starts) > 0 {
		sendBy = d.role.Certain // a process that falls behind may get to it late
	}
	go func() {
		ctx, cancel := context.WithTimeout(d.ctx, limit)
		defer cancel()
		outcome, report := d.deps.Workers.SendCommands(ctx, addr, token, session, orders, sendBy)
		d.post(directMsg{machine: id, announcement: len(orders) == 0, starts: starts, outcome: outcome, report: report})
	}()
}

// announceToken spreads our token to one worker, unless as many as the sockets allow
// are being told already: then its own next report brings it the token.
func (d *dispatcher) announceToken(m *machine) bool {
	if d.announcing >= d.settings.maxAnnouncements() {
		return false
	}
	if m.token >= d.tokens.First || m.returning || m.addr == "" || m.session == 0 {
		return true // knows it, or can't be told
	}
	d.announcing++
	d.send(m, nil, nil, scale(d.settings.HeartbeatInterval, announcePerReport))
	return true
}

// announcePerReport is how long a worker has to take our token, in report
// intervals: behind a cut it would only hold a socket.
const announcePerReport = 0.25

// announceTokens tells all known workers at the start of a term that their old
// leader's commands are over, some at a time.
func (d *dispatcher) announceTokens() {
	for len(d.unannounced) > 0 {
		m := d.unannounced[0]
		if d.machines[m.id] == m && !d.announceToken(m) {
			return
		}
		d.unannounced = d.unannounced[1:]
	}
}

// handleDirect takes in what became of direct orders.
func (d *dispatcher) handleDirect(msg directMsg) {
	now := time.Now()
	m := d.machines[msg.machine]
	if m != nil {
		m.inFlight = max(0, m.inFlight-1)
		d.reached(m, msg.outcome == Executed || msg.outcome == Rejected, now)
	}
	if msg.announcement {
		d.announcing--
		d.announceTokens()
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
	if r.Token > d.tokens.Last {
		d.handleLaterToken(r, now)
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
