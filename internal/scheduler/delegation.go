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

// A leader delegates to the nodes that it hears the right to renew the leases of the
// workers in their own zone while they can't reach it: behind a cut of their
// zone, or in the seconds in which nobody leads. The delegation is as long as the
// leader's own hold without the state service, and for the same reason: a user
// may be told that a job is cancelled as soon as the leader, or a successor,
// can't reach the workers; their tasks must be gone within cancel_s, so the last
// renewal comes no later than cancel_s - lease_s, less a margin, after the last
// word with the leader. Workers that are still to stop tasks of a cancelled job are
// left out, and a renewal carries no orders.
//
// The leader reckons with what it has delegated: see delegatedLeaseBound.

// delegation is the right to renew leases for a while.
type delegation struct {
	tokens   fencing.Tokens // of the leader that gave it
	until    time.Time
	excluded []int
}

// refreshDelegation takes in what the peers that lead have delegated. A delegation outlasts the status
// that gave it: its giver may since have ended, or begun anew.
func (c *forwarder) refreshDelegation() {
	for _, p := range c.settings.Peers {
		w, ok := c.node.deps.Peers.Status(p.Name)
		if !ok || w.DelegatesFor <= 0 || w.DelegationTerm < c.delegation.tokens.First {
			continue
		}
		until := w.Sent.Add(clock.Scale(w.DelegatesFor, 1/clock.DriftBound))
		if w.DelegationTerm > c.delegation.tokens.First || until.After(c.delegation.until) {
			c.delegation = delegation{w.DelegationTokens(), until, w.Excluded}
		}
	}
}

// answerDelegated answers a report on which no leader has decided.
func (c *forwarder) answerDelegated(p pendingReport, now time.Time) {
	p.reply <- c.decideDelegated(p, now)
}

func (c *forwarder) decideDelegated(p pendingReport, now time.Time) worker.HeartbeatResponse {
	c.refreshDelegation()
	r, known, grant := p.report, c.workers[p.report.Machine], &c.delegation
	switch {
	case known == nil || known.stale(r), !now.Before(grant.until), r.Token > grant.tokens.Last, r.Zone != c.settings.Zone,
		slices.Contains(grant.excluded, r.Machine), c.isolated():
		return worker.HeartbeatResponse{Busy: true}
	case p.digest != known.digest && c.mayRedirect(known, now):
		// It has news, which only a leader can act on: maybe the next node
		// finds one.
		return worker.HeartbeatResponse{Busy: true}
	}
	// The leader must be able to learn of this before the worker does.
	c.lastDelegated.Mark(now)
	known.lastAcknowledged = now
	return worker.HeartbeatResponse{Accepted: true, Token: max(grant.tokens.First, r.Token)}
}

// isolated tells whether this node alone seems to be cut off: it hears neither
// the state service nor a peer, but the load balancer still asks it. Then its
// workers are better off with the other nodes.
func (c *forwarder) isolated() bool {
	if len(c.settings.Peers) == 0 || c.node.hearsState() {
		return false
	}
	for _, p := range c.settings.Peers {
		if c.node.deps.Peers.UnreachableFor(p.Name) == 0 {
			return false
		}
	}
	return c.lastProbe.Since(math.MaxInt64) < probeMissed
}

// probeMissed is how long after the load balancer's last probe, one a second,
// this node still counts as in its reach.
const probeMissed = 5 * time.Second / 2

// mayRedirect tells whether a worker can ask all other nodes in vain and be
// back here within its lease.
func (c *forwarder) mayRedirect(known *knownWorker, now time.Time) bool {
	round := time.Duration(len(c.settings.Peers))*(config.WorkerResponseTimeout+config.WorkerRetryPause) + config.WorkerRetryPause
	return len(c.settings.Peers) > 0 && now.Sub(known.lastAcknowledged)+round+c.settings.HeartbeatInterval < c.settings.WorkerLease
}

// delegationTerms is what the dispatcher publishes of its lead, for delegations.
type delegationTerms struct {
	at         time.Time // as of when barred is complete
	renewUntil time.Time
	excluded   map[string][]int // by zone
}

