package autoscaling

import (
	"math"
	"time"

	"sagevale/internal/clock"
	"sagevale/internal/cluster"
	"sagevale/internal/storage"
)

// headroomTasks returns the number of tasks of a class to keep resources free for. Classes of high priority or above have
// headroom, and so does batch work that may use spot machines and has at least normal priority or a deadline.
//
// For services it is the number of tasks expected to arrive while a machine boots, net of departures, plus a margin
// of HeadroomDeviations standard deviations. For batch work it is the expected number of running tasks, plus the
// same margin, minus the current number.
func (r *Reviewer) headroomTasks(c *cluster.Class, now time.Time) int {
	spec := &c.Latest.Spec
	if spec.Gang {
		return r.gangHeadroomTasks(c, now)
	}
	batch := !spec.Service
	if spec.Priority < storage.PriorityHigh && !(batch && spec.Spot && (spec.Priority >= storage.PriorityNormal || spec.DeadlineS > 0)) {
		return 0
	}
	rate := r.state.Classes.ArrivalRate(c, r.settings.WorkerLease, now)
	current := r.state.Jobs.CurrentTasks(spec.Class)
	if rate.WindowS == 0 || current == 0 {
		return 0 // there is no rate yet, or the class has no open jobs
	}
	deviations := r.settings.Tuning.HeadroomDeviations
	if batch {
		return max(0, int(rate.Expected(c.TypicalRunSeconds(), deviations))-current)
	}
	window := clock.Seconds(rate.WindowS)
	rate.Tasks = max(0, rate.Tasks-float64(c.DepartedSince(now.Add(-window))))
	return int(math.Ceil(rate.Expected(r.state.MinBootSeconds(c.Latest), deviations) - 0.5))
}

// maxPromptStartBoots is the start objective, in boot times, below which a class of gangs has headroom. Gangs with
// more time can wait for machines to boot.
const maxPromptStartBoots = 2

// gangHeadroomTasks returns the number of tasks of a class of gangs to keep resources free for. It is the expected
// number of running tasks, plus the margin, minus the current number, but at least the size of the largest recent
// gang.
func (r *Reviewer) gangHeadroomTasks(c *cluster.Class, now time.Time) int {
	objective := r.settings.StartObjective(c.Latest.Spec.Class)
	rate := r.state.Classes.ArrivalRate(c, r.settings.WorkerLease, now)
	prompt := objective > 0 && objective.Seconds() < maxPromptStartBoots*r.state.MinBootSeconds(c.Latest)
	if !prompt || rate.WindowS == 0 || rate.Tasks == 0 {
		return 0
	}
	expected := rate.Expected(c.TypicalRunSeconds(), r.settings.Tuning.HeadroomDeviations)
	return max(c.LargestJob(), int(expected)-r.state.Jobs.CurrentTasks(c.Latest.Spec.Class))
}

// servicesOnFullestMachine counts, by class, the service tasks with GPUs on the machine whose services use the most
// GPUs. Headroom for them lets them restart elsewhere if that machine is lost.
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
