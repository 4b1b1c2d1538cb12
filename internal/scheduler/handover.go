package scheduler

import (
	"time"

	"sagevale/internal/cluster"
	"sagevale/internal/leadership"
)

// Leadership handover: a leader may lose its connections to the workers and keep those to its peers and the key-value store.
// Its peers still forward the workers' heartbeats, but its direct commands fail, so tasks start only with the responses to
// heartbeats. Such a leader hands leadership over to a controller that receives heartbeats itself.

// handoverThreshold is the number of machines that must be out of reach of direct commands, although their reports arrive,
// before leadership is handed over. The count starts again whenever a direct command reaches a machine.
const handoverThreshold = 8

// noteReachable records whether a direct command reached a machine, and hands leadership over if no machine can be reached.
func (s *scheduler) noteReachable(m *cluster.Machine, reached bool, now time.Time) {
	if reached {
		clear(s.commandsFailing)
		return
	}
	if m.LastContact.IsZero() || now.Sub(m.LastContact) > 2*s.settings.HeartbeatInterval {
		return
	}
	s.commandsFailing[m.ID] = true
	if len(s.commandsFailing) < min(handoverThreshold, max(1, s.state.Machines.Count())) {
		return
	}
	if s.sinceHeartbeat() > s.settings.HeartbeatInterval && s.peerReceivesHeartbeats() {
		s.log.Info("leadership handover", "unreachable_machines", len(s.commandsFailing))
		clear(s.commandsFailing)
		s.resignOnce("workers unreachable", true)
	}
}

// peerReceivesHeartbeats reports whether some reachable peer receives heartbeats directly from workers.
func (s *scheduler) peerReceivesHeartbeats() bool {
	for _, p := range s.settings.Peers {
		if status, ok := s.deps.Peers.Status(p.Name); ok && s.deps.Peers.UnreachableFor(p.Name) == 0 && status.SinceHeartbeat < s.settings.HeartbeatInterval {
			return true
		}
	}
	return false
}

// resignLeadership gives up leadership. This controller may be elected again immediately.
func (s *scheduler) resignLeadership(reason string) { s.resignOnce(reason, false) }

// resignOnce gives up leadership unless it has done so before. From then on this controller delegates no lease renewals. If
// standDown is set, another controller is to lead next.
func (s *scheduler) resignOnce(reason string, standDown bool) {
	if s.resigned {
		return // messages that queued up while the process was paused may cause several calls
	}
	s.log.Info("leadership resigned", "reason", reason)
	s.resigned = true
	r := s.role
	r.LeaseValidUntil, r.RenewWorkersUntil = time.Time{}, time.Time{}
	s.setRole(r)
	s.delegator.terms.Store(nil)
	s.resign(leadership.Resignation{Term: s.term, StandDown: standDown})
}
