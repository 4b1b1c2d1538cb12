package placement

import (
	"math"
	"slices"

	"sagevale/internal/cluster"
	"sagevale/internal/storage"
)

// Shape is what decides which machines may take a task, but for its job's zones. Rounds remember which
// shapes have found nothing, so that a thousand like tasks cost one search.
type Shape struct {
	resources     storage.Resources
	types         string
	spot          bool
	service       bool
	priority      storage.Priority
	opportunistic bool // strands no GPUs
	guaranteed    bool // may preempt opportunistic work
}

// ShapeOf returns a job's shape.
func (p *Planner) ShapeOf(j *cluster.Job) Shape {
	return Shape{
		resources:     j.Spec.Resources,
		types:         j.AllowedTypes,
		spot:          j.Spec.Spot,
		service:       j.Spec.Service,
		priority:      j.Spec.Priority,
		opportunistic: p.settings.IsOpportunistic(&j.Spec),
	}
}

// ExhaustedShapes remembers, by shape and zone, up to which candidate none takes a task. Within a round
// resources only shrink, so that holds to its end; candidates that are added come after.
type ExhaustedShapes map[Shape][]exhaustedZone

type exhaustedZone struct {
	zone string
	upTo int // candidates
}

// From returns the index of the first candidate worth looking at, of those in the zones that the check
// allows.
func (e ExhaustedShapes) From(s Shape, check *ZoneCheck, zones []string) int {
	from := math.MaxInt
	for _, zone := range zones {
		if check.Allows(zone) {
			from = min(from, e.upTo(s, zone))
		}
	}
	return from
}

func (e ExhaustedShapes) upTo(s Shape, zone string) int {
	for _, exhausted := range e[s] {
		if exhausted.zone == zone {
			return exhausted.upTo
		}
	}
	return 0
}

// Note marks the zones that the check allows as exhausted for a shape up to a candidate.
func (e ExhaustedShapes) Note(s Shape, check *ZoneCheck, zones []string, upTo int) {
	for _, zone := range zones {
		if !check.Allows(zone) {
			continue
		}
		i := slices.IndexFunc(e[s], func(x exhaustedZone) bool { return x.zone == zone })
		if i < 0 {
			e[s] = append(e[s], exhaustedZone{zone, upTo})
		} else {
			e[s][i].upTo = upTo
		}
	}
}
