package scheduler

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"sagevale/internal/api"
	"sagevale/internal/archive"
	"sagevale/internal/autoscaling"
	"sagevale/internal/clock"
	"sagevale/internal/config"
	"sagevale/internal/leadership"
	"sagevale/internal/peer"
	"sagevale/internal/relay"
	"sagevale/internal/storage"
	"sagevale/internal/upgrade"
	"sagevale/internal/upgradecontrol"
	"sagevale/internal/worker"
)

// journalTimeoutShare is the timeout of the journal's requests, as a share of the leader's lease. Responses usually arrive
// within a tenth of this timeout, and retries are idempotent.
const journalTimeoutShare = 0.2

// roleQueueSize is the number of role changes that may wait to be handled by runTerms.
const roleQueueSize = 16

// Dependencies are the external systems that a node communicates with, its logger and its random number generator.
type Dependencies struct {
	State   storage.KeyValueStore
	Cloud   autoscaling.Cloud
	Workers WorkerLink
	Peers   PeerLink
	Log     *slog.Logger
	Rand    *rand.Rand
}

// Node is one controller. It is either the leader or a follower, and answers users and workers in both roles. Its methods
// may be called from any goroutine.
type Node struct {
	settings     *config.Settings
	deps         Dependencies
	election     *leadership.Election
	registrar    *leadership.Registrar
	relay        *relay.Client
	forwarder    *forwarder
	limitTracker *storage.LimitTracker
	archive      *archive.Archiver
	roles        chan leadership.Role
	view         atomic.Pointer[view] // replaced only by the goroutine of runTerms
}

// view contains the state that request handlers use. It is immutable and replaced as a whole.
type view struct {
	role      leadership.Role
	scheduler *scheduler // nil unless this controller leads and the state is loaded
}

// NewNode returns a controller that isn't running yet. Run starts its actors.
func NewNode(s *config.Settings, deps Dependencies) *Node {
	limits := s.State
	limits.RequestTimeout = clock.Scale(s.Tuning.LeaderLease, journalTimeoutShare)
	n := &Node{settings: s, deps: deps, limitTracker: storage.NewLimitTracker(limits), roles: make(chan leadership.Role, roleQueueSize)}
	process := fmt.Sprintf("%016x", deps.Rand.Uint64())
	n.registrar = leadership.NewRegistrar(deps.State, s, process, deps.Log)
	n.election = leadership.New(leadership.Config{
		Store: deps.State, Settings: s, Peers: peerPinger{deps.Peers}, Process: process,
		Registered: n.registrar.Registered, Log: deps.Log,
	})
	n.archive = newArchiver(s, deps, n.limitTracker)
	n.relay = relay.NewClient(s, deps.State, n.limitTracker, deps.Rand.Uint64(), deps.Log)
	n.forwarder = newForwarder(n)
	n.view.Store(&view{})
	return n
}

// Run runs the controller's actors until ctx ends, and returns the first error of one of them.
func (n *Node) Run(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	publish := func(r leadership.Role) {
		select {
		case n.roles <- r:
		case <-ctx.Done():
		}
	}
	g.Go(func() error { return n.registrar.Run(ctx) })
	g.Go(func() error { return n.election.Run(ctx, publish) })
	g.Go(func() error { n.runTerms(ctx); return nil })
	g.Go(func() error { n.relay.Run(ctx); return nil })
	g.Go(func() error { n.archive.Run(ctx); return nil })
	g.Go(func() error { n.forwarder.run(ctx); return nil })
	return g.Wait()
}

