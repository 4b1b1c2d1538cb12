package autoscaling

import (
	"log/slog"
	"time"

	"sagevale/internal/cloud"
	"sagevale/internal/cluster"
	"sagevale/internal/config"
	"sagevale/internal/placement"
	"sagevale/internal/storage"
)

// Reviewer finds out what the fleet lacks and what it could do without. It belongs to the goroutine that owns
// the cluster state.
type Reviewer struct {
	settings *config.Settings
	state    *cluster.State
	planner  *placement.Planner
	log      *slog.Logger

	provisioning  *provisioningHistory
	rejected      map[cloud.Offering]time.Time // when the cloud last had no capacity
	surplusCursor int                          // where the search for surplus machines goes on
}

// NewReviewer returns a reviewer of a cluster's fleet. The planner must be of the same cluster.
func NewReviewer(settings *config.Settings, state *cluster.State, planner *placement.Planner, log *slog.Logger) *Reviewer {
	return &Reviewer{
		settings: settings, state: state, planner: planner, log: log,
		provisioning: newProvisioningHistory(), rejected: make(map[cloud.Offering]time.Time),
	}
}

// NoteRejected notes that the cloud has no capacity for an offering: it isn't asked again for a while.
func (r *Reviewer) NoteRejected(o cloud.Offering, now time.Time) { r.rejected[o] = now }

// rejectedLately reports whether the cloud had no capacity for an offering within a worker's lease.
func (r *Reviewer) rejectedLately(o cloud.Offering, now time.Time) bool {
	at, ok := r.rejected[o]
	return ok && now.Sub(at) < r.settings.WorkerLease
}

const (
	// opportunisticPrice is up to what multiple of the least price of a task's place a machine is
	// launched, or kept, for opportunistic work.
	opportunisticPrice = 2.0
	// minimumAllocationLeases is how long an opportunistic job waits for a cheap machine, in workers'
	// leases, before one of any price is launched for its first task.
	minimumAllocationLeases = 2
)

// minimumAllocationDue reports whether an opportunistic job has waited so long for its first task's machine
// that one of any price is launched.
func (r *Reviewer) minimumAllocationDue(j *cluster.Job, now time.Time) bool {
	return j.Allocated() == 0 && now.Sub(j.Submitted) > minimumAllocationLeases*r.settings.WorkerLease
}

// affordable reports whether machines of an offering are cheap enough to be launched, or kept, for an
// opportunistic job.
func (r *Reviewer) affordable(o cloud.Offering, j *cluster.Job) bool {
	return r.pricePerTask(o, j.Spec.Resources) <= opportunisticPrice*r.leastPricePerTask(j)
}

// pricePerTask is what a machine of an offering costs an hour for each task of that size that it holds.
func (r *Reviewer) pricePerTask(o cloud.Offering, task storage.Resources) float64 {
	t := r.state.Types.Get(o.Type)
	return priceOf(t, o.Spot) / float64(placement.FitCount(t.Resources, task))
}

// leastPricePerTask is the least price per task of the machines that a job may use.
func (r *Reviewer) leastPricePerTask(j *cluster.Job) float64 {
	least := 0.0
	for _, name := range r.state.FeasibleTypes(j) {
		spot := j.Spec.Spot && r.state.Types.Get(name).SpotPrice > 0
		price := r.pricePerTask(cloud.Offering{Type: name, Spot: spot}, j.Spec.Resources)
		if least == 0 || price < least {
			least = price
		}
	}
	return least
}

// priceOf is a machine type's price an hour.
func priceOf(t *storage.MachineType, spot bool) float64 {
	if spot {
		return t.SpotPrice
	}
	return t.Price
}
