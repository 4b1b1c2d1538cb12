package placement

import (
	"math"
	"slices"

	"sagevale/internal/cluster"
	"sagevale/internal/storage"
)

// Shape holds the properties of a job that determine which machines its tasks may run on. The zones of the job are not
// part of it. A round records the shapes for which it found no machine, so that it searches only once for a thousand
// similar tasks.
type Shape struct {
	resources     storage.Resources
	types         string
	spot          bool
	service       bool
	priority      storage.Priority
	opportunistic bool // the tasks must leave enough CPUs and memory for free GPUs, see strandsGPUs
	guaranteed    bool // the job may preempt opportunistic work of its own priority
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

// ExhaustedShapes records for each shape and zone how far the list of candidates has been searched without success. A
// task of the shape fits on none of the searched candidates in the zone. Within a round the free resources of
// a candidate only shrink, so the record stays true until the round ends. New candidates are appended to the list, so
// the record doesn't cover them.
type ExhaustedShapes map[Shape][]exhaustedZone

// exhaustedZone records how far the list of candidates has been searched in one zone for tasks of one shape.
type exhaustedZone struct {
	zone            string
	firstUnsearched int // index of the first candidate that hasn't been searched
}

// FirstUnsearched returns the index of the candidate at which a search for the shape must begin. The search is
// restricted to the zones that the check allows. If it allows none of the zones, the result is math.MaxInt.
func (e ExhaustedShapes) FirstUnsearched(s Shape, check *ZoneCheck, zones []string) int {
	from := math.MaxInt
	for _, zone := range zones {
		if check.Allows(zone) {
			from = min(from, e.firstUnsearchedIn(s, zone))
		}
	}
	return from
}

// firstUnsearchedIn returns the index of the first candidate that hasn't been searched for the shape in a zone.
func (e ExhaustedShapes) firstUnsearchedIn(s Shape, zone string) int {
	for _, exhausted := range e[s] {
		if exhausted.zone == zone {
			return exhausted.firstUnsearched
		}
	}
	return 0
}

// MarkExhausted records that the zones that the check allows have been searched without success for the shape. searched
// is the number of candidates at the beginning of the list that the search has covered.
func (e ExhaustedShapes) MarkExhausted(s Shape, check *ZoneCheck, zones []string, searched int) {
	for _, zone := range zones {
		if !check.Allows(zone) {
			continue
		}
		i := slices.IndexFunc(e[s], func(x exhaustedZone) bool { return x.zone == zone })
		if i < 0 {
			e[s] = append(e[s], exhaustedZone{zone, searched})
		} else {
			e[s][i].firstUnsearched = searched
		}
	}
}
