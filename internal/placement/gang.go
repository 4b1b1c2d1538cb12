package placement

import (
	"sagevale/internal/cluster"
)

// placeGang reserves resources for all waiting tasks of a gang in one decision, or for none: they are all of
// its tasks, or what is to be replaced of an attempt that hasn't run.
func (p *Planner) placeGang(j *cluster.Job, r *round) {
	if len(j.Attempts) > 0 && !j.GangCompletable() {
		if j.Gang.Failed {
			p.actions.AbortGang(j)
		}
		return // the earlier attempt isn't proved gone everywhere
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

// planGang finds a candidate for each waiting task of a gang and takes the resources there, or returns nil.
// Among several zones that would do it takes the one where the tasks start soonest.
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

// gangCandidates returns the candidates that a gang may use, by zone if all its tasks must be in one.
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

// planGangAmong finds candidates for all waiting tasks of a gang, each the better of two samples of the best
// tier, or returns nil. It leaves their resources as they were. tiers is the sum of their tiers.
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
		pick := p.sample(j, best)
		pick.Free = pick.Free.Sub(j.Spec.Resources)
		zones.Add(pick.Zone, 1)
		plan, tiers = append(plan, pick), tiers+tier
	}
	return plan, tiers
}

// bestTier returns the candidates of the best tier that take one more task of the job.
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

// holdForGang keeps what there is for a gang that finds too little, from work that is less urgent. Only one
// gang in a round does, so that two never hold parts of what each lacks.
func (p *Planner) holdForGang(j *cluster.Job, r *round) {
	if r.gangHolds || r.now.Sub(j.Submitted) < p.settings.HeartbeatInterval {
		return
	}
	var best []*Candidate
	most := 0
	for _, group := range p.gangCandidates(j, r) {
		capacity := 0
		for _, c := range group {
			capacity += c.Capacity(j)
		}
		if capacity > most {
			best, most = group, capacity
		}
	}
	r.gangHolds = most > 0
	left := j.Waiting
	for _, c := range best {
		n := min(left, c.Capacity(j))
		c.takeReleasing(j.Spec.Resources.Mul(n))
		left -= n
	}
}
