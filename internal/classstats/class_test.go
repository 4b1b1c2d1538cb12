package classstats

import (
	"math"
	"testing"
	"time"
)

var start = time.UnixMilli(1e12)

// arrive has jobs of so many tasks come evenly, so many a second, and returns when the last came.
func (c *Class) arrive(jobs, tasks int, perS float64) time.Time {
	at := start
	for range jobs {
		at = at.Add(time.Duration(float64(time.Second) / perS))
		c.Arrived(at, tasks)
	}
	return at
}

// However many come within the window, the rate is what it is; and what came before isn't counted.
func TestTheRateHasNoBound(t *testing.T) {
	for _, perS := range []float64{0.5, 3, 20, 500} {
		var c Class
		now := c.arrive(int(100*perS), 3, perS)
		r := c.RateSince(now.Add(-60*time.Second), now)
		if rate := r.Tasks / r.WindowS; math.Abs(rate-3*perS) > 0.1*3*perS {
			t.Errorf("%.1f tasks a second of %.1f", rate, 3*perS)
		}
		if r.Squares != 3*r.Tasks {
			t.Errorf("squares %.0f of %.0f tasks of jobs of 3", r.Squares, r.Tasks)
		}
		if later := c.RateSince(now, now.Add(time.Minute)); later.Tasks != 0 || later.WindowS != 60 {
			t.Errorf("after the last arrival: %+v", later)
		}
	}
}

func TestExpectedTasks(t *testing.T) {
	r := Rate{Tasks: 100, Squares: 400, WindowS: 50}
	if got := r.Expected(25, 0); got != 50 {
		t.Errorf("%v tasks within half of the window", got)
	}
	if got := r.Expected(12.5, 2); got != 25+2*10 {
		t.Errorf("%v tasks with two deviations", got)
	}
}

func TestWhatJobsLookLike(t *testing.T) {
	var c Class
	if c.SecondZoneShare() != 0 || c.LargestJob() != 0 || c.DepartedSince(start) != 0 {
		t.Error("something is known of a class that never came")
	}
	for i, tasks := range []int{1, 5, 2} {
		at := start.Add(time.Duration(i) * time.Second)
		c.Arrived(at, tasks)
		c.Departed(at, tasks)
	}
	if c.LargestJob() != 5 || c.SecondZoneShare() != 3.0/8 {
		t.Errorf("largest %d, second zone %v", c.LargestJob(), c.SecondZoneShare())
	}
	if n := c.DepartedSince(start); n != 7 {
		t.Errorf("%d tasks departed after the first", n)
	}
}

func TestRunTimesLieBetweenClassAndOwner(t *testing.T) {
	var c Class
	if c.RunS(30) != 30 || c.MeanRunS(40) != 40 {
		t.Error("no task has run: the owner is believed")
	}
	for range 200 {
		c.Ran(100, 25)
	}
	if got := c.MeanRunS(40); math.Abs(got-100) > 0.1 {
		t.Errorf("mean %v", got)
	}
	if got := c.RunS(100); math.Abs(got-200) > 0.5 {
		t.Errorf("an owner who expects four times the usual is given %v, not twice", got)
	}
	if got := c.RunS(0); math.Abs(got-100) > 0.1 {
		t.Errorf("without an expectation %v", got)
	}
	c.Ran(200, 25)
	if got := c.MeanRunS(0); math.Abs(got-105) > 0.1 {
		t.Errorf("the latest counts a twentieth: %v", got)
	}
}
