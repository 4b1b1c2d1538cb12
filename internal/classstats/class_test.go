package classstats

import (
	"fmt"
	"math"
	"testing"
	"time"
)

var start = time.UnixMilli(1e12)

// recordArrivals records the arrivals of the given number of jobs, each with the given number of tasks. The jobs arrive at
// regular intervals, perS of them per second. recordArrivals returns the time of the last arrival.
func recordArrivals(c *Class, jobs, tasks int, perS float64) time.Time {
	at := start
	for range jobs {
		at = at.Add(time.Duration(float64(time.Second) / perS))
		c.RecordArrival(at, tasks)
	}
	return at
}

// The rate must be right even if more jobs arrive within the window than maxEvents.
func TestRateSinceWithMoreArrivalsThanMaxEvents(t *testing.T) {
	const jobTasks = 3
	for _, jobsPerS := range []float64{0.5, 3, 20, 500} {
		t.Run(fmt.Sprintf("%v jobs a second", jobsPerS), func(t *testing.T) {
			var c Class
			now := recordArrivals(&c, int(100*jobsPerS), jobTasks, jobsPerS)
			r := c.RateSince(now.Add(-60*time.Second), now)
			want := jobTasks * jobsPerS
			if got := r.Tasks / r.WindowS; math.Abs(got-want) > 0.1*want {
				t.Errorf("tasks a second: got %.1f, want %.1f", got, want)
			}
			if r.SquareSum != jobTasks*r.Tasks {
				t.Errorf("sum of squared job sizes, for %.0f tasks in jobs of %d: got %.0f, want %.0f", r.Tasks, jobTasks, r.SquareSum, jobTasks*r.Tasks)
			}
			if later := c.RateSince(now, now.Add(time.Minute)); later.Tasks != 0 || later.WindowS != 60 {
				t.Errorf("after the last arrival: got %+v, want no tasks in 60 s", later)
			}
		})
	}
}

func TestRateExpected(t *testing.T) {
	r := Rate{Tasks: 100, SquareSum: 400, WindowS: 50}
	for _, c := range []struct{ withinS, deviations, want float64 }{
		{25, 0, 50},
		{12.5, 2, 25 + 2*10},
	} {
		if got := r.Expected(c.withinS, c.deviations); got != c.want {
			t.Errorf("tasks within %v s with %v deviations: got %v, want %v", c.withinS, c.deviations, got, c.want)
		}
	}
}

func TestZeroClassHasNoStatistics(t *testing.T) {
	var c Class
	if c.OutsideFirstZoneShare() != 0 || c.LargestJob() != 0 || c.DepartedSince(start) != 0 {
		t.Errorf("got second-zone share %v, largest job %d, %d departed, want zeros", c.OutsideFirstZoneShare(), c.LargestJob(), c.DepartedSince(start))
	}
}

func TestClassSummarizesJobSizesAndDepartures(t *testing.T) {
	var c Class
	for i, tasks := range []int{1, 5, 2} {
		at := start.Add(time.Duration(i) * time.Second)
		c.RecordArrival(at, tasks)
		c.RecordDeparture(at, tasks)
	}
	if got := c.LargestJob(); got != 5 {
		t.Errorf("largest job: got %d, want 5", got)
	}
	if got := c.OutsideFirstZoneShare(); got != 3.0/8 {
		t.Errorf("second-zone share: got %v, want 3/8", got)
	}
	if got := c.DepartedSince(start); got != 7 {
		t.Errorf("tasks that departed after the first job: got %d, want 7", got)
	}
}

func TestRunTimeEstimateWithoutRunsIsOwnersExpectation(t *testing.T) {
	var c Class
	if got := c.EstimateRunSeconds(30); got != 30 {
		t.Errorf("estimate: got %v s, want the owner's 30", got)
	}
	if got := c.MeanRunSeconds(40); got != 40 {
		t.Errorf("mean: got %v s, want the fallback of 40", got)
	}
}

func TestRunTimeEstimateScalesMeanByOwnersExpectation(t *testing.T) {
	var c Class
	for range 200 {
		c.RecordRun(100, 25)
	}
	if got := c.MeanRunSeconds(40); math.Abs(got-100) > 0.1 {
		t.Errorf("mean: got %v s, want 100", got)
	}
	if got := c.EstimateRunSeconds(100); math.Abs(got-200) > 0.5 {
		t.Errorf("estimate for an owner who expects four times the average: got %v s, want 200", got)
	}
	if got := c.EstimateRunSeconds(0); math.Abs(got-100) > 0.1 {
		t.Errorf("estimate without the owner's expectation: got %v s, want 100", got)
	}
	c.RecordRun(200, 25)
	if got := c.MeanRunSeconds(0); math.Abs(got-105) > 0.1 {
		t.Errorf("mean after a run of 200 s, with a weight of 1/20: got %v s, want 105", got)
	}
}
