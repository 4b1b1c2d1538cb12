package scheduler

import (
	"context"
	"time"

	"sagevale/internal/clock"
	"sagevale/internal/cluster"
	"sagevale/internal/storage"
	"sagevale/internal/worker"
)

// commandsFor returns the commands in the response to a heartbeat.
func (s *scheduler) commandsFor(m *cluster.Machine, r *worker.Report, now time.Time) []worker.Command {
	var commands []worker.Command
	for _, a := range m.SortedAttempts() {
		if a.Incarnation == r.Incarnation {
			commands = s.appendAttemptCommands(commands, a, r, now)
		}
	}
	for _, t := range m.Orphans {
		commands = append(commands, worker.Command{Verb: worker.Stop, ID: t.ID, Attempt: t.Attempt})
	}
	m.Orphans = m.Orphans[:0]
	for _, t := range m.Exited {
		if s.mayForget(m, t, now) {
			commands = append(commands, worker.Command{Verb: worker.Forget, ID: t.ID, Attempt: t.Attempt})
		}
	}
	return commands[:min(len(commands), maxCommands)]
}

// appendAttemptCommands appends the commands for an attempt of the worker that sent the heartbeat. An attempt that is to
// be stopped and provably wasn't started is removed instead.
func (s *scheduler) appendAttemptCommands(commands []worker.Command, a *cluster.Attempt, r *worker.Report, now time.Time) []worker.Command {
	start := worker.Command{Verb: worker.Start, ID: a.ID(), Attempt: a.Number}
	stop := worker.Command{Verb: worker.Stop, ID: a.ID(), Attempt: a.Number}
	switch {
	case a.Stopping && a.Reported:
		if a.State != worker.Saving || a.GraceSeconds == 0 {
			stop.GraceSeconds = a.GraceSeconds
			return append(commands, stop)
		}
	case a.Stopping && !a.MaybeDelivered():
		s.removeAttempt(a, "stopped before its start")
	case a.Stopping && (a.Delivery == cluster.DeliveryUnresolved || a.Delivery == cluster.DeliverySettled):
		// The direct start may still arrive, minutes late. Starting and stopping the attempt now makes the worker know
		// it, and so ignore the late start.
		if s.leaseValid(now) {
			a.NoteCommanded(r)
			commands = append(commands, start)
		}
		return append(commands, stop)
	case a.Stopping && !a.Reported && a.CommandedSeq != 0 && a.Delivery != cluster.DeliveryInFlight && s.tokens.Contains(r.Token):
		s.removeAttempt(a, "its start was not executed")
	case a.Stopping:
	case !a.Reported && a.Durable && a.Job.Phase == storage.Open && s.leaseValid(now) && !a.Machine.Terminating:
		a.NoteCommanded(r)
		return append(commands, start)
	}
	return commands
}

// mayForget reports whether a worker may forget an exited attempt: it is no longer known here, its result is durable, and
// no direct start of it can arrive late. Such a start is harmless only while the worker still knows the attempt.
func (s *scheduler) mayForget(m *cluster.Machine, t worker.TaskReport, now time.Time) bool {
	if a := m.Attempts[t.ID]; a != nil && a.Number == t.Attempt {
		return false
	}
	return !m.Fence.MustRetain(cluster.AttemptKey{ID: t.ID, Number: t.Attempt}) && s.leaseValid(now) && s.pageDurable(t.ID)
}

// sendJobStops sends the workers of a job's stopped attempts their stops directly.
func (s *scheduler) sendJobStops(j *cluster.Job) {
	commands := make(map[*cluster.Machine][]worker.Command)
	for _, a := range j.Attempts {
		if a.Stopping && a.Incarnation == a.Machine.Incarnation {
			commands[a.Machine] = append(commands[a.Machine], worker.Command{Verb: worker.Stop, ID: a.ID(), Attempt: a.Number, GraceSeconds: a.GraceSeconds})
		}
	}
	for m, stops := range commands {
		s.sendCommands(m, stops, nil)
	}
}

// maxInFlightCommands is how many direct requests to a worker may be in flight. A worker that doesn't answer them gets
// further commands in the responses to its heartbeats, and the sockets are left for others.
const maxInFlightCommands = 3

