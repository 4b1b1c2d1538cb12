package scheduler

import (
	"time"

	"sagevale/internal/cloud"
	"sagevale/internal/cluster"
	"sagevale/internal/storage"
)

// Opportunistic work is best-effort work for which nobody has stated when it should be done,
// of a team without a guarantee. It runs on what is idle and on machines that are cheap for
// it: it takes neither the room that is kept for others nor accelerators' processors, makes
// way for guaranteed work, and keeps no dear machine rented. Its jobs share what there is
// evenly, so that the largest ones begin too.

const (
	// opportunisticPrice is how many times the least price of a task's place a machine may
	// cost that is rented for opportunistic work.
	opportunisticPrice = 2.0
	// minimumAllocationLeases is how long a job waits for a cheap machine, in leases, before one of
	// any price is rented for its first task.
	minimumAllocationLeases = 2
)

// opportunisticShare is how many tasks of one opportunistic job a round places at the most, with
// so many of them waiting.
func opportunisticShare(jobs int) int { return max(1, maxPlacementsPerRound/max(1, jobs)) }

// opportunisticWaiting counts the opportunistic jobs among those that wait.
func (d *scheduler) opportunisticWaiting(waiting []*cluster.Job) int {
	n := 0
	for _, j := range waiting {
		if d.settings.IsOpportunistic(&j.Spec) {
			n++
		}
	}
	return n
}

// reserveHeadroom takes the room that is kept for others from a round's candidates, before
// opportunistic work is placed.
func (d *scheduler) reserveHeadroom(r *round) {
	for _, kept := range d.keptHeadroom {
		zones := newZoneCheck(kept.job)
		for n := kept.n; n > 0; n-- {
			s := d.fullest(r.candidates, kept.job, &zones, anyCandidate)
			if s == nil {
				break
			}
			s.free = s.free.Sub(kept.job.Spec.Resources)
			zones.add(s.Zone, 1)
		}
	}
}

// minimumAllocationDue tells whether an opportunistic job has waited so long for its first place that a
// machine of any price is rented for it.
func (d *scheduler) minimumAllocationDue(j *cluster.Job, now time.Time) bool {
	return j.Allocated() == 0 && now.Sub(j.Submitted) > minimumAllocationLeases*d.settings.WorkerLease
}

// placePrice is what a machine of an offer costs for each task of that room.
func (d *scheduler) placePrice(o cloud.Offering, room storage.Resources) float64 {
	typ := d.state.Types.Get(o.Type)
	price := typ.Price
	if o.Spot {
		price = typ.SpotPrice
	}
	return price / float64(fitCount(typ.Resources, room))
}

// leastPlacePrice is the least price of a task's place among the machines that a job may use.
func (d *scheduler) leastPlacePrice(j *cluster.Job) float64 {
	least := 0.0
	for _, kind := range d.state.FeasibleTypes(j) {
		spot := j.Spec.Spot && d.state.Types.Get(kind).SpotPrice > 0
		if price := d.placePrice(cloud.Offering{Type: kind, Spot: spot}, j.Spec.Resources); least == 0 || price < least {
			least = price
		}
	}
	return least
}

// cheapFor tells whether machines of an offer are cheap enough to be rented, or kept, for an
// opportunistic job.
func (d *scheduler) cheapFor(o cloud.Offering, j *cluster.Job) bool {
	return d.placePrice(o, j.Spec.Resources) <= opportunisticPrice*d.leastPlacePrice(j)
}
