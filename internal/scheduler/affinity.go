package scheduler

import (
	"slices"
	"time"

	"sagevale/internal/worker"
)

// Workers send their heartbeats to a controller in their own zone, so that they keep their controller when zones are
// partitioned from each other. The workers of a zone are distributed over the zone's controllers, because one controller
// doesn't have enough sockets for all of them. A worker that reports to a different controller than the one chosen for it
// is redirected to the chosen controller. If the worker soon returns, it couldn't reach the chosen controller, so it isn't
// redirected again for some time.

const (
	// redirectPauseLeases is the minimum time between two redirections of the same worker, in worker leases.
	redirectPauseLeases = 2
	// affinityProbeInterval is the minimum time between two redirections to a controller that receives no heartbeats. Such a
	// controller may have just started, or may be partitioned from the workers. Redirecting one worker at a time probes
	// whether workers can reach it.
	affinityProbeInterval = time.Second
)

// affinity chooses the controller to which a worker sends its heartbeats. It may be used only by the forwarder's goroutine.
type affinity struct {
	node       *Node
	names      []string             // all controllers, sorted
	zones      map[string]string    // zone of each controller
	lastProbed map[string]time.Time // when a worker was last redirected to a controller without heartbeats
}

func newAffinity(n *Node) affinity {
	a := affinity{
		node: n, names: []string{n.settings.NodeName}, zones: map[string]string{n.settings.NodeName: n.settings.Zone},
		lastProbed: make(map[string]time.Time),
	}
	for _, p := range n.settings.Peers {
		a.names = append(a.names, p.Name)
		a.zones[p.Name] = p.Zone
	}
	slices.Sort(a.names)
	return a
}

// nodeFor returns the controller to which a worker is to be redirected, or "" if the worker should stay with this
// controller. It chooses a controller in another zone only if no controller in the worker's zone can forward heartbeats.
func (a *affinity) nodeFor(r *worker.Report, known *knownWorker, now time.Time) string {
	self := a.node.settings.NodeName
	if !known.redirected.IsZero() && now.Sub(known.redirected) < redirectPauseLeases*a.node.settings.WorkerLease {
		return ""
	}
	leader := a.node.leader(a.node.view.Load())
	if leader == "" {
		return ""
	}
	node := a.pickNode(r.Machine, func(name string) bool { return a.zones[name] == r.Zone && a.canForward(name, leader) })
	if node == "" {
		node = a.pickNode(r.Machine, func(name string) bool { return a.canForward(name, leader) })
	}
	if node == "" || node == self || !a.mayRedirectTo(node, now) {
		return ""
	}
	return node
}

// pickNode returns one of the eligible controllers, or "" if there is none. The choice depends only on the machine and on
// the set of eligible controllers.
func (a *affinity) pickNode(machine int, eligible func(string) bool) string {
	var names []string
	for _, n := range a.names {
		if eligible(n) {
			names = append(names, n)
		}
	}
	if len(names) == 0 {
		return ""
	}
	return names[machine%len(names)]
}

// canForward reports whether a controller can forward heartbeats to the leader. The controller must be reachable, and its
// status must name the same leader.
func (a *affinity) canForward(name, leader string) bool {
	if name == a.node.settings.NodeName {
		return true
	}
	status, ok := a.node.deps.Peers.Status(name)
	return ok && status.Leader == leader && a.node.deps.Peers.UnreachableFor(name) == 0
}

// mayRedirectTo reports whether a worker may be redirected to a controller now. That is the case if the controller
// receives heartbeats. To a controller that receives none, one worker per affinityProbeInterval may be redirected as a
// probe, and mayRedirectTo records the time of the probe.
func (a *affinity) mayRedirectTo(name string, now time.Time) bool {
	if status, ok := a.node.deps.Peers.Status(name); ok && status.SinceHeartbeat+now.Sub(status.Received) < a.node.settings.HeartbeatInterval {
		return true
	}
	if now.Sub(a.lastProbed[name]) < affinityProbeInterval {
		return false
	}
	a.lastProbed[name] = now
	return true
}
