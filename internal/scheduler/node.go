package scheduler

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math"
	"math/rand/v2"
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

// writeShare of the leader's grant is how long the journal waits for an answer
// before it asks again: answers come within a tenth of that, and asking twice is
// harmless.
const writeShare = 0.2

// Dependencies are the outside parts that a node speaks to.
type Dependencies struct {
	State   storage.KeyValueStore
	Cloud   Cloud
	Workers WorkerLink
	Peers   PeerLink
	Log     *slog.Logger
	Rand    *rand.Rand
}

// Node is one controller: it follows or leads, and answers users and workers.
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
	view         atomic.Pointer[view] // published by the node's own goroutine
}

// view is what request handlers need to know, replaced as a whole.
type view struct {
	role      leadership.Role
	scheduler *scheduler // only while leading with the state loaded
}

// NewNode makes a node; Run starts it.
func NewNode(s *config.Settings, deps Dependencies) *Node {
	limits := s.State
	limits.RequestTimeout = clock.Scale(s.Tuning.LeaderLease, writeShare)
	n := &Node{settings: s, deps: deps, limitTracker: storage.NewLimitTracker(limits), roles: make(chan leadership.Role, 16)}
	process := fmt.Sprintf("%016x", deps.Rand.Uint64())
	n.registrar = leadership.NewRegistrar(deps.State, s, process, deps.Log)
	n.election = leadership.New(leadership.Config{
		Store: deps.State, Settings: s, Peers: peerPinger{deps.Peers}, Process: process,
		Registered: n.registrar.Registered, Log: deps.Log,
	})
	n.archive = newArchive(s, deps, n.limitTracker)
	n.relay = relay.NewClient(s, deps.State, n.limitTracker, deps.Rand.Uint64(), deps.Log)
	n.forwarder = newForwarder(n)
	n.view.Store(&view{})
	return n
}

// Run serves until ctx ends.
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
	g.Go(func() error { n.follow(ctx); return nil })
	g.Go(func() error { n.relay.Run(ctx); return nil })
	g.Go(func() error { n.archive.Run(ctx); return nil })
	g.Go(func() error { n.forwarder.run(ctx); return nil })
	return g.Wait()
}

// follow turns changes of role into terms begun and ended.
func (n *Node) follow(ctx context.Context) {
	var end context.CancelFunc
	var leading *scheduler
	loaded := make(chan *scheduler, 1)
	stop := func() {
		if end != nil {
			end()
			end, leading = nil, nil
		}
	}
	defer stop()
	for {
		var role leadership.Role
		select {
		case <-ctx.Done():
			return
		case d := <-loaded:
			cur := n.view.Load()
			if end == nil || !cur.role.Leading || cur.role.Term != d.term {
				continue // of a term that is over; the present one stays
			}
			leading, role = d, cur.role
		case role = <-n.roles:
		}
		cur := n.view.Load()
		if end != nil && (!role.Leading || role.Term != cur.role.Term) {
			stop()
		}
		n.publish(role, leading)
		if role.Leading && end == nil {
			tctx, cancel := context.WithCancel(ctx)
			end = cancel
			go n.term(tctx, role, loaded)
		}
	}
}

func (n *Node) publish(role leadership.Role, leading *scheduler) {
	if leading != nil && leading.term != role.Term {
		leading = nil
	}
	n.view.Store(&view{role: role, scheduler: leading})
	if leading != nil {
		leading.post(roleMessage{role})
	}
}

// term loads the state under a fresh lead, then runs its actors.
func (n *Node) term(ctx context.Context, role leadership.Role, loaded chan<- *scheduler) {
	started := time.Now()
	log := n.deps.Log.With("term", role.Term)
	journal, err := storage.OpenJournal(ctx, n.deps.State, n.limitTracker, role.Guard)
	if err != nil {
		if ctx.Err() == nil {
			log.Error("state not loaded", "err", err)
			n.resign(role.Term)
		}
		return
	}
	d, err := newScheduler(n.settings, n.deps, role, journal, n.election.Resign, log)
	if err != nil {
		log.Error("state not understood", "err", err)
		n.resign(role.Term)
		return
	}
	d.sinceHeartbeat = func() time.Duration { return n.forwarder.lastHeartbeat.Since(n.election.Status().Uptime) }
	upgrades := upgradecontrol.New(upgradecontrol.Config{
		Store: n.deps.State, Settings: n.settings, Peers: n.deps.Peers, Role: role, Users: termGates{d, journal}, Log: log,
	})
	d.requestGate = upgrades.RequestUse
	d.gates = role.Cluster.Record
	n.beginArchive(ctx, d, role)
	journal.OnEncodingNeeded(func() { upgrades.RequestUse(upgrade.CompressedChunks) })
	journal.SetEncoding(encodingOf(role.Cluster.Record))
	log.Info("take-over", "jobs", d.state.Jobs.Count(), "machines", d.state.Machines.Count(), "attempts", d.state.Reservations.Attempts(), "took", time.Since(started))
	g, gctx := errgroup.WithContext(ctx)
	background, waitForCalls := backgroundCalls(gctx)
	d.background = background // before any of the actors can speak to another
	d.autoscaler = autoscaling.New(autoscaling.Config{
		Settings: n.settings, Cloud: n.deps.Cloud, Journal: journal, Scheduler: d, Term: role.Term,
		Desired: d.desired, Launches: d.openLaunches, Done: gctx.Done(), Log: log,
	})
	g.Go(func() error { return journal.Run(gctx) })
	g.Go(func() error { return d.run(gctx) })
	g.Go(func() error { return d.autoscaler.Run(gctx) })
	g.Go(func() error { return upgrades.Run(gctx) })
	g.Go(func() error {
		relay.NewServer(n.settings, n.deps.State, n.limitTracker, role.Guard, d, n.deps.Log).Run(gctx)
		return nil
	})
	select {
	case loaded <- d:
	case <-ctx.Done():
	}
	err = g.Wait()
	d.close()
	n.archive.EndTerm(context.WithoutCancel(ctx), role.Term)
	defer waitForCalls()
	switch {
	case err == nil, errors.Is(err, context.Canceled):
	case errors.Is(err, storage.ErrLeadershipLost):
		log.Info("term ended", "err", err) // a successor leads, or will
		n.resign(role.Term)
	default:
		log.Error("term ended", "err", err)
		n.resign(role.Term)
	}
}

