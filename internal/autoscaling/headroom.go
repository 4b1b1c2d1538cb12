package autoscaling

import (
	"math"
	"time"

	"sagevale/internal/clock"
	"sagevale/internal/cluster"
	"sagevale/internal/storage"
)

// headroom is how many tasks of a class to keep resources free for. Of services: those expected to arrive while
// a machine boots beyond those that leave, and some deviations. Of other work of some priority that may use
// spot machines: what the expected number of running tasks, and some deviations, exceeds the present one by.
func (r *Reviewer) headroom(c *cluster.Class, now time.Time) int {
	spec := &c.Latest.Spec
	if spec.Gang {
		return r.gangHeadroom(c, now)
	}
	batch := !spec.Service
	if spec.Priority < storage.High && !(batch && spec.Spot && (spec.Priority >= storage.Normal || spec.DeadlineS > 0)) {
		return 0
	}
	rate := r.state.Classes.ArrivalRate(c, r.settings.WorkerLease, now)
	current := r.state.Jobs.CurrentTasks(spec.Class)
	if rate.WindowS == 0 || current == 0 {
		return 0 // no rate yet, or no more jobs of the class
	}
	deviations := r.settings.Tuning.HeadroomDeviations
	if batch {
		return max(0, int(rate.Expected(c.TypicalRunSeconds(), deviations))-current)
	}
	window := clock.Seconds(rate.WindowS)
	rate.Tasks = max(0, rate.Tasks-float64(c.DepartedSince(now.Add(-window))))
	return int(math.Ceil(rate.Expected(r.state.MinBootSeconds(c.Latest), deviations) - 0.5))
}

// promptGangBoots is within how many boot times gangs are to start for which headroom is kept; others may wait
// for machines.
const promptGangBoots = 2

// gangHeadroom is how many tasks of a class of gangs to keep resources free for: what their expected number
// exceeds the present one by, and at the least the largest gang of late.
func (r *Reviewer) gangHeadroom(c *cluster.Class, now time.Time) int {
	objective := r.settings.StartObjective(c.Latest.Spec.Class)
	rate := r.state.Classes.ArrivalRate(c, r.settings.WorkerLease, now)
	prompt := objective > 0 && objective.Seconds() < promptGangBoots*r.state.MinBootSeconds(c.Latest)
	if !prompt || rate.WindowS == 0 || rate.Tasks == 0 {
		return 0
	}
	expected := rate.Expected(c.TypicalRunSeconds(), r.settings.Tuning.HeadroomDeviations)
	return max(c.LargestJob(), int(expected)-r.state.Jobs.CurrentTasks(c.Latest.Spec.Class))
}

// servicesOnFullestMachine counts by class the services on the machine whose loss would cost the most GPUs:
// there should be resources for them elsewhere.
func (r *Reviewer) servicesOnFullestMachine() map[string]int {
	var fullest *cluster.Machine
	most := 0.0
	for _, m := range r.state.Machines.InOrder() {
		if m.Type == nil || !m.Confirmed {
			continue
		}
		used := storage.Resources{}
		for _, a := range m.Attempts {
			if a.Job.Spec.Service {
				used = used.Add(a.Job.Spec.Resources)
			}
		}
		if used.GPUs > most {
			fullest, most = m, used.GPUs
		}
	}
	counts := make(map[string]int)
	if fullest == nil {
		return counts
	}
	for _, a := range fullest.Attempts {
		if a.Job.Spec.Service && a.Job.Spec.Resources.GPUs > 0 {
			counts[a.Job.Spec.Class]++
		}
	}
	return counts
}
