package autoscaling

import (
	"time"

	"sagevale/internal/cloud"
	"sagevale/internal/cluster"
	"sagevale/internal/placement"
)

// Snapshot is the state of the fleet and of the demand, on which the autoscaler's decisions are based.
type Snapshot struct {
	Desired          []cloud.Offering   // machines to launch for the demand, in the order of packing
	NonOpportunistic int                // number of desired machines for work that isn't opportunistic
	Healthy          bool               // every confirmed machine, unless draining, terminating or failed, has a fresh report
	Surplus          []SurplusMachine   // machines that may be drained and terminated, one after the other
	Emptied          []int              // machines to terminate: drained and without tasks
	Lost             []int              // machines to terminate: failed, silent, never provisioned or already terminating
	DrainsRequested  int                // number of drain requests that the scheduler had received
	Draining         bool               // a draining machine still has tasks
	Size             int                // number of machines that are neither terminating nor failed
	MachinesListed   bool               // the cloud's machine list was read in this term
	BootSeconds      map[string]float64 // nominal boot time by machine type
}

// SurplusMachine is a machine that the fleet doesn't need. Attempts is the number of attempts that it had in the
// snapshot. The scheduler can therefore skip a machine that has received more attempts since the snapshot.
type SurplusMachine struct {
	Machine  int
	Attempts int
}

// Conditions holds the parts of the scheduler's state that a snapshot depends on.
type Conditions struct {
	LeaseValid      bool // the leadership lease is valid; demand and surplus are computed only then
	MachinesListed  bool
	DrainsRequested int
}

// Snapshot reviews the fleet and returns its state. It computes the demand by a trial packing: it packs the waiting
// tasks and the headroom into the free resources of the ready and booting machines.
func (r *Reviewer) Snapshot(now time.Time, c Conditions) Snapshot {
	s := Snapshot{Healthy: true, MachinesListed: c.MachinesListed, DrainsRequested: c.DrainsRequested}
	p := &packing{exhausted: make(placement.ExhaustedShapes)}
	r.updateSlowness(now)
	for _, m := range r.state.Machines.InOrder() {
		if candidate, ok := r.reviewMachine(m, &s, now); ok {
			p.candidates = append(p.candidates, candidate)
		}
	}
	if !c.LeaseValid {
		return s
	}
	r.planner.UpdateMaxPerGPU(now)
	r.packDemands(p, r.demands(now), s.Size, now)
	s.Desired, s.NonOpportunistic = p.desired, p.nonOpportunistic()
	s.BootSeconds = r.bootSeconds()
	if s.NonOpportunistic == 0 && s.Healthy && !s.Draining {
		s.Surplus = r.findSurplus(p, now)
	}
	return s
}

// reviewMachine adds a machine to the snapshot, and returns its candidate if tasks may be packed on it.
func (r *Reviewer) reviewMachine(m *cluster.Machine, s *Snapshot, now time.Time) (candidate *placement.Candidate, ok bool) {
	switch {
	case m.Terminating, m.Failed:
		s.Lost = append(s.Lost, m.ID)
		return nil, false
	case !m.Confirmed && len(m.Attempts) == 0 && m.Type != nil && r.shouldAbandon(m, now):
		r.recordAbandoned(m, now)
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

// bootSeconds returns the nominal boot time of each machine type.
func (r *Reviewer) bootSeconds() map[string]float64 {
	seconds := make(map[string]float64, r.state.Types.Count())
	for _, name := range r.state.Types.All() {
		seconds[name] = r.state.Types.Get(name).BootS
	}
	return seconds
}
