package scheduler

import (
	"slices"

	"sagevale/internal/cluster"
)

// shortlist is the best kind of eligible machines for the tasks of one job, in one round of placement. It is searched
// for once and kept up to date as tasks are booked: a search costs as much as there are machines.
type shortlist struct {
	job        *cluster.Job
	round      *round
	zones      *zoneCheck
	tier       int
	candidates []*candidate // in the order of the round's; empty: to be searched for
}

// choose picks a machine by the power of two choices among the best kind of
// eligible machines.
func (d *scheduler) choose(list *shortlist) *candidate {
	if list.zones.counts != nil { // a task booked in one zone may close it to the next
		list.candidates = slices.DeleteFunc(list.candidates, func(s *candidate) bool { return !list.zones.allows(s.Zone) })
	}
	if len(list.candidates) == 0 {
		d.search(list)
	}
	if len(list.candidates) == 0 {
		return nil
	}
	return d.sample(list.job, list.candidates)
}

// search looks through the round's candidates for those of the best tier.
func (d *scheduler) search(list *shortlist) {
	j, r := list.job, list.round
	sh := d.shapeOf(j)
	from := r.exhausted.from(sh, list.zones, r.zones)
	if from >= len(r.candidates) {
		return
	}
	for _, s := range r.candidates[from:] {
		if !j.Spec.Resources.Fits(s.free) || !s.admits(j, list.zones) || sh.opportunistic && d.strandsGPUs(j, s) {
			continue
		}
		t := d.tier(j, s)
		switch {
		case len(list.candidates) == 0 || t < list.tier:
			list.candidates, list.tier = append(list.candidates[:0], s), t
		case t == list.tier:
			list.candidates = append(list.candidates, s)
		}
	}
	if len(list.candidates) == 0 {
		r.exhausted.note(sh, list.zones, r.zones, len(r.candidates))
	}
}

// noteReserved takes in that a task was noteReserved on a candidate, which may have become too full or of another tier.
func (d *scheduler) noteReserved(list *shortlist, s *candidate) {
	fits := list.job.Spec.Resources.Fits(s.free) && !(d.settings.IsOpportunistic(&list.job.Spec) && d.strandsGPUs(list.job, s))
	switch tier := d.tier(list.job, s); {
	case fits && tier == list.tier:
	case fits && tier < list.tier:
		list.candidates = list.candidates[:0]
	default:
		list.candidates = slices.DeleteFunc(list.candidates, func(o *candidate) bool { return o == s })
	}
}
