package scheduler

import (
	"math"
	"slices"
	"sync/atomic"
	"time"

	"sagevale/internal/clock"
	"sagevale/internal/cluster"
	"sagevale/internal/config"
	"sagevale/internal/fencing"
	"sagevale/internal/worker"
)

// Delegation of lease renewals. The leader delegates to its peers the right to renew the leases of the workers in their
// zones. A peer uses this right while it can't reach a leader: while its zone is partitioned, or in the seconds between
// two leaders.
//
// A leader that doesn't reach the key-value store may renew leases only for a limited time, and a delegation has the same
// time limit. In both cases a new leader may confirm the cancellation of a job without reaching the job's workers. The job's
// tasks must be gone within cancel_s, and they may run until lease_s after the last renewal of their worker's lease. The last
// renewal must therefore happen at most cancel_s - lease_s, less a margin, after the peer's last contact with the leader. For
// the leader itself, this time is counted from the expiry of its leadership lease.
//
// Workers that still have to stop tasks of a cancelled job are excluded from the delegation. The response to a delegated
// renewal contains no commands.
//
// Before the leader treats a worker's lease as expired, it takes into account that peers may have renewed the lease under its
// delegations: see delegatedLeaseBound.

// delegation is a leader's permission for this controller to renew workers' leases for a limited time.
type delegation struct {
	tokens   fencing.Tokens // the fencing tokens of the leader that granted it
	until    time.Time
	excluded []int // machines whose leases may not be renewed
}

// refreshDelegation adopts the latest delegation in the peers' statuses. A delegation remains valid after the process that
// granted it has ended or restarted.
func (f *forwarder) refreshDelegation() {
	for _, p := range f.settings.Peers {
		status, ok := f.node.deps.Peers.Status(p.Name)
		if !ok || status.DelegationPeriod <= 0 || status.DelegationTerm < f.delegation.tokens.First {
			continue
		}
		until := status.Sent.Add(clock.Scale(status.DelegationPeriod, 1/clock.DriftBound))
		if status.DelegationTerm > f.delegation.tokens.First || until.After(f.delegation.until) {
			f.delegation = delegation{status.DelegationTokens(), until, status.ExcludedMachines}
		}
	}
}

// answerDelegated answers a heartbeat that no leader is known to have handled.
func (f *forwarder) answerDelegated(p pendingReport, now time.Time) {
	p.reply <- f.decideDelegated(p, now)
}

// decideDelegated renews a worker's lease if the delegation allows the renewal. If not, it returns a busy response.
func (f *forwarder) decideDelegated(p pendingReport, now time.Time) worker.HeartbeatResponse {
	f.refreshDelegation()
	r, known, grant := p.report, f.workers[p.report.Machine], &f.delegation
	switch {
	case known == nil || known.stale(r), !now.Before(grant.until), r.Token > grant.tokens.Last, r.Zone != f.settings.Zone,
		slices.Contains(grant.excluded, r.Machine), f.isolated():
		return worker.HeartbeatResponse{Busy: true}
	case p.digest != known.digest && f.canTryOthers(known, now):
		// The worker's state has changed, and only a leader can act on the change. Another controller may reach a leader.
		return worker.HeartbeatResponse{Busy: true}
	}
	// The renewal is recorded before the worker gets the response. A status that is sent to a leader therefore includes
	// every renewal that a worker has received.
	f.lastDelegated.Set(now)
	known.lastAcknowledged = now
	return worker.HeartbeatResponse{Accepted: true, Token: max(grant.tokens.First, r.Token)}
}

// isolated reports whether this controller seems to be the only one that is cut off: it reaches neither the key-value store
// nor a peer, but the load balancer still probes it. In that case its workers should try the other controllers.
func (f *forwarder) isolated() bool {
	if len(f.settings.Peers) == 0 || f.node.storeReachable() {
		return false
	}
	for _, p := range f.settings.Peers {
		if f.node.deps.Peers.UnreachableFor(p.Name) == 0 {
			return false
		}
	}
	return f.lastProbe.Since(math.MaxInt64) < probeTimeout
}

// probeTimeout is how long the load balancer counts as connected to this controller after its last probe. The load balancer
// probes once a second.
const probeTimeout = 5 * time.Second / 2

// canTryOthers reports whether a worker has enough time left in its lease to try all other controllers without success and
// then return to this one.
func (f *forwarder) canTryOthers(known *knownWorker, now time.Time) bool {
	retryTime := time.Duration(len(f.settings.Peers))*(config.WorkerResponseTimeout+config.WorkerRetryPause) + config.WorkerRetryPause
	return len(f.settings.Peers) > 0 && now.Sub(known.lastAcknowledged)+retryTime+f.settings.HeartbeatInterval < f.settings.WorkerLease
}

// delegationLimits limits the delegations that the leader grants. The scheduler publishes it as an immutable value.
type delegationLimits struct {
	at         time.Time        // when the scheduler collected excluded; the period of a delegation starts at this time
	renewUntil time.Time        // the time until which the leader may renew leases
	excluded   map[string][]int // IDs of the machines with tasks of cancelled jobs, by the machine's zone
}

// delegator grants the leader's delegations. Its methods may be called from any goroutine.
type delegator struct {
	renewalGrace time.Duration
	limits       atomic.Pointer[delegationLimits]
	until        map[string]*atomic.Int64 // latest end of the delegations to each peer, in ns after startedAt; 0 if there is none
	zones        map[string]string        // zone of each peer
	startedAt    time.Time
}

