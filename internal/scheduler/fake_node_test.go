package scheduler

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync/atomic"
	"time"

	"sagevale/internal/activation"
	"sagevale/internal/activator"
	"sagevale/internal/api"
	"sagevale/internal/config"
	"sagevale/internal/peer"
	"sagevale/internal/storage"
	"sagevale/internal/storage/storagetest"
	"sagevale/internal/upgrade"
	"sagevale/internal/worker"
)

// fakeNode is a controller of the simulation. It runs the controller's process, implements the process's
// links to its peers and to the workers, and injects faults into all of them.
type fakeNode struct {
	sim            *simulation
	name           string
	zone           string
	node           *Node                // the latest process, also after it has ended; used by the scenarios
	runningProcess atomic.Pointer[Node] // the running process; nil: none
	cancelRun      context.CancelFunc   // ends the running process; nil: none

	cutStore      atomic.Bool                   // requests to the key-value store are refused
	cutPeers      atomic.Bool                   // no messages to or from peers
	cutWorkers    atomic.Bool                   // no messages to or from workers
	resumed       atomic.Pointer[chan struct{}] // closed when the pause ends; nil: not paused
	responseDelay atomic.Int64                  // delay in ns of responses to forwarded requests

	statuses              map[string]peer.ObservedStatus    // the latest status of each peer; guarded by sim.mu
	changeUpgradeSettings func(*upgrade.Settings)           // changes the upgrade settings of the next process; nil: no change
	refusal               atomic.Pointer[error]             // why the upgrade check refused the latest process; nil: not refused
	tracker               atomic.Pointer[activator.Tracker] // the latest process's tracker; nil: no services scale to zero
	// unregistered is the node's process if its version doesn't store a registration, and nil otherwise.
	unregistered atomic.Pointer[unregisteredProcess]
}

// start starts a new process.
func (n *fakeNode) start() {
	n.unregistered.Store(nil)
	settings := n.sim.settings
	settings.NodeName, settings.Zone = n.name, n.zone
	for _, other := range n.sim.nodes {
		if other != n {
			settings.Peers = append(settings.Peers, config.Peer{Name: other.name, Zone: other.zone})
		}
	}
	if n.changeUpgradeSettings != nil {
		n.changeUpgradeSettings(&settings.Tuning.Upgrade)
	}
	n.refusal.Store(nil)
	n.node = NewNode(&settings, Dependencies{
		State:   pausableStore{&storagetest.Client{Service: n.sim.store, Disconnected: &n.cutStore}, n},
		Cloud:   n.sim.cloud,
		Workers: n,
		Peers:   n,
		Log:     n.sim.log,
		Rand:    rand.New(rand.NewPCG(7, n.sim.processCount.Add(1))), // each process has its own seed
	})
	ctx, cancel := context.WithCancel(context.Background())
	n.cancelRun = cancel
	n.runningProcess.Store(n.node)
	go n.ping(ctx)
	node := n.node
	if len(settings.Tuning.Activation.Classes) > 0 {
		n.runTracker(ctx, node, &settings)
	}
	go func() {
		err := node.Run(ctx)
		switch {
		case upgrade.IsRefusal(err):
			n.refusal.Store(&err)
			n.runningProcess.CompareAndSwap(node, nil)
		case err != nil:
			n.sim.t.Errorf("node ended: %v", err)
		}
	}()
}

// runTracker starts the model tracker of a process. The tracker runs until ctx ends.
func (n *fakeNode) runTracker(ctx context.Context, node *Node, settings *config.Settings) {
	timing := activator.Timing{RetryPause: settings.WakeInterval(), RequestTimeout: settings.HeartbeatInterval, MaxResponseDelay: settings.WakeInterval(), UsageInterval: settings.UsageInterval(),
		RepeatDemandFor: settings.WorkerLease, ReportUnusedFor: 2 * settings.Tuning.Activation.Policy.IdleWindow}
	limits := activator.Limits{MaxHeld: 100, MaxConcurrent: 10, HoldTimeout: settings.Tuning.Activation.HoldTimeout}
	tracker := activator.NewTracker(node, timing, limits, rand.New(rand.NewPCG(11, n.sim.processCount.Load())))
	n.tracker.Store(tracker)
	go tracker.Run(ctx)
}

// restartWithVersion restarts the node with a process of the given version.
func (n *fakeNode) restartWithVersion(version upgrade.Version) {
	n.changeUpgradeSettings = func(s *upgrade.Settings) { *s = s.CappedAt(version) }
	n.restart()
}

