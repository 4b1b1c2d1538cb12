package scheduler

import (
	"slices"
	"time"

	"sagevale/internal/worker"
)

// Workers report to a node of their own zone, so that a cut between zones
// leaves them with it, and the nodes of a zone share its workers: one node's
// sockets don't hold them all. A worker that comes to another node is redirected
// once; if it is back soon, it couldn't report there, and stays.

const (
	// affinityLeases is how long a worker that was redirected may stay elsewhere, in
	// leases.
	affinityLeases = 2
	// affinityProbePause is how often a worker is sent to a node that hears none: it may
	// have just begun, or be cut off from them.
	affinityProbePause = time.Second
)

// affinity knows where workers belong. It is the forwarder's own.
type affinity struct {
	node   *Node
	names  []string // all nodes
	zones  map[string]string
	probed map[string]time.Time
}

func newAffinity(n *Node) affinity {
	h := affinity{node: n, names: []string{n.settings.NodeName}, zones: map[string]string{n.settings.NodeName: n.settings.Zone}, probed: make(map[string]time.Time)}
	for _, p := range n.settings.Peers {
		h.names = append(h.names, p.Name)
		h.zones[p.Name] = p.Zone
	}
	slices.Sort(h.names)
	return h
}

// nodeFor returns the node that a worker should report to; "" if it may stay here.
func (h *affinity) nodeFor(r *worker.Report, known *knownWorker, now time.Time) string {
	self := h.node.settings.NodeName
	if !known.redirected.IsZero() && now.Sub(known.redirected) < affinityLeases*h.node.settings.WorkerLease {
		return ""
	}
	leader, _ := h.node.leader(h.node.view.Load())
	if leader == "" {
		return ""
	}
	node := h.pick(r.Machine, func(name string) bool { return h.zones[name] == r.Zone && h.canForward(name, leader) })
	if node == "" {
		node = h.pick(r.Machine, func(name string) bool { return h.canForward(name, leader) })
	}
	if node == "" || node == self || !h.hearsWorkers(node, now) {
		return ""
	}
	return node
}

// pick picks one of the nodes that suit, the same one for a machine each time.
func (h *affinity) pick(machine int, suits func(string) bool) string {
	var names []string
	for _, n := range h.names {
		if suits(n) {
			names = append(names, n)
		}
	}
	if len(names) == 0 {
		return ""
	}
	return names[machine%len(names)]
}

// canForward tells whether a node can hand reports to the leader.
func (h *affinity) canForward(name, leader string) bool {
	if name == h.node.settings.NodeName {
		return true
	}
	w, ok := h.node.deps.Peers.Status(name)
	return ok && w.Leader == leader && h.node.deps.Peers.UnreachableFor(name) == 0
}

// hearsWorkers tells whether a node hears workers; now and then one is sent to a node
// that hears none.
func (h *affinity) hearsWorkers(name string, now time.Time) bool {
	if w, ok := h.node.deps.Peers.Status(name); ok && w.SinceHeartbeat+now.Sub(w.Received) < h.node.settings.HeartbeatInterval {
		return true
	}
	if now.Sub(h.probed[name]) < affinityProbePause {
		return false
	}
	h.probed[name] = now
	return true
}
