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

// Reviewer computes which machines the fleet needs and which are surplus. It must be used only in the goroutine
// that owns the cluster state.
type Reviewer struct {
	settings *config.Settings
	state    *cluster.State
	planner  *placement.Planner
	log      *slog.Logger

	provisioning  *provisioningHistory
	rejected      map[cloud.Offering]time.Time // when the cloud last rejected each offering
	surplusCursor int                          // number of machines with tasks that the next call of findSurplus skips
}

// NewReviewer returns a reviewer of a cluster's fleet. The planner must use the same cluster state.
func NewReviewer(settings *config.Settings, state *cluster.State, planner *placement.Planner, log *slog.Logger) *Reviewer {
	return &Reviewer{
		settings: settings, state: state, planner: planner, log: log,
		provisioning: newProvisioningHistory(), rejected: make(map[cloud.Offering]time.Time),
	}
}

// RecordRejected records that the cloud rejected a launch of an offering or had too little capacity for it. For the
// length of one worker lease from now, no further machines of the offering are desired.
func (r *Reviewer) RecordRejected(o cloud.Offering, now time.Time) { r.rejected[o] = now }

// recentlyRejected reports whether the cloud rejected an offering within the last worker lease.
func (r *Reviewer) recentlyRejected(o cloud.Offering, now time.Time) bool {
	at, ok := r.rejected[o]
	return ok && now.Sub(at) < r.settings.WorkerLease
}

const (
	// maxOpportunisticPriceRatio is the highest price per task at which a machine is launched or kept for
	// opportunistic work. It is a multiple of the least price per task, see leastPricePerTask.
	maxOpportunisticPriceRatio = 2.0
	// minimumAllocationLeases is how long an opportunistic job waits for an affordable machine, in worker
	// leases, before a machine of any price is launched for its first task.
	minimumAllocationLeases = 2
)

// minimumAllocationDue reports whether an opportunistic job has waited so long for its first task to get a machine that
// a machine of any price may be launched for this task.
func (r *Reviewer) minimumAllocationDue(j *cluster.Job, now time.Time) bool {
	return j.AllocatedTasks() == 0 && now.Sub(j.Submitted) > minimumAllocationLeases*r.settings.WorkerLease
}

// affordable reports whether machines of an offering are cheap enough to be launched or kept for an opportunistic
// job.
func (r *Reviewer) affordable(o cloud.Offering, j *cluster.Job) bool {
	return r.pricePerTask(o, j.Spec.Resources) <= maxOpportunisticPriceRatio*r.leastPricePerTask(j)
}

// pricePerTask returns the hourly price of a machine of an offering, divided by the number of tasks that fit on it. task
// is the resources that one task needs.
func (r *Reviewer) pricePerTask(o cloud.Offering, task storage.Resources) float64 {
	t := r.state.Types.Get(o.Type)
	return hourlyPrice(t, o.Spot) / float64(placement.FitCount(t.Resources, task))
}

// leastPricePerTask returns the least price per task among the machine types that a job may use. If the job may use spot
// machines, it takes the spot prices of the types that have one.
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

// hourlyPrice returns the hourly spot or on-demand price of a machine type.
func hourlyPrice(t *storage.MachineType, spot bool) float64 {
	if spot {
		return t.SpotPrice
	}
	return t.Price
}
