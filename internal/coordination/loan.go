package coordination

import (
	"math"
	"slices"
	"sync/atomic"
	"time"
)

// A leader lends the nodes that it hears the right to renew the leases of the
// workers in their own zone while they can't reach it: behind a cut of their
// zone, or in the seconds in which nobody leads. The loan is as long as the
// leader's own hold without the state service, and for the same reason: a user
// may be told that a job is cancelled as soon as the leader, or a successor,
// can't reach the workers; their tasks must be gone within cancel_s, so the last
// renewal comes no later than cancel_s - lease_s, less a margin, after the last
// word with the leader. Workers that are still to stop tasks of a cancelled job are
// left out, and a renewal carries no orders.
//
// The leader reckons with what it has lent: see aloneBound.

// loan is the right to renew leases for a while.
type loan struct {
	term   uint64
	until  time.Time
	barred []int
}

// borrow takes in what the peers that lead have lent. A loan outlasts the word
// that gave it: its giver may since have ended, or begun anew.
func (c *courier) borrow() {
	for _, p := range c.settings.Peers {
		w, ok := c.node.deps.Peers.Told(p.Name)
		if !ok || w.Lends <= 0 || w.LendTerm < c.loan.term {
			continue
		}
		until := w.Sent.Add(scale(w.Lends, 1/driftBound))
		if w.LendTerm > c.loan.term || until.After(c.loan.until) {
			c.loan = loan{w.LendTerm, until, w.Barred}
		}
	}
}

// answerAlone answers a report on which no leader has decided.
func (c *courier) answerAlone(p parcel, now time.Time) {
	p.reply <- c.decideAlone(p, now)
}

func (c *courier) decideAlone(p parcel, now time.Time) BeatAnswer {
	c.borrow()
	r, w, l := p.report, c.workers[p.report.Machine], &c.loan
	switch {
	case w == nil || w.stale(r), !now.Before(l.until), r.Token > l.term, r.Zone != c.settings.Zone,
		slices.Contains(l.barred, r.Machine), c.islanded():
		return BeatAnswer{Busy: true}
	case p.digest != w.digest && c.mayTurnAway(w, now):
		// It has news, which only a leader can act on: maybe the next node
		// finds one.
		return BeatAnswer{Busy: true}
	}
	// The leader must be able to learn of this before the worker does.
	c.alone.mark(now)
	w.answered = now
	return BeatAnswer{Accepted: true, Token: l.term}
}

// islanded tells whether this node alone seems to be cut off: it hears neither
// the state service nor a peer, but the load balancer still asks it. Then its
// workers are better off with the other nodes.
func (c *courier) islanded() bool {
	if len(c.settings.Peers) == 0 || c.node.hearsState() {
		return false
	}
	for _, p := range c.settings.Peers {
		if c.node.deps.Peers.Unheard(p.Name) == 0 {
			return false
		}
	}
	return c.probed.since(math.MaxInt64) < probeMissed
}

// probeMissed is how long after the load balancer's last probe, one a second,
// this node still counts as in its reach.
const probeMissed = 5 * time.Second / 2

// mayTurnAway tells whether a worker can ask all other nodes in vain and be
// back here within its lease.
func (c *courier) mayTurnAway(w *caller, now time.Time) bool {
	round := time.Duration(len(c.settings.Peers))*(workerPatience+workerPause) + workerPause
	return len(c.settings.Peers) > 0 && now.Sub(w.answered)+round+c.settings.Report < c.settings.Lease
}

const (
	// workerPatience is how long a worker waits for an answer, by the
	// protocol, and workerPause how long before it tries the next node.
	workerPatience = 4 * time.Second
	workerPause    = time.Second
)

// lending is what the dispatcher publishes of its lead, for loans.
type lending struct {
	at      time.Time // as of when barred is complete
	holdOut time.Time
	barred  map[string][]int // by zone
}

