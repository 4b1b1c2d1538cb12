package scheduler

import (
	"math"
	"time"

	"sagevale/internal/boots"
	"sagevale/internal/clock"
	"sagevale/internal/cloud"
	"sagevale/internal/cluster"
)

const (
	// overdueRatio: a machine that is not up after this many times its boot
	// time no longer counts as coming; some take several times as long, some
	// never come. After abandonRatio times it is returned: another comes sooner.
	overdueRatio = 1.6
	abandonRatio = 2.0
	// firstReportGrace is what a machine has beyond that until its first report.
	firstReportGrace = 5 * time.Second
)

// provisioningHistory is what is known of boots in this term: by type, how slow they are, and by offer,
// whether machines come at all.
type provisioningHistory struct {
	types     map[string]*boots.History
	offerings map[cloud.Offering]*boots.History
	slowness  map[string]float64 // by type, as of the last snapshot
}

func newProvisioningHistory() *provisioningHistory {
	return &provisioningHistory{types: make(map[string]*boots.History), offerings: make(map[cloud.Offering]*boots.History), slowness: make(map[string]float64)}
}

// ofType is the history of a type's boots.
func (b *provisioningHistory) ofType(kind string) *boots.History {
	if b.types[kind] == nil {
		b.types[kind] = &boots.History{}
	}
	return b.types[kind]
}

// ofOffering is the history of the boots of machines rented by an offer.
func (b *provisioningHistory) ofOffering(o cloud.Offering) *boots.History {
	if b.offerings[o] == nil {
		b.offerings[o] = &boots.History{}
	}
	return b.offerings[o]
}

// provisioningRatio is how many times its boot time a machine has had.
func provisioningRatio(m *cluster.Machine, now time.Time) float64 {
	return now.Sub(m.FirstSeen).Seconds() / m.Type.BootS
}

// noteProvisioned takes in that a machine has come up whose rental was seen.
func (d *scheduler) noteProvisioned(m *cluster.Machine, now time.Time) {
	if !m.ProvisioningObserved || m.Type == nil || m.Type.BootS <= 0 {
		return
	}
	m.ProvisioningObserved = false // once
	d.provisioning.ofType(m.TypeName).RecordProvisioned(now, provisioningRatio(m, now))
	d.provisioning.ofOffering(m.Offering()).RecordProvisioned(now, provisioningRatio(m, now))
}

// noteAbandoned takes in that a machine is returned because it hasn't come up.
func (d *scheduler) noteAbandoned(m *cluster.Machine, now time.Time) {
	if !m.ProvisioningObserved || !m.LastContact.IsZero() || m.Type.BootS <= 0 {
		return
	}
	m.ProvisioningObserved = false
	d.provisioning.ofType(m.TypeName).RecordAbandoned(now, provisioningRatio(m, now))
	d.provisioning.ofOffering(m.Offering()).RecordAbandoned(now, provisioningRatio(m, now))
}

// updateSlowness reckons, type by type, how slow boots are.
func (d *scheduler) updateSlowness(now time.Time) {
	late := make(map[string][]float64)
	for _, m := range d.state.Machines.InOrder() {
		if m.ProvisioningObserved && m.LastContact.IsZero() && m.Type != nil && m.Type.BootS > 0 && !m.Terminating && provisioningRatio(m, now) > 1 {
			late[m.TypeName] = append(late[m.TypeName], provisioningRatio(m, now))
		}
	}
	for _, kind := range d.state.Types.All() {
		typ := d.state.Types.Get(kind)
		slowness := d.provisioning.ofType(kind).Slowness(now, clock.Seconds(typ.BootS), late[kind])
		if slowness > 1 && d.provisioning.slowness[kind] <= 1 {
			d.log.Info("machines boot slowly", "type", kind, "times", slowness)
		}
		d.provisioning.slowness[kind] = slowness
	}
}

// provisioningExceeds tells whether a machine has had so many times its boot time.
func provisioningExceeds(m *cluster.Machine, now time.Time, times float64) bool {
	return m.Type != nil && now.Sub(m.FirstSeen) > clock.Seconds(m.Type.BootS*times)+firstReportGrace
}

// provisioningOverdue tells whether a machine that isn't up no longer counts as coming. Where all boots of
// its type are slow another would come no sooner; but they may be such as never come, so it
// counts for longer by the root of how slow they are.
func (d *scheduler) provisioningOverdue(m *cluster.Machine, now time.Time) bool {
	return provisioningExceeds(m, now, overdueRatio*math.Sqrt(max(1, d.provisioning.slowness[m.TypeName])))
}

// provisioningFailed tells whether a machine that isn't up is returned.
func (d *scheduler) provisioningFailed(m *cluster.Machine, now time.Time) bool {
	return provisioningExceeds(m, now, abandonRatio*max(1, d.provisioning.slowness[m.TypeName]))
}

// failsToProvision tells whether machines of an offer were rented of late and mostly didn't come up.
func (d *scheduler) failsToProvision(o cloud.Offering, now time.Time) bool {
	history := d.provisioning.offerings[o]
	return history != nil && history.Failing(now, clock.Seconds(d.state.Types.Get(o.Type).BootS))
}

// abandoned tells whether a machine is let go that isn't heard: one that was up
// once it has been silent for a lease and as long as another takes to boot, for
// behind a cut it may be back sooner than that; one that never was up when it
// is far overdue.
func (d *scheduler) abandoned(m *cluster.Machine, now time.Time) bool {
	if m.LastContact.IsZero() {
		return d.provisioningFailed(m, now)
	}
	return now.Sub(m.LastContact) > d.settings.WorkerLease+clock.Seconds(m.Type.BootS)
}
