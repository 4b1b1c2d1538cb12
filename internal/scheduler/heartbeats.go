package scheduler

import (
	"time"

	"sagevale/internal/worker"
)

// handleHeartbeat returns the response to a worker's heartbeat. An accepted heartbeat renews the worker's lease.
func (s *scheduler) handleHeartbeat(r *worker.Report) worker.HeartbeatResponse {
	now := time.Now()
	if r.Token > s.tokens.Last {
		s.handleHigherToken(r, now)
		return worker.HeartbeatResponse{Busy: true}
	}
	if now.After(s.role.RenewUntil) {
		// A successor may have answered a cancellation, relying on the workers' leases to expire.
		return worker.HeartbeatResponse{Busy: true}
	}
	if s.terminated[r.Machine] {
		return worker.HeartbeatResponse{Busy: true}
	}
	m := s.state.EnsureMachine(r.Machine, now)
	if m.Stale(r) {
		// A late copy neither tells the present state nor renews the lease.
		return worker.HeartbeatResponse{Busy: true}
	}
	first := m.Token < s.tokens.First
	s.applyReport(m, r, true, now)
	m.LastAcknowledged = now
	if first && r.Token < s.tokens.First {
		// A worker's reports prove nothing until it has seen our token. Announcing that directly saves a heartbeat
		// interval.
		s.announceToken(m)
	}
	s.raiseToken(m)
	return worker.HeartbeatResponse{Accepted: true, Token: m.Fence.Token(), Commands: s.commandsFor(m, r, now)}
}

// heartbeatsMessage is a batch of workers' heartbeats.
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
