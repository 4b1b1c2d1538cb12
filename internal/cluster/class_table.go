package cluster

import (
	"time"

	"sagevale/internal/classstats"
	"sagevale/internal/clock"
)

// rateLeases is the window of the arrival rate, in workers' leases.
const rateLeases = 8.0

// Class is what is known of a class of jobs.
type Class struct {
	classstats.Class
	Latest *Job // the latest job of the class
}

// TypicalRunSeconds is how long a task of the class typically runs, in seconds.
func (c *Class) TypicalRunSeconds() float64 { return c.MeanRunSeconds(c.Latest.Spec.EstimateS) }

// ClassTable keeps the statistics of the classes of jobs.
type ClassTable struct {
	byName       map[string]*Class
	FirstArrival time.Time // when the first job ever came
}

func newClassTable() *ClassTable { return &ClassTable{byName: make(map[string]*Class)} }

// Get returns a class, or nil.
func (t *ClassTable) Get(name string) *Class { return t.byName[name] }

// All returns the classes by name. The map changes with the table.
func (t *ClassTable) All() map[string]*Class { return t.byName }

// NoteArrival counts a job to its class. Services that scale to zero aren't counted: their tasks come
// with demand.
func (t *ClassTable) NoteArrival(j *Job) {
	if j.ScalesToZero() {
		return
	}
	c := t.byName[j.Spec.Class]
	if c == nil {
		c = &Class{}
		t.byName[j.Spec.Class] = c
	}
	if t.FirstArrival.IsZero() || j.Submitted.Before(t.FirstArrival) {
		t.FirstArrival = j.Submitted
	}
	c.Latest = j
	c.RecordArrival(j.Submitted, j.Spec.Tasks)
}

// NoteDeparture counts the cancellation of a job to its class.
func (t *ClassTable) NoteDeparture(j *Job, now time.Time) {
	if c := t.byName[j.Spec.Class]; c != nil && !j.ScalesToZero() {
		c.RecordDeparture(now, j.Spec.Tasks)
	}
}

// NoteRunTime counts the run time of a completed task to its class.
func (t *ClassTable) NoteRunTime(a *Attempt, now time.Time) {
	if c := t.byName[a.Job.Spec.Class]; c != nil && !a.Started.IsZero() {
		c.RecordRun(now.Sub(a.Started).Seconds(), a.Job.Spec.EstimateS)
	}
}

// RunSeconds is how long a task of the job is expected to run, in seconds.
func (t *ClassTable) RunSeconds(j *Job) float64 {
	if c := t.byName[j.Spec.Class]; c != nil {
		return c.EstimateRunSeconds(j.Spec.EstimateS)
	}
	return j.Spec.EstimateS
}

// ArrivalRate is the rate of a class's arrivals within the window. What comes within a lease of the first
// job ever is the start of the fleet, not a rate.
func (t *ClassTable) ArrivalRate(c *Class, lease time.Duration, now time.Time) classstats.Rate {
	since := now.Add(-clock.Scale(lease, rateLeases))
	if start := t.FirstArrival.Add(lease); start.After(since) {
		since = start
	}
	if now.Sub(since) < lease {
		return classstats.Rate{}
	}
	return c.RateSince(since, now)
}
