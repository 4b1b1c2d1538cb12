package scheduler

import (
	"math"
	"slices"
	"sort"
	"time"

	"sagevale/internal/cluster"
	"sagevale/internal/config"
	"sagevale/internal/storage"
)

// demand is a group of alike tasks in a trial packing.
type demand struct {
	job      *cluster.Job
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
		team := d.settings.Team(j.Spec.Team)
		if team == nil {
			continue
		}
		n := 0
		if j.Spec.Gang {
			if n = d.gangDemand(j, team, teams); n == 0 {
				continue
			}
		}
		for ; !j.Spec.Gang && n < j.Startable(); n++ {
			used := d.state.Reservations.Team(j.Spec.Team).Add(teams[j.Spec.Team]).Add(j.Spec.Resources)
			if !storage.WithinLimit(used, team.Limit) {
				break
			}
			teams[j.Spec.Team] = teams[j.Spec.Team].Add(j.Spec.Resources)
		}
		if n == 0 {
			continue
		}
		dm := &demand{job: j, zones: newZoneCheck(j), n: n}
		if d.settings.IsOpportunistic(&j.Spec) {
			dm.opportunistic = true
			opportunistic = append(opportunistic, dm)
			continue
		}
		if !j.Spec.Service {
			dm.runS = d.state.Classes.RunSeconds(j)
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
	names := make([]string, 0, len(d.state.Classes.All()))
	for n := range d.state.Classes.All() {
		names = append(names, n)
	}
	sort.Strings(names)
	fullest := d.servicesOnFullestMachine()
	for _, n := range names {
		c := d.state.Classes.Get(n)
		if k := max(d.headroom(c, now), fullest[n]); k > 0 {
			out = append(out, d.headroomFor(c, k)...)
		}
	}
	return out
}

// gangDemand is how many tasks a gang waits for: all of them within the team's
// limit, or none.
func (d *scheduler) gangDemand(j *cluster.Job, team *config.Team, teams map[string]storage.Resources) int {
	all := teams[j.Spec.Team].Add(j.Spec.Resources.Mul(j.Waiting))
	if !storage.WithinLimit(d.state.Reservations.Team(j.Spec.Team).Add(all), team.Limit) || len(j.Attempts) > 0 && !j.GangCompletable() {
		return 0
	}
	teams[j.Spec.Team] = all
	return j.Waiting
}

// templateOf returns a job like j whose tasks may be in any of its zones.
func templateOf(j *cluster.Job) *cluster.Job {
	model := &cluster.Job{Spec: j.Spec, AllowedTypes: j.AllowedTypes, FeasibleTypes: j.FeasibleTypes}
	model.Spec.Spread, model.Spec.SameZone = false, j.Spec.SameZone && j.Spec.Gang
	return model
}

// headroomDemand is a demand for room to keep, for n tasks like those of j.
func headroomDemand(j *cluster.Job, n int) *demand {
	model := templateOf(j)
	return &demand{job: model, zones: newZoneCheck(model), n: n, headroom: true}
}

// headroomFor demands room for n tasks like those of a class. What spread jobs must
// have in another zone, half of each rounded down, is kept in every zone.
func (d *scheduler) headroomFor(c *cluster.Class, n int) []*demand {
	var out []*demand
	if zones := d.zonesFor(c.Latest); c.Latest.Spec.Spread && len(zones) > 1 {
		each := int(math.Round(c.SecondZoneShare() * float64(n)))
		for _, z := range zones {
			if each == 0 {
				break
			}
			dm := headroomDemand(c.Latest, each)
			dm.job.Spec.Zone = z
			dm.zones = newZoneCheck(dm.job)
			out = append(out, dm)
		}
		n -= each * len(zones)
	}
	if n > 0 {
		out = append(out, headroomDemand(c.Latest, n))
	}
	return out
}

// zonesFor lists the zones with a type that holds a task of the job.
func (d *scheduler) zonesFor(j *cluster.Job) []string {
	var out []string
	for _, name := range d.state.FeasibleTypes(j) {
		for _, z := range d.state.Types.Get(name).Zones {
			if (j.Spec.Zone == "" || j.Spec.Zone == z) && !slices.Contains(out, z) {
				out = append(out, z)
			}
		}
	}
	return out
}
