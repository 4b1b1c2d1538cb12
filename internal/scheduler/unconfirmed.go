package scheduler

import (
	"time"

	"sagevale/internal/clock"
	"sagevale/internal/cluster"
)

const (
	// unconfirmedLease is for how long after a failover a machine may stay silent before it counts as lost, in worker
	// leases.
	unconfirmedLease = 0.5
	// unconfirmedShare is the share of the machines that may be lost at a time. If more are silent, the cause is this
	// controller's network or a zone.
	unconfirmedShare = 0.25
)

// lostSinceFailover returns the machines to terminate because they have been silent since the failover, while nearly all
// others have reported. Their lease bound has to cover the renewals of an earlier leader and so is long; the confirmation
// of a deletion proves them empty sooner. Only machines are returned whose work fits elsewhere: a machine that comes back
// still has its images.
func (s *scheduler) lostSinceFailover(now time.Time) []int {
	if !s.leaseValid(now) || now.Sub(s.termStarted) < max(clock.Scale(s.settings.WorkerLease, unconfirmedLease), s.settings.ReportFreshness()) {
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
	if float64(len(silent)) > max(1, unconfirmedShare*float64(occupied)) {
		return nil
	}
	var lost []int
	candidates := s.planner.ReadyCandidates(now)
	s.planner.UpdatePerGPU(now)
	for _, m := range silent {
		if s.reviewer.CanRehome(m, candidates, now) {
			s.log.Info("machine unconfirmed since failover", "machine", m.ID, "attempts", len(m.Attempts))
			lost = append(lost, m.ID)
		}
	}
	return lost
}
