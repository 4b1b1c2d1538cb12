package scheduler

import (
	"slices"
	"time"

	"sagevale/internal/worker"
)

// Workers send their heartbeats to a controller in their own zone, so that they keep their controller when zones are
// partitioned from each other. The workers of a zone are distributed over its controllers, because one controller doesn't
// have enough sockets for all of them. A worker that reports to a different controller is redirected once. If it soon
// returns it couldn't reach the other controller, and isn't redirected again.

const (
	// redirectPauseLeases is the time after a redirection in which a worker isn't redirected again, in worker leases.
	redirectPauseLeases = 2
	// affinityProbeInterval is the least time between two redirections to a controller that receives no heartbeats. Such a
	// controller may have just started, or may be partitioned from the workers, so one worker at a time probes it.
	affinityProbeInterval = time.Second
)

// affinity chooses the controller to which a worker sends its heartbeats. It may be used only by the forwarder's goroutine.
type affinity struct {
	node       *Node
	names      []string             // all controllers, sorted
	zones      map[string]string    // by controller
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

// nodeFor returns the controller to which a worker is to be redirected, or "" if it should stay with this controller.
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
	if node == "" || node == self || !a.receivesHeartbeats(node, now) {
		return ""
	}
	return node
}

// pickNode returns one of the eligible controllers, or "" if there is none. For a given machine and set of eligible
// controllers it always returns the same one.
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

// canForward reports whether a controller can forward heartbeats to the leader: it is reachable and follows that leader.
func (a *affinity) canForward(name, leader string) bool {
	if name == a.node.settings.NodeName {
		return true
	}
	status, ok := a.node.deps.Peers.Status(name)
	return ok && status.Leader == leader && a.node.deps.Peers.UnreachableFor(name) == 0
}

// receivesHeartbeats reports whether a controller receives heartbeats, or is to be probed by redirecting a worker to it now.
func (a *affinity) receivesHeartbeats(name string, now time.Time) bool {
	if status, ok := a.node.deps.Peers.Status(name); ok && status.SinceHeartbeat+now.Sub(status.Received) < a.node.settings.HeartbeatInterval {
		return true
	}
	if now.Sub(a.lastProbed[name]) < affinityProbeInterval {
		return false
	}
	a.lastProbed[name] = now
	return true
}
