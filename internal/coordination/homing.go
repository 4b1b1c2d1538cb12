package coordination

import (
	"slices"
	"time"
)

// Workers report to a node of their own zone, so that a cut between zones
// leaves them with it, and the nodes of a zone share its workers: one node's
// sockets don't hold them all. A worker that comes to another node is sent home
// once; if it is back soon, it couldn't report there, and stays.

const (
	// homeLeases is how long a worker that was sent home may stay elsewhere, in
	// leases.
	homeLeases = 2
	// tryPause is how often a worker is sent to a node that hears none: it may
	// have just begun, or be cut off from them.
	tryPause = time.Second
)

// homing knows where workers belong. It is the courier's own.
type homing struct {
	node  *Node
	names []string // all nodes
	zones map[string]string
	tried map[string]time.Time
}

func newHoming(n *Node) homing {
	h := homing{node: n, names: []string{n.settings.Node}, zones: map[string]string{n.settings.Node: n.settings.Zone}, tried: make(map[string]time.Time)}
	for _, p := range n.settings.Peers {
		h.names = append(h.names, p.Name)
		h.zones[p.Name] = p.Zone
	}
	slices.Sort(h.names)
	return h
}

// of returns the node that a worker should report to; "" if it may stay here.
func (h *homing) of(r *Report, w *caller, now time.Time) string {
	self := h.node.settings.Node
	if !w.sentHome.IsZero() && now.Sub(w.sentHome) < homeLeases*h.node.settings.Lease {
		return ""
	}
	leader, _ := h.node.leader(h.node.view.Load())
	if leader == "" {
		return ""
	}
	home := h.share(r.Machine, func(name string) bool { return h.zones[name] == r.Zone && h.fit(name, leader) })
	if home == "" {
		home = h.share(r.Machine, func(name string) bool { return h.fit(name, leader) })
	}
	if home == "" || home == self || !h.hears(home, now) {
		return ""
	}
	return home
}

// share picks one of the nodes that suit, the same one for a machine each time.
func (h *homing) share(machine int, suits func(string) bool) string {
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

// fit tells whether a node can hand reports to the leader.
func (h *homing) fit(name, leader string) bool {
	if name == h.node.settings.Node {
		return true
	}
	w, ok := h.node.deps.Peers.Told(name)
	return ok && w.Leader == leader && h.node.deps.Peers.Unheard(name) == 0
}

// hears tells whether a node hears workers; now and then one is sent to a node
// that hears none.
func (h *homing) hears(name string, now time.Time) bool {
	if w, ok := h.node.deps.Peers.Told(name); ok && w.Hears+now.Sub(w.Got) < h.node.settings.Report {
		return true
	}
	if now.Sub(h.tried[name]) < tryPause {
		return false
	}
	h.tried[name] = now
	return true
}
