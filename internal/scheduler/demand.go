package scheduler

import (
	"math"
	"slices"
	"sort"
	"time"

	"sagevale/internal/config"
	"sagevale/internal/storage"
)

// demand is a group of alike tasks in a trial packing.
type demand struct {
	job      *job
	zones    zoneCheck
	n        int     // tasks left to pack
	headroom bool    // room to keep, not a task
	runS     float64 // run time of a task of other work than services; 0 for opportunistic work, which isn't hurried

	opportunistic bool // only machines that are cheap for it are rented
}

// demands lists the waiting tasks, most urgent first, then the room to keep, and opportunistic
// work last.
func (d *scheduler) demands(now time.Time) []*demand {
	waiting := d.waitingJobs(now)
	d.byUrgency(waiting, now)
	var out, opportunistic []*demand
	teams := make(map[string]storage.Resources)
	for _, j := range waiting {
		team := d.settings.Team(j.spec.Team)
		if team == nil {
			continue
		}
		n := 0
		if j.spec.Gang {
			if n = d.gangDemand(j, team, teams); n == 0 {
				continue
			}
		}
		for ; !j.spec.Gang && n < j.startable(); n++ {
			used := d.state.reservations.Team(j.spec.Team).Add(teams[j.spec.Team]).Add(j.spec.Resources)
			if !storage.WithinLimit(used, team.Limit) {
				break
			}
			teams[j.spec.Team] = teams[j.spec.Team].Add(j.spec.Resources)
		}
		if n == 0 {
			continue
		}
		dm := &demand{job: j, zones: newZoneCheck(j), n: n}
		if d.settings.IsOpportunistic(&j.spec) {
			dm.opportunistic = true
			opportunistic = append(opportunistic, dm)
			continue
		}
		if !j.spec.Service {
			dm.runS = d.state.classes.runSeconds(j)
		}
		out = append(out, dm)
	}
	d.keptHeadroom = d.headroomDemands(now)
	for _, kept := range d.keptHeadroom {
		packed := *kept // packing counts it down
		out = append(out, &packed)
	}
	return append(out, opportunistic...)
}

// headroomDemands lists the room to keep, class by class.
func (d *scheduler) headroomDemands(now time.Time) []*demand {
	var out []*demand
	names := make([]string, 0, len(d.state.classes.all()))
	for n := range d.state.classes.all() {
		names = append(names, n)
	}
	sort.Strings(names)
	fullest := d.servicesOnFullestMachine()
	for _, n := range names {
		c := d.state.classes.get(n)
		if k := max(d.headroom(c, now), fullest[n]); k > 0 {
			out = append(out, d.headroomFor(c, k)...)
		}
	}
	return out
}

// gangDemand is how many tasks a gang waits for: all of them within the team's
// limit, or none.
func (d *scheduler) gangDemand(j *job, team *config.Team, teams map[string]storage.Resources) int {
	all := teams[j.spec.Team].Add(j.spec.Resources.Mul(j.waiting))
	if !storage.WithinLimit(d.state.reservations.Team(j.spec.Team).Add(all), team.Limit) || len(j.attempts) > 0 && !j.gangCompletable() {
		return 0
	}
	teams[j.spec.Team] = all
	return j.waiting
}

// templateOf returns a job like j whose tasks may be in any of its zones.
func templateOf(j *job) *job {
	model := &job{spec: j.spec, allowedTypes: j.allowedTypes, feasibleTypes: j.feasibleTypes}
	model.spec.Spread, model.spec.SameZone = false, j.spec.SameZone && j.spec.Gang
	return model
}

// headroomDemand is a demand for room to keep, for n tasks like those of j.
func headroomDemand(j *job, n int) *demand {
	model := templateOf(j)
	return &demand{job: model, zones: newZoneCheck(model), n: n, headroom: true}
}

// headroomFor demands room for n tasks like those of a class. What spread jobs must
// have in another zone, half of each rounded down, is kept in every zone.
func (d *scheduler) headroomFor(c *class, n int) []*demand {
	var out []*demand
	if zones := d.zonesFor(c.latest); c.latest.spec.Spread && len(zones) > 1 {
		each := int(math.Round(c.SecondZoneShare() * float64(n)))
		for _, z := range zones {
			if each == 0 {
				break
			}
			dm := headroomDemand(c.latest, each)
			dm.job.spec.Zone = z
			dm.zones = newZoneCheck(dm.job)
			out = append(out, dm)
		}
		n -= each * len(zones)
	}
	if n > 0 {
		out = append(out, headroomDemand(c.latest, n))
	}
	return out
}

// zonesFor lists the zones with a type that holds a task of the job.
func (d *scheduler) zonesFor(j *job) []string {
	var out []string
	for _, name := range d.state.feasibleTypes(j) {
		for _, z := range d.state.types.get(name).Zones {
			if (j.spec.Zone == "" || j.spec.Zone == z) && !slices.Contains(out, z) {
				out = append(out, z)
			}
		}
	}
	return out
}
