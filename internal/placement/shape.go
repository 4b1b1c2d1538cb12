package placement

import (
	"math"
	"slices"

	"sagevale/internal/cluster"
	"sagevale/internal/storage"
)

// Shape holds the properties of a job, except for its zones, that determine which machines its tasks may run on.
// Rounds record the shapes for which no machine was found, so that a thousand similar tasks cost one search.
type Shape struct {
	resources     storage.Resources
	types         string
	spot          bool
	service       bool
	priority      storage.Priority
	opportunistic bool // may not strand GPUs
	guaranteed    bool // may preempt opportunistic work of its own priority
}

// ShapeOf returns the shape of a job's tasks.
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

// ExhaustedShapes records, for each shape and zone, how many candidates at the head of the list are known not to
// fit a task. Within a round the free resources of a candidate only shrink, so the record stays true until the
// round ends. New candidates are appended to the list, so the record doesn't cover them.
type ExhaustedShapes map[Shape][]exhaustedZone

// exhaustedZone is the record of a shape in one zone.
type exhaustedZone struct {
	zone string
	upTo int // index of the first candidate that hasn't been searched
}

// FirstUnsearched returns the index of the first candidate that may fit a task of the shape in one of the zones that the
// check allows. It returns math.MaxInt if the check allows none of the zones.
func (e ExhaustedShapes) FirstUnsearched(s Shape, check *ZoneCheck, zones []string) int {
	from := math.MaxInt
	for _, zone := range zones {
		if check.Allows(zone) {
			from = min(from, e.upTo(s, zone))
		}
	}
	return from
}

// upTo returns the index of the first candidate in a zone that hasn't been searched for the shape.
func (e ExhaustedShapes) upTo(s Shape, zone string) int {
	for _, exhausted := range e[s] {
		if exhausted.zone == zone {
			return exhausted.upTo
		}
	}
	return 0
}

// MarkExhausted records for the shape that none of the first upTo candidates fits a task in the zones that the check
// allows.
func (e ExhaustedShapes) MarkExhausted(s Shape, check *ZoneCheck, zones []string, upTo int) {
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
