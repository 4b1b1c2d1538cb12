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
// zones while they can't reach it: while their zone is partitioned, or in the seconds between two leaders.
//
// A delegation lasts as long as the leader itself may renew leases without the key-value store, for the same reason: a
// successor may confirm the cancellation of a job without reaching its workers. The job's tasks must be gone within
// cancel_s, so the last renewal must come no later than cancel_s - lease_s, less a margin, after the last contact with
// the leader. Workers that still have to stop tasks of a cancelled job are excluded, and a delegated renewal carries no
// commands.
//
// The leader takes what it has delegated into account before it declares a machine empty: see delegatedLeaseBound.

// delegation is the right to renew leases for a limited time.
type delegation struct {
	tokens   fencing.Tokens // of the leader that granted it
	until    time.Time
	excluded []int
}

// refreshDelegation adopts the latest delegation in the statuses of the peers. It stays valid when the peer that granted
// it has ended or restarted.
func (f *forwarder) refreshDelegation() {
	for _, p := range f.settings.Peers {
		w, ok := f.node.deps.Peers.Status(p.Name)
		if !ok || w.DelegatesFor <= 0 || w.DelegationTerm < f.delegation.tokens.First {
			continue
		}
		until := w.Sent.Add(clock.Scale(w.DelegatesFor, 1/clock.DriftBound))
		if w.DelegationTerm > f.delegation.tokens.First || until.After(f.delegation.until) {
			f.delegation = delegation{w.DelegationTokens(), until, w.Excluded}
		}
	}
}

// answerDelegated answers a heartbeat that no leader has answered.
func (f *forwarder) answerDelegated(p pendingReport, now time.Time) {
	p.reply <- f.decideDelegated(p, now)
}

// decideDelegated renews the lease of a worker if the delegation allows that.
func (f *forwarder) decideDelegated(p pendingReport, now time.Time) worker.HeartbeatResponse {
	f.refreshDelegation()
	r, known, grant := p.report, f.workers[p.report.Machine], &f.delegation
	switch {
	case known == nil || known.stale(r), !now.Before(grant.until), r.Token > grant.tokens.Last, r.Zone != f.settings.Zone,
		slices.Contains(grant.excluded, r.Machine), f.isolated():
		return worker.HeartbeatResponse{Busy: true}
	case p.digest != known.digest && f.mayRedirect(known, now):
		// Its state has changed, which only a leader can act on. Another controller may reach one.
		return worker.HeartbeatResponse{Busy: true}
	}
	// Marked before the worker is answered: no leader may learn of this later than the worker.
	f.lastDelegated.Mark(now)
	known.lastAcknowledged = now
	return worker.HeartbeatResponse{Accepted: true, Token: max(grant.tokens.First, r.Token)}
}

// isolated reports whether this controller alone seems to be cut off: it reaches neither the key-value store nor a peer,
// but the load balancer still probes it. Then its workers should go to the other controllers.
func (f *forwarder) isolated() bool {
	if len(f.settings.Peers) == 0 || f.node.storeReachable() {
		return false
	}
	for _, p := range f.settings.Peers {
		if f.node.deps.Peers.UnreachableFor(p.Name) == 0 {
			return false
		}
	}
	return f.lastProbe.Since(math.MaxInt64) < probeMissed
}

// probeMissed is how long after the load balancer's last probe this controller still counts as in its reach. It probes
// once a second.
const probeMissed = 5 * time.Second / 2

// mayRedirect reports whether a worker can try all other controllers without success and be back here within its lease.
func (f *forwarder) mayRedirect(known *knownWorker, now time.Time) bool {
	round := time.Duration(len(f.settings.Peers))*(config.WorkerResponseTimeout+config.WorkerRetryPause) + config.WorkerRetryPause
	return len(f.settings.Peers) > 0 && now.Sub(known.lastAcknowledged)+round+f.settings.HeartbeatInterval < f.settings.WorkerLease
}

// delegationTerms are what delegations depend on. They are immutable, and published by the scheduler.
type delegationTerms struct {
	at         time.Time // as of when excluded is complete
	renewUntil time.Time
	excluded   map[string][]int // by zone
}

// delegator grants the leader's delegations. Its methods may be called from any goroutine.
type delegator struct {
	renewalGrace time.Duration
	terms        atomic.Pointer[delegationTerms]
	until        map[string]*atomic.Int64 // the latest end of any delegation to each peer, in ns after began
	zones        map[string]string
	began        time.Time
}

func newDelegator(s *config.Settings) *delegator {
	l := &delegator{renewalGrace: s.RenewalGrace(), until: make(map[string]*atomic.Int64), zones: make(map[string]string), began: time.Now()}
	for _, p := range s.Peers {
		l.until[p.Name], l.zones[p.Name] = new(atomic.Int64), p.Zone
	}
	return l
}

