package autoscaling

import (
	"math"
	"time"

	"sagevale/internal/clock"
	"sagevale/internal/cluster"
	"sagevale/internal/storage"
)

// headroomTasks returns the number of tasks of a class for which resources are kept free. For gangs it is the result of
// gangHeadroomTasks. All other classes of high priority or above have headroom. A class of lower priority has headroom
// only if it is batch work that may use spot machines, and if it has normal priority or a deadline.
//
// For services the result is the number of tasks that are expected to arrive while a machine boots, plus a margin of
// HeadroomDeviations standard deviations. The tasks of jobs that were canceled within the measured window are subtracted
// from the arrivals. For batch work the result is the expected number of running tasks, plus the same margin, minus the
// current number of tasks.
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

// maxPromptStartBoots limits which classes of gangs have headroom: those whose start objective is shorter than this
// number of boot times. Gangs with a longer start objective can wait for machines to boot.
const maxPromptStartBoots = 2

// gangHeadroomTasks returns the number of tasks of a class of gangs for which resources are kept free. The result is 0
// if the class has no short start objective, see maxPromptStartBoots, or if its arrival rate is zero or unknown. For any
// other class, the result is the expected number of running tasks, plus the margin of headroomTasks, minus the current
// number of tasks. It is at least the number of tasks of the largest recent gang.
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

// servicesOnFullestMachine finds the machine whose services use the most GPUs. It returns the number of service tasks
// with GPUs on this machine, by class. Headroom for these tasks lets them restart elsewhere if the machine is lost.
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
