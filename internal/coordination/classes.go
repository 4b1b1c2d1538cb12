package coordination

import (
	"math"
	"time"

	"sagevale/internal/classstats"
	"sagevale/internal/storage"
)

// class is what is known of a class of jobs.
type class struct {
	classstats.Class
	last *job
}

// rateLeases is the window of the arrival rate, in worker leases.
const rateLeases = 8.0

// arrival notes a job of its class. What comes within a lease of the first job
// ever is the fleet's start, not a rate. Services that may be at zero are no arrivals.
func (d *dispatcher) arrival(j *job) {
	if j.managed != nil {
		return // its task comes with demand
	}
	c := d.classes[j.spec.Class]
	if c == nil {
		c = &class{}
		d.classes[j.spec.Class] = c
	}
	if d.firstJob.IsZero() || j.submitted.Before(d.firstJob) {
		d.firstJob = j.submitted
	}
	c.last = j
	c.Arrived(j.submitted, j.spec.Tasks)
}

// leave notes that a job of its class has been cancelled.
func (d *dispatcher) leave(j *job, now time.Time) {
	if c := d.classes[j.spec.Class]; c != nil && j.managed == nil {
		c.Departed(now, j.spec.Tasks)
	}
}

// ran takes a finished task's run time, and what its owner had expected, into
// its class's means.
func (d *dispatcher) ran(a *attempt, now time.Time) {
	if c := d.classes[a.job.spec.Class]; c != nil && !a.started.IsZero() {
		c.Ran(now.Sub(a.started).Seconds(), a.job.spec.EstimateS)
	}
}

// runTime is how long a task of the job runs, in seconds.
func (d *dispatcher) runTime(j *job) float64 {
	if c := d.classes[j.spec.Class]; c != nil {
		return c.RunS(j.spec.EstimateS)
	}
	return j.spec.EstimateS
}

// usualRun is how long a task of the class usually runs, in seconds.
func (c *class) usualRun() float64 { return c.MeanRunS(c.last.spec.EstimateS) }

// headroom is how many tasks of the class to keep room for. Of services, those
// expected to come while a machine boots beyond those that leave, and some headroom. Of other work of
// some priority that may use spot machines, what its usual number of running
// tasks, and some headroom, exceeds the present one by.
func (d *dispatcher) headroom(c *class, now time.Time) int {
	s := &c.last.spec
	batch := !s.Service
	if s.Gang {
		return d.gangHeadroom(c, now)
	}
	if s.Priority < storage.High && !(batch && s.Spot && (s.Priority >= storage.Normal || s.DeadlineS > 0)) {
		return 0
	}
	rate := d.rate(c, now)
	if rate.WindowS == 0 || d.present(s.Class) == 0 {
		return 0 // no rate yet, or a class that has ceased
	}
	deviations := d.settings.Tuning.HeadroomDeviations
	if batch {
		return max(0, int(rate.Expected(c.usualRun(), deviations))-d.present(s.Class))
	}
	rate.Tasks = max(0, rate.Tasks-float64(c.DepartedSince(now.Add(-seconds(rate.WindowS)))))
	return int(math.Ceil(rate.Expected(d.leastBoot(c.last), deviations) - 0.5))
}

// gangBoots: gangs that are to start within so many boots find room that is kept
// for them, others may wait for machines.
const gangBoots = 2

// gangHeadroom is how many tasks of a class of gangs to keep room for: what their
// usual number exceeds the present one by, and at the least the largest gang of late.
func (d *dispatcher) gangHeadroom(c *class, now time.Time) int {
	within := d.settings.startWithin(c.last.spec.Class)
	rate := d.rate(c, now)
	if within <= 0 || within.Seconds() >= gangBoots*d.leastBoot(c.last) || rate.WindowS == 0 || rate.Tasks == 0 {
		return 0
	}
	usual := rate.Expected(c.usualRun(), d.settings.Tuning.HeadroomDeviations)
	return max(c.LargestJob(), int(usual)-d.present(c.last.spec.Class))
}

// rate is that of a class's arrivals within the window.
func (d *dispatcher) rate(c *class, now time.Time) classstats.Rate {
	since := now.Add(-scale(d.settings.WorkerLease, rateLeases))
	if start := d.firstJob.Add(d.settings.WorkerLease); start.After(since) {
		since = start
	}
	if now.Sub(since) < d.settings.WorkerLease {
		return classstats.Rate{}
	}
	return c.RateSince(since, now)
}

// onFullest counts by class the services on the machine whose loss would cost
// the most room: there should be room for them elsewhere.
func (d *dispatcher) onFullest() map[string]int {
	var fullest *machine
	most := 0.0
	for _, m := range d.order {
		if m.typ == nil || !m.heard {
			continue
		}
		room := storage.Room{}
		for _, a := range m.attempts {
			if a.job.spec.Service {
				room = room.Plus(a.job.spec.Room)
			}
		}
		if room.GPUs > most {
			fullest, most = m, room.GPUs
		}
	}
	out := make(map[string]int)
	if fullest != nil {
		for _, a := range fullest.attempts {
			if a.job.spec.Service && a.job.spec.Room.GPUs > 0 {
				out[a.job.spec.Class]++
			}
		}
	}
	return out
}

// present counts a class's booked and waiting tasks, but for services that may be at zero.
func (d *dispatcher) present(class string) int {
	n := 0
	for _, j := range d.jobs.open {
		if j.spec.Class == class && j.phase == storage.Open && j.managed == nil {
			n += len(j.attempts) + j.waiting
		}
	}
	return n
}

// leastBoot is the least boot time of the types that hold a task.
func (d *dispatcher) leastBoot(j *job) float64 {
	boot := 0.0
	for _, name := range d.fitsOf(j) {
		if b := d.types[name].BootS; boot == 0 || b < boot {
			boot = b
		}
	}
	return boot
}

// learnPerGPU reckons, once an interval, the most CPUs and memory that open jobs
// take with an accelerator. Rounds and snapshots begin with it.
func (d *dispatcher) learnPerGPU(now time.Time) {
	if !d.perGPUAt.IsZero() && now.Sub(d.perGPUAt) <= d.settings.HeartbeatInterval {
		return
	}
	d.perGPUAt = now
	d.perGPU = storage.Room{}
	for _, j := range d.jobs.open {
		if g := j.spec.Room.GPUs; g > 0 {
			d.perGPU.CPUs = max(d.perGPU.CPUs, j.spec.Room.CPUs/g)
			d.perGPU.MemoryGB = max(d.perGPU.MemoryGB, j.spec.Room.MemoryGB/g)
		}
	}
}
