package scheduler

import (
	"time"

	"sagevale/internal/cluster"
	"sagevale/internal/leadership"
)

// Leadership handover: a leader may lose its connections to the workers but still reach its peers and the key-value store.
// The peers then forward the workers' heartbeats to the leader, but its direct commands fail. Start commands reach the workers
// only in the responses to heartbeats. Such a leader hands leadership over to a controller that receives heartbeats itself.

// handoverThreshold is the number of machines that direct commands must fail to reach before leadership is handed over. In a
// fleet of fewer machines, all must be unreachable. Only machines whose reports still arrive are counted. The count starts
// again at zero whenever a direct command reaches any machine.
const handoverThreshold = 8

// updateReachability records whether a direct command reached a machine. It hands leadership over once direct commands have
// failed to reach handoverThreshold machines, if this controller receives no heartbeats from workers but a peer does.
func (s *scheduler) updateReachability(m *cluster.Machine, reached bool, now time.Time) {
	if reached {
		clear(s.unreachableMachines)
		return
	}
	if m.LastContact.IsZero() || now.Sub(m.LastContact) > 2*s.settings.HeartbeatInterval {
		return
	}
	s.unreachableMachines[m.ID] = true
	if len(s.unreachableMachines) < min(handoverThreshold, max(1, s.state.Machines.Count())) {
		return
	}
	if s.sinceHeartbeat() > s.settings.HeartbeatInterval && s.peerReceivesHeartbeats() {
		s.log.Info("leadership handover", "unreachable_machines", len(s.unreachableMachines))
		clear(s.unreachableMachines)
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

// resignOnce gives up leadership, at most once per term. After the resignation this controller grants no delegations of
// lease renewals. If standDown is set, another controller is to be elected next.
func (s *scheduler) resignOnce(reason string, standDown bool) {
	if s.resigned {
		return // after a pause of the process, several of the messages in the mailbox may cause a resignation
	}
	s.log.Info("leadership resigned", "reason", reason)
	s.resigned = true
	r := s.role
	r.LeaseValidUntil, r.RenewWorkersUntil = time.Time{}, time.Time{}
	s.setRole(r)
	s.delegator.limits.Store(nil)
	s.resign(leadership.Resignation{Term: s.term, StandDown: standDown})
}
