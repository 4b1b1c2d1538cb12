// Package classstats keeps statistics on the arrivals, departures and run times of a class of jobs, and estimates
// the future demand of the class from them.
//
// The package does no input or output. Its caller records each event with the time at which it happened.
package classstats

import (
	"math"
	"time"
)

const (
	// maxEvents is the maximum number of arrivals, and of departures, kept per class. If a window contains more
	// arrivals, RateSince shortens the window.
	maxEvents = 512
	// latestRunWeight is the weight of the latest run time in the exponential moving averages.
	latestRunWeight = 0.05
)

// Class holds the statistics of one class of jobs. The zero value has no events. It is not safe for concurrent use.
type Class struct {
	arrivals      []event
	departures    []event // cancellations of jobs
	meanRunS      float64 // average run time of tasks in seconds; 0 if none has finished
	meanExpectedS float64 // average of the run times that owners expected for the same tasks, in seconds
}

// event is the arrival or departure of one job.
type event struct {
	at    time.Time
	tasks int
}

// RecordArrival records the arrival of a job.
func (c *Class) RecordArrival(at time.Time, tasks int) {
	c.arrivals = appendBounded(c.arrivals, event{at, tasks})
}

// RecordDeparture records the cancellation of a job.
func (c *Class) RecordDeparture(at time.Time, tasks int) {
	c.departures = appendBounded(c.departures, event{at, tasks})
}

// appendBounded appends an event and drops the oldest one beyond maxEvents.
func appendBounded(events []event, e event) []event {
	if len(events) >= maxEvents {
		events = events[1:]
	}
	return append(events, e)
}

// DepartedSince returns the number of tasks of the jobs that departed after since.
func (c *Class) DepartedSince(since time.Time) int {
	n := 0
	for _, e := range c.departures {
		if e.at.After(since) {
			n += e.tasks
		}
	}
	return n
}

// LargestJob returns the number of tasks of the largest job among the last maxEvents arrivals, or 0 if there are none.
func (c *Class) LargestJob() int {
	largest := 0
	for _, e := range c.arrivals {
		largest = max(largest, e.tasks)
	}
	return largest
}

// OutsideFirstZoneShare returns the fraction of the class's tasks that must run outside of the first zone of their job, if
// the class's jobs are spread over zones. Each job must run half of its tasks, rounded down, outside of its first zone.
func (c *Class) OutsideFirstZoneShare() float64 {
	all, outside := 0, 0
	for _, e := range c.arrivals {
		all += e.tasks
		outside += e.tasks / 2
	}
	return float64(outside) / float64(max(all, 1))
}

// Rate holds the arrivals within a window of time.
type Rate struct {
	Tasks     float64 // number of tasks that arrived
	SquareSum float64 // the number of tasks of each arrived job, squared, and then summed over the jobs
	WindowS   float64 // length of the window in seconds; 0 if the rate is unknown
}

// RateSince returns the rate of the arrivals in the window from since, exclusive, to now. If arrivals in this window may
// have been dropped because of maxEvents, the window begins at the oldest arrival that is kept.
func (c *Class) RateSince(since, now time.Time) Rate {
	if len(c.arrivals) == maxEvents && c.arrivals[0].at.After(since) {
		since = c.arrivals[0].at
	}
	r := Rate{WindowS: now.Sub(since).Seconds()}
	for _, e := range c.arrivals {
		if e.at.After(since) {
			r.Tasks += float64(e.tasks)
			r.SquareSum += float64(e.tasks * e.tasks)
		}
	}
	return r
}

// Expected returns the number of tasks that are expected to arrive within withinS seconds, plus a safety margin of the
// given number of standard deviations. It models the arrivals of jobs as a Poisson process in which each arrival adds
// all tasks of the job.
func (r Rate) Expected(withinS, deviations float64) float64 {
	windows := withinS / r.WindowS
	return r.Tasks*windows + deviations*math.Sqrt(r.SquareSum*windows)
}

// RecordRun records the run time of a completed task and the run time that its owner expected, both in seconds.
func (c *Class) RecordRun(runS, expectedS float64) {
	if c.meanRunS == 0 {
		c.meanRunS, c.meanExpectedS = runS, expectedS
	}
	c.meanRunS += latestRunWeight * (runS - c.meanRunS)
	c.meanExpectedS += latestRunWeight * (expectedS - c.meanExpectedS)
}

// MeanRunSeconds returns the average run time of the class's tasks in seconds, or fallback if no task has completed.
func (c *Class) MeanRunSeconds(fallback float64) float64 {
	if c.meanRunS > 0 {
		return c.meanRunS
	}
	return fallback
}

// EstimateRunSeconds returns the estimated run time, in seconds, of a task whose owner expects expectedS seconds. The
// estimate is the class's average run time, multiplied by the square root of a ratio: the owner's expectation divided
// by the average expectation. The square root is used because owners' expectations are often wrong by half.
func (c *Class) EstimateRunSeconds(expectedS float64) float64 {
	switch {
	case c.meanRunS <= 0:
		return expectedS
	case expectedS <= 0 || c.meanExpectedS <= 0:
		return c.meanRunS
	}
	return c.meanRunS * math.Sqrt(expectedS/c.meanExpectedS)
}
