package scheduler

import (
	"context"
	"hash/maphash"
	"sync"
	"time"

	"sagevale/internal/clock"
	"sagevale/internal/config"
	"sagevale/internal/leadership"
	"sagevale/internal/relay"
	"sagevale/internal/worker"
)

// Each controller has a forwarder, which receives the workers' heartbeats that arrive at the controller and passes them to
// the leader. If the controller itself is the leader, the forwarder calls the scheduler. Otherwise it sends batches of
// heartbeats to the leader. If the leader can be reached only through the key-value store, it uses the relay. The worker
// gets the leader's own response with the leader's fencing token, so leases count from the leader's responses.
//
// While no leader can be reached, the forwarder renews leases itself if the last leader's delegation permits that: see
// delegation.go.

const (
	// maxBatchReports is the largest number of heartbeats in one batch for the leader.
	maxBatchReports = 128
	// workerMemoryLeases is how long the record of a silent worker is kept, in worker leases.
	workerMemoryLeases = 2
)

// forwarder is the actor that receives the heartbeats sent to this controller and forwards them to the leader.
type forwarder struct {
	node          *Node
	settings      *config.Settings
	incoming      chan pendingReport
	batchResults  chan batchResult
	workers       map[int]*knownWorker
	seed          maphash.Seed
	pending       []pendingReport  // the batch that is being filled for the leader
	batchLeader   string           // the controller to which the pending batch will be sent
	flushTimer    <-chan time.Time // fires when the pending batch has to be sent; nil while no batch is pending
	affinity      affinity
	delegation    delegation
	lastHeartbeat clock.AtomicTime // when a heartbeat last arrived at this controller
	lastDelegated clock.AtomicTime // when this controller last renewed a lease under a delegation
	lastProbe     clock.AtomicTime // when the load balancer last probed this controller
	requests      sync.WaitGroup   // the goroutines that run requestResponses; run waits for them
}

// knownWorker is the forwarder's record of a worker that sends its heartbeats to this controller.
type knownWorker struct {
	incarnation, seq uint64
	digest           uint64    // hash of the worker's state in the last heartbeat that the leader accepted, see forwarder.digest
	lastAcknowledged time.Time // when the worker's lease was last renewed through this controller
	lastSeen         time.Time
	redirected       time.Time // when the worker was last redirected to another controller
}

// pendingReport is a heartbeat that waits for its response.
type pendingReport struct {
	report *worker.Report
	digest uint64
	reply  chan worker.HeartbeatResponse
}

// heartbeatRequest sends heartbeats to the leader and returns the leader's responses, or nil if no leader has handled the
// heartbeats.
type heartbeatRequest func(context.Context, []*worker.Report) []worker.HeartbeatResponse

// batchResult is a batch with the leader's responses. responses is empty if no leader has handled the batch.
type batchResult struct {
	reports   []pendingReport
	responses []worker.HeartbeatResponse
}

func newForwarder(n *Node) *forwarder {
	return &forwarder{
		node: n, settings: n.settings, incoming: make(chan pendingReport, n.settings.QueueSize()), batchResults: make(chan batchResult, n.settings.QueueSize()),
		workers: make(map[int]*knownWorker), seed: maphash.MakeSeed(), affinity: newAffinity(n),
	}
}

