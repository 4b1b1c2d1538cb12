package scheduler

import (
	"time"

	"sagevale/internal/cluster"
)

// expireLeases removes the attempts on machines whose leases have provably expired.
func (s *scheduler) expireLeases(now time.Time) {
	for _, m := range s.state.Machines.InOrder() {
		if !m.Confirmed && len(m.Attempts) == 0 {
			continue
		}
		if now.Before(s.leaseExpiredBy(m)) {
			continue
		}
		s.log.Info("worker lease expired", "machine", m.ID, "attempts", len(m.Attempts))
		for _, a := range m.SortedAttempts() {
			s.removeAttempt(a, "worker lease expired")
		}
		// A worker whose lease has expired begins a new incarnation. Reports of the ended incarnation may still arrive, but no
		// longer set Confirmed.
		m.Confirmed, m.ExpiredIncarnation = false, m.Incarnation
	}
}

// leaseExpiredBy returns the time by which the lease of a machine has certainly expired if the machine stays silent. As long
// as the machine hasn't reported a token of this term, an earlier leader may have renewed its lease, and so may a peer under
// a delegation of that leader.
func (s *scheduler) leaseExpiredBy(m *cluster.Machine) time.Time {
	bound := s.delegatedLeaseBound(m)
	if !m.Confirmed {
		if unconfirmedBound := s.termStarted.Add(s.settings.UnconfirmedLeaseBound()); unconfirmedBound.After(bound) {
			return unconfirmedBound
		}
	}
	return bound
}
