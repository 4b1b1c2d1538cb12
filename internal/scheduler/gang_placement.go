package scheduler

import (
	"sagevale/internal/storage"
)

// placeGang reserves room for all waiting tasks of a gang in one decision, or for
// none: they are all of its tasks, or what is to be replaced of an attempt that
// hasn't run.
func (d *scheduler) placeGang(j *job, r *round) {
	if len(j.attempts) > 0 && !j.gangCompletable() {
		if j.gang.failed {
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
	if len(j.attempts) == 0 {
		d.lastAttempt++
		j.gang = gang{number: d.lastAttempt}
	}
	try := j.gang.number
	for _, s := range plan {
		task, ok := j.nextWaiting()
		if !ok {
			return
		}
		d.lastAttempt++
		a := &attempt{job: j, task: task, number: try, machine: s.machine, incarnation: s.machine.incarnation, thisTerm: true, reservedAt: r.now}
		d.addAttempt(a)
		d.markPage(j, task)
		r.reserved = append(r.reserved, a)
	}
}

// gangWithinLimit tells whether the team may hold all that waits of a gang.
func (d *scheduler) gangWithinLimit(j *job) bool {
	team := d.settings.Team(j.spec.Team)
	return team != nil && storage.WithinLimit(d.state.reservations.Team(j.spec.Team).Add(j.spec.Resources.Mul(j.waiting)), team.Limit)
}

// planGang finds a candidate for each waiting task of a gang and takes the room there,
// or takes none. Among several zones that would do it takes the one where the
// tasks start soonest.
func (d *scheduler) planGang(j *job, r *round) []*candidate {
	var best []*candidate
	bestTiers := 0
	for _, group := range d.gangCandidates(j, r) {
		plan, tiers := d.planIn(j, group)
		if plan != nil && (best == nil || tiers < bestTiers) {
			best, bestTiers = plan, tiers
		}
	}
	for _, s := range best {
		s.free = s.free.Sub(j.spec.Resources)
	}
	return best
}

// gangCandidates lists the candidates that a gang may use, by zone if all its tasks must be
// in one.
func (d *scheduler) gangCandidates(j *job, r *round) [][]*candidate {
	zones := newZoneCheck(j)
	var groups [][]*candidate
	for _, zone := range r.zones {
		var group []*candidate
		for _, s := range r.candidates {
			if s.zone == zone && s.admits(j, &zones) && !j.gang.exitedOn[s.machine.id] {
				group = append(group, s)
			}
		}
		switch {
		case len(group) == 0:
		case j.spec.SameZone || len(groups) == 0:
			groups = append(groups, group)
		default:
			groups[0] = append(groups[0], group...)
		}
	}
	return groups
}

// planIn finds candidates for all waiting tasks among some, each the better of two
// samples of the best tier, without taking the room for good.
func (d *scheduler) planIn(j *job, group []*candidate) (plan []*candidate, tiers int) {
	room := 0
	for _, s := range group {
		if j.spec.Resources.Fits(s.free) {
			room += fitCount(s.free, j.spec.Resources)
		}
	}
	if room < j.waiting {
		return nil, 0
	}
	zones := newZoneCheck(j)
	defer func() {
		for _, s := range plan {
			s.free = s.free.Add(j.spec.Resources)
		}
		if len(plan) < j.waiting {
			plan = nil
		}
	}()
	for range j.waiting {
		var best []*candidate
		tier := 0
		for _, s := range group {
			if !j.spec.Resources.Fits(s.free) || !zones.allows(s.zone) {
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
		pick.free = pick.free.Sub(j.spec.Resources)
		zones.add(pick.zone, 1)
		plan, tiers = append(plan, pick), tiers+tier
	}
	return plan, tiers
}

// reserveForGang keeps what room there is for a gang that finds too little, from work
// that is less urgent; only for one gang in a round, so that two never hold parts of
// the room that each lacks.
func (d *scheduler) reserveForGang(j *job, r *round) {
	if r.gangHolds || r.now.Sub(j.submitted) < d.settings.HeartbeatInterval {
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
	left := j.waiting
	for _, s := range best {
		n := min(left, s.capacityFor(j))
		s.takeReleasing(j.spec.Resources.Mul(n))
		left -= n
	}
}

// capacityFor is how many tasks of a job fit into what is free in the candidate and what is
// being freed.
func (s *candidate) capacityFor(j *job) int {
	if free := s.free.Add(s.releasing); j.spec.Resources.Fits(free) {
		return fitCount(free, j.spec.Resources)
	}
	return 0
}

// gangZone is where most tasks of a gang fit that must all be in one zone.
func gangZone(candidates []*candidate, dm *demand) string {
	room := make(map[string]int)
	best := ""
	for _, s := range candidates {
		if !dm.job.spec.Resources.Fits(s.free) || !s.admits(dm.job, &dm.zones) {
			continue
		}
		room[s.zone] += fitCount(s.free, dm.job.spec.Resources)
		if best == "" || room[s.zone] > room[best] || room[s.zone] == room[best] && s.zone < best {
			best = s.zone
		}
	}
	return best
}
