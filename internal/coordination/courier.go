package coordination

import (
	"context"
	"hash/maphash"
	"sync/atomic"
	"time"
)

// Every worker's report passes the courier of the node that it reaches. It
// hands the report to whoever leads: to this node's own dispatcher, in batches
// to the leader over the peer link, or by mail where only the state service
// leads there. The worker's answer is always the leader's own, under its token,
// so leases go on counting from the leader's answers. Only while no leader can
// be reached the courier answers alone, within what the last one lent it: see
// loan.go.

const (
	// courierQueue bounds the reports that wait for the courier.
	courierQueue = 1024
	// batchPerReport is how long reports gather for the leader, in report
	// intervals, and batchMost how many one batch holds.
	batchPerReport = 1.0 / 128
	batchMost      = 128
	// rememberLeases is how long a silent worker is remembered, in leases.
	rememberLeases = 2
)

// courier is the actor of the reports that reach this node.
type courier struct {
	node     *Node
	settings *Settings
	in       chan parcel
	back     chan delivery
	workers  map[int]*caller
	seed     maphash.Seed
	pending  []parcel // gathers for the leader
	to       string   // the leader that it gathers for
	flush    <-chan time.Time
	homes    homing
	loan     loan
	heard    moment // when a worker last reported here
	alone    moment // when this node last renewed a lease alone
	probed   moment // when the load balancer last asked
}

// caller is what is remembered of a worker that reports here.
type caller struct {
	session, seq uint64
	digest       uint64    // of the last report that the leader answered
	answered     time.Time // when a report of its was last answered 200
	seen         time.Time
	sentHome     time.Time
}

// parcel is a report on its way.
type parcel struct {
	report *Report
	ctx    context.Context
	digest uint64
	reply  chan BeatAnswer
}

// delivery is what became of a batch; without answers nobody decided on it.
type delivery struct {
	parcels []parcel
	answers []BeatAnswer
}

func newCourier(n *Node) *courier {
	return &courier{
		node: n, settings: n.settings, in: make(chan parcel, courierQueue), back: make(chan delivery, courierQueue),
		workers: make(map[int]*caller), seed: maphash.MakeSeed(), homes: newHoming(n),
	}
}

// beat takes in a report and returns its answer. What can't be taken is
// answered at once.
func (c *courier) beat(ctx context.Context, r *Report) BeatAnswer {
	p := parcel{report: r, ctx: ctx, reply: make(chan BeatAnswer, 1)}
	select {
	case c.in <- p:
	default:
		return BeatAnswer{Busy: true}
	}
	select {
	case a := <-p.reply:
		return a
	case <-ctx.Done():
		return BeatAnswer{Busy: true}
	}
}

func (c *courier) run(ctx context.Context) {
	sweep := time.NewTicker(c.settings.Lease)
	defer sweep.Stop()
	borrow := time.NewTicker(c.settings.Tuning.LeaderLease / touchesPerLease)
	defer borrow.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case p := <-c.in:
			c.take(ctx, p)
		case d := <-c.back:
			c.delivered(d)
		case <-c.flush:
			c.send(ctx)
		case <-borrow.C:
			c.borrow()
		case <-sweep.C:
			c.sweep(time.Now())
		}
	}
}

// sweep forgets the workers that report here no longer.
func (c *courier) sweep(now time.Time) {
	for id, w := range c.workers {
		if now.Sub(w.seen) > rememberLeases*c.settings.Lease {
			delete(c.workers, id)
		}
	}
}

// moment is a point in time that one goroutine publishes for others.
type moment struct{ at atomic.Pointer[time.Time] }

func (m *moment) mark(now time.Time) { m.at.Store(&now) }

// since is how long ago it was; never if there was none yet.
func (m *moment) since(never time.Duration) time.Duration {
	if at := m.at.Load(); at != nil {
		return time.Since(*at)
	}
	return never
}

// take sends one report on its way.
func (c *courier) take(ctx context.Context, p parcel) {
	now := time.Now()
	c.heard.mark(now)
	p.digest = c.digest(p.report)
	w := c.workers[p.report.Machine]
	if w == nil {
		w = &caller{}
		c.workers[p.report.Machine] = w
	}
	w.seen = now
	if home := c.homes.of(p.report, w, now); home != "" {
		w.sentHome = now
		p.reply <- BeatAnswer{Leader: home}
		return
	}
	v := c.node.view.Load()
	leader, _ := c.node.leader(v)
	switch {
	case v.desk != nil:
		go c.deliver(ctx, []parcel{p}, v.desk.beats)
	case leader == "" || leader == c.settings.Node:
		c.answerAlone(p, now)
	case c.node.deps.Peers.Unheard(leader) > 0:
		// Naming a leader that is out of reach would cost the worker seconds
		// of its lease.
		go c.deliver(ctx, []parcel{p}, c.node.mail.beats)
	default:
		c.gather(ctx, p, leader)
	}
}

// gather adds a report to the batch for the leader.
func (c *courier) gather(ctx context.Context, p parcel, leader string) {
	if c.to != leader {
		c.send(ctx)
		c.to = leader
	}
	c.pending = append(c.pending, p)
	if len(c.pending) >= batchMost {
		c.send(ctx)
	} else if c.flush == nil {
		c.flush = time.After(scale(c.settings.Report, batchPerReport))
	}
}

// send hands the batch to the leader.
func (c *courier) send(ctx context.Context) {
	batch, leader := c.pending, c.to
	c.pending, c.flush = nil, nil
	if len(batch) > 0 {
		go c.deliver(ctx, batch, func(ctx context.Context, reports []*Report) []BeatAnswer {
			answers, err := c.node.deps.Peers.Beats(ctx, leader, reports)
			if err != nil {
				return nil
			}
			return answers
		})
	}
}

// deliver asks for the answers to a batch and brings them back to the actor.
func (c *courier) deliver(ctx context.Context, batch []parcel, ask func(context.Context, []*Report) []BeatAnswer) {
	actx, cancel := context.WithTimeout(ctx, mailPatience)
	defer cancel()
	reports := make([]*Report, 0, len(batch))
	for _, p := range batch {
		reports = append(reports, p.report)
	}
	select {
	case c.back <- delivery{batch, ask(actx, reports)}:
	case <-ctx.Done():
	}
}

// delivered passes the leader's answers on to the workers. A report on which
// nobody has decided may be answered alone.
func (c *courier) delivered(d delivery) {
	now := time.Now()
	for i, p := range d.parcels {
		if i >= len(d.answers) || d.answers[i].Undecided {
			c.answerAlone(p, now)
			continue
		}
		w := c.workers[p.report.Machine]
		if a := d.answers[i]; a.Accepted && w != nil && !w.stale(p.report) {
			w.session, w.seq, w.digest, w.answered = p.report.Session, p.report.Seq, p.digest, now
		}
		p.reply <- d.answers[i]
	}
}

// stale tells whether a report is a late copy of what was answered already.
func (w *caller) stale(r *Report) bool {
	return r.Session < w.session || r.Session == w.session && r.Seq <= w.seq
}

// digest sums up what a report tells, but for its number.
func (c *courier) digest(r *Report) uint64 {
	var h maphash.Hash
	h.SetSeed(c.seed)
	maphash.WriteComparable(&h, r.Session)
	maphash.WriteComparable(&h, r.Notice != nil)
	for i := range r.Tasks {
		maphash.WriteComparable(&h, r.Tasks[i])
	}
	return h.Sum64()
}
