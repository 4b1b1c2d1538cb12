package failures

import (
	"testing"
	"time"
)

var start = time.Date(2026, 12, 2, 0, 0, 0, 0, time.UTC)

func at(s int) time.Time { return start.Add(time.Duration(s) * time.Second) }

func TestWhoIsAtFault(t *testing.T) {
	type failure struct{ machine, started, failed int }
	for name, c := range map[string]struct {
		failures []failure
		atFault  bool
		backoff  time.Duration
	}{
		"none":                             {nil, false, time.Second},
		"one machine fails many at once":   {[]failure{{1, 0, 9}, {1, 1, 9}, {1, 2, 10}, {1, 3, 10}}, false, time.Second},
		"two machines":                     {[]failure{{1, 0, 9}, {2, 0, 9}, {1, 1, 9}}, false, time.Second},
		"three machines at once":           {[]failure{{1, 0, 9}, {2, 0, 9}, {3, 0, 9}}, true, time.Second},
		"one machine again and again":      {[]failure{{1, 0, 9}, {1, 10, 19}, {1, 20, 29}}, true, 4 * time.Second},
		"many machines one after another":  {[]failure{{1, 0, 1}, {2, 2, 3}, {3, 4, 5}, {4, 6, 7}, {5, 8, 9}, {6, 10, 11}}, true, 16 * time.Second},
		"a failure of a task from earlier": {[]failure{{1, 0, 9}, {1, 10, 19}, {2, 5, 20}}, false, 2 * time.Second},
	} {
		var j Job
		for _, f := range c.failures {
			j.Failed(f.machine, at(f.started), at(f.failed))
		}
		if j.AtFault() != c.atFault || j.Backoff(time.Second) != c.backoff {
			t.Errorf("%s: at fault %v, backoff %v", name, j.AtFault(), j.Backoff(time.Second))
		}
		if j.Succeeded(); j.AtFault() || len(j.Machines()) != 0 {
			t.Errorf("%s: at fault after a success", name)
		}
	}
}

func TestEarlierFailuresAreRecalled(t *testing.T) {
	for name, c := range map[string]struct {
		failures [][2]int // machine and task
		atFault  bool
	}{
		"tasks beside each other": {[][2]int{{1, 0}, {1, 1}, {2, 2}, {2, 3}}, false},
		"several machines":        {[][2]int{{1, 0}, {2, 1}, {3, 2}}, true},
		"a task again and again":  {[][2]int{{1, 0}, {2, 0}, {1, 0}}, true},
	} {
		var j Job
		for _, f := range c.failures {
			j.Recall(f[0], f[1])
		}
		if j.AtFault() != c.atFault {
			t.Errorf("%s: at fault %v", name, j.AtFault())
		}
	}
	var j Job
	for task := range 1000 {
		if j.Recall(1, task); len(j.recalled) > most {
			t.Fatalf("%d tasks are remembered", len(j.recalled))
		}
	}
}

func TestAMachineIsAtFaultForSeveralJobs(t *testing.T) {
	var m Machine
	for range 5 {
		m.Failed("a")
	}
	if !m.Suspected() || m.AtFault() {
		t.Error("one job's failures make a machine at fault, or not suspected")
	}
	m.Failed("b")
	if !m.AtFault() {
		t.Error("two jobs' failures don't make a machine at fault")
	}
	m.Clear("a")
	if m.AtFault() || !m.Suspected() {
		t.Error("the failures of a job at fault still count, or another's don't")
	}
	for i := range 100 {
		m.Failed(string(rune('A' + i)))
	}
	if len(m.jobs) > most {
		t.Errorf("%d jobs are remembered", len(m.jobs))
	}
	if m.Succeeded(); m.Suspected() {
		t.Error("suspected after a success")
	}
}