func newDelegator(s *config.Settings) *delegator {
	d := &delegator{renewalGrace: s.RenewalGrace(), until: make(map[string]*atomic.Int64), zones: make(map[string]string), startedAt: time.Now()}
	for _, p := range s.Peers {
		d.until[p.Name], d.zones[p.Name] = new(atomic.Int64), p.Zone
	}
	return d
}

// delegate grants a delegation to a peer that has requested this controller's status. It returns how long the peer may renew
// leases, counted from when the peer sent the request, and the machines whose leases the peer may not renew.
func (d *delegator) delegate(peer string) (time.Duration, []int) {
	now := time.Now()
	limits, until := d.limits.Load(), d.until[peer]
	if limits == nil || until == nil || d.zones[peer] == "" {
		return 0, nil
	}
	end := limits.at.Add(d.renewalGrace)
	if limits.renewUntil.Before(end) {
		end = limits.renewUntil
	}
	if !now.Before(end) {
		return 0, nil
	}
	// The end of the delegation is recorded before the response is sent. Each peer sends one request at a time, but a
	// repeated request may arrive late, so the latest end is kept.
	for endOffset := int64(end.Sub(d.startedAt)); ; {
		old := until.Load()
		if old >= endOffset || until.CompareAndSwap(old, endOffset) {
			break
		}
	}
	return end.Sub(now), slices.Concat(limits.excluded[""], limits.excluded[d.zones[peer]])
}

// delegatedUntil returns the latest time at which a peer may renew leases, or zero if the peer was granted no delegation.
func (d *delegator) delegatedUntil(peer string) time.Time {
	if offset := d.until[peer].Load(); offset != 0 {
		return d.startedAt.Add(time.Duration(offset))
	}
	return time.Time{}
}

// delegationLimitsAgePerHeartbeat is the age at which the published delegationLimits are replaced, in heartbeat intervals. The
// period of a delegation starts at the time of the limits, so old limits would leave less of the period.
const delegationLimitsAgePerHeartbeat = 0.02

// publishDelegation replaces the published delegationLimits once they have reached the age delegationLimitsAgePerHeartbeat.
// After a resignation it publishes nothing. The limits exclude the machines that may still run tasks of cancelled jobs.
func (s *scheduler) publishDelegation(now time.Time) {
	if previous := s.delegator.limits.Load(); s.resigned || previous != nil && now.Sub(previous.at) < clock.Scale(s.settings.HeartbeatInterval, delegationLimitsAgePerHeartbeat) {
		return
	}
	limits := &delegationLimits{at: now, renewUntil: s.role.RenewWorkersUntil, excluded: make(map[string][]int)}
	for id, j := range s.state.Jobs.Cancelling {
		if len(j.Attempts) == 0 {
			delete(s.state.Jobs.Cancelling, id)
		}
		for _, a := range j.Attempts {
			if z := a.Machine.Zone; !slices.Contains(limits.excluded[z], a.Machine.ID) {
				limits.excluded[z] = append(limits.excluded[z], a.Machine.ID)
			}
		}
	}
	s.delegator.limits.Store(limits)
}

// delegatedLeaseBound returns the time by which a machine's lease has expired for certain. This leader last renewed the
// lease at m.LastAcknowledged, but peers may have renewed it since then under a delegation.
func (s *scheduler) delegatedLeaseBound(m *cluster.Machine) time.Time {
	end := m.LastAcknowledged.Add(s.settings.LeaseBound())
	for i := range s.peerRenewals {
		renewals := &s.peerRenewals[i]
		if !renewals.covers(m) {
			continue
		}
		// This pass considers the renewals that the peers' statuses report. The second pass adds the renewals that a peer may
		// have made after its latest status, if that status was requested before the lease could have expired.
		if b := renewals.last.Add(s.settings.LeaseBound()); !renewals.last.IsZero() && b.After(end) {
			end = b
		}
	}
	for i := range s.peerRenewals {
		renewals := &s.peerRenewals[i]
		if renewals.covers(m) && renewals.requestedAt.Before(end) {
			if b := renewals.until.Add(s.settings.LeaseBound()); b.After(end) {
				end = b
			}
		}
	}
	return end
}

// peerRenewals bounds the times at which a peer has renewed leases, or may renew them, under this leader's delegations.
type peerRenewals struct {
	zone        string
	until       time.Time // latest time at which the peer may renew leases
	last        time.Time // upper bound of the time of the last renewal that the peer's latest status reports; zero if unknown
	requestedAt time.Time // when the peer's latest status was requested
}

// covers reports whether the peer may renew the machine's lease at all. A peer renews leases only in its own zone. If the
// zone of the peer or of the machine is unknown, the two may be in the same zone.
func (r *peerRenewals) covers(m *cluster.Machine) bool {
	return r.zone == m.Zone || r.zone == "" || m.Zone == ""
}

// updatePeerRenewals rebuilds the peers' renewals from their latest statuses. It is called once per tick.
func (s *scheduler) updatePeerRenewals() {
	s.peerRenewals = s.peerRenewals[:0]
	for _, p := range s.settings.Peers {
		renewals := peerRenewals{zone: p.Zone, until: s.delegator.delegatedUntil(p.Name)}
		if renewals.until.IsZero() {
			continue
		}
		if status, ok := s.deps.Peers.Status(p.Name); ok && status.Sent.After(s.termStarted) {
			// SinceDelegatedRenewal covers only the peer's current process. An earlier process may have renewed leases until
			// the peer restarted, so the time since the last renewal is limited to Uptime.
			renewals.last = status.Received.Add(-clock.Scale(min(status.SinceDelegatedRenewal, status.Uptime), 1/clock.DriftBound))
			renewals.requestedAt = status.Sent
		}
		s.peerRenewals = append(s.peerRenewals, renewals)
	}
}
