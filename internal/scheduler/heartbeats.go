package scheduler

import (
	"time"

	"sagevale/internal/worker"
)

// handleHeartbeat handles a worker's heartbeat and returns the response. Accepting a heartbeat renews the worker's lease.
func (s *scheduler) handleHeartbeat(r *worker.Report) worker.HeartbeatResponse {
	now := time.Now()
	if r.Token > s.tokens.Last {
		s.handleHigherToken(r, now)
		return worker.HeartbeatResponse{Busy: true}
	}
	if now.After(s.role.RenewWorkersUntil) {
		// A new leader may have confirmed a cancellation, and it relies on the expiry of the workers' leases to end the
		// job's tasks.
		return worker.HeartbeatResponse{Busy: true}
	}
	if s.terminated[r.Machine] {
		return worker.HeartbeatResponse{Busy: true}
	}
	m := s.state.EnsureMachine(r.Machine, now)
	if m.Stale(r) {
		// A report that arrives again or out of order doesn't show the current state, and must not renew the lease.
		return worker.HeartbeatResponse{Busy: true}
	}
	lacksToken := m.Token < s.tokens.First
	s.applyReport(m, r, true, now)
	m.LastAcknowledged = now
	if lacksToken && r.Token < s.tokens.First {
		// A worker's reports don't prove that attempts are absent until the worker has a token of this term. Announcing
		// the token directly saves one heartbeat interval.
		s.announceToken(m)
	}
	s.raiseToken(m)
	return worker.HeartbeatResponse{Accepted: true, Token: m.Fence.Token(), Commands: s.commandsFor(m, r, now)}
}

// heartbeatsMessage carries a batch of workers' heartbeats to the scheduler.
type heartbeatsMessage struct {
	reports []*worker.Report
	reply   chan []worker.HeartbeatResponse
}

func (m heartbeatsMessage) handle(s *scheduler) {
	responses := make([]worker.HeartbeatResponse, 0, len(m.reports))
	for _, r := range m.reports {
		responses = append(responses, s.handleHeartbeat(r))
	}
	m.reply <- responses
}