// kill stops the process if one is running.
func (n *fakeNode) kill() {
	if n.cancelRun != nil {
		n.runningProcess.Store(nil)
		n.cancelRun()
		n.cancelRun = nil
	}
}

// restart stops the process if one is running, and starts a new one.
func (n *fakeNode) restart() {
	n.kill()
	n.start()
}

// errNoConnection is returned for a peer that is down or unreachable.
var errNoConnection = errors.New("no connection to the peer")

// reachablePeer returns the peer with the given name. It returns false if there is no such peer, or if this node or
// the peer is cut off from its peers.
func (n *fakeNode) reachablePeer(name string) (*fakeNode, bool) {
	i := slices.IndexFunc(n.sim.nodes, func(other *fakeNode) bool { return other.name == name })
	if i < 0 || n.cutPeers.Load() || n.sim.nodes[i].cutPeers.Load() {
		return nil, false
	}
	return n.sim.nodes[i], true
}

// callPeer makes a call to a peer's process and returns the peer. The request and the response are delayed while
// this node or the peer is paused.
func (n *fakeNode) callPeer(name string, call func(process *Node)) (*fakeNode, error) {
	target, ok := n.reachablePeer(name)
	if !ok {
		return nil, errNoConnection
	}
	process := target.runningProcess.Load()
	if process == nil {
		return nil, errNoConnection
	}
	n.waitWhilePaused()
	target.waitWhilePaused()
	call(process)
	target.waitWhilePaused()
	n.waitWhilePaused()
	return target, nil
}

// Forward sends a user's request or a ping to a peer.
func (n *fakeNode) Forward(ctx context.Context, name string, req api.Request) (api.Response, error) {
	if target, ok := n.reachablePeer(name); ok && req.Op == api.OpPing {
		if unregistered := target.unregistered.Load(); unregistered != nil {
			return api.Response{Peer: peer.Status{Version: unregistered.version}}, nil
		}
	}
	var response api.Response
	target, err := n.callPeer(name, func(process *Node) { response = process.HandleForwardedRequest(ctx, req) })
	if err == nil {
		err = ctx.Err()
	}
	if err != nil {
		return api.Response{}, err
	}
	if req.Op != api.OpPing {
		time.Sleep(time.Duration(target.responseDelay.Load()))
	}
	return response, nil
}

// ReportUsage sends a usage report to a peer.
func (n *fakeNode) ReportUsage(ctx context.Context, name string, report activation.UsageReport) (activation.UsageResponse, error) {
	var response activation.UsageResponse
	_, err := n.callPeer(name, func(process *Node) {
		n.sim.recordUsageReport(report)
		response = process.HandleForwardedUsage(ctx, report)
	})
	if err != nil {
		return activation.UsageResponse{}, err
	}
	return response, ctx.Err()
}

// Wake sends a wake request, which reports demand for a model, to a peer.
func (n *fakeNode) Wake(ctx context.Context, name string, req activation.WakeRequest) (activation.WakeResponse, error) {
	var response activation.WakeResponse
	target, err := n.callPeer(name, func(process *Node) {
		n.sim.recordWakeRequest(req)
		response = process.HandleForwardedWake(ctx, req)
	})
	if err != nil {
		return activation.WakeResponse{}, err
	}
	time.Sleep(time.Duration(target.responseDelay.Load()))
	return response, ctx.Err()
}

// ForwardHeartbeats sends workers' heartbeats to a peer.
func (n *fakeNode) ForwardHeartbeats(ctx context.Context, name string, reports []*worker.Report) ([]worker.HeartbeatResponse, error) {
	var responses []worker.HeartbeatResponse
	_, err := n.callPeer(name, func(process *Node) { responses = process.HandleForwardedHeartbeats(ctx, reports) })
	switch {
	case err != nil:
		return nil, err
	case responses == nil || ctx.Err() != nil:
		return nil, errNoConnection
	}
	return responses, nil
}

// ping requests the statuses of the peers at a fixed interval until ctx ends, as the real peer link does.
func (n *fakeNode) ping(ctx context.Context) {
	n.sim.mu.Lock()
	n.statuses = make(map[string]peer.ObservedStatus)
	n.sim.mu.Unlock()
	for ctx.Err() == nil {
		for _, other := range n.sim.nodes {
			if other == n {
				continue
			}
			sent := time.Now()
			if response, err := n.Forward(ctx, other.name, api.Request{Op: api.OpPing, ID: n.name}); err == nil {
				n.sim.mu.Lock()
				n.statuses[other.name] = peer.ObservedStatus{Status: response.Peer, Sent: sent, Received: time.Now()}
				n.sim.mu.Unlock()
			}
		}
		time.Sleep(250 * time.Millisecond)
	}
}