// sendCommands sends commands to a worker directly. It is unknown whether the starts among them are executed until the
// worker responds.
func (s *scheduler) sendCommands(m *cluster.Machine, commands []worker.Command, starts []*cluster.Attempt) {
	if m.Addr == "" || m.Incarnation == 0 || m.InFlight >= maxInFlightCommands {
		return
	}
	for _, a := range starts {
		a.Delivery, a.DeliveryToken = cluster.DeliveryInFlight, m.Fence.Token()
	}
	s.deliver(m, commands, starts, s.settings.HeartbeatInterval)
}

// deliver makes a direct request to a worker in the background, and posts its outcome to the scheduler.
func (s *scheduler) deliver(m *cluster.Machine, commands []worker.Command, starts []*cluster.Attempt, limit time.Duration) {
	addr, token, incarnation, id := m.Addr, m.Fence.Token(), m.Incarnation, m.ID
	m.InFlight++
	var sendBy time.Time
	if len(starts) > 0 {
		sendBy = s.role.LeaseValidUntil // a paused process may send it late
	}
	s.background(limit, func(ctx context.Context) {
		outcome, report := s.deps.Workers.SendCommands(ctx, addr, token, incarnation, commands, sendBy)
		s.post(deliveredMessage{machine: id, announcement: len(commands) == 0, starts: starts, outcome: outcome, report: report})
	})
}

// announceToken sends this term's fencing token to a worker. It returns false if as many announcements are in flight as
// the sockets allow; the worker then gets the token in the response to its next heartbeat.
func (s *scheduler) announceToken(m *cluster.Machine) bool {
	if s.announcements >= s.settings.MaxTokenAnnouncements() {
		return false
	}
	if m.Token >= s.tokens.First || m.Terminating || m.Addr == "" || m.Incarnation == 0 {
		return true // it knows the token, or can't be reached
	}
	s.announcements++
	s.deliver(m, nil, nil, clock.Scale(s.settings.HeartbeatInterval, announcePerHeartbeat))
	return true
}

// announcePerHeartbeat is the timeout of a token announcement, in heartbeat intervals. It is short because unreachable
// workers only hold sockets.
const announcePerHeartbeat = 0.25

// announceTokens sends this term's fencing token to all workers that are known at its start, a limited number at a time,
// so that they reject late commands of the earlier leader.
func (s *scheduler) announceTokens() {
	for len(s.tokenPending) > 0 {
		m := s.tokenPending[0]
		if s.state.Machines.Get(m.ID) == m && !s.announceToken(m) {
			return
		}
		s.tokenPending = s.tokenPending[1:]
	}
}

// handleDelivered handles the outcome of direct commands.
func (s *scheduler) handleDelivered(msg deliveredMessage) {
	now := time.Now()
	m := s.state.Machines.Get(msg.machine)
	if m != nil {
		m.InFlight = max(0, m.InFlight-1)
		s.noteReachable(m, msg.outcome == worker.Executed || msg.outcome == worker.Rejected, now)
	}
	if msg.announcement {
		s.announcements--
		s.announceTokens()
	}
	defer s.dropUnsent(msg.starts)
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
	if r.Token > s.tokens.Last {
		s.handleHigherToken(r, now)
		return
	}
	s.applyReport(m, r, false, now)
	// Attempts to be stopped that are first reported here needn't wait for a heartbeat.
	s.sendStops(m)
}

// dropUnsent removes attempts that were stopped while their starts were in flight, if these turned out not to have been
// executed.
func (s *scheduler) dropUnsent(starts []*cluster.Attempt) {
	for _, a := range starts {
		if a.Stopping && !a.MaybeDelivered() {
			s.removeAttempt(a, "stopped before its start")
		}
	}
}

// sendStops sends a worker the stops of its attempts directly.
func (s *scheduler) sendStops(m *cluster.Machine) {
	var commands []worker.Command
	for _, a := range m.SortedAttempts() {
		if a.Stopping && a.Reported && a.State != worker.Saving && !a.StopCommanded {
			a.StopCommanded = true
			commands = append(commands, worker.Command{Verb: worker.Stop, ID: a.ID(), Attempt: a.Number, GraceSeconds: a.GraceSeconds})
		}
	}
	if len(commands) > 0 {
		s.sendCommands(m, commands, nil)
	}
}

// deliveredMessage is the outcome of commands that were sent directly.
type deliveredMessage struct {
	machine      int
	announcement bool // of a fencing token, without commands
	starts       []*cluster.Attempt
	outcome      worker.Outcome
	report       *worker.Report
}

func (m deliveredMessage) handle(s *scheduler) { s.handleDelivered(m) }
