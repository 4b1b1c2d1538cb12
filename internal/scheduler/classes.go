package scheduler

import (
	"math"
	"time"

	"sagevale/internal/classstats"
	"sagevale/internal/clock"
	"sagevale/internal/storage"
)

// class is what is known of a class of jobs.
type class struct {
	classstats.Class
	last *job
}

// rateLeases is the window of the arrival rate, in worker leases.
const rateLeases = 8.0

// noteArrival notes a job of its class. What comes within a lease of the first job
// ever is the fleet's start, not a rate. Services that may be at zero are no arrivals.
func (d *scheduler) noteArrival(j *job) {
	if j.managed != nil {
		return // its task comes with demand
	}
	c := d.classes[j.spec.Class]
	if c == nil {
		c = &class{}
		d.classes[j.spec.Class] = c
	}
	if d.firstArrival.IsZero() || j.submitted.Before(d.firstArrival) {
		d.firstArrival = j.submitted
	}
	c.last = j
	c.Arrived(j.submitted, j.spec.Tasks)
}

// noteDeparture notes that a job of its class has been cancelled.
func (d *scheduler) noteDeparture(j *job, now time.Time) {
	if c := d.classes[j.spec.Class]; c != nil && j.managed == nil {
		c.Departed(now, j.spec.Tasks)
	}
}

// noteRunTime takes a finished task's run time, and what its owner had expected, into
// its class's means.
func (d *scheduler) noteRunTime(a *attempt, now time.Time) {
	if c := d.classes[a.job.spec.Class]; c != nil && !a.started.IsZero() {
		c.Ran(now.Sub(a.started).Seconds(), a.job.spec.EstimateS)
	}
}

// runTime is how long a task of the job runs, in seconds.
func (d *scheduler) runTime(j *job) float64 {
	if c := d.classes[j.spec.Class]; c != nil {
		return c.RunS(j.spec.EstimateS)
	}
	return j.spec.EstimateS
}

// typicalRunSeconds is how long a task of the class usually runs, in seconds.
func (c *class) typicalRunSeconds() float64 { return c.MeanRunS(c.last.spec.EstimateS) }

// headroom is how many tasks of the class to keep room for. Of services, those
// expected to come while a machine boots beyond those that leave, and some headroom. Of other work of
// some priority that may use spot machines, what its usual number of running
// tasks, and some headroom, exceeds the present one by.
func (d *scheduler) headroom(c *class, now time.Time) int {
	s := &c.last.spec
	batch := !s.Service
	if s.Gang {
		return d.gangHeadroom(c, now)
	}
	if s.Priority < storage.High && !(batch && s.Spot && (s.Priority >= storage.Normal || s.DeadlineS > 0)) {
		return 0
	}
	rate := d.rate(c, now)
	if rate.WindowS == 0 || d.currentTasks(s.Class) == 0 {
		return 0 // no rate yet, or a class that has ceased
	}
	deviations := d.settings.Tuning.HeadroomDeviations
	if batch {
		return max(0, int(rate.Expected(c.typicalRunSeconds(), deviations))-d.currentTasks(s.Class))
	}
	rate.Tasks = max(0, rate.Tasks-float64(c.DepartedSince(now.Add(-clock.Seconds(rate.WindowS)))))
	return int(math.Ceil(rate.Expected(d.minBootSeconds(c.last), deviations) - 0.5))
}

// gangBoots: gangs that are to start within so many boots find room that is kept
// for them, others may wait for machines.
const gangBoots = 2

// gangHeadroom is how many tasks of a class of gangs to keep room for: what their
// usual number exceeds the present one by, and at the least the largest gang of late.
func (d *scheduler) gangHeadroom(c *class, now time.Time) int {
	within := d.settings.StartObjective(c.last.spec.Class)
	rate := d.rate(c, now)
	if within <= 0 || within.Seconds() >= gangBoots*d.minBootSeconds(c.last) || rate.WindowS == 0 || rate.Tasks == 0 {
		return 0
	}
	usual := rate.Expected(c.typicalRunSeconds(), d.settings.Tuning.HeadroomDeviations)
	return max(c.LargestJob(), int(usual)-d.currentTasks(c.last.spec.Class))
}

// rate is that of a class's arrivals within the window.
func (d *scheduler) rate(c *class, now time.Time) classstats.Rate {
	since := now.Add(-clock.Scale(d.settings.WorkerLease, rateLeases))
	if start := d.firstArrival.Add(d.settings.WorkerLease); start.After(since) {
		since = start
	}
	if now.Sub(since) < d.settings.WorkerLease {
		return classstats.Rate{}
	}
	return c.RateSince(since, now)
}

// servicesOnFullestMachine counts by class the services on the machine whose loss would cost
// the most room: there should be room for them elsewhere.
func (d *scheduler) servicesOnFullestMachine() map[string]int {
	var fullest *machine
	most := 0.0
	for _, m := range d.machineOrder {
		if m.machineType == nil || !m.confirmed {
			continue
		}
		room := storage.Resources{}
		for _, a := range m.attempts {
			if a.job.spec.Service {
				room = room.Add(a.job.spec.Resources)
			}
		}
		if room.GPUs > most {
			fullest, most = m, room.GPUs
		}
	}
	out := make(map[string]int)
	if fullest != nil {
		for _, a := range fullest.attempts {
			if a.job.spec.Service && a.job.spec.Resources.GPUs > 0 {
				out[a.job.spec.Class]++
			}
		}
	}
	return out
}

// currentTasks counts a class's booked and waiting tasks, but for services that may be at zero.
func (d *scheduler) currentTasks(class string) int {
	n := 0
	for _, j := range d.jobs.open {
		if j.spec.Class == class && j.phase == storage.Open && j.managed == nil {
			n += len(j.attempts) + j.waiting
		}
	}
	return n
}

// minBootSeconds is the least boot time of the types that hold a task.
func (d *scheduler) minBootSeconds(j *job) float64 {
	boot := 0.0
	for _, name := range d.feasibleTypesOf(j) {
		if b := d.types[name].BootS; boot == 0 || b < boot {
			boot = b
		}
	}
	return boot
}

// updatePerGPU reckons, once an interval, the most CPUs and memory that open jobs
// take with an accelerator. Rounds and snapshots begin with it.
func (d *scheduler) updatePerGPU(now time.Time) {
	if !d.perGPUAt.IsZero() && now.Sub(d.perGPUAt) <= d.settings.HeartbeatInterval {
		return
	}
	d.perGPUAt = now
	d.perGPU = storage.Resources{}
	for _, j := range d.jobs.open {
		if g := j.spec.Resources.GPUs; g > 0 {
			d.perGPU.CPUs = max(d.perGPU.CPUs, j.spec.Resources.CPUs/g)
			d.perGPU.MemoryGB = max(d.perGPU.MemoryGB, j.spec.Resources.MemoryGB/g)
		}
	}
}
