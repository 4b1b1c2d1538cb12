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

// fakeNode is a controller of the simulation: its current process, the peer link and its
// connections to the workers, with the faults of each.
type fakeNode struct {
	sim       *simulation
	name      string
	zone      string
	node      *Node                // its latest process, for the scenario
	live      atomic.Pointer[Node] // its running process; nil: none
	cancelRun context.CancelFunc   // ends the running process; nil: none

	cutStore      atomic.Bool
	cutPeers      atomic.Bool
	cutWorkers    atomic.Bool                   // no messages to or from workers
	resumed       atomic.Pointer[chan struct{}] // closed when its pause ends; nil: it isn't paused
	responseDelay atomic.Int64                  // delay in ns of its responses to forwarded requests

	statuses map[string]peer.ObservedStatus    // the latest of each peer; guarded by sim.mu
	upgrade  func(*upgrade.Settings)           // changes the upgrade settings of its next process; nil: none
	refusal  atomic.Pointer[error]             // why its process ended by itself; nil: it didn't
	tracker  atomic.Pointer[activator.Tracker] // of its latest process, if services may be at zero
	// unregistered is its process of a version that doesn't register; nil: none.
	unregistered atomic.Pointer[unregisteredProcess]
}

// start begins a new process.
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
		State:   pausableStore{&storagetest.Client{Service: n.sim.state, Cut: &n.cutStore}, n},
		Cloud:   n.sim.cloud,
		Workers: n,
		Peers:   n,
		Log:     n.sim.log,
		Rand:    rand.New(rand.NewPCG(7, n.sim.processCount.Add(1))), // no two processes draw the same numbers
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

// runTracker starts the process's tracker of models; the context ends it.
func (n *fakeNode) runTracker(ctx context.Context, node *Node, s *config.Settings) {
	pace := activator.Pace{Retry: s.WakeInterval(), Timeout: s.HeartbeatInterval, Wait: s.WakeInterval(), Usage: s.UsageInterval(),
		Repeat: s.WorkerLease, Remember: 2 * s.Tuning.Activation.Policy.IdleWindow}
	limits := activator.Limits{MaxHeld: 100, MaxConcurrent: 10, HoldTimeout: s.Tuning.Activation.HoldTimeout}
	tracker := activator.NewTracker(node, pace, limits, rand.New(rand.NewPCG(11, n.sim.processCount.Load())))
	n.tracker.Store(tracker)
	go tracker.Run(ctx)
}

// restartWithVersion restarts the node with a process of another version.
func (n *fakeNode) restartWithVersion(version upgrade.Version) {
	n.upgrade = func(s *upgrade.Settings) { *s = s.CappedAt(version) }
	n.restart()
}

// kill ends the process, if one runs.
func (n *fakeNode) kill() {
	if n.cancelRun != nil {
		n.live.Store(nil)
		n.cancelRun()
		n.cancelRun = nil
	}
}

func (n *fakeNode) restart() {
	n.kill()
	n.start()
}

// errNoConnection is returned for a peer that is down or unreachable.
var errNoConnection = errors.New("no connection to the peer")

// reachablePeer returns another node unless the link between them is cut.
func (n *fakeNode) reachablePeer(name string) (*fakeNode, bool) {
	i := slices.IndexFunc(n.sim.nodes, func(o *fakeNode) bool { return o.name == name })
	if i < 0 || n.cutPeers.Load() || n.sim.nodes[i].cutPeers.Load() {
		return nil, false
	}
	return n.sim.nodes[i], true
}

// callPeer makes one call of a peer's process and returns the peer. The pauses of both nodes
// delay the request and the response.
func (n *fakeNode) callPeer(name string, call func(process *Node)) (*fakeNode, error) {
	o, ok := n.reachablePeer(name)
	if !ok {
		return nil, errNoConnection
	}
	process := o.live.Load()
	if process == nil {
		return nil, errNoConnection
	}
	n.waitWhilePaused()
	o.waitWhilePaused()
	call(process)
	o.waitWhilePaused()
	n.waitWhilePaused()
	return o, nil
}

