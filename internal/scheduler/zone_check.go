package scheduler

import "sagevale/internal/cluster"

// zoneCheck answers where one more task of a job may start; it asks the job
// once for each zone.
type zoneCheck struct {
	job    *cluster.Job
	counts map[string]int // nil: the job may be anywhere
	known  []zoneVerdict
}

type zoneVerdict struct {
	zone string
	ok   bool
}

func newZoneCheck(j *cluster.Job) zoneCheck {
	z := zoneCheck{job: j}
	if j.Spec.Zone != "" || j.Spec.SameZone || j.Spec.Spread {
		z.counts = j.ZoneCounts()
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
	ok := z.job.ZoneAllows(zone, z.counts)
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
