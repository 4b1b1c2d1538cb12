package coordination

import (
	"math"
	"slices"
	"time"

	"sagevale/internal/storage"
)

// slot is a machine's free room, in a round of placement or a trial packing.
// A round makes its slots once; what it books or claims is taken from them.
type candidate struct {
	offer
	typ     *storage.MachineType
	free    storage.Room
	booting bool
	plain   bool      // to be rented for tasks without accelerators
	on      *machine  // nil: not yet rented
	packed  []*demand // what a trial packing has put here, a task each
	moved   int       // tasks that a search for spare machines has moved here

	freeing storage.Room // held by attempts that are being stopped
}

// readySlots returns the free room on the ready machines, in their order.
func (d *dispatcher) readyCandidates(now time.Time) []*candidate {
	candidates := make([]*candidate, 0, len(d.order))
	room := make([]candidate, len(d.order)) // in one piece
	fresh := d.settings.fresh()
	for i, m := range d.order {
		if m.ready(now, fresh) {
			room[i] = candidateOf(m)
			candidates = append(candidates, &room[i])
		}
	}
	return candidates
}

func candidateOf(m *machine) candidate {
	return candidate{
		offer: offer{m.kind, m.zone, m.spot}, typ: m.typ, on: m, booting: !m.heard,
		free: m.typ.Room.Minus(*m.booked), freeing: m.stopping,
	}
}

// zoneCheck answers where one more task of a job may start; it asks the job
// once for each zone.
type zoneCheck struct {
	job    *job
	counts map[string]int // nil: the job may be anywhere
	known  []zoneVerdict
}

type zoneVerdict struct {
	zone string
	ok   bool
}

func newZoneCheck(j *job) zoneCheck {
	z := zoneCheck{job: j}
	if j.spec.Zone != "" || j.spec.SameZone || j.spec.Spread {
		z.counts = j.zoneCounts()
	}
	return z
}

func (z *zoneCheck) allows(zone string) bool {
	if z.counts == nil {
		return true
	}
	for _, v := range z.known {
		if v.zone == zone {
			return v.ok
		}
	}
	ok := z.job.zoneAllows(zone, z.counts)
	z.known = append(z.known, zoneVerdict{zone, ok})
	return ok
}

// add counts one more task in a zone, or takes one out with a negative n.
func (z *zoneCheck) add(zone string, n int) {
	if z.counts != nil {
		z.counts[zone] += n
		z.known = z.known[:0]
	}
}

// shape is what decides which machines may take a task, but for its job's
// zones. Rounds remember which shapes have found no room, so that a thousand
// like tasks cost one search.
type shape struct {
	room    storage.Room
	types   string
	spot    bool
	service bool
	rank    storage.Priority
}

func (j *job) shape() shape {
	return shape{j.spec.Room, j.types, j.spec.Spot, j.spec.Service, j.spec.Priority}
}

// dryness remembers, by shape and zone, up to which slot none takes a task.
// Within a round room only shrinks, so that holds to its end; slots that are
// added come after.
type exhaustedShapes map[shape][]exhaustedZone

type exhaustedZone struct {
	zone string
	upto int
}

// from is the first slot worth looking at, of those in the zones that the
// check allows.
func (n exhaustedShapes) from(s shape, z *zoneCheck, zones []string) int {
	from := math.MaxInt
	for _, zone := range zones {
		if z.allows(zone) {
			from = min(from, n.upto(s, zone))
		}
	}
	return from
}

func (n exhaustedShapes) upto(s shape, zone string) int {
	for _, d := range n[s] {
		if d.zone == zone {
			return d.upto
		}
	}
	return 0
}

// note marks all zones that the check allows as dry up to a slot.
func (n exhaustedShapes) note(s shape, z *zoneCheck, zones []string, upto int) {
	for _, zone := range zones {
		if !z.allows(zone) {
			continue
		}
		i := slices.IndexFunc(n[s], func(d exhaustedZone) bool { return d.zone == zone })
		if i < 0 {
			n[s] = append(n[s], exhaustedZone{zone, upto})
		} else {
			n[s][i].upto = upto
		}
	}
}

// zonesOf lists the zones of the slots.
func zonesOf(candidates []*candidate) []string {
	var out []string
	for _, s := range candidates {
		if !slices.Contains(out, s.zone) {
			out = append(out, s.zone)
		}
	}
	return out
}
