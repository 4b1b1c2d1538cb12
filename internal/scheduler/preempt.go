package scheduler

import (
	"time"

	"sagevale/internal/cluster"
	"sagevale/internal/storage"
	"sagevale/internal/worker"
)

// preempt claims a machine for a task that finds no room: one where enough is
// being freed already, or else the one where stopping work of lower priority
// costs least. The task is placed once that is gone; until the round ends
// nobody else counts on the claimed room. It returns the machine's zone.
func (d *scheduler) preempt(j *cluster.Job, r *round, zones *zoneCheck) (zone string, ok bool) {
	by := d.preemptorOf(j, r)
	sh := d.shapeOf(j)
	sh.guaranteed = by.guaranteed
	if by.priorityBound() <= storage.BestEffort || r.unpreemptable.from(sh, zones, r.zones) >= len(r.candidates) {
		return "", false
	}
	var best *candidate
	var victims []*cluster.Attempt
	bestCost := 0.0
	for _, s := range r.candidates {
		if !j.Spec.Resources.Fits(s.machineType.Resources) || !s.admits(j, zones) {
			continue
		}
		v, cost, ok := d.victims(s, j.Spec.Resources, by, r.now)
		if ok && (best == nil || cost < bestCost) {
			best, victims, bestCost = s, v, cost
		}
		if best != nil && bestCost == 0 {
			break
		}
	}
	if best == nil {
		r.unpreemptable.note(sh, zones, r.zones, len(r.candidates))
		return "", false
	}
	for _, v := range victims {
		d.log.Debug("preempt", "job", v.Job.Spec.ID, "task", v.Task, "machine", v.Machine.ID, "for", j.Spec.ID)
		best.releasing = best.releasing.Add(v.Job.Spec.Resources)
		d.preemptOne(v, r.now)
	}
	best.takeReleasing(j.Spec.Resources)
	if len(victims) > 0 {
		d.commandStops(best.machine)
	}
	return best.Zone, true
}

// takeReleasing takes room from what is free and what is being freed.
func (s *candidate) takeReleasing(r storage.Resources) {
	all := s.free.Add(s.releasing).Sub(r)
	s.free = storage.Resources{CPUs: min(s.free.CPUs, all.CPUs), GPUs: min(s.free.GPUs, all.GPUs), MemoryGB: min(s.free.MemoryGB, all.MemoryGB)}
	s.releasing = all.Sub(s.free)
}

// preemptor is what makes room for itself: work of a priority, which may also stop opportunistic
// work of the same priority if it lies within its team's guarantee.
type preemptor struct {
	priority   storage.Priority
	guaranteed bool
}

// preemptorOf is a job as a preemptor.
func (d *scheduler) preemptorOf(j *cluster.Job, r *round) preemptor {
	if j.Spec.Priority > storage.BestEffort {
		return preemptor{priority: j.Spec.Priority} // all opportunistic work has less
	}
	if r.guaranteed == nil {
		r.guaranteed = d.jobsWithinGuarantee()
	}
	return preemptor{priority: j.Spec.Priority, guaranteed: r.guaranteed[j]}
}

// priorityBound is the least priority that it can't preempt any work of.
func (p preemptor) priorityBound() storage.Priority {
	if p.guaranteed {
		return p.priority + 1
	}
	return p.priority
}

// mayStop tells whether a preemptor may stop an attempt.
func (d *scheduler) mayStop(p preemptor, a *cluster.Attempt) bool {
	return a.Job.Spec.Priority < p.priority || p.guaranteed && d.settings.IsOpportunistic(&a.Job.Spec)
}

// victims chooses tasks in the candidate that the preemptor may stop and whose end makes that much
// room, the cheapest to lose first. Room that is being freed already
// counts: then there is nothing to stop.
func (d *scheduler) victims(s *candidate, room storage.Resources, by preemptor, now time.Time) ([]*cluster.Attempt, float64, bool) {
	free := s.free.Add(s.releasing)
	if room.Fits(free) {
		return nil, 0, true
	}
	most := free
	for _, live := range s.machine.RunningUsage[:by.priorityBound()] {
		most = most.Add(live)
	}
	if !room.Fits(most) {
		return nil, 0, false
	}
	var lower []*cluster.Attempt
	for _, a := range s.machine.SortedAttempts() {
		if !a.Stopping && d.mayStop(by, a) {
			lower = append(lower, a)
		}
	}
	var out []*cluster.Attempt
	cost := 0.0
	for len(lower) > 0 && !room.Fits(free) {
		k := 0
		for i := range lower {
			if d.preemptionCost(lower[i], now) < d.preemptionCost(lower[k], now) {
				k = i
			}
		}
		a := lower[k]
		lower = append(lower[:k], lower[k+1:]...)
		out = append(out, a)
		cost += d.preemptionCost(a, now)
		free = free.Add(a.Job.Spec.Resources)
	}
	return out, cost, room.Fits(free)
}

// preemptionCost is the work lost if an attempt is stopped, in machine seconds.
func (d *scheduler) preemptionCost(a *cluster.Attempt, now time.Time) float64 {
	size := max(a.Job.Spec.Resources.CPUs, 1) + 16*a.Job.Spec.Resources.GPUs
	if !a.Reported || a.State == worker.Pulling || a.State == worker.Gathering {
		return size
	}
	if a.Job.Spec.Gang {
		size *= float64(len(a.Job.Attempts)) // all are stopped with it
	}
	return size * (1 + d.lostWorkSeconds(a, now))
}

// lostWorkSeconds is how long a task has run for nothing if it is stopped: since its last
// checkpoint, at the most, where its progress can't be saved, and otherwise the time
// that the saving takes.
func (d *scheduler) lostWorkSeconds(a *cluster.Attempt, now time.Time) float64 {
	ran := now.Sub(a.Started).Seconds()
	switch spec := &a.Job.Spec; {
	case spec.CheckpointS <= 0:
		return ran
	case spec.Gang && !d.gangReachable(a.Job, now):
		return min(ran, spec.CheckpointS)
	default:
		return min(ran, spec.SaveS)
	}
}
