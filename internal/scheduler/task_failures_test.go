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

// A job that was submitted with a mistake, beside sound ones and a machine that is truly at fault,
// and troubles that meet it. It is retried a task at a time, also by a new leader; nobody else
// suffers, and its cancellation ends it.
func TestFaultyJobIsContainedDuringFaults(t *testing.T) {
	for name, trouble := range map[string]func(sim *simulation){
		"alone":                      func(*simulation) {},
		"the leader ends":            func(sim *simulation) { sim.crash(sim.awaitLeader(), 3*time.Second) },
		"the leader stands still":    func(sim *simulation) { sim.awaitLeader().pause(8 * time.Second) },
		"an outage":                  func(sim *simulation) { sim.outage(30 * time.Second) },
		"all controllers end":        func(sim *simulation) { sim.restartAllNodes() },
		"late writes, a leader ends": func(sim *simulation) { sim.delayCommits(5, time.Second); sim.crash(sim.awaitLeader(), time.Second) },
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
				trouble(sim)
				time.Sleep(90 * time.Second)
				if n := sim.startCount() - before; n > 8 {
					t.Errorf("%d starts of a mistaken job in two minutes", n)
				}
				for id, m := range sim.awaitLeader().node.view.Load().scheduler.suspectedMachines() {
					t.Errorf("machine %d is suspected for a mistaken job: %+v", id, m)
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

// suspectedMachines are the machines that the leader suspects; it is read while nothing else happens.
func (d *scheduler) suspectedMachines() map[int]string {
	synctest.Wait()
	out := make(map[int]string)
	for _, m := range d.state.Machines.InOrder() {
		if m.Failures.Suspected() {
			out[m.ID] = fmt.Sprint(m.Failures)
		}
	}
	return out
}

// restartAllNodes ends all controllers and begins them again.
func (sim *simulation) restartAllNodes() {
	sim.killAll()
	time.Sleep(3 * time.Second)
	sim.startAll()
}

// All tasks of a job on one machine failed at once, and the job was taken for mistaken.
func TestFailuresBlameMachineOrJob(t *testing.T) {
	for name, c := range map[string]struct {
		machines []int // on which tasks of the job fail
		job      bool  // which is at fault
		faulty   int   // machines at fault, if another job has failed on machine 1
	}{
		"one machine":    {[]int{1, 1, 1, 1}, false, 1},
		"several":        {[]int{1, 2, 3}, true, 0},
		"several, mixed": {[]int{1, 1, 2, 2, 3, 4}, true, 0},
	} {
		synctest.Test(t, func(t *testing.T) {
			d := newTestScheduler(t, clustertest.Settings())
			for id := range 5 {
				d.addReadyMachine(id, "cpu", "a", false)
			}
			other, j := d.addAcceptedJob(clustertest.Array("000001", 1)), d.addAcceptedJob(clustertest.Array("000002", 8))
			booked := time.Now()
			time.Sleep(time.Second)
			d.failed(other, d.state.Machines.Get(1), booked, time.Now())
			for _, id := range c.machines {
				d.failed(j, d.state.Machines.Get(id), booked, time.Now())
			}
			faulty := 0
			for _, m := range d.state.Machines.InOrder() {
				if m.Failures.AtFault() && m.Quarantined(time.Now()) {
					faulty++
				}
			}
			if j.Failures.AtFault() != c.job || faulty != c.faulty {
				t.Errorf("%s: the job is at fault %v, %d machines are", name, j.Failures.AtFault(), faulty)
			}
		})
	}
}

// A flood of short tasks had workers remember so many that the term was given up again and again.
func TestShortTasksDoNotFillFence(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newTestScheduler(t, clustertest.Settings())
		m := d.addReadyMachine(1, "cpu", "a", false)
		start := func(spec storage.Spec) (direct int) {
			for _, task := range []int{0, 1} {
				m.InFlight = 0 // each is answered
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
			t.Errorf("%d short tasks were started directly", short)
		}
		if n := start(clustertest.Service("900000", 2)); n != 2 {
			t.Errorf("%d of 2 urgent tasks are started directly", n)
		}
		a := d.Reserve(d.addAcceptedJob(clustertest.Array("900001", 2)), 0, m, time.Now())
		a.Durable = true
		time.Sleep(time.Second)
		if orders := d.commandsFor(m, &worker.Report{Machine: 1, Incarnation: 1, Seq: m.Seq + 1, Token: d.term}, time.Now()); len(orders) != 1 || orders[0].Verb != worker.Start {
			t.Errorf("a task that isn't started directly gets %v with the report's answer", orders)
		}
	})
}
