package autoscaling

import (
	"sort"
	"time"

	"sagevale/internal/cluster"
	"sagevale/internal/placement"
	"sagevale/internal/storage"
)

const (
	// maxRemovalTrials is the maximum number of machines with tasks for which findSurplus calls canRemove per snapshot
	// of the fleet. At the next snapshot, findSurplus continues where it stopped.
	maxRemovalTrials = 8
	// maxSurplusShare is the largest share of the candidates that one snapshot may report as surplus. One
	// machine may be reported even if it is more than this share.
	maxSurplusShare = 1.0 / 32
	// moveCostFactor is the least slack that a task with a deadline needs in order to be moved, as a multiple of
	// the time that the move costs. The slack is the time from the expected end of the task to its deadline. The
	// factor is above 1 because the run time is only an estimate.
	moveCostFactor = 2
)

// findSurplus returns machines without which the waiting tasks, the headroom and the running tasks would still fit.
// It starts from the result of the trial packing, and tests the machines that waste the most money first. The
// returned machines may be drained and terminated one after the other.
func (r *Reviewer) findSurplus(p *packing, now time.Time) []SurplusMachine {
	maxSurplus := max(1, int(maxSurplusShare*float64(len(p.candidates))))
	var surplus []SurplusMachine
	// busySeen is the number of machines with tasks that were seen so far. The first busySkipped of them are skipped,
	// because an earlier snapshot has tested them.
	busySeen, busySkipped := 0, r.surplusCursor
	r.surplusCursor = 0
	for _, c := range r.sortedByWaste(p, now) {
		if len(surplus) == maxSurplus {
			break
		}
		if c.PlannedMoves > 0 {
			continue // tasks of another surplus machine move here
		}
		if len(c.Machine.Attempts) > 0 || len(c.Packed) > 0 {
			if busySeen++; busySeen <= busySkipped {
				continue
			}
			if busySeen > busySkipped+maxRemovalTrials {
				r.surplusCursor = busySeen - 1
				break
			}
		}
		if r.canRemove(p, c, now) {
			c.Free = storage.Resources{CPUs: -1} // no task fits here any more
			surplus = append(surplus, SurplusMachine{Machine: c.Machine.ID, Attempts: len(c.Machine.Attempts)})
		}
	}
	return surplus
}

// sortedByWaste returns the candidates of the ready machines, sorted by the price of their unreserved share, highest
// first. Machines that are fully reserved or briefly idle, see cluster.Machine.BrieflyIdle, are left out.
func (r *Reviewer) sortedByWaste(p *packing, now time.Time) []*placement.Candidate {
	waste := make(map[*placement.Candidate]float64)
	var wasteful []*placement.Candidate
	fresh := r.settings.ReportFreshness()
	for _, c := range p.candidates {
		if c.Machine == nil || !c.Machine.Ready(now, fresh) || c.Machine.BrieflyIdle(now) {
			continue
		}
		if w := hourlyPrice(c.Type, c.Spot) * (1 - reservedShare(c.Machine)); w > 0 {
			waste[c] = w
			wasteful = append(wasteful, c)
		}
	}
	sort.Slice(wasteful, func(a, b int) bool {
		if waste[wasteful[a]] != waste[wasteful[b]] {
			return waste[wasteful[a]] > waste[wasteful[b]]
		}
		return wasteful[a].Machine.ID < wasteful[b].Machine.ID
	})
	return wasteful
}

// reservedShare returns the reserved share of the machine's CPUs or of its GPUs, whichever is larger.
func reservedShare(m *cluster.Machine) float64 {
	used, all := m.Reserved, m.Type.Resources
	share := used.CPUs / all.CPUs
	if all.GPUs > 0 {
		share = max(share, used.GPUs/all.GPUs)
	}
	return share
}

