package scheduler

import (
	"context"
	"time"

	"sagevale/internal/clock"
	"sagevale/internal/cluster"
	"sagevale/internal/storage"
	"sagevale/internal/worker"
)

// commandsFor returns the commands for the response to a heartbeat, at most maxCommands.
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

// appendAttemptCommands appends the commands for an attempt on the worker that sent the heartbeat. If the attempt is to
// be stopped and was certainly never started, appendAttemptCommands removes it instead.
func (s *scheduler) appendAttemptCommands(commands []worker.Command, a *cluster.Attempt, r *worker.Report, now time.Time) []worker.Command {
	start := worker.Command{Verb: worker.Start, ID: a.ID(), Attempt: a.Number}
	stop := worker.Command{Verb: worker.Stop, ID: a.ID(), Attempt: a.Number}
	switch {
	case a.Stopping && a.Reported:
		if a.State != worker.Saving || a.GraceSeconds == 0 {
			stop.GraceSeconds = a.GraceSeconds
			return append(commands, stop)
		}
	case a.Stopping && !a.StartMayBeDelivered():
		s.removeAttempt(a, "stopped before its start")
	case a.Stopping && (a.Delivery == cluster.DeliveryUnresolved || a.Delivery == cluster.DeliverySettled):
		// The direct start command may still arrive, minutes late. The worker is therefore sent a start and a stop command
		// now, which make it record the attempt. A worker ignores start commands for attempts that it has recorded.
		if s.leaseValid(now) {
			a.RecordStartCommanded(r)
			commands = append(commands, start)
		}
		return append(commands, stop)
	case a.Stopping && !a.Reported && a.CommandedSeq != 0 && a.Delivery != cluster.DeliveryInFlight && s.tokens.Contains(r.Token):
		s.removeAttempt(a, "its start was not executed")
	case a.Stopping:
	case !a.Reported && a.Durable && a.Job.Phase == storage.PhaseOpen && s.leaseValid(now) && !a.Machine.Terminating:
		a.RecordStartCommanded(r)
		return append(commands, start)
	}
	return commands
}

// mayForget reports whether a worker may drop an exited attempt from its reports. The scheduler must have removed the
// attempt, the task's page must be durable, and it must be certain that no direct start command of the attempt can still
// arrive. If one arrived after the worker had dropped the attempt, the worker would run the attempt again.
func (s *scheduler) mayForget(m *cluster.Machine, t worker.TaskReport, now time.Time) bool {
	if a := m.Attempts[t.ID]; a != nil && a.Number == t.Attempt {
		return false
	}
	return !m.Fence.MustRetain(cluster.AttemptKey{ID: t.ID, Number: t.Attempt}) && s.leaseValid(now) && s.pageDurable(t.ID)
}

// sendJobStops sends stop commands directly to the workers, for all attempts of a job that are to be stopped.
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

// maxInFlightCommands is how many direct requests to one worker may be in flight. A direct request is sent to the worker's
// address, without waiting for a heartbeat. A worker that doesn't answer gets further commands only in the responses to its
// heartbeats, so that sockets remain available for other workers.
const maxInFlightCommands = 3

// sendCommands sends commands directly to a worker. starts are the attempts that the commands start. Until the worker
// responds it is unknown whether the worker has executed the commands. sendCommands sends nothing if the worker's address or
// incarnation is unknown, or if maxInFlightCommands requests to the worker are in flight.
func (s *scheduler) sendCommands(m *cluster.Machine, commands []worker.Command, starts []*cluster.Attempt) {
	if m.Addr == "" || m.Incarnation == 0 || m.InFlight >= maxInFlightCommands {
		return
	}
	for _, a := range starts {
		a.Delivery, a.DeliveryToken = cluster.DeliveryInFlight, m.Fence.Token()
	}
	s.sendInBackground(m, commands, starts, s.settings.HeartbeatInterval)
}