// delegate returns for how long a peer may renew leases itself, counted from its request, and the excluded machines.
func (l *delegator) delegate(peer string) (time.Duration, []int) {
	now := time.Now()
	p, until := l.terms.Load(), l.until[peer]
	if p == nil || until == nil || l.zones[peer] == "" {
		return 0, nil
	}
	end := p.at.Add(l.renewalGrace)
	if p.renewUntil.Before(end) {
		end = p.renewUntil
	}
	if !now.Before(end) {
		return 0, nil
	}
	// Recorded before it is sent. Each peer sends one request at a time, but a repeated one may come late: the latest
	// end counts.
	for sinceBegan := int64(end.Sub(l.began)); ; {
		old := until.Load()
		if old >= sinceBegan || until.CompareAndSwap(old, sinceBegan) {
			break
		}
	}
	return end.Sub(now), slices.Concat(p.excluded[""], p.excluded[l.zones[peer]])
}

// delegatedUntil is the latest time at which a peer may renew leases; zero: nothing was delegated to it.
func (l *delegator) delegatedUntil(peer string) time.Time {
	if v := l.until[peer].Load(); v != 0 {
		return l.began.Add(time.Duration(v))
	}
	return time.Time{}
}

// delegationPerHeartbeat is the age limit of published delegation terms, in heartbeat intervals. Delegations count from
// the time of the terms.
const delegationPerHeartbeat = 0.02

// publishDelegation renews the delegation terms.
func (s *scheduler) publishDelegation(now time.Time) {
	if old := s.delegator.terms.Load(); s.resigned || old != nil && now.Sub(old.at) < clock.Scale(s.settings.HeartbeatInterval, delegationPerHeartbeat) {
		return
	}
	p := &delegationTerms{at: now, renewUntil: s.role.RenewUntil, excluded: make(map[string][]int)}
	for id, j := range s.state.Jobs.Cancelling {
		if len(j.Attempts) == 0 {
			delete(s.state.Jobs.Cancelling, id)
		}
		for _, a := range j.Attempts {
			if z := a.Machine.Zone; !slices.Contains(p.excluded[z], a.Machine.ID) {
				p.excluded[z] = append(p.excluded[z], a.Machine.ID)
			}
		}
	}
	s.delegator.terms.Store(p)
}

// delegatedLeaseBound is the time by which a machine's lease has expired that this leader renewed last at
// m.LastAcknowledged, considering that peers may have renewed it since under a delegation.
func (s *scheduler) delegatedLeaseBound(m *cluster.Machine) time.Time {
	end := m.LastAcknowledged.Add(s.settings.LeaseBound())
	for i := range s.peerRenewals {
		renewals := &s.peerRenewals[i]
		if !renewals.covers(m) {
			continue
		}
		// The latest renewal that is known. The second pass adds those that the peer may have made since its status.
		if b := renewals.last.Add(s.settings.LeaseBound()); !renewals.last.IsZero() && b.After(end) {
			end = b
		}
	}
	for i := range s.peerRenewals {
		renewals := &s.peerRenewals[i]
		if renewals.covers(m) && renewals.asked.Before(end) {
			if b := renewals.until.Add(s.settings.LeaseBound()); b.After(end) {
				end = b
			}
		}
	}
	return end
}

// peerRenewals is what is known of a peer's renewals under this leader's delegations.
type peerRenewals struct {
	zone  string
	until time.Time // latest time at which it may renew
	last  time.Time // latest time of its last renewal before asked; zero: unknown
	asked time.Time // when its latest status was requested
}

// covers reports whether the peer may renew the machine's lease at all.
func (s *peerRenewals) covers(m *cluster.Machine) bool {
	return s.zone == m.Zone || s.zone == "" || m.Zone == ""
}

// updatePeerRenewals updates the renewals from the statuses of the peers, once a tick.
func (s *scheduler) updatePeerRenewals() {
	s.peerRenewals = s.peerRenewals[:0]
	for _, p := range s.settings.Peers {
		renewals := peerRenewals{zone: p.Zone, until: s.delegator.delegatedUntil(p.Name)}
		if renewals.until.IsZero() {
			continue
		}
		if w, ok := s.deps.Peers.Status(p.Name); ok && w.Sent.After(s.termStarted) {
			// A restarted process may have renewed leases until its restart.
			renewals.last = w.Received.Add(-clock.Scale(min(w.SinceDelegatedRenewal, w.Uptime), 1/clock.DriftBound))
			renewals.asked = w.Sent
		}
		s.peerRenewals = append(s.peerRenewals, renewals)
	}
}