// heartbeat returns the response to a worker's heartbeat. It may be called from any goroutine. If the forwarder's queue is
// full it returns a busy response at once.
func (f *forwarder) heartbeat(ctx context.Context, r *worker.Report) worker.HeartbeatResponse {
	p := pendingReport{report: r, reply: make(chan worker.HeartbeatResponse, 1)}
	select {
	case f.incoming <- p:
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

// run forwards heartbeats until ctx ends.
func (f *forwarder) run(ctx context.Context) {
	sweep := time.NewTicker(f.settings.WorkerLease)
	defer sweep.Stop()
	refresh := time.NewTicker(f.settings.Tuning.LeaderLease / leadership.RenewalsPerLease)
	defer refresh.Stop()
	defer f.requests.Wait() // the requests end when ctx ends
	for {
		select {
		case <-ctx.Done():
			return
		case p := <-f.incoming:
			f.handleReport(ctx, p)
		case d := <-f.batchResults:
			f.handleBatchResult(d)
		case <-f.flushTimer:
			f.sendBatch(ctx)
		case <-refresh.C:
			f.refreshDelegation()
		case <-sweep.C:
			f.deleteSilentWorkers(time.Now())
		}
	}
}

// deleteSilentWorkers deletes the records of workers whose heartbeats no longer arrive at this controller.
func (f *forwarder) deleteSilentWorkers(now time.Time) {
	for id, known := range f.workers {
		if now.Sub(known.lastSeen) > workerMemoryLeases*f.settings.WorkerLease {
			delete(f.workers, id)
		}
	}
}

// handleReport redirects a worker to another controller, or forwards its heartbeat to the leader.
func (f *forwarder) handleReport(ctx context.Context, p pendingReport) {
	now := time.Now()
	f.lastHeartbeat.Set(now)
	p.digest = f.digest(p.report)
	known := f.workers[p.report.Machine]
	if known == nil {
		known = &knownWorker{}
		f.workers[p.report.Machine] = known
	}
	known.lastSeen = now
	if node := f.affinity.nodeFor(p.report, known, now); node != "" {
		known.redirected = now
		p.reply <- worker.HeartbeatResponse{Leader: node}
		return
	}
	v := f.node.view.Load()
	leader := f.node.leader(v)
	switch {
	case v.scheduler != nil:
		f.startRequest(ctx, []pendingReport{p}, v.scheduler.HandleHeartbeats)
	case leader == "" || leader == f.settings.NodeName:
		f.answerDelegated(p, now)
	case f.node.deps.Peers.UnreachableFor(leader) > 0:
		// The relay is used instead of redirecting the worker to the leader. If the worker can't reach the leader either,
		// the redirection would cost the worker seconds of its lease.
		f.startRequest(ctx, []pendingReport{p}, f.node.relay.HandleHeartbeats)
	default:
		f.enqueue(ctx, p, leader)
	}
}

// enqueue adds a heartbeat to the batch for the leader.
func (f *forwarder) enqueue(ctx context.Context, p pendingReport, leader string) {
	if f.batchLeader != leader {
		f.sendBatch(ctx)
		f.batchLeader = leader
	}
	f.pending = append(f.pending, p)
	if len(f.pending) >= maxBatchReports {
		f.sendBatch(ctx)
	} else if f.flushTimer == nil {
		f.flushTimer = time.After(f.settings.BatchWindow())
	}
}

// sendBatch sends the pending batch to the leader.
func (f *forwarder) sendBatch(ctx context.Context) {
	batch, leader := f.pending, f.batchLeader
	f.pending, f.flushTimer = nil, nil
	if len(batch) > 0 {
		f.startRequest(ctx, batch, func(ctx context.Context, reports []*worker.Report) []worker.HeartbeatResponse {
			responses, err := f.node.deps.Peers.ForwardHeartbeats(ctx, leader, reports)
			if err != nil {
				return nil // no response from the leader
			}
			return responses
		})
	}
}

// startRequest runs requestResponses in a new goroutine.
func (f *forwarder) startRequest(ctx context.Context, batch []pendingReport, request heartbeatRequest) {
	f.requests.Add(1)
	go func() { //nolint:modernize // requests.Go would allocate for each heartbeat
		defer f.requests.Done()
		f.requestResponses(ctx, batch, request)
	}()
}

// requestResponses requests the leader's responses to a batch, and sends them to the forwarder's goroutine.
func (f *forwarder) requestResponses(ctx context.Context, batch []pendingReport, request heartbeatRequest) {
	requestCtx, cancel := context.WithTimeout(ctx, relay.BatchTimeout)
	defer cancel()
	reports := make([]*worker.Report, 0, len(batch))
	for _, p := range batch {
		reports = append(reports, p.report)
	}
	select {
	case f.batchResults <- batchResult{batch, request(requestCtx, reports)}:
	case <-ctx.Done():
	}
}

// handleBatchResult answers the workers with the leader's responses. Heartbeats that no leader has handled are answered by
// answerDelegated.
func (f *forwarder) handleBatchResult(d batchResult) {
	now := time.Now()
	for i, p := range d.reports {
		if i >= len(d.responses) || d.responses[i].Undecided {
			f.answerDelegated(p, now)
			continue
		}
		known := f.workers[p.report.Machine]
		if a := d.responses[i]; a.Accepted && known != nil && !known.stale(p.report) {
			known.incarnation, known.seq, known.digest, known.lastAcknowledged = p.report.Incarnation, p.report.Seq, p.digest, now
		}
		p.reply <- d.responses[i]
	}
}

// stale reports whether a heartbeat isn't newer than the worker's last heartbeat that the leader accepted. This happens when a
// copy of an earlier heartbeat arrives late.
func (known *knownWorker) stale(r *worker.Report) bool {
	return r.Incarnation < known.incarnation || r.Incarnation == known.incarnation && r.Seq <= known.seq
}

// digest returns a hash of the worker's state in a heartbeat. The hash doesn't cover the sequence number.
func (f *forwarder) digest(r *worker.Report) uint64 {
	var h maphash.Hash
	h.SetSeed(f.seed)
	maphash.WriteComparable(&h, r.Incarnation)
	maphash.WriteComparable(&h, r.NoticeSeconds != nil)
	for i := range r.Tasks {
		maphash.WriteComparable(&h, r.Tasks[i])
	}
	return h.Sum64()
}
