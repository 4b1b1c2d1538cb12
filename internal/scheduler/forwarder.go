package scheduler

import (
	"context"
	"hash/maphash"
	"time"

	"sagevale/internal/clock"
	"sagevale/internal/config"
	"sagevale/internal/leadership"
	"sagevale/internal/relay"
	"sagevale/internal/worker"
)

// Every worker's report passes the forwarder of the node that it reaches. It
// hands the report to whoever leads: to this node's own dispatcher, in batches
// to the leader over the peer link, or through the relay where only the state service
// leads there. The worker's answer is always the leader's own, under its token,
// so leases go on counting from the leader's answers. Only while no leader can
// be reached the forwarder answers alone, within what the last one delegated it: see
// delegation.go.

const (
	// maxBatchReports is how many reports one batch for the leader holds.
	maxBatchReports = 128
	// workerMemoryLeases is how long a silent worker is remembered, in leases.
	workerMemoryLeases = 2
)

// forwarder is the actor of the reports that reach this node.
type forwarder struct {
	node          *Node
	settings      *config.Settings
	in            chan pendingReport
	decided       chan decidedBatch
	workers       map[int]*knownWorker
	seed          maphash.Seed
	pending       []pendingReport // gathers for the leader
	leader        string          // the leader that it gathers for
	flush         <-chan time.Time
	affinity      affinity
	delegation    delegation
	lastHeartbeat clock.AtomicTime // when a worker last reported here
	lastDelegated clock.AtomicTime // when this node last renewed a lease alone
	lastProbe     clock.AtomicTime // when the load balancer last asked
}

// knownWorker is what is remembered of a worker that reports here.
type knownWorker struct {
	incarnation, seq uint64
	digest           uint64    // of the last report that the leader answered
	lastAcknowledged time.Time // when a report of its was last answered 200
	lastSeen         time.Time
	redirected       time.Time
}

// pendingReport is a report on its way.
type pendingReport struct {
	report *worker.Report
	ctx    context.Context
	digest uint64
	reply  chan worker.HeartbeatResponse
}

// decidedBatch is what became of a batch; without answers nobody decided on it.
type decidedBatch struct {
	reports   []pendingReport
	responses []worker.HeartbeatResponse
}

func newForwarder(n *Node) *forwarder {
	return &forwarder{
		node: n, settings: n.settings, in: make(chan pendingReport, n.settings.QueueSize()), decided: make(chan decidedBatch, n.settings.QueueSize()),
		workers: make(map[int]*knownWorker), seed: maphash.MakeSeed(), affinity: newAffinity(n),
	}
}

// heartbeat takes in a report and returns its answer. What can't be taken is
// answered at once.
func (c *forwarder) heartbeat(ctx context.Context, r *worker.Report) worker.HeartbeatResponse {
	p := pendingReport{report: r, ctx: ctx, reply: make(chan worker.HeartbeatResponse, 1)}
	select {
	case c.in <- p:
	default:
		return worker.HeartbeatResponse{Busy: true}
	}
	select {
	case a := <-p.reply:
		return a
	case <-ctx.Done():
		return worker.HeartbeatResponse{Busy: true}
	}
}

func (c *forwarder) run(ctx context.Context) {
	sweep := time.NewTicker(c.settings.WorkerLease)
	defer sweep.Stop()
	refresh := time.NewTicker(c.settings.Tuning.LeaderLease / leadership.RenewalsPerLease)
	defer refresh.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case p := <-c.in:
			c.accept(ctx, p)
		case d := <-c.decided:
			c.handleDecided(d)
		case <-c.flush:
			c.send(ctx)
		case <-refresh.C:
			c.refreshDelegation()
		case <-sweep.C:
			c.sweep(time.Now())
		}
	}
}

// sweep forgets the workers that report here no longer.
func (c *forwarder) sweep(now time.Time) {
	for id, known := range c.workers {
		if now.Sub(known.lastSeen) > workerMemoryLeases*c.settings.WorkerLease {
			delete(c.workers, id)
		}
	}
}

