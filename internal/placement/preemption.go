package placement

import (
	"time"

	"sagevale/internal/cluster"
	"sagevale/internal/storage"
)

// preempt finds a machine for a task that finds no free resources: one where enough is being released already,
// or else the one where stopping work of lower priority costs least. The task is placed once that is gone;
// until the round ends nobody else counts on those resources. It returns the machine's zone.
func (p *Planner) preempt(j *cluster.Job, r *round, zones *ZoneCheck) (zone string, ok bool) {
	by := p.preemptorOf(j, r)
	shape := p.ShapeOf(j)
	shape.guaranteed = by.guaranteed
	if by.priorityBound() <= storage.BestEffort || r.unpreemptable.From(shape, zones, r.zones) >= len(r.candidates) {
		return "", false
	}
	best, victims := p.cheapestPreemption(j, by, r, zones)
	if best == nil {
		r.unpreemptable.Note(shape, zones, r.zones, len(r.candidates))
		return "", false
	}
	p.stopVictims(best, victims, j, r.now)
	best.takeReleasing(j.Spec.Resources)
	if len(victims) > 0 {
		p.actions.CommandStops(best.Machine)
	}
	return best.Zone, true
}

// cheapestPreemption returns the candidate where making way for a task costs least, with what must be stopped
// there; nil if there is none.
func (p *Planner) cheapestPreemption(j *cluster.Job, by preemptor, r *round, zones *ZoneCheck) (best *Candidate, victims []*cluster.Attempt) {
	bestCost := 0.0
	for _, c := range r.candidates {
		if !j.Spec.Resources.Fits(c.Type.Resources) || !c.Admits(j, zones) {
			continue
		}
		v, cost, ok := p.victims(c, j.Spec.Resources, by, r.now)
		if ok && (best == nil || cost < bestCost) {
			best, victims, bestCost = c, v, cost
		}
		if best != nil && bestCost == 0 {
			break
		}
	}
	return best, victims
}

// stopVictims preempts attempts on a candidate in favour of a job.
func (p *Planner) stopVictims(c *Candidate, victims []*cluster.Attempt, preemptor *cluster.Job, now time.Time) {
	for _, v := range victims {
		p.log.Debug("task preempted", "job", v.Job.Spec.ID, "task", v.Task, "machine", v.Machine.ID, "preemptor", preemptor.Spec.ID)
		c.Releasing = c.Releasing.Add(v.Job.Spec.Resources)
		p.actions.Preempt(v, now)
	}
}

// preemptor is what makes others give way: work of a priority, which may also stop opportunistic work of the
// same priority if it lies within its team's guarantee.
type preemptor struct {
	priority   storage.Priority
	guaranteed bool
}

// preemptorOf is a job as a preemptor.
func (p *Planner) preemptorOf(j *cluster.Job, r *round) preemptor {
	if j.Spec.Priority > storage.BestEffort {
		return preemptor{priority: j.Spec.Priority} // all opportunistic work has less
	}
	if r.guaranteed == nil {
		r.guaranteed = p.jobsWithinGuarantee()
	}
	return preemptor{priority: j.Spec.Priority, guaranteed: r.guaranteed[j]}
}

// priorityBound is the lowest priority none of whose work may be preempted.
func (by preemptor) priorityBound() storage.Priority {
	if by.guaranteed {
		return by.priority + 1
	}
	return by.priority
}

// mayPreempt reports whether a preemptor may stop an attempt.
func (p *Planner) mayPreempt(by preemptor, a *cluster.Attempt) bool {
	return a.Job.Spec.Priority < by.priority || by.guaranteed && p.settings.IsOpportunistic(&a.Job.Spec)
}

// victims chooses attempts on the candidate that the preemptor may stop and whose end frees as much as is
// needed, the cheapest to lose first. What is being released already counts: then nothing is stopped.
// ok is false if not enough can be freed.
func (p *Planner) victims(c *Candidate, needed storage.Resources, by preemptor, now time.Time) (victims []*cluster.Attempt, cost float64, ok bool) {
	free := c.Free.Add(c.Releasing)
	if needed.Fits(free) {
		return nil, 0, true
	}
	if !needed.Fits(preemptibleBelow(c, by.priorityBound())) {
		return nil, 0, false
	}
	var lower []*cluster.Attempt
	for _, a := range c.Machine.SortedAttempts() {
		if !a.Stopping && p.mayPreempt(by, a) {
			lower = append(lower, a)
		}
	}
	for len(lower) > 0 && !needed.Fits(free) {
		i := p.cheapest(lower, now)
		a := lower[i]
		lower = append(lower[:i], lower[i+1:]...)
		victims = append(victims, a)
		cost += p.preemptionCost(a, now)
		free = free.Add(a.Job.Spec.Resources)
	}
	return victims, cost, needed.Fits(free)
}

// preemptibleBelow is what would be free on the candidate without the work below a priority.
func preemptibleBelow(c *Candidate, priority storage.Priority) storage.Resources {
	most := c.Free.Add(c.Releasing)
	for _, usage := range c.Machine.RunningUsage[:priority] {
		most = most.Add(usage)
	}
	return most
}

// cheapest returns the index of the attempt that costs least to lose.
func (p *Planner) cheapest(attempts []*cluster.Attempt, now time.Time) int {
	cheapest := 0
	for i := range attempts {
		if p.preemptionCost(attempts[i], now) < p.preemptionCost(attempts[cheapest], now) {
			cheapest = i
		}
	}
	return cheapest
}

// gpuWeight is what a GPU counts in the cost of a preemption, in CPUs.
const gpuWeight = 16

// preemptionCost is the work lost if an attempt is stopped, in CPU seconds.
func (p *Planner) preemptionCost(a *cluster.Attempt, now time.Time) float64 {
	size := max(a.Job.Spec.Resources.CPUs, 1) + gpuWeight*a.Job.Spec.Resources.GPUs
	if !a.Reported || waitsToRun(a) {
		return size
	}
	if a.Job.Spec.Gang {
		size *= float64(len(a.Job.Attempts)) // all are stopped with it
	}
	return size * (1 + p.lostWorkSeconds(a, now))
}

// lostWorkSeconds is for how long a task has run in vain if it is stopped: since its last checkpoint, at the
// most, where its progress can't be saved, and otherwise the time that saving takes.
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
