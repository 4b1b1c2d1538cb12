package coordination

import (
	"math"
	"time"

	"sagevale/internal/storage"
)

// class keeps what arrivals and run times of a class of jobs look like.
type class struct {
	last     *job
	arrivals []arrival
	leaves   []arrival // services that were cancelled, likewise
	runS     float64   // mean run time of its tasks, as seen
	guessS   float64   // mean of what their owners had expected
}

type arrival struct {
	at    time.Time
	tasks int
}

const (
	// rateLeases is the window of the arrival rate, in worker leases.
	rateLeases = 8.0
	// runWeight is the weight of the latest run time in a class's mean.
	runWeight = 0.05
)

// arrival notes a job of its class. What comes within a lease of the first job
// ever is the fleet's start, not a rate.
func (d *dispatcher) arrival(j *job) {
	c := d.classes[j.spec.Class]
	if c == nil {
		c = &class{}
		d.classes[j.spec.Class] = c
	}
	if d.firstJob.IsZero() || j.submitted.Before(d.firstJob) {
		d.firstJob = j.submitted
	}
	c.last = j
	c.arrivals = keepLast(c.arrivals, arrival{j.submitted, j.spec.Tasks})
}

// leave notes that a job of its class has been cancelled.
func (d *dispatcher) leave(j *job, now time.Time) {
	if c := d.classes[j.spec.Class]; c != nil {
		c.leaves = keepLast(c.leaves, arrival{now, j.spec.Tasks})
	}
}

// left counts the tasks of the jobs that have left since.
func (c *class) left(since time.Time) float64 {
	n := 0
	for _, a := range c.leaves {
		if a.at.After(since) {
			n += a.tasks
		}
	}
	return float64(n)
}

// elsewhere is the share of the class's tasks that spread jobs must have in
// another zone than their first.
func (c *class) elsewhere() float64 {
	all, half := 0, 0
	for _, a := range c.arrivals {
		all += a.tasks
		half += a.tasks / 2
	}
	return float64(half) / float64(max(all, 1))
}

func keepLast(list []arrival, a arrival) []arrival {
	if len(list) >= arrivalsKept {
		list = list[1:]
	}
	return append(list, a)
}

// arrivalsKept bounds what is kept of a class's arrivals. Where more come within the window of
// the rate, the window is shorter.
const arrivalsKept = 512

// ran takes a finished task's run time, and what its owner had expected, into
// its class's means.
func (d *dispatcher) ran(a *attempt, now time.Time) {
	c := d.classes[a.job.spec.Class]
	if c == nil || a.started.IsZero() {
		return
	}
	run, guess := now.Sub(a.started).Seconds(), a.job.spec.EstimateS
	if c.runS == 0 {
		c.runS, c.guessS = run, guess
	}
	c.runS += runWeight * (run - c.runS)
	c.guessS += runWeight * (guess - c.guessS)
}

// runTime is how long a task of the job runs: between what its class usually
// runs and what its owner expects, for owners are often wrong by half.
func (d *dispatcher) runTime(j *job) float64 {
	c, guess := d.classes[j.spec.Class], j.spec.EstimateS
	switch {
	case c == nil || c.runS <= 0:
		return guess
	case guess <= 0 || c.guessS <= 0:
		return c.runS
	}
	return c.runS * math.Sqrt(guess/c.guessS)
}

// usualRun is how long a task of the class usually runs.
func (d *dispatcher) usualRun(c *class) float64 {
	if c.runS > 0 {
		return c.runS
	}
	return c.last.spec.EstimateS
}

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
	tasks, squares, window := d.rate(c, now)
	if window == 0 || d.present(s.Class) == 0 {
		return 0 // no rate yet, or a class that has ceased
	}
	luck := d.settings.Tuning.HeadroomDeviations
	if batch {
		run := d.usualRun(c) / window
		usual := tasks*run + luck*math.Sqrt(squares*run)
		return max(0, int(usual)-d.present(s.Class))
	}
	boot := d.leastBoot(c.last) / window
	stay := max(0, tasks-c.left(now.Add(-seconds(window))))
	return int(math.Ceil(stay*boot + luck*math.Sqrt(squares*boot) - 0.5))
}

// gangBoots: gangs that are to start within so many boots find room that is kept
// for them, others may wait for machines.
const gangBoots = 2

// gangHeadroom is how many tasks of a class of gangs to keep room for: what their
// usual number exceeds the present one by, and at the least the largest gang of late.
func (d *dispatcher) gangHeadroom(c *class, now time.Time) int {
	within := d.settings.startWithin(c.last.spec.Class)
	tasks, squares, window := d.rate(c, now)
	if within <= 0 || within.Seconds() >= gangBoots*d.leastBoot(c.last) || window == 0 || tasks == 0 {
		return 0
	}
	run := d.usualRun(c) / window
	usual := tasks*run + d.settings.Tuning.HeadroomDeviations*math.Sqrt(squares*run)
	largest := 0
	for _, a := range c.arrivals {
		largest = max(largest, a.tasks)
	}
	return max(largest, int(usual)-d.present(c.last.spec.Class))
}

// rate counts a class's tasks, and the sum of their jobs' squares, that came
// within a window of so many seconds. The window is 0 until there is one.
func (d *dispatcher) rate(c *class, now time.Time) (tasks, squares, window float64) {
	since := now.Add(-scale(d.settings.Lease, rateLeases))
	if start := d.firstJob.Add(d.settings.Lease); start.After(since) {
		since = start
	}
	if now.Sub(since) < d.settings.Lease {
		return 0, 0, 0
	}
	if len(c.arrivals) == arrivalsKept && c.arrivals[0].at.After(since) {
		since = c.arrivals[0].at // more came than are kept: they cover less time
	}
	for _, a := range c.arrivals {
		if a.at.After(since) {
			tasks += float64(a.tasks)
			squares += float64(a.tasks * a.tasks)
		}
	}
	return tasks, squares, now.Sub(since).Seconds()
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

// present counts a class's booked and waiting tasks.
func (d *dispatcher) present(class string) int {
	n := 0
	for _, j := range d.jobs.open {
		if j.spec.Class == class && j.phase == storage.Open {
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
	if !d.perGPUAt.IsZero() && now.Sub(d.perGPUAt) <= d.settings.Report {
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
