package autoscaling

import (
	"time"

	"sagevale/internal/cloud"
	"sagevale/internal/cluster"
	"sagevale/internal/placement"
)

// Snapshot is what the autoscaler goes by.
type Snapshot struct {
	Desired          []cloud.Offering   // machines that would cover the demand, in order
	NonOpportunistic int                // how many of them are for other than opportunistic work; they come first
	Healthy          bool               // every machine's reports are fresh
	Surplus          []SurplusMachine   // machines that could be terminated, one after the other
	Emptied          []int              // drained machines without tasks, to be terminated
	Lost             []int              // failed, silent or never provisioned machines, to be terminated
	DrainsRequested  int                // as known when the snapshot was taken
	Draining         bool               // a drain is not yet complete
	Size             int                // machines that are or may be ours
	MachinesListed   bool               // the cloud's machine list has been read in this term
	BootSeconds      map[string]float64 // nominal boot times of the machine types
}

// SurplusMachine is a machine that the fleet can do without, and how many attempts it had when that was found.
type SurplusMachine struct {
	Machine  int
	Attempts int
}

// Conditions are what a snapshot must know of the scheduler.
type Conditions struct {
	LeaseValid      bool // the leadership lease is valid, so demand and surplus are computed
	MachinesListed  bool
	DrainsRequested int
}

// Snapshot reviews the fleet: the demand is found by a trial packing of what waits, and of what is to be kept
// free, into the free resources of ready and booting machines.
func (r *Reviewer) Snapshot(now time.Time, c Conditions) Snapshot {
	s := Snapshot{Healthy: true, MachinesListed: c.MachinesListed, DrainsRequested: c.DrainsRequested}
	p := &packing{exhausted: make(placement.ExhaustedShapes)}
	r.updateSlowness(now)
	for _, m := range r.state.Machines.InOrder() {
		if candidate, ok := r.review(m, &s, now); ok {
			p.candidates = append(p.candidates, candidate)
		}
	}
	if !c.LeaseValid {
		return s
	}
	r.planner.UpdatePerGPU(now)
	r.packAll(p, r.demands(now), s.Size, now)
	s.Desired, s.NonOpportunistic = p.desired, p.nonOpportunistic()
	s.BootSeconds = r.bootSeconds()
	if s.NonOpportunistic == 0 && s.Healthy && !s.Draining {
		s.Surplus = r.findSurplus(p, now)
	}
	return s
}

// review enters a machine into the snapshot, and returns its candidate if tasks may count on it.
func (r *Reviewer) review(m *cluster.Machine, s *Snapshot, now time.Time) (candidate *placement.Candidate, ok bool) {
	switch {
	case m.Terminating, m.Failed:
		s.Lost = append(s.Lost, m.ID)
		return nil, false
	case !m.Confirmed && len(m.Attempts) == 0 && m.Type != nil && r.abandoned(m, now):
		r.noteAbandoned(m, now)
		s.Lost = append(s.Lost, m.ID)
		s.Size++
		return nil, false
	}
	s.Size++
	silent := now.Sub(m.LastContact) > r.settings.ReportFreshness()
	switch {
	case m.DrainReason != "" && len(m.Attempts) == 0:
		s.Emptied = append(s.Emptied, m.ID)
		return nil, false
	case m.DrainReason != "":
		s.Draining = true
		return nil, false
	case m.Confirmed && silent:
		s.Healthy = false
		return nil, false
	case m.Type == nil || m.Quarantined(now) || !m.Confirmed && r.Overdue(m, now):
		return nil, false
	}
	c := placement.CandidateOf(m)
	return &c, true
}

func (r *Reviewer) bootSeconds() map[string]float64 {
	seconds := make(map[string]float64, r.state.Types.Count())
	for _, name := range r.state.Types.All() {
		seconds[name] = r.state.Types.Get(name).BootS
	}
	return seconds
}
