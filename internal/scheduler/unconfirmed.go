package scheduler

import (
	"time"

	"sagevale/internal/clock"
	"sagevale/internal/cluster"
)

const (
	// unconfirmedLease is how much of a lease after a take-over a machine may
	// stay unheard before it counts as lost.
	unconfirmedLease = 0.5
	// unconfirmedShare of the machines may be lost at a time; if more are silent,
	// the trouble is ours or a zone's.
	unconfirmedShare = 0.25
)

// abandonUnconfirmed finds machines that carry services and have not been heard
// since the take-over, while nearly all others have. Their lease bound must
// cover an earlier leader's hold and so is long; a deletion's 200 proves them
// empty sooner. That is done only where their services find room elsewhere: a
// machine that comes back has its images.
func (d *scheduler) abandonUnconfirmed(now time.Time) []int {
	if !d.leaseValid(now) || now.Sub(d.termStarted) < max(clock.Scale(d.settings.WorkerLease, unconfirmedLease), d.settings.ReportFreshness()) {
		return nil
	}
	var silent []*cluster.Machine
	carrying := 0
	for _, m := range d.state.Machines.InOrder() {
		if len(m.Attempts) == 0 || m.Terminating {
			continue
		}
		carrying++
		if !m.Confirmed && m.LastContact.IsZero() && m.Type != nil {
			silent = append(silent, m)
		}
	}
	if float64(len(silent)) > max(1, unconfirmedShare*float64(carrying)) {
		return nil
	}
	var lost []int
	candidates := d.planner.ReadyCandidates(now)
	d.planner.UpdatePerGPU(now)
	for _, m := range silent {
		if d.reviewer.CanRehome(m, candidates, now) {
			d.log.Info("machine unconfirmed since failover", "machine", m.ID, "attempts", len(m.Attempts))
			lost = append(lost, m.ID)
		}
	}
	return lost
}
