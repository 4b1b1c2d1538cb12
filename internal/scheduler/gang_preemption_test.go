package scheduler

import (
	"testing"
	"testing/synctest"
	"time"

	"sagevale/internal/cluster"
	"sagevale/internal/cluster/clustertest"
	"sagevale/internal/storage"
	"sagevale/internal/worker"
)

// A gang either gets room for all or stops nothing.
func TestGangPreemptionIsAllOrNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newTestScheduler(t, clustertest.Settings())
		low := arrayWithRuntime("000001", 8, time.Hour)
		low.Priority, low.Resources = storage.BestEffort, storage.Resources{CPUs: 4, MemoryGB: 8}
		j := d.addAcceptedJob(low)
		for i := range 4 {
			m := d.addReadyMachine(i, "cpu", "a", false)
			for k := range 2 {
				d.addAttempt(&cluster.Attempt{Job: j, Task: 2*i + k, Number: uint64(1 + 2*i + k), Machine: m, Incarnation: 1, ThisTerm: true, Reported: true, State: worker.Running, Started: time.Now()})
			}
		}
		stopped := func() (n int) {
			for _, a := range j.Attempts {
				if a.Stopping {
					n++
				}
			}
			return n
		}
		d.addAcceptedJob(gangSpec("000002", 17)) // 16 would fit
		d.placeRound(time.Now())
		if n := stopped(); n != 0 {
			t.Errorf("%d stopped for a gang that finds no room all the same", n)
		}
		g := d.addAcceptedJob(gangSpec("000003", 5))
		d.state.Jobs.Get("000002").RetryAfter = time.Now().Add(time.Hour)
		time.Sleep(time.Second)
		d.placeRound(time.Now())
		if n := stopped(); n != 3 || len(g.Attempts) != 0 {
			t.Errorf("%d stopped for five tasks of two CPUs, %d placed", n, len(g.Attempts))
		}
		time.Sleep(time.Second)
		d.placeRound(time.Now())
		if n := stopped(); n != 3 {
			t.Errorf("%d stopped at the second look", n)
		}
		for _, a := range j.GangAttempts() {
			if a.Stopping {
				d.removeAttempt(a, "stopped")
			}
		}
		d.placeRound(time.Now())
		if len(g.Attempts) != 5 {
			t.Errorf("%d of 5 placed", len(g.Attempts))
		}
	})
}

// A gang in the way of something more urgent is stopped whole, with the time to
// save.
func TestPreemptedGangGetsTimeToSave(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newTestScheduler(t, clustertest.Settings())
		g := d.addAcceptedJob(gangSpec("000001", 4))
		var machines []*cluster.Machine
		for i := range 2 {
			machines = append(machines, d.addReadyMachine(i, "cpu", "a", false))
		}
		for i := range 4 {
			d.addAttempt(&cluster.Attempt{Job: g, Task: i, Number: 9, Machine: machines[i/2], Incarnation: 1, ThisTerm: true, Reported: true, State: worker.Running, Started: time.Now()})
		}
		g.Gang.Started = true
		urgent := clustertest.Service("000002", 1)
		urgent.Resources = storage.Resources{CPUs: 8, MemoryGB: 8}
		d.addAcceptedJob(urgent)
		d.placeRound(time.Now())
		for _, a := range g.GangAttempts() {
			if !a.Stopping || a.GraceSeconds != g.Spec.SaveS || !a.StopCommanded {
				t.Errorf("task %d: %+v", a.Task, a)
			}
		}
	})
}

// addCompetingGangs are two gangs of three tasks that run, each with two tasks that fill a
// machine and one elsewhere; the machine of the first one's third task is returned.
func addCompetingGangs(d *scheduler, now time.Time) (first, second *cluster.Job, elsewhere *cluster.Machine) {
	for m := 1; m <= 4; m++ {
		d.addReadyMachine(m, "cpu", "a", false)
	}
	enter := func(id string, try uint64, machines ...int) *cluster.Job {
		spec := gangSpec(id, 3)
		spec.Resources, spec.Priority = storage.Resources{CPUs: 4, MemoryGB: 8}, storage.Normal
		j := d.addAcceptedJob(spec)
		for i, m := range machines {
			d.addAttempt(&cluster.Attempt{Job: j, Task: i, Number: try, Machine: d.state.Machines.Get(m), Incarnation: 1, ThisTerm: true, Durable: true, Reported: true,
				State: worker.Running, ReservedAt: now, Started: now.Add(-time.Minute)})
		}
		j.Gang.Started = true
		return j
	}
	first, second = enter("000001", 8, 1, 1, 3), enter("000002", 9, 2, 2, 4)
	return first, second, d.state.Machines.Get(3)
}

