package scheduler

import (
	"sagevale/internal/cluster"
	"sagevale/internal/storage"
)

// placeGang reserves room for all waiting tasks of a gang in one decision, or for
// none: they are all of its tasks, or what is to be replaced of an attempt that
// hasn't run.
func (d *scheduler) placeGang(j *cluster.Job, r *round) {
	if len(j.Attempts) > 0 && !j.GangCompletable() {
		if j.Gang.Failed {
			d.abortGang(j)
		}
		return // the earlier attempt isn't over everywhere
	}
	if !d.gangWithinLimit(j) {
		return
	}
	plan := d.planGang(j, r)
	if plan == nil {
		if !d.preemptGang(j, r) {
			d.reserveForGang(j, r)
		}
		return
	}
	if len(j.Attempts) == 0 {
		d.lastAttempt++
		j.Gang = cluster.Gang{Number: d.lastAttempt}
	}
	try := j.Gang.Number
	for _, s := range plan {
		task, ok := j.NextWaiting()
		if !ok {
			return
		}
		d.lastAttempt++
		a := &cluster.Attempt{Job: j, Task: task, Number: try, Machine: s.machine, Incarnation: s.machine.Incarnation, ThisTerm: true, ReservedAt: r.now}
		d.addAttempt(a)
		d.markPage(j, task)
		r.reserved = append(r.reserved, a)
	}
}

// gangWithinLimit tells whether the team may hold all that waits of a gang.
func (d *scheduler) gangWithinLimit(j *cluster.Job) bool {
	team := d.settings.Team(j.Spec.Team)
	return team != nil && storage.WithinLimit(d.state.Reservations.Team(j.Spec.Team).Add(j.Spec.Resources.Mul(j.Waiting)), team.Limit)
}

// planGang finds a candidate for each waiting task of a gang and takes the room there,
// or takes none. Among several zones that would do it takes the one where the
// tasks start soonest.
func (d *scheduler) planGang(j *cluster.Job, r *round) []*candidate {
	var best []*candidate
	bestTiers := 0
	for _, group := range d.gangCandidates(j, r) {
		plan, tiers := d.planIn(j, group)
		if plan != nil && (best == nil || tiers < bestTiers) {
			best, bestTiers = plan, tiers
		}
	}
	for _, s := range best {
		s.free = s.free.Sub(j.Spec.Resources)
	}
	return best
}

// gangCandidates lists the candidates that a gang may use, by zone if all its tasks must be
// in one.
func (d *scheduler) gangCandidates(j *cluster.Job, r *round) [][]*candidate {
	zones := newZoneCheck(j)
	var groups [][]*candidate
	for _, zone := range r.zones {
		var group []*candidate
		for _, s := range r.candidates {
			if s.Zone == zone && s.admits(j, &zones) && !j.Gang.ExitedOn[s.machine.ID] {
				group = append(group, s)
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

// planIn finds candidates for all waiting tasks among some, each the better of two
// samples of the best tier, without taking the room for good.
func (d *scheduler) planIn(j *cluster.Job, group []*candidate) (plan []*candidate, tiers int) {
	room := 0
	for _, s := range group {
		if j.Spec.Resources.Fits(s.free) {
			room += fitCount(s.free, j.Spec.Resources)
		}
	}
	if room < j.Waiting {
		return nil, 0
	}
	zones := newZoneCheck(j)
	defer func() {
		for _, s := range plan {
			s.free = s.free.Add(j.Spec.Resources)
		}
		if len(plan) < j.Waiting {
			plan = nil
		}
	}()
	for range j.Waiting {
		var best []*candidate
		tier := 0
		for _, s := range group {
			if !j.Spec.Resources.Fits(s.free) || !zones.allows(s.Zone) {
				continue
			}
			if t := d.tier(j, s); best == nil || t < tier {
				best, tier = append(best[:0], s), t
			} else if t == tier {
				best = append(best, s)
			}
		}
		if len(best) == 0 {
			return plan, tiers
		}
		pick := d.sample(j, best)
		pick.free = pick.free.Sub(j.Spec.Resources)
		zones.add(pick.Zone, 1)
		plan, tiers = append(plan, pick), tiers+tier
	}
	return plan, tiers
}

// reserveForGang keeps what room there is for a gang that finds too little, from work
// that is less urgent; only for one gang in a round, so that two never hold parts of
// the room that each lacks.
func (d *scheduler) reserveForGang(j *cluster.Job, r *round) {
	if r.gangHolds || r.now.Sub(j.Submitted) < d.settings.HeartbeatInterval {
		return
	}
	var best []*candidate
	most := 0
	for _, group := range d.gangCandidates(j, r) {
		n := 0
		for _, s := range group {
			n += s.capacityFor(j)
		}
		if n > most {
			best, most = group, n
		}
	}
	r.gangHolds = most > 0
	left := j.Waiting
	for _, s := range best {
		n := min(left, s.capacityFor(j))
		s.takeReleasing(j.Spec.Resources.Mul(n))
		left -= n
	}
}

// capacityFor is how many tasks of a job fit into what is free in the candidate and what is
// being freed.
func (s *candidate) capacityFor(j *cluster.Job) int {
	if free := s.free.Add(s.releasing); j.Spec.Resources.Fits(free) {
		return fitCount(free, j.Spec.Resources)
	}
	return 0
}

// gangZone is where most tasks of a gang fit that must all be in one zone.
func gangZone(candidates []*candidate, dm *demand) string {
	room := make(map[string]int)
	best := ""
	for _, s := range candidates {
		if !dm.job.Spec.Resources.Fits(s.free) || !s.admits(dm.job, &dm.zones) {
			continue
		}
		room[s.Zone] += fitCount(s.free, dm.job.Spec.Resources)
		if best == "" || room[s.Zone] > room[best] || room[s.Zone] == room[best] && s.Zone < best {
			best = s.Zone
		}
	}
	return best
}
