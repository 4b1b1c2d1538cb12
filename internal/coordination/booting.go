package coordination

import (
	"math"
	"time"

	"sagevale/internal/boots"
)

const (
	// bootOverdueTimes: a machine that is not up after this many times its boot
	// time no longer counts as coming; some take several times as long, some
	// never come. After bootDeadTimes times it is returned: another comes sooner.
	bootOverdueTimes = 1.6
	bootDeadTimes    = 2.0
	// bootGrace is what a machine has beyond that until its first report.
	bootGrace = 5 * time.Second
)

// bootTimes is what is known of boots in this term: by type, how slow they are, and by offer,
// whether machines come at all.
type bootTimes struct {
	types    map[string]*boots.History
	offers   map[offer]*boots.History
	slowness map[string]float64 // by type, as of the last snapshot
}

func newBootTimes() *bootTimes {
	return &bootTimes{types: make(map[string]*boots.History), offers: make(map[offer]*boots.History), slowness: make(map[string]float64)}
}

// ofType is the history of a type's boots.
func (b *bootTimes) ofType(kind string) *boots.History {
	if b.types[kind] == nil {
		b.types[kind] = &boots.History{}
	}
	return b.types[kind]
}

// ofOffer is the history of the boots of machines rented by an offer.
func (b *bootTimes) ofOffer(o offer) *boots.History {
	if b.offers[o] == nil {
		b.offers[o] = &boots.History{}
	}
	return b.offers[o]
}

func (m *machine) offer() offer { return offer{m.kind, m.zone, m.spot} }

// bootsSoFar is how many times its boot time a machine has had.
func (m *machine) bootsSoFar(now time.Time) float64 { return now.Sub(m.born).Seconds() / m.typ.BootS }

// noteUp takes in that a machine has come up whose rental was seen.
func (d *dispatcher) noteUp(m *machine, now time.Time) {
	if !m.bornSeen || m.typ == nil || m.typ.BootS <= 0 {
		return
	}
	m.bornSeen = false // once
	d.boots.ofType(m.kind).RecordProvisioned(now, m.bootsSoFar(now))
	d.boots.ofOffer(m.offer()).RecordProvisioned(now, m.bootsSoFar(now))
}

// noteGivenUp takes in that a machine is returned because it hasn't come up.
func (d *dispatcher) noteGivenUp(m *machine, now time.Time) {
	if !m.bornSeen || !m.lastHeard.IsZero() || m.typ.BootS <= 0 {
		return
	}
	m.bornSeen = false
	d.boots.ofType(m.kind).RecordAbandoned(now, m.bootsSoFar(now))
	d.boots.ofOffer(m.offer()).RecordAbandoned(now, m.bootsSoFar(now))
}

// learnSlowness reckons, type by type, how slow boots are.
func (d *dispatcher) learnSlowness(now time.Time) {
	late := make(map[string][]float64)
	for _, m := range d.order {
		if m.bornSeen && m.lastHeard.IsZero() && m.typ != nil && m.typ.BootS > 0 && !m.returning && m.bootsSoFar(now) > 1 {
			late[m.kind] = append(late[m.kind], m.bootsSoFar(now))
		}
	}
	for kind, typ := range d.types {
		slowness := d.boots.ofType(kind).Slowness(now, seconds(typ.BootS), late[kind])
		if slowness > 1 && d.boots.slowness[kind] <= 1 {
			d.log.Info("machines boot slowly", "type", kind, "times", slowness)
		}
		d.boots.slowness[kind] = slowness
	}
}

// bootPast tells whether a machine has had so many times its boot time.
func (m *machine) bootPast(now time.Time, times float64) bool {
	return m.typ != nil && now.Sub(m.born) > seconds(m.typ.BootS*times)+bootGrace
}

// bootOverdue tells whether a machine that isn't up no longer counts as coming. Where all boots of
// its type are slow another would come no sooner; but they may be such as never come, so it
// counts for longer by the root of how slow they are.
func (d *dispatcher) bootOverdue(m *machine, now time.Time) bool {
	return m.bootPast(now, bootOverdueTimes*math.Sqrt(max(1, d.boots.slowness[m.kind])))
}

// bootDead tells whether a machine that isn't up is returned.
func (d *dispatcher) bootDead(m *machine, now time.Time) bool {
	return m.bootPast(now, bootDeadTimes*max(1, d.boots.slowness[m.kind]))
}

// undelivered tells whether machines of an offer were rented of late and mostly didn't come up.
func (d *dispatcher) undelivered(o offer, now time.Time) bool {
	history := d.boots.offers[o]
	return history != nil && history.Failing(now, seconds(d.types[o.kind].BootS))
}

// givenUp tells whether a machine is let go that isn't heard: one that was up
// once it has been silent for a lease and as long as another takes to boot, for
// behind a cut it may be back sooner than that; one that never was up when it
// is far overdue.
func (d *dispatcher) givenUp(m *machine, now time.Time) bool {
	if m.lastHeard.IsZero() {
		return d.bootDead(m, now)
	}
	return now.Sub(m.lastHeard) > d.settings.WorkerLease+seconds(m.typ.BootS)
}
