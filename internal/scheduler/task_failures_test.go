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

// A faulty job runs beside other jobs while controllers or the key-value store fail. The leader retries the faulty
// job one task at a time, and so does its successor. Other jobs and the machines are unaffected, and the faulty job can
// be cancelled.
func TestFaultyJobIsContainedDuringFaults(t *testing.T) {
	for name, inject := range map[string]func(sim *simulation){
		"no fault":                     func(*simulation) {},
		"leader crash":                 func(sim *simulation) { sim.crash(sim.awaitLeader(), 3*time.Second) },
		"leader paused":                func(sim *simulation) { sim.awaitLeader().pause(8 * time.Second) },
		"store outage":                 func(sim *simulation) { sim.outage(30 * time.Second) },
		"all controllers crash":        func(sim *simulation) { sim.restartAllNodes() },
		"writes delayed, leader crash": func(sim *simulation) { sim.delayCommits(5, time.Second); sim.crash(sim.awaitLeader(), time.Second) },
	} {
		t.Run(name, func(t *testing.T) {
			runSimulation(t, func(sim *simulation) {
				sim.submit(clustertest.Service("000001", 6)) // two machines
				sim.submit(arrayWithRuntime("000002", 12, 10*time.Second))
				sim.awaitDone("000002")
				sim.withLock(func() { sim.failingJobs["000003"] = true })
				sim.submit(arrayWithRuntime("000003", 12, 2*time.Second))
				time.Sleep(time.Minute)
				before := sim.startCount()
				inject(sim)
				time.Sleep(90 * time.Second)
				if n := sim.startCount() - before; n > 8 {
					t.Errorf("%d starts of a faulty job in two minutes, want at most 8", n)
				}
				for id, failures := range sim.awaitLeader().node.view.Load().scheduler.suspectedMachines() {
					t.Errorf("machine %d is suspected because of a faulty job: %s", id, failures)
				}
				sim.submit(arrayWithRuntime("000004", 4, 10*time.Second))
				sim.awaitDone("000004")
				sim.awaitRunning("000001", 6)
				sim.cancel("000003")
				sim.awaitStopped("000003")
			})
		})
	}
}

// suspectedMachines returns, by machine ID, the task failures of each machine for which failures are recorded. It reads
// the scheduler's state while all other goroutines of the simulation are blocked.
func (s *scheduler) suspectedMachines() map[int]string {
	synctest.Wait()
	suspected := make(map[int]string)
	for _, m := range s.state.Machines.InOrder() {
		if m.Failures.Suspected() {
			suspected[m.ID] = fmt.Sprint(m.Failures)
		}
	}
	return suspected
}

// restartAllNodes kills all controllers and starts them again after three seconds.
func (sim *simulation) restartAllNodes() {
	sim.killAll()
	time.Sleep(3 * time.Second)
	sim.startAll()
}

// A job whose tasks fail on several machines is at fault. A job whose tasks fail on only one machine isn't at fault,
// although an earlier version took it to be. In that case the machine is at fault if tasks of another job have also
// failed on it.
func TestFailuresBlameMachineOrJob(t *testing.T) {
	for name, c := range map[string]struct {
		machines     []int // machines on which tasks of the job fail, in order
		wantJob      bool  // whether the job is at fault
		wantMachines int   // number of machines at fault; another job has failed on machine 1 before
	}{
		"one machine":            {machines: []int{1, 1, 1, 1}, wantMachines: 1},
		"several machines":       {machines: []int{1, 2, 3}, wantJob: true},
		"repeatedly, on several": {machines: []int{1, 1, 2, 2, 3, 4}, wantJob: true},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				sched := newTestScheduler(t, clustertest.Settings())
				for id := range 5 {
					sched.addReadyMachine(id, "cpu", "a", false)
				}
				otherJob, j := sched.addAcceptedJob(clustertest.Array("000001", 1)), sched.addAcceptedJob(clustertest.Array("000002", 8))
				reservedAt := time.Now()
				time.Sleep(time.Second)
				sched.recordTaskFailure(otherJob, sched.state.Machines.Get(1), reservedAt, time.Now())
				for _, id := range c.machines {
					sched.recordTaskFailure(j, sched.state.Machines.Get(id), reservedAt, time.Now())
				}
				faulty := 0
				for _, m := range sched.state.Machines.InOrder() {
					if m.Failures.AtFault() && m.Quarantined(time.Now()) {
						faulty++
					}
				}
				if j.Failures.AtFault() != c.wantJob || faulty != c.wantMachines {
					t.Errorf("job at fault: %v, machines at fault: %d; want %v, %d", j.Failures.AtFault(), faulty, c.wantJob, c.wantMachines)
				}
			})
		})
	}
}

// A worker must retain an ended attempt as long as a copy of the direct command that started the attempt may still
// arrive. The machine's Fence counts these attempts. In an earlier version, many short tasks filled the fences, and the
// leader resigned again and again. Only a limited number of tasks that aren't urgent is therefore started by direct
// commands. Urgent tasks are always started directly.
func TestShortTasksDoNotFillFence(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sched := newTestScheduler(t, clustertest.Settings())
		m := sched.addReadyMachine(1, "cpu", "a", false)
		start := func(spec storage.Spec) (direct int) {
			for _, task := range []int{0, 1} {
				m.InFlight = 0 // as if the worker had responded to each command
				a := sched.Reserve(sched.addAcceptedJob(spec), task, m, time.Now())
				sched.startReserved([]*cluster.Attempt{a})
				if a.Delivery != cluster.DeliveryNone {
					direct++
					a.Delivery = cluster.DeliverySettled
				}
				sched.removeAttempt(a, "ended")
			}
			return direct
		}
		shortStarts := 0
		for i := range maxAttemptsForDirectStarts {
			shortStarts += start(clustertest.Array(fmt.Sprintf("%06d", i), 2))
		}
		if shortStarts < maxAttemptsForDirectStarts/2 || shortStarts > maxAttemptsForDirectStarts || m.Fence.Full() {
			t.Errorf("%d short tasks were started directly, fence full: %v; want %d to %d and a fence that isn't full", shortStarts, m.Fence.Full(), maxAttemptsForDirectStarts/2, maxAttemptsForDirectStarts)
		}
		if n := start(clustertest.Service("900000", 2)); n != 2 {
			t.Errorf("%d urgent tasks are started directly, want 2", n)
		}
		a := sched.Reserve(sched.addAcceptedJob(clustertest.Array("900001", 2)), 0, m, time.Now())
		a.Durable = true
		time.Sleep(time.Second)
		if commands := sched.commandsFor(m, &worker.Report{Machine: 1, Incarnation: 1, Seq: m.Seq + 1, Token: sched.term}, time.Now()); len(commands) != 1 || commands[0].Verb != worker.Start {
			t.Errorf("commands for a task that isn't started directly are %v, want one start", commands)
		}
	})
}
