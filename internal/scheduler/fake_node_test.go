package scheduler

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"sagevale/internal/activation"
	"sagevale/internal/activator"
	"sagevale/internal/api"
	"sagevale/internal/config"
	"sagevale/internal/peer"
	"sagevale/internal/storage/storagetest"
	"sagevale/internal/upgrade"
	"sagevale/internal/worker"
)

type fakeNode struct {
	sim           *simulation
	name          string
	zone          string
	node          *Node                // its latest process, for the scenario
	live          atomic.Pointer[Node] // the same; nil once it has ended
	cancelRun     context.CancelFunc
	cutStore      atomic.Bool
	cutPeers      atomic.Bool
	cutWorkers    atomic.Bool                       // it doesn't reach the workers, nor they it
	resumed       atomic.Pointer[chan struct{}]     // it stands still until that is closed; nil: it doesn't
	responseDelay atomic.Int64                      // its answers to other nodes' users come so much later
	statuses      map[string]peer.ObservedStatus    // what the others told last
	upgrade       func(*upgrade.Settings)           // changes what its next process brings to an upgrade
	refusal       atomic.Pointer[error]             // why its process ended by itself
	tracker       atomic.Pointer[activator.Tracker] // of its latest process, where services may be at zero
	// unregistered is its process of a version that doesn't register; nil: none
	unregistered atomic.Pointer[unregisteredProcess]
}

func (n *fakeNode) start() {
	n.unregistered.Store(nil)
	s := n.sim.settings
	s.NodeName, s.Zone = n.name, n.zone
	for _, o := range n.sim.nodes {
		if o != n {
			s.Peers = append(s.Peers, config.Peer{Name: o.name, Zone: o.zone})
		}
	}
	if n.upgrade != nil {
		n.upgrade(&s.Tuning.Upgrade)
	}
	n.refusal.Store(nil)
	n.node = NewNode(&s, Dependencies{
		State: pausableStore{&storagetest.Client{Service: n.sim.state, Cut: &n.cutStore}, n}, Cloud: n.sim.cloud, Workers: n, Peers: n,
		Log: n.sim.log, Rand: rand.New(rand.NewPCG(7, n.sim.processCount.Add(1))), // so that no two processes are alike
	})
	ctx, cancel := context.WithCancel(context.Background())
	n.cancelRun = cancel
	n.live.Store(n.node)
	go n.ping(ctx)
	node := n.node
	if len(s.Tuning.Activation.Classes) > 0 {
		n.runTracker(ctx, node, &s)
	}
	go func() {
		err := node.Run(ctx)
		switch {
		case upgrade.IsRefusal(err):
			n.refusal.Store(&err)
			n.live.CompareAndSwap(node, nil)
		case err != nil:
			n.sim.t.Errorf("node ended: %v", err)
		}
	}()
}

// runTracker runs the process's tracker of models.
func (n *fakeNode) runTracker(ctx context.Context, node *Node, s *config.Settings) {
	pace := activator.Pace{Retry: s.WakeInterval(), Timeout: s.HeartbeatInterval, Wait: s.WakeInterval(), Usage: s.UsageInterval(),
		Repeat: s.WorkerLease, Remember: 2 * s.Tuning.Activation.Policy.IdleWindow}
	limits := activator.Limits{MaxHeld: 100, MaxConcurrent: 10, HoldTimeout: s.Tuning.Activation.Hold}
	tracker := activator.NewTracker(node, pace, limits, rand.New(rand.NewPCG(11, n.sim.processCount.Load())))
	n.tracker.Store(tracker)
	go tracker.Run(ctx)
}

// restartWithVersion ends the node's process and begins one of another version.
func (n *fakeNode) restartWithVersion(version upgrade.Version) {
	n.upgrade = func(s *upgrade.Settings) { *s = s.CappedAt(version) }
	n.restart()
}

func (n *fakeNode) kill() {
	if n.cancelRun != nil {
		n.live.Store(nil)
		n.cancelRun()
		n.cancelRun = nil
	}
}

func (n *fakeNode) restart() { n.kill(); n.start() }

// Forward is the peer link.
func (n *fakeNode) Forward(ctx context.Context, name string, req api.Request) (api.Response, error) {
	for _, o := range n.sim.nodes {
		if old := o.unregistered.Load(); o.name == name && old != nil && req.Op == api.OpPing && !o.cutPeers.Load() && !n.cutPeers.Load() {
			return api.Response{Peer: peer.Status{Version: old.version}}, nil
		}
		if live := o.live.Load(); o.name == name && live != nil && !o.cutPeers.Load() && !n.cutPeers.Load() {
			n.waitWhilePaused()
			o.waitWhilePaused()
			a := live.HandleForwardedRequest(ctx, req)
			o.waitWhilePaused()
			n.waitWhilePaused()
			if ctx.Err() != nil {
				return api.Response{}, ctx.Err()
			}
			if req.Op != api.OpPing {
				time.Sleep(time.Duration(o.responseDelay.Load()))
			}
			return a, nil
		}
	}
	return api.Response{}, fmt.Errorf("no way to %s", name)
}

