package placement

import (
	"sagevale/internal/cluster"
)

// placeGang reserves resources for all waiting tasks of a gang at once, or for none of them. Usually all tasks of the
// gang wait. If some tasks were lost before the gang's attempt ran, only these wait.
func (p *Planner) placeGang(j *cluster.Job, r *round) {
	if len(j.Attempts) > 0 && !j.GangCompletable() {
		if j.Gang.Failed {
			p.actions.AbortGang(j)
		}
		return // tasks of the previous attempt may still exist on some machines
	}
	if !p.withinLimit(j, j.Waiting) {
		return
	}
	plan := p.planGang(j, r)
	if plan == nil {
		if !p.preemptForGang(j, r) {
			p.holdForGang(j, r)
		}
		return
	}
	if len(j.Attempts) == 0 {
		p.actions.BeginGang(j)
	}
	for _, c := range plan {
		task, ok := j.NextWaiting()
		if !ok {
			return
		}
		r.reserved = append(r.reserved, p.actions.Reserve(j, task, c.Machine, r.now))
	}
}

// planGang chooses a candidate for each waiting task of a gang, and subtracts the tasks' resources from the free
// resources of the candidates. It returns nil if not all tasks fit. If all tasks must run in one zone and fit in
// several zones, it chooses the zone where they start soonest: the one with the smallest sum of tiers, see tierOf.
func (p *Planner) planGang(j *cluster.Job, r *round) []*Candidate {
	var best []*Candidate
	bestTiers := 0
	for _, group := range p.gangCandidates(j, r) {
		plan, tiers := p.planGangAmong(j, group)
		if plan != nil && (best == nil || tiers < bestTiers) {
			best, bestTiers = plan, tiers
		}
	}
	for _, c := range best {
		c.Free = c.Free.Sub(j.Spec.Resources)
	}
	return best
}

// gangCandidates returns the candidates that a gang may use: one group per zone if all its tasks must run in the
// same zone, and a single group otherwise.
func (p *Planner) gangCandidates(j *cluster.Job, r *round) [][]*Candidate {
	zones := NewZoneCheck(j)
	var groups [][]*Candidate
	for _, zone := range r.zones {
		var group []*Candidate
		for _, c := range r.candidates {
			if c.Zone == zone && c.Admits(j, &zones) && !j.Gang.ExitedOn[c.Machine.ID] {
				group = append(group, c)
			}
		}
		switch {
		case len(group) == 0:
		case j.Spec.SameZone || len(groups) == 0:
			groups = append(groups, group)
		default:
			groups[0] = append(groups[0], group...)
		}
	}
	return groups
}

// planGangAmong chooses a candidate for each waiting task of a gang. group is one of the groups of gangCandidates. The
// plan is nil if not all tasks fit on the candidates of the group. For each task, planGangAmong chooses the fuller of two
// random candidates of the best tier, see tierOf. Before it returns, it restores the candidates' free resources. tiers is
// the sum of the chosen candidates' tiers.
func (p *Planner) planGangAmong(j *cluster.Job, group []*Candidate) (plan []*Candidate, tiers int) {
	capacity := 0
	for _, c := range group {
		if j.Spec.Resources.Fits(c.Free) {
			capacity += FitCount(c.Free, j.Spec.Resources)
		}
	}
	if capacity < j.Waiting {
		return nil, 0
	}
	zones := NewZoneCheck(j)
	defer func() {
		for _, c := range plan {
			c.Free = c.Free.Add(j.Spec.Resources)
		}
		if len(plan) < j.Waiting {
			plan = nil
		}
	}()
	for range j.Waiting {
		best, tier := p.bestTier(j, group, &zones)
		if len(best) == 0 {
			return plan, tiers
		}
		pick := p.sampleCandidate(j, best)
		pick.Free = pick.Free.Sub(j.Spec.Resources)
		zones.Add(pick.Zone, 1)
		plan, tiers = append(plan, pick), tiers+tier
	}
	return plan, tiers
}

// bestTier returns the best tier among the candidates of the group on which one more task of the job fits, together
// with the candidates of this tier.
func (p *Planner) bestTier(j *cluster.Job, group []*Candidate, zones *ZoneCheck) (best []*Candidate, tier int) {
	for _, c := range group {
		if !j.Spec.Resources.Fits(c.Free) || !zones.Allows(c.Zone) {
			continue
		}
		switch t := p.tierOf(j, c); {
		case best == nil || t < tier:
			best, tier = append(best[:0], c), t
		case t == tier:
			best = append(best, c)
		}
	}
	return best, tier
}

// holdForGang withholds resources from less urgent jobs for the rest of the round. This way, enough free resources
// accumulate for a gang that doesn't fit yet. Resources are withheld for only one gang per round. If they were withheld
// for two gangs, each gang could block resources that the other one needs.
func (p *Planner) holdForGang(j *cluster.Job, r *round) {
	if r.heldForGang || r.now.Sub(j.Submitted) < p.settings.HeartbeatInterval {
		return
	}
	var best []*Candidate
	largest := 0
	for _, group := range p.gangCandidates(j, r) {
		capacity := 0
		for _, c := range group {
			capacity += c.Capacity(j)
		}
		if capacity > largest {
			best, largest = group, capacity
		}
	}
	r.heldForGang = largest > 0
	left := j.Waiting
	for _, c := range best {
		n := min(left, c.Capacity(j))
		c.withhold(j.Spec.Resources.Mul(n))
		left -= n
	}
}
