package scheduler

import (
	"context"
	"time"

	"sagevale/internal/clock"
	"sagevale/internal/storage"
	"sagevale/internal/worker"
)

// commandsFor makes the orders that go with the answer to a report.
func (d *scheduler) commandsFor(m *machine, r *worker.Report, now time.Time) []worker.Command {
	var out []worker.Command
	for _, a := range m.sortedAttempts() {
		if a.incarnation != r.Incarnation {
			continue
		}
		switch {
		case a.stopping && a.reported:
			if a.state != worker.Saving || a.graceSeconds == 0 {
				out = append(out, worker.Command{Verb: worker.Stop, ID: a.id(), Attempt: a.number, GraceSeconds: a.graceSeconds})
			}
		case a.stopping && !a.maybeDelivered():
			d.removeAttempt(a, "stopped before its start")
		case a.stopping && (a.delivery == deliveryUnresolved || a.delivery == deliverySettled):
			// The start may still come, minutes late. Having the worker learn
			// the attempt and end it makes the late start void.
			if d.leaseValid(now) {
				a.noteCommanded(r)
				out = append(out, worker.Command{Verb: worker.Start, ID: a.id(), Attempt: a.number})
			}
			out = append(out, worker.Command{Verb: worker.Stop, ID: a.id(), Attempt: a.number})
		case a.stopping && !a.reported && a.commandedSeq != 0 && a.delivery != deliveryInFlight && d.tokens.Contains(r.Token):
			d.removeAttempt(a, "its start was not executed")
		case a.stopping:
		case !a.reported && a.durable && a.job.phase == storage.Open && d.leaseValid(now) && !m.terminating:
			a.noteCommanded(r)
			out = append(out, worker.Command{Verb: worker.Start, ID: a.id(), Attempt: a.number})
		}
	}
	for _, t := range m.orphans {
		out = append(out, worker.Command{Verb: worker.Stop, ID: t.ID, Attempt: t.Attempt})
	}
	m.orphans = m.orphans[:0]
	for _, t := range m.exited {
		if a := m.attempts[t.ID]; a != nil && a.number == t.Attempt {
			continue
		}
		// A start that went directly may be repeated late: only an attempt
		// that the worker still knows makes that harmless.
		if m.fence.MustRetain(attemptKey{t.ID, t.Attempt}) || !d.leaseValid(now) || !d.pageDurable(t.ID) {
			continue
		}
		out = append(out, worker.Command{Verb: worker.Forget, ID: t.ID, Attempt: t.Attempt})
	}
	return out[:min(len(out), maxCommands)]
}

// commandJobStops tells the workers of a job's stopped attempts directly.
func (d *scheduler) commandJobStops(j *job) {
	orders := make(map[*machine][]worker.Command)
	for _, a := range j.attempts {
		if a.stopping && a.incarnation == a.machine.incarnation {
			orders[a.machine] = append(orders[a.machine], worker.Command{Verb: worker.Stop, ID: a.id(), Attempt: a.number, GraceSeconds: a.graceSeconds})
		}
	}
	for m, o := range orders {
		d.sendCommands(m, o, nil)
	}
}

// maxInFlightCommands is how many direct orders may be on their way to a worker. One that
// leaves them unanswered gets the rest with its reports, and its sockets are for
// others.
const maxInFlightCommands = 3

// sendCommands sends orders straight to a worker. The starts among them are loose
// until the answer comes.
func (d *scheduler) sendCommands(m *machine, orders []worker.Command, starts []*attempt) {
	if m.addr == "" || m.incarnation == 0 || m.inFlight >= maxInFlightCommands {
		return
	}
	for _, a := range starts {
		a.delivery, a.deliveryToken = deliveryInFlight, m.fence.Token()
	}
	d.deliver(m, orders, starts, d.settings.HeartbeatInterval)
}

func (d *scheduler) deliver(m *machine, orders []worker.Command, starts []*attempt, limit time.Duration) {
	addr, token, session, id := m.addr, m.fence.Token(), m.incarnation, m.id
	m.inFlight++
	var sendBy time.Time
	if len(starts) > 0 {
		sendBy = d.role.LeaseValidUntil // a process that falls behind may get to it late
	}
	go func() {
		ctx, cancel := context.WithTimeout(d.lifetime, limit)
		defer cancel()
		outcome, report := d.deps.Workers.SendCommands(ctx, addr, token, session, orders, sendBy)
		d.post(deliveredMsg{machine: id, announcement: len(orders) == 0, starts: starts, outcome: outcome, report: report})
	}()
}

// announceToken spreads our token to one worker, unless as many as the sockets allow
// are being told already: then its own next report brings it the token.
func (d *scheduler) announceToken(m *machine) bool {
	if d.announcements >= d.settings.MaxTokenAnnouncements() {
		return false
	}
	if m.token >= d.tokens.First || m.terminating || m.addr == "" || m.incarnation == 0 {
		return true // knows it, or can't be told
	}
	d.announcements++
	d.deliver(m, nil, nil, clock.Scale(d.settings.HeartbeatInterval, announcePerHeartbeat))
	return true
}

// announcePerHeartbeat is how long a worker has to take our token, in report
// intervals: behind a cut it would only hold a socket.
const announcePerHeartbeat = 0.25

// announceTokens tells all known workers at the start of a term that their old
// leader's commands are over, some at a time.
func (d *scheduler) announceTokens() {
	for len(d.tokenPending) > 0 {
		m := d.tokenPending[0]
		if d.state.machines.get(m.id) == m && !d.announceToken(m) {
			return
		}
		d.tokenPending = d.tokenPending[1:]
	}
}

// handleDelivered takes in what became of direct orders.
func (d *scheduler) handleDelivered(msg deliveredMsg) {
	now := time.Now()
	m := d.state.machines.get(msg.machine)
	if m != nil {
		m.inFlight = max(0, m.inFlight-1)
		d.noteReachable(m, msg.outcome == worker.Executed || msg.outcome == worker.Rejected, now)
	}
	if msg.announcement {
		d.announcements--
		d.announceTokens()
	}
	defer d.dropUnsent(msg.starts)
	for _, a := range msg.starts {
		switch msg.outcome {
		case worker.Executed:
			a.delivery = deliverySettled
		case worker.NotSent, worker.Rejected:
			a.delivery = deliveryNone
		case worker.Unresolved:
			a.delivery = deliveryUnresolved
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
		d.handleHigherToken(r, now)
		return
	}
	d.applyReport(m, r, false, now)
	// What is to be stopped but was first seen here needn't wait for a report.
	d.commandStops(m)
}

// dropUnsent takes out what was stopped while its start was on its way and
// turned out not to have been executed.
func (d *scheduler) dropUnsent(starts []*attempt) {
	for _, a := range starts {
		if a.stopping && !a.maybeDelivered() {
			d.removeAttempt(a, "stopped before its start")
		}
	}
}

// commandStops tells one worker directly what to stop.
func (d *scheduler) commandStops(m *machine) {
	var orders []worker.Command
	for _, a := range m.sortedAttempts() {
		if a.stopping && a.reported && a.state != worker.Saving && !a.stopCommanded {
			a.stopCommanded = true
			orders = append(orders, worker.Command{Verb: worker.Stop, ID: a.id(), Attempt: a.number, GraceSeconds: a.graceSeconds})
		}
	}
	if len(orders) > 0 {
		d.sendCommands(m, orders, nil)
	}
}
