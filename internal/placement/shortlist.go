package placement

import (
	"slices"

	"sagevale/internal/cluster"
)

// samples is the number of candidates that a placement chooses between: the power of two choices.
const samples = 2

// shortlist is the candidates of the best tier for the tasks of one job, in one round. It is searched for once
// and kept up to date as tasks are placed: a search costs as much as there are machines.
type shortlist struct {
	job        *cluster.Job
	round      *round
	zones      *ZoneCheck
	tier       int
	candidates []*Candidate // in the order of the round's; empty: to be searched for
}

// choose returns the better of two random candidates of the best tier, or nil if there is none.
func (p *Planner) choose(list *shortlist) *Candidate {
	if list.zones.counts != nil { // a task placed in one zone may close it to the next
		list.candidates = slices.DeleteFunc(list.candidates, func(c *Candidate) bool { return !list.zones.Allows(c.Zone) })
	}
	if len(list.candidates) == 0 {
		p.search(list)
	}
	if len(list.candidates) == 0 {
		return nil
	}
	return p.sample(list.job, list.candidates)
}

// sample returns the fuller of two random candidates: tasks are packed.
func (p *Planner) sample(j *cluster.Job, candidates []*Candidate) *Candidate {
	pick := candidates[p.random.IntN(len(candidates))]
	for i := 1; i < samples; i++ {
		if other := candidates[p.random.IntN(len(candidates))]; other.freeShare(j) < pick.freeShare(j) {
			pick = other
		}
	}
	return pick
}

// search looks through the round's candidates for those of the best tier.
func (p *Planner) search(list *shortlist) {
	j, r := list.job, list.round
	shape := p.ShapeOf(j)
	from := r.exhausted.From(shape, list.zones, r.zones)
	if from >= len(r.candidates) {
		return
	}
	for _, c := range r.candidates[from:] {
		if !j.Spec.Resources.Fits(c.Free) || !c.Admits(j, list.zones) || shape.opportunistic && p.strandsGPUs(j, c) {
			continue
		}
		tier := p.tierOf(j, c)
		switch {
		case len(list.candidates) == 0 || tier < list.tier:
			list.candidates, list.tier = append(list.candidates[:0], c), tier
		case tier == list.tier:
			list.candidates = append(list.candidates, c)
		}
	}
	if len(list.candidates) == 0 {
		r.exhausted.Note(shape, list.zones, r.zones, len(r.candidates))
	}
}

// noteReserved updates the list after a task was placed on a candidate, which may have become too full, or of
// another tier.
func (p *Planner) noteReserved(list *shortlist, c *Candidate) {
	j := list.job
	fits := j.Spec.Resources.Fits(c.Free) && (!p.settings.IsOpportunistic(&j.Spec) || !p.strandsGPUs(j, c))
	switch tier := p.tierOf(j, c); {
	case fits && tier == list.tier:
	case fits && tier < list.tier:
		list.candidates = list.candidates[:0]
	default:
		list.candidates = slices.DeleteFunc(list.candidates, func(o *Candidate) bool { return o == c })
	}
}

// The tiers of candidates: what speaks against one, each weighing more than all before it.
const (
	tierCPUOnly         = 1 << iota // a task without GPUs keeps a small machine busy that could be terminated
	tierOnDemandForSpot             // a job that may use spot machines on an on-demand one
	tierImageMissing                // the image must be fetched
	tierStrandsGPUs                 // leaves GPUs that nobody can use
	tierSuspected                   // tasks have failed there lately
)

// tierOf returns the tier of a candidate for a job; a smaller one is better.
func (p *Planner) tierOf(j *cluster.Job, c *Candidate) int {
	tier := 0
	if j.Spec.Resources.GPUs == 0 && c.Type.Resources.GPUs == 0 {
		tier |= tierCPUOnly
	}
	if j.Spec.Spot && !c.Spot {
		tier |= tierOnDemandForSpot
	}
	if _, ok := c.Machine.Images[j.Spec.Image]; !ok {
		tier |= tierImageMissing
	}
	if p.strandsGPUs(j, c) {
		tier |= tierStrandsGPUs
	}
	if c.Machine.Failures.Suspected() || c.Machine.LostIncarnations > 0 {
		tier |= tierSuspected
	}
	return tier
}
