package scheduler

import (
	"time"

	"sagevale/internal/cluster"
)

// A leader that has lost its workers, but neither its peers nor the state
// service, still gets their reports by way of the peers; its direct orders go
// nowhere, so starts wait for reports. It hands its lead to a node that hears
// workers.

const (
	// unreachableMachines is how many machines whose reports arrive must be out of reach
	// of direct orders, with none reached in between, before the lead is handed
	// over.
	unreachableMachines = 8
)

// noteReachable notes whether a machine that reports could be noteReachable directly.
func (d *scheduler) noteReachable(m *cluster.Machine, ok bool, now time.Time) {
	switch {
	case ok:
		clear(d.commandsFailing)
	case m.LastContact.IsZero() || now.Sub(m.LastContact) > 2*d.settings.HeartbeatInterval:
	default:
		d.commandsFailing[m.ID] = true
		if len(d.commandsFailing) >= min(unreachableMachines, max(1, d.state.Machines.Count())) && d.sinceHeartbeat() > d.settings.HeartbeatInterval && d.peerHearsWorkers() {
			d.log.Info("handing over", "unreached", len(d.commandsFailing))
			clear(d.commandsFailing)
			d.resignOnce("this node doesn't reach the workers", true)
		}
	}
}

// peerHearsWorkers tells whether a peer in reach hears workers itself.
func (d *scheduler) peerHearsWorkers() bool {
	for _, p := range d.settings.Peers {
		if w, ok := d.deps.Peers.Status(p.Name); ok && d.deps.Peers.UnreachableFor(p.Name) == 0 && w.SinceHeartbeat < d.settings.HeartbeatInterval {
			return true
		}
	}
	return false
}
