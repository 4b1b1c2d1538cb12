package scheduler

import (
	"time"

	"sagevale/internal/classstats"
	"sagevale/internal/clock"
)

// rateLeases is the window of the arrival rate, in workers' leases.
const rateLeases = 8.0

// class is what is known of a class of jobs.
type class struct {
	classstats.Class
	latest *job // the latest job of the class
}

// typicalRunSeconds is how long a task of the class typically runs, in seconds.
func (c *class) typicalRunSeconds() float64 { return c.MeanRunS(c.latest.spec.EstimateS) }

// classTable keeps the statistics of the classes of jobs.
type classTable struct {
	byName       map[string]*class
	firstArrival time.Time // when the first job ever came
}

func newClassTable() *classTable { return &classTable{byName: make(map[string]*class)} }

// get returns a class, or nil.
func (t *classTable) get(name string) *class { return t.byName[name] }

// all returns the classes by name. The map changes with the table.
func (t *classTable) all() map[string]*class { return t.byName }

// noteArrival counts a job to its class. Services that scale to zero aren't counted: their tasks come
// with demand.
func (t *classTable) noteArrival(j *job) {
	if j.scalesToZero() {
		return
	}
	c := t.byName[j.spec.Class]
	if c == nil {
		c = &class{}
		t.byName[j.spec.Class] = c
	}
	if t.firstArrival.IsZero() || j.submitted.Before(t.firstArrival) {
		t.firstArrival = j.submitted
	}
	c.latest = j
	c.Arrived(j.submitted, j.spec.Tasks)
}

// noteDeparture counts the cancellation of a job to its class.
func (t *classTable) noteDeparture(j *job, now time.Time) {
	if c := t.byName[j.spec.Class]; c != nil && !j.scalesToZero() {
		c.Departed(now, j.spec.Tasks)
	}
}

// noteRunTime counts the run time of a completed task to its class.
func (t *classTable) noteRunTime(a *attempt, now time.Time) {
	if c := t.byName[a.job.spec.Class]; c != nil && !a.started.IsZero() {
		c.Ran(now.Sub(a.started).Seconds(), a.job.spec.EstimateS)
	}
}

// runSeconds is how long a task of the job is expected to run, in seconds.
func (t *classTable) runSeconds(j *job) float64 {
	if c := t.byName[j.spec.Class]; c != nil {
		return c.RunS(j.spec.EstimateS)
	}
	return j.spec.EstimateS
}

// arrivalRate is the rate of a class's arrivals within the window. What comes within a lease of the first
// job ever is the start of the fleet, not a rate.
func (t *classTable) arrivalRate(c *class, lease time.Duration, now time.Time) classstats.Rate {
	since := now.Add(-clock.Scale(lease, rateLeases))
	if start := t.firstArrival.Add(lease); start.After(since) {
		since = start
	}
	if now.Sub(since) < lease {
		return classstats.Rate{}
	}
	return c.RateSince(since, now)
}