// runTerms handles the changes of this controller's role: it begins a term when the controller becomes the leader, and ends
// the term when the controller is no longer the leader.
func (n *Node) runTerms(ctx context.Context) {
	var terms sync.WaitGroup
	var cancelTerm context.CancelFunc
	var termScheduler *scheduler
	loaded := make(chan *scheduler, 1)
	stop := func() {
		if cancelTerm != nil {
			cancelTerm()
			cancelTerm, termScheduler = nil, nil
		}
	}
	defer terms.Wait()
	defer stop()
	for {
		var role leadership.Role
		select {
		case <-ctx.Done():
			return
		case s := <-loaded:
			current := n.view.Load()
			if cancelTerm == nil || !current.role.Leading || current.role.Term != s.term {
				continue // the scheduler belongs to a term that has ended
			}
			termScheduler, role = s, current.role
		case role = <-n.roles:
		}
		current := n.view.Load()
		if cancelTerm != nil && (!role.Leading || role.Term != current.role.Term) {
			stop()
		}
		n.publishView(role, termScheduler)
		if role.Leading && cancelTerm == nil {
			termCtx, cancel := context.WithCancel(ctx)
			cancelTerm = cancel
			terms.Go(func() { n.runTerm(termCtx, role, loaded) })
		}
	}
}

// publishView replaces the view of the request handlers, and sends the role to the term's scheduler if there is one.
func (n *Node) publishView(role leadership.Role, termScheduler *scheduler) {
	if termScheduler != nil && termScheduler.term != role.Term {
		termScheduler = nil
	}
	n.view.Store(&view{role: role, scheduler: termScheduler})
	if termScheduler != nil {
		termScheduler.post(roleMessage{role})
	}
}

// runTerm runs a term of leadership: it loads the state, and runs the term's actors until one fails or ctx ends. It sends the
// term's scheduler to loaded once the scheduler may be used.
func (n *Node) runTerm(ctx context.Context, role leadership.Role, loaded chan<- *scheduler) {
	log := n.deps.Log.With("term", role.Term)
	s, err := n.loadState(ctx, role, log)
	if err != nil {
		if ctx.Err() == nil {
			log.Error("state loading failed", "error", err)
			n.resign(role.Term)
		}
		return
	}
	n.runActors(ctx, role, s, loaded, log)
}

// loadState reads the journal, and returns a scheduler with the cluster state. The journal gets the new leader's guard, so
// that its writes fail once another controller has become the leader.
func (n *Node) loadState(ctx context.Context, role leadership.Role, log *slog.Logger) (*scheduler, error) {
	started := time.Now()
	journal, err := storage.OpenJournal(ctx, n.deps.State, n.limitTracker, role.Guard)
	if err != nil {
		return nil, fmt.Errorf("read journal: %w", err)
	}
	journal.SetEncoding(encodingOf(role.Cluster.Record))
	s, err := newScheduler(n.settings, n.deps, role, journal, n.election.Resign, log)
	if err != nil {
		return nil, fmt.Errorf("decode journal: %w", err)
	}
	s.sinceHeartbeat = func() time.Duration { return n.forwarder.lastHeartbeat.Since(n.election.Status().Uptime) }
	n.beginArchive(ctx, s, role)
	log.Info("failover complete", "jobs", s.state.Jobs.Count(), "machines", s.state.Machines.Count(),
		"attempts", s.state.Reservations.Attempts(), "duration", time.Since(started))
	return s, nil
}

// runActors runs the actors of a term until one fails or ctx ends. It sends the term's scheduler to loaded once they run.
func (n *Node) runActors(ctx context.Context, role leadership.Role, s *scheduler, loaded chan<- *scheduler, log *slog.Logger) {
	g, groupCtx := errgroup.WithContext(ctx)
	// All references from the scheduler to other actors are set before any actor runs.
	background, waitForCalls := backgroundCalls(groupCtx)
	defer waitForCalls()
	s.background = background
	upgrades := upgradecontrol.New(upgradecontrol.Config{
		Store: n.deps.State, Settings: n.settings, Peers: n.deps.Peers, Role: role, GateUsers: termGates{s, s.journal}, Log: log,
	})
	s.requestGateUse = upgrades.RequestUse
	s.journal.OnEncodingNeeded(func() { upgrades.RequestUse(upgrade.CompressedChunks) })
	s.autoscaler = autoscaling.New(autoscaling.Config{
		Settings: n.settings, Cloud: n.deps.Cloud, Journal: s.journal, Scheduler: s, Term: role.Term,
		Desired: s.desired, Launches: s.openLaunches, Done: groupCtx.Done(), Log: log,
	})
	relayServer := relay.NewServer(n.settings, n.deps.State, n.limitTracker, role.Guard, s, n.deps.Log)
	g.Go(func() error { return s.journal.Run(groupCtx) })
	g.Go(func() error { return s.run(groupCtx) })
	g.Go(func() error { return s.autoscaler.Run(groupCtx) })
	g.Go(func() error { return upgrades.Run(groupCtx) })
	g.Go(func() error { relayServer.Run(groupCtx); return nil })
	select {
	case loaded <- s:
	case <-ctx.Done():
	}
	err := g.Wait()
	s.close()
	n.archive.EndTerm(context.WithoutCancel(ctx), role.Term)
	n.endTerm(role.Term, err, log)
}

