package placement

import "sagevale/internal/cluster"

// ZoneCheck answers in which zones one more task of a job may start. It asks the job once for each zone.
type ZoneCheck struct {
	job      *cluster.Job
	counts   map[string]int // nil: the job may be anywhere
	verdicts []zoneVerdict
}

type zoneVerdict struct {
	zone    string
	allowed bool
}

// NewZoneCheck returns the check of a job with its present attempts.
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
	for _, v := range z.verdicts {
		if v.zone == zone {
			return v.allowed
		}
	}
	allowed := z.job.ZoneAllows(zone, z.counts)
	z.verdicts = append(z.verdicts, zoneVerdict{zone, allowed})
	return allowed
}

// Add counts so many more tasks in a zone; a negative n takes tasks out.
func (z *ZoneCheck) Add(zone string, n int) {
	if z.counts != nil {
		z.counts[zone] += n
		z.verdicts = z.verdicts[:0]
	}
}