// delegator is the leader's side of the delegations.
type delegator struct {
	renewalGrace time.Duration
	terms        atomic.Pointer[delegationTerms]
	until        map[string]*atomic.Int64 // what each peer has been delegated at the most, in ns after began
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

// delegate returns for how long a peer may renew leases alone, counted from when it
// asked, and which machines it may not.
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
	// Noted before it is told. Each peer asks through one link at a time, but a
	// repeat may come late: the latest counts.
	for mine := int64(end.Sub(l.began)); ; {
		old := until.Load()
		if old >= mine || until.CompareAndSwap(old, mine) {
			break
		}
	}
	return end.Sub(now), slices.Concat(p.excluded[""], p.excluded[l.zones[peer]])
}

// delegatedUntil is until when a peer may renew leases at the most; zero: nothing delegated.
func (l *delegator) delegatedUntil(peer string) time.Time {
	if v := l.until[peer].Load(); v != 0 {
		return l.began.Add(time.Duration(v))
	}
	return time.Time{}
}

// delegationPerHeartbeat is how old what the delegations depend on may be, in report
// intervals: a delegation counts from there.
const delegationPerHeartbeat = 0.02

// publishDelegation renews what the delegations depend on.
func (d *scheduler) publishDelegation(now time.Time) {
	if old := d.delegator.terms.Load(); d.resigned || old != nil && now.Sub(old.at) < clock.Scale(d.settings.HeartbeatInterval, delegationPerHeartbeat) {
		return
	}
	p := &delegationTerms{at: now, renewUntil: d.role.RenewUntil, excluded: make(map[string][]int)}
	for id, j := range d.state.Jobs.Cancelling {
		if len(j.Attempts) == 0 {
			delete(d.state.Jobs.Cancelling, id)
		}
		for _, a := range j.Attempts {
			if z := a.Machine.Zone; !slices.Contains(p.excluded[z], a.Machine.ID) {
				p.excluded[z] = append(p.excluded[z], a.Machine.ID)
			}
		}
	}
	d.delegator.terms.Store(p)
}

// delegatedLeaseBound is when a machine's lease has surely ended that this leader last
// answered when m tells, if peers in its zone may have renewed it alone since.
func (d *scheduler) delegatedLeaseBound(m *cluster.Machine) time.Time {
	end := m.LastAcknowledged.Add(d.settings.LeaseBound())
	for i := range d.peerRenewals {
		s := &d.peerRenewals[i]
		if !s.covers(m) {
			continue
		}
		// What it has renewed, as far as is known, and what it may have since
		// it was last asked.
		if b := s.last.Add(d.settings.LeaseBound()); !s.last.IsZero() && b.After(end) {
			end = b
		}
	}
	for i := range d.peerRenewals {
		s := &d.peerRenewals[i]
		if s.covers(m) && s.asked.Before(end) {
			if b := s.until.Add(d.settings.LeaseBound()); b.After(end) {
				end = b
			}
		}
	}
	return end
}

// peerRenewals is what is known of a peer's renewals under our delegations.
type peerRenewals struct {
	zone  string
	until time.Time // until when it may renew at the most
	last  time.Time // when it last did, at the latest, as of asked
	asked time.Time
}

// covers tells whether the peer may renew the machine's lease at all.
func (s *peerRenewals) covers(m *cluster.Machine) bool {
	return s.zone == m.Zone || s.zone == "" || m.Zone == ""
}

// updatePeerRenewals asks what the peers have told, once for a tick.
func (d *scheduler) updatePeerRenewals() {
	d.peerRenewals = d.peerRenewals[:0]
	for _, p := range d.settings.Peers {
		s := peerRenewals{zone: p.Zone, until: d.delegator.delegatedUntil(p.Name)}
		if s.until.IsZero() {
			continue
		}
		if w, ok := d.deps.Peers.Status(p.Name); ok && w.Sent.After(d.termStarted) {
			// A process that has begun since may have renewed in its earlier
			// run until then.
			s.last = w.Received.Add(-clock.Scale(min(w.SinceDelegatedRenewal, w.Uptime), 1/clock.DriftBound))
			s.asked = w.Sent
		}
		d.peerRenewals = append(d.peerRenewals, s)
	}
}
