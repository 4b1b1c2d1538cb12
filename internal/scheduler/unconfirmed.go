package scheduler

import (
	"time"

	"sagevale/internal/clock"
	"sagevale/internal/cluster"
)

const (
	// unconfirmedTimeoutLeases is how long after a failover a machine may stay silent before it counts as lost, in worker
	// leases.
	unconfirmedTimeoutLeases = 0.5
	// maxUnconfirmedShare is the largest share of the machines with attempts that may be silent. If more of them are silent,
	// the cause is this controller's network or the failure of a zone, and no machine counts as lost.
	maxUnconfirmedShare = 0.25
)

// lostSinceFailover returns the machines to terminate because they have been silent since the failover, although most
// machines have reported. The leases of silent machines expire late, because the earlier leader may have renewed them. The
// cloud's confirmation that a machine is deleted proves sooner that no task runs on it.
//
// A machine is not terminated if its services don't fit on other machines. They can then only run on this machine, and its
// images are still cached if it becomes reachable again.
func (s *scheduler) lostSinceFailover(now time.Time) []int {
	if !s.leaseValid(now) || now.Sub(s.termStarted) < max(clock.Scale(s.settings.WorkerLease, unconfirmedTimeoutLeases), s.settings.ReportFreshness()) {
		return nil
	}
	var silent []*cluster.Machine
	occupied := 0
	for _, m := range s.state.Machines.InOrder() {
		if len(m.Attempts) == 0 || m.Terminating {
			continue
		}
		occupied++
		if !m.Confirmed && m.LastContact.IsZero() && m.Type != nil {
			silent = append(silent, m)
		}
	}
	if float64(len(silent)) > max(1, maxUnconfirmedShare*float64(occupied)) {
		return nil
	}
	var lost []int
	candidates := s.planner.ReadyCandidates(now)
	s.planner.UpdateMaxPerGPU(now)
	for _, m := range silent {
		if s.reviewer.CanRelocateServices(m, candidates, now) {
			s.log.Info("machine unconfirmed since failover", "machine", m.ID, "attempts", len(m.Attempts))
			lost = append(lost, m.ID)
		}
	}
	return lost
}