func urgentService() storage.Spec {
	s := clustertest.Service("000009", 1)
	s.Resources = storage.Resources{CPUs: 8, MemoryGB: 8}
	return s
}

// countStopping counts a job's attempts that are to be stopped, and those that may save.
func countStopping(j *cluster.Job) (stopped, saving int) {
	for _, a := range j.Attempts {
		if a.Stopping {
			stopped++
			if a.GraceSeconds > 0 {
				saving++
			}
		}
	}
	return stopped, saving
}

// All tasks of a gang must be told to stop within gang_peer_s, or what it would have
// saved is lost: another victim is found where there is one.
func TestPreemptionSparesGangThatCannotSave(t *testing.T) {
	for _, c := range []struct {
		name    string
		trouble func(d *scheduler, m *cluster.Machine)
	}{
		{"its machine is silent", func(d *scheduler, m *cluster.Machine) {
			m.LastContact = m.LastContact.Add(-2 * d.settings.HeartbeatInterval)
		}},
		{"its machine leaves orders unanswered", func(_ *scheduler, m *cluster.Machine) { m.InFlight = maxInFlightCommands }},
		{"its machine reports and can't be reached", func(d *scheduler, m *cluster.Machine) { d.commandsFailing[m.ID] = true }},
		{"its machine doesn't do as it is told", func(_ *scheduler, m *cluster.Machine) { m.Unresponsive = true }},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				d := newTestScheduler(t, clustertest.Settings())
				first, second, elsewhere := addCompetingGangs(d, time.Now())
				c.trouble(d, elsewhere)
				d.addAcceptedJob(urgentService())
				d.placeRound(time.Now())
				if n, _ := countStopping(first); n != 0 {
					t.Errorf("%d tasks are stopped of the gang that can't save", n)
				}
				if n, saving := countStopping(second); n != 3 || saving != 3 {
					t.Errorf("%d tasks are stopped of the gang that can, %d with time to save", n, saving)
				}
			})
		})
	}
}

// Where none other is left the gang goes at once: waiting for a save that fails would
// only hold its room.
func TestGangThatCannotSaveIsStoppedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newTestScheduler(t, clustertest.Settings())
		first, second, elsewhere := addCompetingGangs(d, time.Now())
		elsewhere.InFlight = maxInFlightCommands
		d.state.Machines.Get(4).InFlight = maxInFlightCommands
		d.addAcceptedJob(urgentService())
		d.placeRound(time.Now())
		n1, saving1 := countStopping(first)
		n2, saving2 := countStopping(second)
		if n1+n2 != 3 || saving1+saving2 != 0 {
			t.Errorf("stopped %d and %d tasks, %d and %d with time to save", n1, n2, saving1, saving2)
		}
	})
}

// A gang that could not save all the same runs on when one of its machines is to be
// taken: it may reach another checkpoint.
func TestSpotNoticeStopsOnlyGangThatCanSave(t *testing.T) {
	for _, reachable := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			d := newTestScheduler(t, clustertest.Settings())
			first, _, elsewhere := addCompetingGangs(d, time.Now())
			first.Spec.EstimateS = 1000
			if !reachable {
				elsewhere.InFlight = maxInFlightCommands
			}
			m := d.state.Machines.Get(1)
			m.PreemptionAt = time.Now().Add(10 * time.Second)
			d.drain(m, "spot notice")
			if n, saving := countStopping(first); (n == 3 && saving == 3) != reachable || !reachable && n != 0 {
				t.Errorf("reachable %v: %d tasks are stopped, %d with time to save", reachable, n, saving)
			}
		})
	}
}
