package scheduler

import (
	"time"

	"sagevale/internal/cluster"
	"sagevale/internal/fencing"
	"sagevale/internal/upgrade"
	"sagevale/internal/worker"
)

// fencingInForce reports whether tokens are raised within the term. Then peers renew leases by the range of tokens, which
// earlier versions don't know.
func (s *scheduler) fencingInForce() bool {
	return s.settings.Tuning.Fencing.Enabled && s.gates.Gate(upgrade.WorkerTokens).Phase == upgrade.GateOpen
}

// raiseToken raises the token of a worker that has to remember many ended attempts, with the response to its heartbeat.
// Once the worker reports the new token it rejects all earlier direct commands, and may forget those attempts.
func (s *scheduler) raiseToken(m *cluster.Machine) {
	if !s.fencingInForce() {
		return
	}
	if m.Fence.RaiseIfDue(max(s.settings.Tuning.Fencing.Window, len(m.Attempts)), m.InFlight > 0) {
		s.log.Debug("fencing token raised", "machine", m.ID, "token", m.Fence.Token(), "retained", m.Fence.Retained())
	}
}

// maxDirectBacklog is the limit of a worker's live attempts and remembered ended ones up to which work that isn't urgent
// is started on it directly. The rest is left for urgent work, so that a flood of short tasks doesn't end terms.
const maxDirectBacklog = fencing.MaxRetained / 2

// mayStartDirectly reports whether a task of a job may be started on a worker by a direct command. A worker that has to
// remember too many attempts gets its starts in the responses to its heartbeats, which are never executed late and
// needn't be remembered.
func (s *scheduler) mayStartDirectly(m *cluster.Machine, j *cluster.Job) bool {
	if s.fencingInForce() {
		return !m.Fence.Full()
	}
	return j.Urgent() || m.Fence.Retained()+len(m.Attempts) <= maxDirectBacklog
}

// handleHigherToken handles a token beyond this term's: there is a successor, and this leader resigns. While this
// leader's lease is valid no successor can exist, so the token is wrong and the worker is ignored.
func (s *scheduler) handleHigherToken(r *worker.Report, now time.Time) {
	if s.leaseValid(now) {
		s.log.Debug("unexpected fencing token", "machine", r.Machine, "token", r.Token)
		return
	}
	s.resignLeadership("higher fencing token reported")
}

// resignIfFencesFull resigns once some worker has to remember too many attempts and its token can't be raised: under the next
// term's token all earlier direct starts are void.
func (s *scheduler) resignIfFencesFull(now time.Time) {
	if s.fencingInForce() || !s.leaseValid(now) || now.Sub(s.termStarted) < s.settings.WorkerLease {
		return
	}
	for _, m := range s.state.Machines.InOrder() {
		if m.Fence.Full() {
			s.resignLeadership("too many attempts to remember")
			return
		}
	}
}
