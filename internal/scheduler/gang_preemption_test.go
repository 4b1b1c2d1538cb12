package scheduler

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"sagevale/internal/cluster"
	"sagevale/internal/cluster/clustertest"
	"sagevale/internal/storage"
	"sagevale/internal/worker"
)

// Preemption either frees resources for all tasks of a gang or stops nothing.
func TestGangPreemptionIsAllOrNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newTestScheduler(t, clustertest.Settings())
		low := arrayWithRuntime("000001", 8, time.Hour)
		low.Priority, low.Resources = storage.BestEffort, storage.Resources{CPUs: 4, MemoryGB: 8}
		j := d.addAcceptedJob(low)
		for i := range 4 {
			m := d.addReadyMachine(i, "cpu", "a", false)
			for k := range 2 {
				d.addRunningAttempt(j, 2*i+k, uint64(1+2*i+k), m)
			}
		}
		d.addAcceptedJob(gangSpec("000002", 17)) // one task more than would fit
		d.placeRound(time.Now())
		if n, _ := countStopping(j); n != 0 {
			t.Errorf("%d tasks are stopped for a gang that doesn't fit, want none", n)
		}
		g := d.addAcceptedJob(gangSpec("000003", 5))
		d.state.Jobs.Get("000002").RetryAfter = time.Now().Add(time.Hour)
		time.Sleep(time.Second)
		d.placeRound(time.Now())
		if n, _ := countStopping(j); n != 3 || len(g.Attempts) != 0 {
			t.Errorf("%d tasks of 4 CPUs are stopped for five of 2 CPUs and %d are placed, want 3 and none", n, len(g.Attempts))
		}
		time.Sleep(time.Second)
		d.placeRound(time.Now())
		if n, _ := countStopping(j); n != 3 {
			t.Errorf("%d tasks are stopped after another round, want still 3", n)
		}
		for _, a := range j.GangAttempts() {
			if a.Stopping {
				d.removeAttempt(a, "stopped")
			}
		}
		d.placeRound(time.Now())
		if len(g.Attempts) != 5 {
			t.Errorf("%d tasks are placed, want 5", len(g.Attempts))
		}
	})
}

// A gang that is preempted is stopped as a whole, with the time to save a checkpoint.
func TestPreemptedGangGetsTimeToSave(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newTestScheduler(t, clustertest.Settings())
		g := d.addAcceptedJob(gangSpec("000001", 4))
		var machines []*cluster.Machine
		for i := range 2 {
			machines = append(machines, d.addReadyMachine(i, "cpu", "a", false))
		}
		for i := range 4 {
			d.addRunningAttempt(g, i, 9, machines[i/2])
		}
		g.Gang.Started = true
		d.addAcceptedJob(urgentService())
		d.placeRound(time.Now())
		for _, a := range g.GangAttempts() {
			if !a.Stopping || a.GraceSeconds != g.Spec.SaveS || !a.StopCommanded {
				t.Errorf("attempt of task %d is %+v, want a stop with %v s to save", a.Task, a, g.Spec.SaveS)
			}
		}
	})
}

// addCompetingGangs adds two running gangs of three tasks. Two tasks of each fill a machine and the third runs on another
// one; that of the first gang is returned.
func addCompetingGangs(d *scheduler, now time.Time) (first, second *cluster.Job, elsewhere *cluster.Machine) {
	for m := 1; m <= 4; m++ {
		d.addReadyMachine(m, "cpu", "a", false)
	}
	add := func(id string, number uint64, machines ...int) *cluster.Job {
		spec := gangSpec(id, 3)
		spec.Resources, spec.Priority = storage.Resources{CPUs: 4, MemoryGB: 8}, storage.Normal
		j := d.addAcceptedJob(spec)
		for i, m := range machines {
			d.addAttempt(&cluster.Attempt{Job: j, Task: i, Number: number, Machine: d.state.Machines.Get(m), Incarnation: 1, ThisTerm: true, Durable: true, Reported: true,
				State: worker.Running, ReservedAt: now, Started: now.Add(-time.Minute)})
		}
		j.Gang.Started = true
		return j
	}
	first, second = add("000001", 8, 1, 1, 3), add("000002", 9, 2, 2, 4)
	return first, second, d.state.Machines.Get(3)
}

// urgentService returns the specification of a service that needs a whole machine of type cpu.
func urgentService() storage.Spec {
	s := clustertest.Service("000009", 1)
	s.Resources = storage.Resources{CPUs: 8, MemoryGB: 8}
	return s
}

// countStopping counts a job's attempts that are being stopped, and those of them with time to save.
func countStopping(j *cluster.Job) (stopping, saving int) {
	for _, a := range j.Attempts {
		if a.Stopping {
			stopping++
			if a.GraceSeconds > 0 {
				saving++
			}
		}
	}
	return stopping, saving
}

// All tasks of a gang must receive their stop commands within gang_peer_s, or its checkpoint is lost. A gang that may not manage
// that is spared while another one can be preempted.
func TestPreemptionSparesGangThatCannotSave(t *testing.T) {
	for _, c := range []struct {
		name  string
		fault func(d *scheduler, m *cluster.Machine)
	}{
		{"no heartbeat", func(d *scheduler, m *cluster.Machine) {
			m.LastContact = m.LastContact.Add(-2 * d.settings.HeartbeatInterval)
		}},
		{"commands unanswered", func(_ *scheduler, m *cluster.Machine) { m.InFlight = maxInFlightCommands }},
		{"commands fail", func(d *scheduler, m *cluster.Machine) { d.commandsFailing[m.ID] = true }},
		{"unresponsive", func(_ *scheduler, m *cluster.Machine) { m.Unresponsive = true }},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				d := newTestScheduler(t, clustertest.Settings())
				first, second, elsewhere := addCompetingGangs(d, time.Now())
				c.fault(d, elsewhere)
				d.addAcceptedJob(urgentService())
				d.placeRound(time.Now())
				if n, _ := countStopping(first); n != 0 {
					t.Errorf("%d tasks are stopped of the gang that can't save, want none", n)
				}
				if n, saving := countStopping(second); n != 3 || saving != 3 {
					t.Errorf("%d tasks are stopped of the gang that can save, %d with time to; want all 3", n, saving)
				}
			})
		})
	}
}

// If no gang can save, one is stopped without a grace period: waiting for a checkpoint that fails would only delay
// the preemption.
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
			t.Errorf("stopped %d and %d tasks, %d and %d with time to save; want 3 of one gang, none with time", n1, n2, saving1, saving2)
		}
	})
}

// On a spot notice a gang that can't save in time keeps running, because it may reach another checkpoint before.
func TestSpotNoticeStopsOnlyGangThatCanSave(t *testing.T) {
	for _, reachable := range []bool{true, false} {
		t.Run(fmt.Sprintf("reachable=%v", reachable), func(t *testing.T) {
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
					t.Errorf("%d tasks are stopped, %d with time to save; want all 3 if reachable, else none", n, saving)
				}
			})
		})
	}
}
