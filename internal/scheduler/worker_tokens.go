package scheduler

import (
	"time"

	"sagevale/internal/cluster"
	"sagevale/internal/fencing"
	"sagevale/internal/upgrade"
	"sagevale/internal/worker"
)

// fencingInForce reports whether the tokens of workers are raised within a term. While they are, peers renew leases for the
// term's whole range of tokens. Earlier versions don't support that, so it depends on a feature gate.
func (s *scheduler) fencingInForce() bool {
	return s.settings.Tuning.Fencing.Enabled && s.gates.Gate(upgrade.WorkerTokens).Phase == upgrade.GateOpen
}

// raiseToken raises the token of a worker that must retain many ended attempts. The response to the worker's heartbeat
// carries the new token. Once the worker reports it, it rejects all direct commands under earlier tokens and may forget
// those attempts.
func (s *scheduler) raiseToken(m *cluster.Machine) {
	if !s.fencingInForce() {
		return
	}
	if m.Fence.RaiseIfDue(max(s.settings.Tuning.Fencing.Window, len(m.Attempts)), m.InFlight > 0) {
		s.log.Debug("fencing token raised", "machine", m.ID, "token", m.Fence.Token(), "retained", m.Fence.Retained())
	}
}

// maxDirectBacklog is how many attempts a worker may have, live ones and retained ended ones together, for work that isn't
// urgent to be started on it by a direct command. The remaining capacity is reserved for urgent work. Without this limit a
// flood of short tasks would fill the fences, and the leader would have to resign.
const maxDirectBacklog = fencing.MaxRetained / 2

// directStartsAllowed reports whether tasks of a job may be started on a worker by direct commands. A worker that must retain
// too many ended attempts gets its start commands in the responses to its heartbeats. Those commands are never executed
// late, so their attempts needn't be retained.
func (s *scheduler) directStartsAllowed(m *cluster.Machine, j *cluster.Job) bool {
	if s.fencingInForce() {
		return !m.Fence.Full()
	}
	return j.Urgent() || m.Fence.Retained()+len(m.Attempts) <= maxDirectBacklog
}

// handleHigherToken handles a report with a token above this term's range. Such a token comes from a new leader, so this
// leader resigns. While this leader's lease is valid there can't be a new leader, so the token is wrong and the report is
// ignored.
func (s *scheduler) handleHigherToken(r *worker.Report, now time.Time) {
	if s.leaseValid(now) {
		s.log.Debug("unexpected fencing token", "machine", r.Machine, "token", r.Token)
		return
	}
	s.resignLeadership("higher fencing token reported")
}

// resignIfFencesFull resigns leadership if some worker must retain too many ended attempts and tokens can't be raised within
// the term. Once the worker has a token of the next term it rejects all earlier direct start commands, so those attempts
// needn't be retained any more.
func (s *scheduler) resignIfFencesFull(now time.Time) {
	if s.fencingInForce() || !s.leaseValid(now) || now.Sub(s.termStarted) < s.settings.WorkerLease {
		return
	}
	for _, m := range s.state.Machines.InOrder() {
		if m.Fence.Full() {
			s.resignLeadership("a worker must retain too many ended attempts")
			return
		}
	}
}