// Status returns the latest status of a peer.
func (n *fakeNode) Status(name string) (peer.ObservedStatus, bool) {
	n.sim.mu.Lock()
	defer n.sim.mu.Unlock()
	status, ok := n.statuses[name]
	return status, ok
}

// KnownLeader returns the leader of the highest term in the statuses of reachable peers, and this term.
func (n *fakeNode) KnownLeader() (leader string, term uint64) {
	for _, other := range n.sim.nodes {
		if status, ok := n.Status(other.name); ok && other.runningProcess.Load() != nil && !other.cutPeers.Load() && !n.cutPeers.Load() && status.Term > term {
			leader, term = status.Leader, status.Term
		}
	}
	return leader, term
}

// UnreachableFor returns an hour while the node is cut off from its peers, and 0 otherwise.
func (n *fakeNode) UnreachableFor(string) time.Duration {
	if n.cutPeers.Load() {
		return time.Hour
	}
	return 0
}

// canReach reports whether the node and a worker can exchange messages.
func (n *fakeNode) canReach(wk *fakeWorker) bool {
	isolated := n.sim.isolatedZone.Load()
	return !n.cutWorkers.Load() && (wk.onlyReachableNode.Load() == nil || wk.onlyReachableNode.Load() == n) &&
		(isolated == nil || n.zone == wk.zone || n.zone != *isolated && wk.zone != *isolated)
}

// SendCommands sends commands to a worker directly instead of in a heartbeat response.
func (n *fakeNode) SendCommands(ctx context.Context, addr string, token, incarnation uint64, commands []worker.Command, sendBy time.Time) (worker.CommandOutcome, *worker.Report) {
	if !sendBy.IsZero() && !time.Now().Before(sendBy) {
		return worker.NotSent, nil
	}
	n.waitWhilePaused() // a pause may begin after sendBy was checked
	var id int
	if _, err := fmt.Sscan(addr, &id); err != nil {
		n.sim.t.Errorf("worker address %q: %v", addr, err)
	}
	n.sim.mu.Lock()
	wk := n.sim.workers[id]
	lost := wk == nil || wk.dead.Load() || wk.partitioned.Load() || wk.dropsResponses.Load() || !n.canReach(wk)
	if !lost && (wk.delaysCommands.Load() || wk.paused.Load()) {
		wk.delayedCommands = append(wk.delayedCommands, commandBatch{token, incarnation, commands})
	}
	if wk != nil && n.sim.recordingCommands {
		wk.recordedCommands = append(wk.recordedCommands, commandBatch{token, incarnation, commands})
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
	return wk.executeDirect(token, incarnation, commands)
}

// waitWhilePaused blocks while the node is paused, so that its messages are sent late and messages to it are
// handled late. The node's clock keeps running.
func (n *fakeNode) waitWhilePaused() {
	if resumed := n.resumed.Load(); resumed != nil {
		<-*resumed
	}
}

// pause pauses the node for the given duration, like a process that gets no processor time.
func (n *fakeNode) pause(duration time.Duration) {
	resumed := make(chan struct{})
	n.resumed.Store(&resumed)
	time.AfterFunc(duration, func() {
		n.resumed.CompareAndSwap(&resumed, nil)
		close(resumed)
	})
}

// pausableStore is a node's client of the key-value store. Requests and responses wait while the node is
// paused.
type pausableStore struct {
	storage.KeyValueStore
	node *fakeNode
}

func (s pausableStore) Get(ctx context.Context, key string) (storage.Item, error) {
	s.node.waitWhilePaused()
	defer s.node.waitWhilePaused()
	return s.KeyValueStore.Get(ctx, key)
}

func (s pausableStore) Txn(ctx context.Context, guards []storage.Guard, ops []storage.Op) (uint64, error) {
	s.node.waitWhilePaused()
	defer s.node.waitWhilePaused()
	return s.KeyValueStore.Txn(ctx, guards, ops)
}

func (s pausableStore) Grant(ctx context.Context, life time.Duration) (uint64, error) {
	s.node.waitWhilePaused()
	defer s.node.waitWhilePaused()
	return s.KeyValueStore.Grant(ctx, life)
}

func (s pausableStore) Renew(ctx context.Context, lease uint64) error {
	s.node.waitWhilePaused()
	defer s.node.waitWhilePaused()
	return s.KeyValueStore.Renew(ctx, lease)
}
