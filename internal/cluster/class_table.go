package cluster

import (
	"time"

	"sagevale/internal/classstats"
	"sagevale/internal/clock"
)

// arrivalRateLeases is the window over which arrival rates are measured, in worker leases.
const arrivalRateLeases = 8.0

// Class holds the statistics of a class of jobs and its latest job.
type Class struct {
	classstats.Class
	Latest *Job // the job of the class that arrived last
}

// TypicalRunSeconds returns the average run time of the class's tasks, in seconds. Before any task has completed,
// it returns the estimate that the owner of the latest job has given.
func (c *Class) TypicalRunSeconds() float64 { return c.MeanRunSeconds(c.Latest.Spec.EstimateS) }

// ClassTable keeps the statistics of the classes of jobs.
type ClassTable struct {
	byName       map[string]*Class
	FirstArrival time.Time // when the first job of any class arrived
}

func newClassTable() *ClassTable { return &ClassTable{byName: make(map[string]*Class)} }

// Get returns the class with the given name, or nil.
func (t *ClassTable) Get(name string) *Class { return t.byName[name] }

// All returns all classes by name. The caller must not modify the map, which changes with the table.
func (t *ClassTable) All() map[string]*Class { return t.byName }

// RecordArrival records the arrival of a job in the statistics of its class. Services that scale to zero aren't
// counted, because their tasks start on demand.
func (t *ClassTable) RecordArrival(j *Job) {
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

// RecordDeparture records the cancellation of a job in the statistics of its class.
func (t *ClassTable) RecordDeparture(j *Job, now time.Time) {
	if c := t.byName[j.Spec.Class]; c != nil && !j.ScalesToZero() {
		c.RecordDeparture(now, j.Spec.Tasks)
	}
}

// RecordRunTime records the run time of a completed task in the statistics of its class.
func (t *ClassTable) RecordRunTime(a *Attempt, now time.Time) {
	if c := t.byName[a.Job.Spec.Class]; c != nil && !a.Started.IsZero() {
		c.RecordRun(now.Sub(a.Started).Seconds(), a.Job.Spec.EstimateS)
	}
}

// RunSeconds returns how long a task of the job is expected to run, in seconds.
func (t *ClassTable) RunSeconds(j *Job) float64 {
	if c := t.byName[j.Spec.Class]; c != nil {
		return c.EstimateRunSeconds(j.Spec.EstimateS)
	}
	return j.Spec.EstimateS
}

// ArrivalRate returns the rate at which tasks of a class have arrived within the last arrivalRateLeases leases.
// Arrivals within one lease after the first job of any class are left out, because they are the initial load of the
// fleet. The result is the zero Rate until two leases have passed since that first job.
func (t *ClassTable) ArrivalRate(c *Class, lease time.Duration, now time.Time) classstats.Rate {
	since := now.Add(-clock.Scale(lease, arrivalRateLeases))
	if start := t.FirstArrival.Add(lease); start.After(since) {
		since = start
	}
	if now.Sub(since) < lease {
		return classstats.Rate{}
	}
	return c.RateSince(since, now)
}
