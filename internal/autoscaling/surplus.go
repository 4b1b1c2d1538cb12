package autoscaling

import (
	"sort"
	"time"

	"sagevale/internal/cluster"
	"sagevale/internal/placement"
	"sagevale/internal/storage"
)

const (
	// maxSurplusAttempts bounds how many machines with tasks one snapshot tries to do without; the next
	// snapshot goes on where it stopped.
	maxSurplusAttempts = 8
	// surplusShare of the fleet may be found surplus in one snapshot.
	surplusShare = 1.0 / 32
	// moveCostFactor is how many times what a move costs a task must have left, for its run time is but an
	// estimate.
	moveCostFactor = 2
)

// findSurplus finds machines without which all that waits, all headroom and what runs would still fit, trying
// first those that waste the most money. The packing has just shown what fits with them. They are drained
// and terminated one after the other.
func (r *Reviewer) findSurplus(p *packing, now time.Time) []SurplusMachine {
	most := max(1, int(surplusShare*float64(len(p.candidates))))
	var surplus []SurplusMachine
	busy, skip := 0, r.surplusCursor // machines with tasks seen, and those tried at the last snapshot
	r.surplusCursor = 0
	for _, c := range r.byWaste(p, now) {
		if len(surplus) == most {
			break
		}
		if c.Moved > 0 {
			continue // takes what leaves another
		}
		if len(c.Machine.Attempts) > 0 || len(c.Packed) > 0 {
			if busy++; busy <= skip {
				continue
			}
			if busy > skip+maxSurplusAttempts {
				r.surplusCursor = busy - 1
				break
			}
		}
		if r.canRemove(p, c, now) {
			c.Free = storage.Resources{CPUs: -1} // nothing more moves here
			surplus = append(surplus, SurplusMachine{Machine: c.Machine.ID, Attempts: len(c.Machine.Attempts)})
		}
	}
	return surplus
}

// byWaste returns the candidates of the ready machines, those that waste the most money first.
func (r *Reviewer) byWaste(p *packing, now time.Time) []*placement.Candidate {
	waste := make(map[*placement.Candidate]float64)
	var wasteful []*placement.Candidate
	fresh := r.settings.ReportFreshness()
	for _, c := range p.candidates {
		if c.Machine == nil || !c.Machine.Ready(now, fresh) || c.Machine.BrieflyIdle(now) {
			continue
		}
		if w := priceOf(c.Type, c.Spot) * (1 - reservedShare(c.Machine)); w > 0 {
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

// reservedShare is the reserved share of the machine's scarcest resource.
func reservedShare(m *cluster.Machine) float64 {
	used, all := m.Reserved, m.Type.Resources
	share := used.CPUs / all.CPUs
	if all.GPUs > 0 {
		share = max(share, used.GPUs/all.GPUs)
	}
	return share
}

// canRemove tries to move what runs on a candidate, and what the packing has put there, to what the packing has
// left free elsewhere. Replicas must find their images where they go.
func (r *Reviewer) canRemove(p *packing, c *placement.Candidate, now time.Time) bool {
	ready := func(o *placement.Candidate, _ *cluster.Job) bool { return o != c && o.Machine != nil && !o.Booting }
	readyWithImage := func(o *placement.Candidate, j *cluster.Job) bool {
		if !ready(o, j) {
			return false
		}
		_, cached := o.Machine.Images[j.Spec.Image]
		return cached || !j.Spec.Service
	}
	undo, ok := r.tryMove(c.Machine, p.candidates, true, now, readyWithImage)
	if !ok {
		undo()
		return false
	}
	for _, task := range c.Packed {
		if task.Opportunistic && !r.affordable(c.Offering, task.Job) {
			continue // it waits for cheaper machines
		}
		zones := placement.NewZoneCheck(task.Job)
		target := r.planner.Fullest(p.candidates, task.Job, &zones, ready)
		if target == nil {
			undo()
			return false
		}
		undo = move(target, task.Job, undo)
	}
	return true
}

// move takes a candidate's resources for a task; the returned function gives them back, and undoes what was
// moved before.
func move(c *placement.Candidate, j *cluster.Job, undoEarlier func()) (undo func()) {
	c.Free = c.Free.Sub(j.Spec.Resources)
	c.Moved++
	return func() {
		c.Free = c.Free.Add(j.Spec.Resources)
		c.Moved--
		undoEarlier()
	}
}

// CanRehome reports whether the services of a machine that may be lost fit on candidates. If they do, their
// resources are taken there.
func (r *Reviewer) CanRehome(m *cluster.Machine, candidates []*placement.Candidate, now time.Time) bool {
	undo, ok := r.tryMove(m, candidates, false, now, placement.AnyCandidate)
	if !ok {
		undo()
	}
	return ok
}

// tryMove tries to pack a machine's services into the candidates, and with saving also what would be stopped
// because it can save its progress. The rest may finish, or waits. undo gives the resources back.
func (r *Reviewer) tryMove(m *cluster.Machine, candidates []*placement.Candidate, saving bool, now time.Time, suits func(*placement.Candidate, *cluster.Job) bool) (undo func(), ok bool) {
	undo = func() {}
	for _, a := range m.SortedAttempts() {
		spec := &a.Job.Spec
		if !spec.Service && !(saving && spec.CheckpointS > 0 && !spec.Gang) {
			continue
		}
		if saving && r.settings.IsOpportunistic(spec) && !r.affordable(m.Offering(), a.Job) {
			continue // it waits for cheaper machines
		}
		if saving && r.lateByMove(a, now) {
			return undo, false
		}
		zones := placement.NewZoneCheck(a.Job)
		zones.Add(m.Zone, -1)
		target := r.planner.Fullest(candidates, a.Job, &zones, suits)
		if target == nil {
			return undo, false
		}
		undo = move(target, a.Job, undo)
	}
	return undo, true
}

// lateByMove reports whether saving a task and fetching its image elsewhere may cost it a deadline that it would
// meet where it is.
func (r *Reviewer) lateByMove(a *cluster.Attempt, now time.Time) bool {
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
