package placement

import (
	"slices"

	"sagevale/internal/cluster"
)

// samplesPerChoice is the number of random candidates that a placement chooses between ("power of two choices").
const samplesPerChoice = 2

// shortlist holds the candidates of the best tier, see tierOf, for the tasks of one job in one round. A search for
// these candidates may have to look at every machine. To avoid a search for each task, updateShortlist updates the list
// after each placed task. A new search runs only when the list is empty.
type shortlist struct {
	job        *cluster.Job
	round      *round
	zones      *ZoneCheck
	tier       int
	candidates []*Candidate // in the order of round.candidates; a search is needed if empty
}

// chooseCandidate returns the fuller of two random candidates of the best tier, or nil if no candidate fits.
func (p *Planner) chooseCandidate(list *shortlist) *Candidate {
	if list.zones.counts != nil { // placing a task may have changed which zones are allowed for the next one
		list.candidates = slices.DeleteFunc(list.candidates, func(c *Candidate) bool { return !list.zones.Allows(c.Zone) })
	}
	if len(list.candidates) == 0 {
		p.searchShortlist(list)
	}
	if len(list.candidates) == 0 {
		return nil
	}
	return p.sampleCandidate(list.job, list.candidates)
}

// sampleCandidate returns the fuller of two random candidates, so that tasks are packed onto few machines.
func (p *Planner) sampleCandidate(j *cluster.Job, candidates []*Candidate) *Candidate {
	pick := candidates[p.random.IntN(len(candidates))]
	for i := 1; i < samplesPerChoice; i++ {
		if other := candidates[p.random.IntN(len(candidates))]; other.freeShare(j) < pick.freeShare(j) {
			pick = other
		}
	}
	return pick
}

// searchShortlist fills the list with the round's candidates of the best tier. If no candidate fits, it records this for
// the job's shape, see ExhaustedShapes.
func (p *Planner) searchShortlist(list *shortlist) {
	j, r := list.job, list.round
	shape := p.ShapeOf(j)
	from := r.exhausted.FirstUnsearched(shape, list.zones, r.zones)
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
		r.exhausted.MarkExhausted(shape, list.zones, r.zones, len(r.candidates))
	}
}

// updateShortlist updates the list after a task was placed on a candidate. The candidate may now be too full or in another
// tier. If its tier is now better than the tier of the list, the list is emptied, so that a new search runs.
func (p *Planner) updateShortlist(list *shortlist, c *Candidate) {
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

// These flags are the drawbacks of a candidate, and its tier is their sum. Each flag outweighs all flags before it.
const (
	tierCPUOnly         = 1 << iota // a task without GPUs would keep a machine without GPUs from being terminated
	tierOnDemandForSpot             // the job may use spot machines, and the candidate is an on-demand machine
	tierImageMissing                // the machine must pull the image first
	tierStrandsGPUs                 // the task would leave GPUs that no other task can use
	tierSuspected                   // tasks have recently failed on the machine, or it has lost leases
)

// tierOf returns the tier of a candidate for a job. A smaller tier is better.
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
