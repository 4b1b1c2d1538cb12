package scheduler

import (
	"time"

	"sagevale/internal/cluster"
	"sagevale/internal/leadership"
)

// A leader that has lost the workers, but neither its peers nor the key-value store, still gets heartbeats forwarded by
// its peers. Its direct commands fail, so starts wait for heartbeats. It hands leadership over to a controller that
// receives heartbeats itself.

// unreachableMachines is how many machines whose heartbeats arrive must be out of reach of direct commands, with none
// reached in between, before leadership is handed over.
const unreachableMachines = 8

// noteReachable records whether a direct command reached a machine, and hands leadership over if none does.
func (s *scheduler) noteReachable(m *cluster.Machine, reached bool, now time.Time) {
	if reached {
		clear(s.commandsFailing)
		return
	}
	if m.LastContact.IsZero() || now.Sub(m.LastContact) > 2*s.settings.HeartbeatInterval {
		return
	}
	s.commandsFailing[m.ID] = true
	if len(s.commandsFailing) < min(unreachableMachines, max(1, s.state.Machines.Count())) {
		return
	}
	if s.sinceHeartbeat() > s.settings.HeartbeatInterval && s.peerReceivesHeartbeats() {
		s.log.Info("leadership handover", "unreachable_machines", len(s.commandsFailing))
		clear(s.commandsFailing)
		s.resignOnce("workers unreachable", true)
	}
}

// peerReceivesHeartbeats reports whether a peer in reach receives heartbeats itself.
func (s *scheduler) peerReceivesHeartbeats() bool {
	for _, p := range s.settings.Peers {
		if w, ok := s.deps.Peers.Status(p.Name); ok && s.deps.Peers.UnreachableFor(p.Name) == 0 && w.SinceHeartbeat < s.settings.HeartbeatInterval {
			return true
		}
	}
	return false
}

// resignLeadership gives up leadership; this controller may be elected again at once.
func (s *scheduler) resignLeadership(reason string) { s.resignOnce(reason, false) }

// resignOnce gives up leadership, once. Nothing is delegated from here on. With standDown this controller leaves the
// next election to others.
func (s *scheduler) resignOnce(reason string, standDown bool) {
	if s.resigned {
		return // messages that queued up while this process was paused may lead here several times
	}
	s.log.Info("leadership resigned", "reason", reason)
	s.resigned = true
	r := s.role
	r.LeaseValidUntil, r.RenewUntil = time.Time{}, time.Time{}
	s.setRole(r)
	s.delegator.terms.Store(nil)
	s.resign(leadership.Resignation{Term: s.term, StandDown: standDown})
}