// beginArchive has the archive's pages be read for a term, if there may be any.
func (n *Node) beginArchive(ctx context.Context, d *scheduler, role leadership.Role) {
	d.archive = n.archive
	if d.archiveUsed || n.settings.Tuning.Archive.Enabled {
		n.archive.BeginTerm(ctx, archive.Leadership{Term: role.Term, Guard: role.Guard})
	}
}

// resign asks the leadership to end a term, unless it is ending anyway.
func (n *Node) resign(term uint64) {
	n.election.Resign(leadership.Resignation{Term: term})
}

// Role names what this node does at present, for operators.
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

// Ready tells whether users should be sent here: not where a leader lives but is
// out of reach, nor where this node neither leads for certain nor reaches any
// other. While nobody leads all nodes that see each other are as good. That the
// load balancer asks is noted, for it tells that this node isn't cut off.
func (n *Node) Ready() bool {
	n.forwarder.lastProbe.Mark(time.Now())
	v := n.view.Load()
	if v.role.Leading && time.Now().Before(v.role.LeaseValidUntil) {
		return true
	}
	leader, _ := n.leader(v)
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

// leader is who leads, first-hand or, where that is later, by the status of the
// peers: this node alone may have lost the state service.
func (n *Node) leader(v *view) (name string, term uint64) {
	name, term = v.role.Leader, v.role.Term
	if told, t := n.deps.Peers.KnownLeader(); t > term && told != n.settings.NodeName {
		return told, t
	}
	return name, term
}

// HandleUserRequest answers a user's request here, if this node leads, or by the leader.
func (n *Node) HandleUserRequest(ctx context.Context, req api.Request) api.Response {
	v := n.view.Load()
	if v.scheduler != nil {
		return v.scheduler.HandleUserRequest(ctx, req)
	}
	if a, ok := n.archived(req); ok {
		return a
	}
	leader, _ := n.leader(v)
	if leader == "" || leader == n.settings.NodeName {
		return api.Unavailable(req.ID, "no leader yet")
	}
	asked := time.Now()
	var a api.Response
	if n.useRelay(leader) {
		// The leader's answer was carried by a transaction that its key guards,
		// so only what changes from poll to poll can be outdated.
		if a = n.relay.HandleUserRequest(ctx, req); req.Op != api.OpPoll {
			return a
		}
	} else {
		var err error
		if a, err = n.deps.Peers.Forward(ctx, leader, req); err != nil {
			return api.Unavailable(req.ID, "leader out of reach")
		}
	}
	if a.ValidFor > 0 && !a.Final() && time.Since(asked) > clock.Scale(a.ValidFor, 1/clock.DriftBound) {
		return api.Unavailable(req.ID, "the leader's answer came late")
	}
	return a
}

// hearsState tells whether the state service has answered this node lately:
// its leadership, or its relay while that leads to the leader.
func (n *Node) hearsState() bool {
	since := min(n.election.Status().SinceStoreContact, n.relay.SinceAccepted(math.MaxInt64))
	return since < relay.Timeout+n.settings.Tuning.LeaderLease
}

// useRelay tells whether the leader lives, for its key outlasts its grant's
// life, and yet can't be reached: then only the state service leads to it.
func (n *Node) useRelay(leader string) bool {
	return n.deps.Peers.UnreachableFor(leader) > n.settings.Tuning.LeaderLease
}

// HandleForwardedRequest answers a request that another node forwarded.
func (n *Node) HandleForwardedRequest(ctx context.Context, req api.Request) api.Response {
	if req.Op == api.OpPing {
		return api.Response{Peer: n.status(req.ID)}
	}
	if v := n.view.Load(); v.scheduler != nil {
		return v.scheduler.HandleUserRequest(ctx, req)
	}
	return api.Unavailable(req.ID, "not the leader")
}

// status is what this node tells a peer of itself.
func (n *Node) status(asker string) peer.Status {
	v := n.view.Load()
	st := n.election.Status()
	st.Version = peer.Version
	if r := v.role; !r.Leading || time.Now().Before(r.LeaseValidUntil) {
		st.Leader, st.Term = r.Leader, r.Term
	}
	st.SinceHeartbeat, st.SinceDelegatedRenewal = n.forwarder.lastHeartbeat.Since(st.Uptime), n.forwarder.lastDelegated.Since(st.Uptime)
	if v.scheduler != nil {
		st.DelegationTerm = v.scheduler.term
		st.DelegatesFor, st.Excluded = v.scheduler.delegator.delegate(asker)
	}
	return st
}

// HandleHeartbeat answers a worker's report.
func (n *Node) HandleHeartbeat(ctx context.Context, r *worker.Report) worker.HeartbeatResponse {
	return n.forwarder.heartbeat(ctx, r)
}

// HandleForwardedHeartbeats answers reports that another node hands on; nil means that this
// node doesn't decide on them.
func (n *Node) HandleForwardedHeartbeats(ctx context.Context, reports []*worker.Report) []worker.HeartbeatResponse {
	if v := n.view.Load(); v.scheduler != nil {
		return v.scheduler.HandleHeartbeats(ctx, reports)
	}
	return nil
}
