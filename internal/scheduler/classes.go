package scheduler

import (
	"math"
	"time"

	"sagevale/internal/clock"
	"sagevale/internal/cluster"
	"sagevale/internal/storage"
)

// headroom is how many tasks of the class to keep room for. Of services, those
// expected to come while a machine boots beyond those that leave, and some headroom. Of other work of
// some priority that may use spot machines, what its usual number of running
// tasks, and some headroom, exceeds the present one by.
func (d *scheduler) headroom(c *cluster.Class, now time.Time) int {
	s := &c.Latest.Spec
	batch := !s.Service
	if s.Gang {
		return d.gangHeadroom(c, now)
	}
	if s.Priority < storage.High && !(batch && s.Spot && (s.Priority >= storage.Normal || s.DeadlineS > 0)) {
		return 0
	}
	rate := d.state.Classes.ArrivalRate(c, d.settings.WorkerLease, now)
	if rate.WindowS == 0 || d.state.Jobs.CurrentTasks(s.Class) == 0 {
		return 0 // no rate yet, or a class that has ceased
	}
	deviations := d.settings.Tuning.HeadroomDeviations
	if batch {
		return max(0, int(rate.Expected(c.TypicalRunSeconds(), deviations))-d.state.Jobs.CurrentTasks(s.Class))
	}
	rate.Tasks = max(0, rate.Tasks-float64(c.DepartedSince(now.Add(-clock.Seconds(rate.WindowS)))))
	return int(math.Ceil(rate.Expected(d.state.MinBootSeconds(c.Latest), deviations) - 0.5))
}

// gangBoots: gangs that are to start within so many boots find room that is kept
// for them, others may wait for machines.
const gangBoots = 2

// gangHeadroom is how many tasks of a class of gangs to keep room for: what their
// usual number exceeds the present one by, and at the least the largest gang of late.
func (d *scheduler) gangHeadroom(c *cluster.Class, now time.Time) int {
	within := d.settings.StartObjective(c.Latest.Spec.Class)
	rate := d.state.Classes.ArrivalRate(c, d.settings.WorkerLease, now)
	if within <= 0 || within.Seconds() >= gangBoots*d.state.MinBootSeconds(c.Latest) || rate.WindowS == 0 || rate.Tasks == 0 {
		return 0
	}
	usual := rate.Expected(c.TypicalRunSeconds(), d.settings.Tuning.HeadroomDeviations)
	return max(c.LargestJob(), int(usual)-d.state.Jobs.CurrentTasks(c.Latest.Spec.Class))
}

// servicesOnFullestMachine counts by class the services on the machine whose loss would cost
// the most room: there should be room for them elsewhere.
func (d *scheduler) servicesOnFullestMachine() map[string]int {
	var fullest *cluster.Machine
	most := 0.0
	for _, m := range d.state.Machines.InOrder() {
		if m.Type == nil || !m.Confirmed {
			continue
		}
		room := storage.Resources{}
		for _, a := range m.Attempts {
			if a.Job.Spec.Service {
				room = room.Add(a.Job.Spec.Resources)
			}
		}
		if room.GPUs > most {
			fullest, most = m, room.GPUs
		}
	}
	out := make(map[string]int)
	if fullest != nil {
		for _, a := range fullest.Attempts {
			if a.Job.Spec.Service && a.Job.Spec.Resources.GPUs > 0 {
				out[a.Job.Spec.Class]++
			}
		}
	}
	return out
}

// updatePerGPU reckons, once an interval, the most CPUs and memory that open jobs
// take with an accelerator. Rounds and snapshots begin with it.
func (d *scheduler) updatePerGPU(now time.Time) {
	if !d.perGPUAt.IsZero() && now.Sub(d.perGPUAt) <= d.settings.HeartbeatInterval {
		return
	}
	d.perGPUAt = now
	d.perGPU = storage.Resources{}
	for _, j := range d.state.Jobs.Open {
		if g := j.Spec.Resources.GPUs; g > 0 {
			d.perGPU.CPUs = max(d.perGPU.CPUs, j.Spec.Resources.CPUs/g)
			d.perGPU.MemoryGB = max(d.perGPU.MemoryGB, j.Spec.Resources.MemoryGB/g)
		}
	}
}