// lender is the leader's side of the loans.
type lender struct {
	hold  time.Duration
	now   atomic.Pointer[lending]
	until map[string]*atomic.Int64 // what each peer has been lent at the most, in ns after began
	zones map[string]string
	began time.Time
}

func newLender(s *Settings) *lender {
	l := &lender{hold: s.hold(), until: make(map[string]*atomic.Int64), zones: make(map[string]string), began: time.Now()}
	for _, p := range s.Peers {
		l.until[p.Name], l.zones[p.Name] = new(atomic.Int64), p.Zone
	}
	return l
}

// lend returns for how long a peer may renew leases alone, counted from when it
// asked, and which machines it may not.
func (l *lender) lend(peer string) (time.Duration, []int) {
	now := time.Now()
	p, until := l.now.Load(), l.until[peer]
	if p == nil || until == nil || l.zones[peer] == "" {
		return 0, nil
	}
	end := p.at.Add(l.hold)
	if p.holdOut.Before(end) {
		end = p.holdOut
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
	return end.Sub(now), slices.Concat(p.barred[""], p.barred[l.zones[peer]])
}

// lent is until when a peer may renew leases at the most; zero: nothing lent.
func (l *lender) lent(peer string) time.Time {
	if v := l.until[peer].Load(); v != 0 {
		return l.began.Add(time.Duration(v))
	}
	return time.Time{}
}

// lendPerReport is how old what the loans depend on may be, in report
// intervals: a loan counts from there.
const lendPerReport = 0.02

// publishLending renews what the loans depend on.
func (d *dispatcher) publishLending(now time.Time) {
	if old := d.lender.now.Load(); d.resigned || old != nil && now.Sub(old.at) < scale(d.settings.Report, lendPerReport) {
		return
	}
	p := &lending{at: now, holdOut: d.role.HoldOut, barred: make(map[string][]int)}
	for id, j := range d.leaving {
		if len(j.attempts) == 0 {
			delete(d.leaving, id)
		}
		for _, a := range j.attempts {
			if z := a.on.zone; !slices.Contains(p.barred[z], a.on.id) {
				p.barred[z] = append(p.barred[z], a.on.id)
			}
		}
	}
	d.lender.now.Store(p)
}

// aloneBound is when a machine's lease has surely ended that this leader last
// answered when m tells, if peers in its zone may have renewed it alone since.
func (d *dispatcher) aloneBound(m *machine) time.Time {
	end := m.answered.Add(d.settings.leaseBound())
	for i := range d.solos {
		s := &d.solos[i]
		if !s.near(m) {
			continue
		}
		// What it has renewed, as far as is known, and what it may have since
		// it was last asked.
		if b := s.last.Add(d.settings.leaseBound()); !s.last.IsZero() && b.After(end) {
			end = b
		}
	}
	for i := range d.solos {
		s := &d.solos[i]
		if s.near(m) && s.asked.Before(end) {
			if b := s.lent.Add(d.settings.leaseBound()); b.After(end) {
				end = b
			}
		}
	}
	return end
}

// solo is what is known of a peer's renewals under our loans.
type solo struct {
	zone  string
	lent  time.Time // until when it may renew at the most
	last  time.Time // when it last did, at the latest, as of asked
	asked time.Time
}

// near tells whether the peer may renew the machine's lease at all.
func (s *solo) near(m *machine) bool { return s.zone == m.zone || s.zone == "" || m.zone == "" }

// learnSolos asks what the peers have told, once for a tick.
func (d *dispatcher) learnSolos() {
	d.solos = d.solos[:0]
	for _, p := range d.settings.Peers {
		s := solo{zone: p.Zone, lent: d.lender.lent(p.Name)}
		if s.lent.IsZero() {
			continue
		}
		if w, ok := d.deps.Peers.Told(p.Name); ok && w.Sent.After(d.began) {
			// A process that has begun since may have renewed in its earlier
			// run until then.
			s.last = w.Got.Add(-scale(min(w.Alone, w.Up), 1/driftBound))
			s.asked = w.Sent
		}
		d.solos = append(d.solos, s)
	}
}
