package autoscaling

import (
	"math"
	"slices"
	"sort"
	"time"

	"sagevale/internal/cluster"
	"sagevale/internal/config"
	"sagevale/internal/placement"
	"sagevale/internal/storage"
)

// demand is a group of identical tasks to pack in a trial packing: waiting tasks of a job, or headroom.
type demand struct {
	job           *cluster.Job
	zones         placement.ZoneCheck
	tasks         int     // tasks left to pack
	headroom      bool    // the tasks stand for resources to keep free
	opportunistic bool    // the tasks are opportunistic work; mayLaunchOpportunistic limits launches for them
	runSeconds    float64 // expected run time of a batch task; 0 for services, headroom and opportunistic work
	packed        placement.PackedTask
}

// packedTask returns the entry that represents the demand's tasks in Candidate.Packed.
func (d *demand) packedTask() *placement.PackedTask {
	d.packed = placement.PackedTask{Job: d.job, Opportunistic: d.opportunistic}
	return &d.packed
}

// demands returns the waiting tasks in order of urgency, then the headroom, and then opportunistic work.
func (r *Reviewer) demands(now time.Time) []*demand {
	var demands, opportunistic []*demand
	planned := make(map[string]storage.Resources) // resources of the tasks included in the demands so far, by team
	for _, j := range r.planner.WaitingByUrgency(now) {
		team := r.settings.Team(j.Spec.Team)
		if team == nil {
			continue
		}
		tasks := r.demandedTasks(j, team, planned)
		if tasks == 0 {
			continue
		}
		d := &demand{job: j, zones: placement.NewZoneCheck(j), tasks: tasks}
		if r.settings.IsOpportunistic(&j.Spec) {
			d.opportunistic = true
			opportunistic = append(opportunistic, d)
			continue
		}
		if !j.Spec.Service {
			d.runSeconds = r.state.Classes.RunSeconds(j)
		}
		demands = append(demands, d)
	}
	headroom := r.headroomDemands(now)
	r.planner.SetHeadroom(plannerHeadroom(headroom))
	demands = append(demands, headroom...)
	return append(demands, opportunistic...)
}

// demandedTasks returns how many of a job's waiting tasks fit within its team's limit. The team's reserved resources
// count towards the limit, and so do the resources in planned. demandedTasks adds the resources of the tasks that fit
// to planned. For a gang it returns either the number of all waiting tasks or 0.
func (r *Reviewer) demandedTasks(j *cluster.Job, team *config.Team, planned map[string]storage.Resources) int {
	reserved := r.state.Reservations.Team(j.Spec.Team)
	if j.Spec.Gang {
		all := planned[j.Spec.Team].Add(j.Spec.Resources.Mul(j.Waiting))
		if !storage.WithinLimit(reserved.Add(all), team.Limit) || len(j.Attempts) > 0 && !j.GangCompletable() {
			return 0
		}
		planned[j.Spec.Team] = all
		return j.Waiting
	}
	tasks := 0
	for ; tasks < j.Startable(); tasks++ {
		used := reserved.Add(planned[j.Spec.Team]).Add(j.Spec.Resources)
		if !storage.WithinLimit(used, team.Limit) {
			break
		}
		planned[j.Spec.Team] = planned[j.Spec.Team].Add(j.Spec.Resources)
	}
	return tasks
}

// plannerHeadroom converts headroom demands to the planner's form.
func plannerHeadroom(demands []*demand) []placement.Headroom {
	headroom := make([]placement.Headroom, 0, len(demands))
	for _, d := range demands {
		headroom = append(headroom, placement.Headroom{Job: d.job, Tasks: d.tasks})
	}
	return headroom
}

// headroomDemands returns the resources to keep free as demands, sorted by class name.
func (r *Reviewer) headroomDemands(now time.Time) []*demand {
	classes := r.state.Classes.All()
	names := make([]string, 0, len(classes))
	for name := range classes {
		names = append(names, name)
	}
	sort.Strings(names)
	onFullest := r.servicesOnFullestMachine()
	var demands []*demand
	for _, name := range names {
		c := classes[name]
		if tasks := max(r.headroomTasks(c, now), onFullest[name]); tasks > 0 {
			demands = append(demands, r.classHeadroomDemands(c, tasks)...)
		}
	}
	return demands
}

// classHeadroomDemands returns headroom demands for a number of tasks of a class. A job that is spread over zones must
// run half of its tasks, rounded down, outside of its first zone. For a class of spread jobs, each feasible zone
// therefore gets headroom for the share of the tasks that must run outside of their job's first zone, because any of these
// zones may be the other zone of a job. Headroom for tasks that are left after that may be in any zone.
func (r *Reviewer) classHeadroomDemands(c *cluster.Class, tasks int) []*demand {
	var demands []*demand
	if zones := r.feasibleZones(c.Latest); c.Latest.Spec.Spread && len(zones) > 1 {
		each := int(math.Round(c.OutsideFirstZoneShare() * float64(tasks)))
		for _, zone := range zones {
			if each == 0 {
				break
			}
			d := newHeadroomDemand(c.Latest, each)
			d.job.Spec.Zone = zone
			d.zones = placement.NewZoneCheck(d.job)
			demands = append(demands, d)
		}
		tasks -= each * len(zones)
	}
	if tasks > 0 {
		demands = append(demands, newHeadroomDemand(c.Latest, tasks))
	}
	return demands
}

// newHeadroomDemand returns a headroom demand for a number of tasks with the requirements of a job's tasks.
func newHeadroomDemand(j *cluster.Job, tasks int) *demand {
	template := templateOf(j)
	return &demand{job: template, zones: placement.NewZoneCheck(template), tasks: tasks, headroom: true}
}

// templateOf returns a job with the specification of j but without its attempts and without the Spread constraint.
// SameZone is kept only for gangs.
func templateOf(j *cluster.Job) *cluster.Job {
	template := &cluster.Job{Spec: j.Spec, AllowedTypes: j.AllowedTypes, FeasibleTypes: j.FeasibleTypes}
	template.Spec.Spread, template.Spec.SameZone = false, j.Spec.SameZone && j.Spec.Gang
	return template
}

// feasibleZones returns the zones that offer a machine type on which a task of the job may run.
func (r *Reviewer) feasibleZones(j *cluster.Job) []string {
	var zones []string
	for _, name := range r.state.FeasibleTypes(j) {
		for _, zone := range r.state.Types.Get(name).Zones {
			if (j.Spec.Zone == "" || j.Spec.Zone == zone) && !slices.Contains(zones, zone) {
				zones = append(zones, zone)
			}
		}
	}
	return zones
}
