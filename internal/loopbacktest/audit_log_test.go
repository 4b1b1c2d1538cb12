package loopbacktest

import (
	"testing"
	"time"
)

// logged is a ledger with two machines and a job of a limited team.
func logged(limit float64) (l *ledger, a, b *machine, j Job, now time.Time) {
	now = time.Now()
	l = newLedger([]Team{{Name: "team", CPULimit: limit}})
	a = &machine{name: "host-a", lastRenewed: now}
	b = &machine{name: "host-b", lastRenewed: now}
	return l, a, b, Job{ID: "job-000001", Team: "team", CPUs: 2, Tasks: 2}, now
}

// on puts an attempt of a task on a machine.
func on(l *ledger, m *machine, name string, try uint64, j Job, now time.Time) *task {
	t := &task{name: taskName{name, try}, job: j.ID, running: true}
	l.know(m, t)
	l.enter(m, t, j, time.Minute, now)
	return t
}

func rules(l *ledger) map[Rule]int {
	broken := make(map[Rule]int)
	for _, f := range l.faults {
		broken[f.Rule]++
	}
	return broken
}

// Each check of the workers' log can fail, and doesn't where the rule holds.
func TestTheLogSeesATaskThatRunsTwice(t *testing.T) {
	l, a, b, j, now := logged(0)
	first := on(l, a, "job-000001/0", 1, j, now)
	l.leave(first)
	on(l, b, "job-000001/0", 2, j, now)
	on(l, b, "job-000001/1", 3, j, now)
	if len(l.faults) != 0 {
		t.Fatalf("%v", l.faults)
	}
	on(l, a, "job-000001/1", 4, j, now)
	if rules(l)[RanTwice] != 1 {
		t.Errorf("%v", l.faults)
	}
	b.lastRenewed = now.Add(-2 * time.Minute) // its lease is over: nothing runs there
	on(l, a, "job-000001/0", 5, j, now)
	if rules(l)[RanTwice] != 1 {
		t.Errorf("%v", l.faults)
	}
}

func TestTheLogSeesATeamBeyondItsLimit(t *testing.T) {
	l, a, b, j, now := logged(4)
	on(l, a, "job-000001/0", 1, j, now)
	second := on(l, b, "job-000001/1", 2, j, now)
	if len(l.faults) != 0 {
		t.Fatalf("%v", l.faults)
	}
	on(l, b, "job-000002/0", 3, j, now)
	if rules(l)[OverQuota] != 1 {
		t.Errorf("%v", l.faults)
	}
	l.leave(second)
	l.leave(second)
	if l.used["team"] != 4 {
		t.Errorf("%v in use", l.used["team"])
	}
}

func TestTheLogSeesACancelledJobsTask(t *testing.T) {
	timing := Timing{Cancel: time.Second, Lease: time.Minute}
	for _, c := range []struct {
		name    string
		running bool
		after   time.Duration
		want    int
	}{{"in time", true, time.Second, 0}, {"gone", false, 2 * time.Second, 0}, {"too long", true, 2 * time.Second, 1}} {
		t.Run(c.name, func(t *testing.T) {
			l, a, _, j, now := logged(0)
			on(l, a, "job-000001/0", 1, j, now).running = c.running
			l.cancelled[j.ID] = now
			l.checkCancelled(timing, now.Add(c.after))
			if rules(l)[RanCancelled] != c.want {
				t.Errorf("%v", l.faults)
			}
		})
	}
}
