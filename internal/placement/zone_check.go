package placement

import "sagevale/internal/cluster"

// ZoneCheck determines in which zones one more task of a job may start. It caches the result for each zone until Add
// changes the number of tasks in a zone.
type ZoneCheck struct {
	job     *cluster.Job
	counts  map[string]int // tasks per zone; nil if the job's zones are unrestricted
	results []zoneResult
}

// zoneResult is the cached result for one zone.
type zoneResult struct {
	zone    string
	allowed bool
}

// NewZoneCheck returns a check that starts from the zones of the job's current attempts.
func NewZoneCheck(j *cluster.Job) ZoneCheck {
	z := ZoneCheck{job: j}
	if j.Spec.Zone != "" || j.Spec.SameZone || j.Spec.Spread {
		z.counts = j.ZoneCounts()
	}
	return z
}

// Allows reports whether one more task may start in a zone.
func (z *ZoneCheck) Allows(zone string) bool {
	if z.counts == nil {
		return true
	}
	for _, v := range z.results {
		if v.zone == zone {
			return v.allowed
		}
	}
	allowed := z.job.ZoneAllows(zone, z.counts)
	z.results = append(z.results, zoneResult{zone, allowed})
	return allowed
}

// Add counts n more tasks in a zone. A negative n removes tasks.
func (z *ZoneCheck) Add(zone string, n int) {
	if z.counts != nil {
		z.counts[zone] += n
		z.results = z.results[:0]
	}
}