// endTerm resigns the leadership of a term whose actors have ended with an error. If they were cancelled, it does nothing.
func (n *Node) endTerm(term uint64, err error, log *slog.Logger) {
	switch {
	case err == nil, errors.Is(err, context.Canceled):
		return
	case errors.Is(err, storage.ErrLeadershipLost):
		log.Info("term ended", "error", err) // expected: another controller leads or will lead
	default:
		log.Error("term ended", "error", err)
	}
	n.resign(term)
}

// beginArchive starts to read the archive's pages for a term, if the archive is enabled or may contain pages.
func (n *Node) beginArchive(ctx context.Context, s *scheduler, role leadership.Role) {
	s.archive = n.archive
	if s.archiveInUse || n.settings.Tuning.Archive.Enabled {
		n.archive.BeginTerm(ctx, archive.Leadership{Term: role.Term, Guard: role.Guard})
	}
}

// resign makes the election give up the leadership of a term, if this controller still holds it.
func (n *Node) resign(term uint64) {
	n.election.Resign(leadership.Resignation{Term: term})
}

// Role describes this controller's present role to operators.
func (n *Node) Role() string {
	v := n.view.Load()
	switch {
	case v.scheduler != nil:
		return "leader"
	case v.role.Leading:
		return "taking over"
	case v.role.Leader != "":
		return "follower"
	}
	return "without a leader"
}

// Ready reports whether the load balancer should send users to this controller:
//   - If this controller is certainly the leader, it returns true.
//   - If another controller is the leader, it returns true until the leader has been unreachable for longer than a leader
//     lease.
//   - If no other leader is known, it returns true if this controller reaches a peer or has no peers. All controllers that
//     reach each other then serve users equally well.
//
// Each call also records that the load balancer reaches this controller.
func (n *Node) Ready() bool {
	n.forwarder.lastProbe.Set(time.Now())
	v := n.view.Load()
	if v.role.Leading && time.Now().Before(v.role.LeaseValidUntil) {
		return true
	}
	leader := n.leader(v)
	if leader != "" && leader != n.settings.NodeName {
		return n.deps.Peers.UnreachableFor(leader) <= n.settings.Tuning.LeaderLease
	}
	for _, p := range n.settings.Peers {
		if n.deps.Peers.UnreachableFor(p.Name) == 0 {
			return true
		}
	}
	return len(n.settings.Peers) == 0
}

// leader returns the name of the leader, or "" if no leader is known. Usually it returns the leader that this controller's
// election has found. If the peers' statuses name another controller as the leader of a higher term, it returns the name of
// that controller, because this controller may have lost contact with the key-value store.
func (n *Node) leader(v *view) string {
	if peersLeader, peersTerm := n.deps.Peers.KnownLeader(); peersTerm > v.role.Term && peersLeader != n.settings.NodeName {
		return peersLeader
	}
	return v.role.Leader
}

// HandleUserRequest answers a user's request. If this controller is the leader, its scheduler answers the request. Otherwise
// the controller answers from the archive pages in its memory, or forwards the request to the leader.
func (n *Node) HandleUserRequest(ctx context.Context, req api.Request) api.Response {
	v := n.view.Load()
	if v.scheduler != nil {
		return v.scheduler.HandleUserRequest(ctx, req)
	}
	if a, ok := n.lookupArchived(req); ok {
		return a
	}
	leader := n.leader(v)
	if leader == "" || leader == n.settings.NodeName {
		return api.Unavailable(req.ID, "no leader yet")
	}
	return n.forwardUserRequest(ctx, leader, req)
}