// sendInBackground sends a direct request to a worker in the background, and posts its outcome to the scheduler. A
// request without commands announces the fencing token.
func (s *scheduler) sendInBackground(m *cluster.Machine, commands []worker.Command, starts []*cluster.Attempt, timeout time.Duration) {
	addr, token, incarnation, id := m.Addr, m.Fence.Token(), m.Incarnation, m.ID
	m.InFlight++
	var sendBy time.Time
	if len(starts) > 0 {
		sendBy = s.role.LeaseValidUntil // the lease may expire if the process is paused before it sends the request
	}
	s.background(timeout, func(ctx context.Context) {
		outcome, report := s.deps.Workers.SendCommands(ctx, addr, token, incarnation, commands, sendBy)
		s.post(commandOutcomeMessage{machine: id, announcement: len(commands) == 0, starts: starts, outcome: outcome, report: report})
	})
}

// announceToken sends this term's fencing token to a worker. It sends nothing to a worker that already has a token of this
// term or that can't be reached. It returns false only if MaxTokenAnnouncements announcements to workers are in flight
// already, so that it can send none now. A worker without an announcement gets the token in the response to its next heartbeat.
func (s *scheduler) announceToken(m *cluster.Machine) bool {
	if s.announcements >= s.settings.MaxTokenAnnouncements() {
		return false
	}
	if m.Token >= s.tokens.First || m.Terminating || m.Addr == "" || m.Incarnation == 0 {
		return true // the worker has a token of this term, or can't be reached
	}
	s.announcements++
	s.sendInBackground(m, nil, nil, clock.Scale(s.settings.HeartbeatInterval, announceTimeoutPerHeartbeat))
	return true
}

// announceTimeoutPerHeartbeat is the timeout of a token announcement, in heartbeat intervals. It is short so that announcements
// to unreachable workers don't hold sockets for long.
const announceTimeoutPerHeartbeat = 0.25

// announceTokens sends this term's fencing token to the workers that were known at the start of the term, a limited
// number at a time. Workers that have the token reject commands of earlier leaders that arrive late.
func (s *scheduler) announceTokens() {
	for len(s.machinesAwaitingToken) > 0 {
		m := s.machinesAwaitingToken[0]
		if s.state.Machines.Get(m.ID) == m && !s.announceToken(m) {
			return
		}
		s.machinesAwaitingToken = s.machinesAwaitingToken[1:]
	}
}

// handleCommandOutcome handles the outcome of a direct request to a worker.
func (s *scheduler) handleCommandOutcome(msg commandOutcomeMessage) {
	now := time.Now()
	m := s.state.Machines.Get(msg.machine)
	if m != nil {
		m.InFlight = max(0, m.InFlight-1)
		s.updateReachability(m, msg.outcome == worker.Executed || msg.outcome == worker.Rejected, now)
	}
	if msg.announcement {
		s.announcements--
		s.announceTokens()
	}
	defer s.removeUnstarted(msg.starts)
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
	// This may be the first report that lists some attempts that are to be stopped. Their stop commands are sent now, so
	// that they needn't wait for the next heartbeat.
	s.sendStops(m)
}

// removeUnstarted removes attempts that were marked to be stopped while their start commands were in flight, if the
// outcome shows that the start commands were not executed.
func (s *scheduler) removeUnstarted(starts []*cluster.Attempt) {
	for _, a := range starts {
		if a.Stopping && !a.StartMayBeDelivered() {
			s.removeAttempt(a, "stopped before its start")
		}
	}
}

// sendStops sends stop commands directly to a worker for its attempts that are to be stopped. It skips attempts that no
// report has listed, that already save a checkpoint, or that were sent a direct stop command before.
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

// commandOutcomeMessage carries the outcome of a direct request to a worker.
type commandOutcomeMessage struct {
	machine      int
	announcement bool // the request announced a fencing token and carried no commands
	starts       []*cluster.Attempt
	outcome      worker.CommandOutcome
	report       *worker.Report
}

func (m commandOutcomeMessage) handle(s *scheduler) { s.handleCommandOutcome(m) }
