package scheduler

import (
	"time"

	"sagevale/internal/clock"
	"sagevale/internal/cluster"
	"sagevale/internal/worker"
)

// applyReport reconciles a machine and its attempts with a worker's report. heartbeat is false if the report is the
// response to a direct request.
func (s *scheduler) applyReport(m *cluster.Machine, r *worker.Report, heartbeat bool, now time.Time) {
	if m.Stale(r) {
		return
	}
	if r.Incarnation > m.Incarnation {
		s.handleNewIncarnation(m, r, now)
	}
	m.Incarnation, m.Seq, m.Token = r.Incarnation, r.Seq, max(m.Token, r.Token)
	m.Fence.ObserveToken(r.Token)
	s.updateMachine(m, r)
	firstConfirmed := s.tokens.Contains(r.Token) && !m.Confirmed && r.Incarnation > m.ExpiredIncarnation
	if firstConfirmed {
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
	reported := make(map[cluster.AttemptKey]bool, len(r.Tasks))
	m.Exited = m.Exited[:0]
	for _, t := range r.Tasks {
		reported[cluster.AttemptKey{ID: t.ID, Number: t.Attempt}] = true
		s.applyTaskReport(m, r, t, now)
	}
	if firstConfirmed {
		s.recordEarlierFailures(m, r)
	}
	if heartbeat {
		s.checkResponsive(m, r, now)
	}
	for _, a := range m.SortedAttempts() {
		if !reported[a.Key()] && s.provesAbsence(a, r, heartbeat) {
			s.removeAttempt(a, "absent from a newer report")
		}
	}
}

// updateMachine updates a machine's type, zone, address and spot property from a report. If the machine's record isn't up to
// date, updateMachine marks the record to be written.
func (s *scheduler) updateMachine(m *cluster.Machine, r *worker.Report) {
	if m.TypeName != r.Type || m.Addr != r.Addr || m.Zone != r.Zone {
		m.Addr, m.TypeName, m.Zone, m.Spot, m.Type = r.Addr, r.Type, r.Zone, r.Spot, s.state.Types.Get(r.Type)
		m.Recorded = false
	}
	if !m.Recorded {
		s.markMachine(m)
	}
}

// confirmMachine handles the first report of a machine with a token of this term. From then on no earlier leader can renew
// the machine's lease, because the worker rejects lower tokens.
func (s *scheduler) confirmMachine(m *cluster.Machine, now time.Time) {
	m.Confirmed, m.LastAcknowledged = true, now
	s.reviewer.RecordProvisioned(m, now)
	if len(m.Attempts) == 0 {
		m.IdleSince = now
	}
	s.log.Debug("machine ready", "machine", m.ID, "type", m.TypeName, "zone", m.Zone, "spot", m.Spot, "duration", now.Sub(m.FirstSeen))
	s.placementDue = true
}

// handleNewIncarnation handles the first report of a worker's new incarnation, which begins when the worker's lease expires. It
// removes the attempts of the earlier incarnations.
func (s *scheduler) handleNewIncarnation(m *cluster.Machine, r *worker.Report, now time.Time) {
	if m.Confirmed && now.Sub(m.LastContact) <= s.settings.ReportFreshness() {
		// The lease expired although the machine's reports arrived until shortly before now, so the responses were lost.
		m.LostIncarnations++
		m.QuarantinedUntil = now.Add(clock.Scale(s.settings.WorkerLease, float64(min(m.LostIncarnations, maxQuarantineLeases))))
		s.log.Info("worker lease lost", "machine", m.ID, "incarnation", r.Incarnation, "lost_incarnations", m.LostIncarnations)
	}
	for _, a := range m.SortedAttempts() {
		if a.Incarnation < r.Incarnation {
			s.removeAttempt(a, "worker began a later incarnation")
		}
	}
	m.Fence.DropRetained()
	m.Recorded = false
	// The lease of the new incarnation began before now. If the lease were still counted from the last heartbeat of the
	// earlier incarnation, tasks of the new incarnation would be treated as lost while they still run.
	m.LastAcknowledged = now
}

// checkResponsive quarantines a machine if its heartbeats arrive but it doesn't execute start commands. For the time
// Settings.ReportFreshness, no tasks are placed on the machine.
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

// provesAbsence reports whether a report proves that an attempt isn't on the machine and can't be started there any more.
// The caller has checked that the report doesn't list the attempt and is newer than all earlier reports of the worker.
func (s *scheduler) provesAbsence(a *cluster.Attempt, r *worker.Report, heartbeat bool) bool {
	switch {
	case !s.tokens.Contains(r.Token) || r.Incarnation != a.Incarnation:
		return false
	case !a.ThisTerm:
		// The worker has a token of this term, so it rejects the commands of earlier leaders.
		return true
	case !a.StartMayBeDelivered() || a.StartUnresolved():
		return false
	case !heartbeat:
		// The response to a heartbeat may carry the start command and still be in flight.
		return false
	}
	// An attempt that no report has listed hasn't been started yet. It is kept, and its start command is sent again with the
	// same attempt number.
	return a.Reported
}
