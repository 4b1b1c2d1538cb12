package scheduler

import (
	"time"

	"sagevale/internal/cluster"
)

// expireLeases frees the attempts on machines whose lease has surely ended, and
// gives up starts that no worker takes.
func (d *scheduler) expireLeases(now time.Time) {
	for _, m := range d.state.Machines.InOrder() {
		if !m.Confirmed && len(m.Attempts) == 0 {
			continue
		}
		if now.Before(d.provenEmptyAt(m)) {
			continue
		}
		d.log.Info("lease surely ended", "machine", m.ID, "attempts", len(m.Attempts))
		for _, a := range m.SortedAttempts() {
			d.removeAttempt(a, "its lease has surely ended")
		}
		// The next report comes under a later session.
		m.Confirmed, m.ExpiredIncarnation = false, m.Incarnation
	}
}

// provenEmptyAt is when a machine that stays silent has surely lost its lease. Until
// it has heard our token, an earlier leader, or a peer with a delegation of that one,
// may have been renewing it.
func (d *scheduler) provenEmptyAt(m *cluster.Machine) time.Time {
	bound := d.delegatedLeaseBound(m)
	if !m.Confirmed {
		if b := d.termStarted.Add(d.settings.UnconfirmedLeaseBound()); b.After(bound) {
			return b
		}
	}
	return bound
}
