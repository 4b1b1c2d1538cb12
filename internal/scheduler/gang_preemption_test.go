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

// The scheduler preempts other tasks for a gang only if this frees enough resources for all tasks of the gang. Otherwise it
// stops no task.
func TestGangPreemptionIsAllOrNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sched := newTestScheduler(t, clustertest.Settings())
		lowPriority := arrayWithRuntime("000001", 8, time.Hour)
		lowPriority.Priority, lowPriority.Resources = storage.PriorityBestEffort, storage.Resources{CPUs: 4, MemoryGB: 8}
		j := sched.addAcceptedJob(lowPriority)
		for i := range 4 {
			m := sched.addReadyMachine(i, "cpu", "a", false)
			for k := range 2 {
				sched.addRunningAttempt(j, 2*i+k, uint64(1+2*i+k), m)
			}
		}
		sched.addAcceptedJob(gangSpec("000002", 17)) // one task more than fits on all machines
		sched.placeRound(time.Now())
		if n, _ := countStopping(j); n != 0 {
			t.Errorf("%d tasks are stopped for a gang that doesn't fit, want none", n)
		}
		gang := sched.addAcceptedJob(gangSpec("000003", 5))
		sched.state.Jobs.Get("000002").RetryAfter = time.Now().Add(time.Hour)
		time.Sleep(time.Second)
		sched.placeRound(time.Now())
		if n, _ := countStopping(j); n != 3 || len(gang.Attempts) != 0 {
			t.Errorf("got %d running tasks of 4 CPUs stopped and %d tasks placed for a gang of five tasks of 2 CPUs, want 3 and none", n, len(gang.Attempts))
		}
		time.Sleep(time.Second)
		sched.placeRound(time.Now())
		if n, _ := countStopping(j); n != 3 {
			t.Errorf("%d tasks are stopped after another round, want still 3", n)
		}
		for _, a := range j.GangAttempts() {
			if a.Stopping {
				sched.removeAttempt(a, "stopped")
			}
		}
		sched.placeRound(time.Now())
		if len(gang.Attempts) != 5 {
			t.Errorf("%d tasks are placed, want 5", len(gang.Attempts))
		}
	})
}

// All tasks of a preempted gang are stopped together, with a grace period in which they save a checkpoint.
func TestPreemptedGangGetsTimeToSave(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sched := newTestScheduler(t, clustertest.Settings())
		gang := sched.addAcceptedJob(gangSpec("000001", 4))
		var machines []*cluster.Machine
		for i := range 2 {
			machines = append(machines, sched.addReadyMachine(i, "cpu", "a", false))
		}
		for i := range 4 {
			sched.addRunningAttempt(gang, i, 9, machines[i/2])
		}
		gang.Gang.Started = true
		sched.addAcceptedJob(urgentService())
		sched.placeRound(time.Now())
		for _, a := range gang.GangAttempts() {
			if !a.Stopping || a.GraceSeconds != gang.Spec.SaveS || !a.StopCommanded {
				t.Errorf("attempt of task %d is %+v, want a stop with a grace period of %v s", a.Task, a, gang.Spec.SaveS)
			}
		}
	})
}

// addCompetingGangs adds four machines and two running gangs of three tasks each. The first two tasks of each gang fill one
// machine, and the third task runs on another machine. addCompetingGangs also returns the machine of the first gang's third
// task.
func addCompetingGangs(sched *scheduler, now time.Time) (first, second *cluster.Job, thirdTaskMachine *cluster.Machine) {
	for m := 1; m <= 4; m++ {
		sched.addReadyMachine(m, "cpu", "a", false)
	}
	add := func(id string, number uint64, machines ...int) *cluster.Job {
		spec := gangSpec(id, 3)
		spec.Resources, spec.Priority = storage.Resources{CPUs: 4, MemoryGB: 8}, storage.PriorityNormal
		j := sched.addAcceptedJob(spec)
		for i, m := range machines {
			sched.addAttempt(&cluster.Attempt{Job: j, Task: i, Number: number, Machine: sched.state.Machines.Get(m), Incarnation: 1, ThisTerm: true, Durable: true, Reported: true,
				State: worker.Running, ReservedAt: now, Started: now.Add(-time.Minute)})
		}
		j.Gang.Started = true
		return j
	}
	first, second = add("000001", 8, 1, 1, 3), add("000002", 9, 2, 2, 4)
	return first, second, sched.state.Machines.Get(3)
}