// forwardUserRequest forwards a user's request to the leader. If the leader's response arrives too late to be valid, it
// returns another response that asks the user to retry.
func (n *Node) forwardUserRequest(ctx context.Context, leader string, req api.Request) api.Response {
	sent := time.Now()
	var response api.Response
	if n.useRelay(leader) {
		// The leader wrote the response in a transaction that succeeds only while the leader holds its key. Only a job's
		// state can have become outdated since then, and only polls request the state.
		if response = n.relay.HandleUserRequest(ctx, req); req.Op != api.OpPoll {
			return response
		}
	} else {
		var err error
		if response, err = n.deps.Peers.Forward(ctx, leader, req); err != nil {
			return api.Unavailable(req.ID, "leader out of reach")
		}
	}
	if response.ValidFor > 0 && !response.Final() && time.Since(sent) > clock.Scale(response.ValidFor, 1/clock.DriftBound) {
		return api.Unavailable(req.ID, "the leader's answer came late")
	}
	return response
}

// storeReachable reports whether the key-value store has recently answered this controller's election. While the relay is in
// use, an answer to the relay counts too.
func (n *Node) storeReachable() bool {
	since := min(n.election.Status().SinceStoreContact, n.relay.SinceAccepted(math.MaxInt64))
	return since < relay.BatchTimeout+n.settings.Tuning.LeaderLease
}

// useRelay reports whether requests to the leader have to be relayed through the key-value store. This is so once the leader
// has been unreachable for longer than a leader lease. After that time, a leader that had lost its key in the store would no
// longer be known as the leader. The leader therefore still holds its key, and requests can reach it through the store.
func (n *Node) useRelay(leader string) bool {
	return n.deps.Peers.UnreachableFor(leader) > n.settings.Tuning.LeaderLease
}

// HandleForwardedRequest answers a request that another controller forwarded.
func (n *Node) HandleForwardedRequest(ctx context.Context, req api.Request) api.Response {
	if req.Op == api.OpPing {
		return api.Response{Peer: n.peerStatus(req.ID)}
	}
	if v := n.view.Load(); v.scheduler != nil {
		return v.scheduler.HandleUserRequest(ctx, req)
	}
	return api.Unavailable(req.ID, "not the leader")
}

// peerStatus returns the status that this controller sends to a peer. A leader's status includes its delegation to the peer.
func (n *Node) peerStatus(peerName string) peer.Status {
	v := n.view.Load()
	status := n.election.Status()
	status.Version = peer.Version
	if r := v.role; !r.Leading || time.Now().Before(r.LeaseValidUntil) {
		status.Leader, status.Term = r.Leader, r.Term
	}
	status.SinceHeartbeat, status.SinceDelegatedRenewal = n.forwarder.lastHeartbeat.Since(status.Uptime), n.forwarder.lastDelegated.Since(status.Uptime)
	if v.scheduler != nil {
		status.DelegationTerm = v.scheduler.term
		status.DelegationPeriod, status.ExcludedMachines = v.scheduler.delegator.delegate(peerName)
	}
	return status
}

// HandleHeartbeat answers a worker's heartbeat.
func (n *Node) HandleHeartbeat(ctx context.Context, r *worker.Report) worker.HeartbeatResponse {
	return n.forwarder.heartbeat(ctx, r)
}

// HandleForwardedHeartbeats answers heartbeats that another controller forwarded. It returns nil if this controller isn't
// the leader.
func (n *Node) HandleForwardedHeartbeats(ctx context.Context, reports []*worker.Report) []worker.HeartbeatResponse {
	if v := n.view.Load(); v.scheduler != nil {
		return v.scheduler.HandleHeartbeats(ctx, reports)
	}
	return nil
}
