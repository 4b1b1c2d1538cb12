package autoscaling

import (
	"math"
	"time"

	"sagevale/internal/clock"
	"sagevale/internal/cloud"
	"sagevale/internal/cluster"
	"sagevale/internal/provisioning"
)

const (
	// overdueRatio is the number of nominal boot times after its launch at which a machine that isn't up becomes
	// overdue. No tasks are packed on overdue machines, because some of them take several nominal boot times and
	// some never come up.
	overdueRatio = 1.6
	// abandonRatio is the number of nominal boot times after its launch at which a machine that isn't up is
	// terminated, because a replacement would come up sooner.
	abandonRatio = 2.0
	// firstReportGrace is added to the limits of overdueRatio and abandonRatio. It gives a machine that has booted
	// time for its first report.
	firstReportGrace = 5 * time.Second
)

// provisioningHistory holds the outcomes of provisioning in this term. The histories by machine type show how slowly
// machines boot, and the histories by offering show whether machines come up at all.
type provisioningHistory struct {
	byType     map[string]*provisioning.History
	byOffering map[cloud.Offering]*provisioning.History
	slowness   map[string]float64 // result of History.Slowness by machine type, as of the last snapshot; 1: not slow
}

func newProvisioningHistory() *provisioningHistory {
	return &provisioningHistory{
		byType:     make(map[string]*provisioning.History),
		byOffering: make(map[cloud.Offering]*provisioning.History),
		slowness:   make(map[string]float64),
	}
}

// ofType returns the history of a machine type, which is created if there is none.
func (h *provisioningHistory) ofType(name string) *provisioning.History {
	if h.byType[name] == nil {
		h.byType[name] = &provisioning.History{}
	}
	return h.byType[name]
}

// ofOffering returns the history of an offering, which is created if there is none.
func (h *provisioningHistory) ofOffering(o cloud.Offering) *provisioning.History {
	if h.byOffering[o] == nil {
		h.byOffering[o] = &provisioning.History{}
	}
	return h.byOffering[o]
}

// provisioningRatio returns the time since a machine's launch, in nominal boot times of its type.
func provisioningRatio(m *cluster.Machine, now time.Time) float64 {
	return now.Sub(m.FirstSeen).Seconds() / m.Type.BootS
}

// RecordProvisioned records that a machine has come up, if its launch was observed.
func (r *Reviewer) RecordProvisioned(m *cluster.Machine, now time.Time) {
	if !m.ProvisioningObserved || m.Type == nil || m.Type.BootS <= 0 {
		return
	}
	m.ProvisioningObserved = false // each machine is recorded once
	r.provisioning.ofType(m.TypeName).RecordProvisioned(now, provisioningRatio(m, now))
	r.provisioning.ofOffering(m.Offering()).RecordProvisioned(now, provisioningRatio(m, now))
}

// recordAbandoned records that a machine never came up and is to be terminated, if its launch was observed.
func (r *Reviewer) recordAbandoned(m *cluster.Machine, now time.Time) {
	if !m.ProvisioningObserved || !m.LastContact.IsZero() || m.Type.BootS <= 0 {
		return
	}
	m.ProvisioningObserved = false
	r.provisioning.ofType(m.TypeName).RecordAbandoned(now, provisioningRatio(m, now))
	r.provisioning.ofOffering(m.Offering()).RecordAbandoned(now, provisioningRatio(m, now))
}

// updateSlowness computes for each machine type the factor by which machines boot slower than nominal.
func (r *Reviewer) updateSlowness(now time.Time) {
	overdueRatios := make(map[string][]float64)
	for _, m := range r.state.Machines.InOrder() {
		if m.ProvisioningObserved && m.LastContact.IsZero() && m.Type != nil && m.Type.BootS > 0 && !m.Terminating && provisioningRatio(m, now) > 1 {
			overdueRatios[m.TypeName] = append(overdueRatios[m.TypeName], provisioningRatio(m, now))
		}
	}
	for _, name := range r.state.Types.All() {
		nominal := clock.Seconds(r.state.Types.Get(name).BootS)
		slowness := r.provisioning.ofType(name).Slowness(now, nominal, overdueRatios[name])
		if slowness > 1 && r.provisioning.slowness[name] <= 1 {
			r.log.Info("slow provisioning", "type", name, "factor", slowness)
		}
		r.provisioning.slowness[name] = slowness
	}
}

// provisioningExceeds reports whether more time than a limit has passed since a machine's launch. The limit is ratio
// times the nominal boot time of its type, plus firstReportGrace. The result is false if the type is unknown.
func provisioningExceeds(m *cluster.Machine, now time.Time, ratio float64) bool {
	return m.Type != nil && now.Sub(m.FirstSeen) > clock.Seconds(m.Type.BootS*ratio)+firstReportGrace
}

// Overdue reports whether a machine that isn't up is overdue, see overdueRatio. If all machines of its type boot slowly,
// a replacement would come up no sooner, so the limit is longer for them. But machines that seem slow may also be
// machines that never come up, so the limit grows only by the square root of the slowness.
func (r *Reviewer) Overdue(m *cluster.Machine, now time.Time) bool {
	return provisioningExceeds(m, now, overdueRatio*math.Sqrt(max(1, r.provisioning.slowness[m.TypeName])))
}

// provisioningFailed reports whether a machine that isn't up has taken so long that it is terminated, see abandonRatio.
// The limit is longer, in proportion, for machine types that currently boot slowly.
func (r *Reviewer) provisioningFailed(m *cluster.Machine, now time.Time) bool {
	return provisioningExceeds(m, now, abandonRatio*max(1, r.provisioning.slowness[m.TypeName]))
}

// failsToProvision reports whether the recently launched machines of an offering mostly didn't come up.
func (r *Reviewer) failsToProvision(o cloud.Offering, now time.Time) bool {
	history := r.provisioning.byOffering[o]
	return history != nil && history.Failing(now, clock.Seconds(r.state.Types.Get(o.Type).BootS))
}

// shouldAbandon reports whether a machine that isn't confirmed is to be terminated. A machine is confirmed once it has
// reported with a fencing token of this term. A machine without any report in this term is terminated when its
// provisioning has failed. A machine that has reported, but without such a token, is terminated once it has been silent
// for a worker lease plus the boot time of a replacement. Before that, it may return from a network partition.
func (r *Reviewer) shouldAbandon(m *cluster.Machine, now time.Time) bool {
	if m.LastContact.IsZero() {
		return r.provisioningFailed(m, now)
	}
	return now.Sub(m.LastContact) > r.settings.WorkerLease+clock.Seconds(m.Type.BootS)
}