// ReportUsage is the peer link for usage.
func (n *fakeNode) ReportUsage(ctx context.Context, name string, report activation.UsageReport) (activation.UsageResponse, error) {
	for _, o := range n.sim.nodes {
		if live := o.live.Load(); o.name == name && live != nil && !o.cutPeers.Load() && !n.cutPeers.Load() {
			n.waitWhilePaused()
			o.waitWhilePaused()
			n.sim.noteUsage(report)
			response := live.HandleForwardedUsage(ctx, report)
			o.waitWhilePaused()
			n.waitWhilePaused()
			return response, ctx.Err()
		}
	}
	return activation.UsageResponse{}, fmt.Errorf("no way to %s", name)
}

// Wake is the peer link for demand.
func (n *fakeNode) Wake(ctx context.Context, name string, req activation.WakeRequest) (activation.WakeResponse, error) {
	for _, o := range n.sim.nodes {
		if live := o.live.Load(); o.name == name && live != nil && !o.cutPeers.Load() && !n.cutPeers.Load() {
			n.waitWhilePaused()
			o.waitWhilePaused()
			n.sim.noteWakeRequest(req)
			response := live.HandleForwardedWake(ctx, req)
			o.waitWhilePaused()
			n.waitWhilePaused()
			time.Sleep(time.Duration(o.responseDelay.Load()))
			return response, ctx.Err()
		}
	}
	return activation.WakeResponse{}, fmt.Errorf("no way to %s", name)
}

// ForwardHeartbeats is the peer link for reports.
func (n *fakeNode) ForwardHeartbeats(ctx context.Context, name string, reports []*worker.Report) ([]worker.HeartbeatResponse, error) {
	for _, o := range n.sim.nodes {
		if live := o.live.Load(); o.name == name && live != nil && !o.cutPeers.Load() && !n.cutPeers.Load() {
			n.waitWhilePaused()
			o.waitWhilePaused()
			answers := live.HandleForwardedHeartbeats(ctx, reports)
			o.waitWhilePaused()
			n.waitWhilePaused()
			if answers != nil && ctx.Err() == nil {
				return answers, nil
			}
		}
	}
	return nil, fmt.Errorf("no way to %s", name)
}

// ping asks the others for their status, as the link does.
func (n *fakeNode) ping(ctx context.Context) {
	n.sim.mu.Lock()
	n.statuses = make(map[string]peer.ObservedStatus)
	n.sim.mu.Unlock()
	for ctx.Err() == nil {
		for _, o := range n.sim.nodes {
			if o == n {
				continue
			}
			sent := time.Now()
			if a, err := n.Forward(ctx, o.name, api.Request{Op: api.OpPing, ID: n.name}); err == nil {
				n.sim.mu.Lock()
				n.statuses[o.name] = peer.ObservedStatus{Status: a.Peer, Sent: sent, Received: time.Now()}
				n.sim.mu.Unlock()
			}
		}
		time.Sleep(250 * time.Millisecond)
	}
}

// Status is a node's latest status.
func (n *fakeNode) Status(name string) (peer.ObservedStatus, bool) {
	n.sim.mu.Lock()
	defer n.sim.mu.Unlock()
	w, ok := n.statuses[name]
	return w, ok
}

// KnownLeader is the latest leader that the other nodes tell of.
func (n *fakeNode) KnownLeader() (leader string, term uint64) {
	for _, o := range n.sim.nodes {
		if w, ok := n.Status(o.name); ok && o.live.Load() != nil && !o.cutPeers.Load() && !n.cutPeers.Load() && w.Term > term {
			leader, term = w.Leader, w.Term
		}
	}
	return leader, term
}

// UnreachableFor is the peer link's measure of silence.
func (n *fakeNode) UnreachableFor(string) time.Duration {
	if n.cutPeers.Load() {
		return time.Hour
	}
	return 0
}

// canReach tells whether the network leads from a worker to a node and back.
func (n *fakeNode) canReach(wk *fakeWorker) bool {
	apart := n.sim.isolatedZone.Load()
	return !n.cutWorkers.Load() && (wk.onlyNode.Load() == nil || wk.onlyNode.Load() == n) &&
		(apart == nil || n.zone == wk.zone || n.zone != *apart && wk.zone != *apart)
}

// SendCommands is a node's direct way to the workers.
func (n *fakeNode) SendCommands(ctx context.Context, addr string, token, session uint64, orders []worker.Command, sendBy time.Time) (worker.Outcome, *worker.Report) {
	if !sendBy.IsZero() && !time.Now().Before(sendBy) {
		return worker.NotSent, nil
	}
	n.waitWhilePaused() // between the check and the sending
	var id int
	if _, err := fmt.Sscan(addr, &id); err != nil {
		n.sim.t.Errorf("address %q", addr)
	}
	n.sim.mu.Lock()
	wk := n.sim.workers[id]
	lost := wk == nil || wk.dead.Load() || wk.cut.Load() || wk.dropsResponses.Load() || !n.canReach(wk)
	if !lost && (wk.delaysCommands.Load() || wk.paused.Load()) {
		wk.delayedCommands = append(wk.delayedCommands, commandBatch{token, session, orders})
	}
	if wk != nil && n.sim.recordingCommands {
		wk.recordedCommands = append(wk.recordedCommands, commandBatch{token, session, orders})
	}
	n.sim.mu.Unlock()
	switch {
	case lost:
		<-ctx.Done()
		return worker.NotSent, nil
	case wk.delaysCommands.Load(), wk.paused.Load():
		<-ctx.Done()
		return worker.Unresolved, nil
	}
	return wk.executeDirect(token, session, orders)
}
