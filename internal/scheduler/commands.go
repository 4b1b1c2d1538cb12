package scheduler

import (
	"context"
	"time"

	"sagevale/internal/clock"
	"sagevale/internal/cluster"
	"sagevale/internal/storage"
	"sagevale/internal/worker"
)

// commandsFor makes the orders that go with the answer to a report.
func (d *scheduler) commandsFor(m *cluster.Machine, r *worker.Report, now time.Time) []worker.Command {
	var out []worker.Command
	for _, a := range m.SortedAttempts() {
		if a.Incarnation != r.Incarnation {
			continue
		}
		switch {
		case a.Stopping && a.Reported:
			if a.State != worker.Saving || a.GraceSeconds == 0 {
				out = append(out, worker.Command{Verb: worker.Stop, ID: a.ID(), Attempt: a.Number, GraceSeconds: a.GraceSeconds})
			}
		case a.Stopping && !a.MaybeDelivered():
			d.removeAttempt(a, "stopped before its start")
		case a.Stopping && (a.Delivery == cluster.DeliveryUnresolved || a.Delivery == cluster.DeliverySettled):
			// The start may still come, minutes late. Having the worker learn
			// the attempt and end it makes the late start void.
			if d.leaseValid(now) {
				a.NoteCommanded(r)
				out = append(out, worker.Command{Verb: worker.Start, ID: a.ID(), Attempt: a.Number})
			}
			out = append(out, worker.Command{Verb: worker.Stop, ID: a.ID(), Attempt: a.Number})
		case a.Stopping && !a.Reported && a.CommandedSeq != 0 && a.Delivery != cluster.DeliveryInFlight && d.tokens.Contains(r.Token):
			d.removeAttempt(a, "its start was not executed")
		case a.Stopping:
		case !a.Reported && a.Durable && a.Job.Phase == storage.Open && d.leaseValid(now) && !m.Terminating:
			a.NoteCommanded(r)
			out = append(out, worker.Command{Verb: worker.Start, ID: a.ID(), Attempt: a.Number})
		}
	}
	for _, t := range m.Orphans {
		out = append(out, worker.Command{Verb: worker.Stop, ID: t.ID, Attempt: t.Attempt})
	}
	m.Orphans = m.Orphans[:0]
	for _, t := range m.Exited {
		if a := m.Attempts[t.ID]; a != nil && a.Number == t.Attempt {
			continue
		}
		// A start that went directly may be repeated late: only an attempt
		// that the worker still knows makes that harmless.
		if m.Fence.MustRetain(cluster.AttemptKey{ID: t.ID, Number: t.Attempt}) || !d.leaseValid(now) || !d.pageDurable(t.ID) {
			continue
		}
		out = append(out, worker.Command{Verb: worker.Forget, ID: t.ID, Attempt: t.Attempt})
	}
	return out[:min(len(out), maxCommands)]
}

// commandJobStops tells the workers of a job's stopped attempts directly.
func (d *scheduler) commandJobStops(j *cluster.Job) {
	orders := make(map[*cluster.Machine][]worker.Command)
	for _, a := range j.Attempts {
		if a.Stopping && a.Incarnation == a.Machine.Incarnation {
			orders[a.Machine] = append(orders[a.Machine], worker.Command{Verb: worker.Stop, ID: a.ID(), Attempt: a.Number, GraceSeconds: a.GraceSeconds})
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
func (d *scheduler) sendCommands(m *cluster.Machine, orders []worker.Command, starts []*cluster.Attempt) {
	if m.Addr == "" || m.Incarnation == 0 || m.InFlight >= maxInFlightCommands {
		return
	}
	for _, a := range starts {
		a.Delivery, a.DeliveryToken = cluster.DeliveryInFlight, m.Fence.Token()
	}
	d.deliver(m, orders, starts, d.settings.HeartbeatInterval)
}

func (d *scheduler) deliver(m *cluster.Machine, orders []worker.Command, starts []*cluster.Attempt, limit time.Duration) {
	addr, token, session, id := m.Addr, m.Fence.Token(), m.Incarnation, m.ID
	m.InFlight++
	var sendBy time.Time
	if len(starts) > 0 {
		sendBy = d.role.LeaseValidUntil // a process that falls behind may get to it late
	}
	d.background(limit, func(ctx context.Context) {
		outcome, report := d.deps.Workers.SendCommands(ctx, addr, token, session, orders, sendBy)
		d.post(deliveredMessage{machine: id, announcement: len(orders) == 0, starts: starts, outcome: outcome, report: report})
	})
}

// announceToken spreads our token to one worker, unless as many as the sockets allow
// are being told already: then its own next report brings it the token.
func (d *scheduler) announceToken(m *cluster.Machine) bool {
	if d.announcements >= d.settings.MaxTokenAnnouncements() {
		return false
	}
	if m.Token >= d.tokens.First || m.Terminating || m.Addr == "" || m.Incarnation == 0 {
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
		if d.state.Machines.Get(m.ID) == m && !d.announceToken(m) {
			return
		}
		d.tokenPending = d.tokenPending[1:]
	}
}

// handleDelivered takes in what became of direct orders.
func (d *scheduler) handleDelivered(msg deliveredMessage) {
	now := time.Now()
	m := d.state.Machines.Get(msg.machine)
	if m != nil {
		m.InFlight = max(0, m.InFlight-1)
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
			a.Delivery = cluster.DeliverySettled
		case worker.NotSent, worker.Rejected:
			a.Delivery = cluster.DeliveryNone
		case worker.Unresolved:
			a.Delivery = cluster.DeliveryUnresolved
		}
	}
	if m == nil || msg.report == nil {
		return
	}
	r := msg.report
	if r.Machine != m.ID {
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
func (d *scheduler) dropUnsent(starts []*cluster.Attempt) {
	for _, a := range starts {
		if a.Stopping && !a.MaybeDelivered() {
			d.removeAttempt(a, "stopped before its start")
		}
	}
}

// commandStops tells one worker directly what to stop.
func (d *scheduler) commandStops(m *cluster.Machine) {
	var orders []worker.Command
	for _, a := range m.SortedAttempts() {
		if a.Stopping && a.Reported && a.State != worker.Saving && !a.StopCommanded {
			a.StopCommanded = true
			orders = append(orders, worker.Command{Verb: worker.Stop, ID: a.ID(), Attempt: a.Number, GraceSeconds: a.GraceSeconds})
		}
	}
	if len(orders) > 0 {
		d.sendCommands(m, orders, nil)
	}
}

// deliveredMessage tells what became of commands that were sent directly.
type deliveredMessage struct {
	machine      int
	announcement bool // of a fencing token, without commands
	starts       []*cluster.Attempt
	outcome      worker.Outcome
	report       *worker.Report
}

func (m deliveredMessage) handle(d *scheduler) { d.handleDelivered(m) }
