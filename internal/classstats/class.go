// Package classstats keeps what the arrivals, departures and run times of a class of jobs look
// like, and tells how much room the class will need. It is pure: its owner tells it of
// each event with its time.
package classstats

import (
	"math"
	"time"
)

const (
	// eventsKept bounds what is kept of a class's arrivals and departures. Where more come
	// within a window, the window is shorter.
	eventsKept = 512
	// runWeight is the weight of the latest run time in the mean.
	runWeight = 0.05
)

// Class is the statistics of one class of jobs. It is not safe for concurrent use.
type Class struct {
	arrivals   []event
	departures []event // of services that were cancelled
	runS       float64 // mean run time of tasks, in seconds
	expectedS  float64 // mean of what their owners had expected
}

// event is one job's arrival or departure.
type event struct {
	at    time.Time
	tasks int
}

// Arrived notes a job of so many tasks.
func (c *Class) Arrived(at time.Time, tasks int) { c.arrivals = keepLast(c.arrivals, event{at, tasks}) }

// Departed notes that a job of so many tasks has been cancelled.
func (c *Class) Departed(at time.Time, tasks int) {
	c.departures = keepLast(c.departures, event{at, tasks})
}

func keepLast(events []event, e event) []event {
	if len(events) >= eventsKept {
		events = events[1:]
	}
	return append(events, e)
}

// DepartedSince counts the tasks of the jobs that have departed after a time.
func (c *Class) DepartedSince(since time.Time) int {
	n := 0
	for _, e := range c.departures {
		if e.at.After(since) {
			n += e.tasks
		}
	}
	return n
}

// LargestJob is the number of tasks of the largest job that is remembered.
func (c *Class) LargestJob() int {
	largest := 0
	for _, e := range c.arrivals {
		largest = max(largest, e.tasks)
	}
	return largest
}

// SecondZoneShare is the share of the class's tasks that jobs which are spread over zones must
// have in another zone than their first.
func (c *Class) SecondZoneShare() float64 {
	all, half := 0, 0
	for _, e := range c.arrivals {
		all += e.tasks
		half += e.tasks / 2
	}
	return float64(half) / float64(max(all, 1))
}

// Rate is what came within a window.
type Rate struct {
	Tasks   float64
	Squares float64 // sum of the squares of the jobs' tasks
	WindowS float64 // in seconds; 0: there is no rate yet
}

// RateSince counts what came after a time. More than is remembered shortens the window.
func (c *Class) RateSince(since, now time.Time) Rate {
	if len(c.arrivals) == eventsKept && c.arrivals[0].at.After(since) {
		since = c.arrivals[0].at
	}
	r := Rate{WindowS: now.Sub(since).Seconds()}
	for _, e := range c.arrivals {
		if e.at.After(since) {
			r.Tasks += float64(e.tasks)
			r.Squares += float64(e.tasks * e.tasks)
		}
	}
	return r
}

// Expected is how many tasks come within a time, with so many standard deviations added: the
// jobs come by themselves, each with all its tasks.
func (r Rate) Expected(within, deviations float64) float64 {
	share := within / r.WindowS
	return r.Tasks*share + deviations*math.Sqrt(r.Squares*share)
}

// Ran takes in a finished task's run time and what its owner had expected, both in seconds.
func (c *Class) Ran(runS, expectedS float64) {
	if c.runS == 0 {
		c.runS, c.expectedS = runS, expectedS
	}
	c.runS += runWeight * (runS - c.runS)
	c.expectedS += runWeight * (expectedS - c.expectedS)
}

// MeanRunS is how long a task usually runs, in seconds; otherwise where none has run.
func (c *Class) MeanRunS(otherwise float64) float64 {
	if c.runS > 0 {
		return c.runS
	}
	return otherwise
}

// RunS is how long a task runs whose owner expects so many seconds: between what the class
// usually runs and what the owner expects, for owners are often wrong by half.
func (c *Class) RunS(expectedS float64) float64 {
	switch {
	case c.runS <= 0:
		return expectedS
	case expectedS <= 0 || c.expectedS <= 0:
		return c.runS
	}
	return c.runS * math.Sqrt(expectedS/c.expectedS)
}
