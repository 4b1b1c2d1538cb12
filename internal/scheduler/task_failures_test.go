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

// A faulty job runs beside others during faults of controllers. It is retried a task at a time, also by a new leader; other jobs and
// machines are unaffected, and a cancellation ends it.
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

// suspectedMachines returns the failures of the machines that the leader suspects. It reads the scheduler's state while all goroutines
// of the simulation are blocked.
func (d *scheduler) suspectedMachines() map[int]string {
	synctest.Wait()
	suspected := make(map[int]string)
	for _, m := range d.state.Machines.InOrder() {
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

// Once, when all tasks of a job on one machine failed, the job was blamed. Failures on one machine blame the machine, those on several
// the job.
func TestFailuresBlameMachineOrJob(t *testing.T) {
	for name, c := range map[string]struct {
		machines     []int // on which tasks of the job fail, in order
		wantJob      bool  // whether the job is at fault
		wantMachines int   // number of machines at fault, if another job has failed on machine 1
	}{
		"one machine":            {machines: []int{1, 1, 1, 1}, wantMachines: 1},
		"several machines":       {machines: []int{1, 2, 3}, wantJob: true},
		"repeatedly, on several": {machines: []int{1, 1, 2, 2, 3, 4}, wantJob: true},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				d := newTestScheduler(t, clustertest.Settings())
				for id := range 5 {
					d.addReadyMachine(id, "cpu", "a", false)
				}
				other, j := d.addAcceptedJob(clustertest.Array("000001", 1)), d.addAcceptedJob(clustertest.Array("000002", 8))
				reservedAt := time.Now()
				time.Sleep(time.Second)
				d.recordTaskFailure(other, d.state.Machines.Get(1), reservedAt, time.Now())
				for _, id := range c.machines {
					d.recordTaskFailure(j, d.state.Machines.Get(id), reservedAt, time.Now())
				}
				faulty := 0
				for _, m := range d.state.Machines.InOrder() {
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

// Many short tasks once made workers retain so many attempts that the leader resigned again and again. Only some of them may be
// started directly; urgent tasks always are.
func TestShortTasksDoNotFillFence(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newTestScheduler(t, clustertest.Settings())
		m := d.addReadyMachine(1, "cpu", "a", false)
		start := func(spec storage.Spec) (direct int) {
			for _, task := range []int{0, 1} {
				m.InFlight = 0 // as if each command were answered
				a := d.Reserve(d.addAcceptedJob(spec), task, m, time.Now())
				d.startReserved([]*cluster.Attempt{a})
				if a.Delivery != cluster.DeliveryNone {
					direct++
					a.Delivery = cluster.DeliverySettled
				}
				d.removeAttempt(a, "ended")
			}
			return direct
		}
		short := 0
		for i := range maxDirectBacklog {
			short += start(clustertest.Array(fmt.Sprintf("%06d", i), 2))
		}
		if short < maxDirectBacklog/2 || short > maxDirectBacklog || m.Fence.Full() {
			t.Errorf("%d short tasks were started directly, fence full: %v; want %d to %d and room in the fence", short, m.Fence.Full(), maxDirectBacklog/2, maxDirectBacklog)
		}
		if n := start(clustertest.Service("900000", 2)); n != 2 {
			t.Errorf("%d urgent tasks are started directly, want 2", n)
		}
		a := d.Reserve(d.addAcceptedJob(clustertest.Array("900001", 2)), 0, m, time.Now())
		a.Durable = true
		time.Sleep(time.Second)
		if commands := d.commandsFor(m, &worker.Report{Machine: 1, Incarnation: 1, Seq: m.Seq + 1, Token: d.term}, time.Now()); len(commands) != 1 || commands[0].Verb != worker.Start {
			t.Errorf("commands for a task that isn't started directly are %v, want one start", commands)
		}
	})
}
