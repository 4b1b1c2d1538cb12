package placement

import (
	"time"

	"sagevale/internal/cluster"
	"sagevale/internal/storage"
)

// preempt makes room for one more task of a job if the task fits on no candidate. It chooses a candidate on which
// enough resources are being released already. If there is none, it chooses the candidate on which preemption costs
// least. The task is placed in a later round, once the resources are free. For the rest of this round, no other task
// can use them. zone is the zone of the chosen candidate. ok is false if no room can be made.
func (p *Planner) preempt(j *cluster.Job, r *round, zones *ZoneCheck) (zone string, ok bool) {
	rights := p.preemptionRightsOf(j, r)
	shape := p.ShapeOf(j)
	shape.guaranteed = rights.guaranteed
	if rights.priorityBound() <= storage.PriorityBestEffort || r.unpreemptable.FirstUnsearched(shape, zones, r.zones) >= len(r.candidates) {
		return "", false
	}
	best, victims := p.cheapestPreemption(j, rights, r, zones)
	if best == nil {
		r.unpreemptable.MarkExhausted(shape, zones, r.zones, len(r.candidates))
		return "", false
	}
	p.stopVictims(best, victims, j, r.now)
	best.withhold(j.Spec.Resources)
	if len(victims) > 0 {
		p.actions.CommandStops(best.Machine)
	}
	return best.Zone, true
}

// cheapestPreemption returns the candidate on which making room for a task costs least, with the attempts that
// must be stopped there. It returns nil if preemption can't make room on any candidate.
func (p *Planner) cheapestPreemption(j *cluster.Job, rights preemptionRights, r *round, zones *ZoneCheck) (best *Candidate, victims []*cluster.Attempt) {
	bestCost := 0.0
	for _, c := range r.candidates {
		if !j.Spec.Resources.Fits(c.Type.Resources) || !c.Admits(j, zones) {
			continue
		}
		v, cost, ok := p.selectVictims(c, j.Spec.Resources, rights, r.now)
		if ok && (best == nil || cost < bestCost) {
			best, victims, bestCost = c, v, cost
		}
		if best != nil && bestCost == 0 {
			break
		}
	}
	return best, victims
}

// stopVictims preempts attempts on a candidate in favor of a job, and adds their resources to the candidate's Releasing.
func (p *Planner) stopVictims(c *Candidate, victims []*cluster.Attempt, preemptor *cluster.Job, now time.Time) {
	for _, v := range victims {
		p.log.Debug("task preempted", "job", v.Job.Spec.ID, "task", v.Task, "machine", v.Machine.ID, "preemptor", preemptor.Spec.ID)
		c.Releasing = c.Releasing.Add(v.Job.Spec.Resources)
		p.actions.Preempt(v, now)
	}
}

// preemptionRights describes which attempts a job may preempt. These are the attempts of lower priority. A job within
// its team's guarantee may also preempt opportunistic attempts of its own priority.
type preemptionRights struct {
	priority   storage.Priority
	guaranteed bool // the job is within its team's guarantee
}

// preemptionRightsOf returns which attempts a job may preempt.
func (p *Planner) preemptionRightsOf(j *cluster.Job, r *round) preemptionRights {
	if j.Spec.Priority > storage.PriorityBestEffort {
		return preemptionRights{priority: j.Spec.Priority} // all opportunistic work has a lower priority
	}
	if r.withinGuarantee == nil {
		r.withinGuarantee = p.jobsWithinGuarantee()
	}
	return preemptionRights{priority: j.Spec.Priority, guaranteed: r.withinGuarantee[j]}
}

// priorityBound returns a bound on the attempts that a job with these rights may preempt: all of them have a priority
// lower than the bound.
func (r preemptionRights) priorityBound() storage.Priority {
	if r.guaranteed {
		return r.priority + 1
	}
	return r.priority
}

// mayPreempt reports whether a job with these rights may preempt an attempt.
func (p *Planner) mayPreempt(rights preemptionRights, a *cluster.Attempt) bool {
	return a.Job.Spec.Priority < rights.priority || rights.guaranteed && p.settings.IsOpportunistic(&a.Job.Spec)
}

// selectVictims selects attempts on the candidate to preempt, cheapest first, until the needed resources would be free.
// Resources that are being released already count as free, so the selection may be empty. ok is false if
// preemption can't free enough.
func (p *Planner) selectVictims(c *Candidate, needed storage.Resources, rights preemptionRights, now time.Time) (victims []*cluster.Attempt, cost float64, ok bool) {
	free := c.Free.Add(c.Releasing)
	if needed.Fits(free) {
		return nil, 0, true
	}
	if !needed.Fits(availableAfterPreemption(c, rights.priorityBound())) {
		return nil, 0, false
	}
	var preemptible []*cluster.Attempt
	for _, a := range c.Machine.SortedAttempts() {
		if !a.Stopping && p.mayPreempt(rights, a) {
			preemptible = append(preemptible, a)
		}
	}
	for len(preemptible) > 0 && !needed.Fits(free) {
		i := p.cheapestToPreempt(preemptible, now)
		a := preemptible[i]
		preemptible = append(preemptible[:i], preemptible[i+1:]...)
		victims = append(victims, a)
		cost += p.preemptionCost(a, now)
		free = free.Add(a.Job.Spec.Resources)
	}
	return victims, cost, needed.Fits(free)
}

// availableAfterPreemption returns the resources that would be free on the candidate if all work below the given
// priority were stopped.
func availableAfterPreemption(c *Candidate, priority storage.Priority) storage.Resources {
	available := c.Free.Add(c.Releasing)
	for _, usage := range c.Machine.RunningUsage[:priority] {
		available = available.Add(usage)
	}
	return available
}

// cheapestToPreempt returns the index of the attempt with the lowest preemption cost.
func (p *Planner) cheapestToPreempt(attempts []*cluster.Attempt, now time.Time) int {
	cheapest := 0
	for i := range attempts {
		if p.preemptionCost(attempts[i], now) < p.preemptionCost(attempts[cheapest], now) {
			cheapest = i
		}
	}
	return cheapest
}

// gpuWeight is the number of CPUs to which one GPU is equivalent in the preemption cost.
const gpuWeight = 16

// preemptionCost returns the work that is lost if an attempt is stopped, in CPU seconds. One second is added for each
// attempt, so that stopping an attempt that isn't running yet has a cost too.
func (p *Planner) preemptionCost(a *cluster.Attempt, now time.Time) float64 {
	size := max(a.Job.Spec.Resources.CPUs, 1) + gpuWeight*a.Job.Spec.Resources.GPUs
	if !a.Reported || waitsToRun(a) {
		return size
	}
	if a.Job.Spec.Gang {
		size *= float64(len(a.Job.Attempts)) // preempting one task stops the whole gang
	}
	return size * (1 + p.lostWorkSeconds(a, now))
}

// lostWorkSeconds returns how many seconds of its run time an attempt loses if it is stopped. An attempt that saves no
// checkpoints loses its whole run time. If the tasks of a gang are unlikely to be stopped at the same time, the gang
// can't save a checkpoint and loses up to one checkpoint interval. Any other attempt loses only the time that saving
// a checkpoint takes.
func (p *Planner) lostWorkSeconds(a *cluster.Attempt, now time.Time) float64 {
	ran := now.Sub(a.Started).Seconds()
	switch spec := &a.Job.Spec; {
	case spec.CheckpointS <= 0:
		return ran
	case spec.Gang && !p.actions.GangReachable(a.Job, now):
		return min(ran, spec.CheckpointS)
	default:
		return min(ran, spec.SaveS)
	}
}
