package scheduler

import (
	"math"
	"slices"

	"sagevale/internal/cluster"
	"sagevale/internal/storage"
)

// shape is what decides which machines may take a task, but for its job's
// zones. Rounds remember which shapes have found no room, so that a thousand
// like tasks cost one search.
type shape struct {
	room    storage.Resources
	types   string
	spot    bool
	service bool
	rank    storage.Priority

	opportunistic bool // strands no accelerators
	guaranteed    bool // may preempt opportunistic work
}

// shapeOfJob is the job's, as far as that doesn't depend on its team.
func shapeOfJob(j *cluster.Job) shape {
	return shape{room: j.Spec.Resources, types: j.AllowedTypes, spot: j.Spec.Spot, service: j.Spec.Service, rank: j.Spec.Priority}
}

// shapeOf is a job's shape.
func (d *scheduler) shapeOf(j *cluster.Job) shape {
	s := shapeOfJob(j)
	s.opportunistic = d.settings.IsOpportunistic(&j.Spec)
	return s
}

// exhaustedShapes remembers, by shape and zone, up to which candidate none takes a task.
// Within a round room only shrinks, so that holds to its end; candidates that are
// added come after.
type exhaustedShapes map[shape][]exhaustedZone

type exhaustedZone struct {
	zone string
	upto int
}

// from is the first candidate worth looking at, of those in the zones that the
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

// note marks all zones that the check allows as dry up to a candidate.
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
