package scheduler

import (
	"time"

	"sagevale/internal/clock"
	"sagevale/internal/cluster"
	"sagevale/internal/worker"
)

// applyReport reconciles a machine's attempts with a worker's report. heartbeat is false for the report in a response to
// direct commands.
func (s *scheduler) applyReport(m *cluster.Machine, r *worker.Report, heartbeat bool, now time.Time) {
	if m.Stale(r) {
		return
	}
	if r.Incarnation > m.Incarnation {
		s.incarnationEnded(m, r, now)
	}
	m.Incarnation, m.Seq, m.Token = r.Incarnation, r.Seq, max(m.Token, r.Token)
	m.Fence.ObserveToken(r.Token)
	s.updateMachine(m, r)
	first := s.tokens.Contains(r.Token) && !m.Confirmed && r.Incarnation > m.ExpiredIncarnation
	if first {
		s.confirmMachine(m, now)
	}
	m.LastContact = now
	if heartbeat {
		m.LastHeartbeat = now
	}
	if r.NoticeSeconds != nil && m.PreemptionAt.IsZero() {
		m.PreemptionAt = now.Add(clock.Seconds(*r.NoticeSeconds))
		s.drain(m, "spot notice")
	}
	listed := make(map[cluster.AttemptKey]bool, len(r.Tasks))
	m.Exited = m.Exited[:0]
	for _, t := range r.Tasks {
		listed[cluster.AttemptKey{ID: t.ID, Number: t.Attempt}] = true
		s.applyTaskReport(m, r, t, now)
	}
	if first {
		s.learnEarlierFailures(m, r)
	}
	if heartbeat {
		s.checkResponsive(m, r, now)
	}
	for _, a := range m.SortedAttempts() {
		if !listed[a.Key()] && s.provedAbsent(a, r, heartbeat) {
			s.removeAttempt(a, "absent from a newer report")
		}
	}
}

// updateMachine updates what a machine's record holds, and has it written if it has changed.
func (s *scheduler) updateMachine(m *cluster.Machine, r *worker.Report) {
	if m.TypeName != r.Type || m.Addr != r.Addr || m.Zone != r.Zone {
		m.Addr, m.TypeName, m.Zone, m.Spot, m.Type = r.Addr, r.Type, r.Zone, r.Spot, s.state.Types.Get(r.Type)
		m.Recorded = false
	}
	if !m.Recorded {
		s.markMachine(m)
	}
}

// confirmMachine handles the first report of a machine under this term's token. From here on only this leader's own
// responses renew its lease.
func (s *scheduler) confirmMachine(m *cluster.Machine, now time.Time) {
	m.Confirmed, m.LastAcknowledged = true, now
	s.reviewer.NoteProvisioned(m, now)
	if len(m.Attempts) == 0 {
		m.IdleSince = now
	}
	s.log.Debug("machine ready", "machine", m.ID, "type", m.TypeName, "zone", m.Zone, "spot", m.Spot, "duration", now.Sub(m.FirstSeen))
	s.placementDue = true
}

// incarnationEnded removes the attempts of a worker's earlier incarnations, which its lost lease has ended.
func (s *scheduler) incarnationEnded(m *cluster.Machine, r *worker.Report, now time.Time) {
	if m.Confirmed && now.Sub(m.LastContact) <= s.settings.ReportFreshness() {
		// Its heartbeats arrived, so the responses were lost.
		m.LostIncarnations++
		m.QuarantinedUntil = now.Add(clock.Scale(s.settings.WorkerLease, float64(min(m.LostIncarnations, maxQuarantineLeases))))
		s.log.Info("worker lease lost", "machine", m.ID, "incarnation", r.Incarnation, "lost_incarnations", m.LostIncarnations)
	}
	for _, a := range m.SortedAttempts() {
		if a.Incarnation < r.Incarnation {
			s.removeAttempt(a, "later incarnation")
		}
	}
	m.Fence.IncarnationEnded()
	m.Recorded = false
	// The new incarnation's lease began before now. Counting on from the responses to the one before would declare
	// its tasks lost while they run.
	m.LastAcknowledged = now
}

// checkResponsive cordons a machine for a while whose heartbeats arrive but which doesn't carry out commands.
func (s *scheduler) checkResponsive(m *cluster.Machine, r *worker.Report, now time.Time) {
	m.Unresponsive = false
	for _, a := range m.Attempts {
		if !a.Reported && a.CommandedSeq != 0 && r.Seq > a.CommandedSeq+1 && now.Sub(a.ReservedAt) > 2*s.settings.HeartbeatInterval {
			m.Unresponsive = true
			m.QuarantinedUntil = now.Add(s.settings.ReportFreshness())
			s.log.Debug("machine unresponsive", "machine", m.ID)
			return
		}
	}
}

// provedAbsent reports whether a newer report that doesn't list the attempt proves that it is not on the machine and
// can't be started there any more.
func (s *scheduler) provedAbsent(a *cluster.Attempt, r *worker.Report, heartbeat bool) bool {
	switch {
	case !s.tokens.Contains(r.Token) || r.Incarnation != a.Incarnation:
		return false
	case !a.ThisTerm:
		// Workers that know our token reject an earlier leader's commands.
		return true
	case !a.MaybeDelivered() || a.StartUnresolved():
		return false
	case !heartbeat:
		// A response that carries the start may still be in flight.
		return false
	}
	// An attempt that was never reported hasn't been started. It is commanded again, under the same number.
	return a.Reported
}
