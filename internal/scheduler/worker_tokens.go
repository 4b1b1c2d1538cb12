package scheduler

import (
	"time"

	"sagevale/internal/cluster"
	"sagevale/internal/fencing"
	"sagevale/internal/upgrade"
	"sagevale/internal/worker"
)

// fencingInForce tells whether tokens are raised within the term: then peers renew leases by
// the range of tokens, which earlier versions don't know.
func (d *scheduler) fencingInForce() bool {
	return d.settings.Tuning.Fencing.Enabled && d.gates.Gate(upgrade.WorkerTokens).Phase == upgrade.GateOpen
}

// raiseToken raises the token of a worker that has to remember much, with the answer to its
// report: what was sent directly before is dead once the worker shows the new one.
func (d *scheduler) raiseToken(m *cluster.Machine) {
	if !d.fencingInForce() {
		return
	}
	if m.Fence.RaiseIfDue(max(d.settings.Tuning.Fencing.Window, len(m.Attempts)), m.InFlight > 0) {
		d.log.Debug("token raised", "machine", m.ID, "token", m.Fence.Token(), "remembers", m.Fence.Retained())
	}
}

// maxDirectBacklog is how many live attempts a worker may have, and ended ones to remember, for other
// than urgent work to be started on it directly: all of them may have to be remembered. The rest is left for urgent work, so that a flood of short tasks
// doesn't end terms.
const maxDirectBacklog = fencing.MaxRetained / 2

// mayStartDirectly tells whether a task of a job may be started straight on a worker. One that has to
// remember too much gets its starts with the answers to its reports, which are never carried out
// late, and needn't be remembered.
func (d *scheduler) mayStartDirectly(m *cluster.Machine, j *cluster.Job) bool {
	if d.fencingInForce() {
		return !m.Fence.Full()
	}
	return j.Urgent() || m.Fence.Retained()+len(m.Attempts) <= maxDirectBacklog
}

// handleHigherToken takes in a token beyond this term's. A successor has given it, unless our
// lead is certain: then nobody can have, and the worker is left to itself.
func (d *scheduler) handleHigherToken(r *worker.Report, now time.Time) {
	if d.leaseValid(now) {
		d.log.Debug("worker knows a token that nobody can have given", "machine", r.Machine, "token", r.Token)
		return
	}
	d.resignLeadership("a worker knows a higher token")
}

// resignToForget gives up the lead once some worker has to remember too much and its token
// can't be raised: under the next term's token all earlier direct starts are void.
func (d *scheduler) resignToForget(now time.Time) {
	if d.fencingInForce() || !d.leaseValid(now) || now.Sub(d.termStarted) < d.settings.WorkerLease {
		return
	}
	for _, m := range d.state.Machines.InOrder() {
		if m.Fence.Full() {
			d.resignLeadership("a new token lets ended attempts be forgotten")
			return
		}
	}
}
