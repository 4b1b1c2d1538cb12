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
	// overdueRatio is after how many nominal boot times a machine that isn't up no longer counts as coming:
	// some take several times as long, some never come.
	overdueRatio = 1.6
	// abandonRatio is after how many nominal boot times it is terminated: another comes sooner.
	abandonRatio = 2.0
	// firstReportGrace is what a machine has beyond that until its first report.
	firstReportGrace = 5 * time.Second
)

// provisioningHistory is what is known of the provisioning of machines in this term: by type, how slow it is,
// and by offering, whether machines come at all.
type provisioningHistory struct {
	types     map[string]*provisioning.History
	offerings map[cloud.Offering]*provisioning.History
	slowness  map[string]float64 // by type, as of the last snapshot
}

func newProvisioningHistory() *provisioningHistory {
	return &provisioningHistory{
		types:     make(map[string]*provisioning.History),
		offerings: make(map[cloud.Offering]*provisioning.History),
		slowness:  make(map[string]float64),
	}
}

func (h *provisioningHistory) ofType(name string) *provisioning.History {
	if h.types[name] == nil {
		h.types[name] = &provisioning.History{}
	}
	return h.types[name]
}

func (h *provisioningHistory) ofOffering(o cloud.Offering) *provisioning.History {
	if h.offerings[o] == nil {
		h.offerings[o] = &provisioning.History{}
	}
	return h.offerings[o]
}

// provisioningRatio is for how many nominal boot times a machine has been provisioned.
func provisioningRatio(m *cluster.Machine, now time.Time) float64 {
	return now.Sub(m.FirstSeen).Seconds() / m.Type.BootS
}

// NoteProvisioned notes that a machine has come up whose launch was seen.
func (r *Reviewer) NoteProvisioned(m *cluster.Machine, now time.Time) {
	if !m.ProvisioningObserved || m.Type == nil || m.Type.BootS <= 0 {
		return
	}
	m.ProvisioningObserved = false // once
	r.provisioning.ofType(m.TypeName).RecordProvisioned(now, provisioningRatio(m, now))
	r.provisioning.ofOffering(m.Offering()).RecordProvisioned(now, provisioningRatio(m, now))
}

// noteAbandoned notes that a machine is terminated because it hasn't come up.
func (r *Reviewer) noteAbandoned(m *cluster.Machine, now time.Time) {
	if !m.ProvisioningObserved || !m.LastContact.IsZero() || m.Type.BootS <= 0 {
		return
	}
	m.ProvisioningObserved = false
	r.provisioning.ofType(m.TypeName).RecordAbandoned(now, provisioningRatio(m, now))
	r.provisioning.ofOffering(m.Offering()).RecordAbandoned(now, provisioningRatio(m, now))
}

// updateSlowness computes, type by type, how slow provisioning is.
func (r *Reviewer) updateSlowness(now time.Time) {
	late := make(map[string][]float64)
	for _, m := range r.state.Machines.InOrder() {
		if m.ProvisioningObserved && m.LastContact.IsZero() && m.Type != nil && m.Type.BootS > 0 && !m.Terminating && provisioningRatio(m, now) > 1 {
			late[m.TypeName] = append(late[m.TypeName], provisioningRatio(m, now))
		}
	}
	for _, name := range r.state.Types.All() {
		nominal := clock.Seconds(r.state.Types.Get(name).BootS)
		slowness := r.provisioning.ofType(name).Slowness(now, nominal, late[name])
		if slowness > 1 && r.provisioning.slowness[name] <= 1 {
			r.log.Info("slow provisioning", "type", name, "factor", slowness)
		}
		r.provisioning.slowness[name] = slowness
	}
}

// provisioningExceeds reports whether a machine has had more than so many nominal boot times.
func provisioningExceeds(m *cluster.Machine, now time.Time, ratio float64) bool {
	return m.Type != nil && now.Sub(m.FirstSeen) > clock.Seconds(m.Type.BootS*ratio)+firstReportGrace
}

// Overdue reports whether a machine that isn't up no longer counts as coming. Where all machines of its type
// are slow another would come no sooner; but they may be such as never come, so it counts for longer by the
// root of how slow they are.
func (r *Reviewer) Overdue(m *cluster.Machine, now time.Time) bool {
	return provisioningExceeds(m, now, overdueRatio*math.Sqrt(max(1, r.provisioning.slowness[m.TypeName])))
}

// provisioningFailed reports whether a machine that isn't up is terminated.
func (r *Reviewer) provisioningFailed(m *cluster.Machine, now time.Time) bool {
	return provisioningExceeds(m, now, abandonRatio*max(1, r.provisioning.slowness[m.TypeName]))
}

// failsToProvision reports whether machines of an offering were launched of late and mostly didn't come up.
func (r *Reviewer) failsToProvision(o cloud.Offering, now time.Time) bool {
	history := r.provisioning.offerings[o]
	return history != nil && history.Failing(now, clock.Seconds(r.state.Types.Get(o.Type).BootS))
}

// abandoned reports whether a machine without a confirmed report is terminated: one that was up once it has been
// silent for a lease and as long as another takes to boot, for behind a network partition it may be back
// sooner than that; one that never was up when its provisioning has failed.
func (r *Reviewer) abandoned(m *cluster.Machine, now time.Time) bool {
	if m.LastContact.IsZero() {
		return r.provisioningFailed(m, now)
	}
	return now.Sub(m.LastContact) > r.settings.WorkerLease+clock.Seconds(m.Type.BootS)
}