// Forward is the peer link for users' requests and pings.
func (n *fakeNode) Forward(ctx context.Context, name string, req api.Request) (api.Response, error) {
	if o, ok := n.reachablePeer(name); ok && req.Op == api.OpPing {
		if old := o.unregistered.Load(); old != nil {
			return api.Response{Peer: peer.Status{Version: old.version}}, nil
		}
	}
	var response api.Response
	o, err := n.callPeer(name, func(process *Node) { response = process.HandleForwardedRequest(ctx, req) })
	if err == nil {
		err = ctx.Err()
	}
	if err != nil {
		return api.Response{}, err
	}
	if req.Op != api.OpPing {
		time.Sleep(time.Duration(o.responseDelay.Load()))
	}
	return response, nil
}

// ReportUsage is the peer link for usage.
func (n *fakeNode) ReportUsage(ctx context.Context, name string, report activation.UsageReport) (activation.UsageResponse, error) {
	var response activation.UsageResponse
	_, err := n.callPeer(name, func(process *Node) {
		n.sim.noteUsage(report)
		response = process.HandleForwardedUsage(ctx, report)
	})
	if err != nil {
		return activation.UsageResponse{}, err
	}
	return response, ctx.Err()
}

// Wake is the peer link for demand.
func (n *fakeNode) Wake(ctx context.Context, name string, req activation.WakeRequest) (activation.WakeResponse, error) {
	var response activation.WakeResponse
	o, err := n.callPeer(name, func(process *Node) {
		n.sim.noteWakeRequest(req)
		response = process.HandleForwardedWake(ctx, req)
	})
	if err != nil {
		return activation.WakeResponse{}, err
	}
	time.Sleep(time.Duration(o.responseDelay.Load()))
	return response, ctx.Err()
}

// ForwardHeartbeats is the peer link for heartbeats.
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

// ping requests the statuses of the peers until the context ends, as the peer link does.
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

// Status returns the latest status of a peer.
func (n *fakeNode) Status(name string) (peer.ObservedStatus, bool) {
	n.sim.mu.Lock()
	defer n.sim.mu.Unlock()
	w, ok := n.statuses[name]
	return w, ok
}

// KnownLeader returns the latest leader that reachable peers have reported.
func (n *fakeNode) KnownLeader() (leader string, term uint64) {
	for _, o := range n.sim.nodes {
		if w, ok := n.Status(o.name); ok && o.live.Load() != nil && !o.cutPeers.Load() && !n.cutPeers.Load() && w.Term > term {
			leader, term = w.Leader, w.Term
		}
	}
	return leader, term
}

// UnreachableFor returns how long a peer hasn't been reached.
func (n *fakeNode) UnreachableFor(string) time.Duration {
	if n.cutPeers.Load() {
		return time.Hour
	}
	return 0
}

// canReach reports whether messages pass between the node and a worker.
func (n *fakeNode) canReach(wk *fakeWorker) bool {
	isolated := n.sim.isolatedZone.Load()
	return !n.cutWorkers.Load() && (wk.onlyNode.Load() == nil || wk.onlyNode.Load() == n) &&
		(isolated == nil || n.zone == wk.zone || n.zone != *isolated && wk.zone != *isolated)
}

// SendCommands sends commands to a worker directly, not in a heartbeat response.
func (n *fakeNode) SendCommands(ctx context.Context, addr string, token, incarnation uint64, commands []worker.Command, sendBy time.Time) (worker.CommandOutcome, *worker.Report) {
	if !sendBy.IsZero() && !time.Now().Before(sendBy) {
		return worker.NotSent, nil
	}
	n.waitWhilePaused() // a pause may fall between the check and the sending
	var id int
	if _, err := fmt.Sscan(addr, &id); err != nil {
		n.sim.t.Errorf("worker address %q: %v", addr, err)
	}
	n.sim.mu.Lock()
	wk := n.sim.workers[id]
	lost := wk == nil || wk.dead.Load() || wk.cut.Load() || wk.dropsResponses.Load() || !n.canReach(wk)
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

// waitWhilePaused blocks while the node is paused: what it sends leaves late, and what it
// receives is handled late. Its clock goes on.
func (n *fakeNode) waitWhilePaused() {
	if resumed := n.resumed.Load(); resumed != nil {
		<-*resumed
	}
}

// pause pauses the node for a while, as a process that gets no processor time.
func (n *fakeNode) pause(duration time.Duration) {
	resumed := make(chan struct{})
	n.resumed.Store(&resumed)
	time.AfterFunc(duration, func() {
		n.resumed.CompareAndSwap(&resumed, nil)
		close(resumed)
	})
}

// pausableStore is a node's client of the key-value store. A pause delays each request and
// each response.
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