// urgentService returns the specification of a service that needs a whole machine of type cpu.
func urgentService() storage.Spec {
	s := clustertest.Service("000009", 1)
	s.Resources = storage.Resources{CPUs: 8, MemoryGB: 8}
	return s
}

// countStopping returns how many attempts of a job are being stopped, and how many of these have a grace period to save a
// checkpoint.
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

// All tasks of a gang must receive their stop commands within gang_peer_s of the first command, or the gang's checkpoint is
// lost. If commands to one of the gang's machines may be late, the scheduler preempts another gang if it can.
func TestPreemptionSparesGangThatCannotSave(t *testing.T) {
	for _, c := range []struct {
		name  string
		fault func(sched *scheduler, m *cluster.Machine)
	}{
		{"no heartbeat", func(sched *scheduler, m *cluster.Machine) {
			m.LastContact = m.LastContact.Add(-2 * sched.settings.HeartbeatInterval)
		}},
		{"commands unanswered", func(_ *scheduler, m *cluster.Machine) { m.InFlight = maxInFlightCommands }},
		{"commands fail", func(sched *scheduler, m *cluster.Machine) { sched.unreachableMachines[m.ID] = true }},
		{"unresponsive", func(_ *scheduler, m *cluster.Machine) { m.Unresponsive = true }},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				sched := newTestScheduler(t, clustertest.Settings())
				first, second, thirdTaskMachine := addCompetingGangs(sched, time.Now())
				c.fault(sched, thirdTaskMachine)
				sched.addAcceptedJob(urgentService())
				sched.placeRound(time.Now())
				if n, _ := countStopping(first); n != 0 {
					t.Errorf("%d tasks of the gang that can't save a checkpoint are stopped, want none", n)
				}
				if n, saving := countStopping(second); n != 3 || saving != 3 {
					t.Errorf("%d tasks of the gang that can save a checkpoint are stopped, %d with a grace period; want all 3", n, saving)
				}
			})
		})
	}
}

// If no gang can save a checkpoint, the scheduler stops one gang without a grace period. Waiting for a checkpoint that fails
// would only delay the preemption.
func TestGangThatCannotSaveIsStoppedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sched := newTestScheduler(t, clustertest.Settings())
		first, second, thirdTaskMachine := addCompetingGangs(sched, time.Now())
		thirdTaskMachine.InFlight = maxInFlightCommands
		sched.state.Machines.Get(4).InFlight = maxInFlightCommands
		sched.addAcceptedJob(urgentService())
		sched.placeRound(time.Now())
		n1, saving1 := countStopping(first)
		n2, saving2 := countStopping(second)
		if n1+n2 != 3 || saving1+saving2 != 0 {
			t.Errorf("stopped %d and %d tasks, %d and %d with a grace period; want 3 of one gang, none with a grace period", n1, n2, saving1, saving2)
		}
	})
}

// A spot notice announces that the cloud will reclaim a machine. If stop commands may not reach a gang in time for it to save
// a checkpoint, the gang keeps running. It may still reach its next periodic checkpoint before the machine is reclaimed.
func TestSpotNoticeStopsOnlyGangThatCanSave(t *testing.T) {
	for _, reachable := range []bool{true, false} {
		t.Run(fmt.Sprintf("reachable=%v", reachable), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				sched := newTestScheduler(t, clustertest.Settings())
				first, _, thirdTaskMachine := addCompetingGangs(sched, time.Now())
				first.Spec.EstimateS = 1000
				if !reachable {
					thirdTaskMachine.InFlight = maxInFlightCommands
				}
				m := sched.state.Machines.Get(1)
				m.PreemptionAt = time.Now().Add(10 * time.Second)
				sched.drain(m, "spot notice")
				if n, saving := countStopping(first); (n == 3 && saving == 3) != reachable || !reachable && n != 0 {
					t.Errorf("%d tasks are stopped, %d with a grace period; want all 3 if reachable, else none", n, saving)
				}
			})
		})
	}
}