// accept sends one report on its way.
func (c *forwarder) accept(ctx context.Context, p pendingReport) {
	now := time.Now()
	c.lastHeartbeat.Mark(now)
	p.digest = c.digest(p.report)
	known := c.workers[p.report.Machine]
	if known == nil {
		known = &knownWorker{}
		c.workers[p.report.Machine] = known
	}
	known.lastSeen = now
	if node := c.affinity.nodeFor(p.report, known, now); node != "" {
		known.redirected = now
		p.reply <- worker.HeartbeatResponse{Leader: node}
		return
	}
	v := c.node.view.Load()
	leader, _ := c.node.leader(v)
	switch {
	case v.scheduler != nil:
		go c.decide(ctx, []pendingReport{p}, v.scheduler.HandleHeartbeats)
	case leader == "" || leader == c.settings.NodeName:
		c.answerDelegated(p, now)
	case c.node.deps.Peers.UnreachableFor(leader) > 0:
		// Naming a leader that is out of reach would cost the worker seconds
		// of its lease.
		go c.decide(ctx, []pendingReport{p}, c.node.relay.HandleHeartbeats)
	default:
		c.enqueue(ctx, p, leader)
	}
}

// enqueue adds a report to the batch for the leader.
func (c *forwarder) enqueue(ctx context.Context, p pendingReport, leader string) {
	if c.leader != leader {
		c.send(ctx)
		c.leader = leader
	}
	c.pending = append(c.pending, p)
	if len(c.pending) >= maxBatchReports {
		c.send(ctx)
	} else if c.flush == nil {
		c.flush = time.After(c.settings.BatchWindow())
	}
}

// send hands the batch to the leader.
func (c *forwarder) send(ctx context.Context) {
	batch, leader := c.pending, c.leader
	c.pending, c.flush = nil, nil
	if len(batch) > 0 {
		go c.decide(ctx, batch, func(ctx context.Context, reports []*worker.Report) []worker.HeartbeatResponse {
			answers, err := c.node.deps.Peers.ForwardHeartbeats(ctx, leader, reports)
			if err != nil {
				return nil
			}
			return answers
		})
	}
}

// decide asks for the answers to a batch and brings them back to the actor.
func (c *forwarder) decide(ctx context.Context, batch []pendingReport, ask func(context.Context, []*worker.Report) []worker.HeartbeatResponse) {
	actx, cancel := context.WithTimeout(ctx, relay.Timeout)
	defer cancel()
	reports := make([]*worker.Report, 0, len(batch))
	for _, p := range batch {
		reports = append(reports, p.report)
	}
	select {
	case c.decided <- decidedBatch{batch, ask(actx, reports)}:
	case <-ctx.Done():
	}
}

// handleDecided passes the leader's answers on to the workers. A report on which
// nobody has decided may be answered alone.
func (c *forwarder) handleDecided(d decidedBatch) {
	now := time.Now()
	for i, p := range d.reports {
		if i >= len(d.responses) || d.responses[i].Undecided {
			c.answerDelegated(p, now)
			continue
		}
		known := c.workers[p.report.Machine]
		if a := d.responses[i]; a.Accepted && known != nil && !known.stale(p.report) {
			known.incarnation, known.seq, known.digest, known.lastAcknowledged = p.report.Incarnation, p.report.Seq, p.digest, now
		}
		p.reply <- d.responses[i]
	}
}

// stale tells whether a report is a late copy of what was answered already.
func (known *knownWorker) stale(r *worker.Report) bool {
	return r.Incarnation < known.incarnation || r.Incarnation == known.incarnation && r.Seq <= known.seq
}

// digest sums up what a report tells, but for its number.
func (c *forwarder) digest(r *worker.Report) uint64 {
	var h maphash.Hash
	h.SetSeed(c.seed)
	maphash.WriteComparable(&h, r.Incarnation)
	maphash.WriteComparable(&h, r.NoticeSeconds != nil)
	for i := range r.Tasks {
		maphash.WriteComparable(&h, r.Tasks[i])
	}
	return h.Sum64()
}
