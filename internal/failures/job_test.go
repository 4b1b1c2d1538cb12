package failures

import (
	"testing"
	"time"
)

// at returns the time s seconds after the start of the test.
func at(s int) time.Time {
	return time.Date(2026, 12, 2, 0, 0, s, 0, time.UTC)
}

func TestJobIsAtFaultAfterRepeatedFailures(t *testing.T) {
	type failure struct{ machine, startedS, failedS int }
	for name, c := range map[string]struct {
		failures    []failure
		wantAtFault bool
		wantBackoff time.Duration
	}{
		"none":                                   {nil, false, time.Second},
		"many tasks fail at once on one machine": {[]failure{{1, 0, 9}, {1, 1, 9}, {1, 2, 10}, {1, 3, 10}}, false, time.Second},
		"two machines":                           {[]failure{{1, 0, 9}, {2, 0, 9}, {1, 1, 9}}, false, time.Second},
		"three machines at once":                 {[]failure{{1, 0, 9}, {2, 0, 9}, {3, 0, 9}}, true, time.Second},
		"repeatedly on one machine":              {[]failure{{1, 0, 9}, {1, 10, 19}, {1, 20, 29}}, true, 4 * time.Second},
		"many machines one after another":        {[]failure{{1, 0, 1}, {2, 2, 3}, {3, 4, 5}, {4, 6, 7}, {5, 8, 9}, {6, 10, 11}}, true, 16 * time.Second},
		"a task that started before the last counted failure": {[]failure{{1, 0, 9}, {1, 10, 19}, {2, 5, 20}}, false, 2 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			var j Job
			for _, f := range c.failures {
				j.RecordFailure(f.machine, at(f.startedS), at(f.failedS))
			}
			if got := j.AtFault(); got != c.wantAtFault {
				t.Errorf("at fault: got %v, want %v", got, c.wantAtFault)
			}
			if got := j.Backoff(time.Second); got != c.wantBackoff {
				t.Errorf("backoff: got %v, want %v", got, c.wantBackoff)
			}
			if j.RecordSuccess(); j.AtFault() || len(j.Machines()) != 0 {
				t.Errorf("after a success: got at fault %v, machines %v, want neither", j.AtFault(), j.Machines())
			}
		})
	}
}

// An earlier failure happened under an earlier leader, and its time is unknown.
func TestJobIsAtFaultAfterEarlierFailures(t *testing.T) {
	type failure struct{ machine, task int }
	for name, c := range map[string]struct {
		failures    []failure
		wantAtFault bool
	}{
		"different tasks on two machines":   {[]failure{{1, 0}, {1, 1}, {2, 2}, {2, 3}}, false},
		"different tasks on three machines": {[]failure{{1, 0}, {2, 1}, {3, 2}}, true},
		"repeated failures of one task":     {[]failure{{1, 0}, {2, 0}, {1, 0}}, true},
	} {
		t.Run(name, func(t *testing.T) {
			var j Job
			for _, f := range c.failures {
				j.RecordEarlierFailure(f.machine, f.task)
			}
			if got := j.AtFault(); got != c.wantAtFault {
				t.Errorf("at fault: got %v, want %v", got, c.wantAtFault)
			}
		})
	}
}

func TestTasksWithEarlierFailuresAreBounded(t *testing.T) {
	var j Job
	for task := range 1000 {
		if j.RecordEarlierFailure(1, task); len(j.earlierByTask) > maxRemembered {
			t.Fatalf("after %d tasks: got %d remembered, want at most %d", task+1, len(j.earlierByTask), maxRemembered)
		}
	}
}
