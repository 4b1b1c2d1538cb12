package autoscaling

import (
	"sort"
	"time"

	"sagevale/internal/cluster"
	"sagevale/internal/placement"
	"sagevale/internal/storage"
)

const (
	// maxRemovalTrials is the number of machines with tasks that one snapshot tests for being surplus. The
	// next snapshot continues with the machine at which this one stopped.
	maxRemovalTrials = 8
	// maxSurplusShare is the largest share of the candidates that one snapshot may report as surplus, but at
	// least one machine may be reported.
	maxSurplusShare = 1.0 / 32
	// moveCostFactor is the least slack before its deadline that a task needs in order to be moved, as a
	// multiple of the time that the move costs. It is above 1 because the run time is only an estimate.
	moveCostFactor = 2
)

// findSurplus returns machines without which the waiting tasks, the headroom and the running tasks would still fit.
// It starts from the result of the trial packing, and tests the machines that waste the most money first. The
// machines are drained and terminated one after the other.
func (r *Reviewer) findSurplus(p *packing, now time.Time) []SurplusMachine {
	maxSurplus := max(1, int(maxSurplusShare*float64(len(p.candidates))))
	var surplus []SurplusMachine
	busySeen, busySkipped := 0, r.surplusCursor // machines with tasks: seen so far, and tested by earlier snapshots
	r.surplusCursor = 0
	for _, c := range r.sortedByWaste(p, now) {
		if len(surplus) == maxSurplus {
			break
		}
		if c.MovedTasks > 0 {
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
// first. Fully reserved and briefly idle machines are left out.
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

// canRemove tries to move a candidate's running tasks, and the tasks that the packing has put there, to ready
// candidates with enough resources left free by the packing. Running services move only to machines that have cached
// their image.
func (r *Reviewer) canRemove(p *packing, c *placement.Candidate, now time.Time) bool {
	ready := func(o *placement.Candidate, _ *cluster.Job) bool { return o != c && o.Machine != nil && !o.Booting }
	readyWithImage := func(o *placement.Candidate, j *cluster.Job) bool {
		if !ready(o, j) {
			return false
		}
		_, cached := o.Machine.Images[j.Spec.Image]
		return cached || !j.Spec.Service
	}
	undo, ok := r.tryMoveAttempts(c.Machine, p.candidates, true, now, readyWithImage)
	if !ok {
		undo()
		return false
	}
	for _, task := range c.Packed {
		if task.Opportunistic && !r.affordable(c.Offering, task.Job) {
			continue // the task waits for cheaper machines instead
		}
		zones := placement.NewZoneCheck(task.Job)
		target := r.planner.BestFit(p.candidates, task.Job, &zones, ready)
		if target == nil {
			undo()
			return false
		}
		undo = moveTask(target, task.Job, undo)
	}
	return true
}

// moveTask takes a candidate's resources for a task. The returned function gives them back and then calls undoEarlier,
// which undoes the earlier moves.
func moveTask(c *placement.Candidate, j *cluster.Job, undoEarlier func()) (undo func()) {
	c.Free = c.Free.Sub(j.Spec.Resources)
	c.MovedTasks++
	return func() {
		c.Free = c.Free.Add(j.Spec.Resources)
		c.MovedTasks--
		undoEarlier()
	}
}

// CanRelocateServices reports whether the services of a machine that may be lost fit on the candidates. If they do, it takes
// their resources from the candidates.
func (r *Reviewer) CanRelocateServices(m *cluster.Machine, candidates []*placement.Candidate, now time.Time) bool {
	undo, ok := r.tryMoveAttempts(m, candidates, false, now, placement.AcceptAny)
	if !ok {
		undo()
	}
	return ok
}

// tryMoveAttempts tries to pack a machine's services into the candidates. With moveCheckpointed it also packs the
// tasks that save checkpoints, except those of gangs, because a drain stops them. The other tasks may finish, or wait.
// undo gives the resources back. The caller must call it if ok is false.
func (r *Reviewer) tryMoveAttempts(m *cluster.Machine, candidates []*placement.Candidate, moveCheckpointed bool, now time.Time, suits func(*placement.Candidate, *cluster.Job) bool) (undo func(), ok bool) {
	undo = func() {}
	for _, a := range m.SortedAttempts() {
		spec := &a.Job.Spec
		if !spec.Service && !(moveCheckpointed && spec.CheckpointS > 0 && !spec.Gang) {
			continue
		}
		if moveCheckpointed && r.settings.IsOpportunistic(spec) && !r.affordable(m.Offering(), a.Job) {
			continue // the task waits for cheaper machines instead
		}
		if moveCheckpointed && r.moveMissesDeadline(a, now) {
			return undo, false
		}
		zones := placement.NewZoneCheck(a.Job)
		zones.Add(m.Zone, -1)
		target := r.planner.BestFit(candidates, a.Job, &zones, suits)
		if target == nil {
			return undo, false
		}
		undo = moveTask(target, a.Job, undo)
	}
	return undo, true
}

// moveMissesDeadline reports whether a move may make a batch task miss a deadline that it would meet on its present
// machine, because of the time to save a checkpoint and to fetch its image on the other machine.
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