// canRemove reports whether the fleet can do without a candidate. For this, the tasks that run on the candidate and the
// tasks that the packing has put on the candidate must fit on other candidates that are ready, in the resources that the
// packing has left free. If the tasks fit, canRemove takes the resources from the other candidates. A running service
// fits only on a machine that has cached the service's image.
func (r *Reviewer) canRemove(p *packing, c *placement.Candidate, now time.Time) bool {
	ready := func(o *placement.Candidate, _ *cluster.Job) bool { return o != c && o.Machine != nil && !o.Booting }
	readyWithImage := func(o *placement.Candidate, j *cluster.Job) bool {
		if !ready(o, j) {
			return false
		}
		_, cached := o.Machine.Images[j.Spec.Image]
		return cached || !j.Spec.Service
	}
	undo, ok := r.planMoves(c.Machine, p.candidates, true, now, readyWithImage)
	if !ok {
		undo()
		return false
	}
	for _, task := range c.Packed {
		if task.Opportunistic && !r.affordable(c.Offering, task.Job) {
			continue // the machine isn't kept for this task, which waits for cheaper machines
		}
		zones := placement.NewZoneCheck(task.Job)
		target := r.planner.BestFit(p.candidates, task.Job, &zones, ready)
		if target == nil {
			undo()
			return false
		}
		undo = planMove(target, task.Job, undo)
	}
	return true
}

// planMove takes resources from a candidate for a task that would move to the candidate. The returned function
// gives the resources back and then calls undoEarlier, which undoes the earlier calls of planMove.
func planMove(c *placement.Candidate, j *cluster.Job, undoEarlier func()) (undo func()) {
	c.Free = c.Free.Sub(j.Spec.Resources)
	c.PlannedMoves++
	return func() {
		c.Free = c.Free.Add(j.Spec.Resources)
		c.PlannedMoves--
		undoEarlier()
	}
}

// CanRelocateServices reports whether the services on a machine that may be lost would fit on the candidates. If they
// would, it takes the services' resources from the candidates.
func (r *Reviewer) CanRelocateServices(m *cluster.Machine, candidates []*placement.Candidate, now time.Time) bool {
	undo, ok := r.planMoves(m, candidates, false, now, placement.AcceptAny)
	if !ok {
		undo()
	}
	return ok
}

// planMoves checks whether the services on a machine would fit on the candidates, and takes the services'
// resources from the candidates. If includeCheckpointed is true, planMoves does the same for tasks that save checkpoints
// and don't belong to a gang, because a drain stops these tasks. All other tasks may finish on the machine, or may wait
// if they are stopped. undo gives the resources back. The caller must call undo if ok is false.
func (r *Reviewer) planMoves(m *cluster.Machine, candidates []*placement.Candidate, includeCheckpointed bool, now time.Time, suits func(*placement.Candidate, *cluster.Job) bool) (undo func(), ok bool) {
	undo = func() {}
	for _, a := range m.SortedAttempts() {
		spec := &a.Job.Spec
		if !spec.Service && !(includeCheckpointed && spec.CheckpointS > 0 && !spec.Gang) {
			continue
		}
		if includeCheckpointed && r.settings.IsOpportunistic(spec) && !r.affordable(m.Offering(), a.Job) {
			continue // the machine isn't kept for this task, which waits for cheaper machines once it is stopped
		}
		if includeCheckpointed && r.moveMissesDeadline(a, now) {
			return undo, false
		}
		zones := placement.NewZoneCheck(a.Job)
		zones.Add(m.Zone, -1)
		target := r.planner.BestFit(candidates, a.Job, &zones, suits)
		if target == nil {
			return undo, false
		}
		undo = planMove(target, a.Job, undo)
	}
	return undo, true
}

// moveMissesDeadline reports whether a move may make a batch task miss a deadline that it would meet on its present
// machine. The move costs the time to save a checkpoint and to fetch the task's image on the other machine.
func (r *Reviewer) moveMissesDeadline(a *cluster.Attempt, now time.Time) bool {
	spec := &a.Job.Spec
	if spec.Service || spec.DeadlineS <= 0 || a.Started.IsZero() {
		return false
	}
	left := max(0, r.state.Classes.RunSeconds(a.Job)-now.Sub(a.Started).Seconds())
	slack := a.Job.Deadline().Sub(now).Seconds() - left
	cost := spec.SaveS
	if t := a.Machine.Type; t != nil && t.FetchGBPS > 0 {
		cost += spec.ImageGB / t.FetchGBPS
	}
	return slack >= 0 && slack < moveCostFactor*cost
}
