package scheduler

import (
	"time"

	"sagevale/internal/cluster"
	"sagevale/internal/fencing"
	"sagevale/internal/upgrade"
	"sagevale/internal/worker"
)

// mayRaiseTokens reports whether the leader raises the fencing tokens of workers within a term. A peer that renews leases
// under a delegation must then accept all tokens of the term. Earlier versions don't support that, so raising tokens depends
// on a feature gate.
func (s *scheduler) mayRaiseTokens() bool {
	return s.settings.Tuning.Fencing.Enabled && s.gates.Gate(upgrade.WorkerTokens).Phase == upgrade.GateOpen
}

// raiseToken raises the token of a worker that must retain many ended attempts. A worker retains an ended attempt while a
// late direct command could start the attempt again. The response to the worker's heartbeat carries the new token. Once the
// worker reports the new token, it rejects all direct commands with lower tokens, and needn't retain those attempts any more.
func (s *scheduler) raiseToken(m *cluster.Machine) {
	if !s.mayRaiseTokens() {
		return
	}
	if m.Fence.RaiseIfDue(max(s.settings.Tuning.Fencing.Window, len(m.Attempts)), m.InFlight > 0) {
		s.log.Debug("fencing token raised", "machine", m.ID, "token", m.Fence.Token(), "retained", m.Fence.Retained())
	}
}

// maxAttemptsForDirectStarts limits the starts by direct commands while tokens can't be raised. It is the largest number of
// attempts on a worker, live and retained ended ones together, with which direct commands may start tasks of jobs that aren't
// urgent. The remaining capacity, up to MaxRetained, is reserved for urgent jobs. Without this limit, a flood of short tasks
// would fill the workers' fences with retained attempts, and the leader would have to resign.
const maxAttemptsForDirectStarts = fencing.MaxRetained / 2

// directStartsAllowed reports whether tasks of a job may be started on a worker by direct commands. If the worker must retain
// too many ended attempts, the responses to its heartbeats carry the start commands instead. Start commands in responses are
// never executed late, so the worker needn't retain the attempts that they start.
func (s *scheduler) directStartsAllowed(m *cluster.Machine, j *cluster.Job) bool {
	if s.mayRaiseTokens() {
		return !m.Fence.Full()
	}
	return j.Urgent() || m.Fence.Retained()+len(m.Attempts) <= maxAttemptsForDirectStarts
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

// resignIfFencesFull resigns leadership if a worker must retain too many ended attempts and tokens can't be raised within the
// term. Once the worker has a token of the next term, it rejects all direct start commands of this term, and needn't retain
// those attempts any more.
func (s *scheduler) resignIfFencesFull(now time.Time) {
	if s.mayRaiseTokens() || !s.leaseValid(now) || now.Sub(s.termStarted) < s.settings.WorkerLease {
		return
	}
	for _, m := range s.state.Machines.InOrder() {
		if m.Fence.Full() {
			s.resignLeadership("a worker must retain too many ended attempts")
			return
		}
	}
}
