package scheduler

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"sagevale/internal/api"
	"sagevale/internal/cluster/clustertest"
	"sagevale/internal/config"
	"sagevale/internal/storage"
)

// 120 services are submitted at once while the fleet is empty. The fleet must scale out to the size that the services
// need, and all services must run within a few boot times.
func TestScaleOutFromEmptyFleet(t *testing.T) {
	runSimulation(t, func(sim *simulation) {
		for i := range 120 {
			sim.submit(clustertest.Spread(fmt.Sprintf("%06d", i), 6))
		}
		sim.eventually("all tasks run", 90*time.Second, func() bool {
			n := 0
			for _, wk := range sim.allWorkers() {
				n += len(wk.report().Tasks)
			}
			return n >= 720
		})
		// Four tasks fit on a machine, so 180 machines are needed. While few are up, up to 90 additional ones may be launched.
		if n := len(sim.allWorkers()); n < 180 || n > 270 {
			t.Errorf("%d machines are launched, want 180 to 270", n)
		}
		sim.mu.Lock()
		defer sim.mu.Unlock()
		for name, machines := range sim.cloud.machinesByLaunch {
			if len(machines) > config.MaxLaunchMachines {
				t.Errorf("launch %s: got %d machines, want at most %d", name, len(machines), config.MaxLaunchMachines)
			}
		}
	})
}

// Preemption must free resources for each waiting task. In an earlier version, all waiting tasks counted on the same
// resources, which were being freed on one machine.
func TestPreemptionFreesResourcesForEachWaitingTask(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sched := newTestScheduler(t, clustertest.Settings())
		lowPriority := clustertest.Array("000001", 40)
		lowPriority.Priority = storage.PriorityBestEffort
		j := sched.addAcceptedJob(lowPriority)
		for i := range 10 {
			m := sched.addReadyMachine(i+1, "cpu", "a", false)
			for k := range 4 {
				sched.addRunningAttempt(j, 4*i+k, uint64(4*i+k+1), m)
			}
		}
		sched.addAcceptedJob(clustertest.Service("000002", 12))
		sched.placeRound(time.Now())
		sched.placeRound(time.Now()) // must count the resources that are already being freed
		if stopping, _ := countStopping(j); stopping != 12 {
			t.Errorf("%d tasks are stopped for 12 waiting tasks, want 12", stopping)
		}
	})
}

// A partitioned machine may be reachable again before a replacement has booted, so the leader doesn't terminate the
// machine at once. An earlier version did so, and the partition of a zone cost half of the fleet.
func TestPartitionedMachineIsNotTerminatedAtOnce(t *testing.T) {
	runSimulation(t, func(sim *simulation) {
		sim.submit(clustertest.Service("000001", 40))
		sim.eventually("the service runs", 2*time.Minute, func() bool { return len(sim.runningTasks("000001")) == 40 })
		var cutOff []*fakeWorker // only machines with tasks, because idle machines may be terminated
		for _, wk := range sim.runningTasks("000001") {
			if !wk.partitioned.Load() && len(cutOff) < 5 {
				wk.partitioned.Store(true)
				cutOff = append(cutOff, wk)
			}
		}
		time.Sleep(sim.settings.WorkerLease + 8*time.Second)
		for _, wk := range cutOff {
			if wk.dead.Load() {
				t.Errorf("machine %d is terminated while it is cut off", wk.id)
			}
			wk.partitioned.Store(false)
		}
		sim.eventually("the service runs again", time.Minute, func() bool { return len(sim.runningTasks("000001")) == 40 })
	})
}

// The record of a machine lists the machine's cached images. In an earlier version the record didn't list them. After
// a failover, replicas were then placed on machines that had to pull the images first.
func TestCachedImagesSurviveFailover(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sched, nextLeader := newTestScheduler(t, clustertest.Settings()), newTestScheduler(t, clustertest.Settings())
		m := sched.addReadyMachine(1, "cpu", "a", false)
		m.UseImage("seldom", 5, time.Now())
		if m.Recorded {
			t.Error("the machine's record isn't marked to be written after the machine has cached a new image")
		}
		if _, err := nextLeader.state.Load([]storage.Record{newRecord(t, storage.MachineKey(1), m.Record())}, time.Now()); err != nil {
			t.Fatal(err)
		}
		if image, ok := nextLeader.state.Machines.Get(1).Images["seldom"]; !ok || image.SizeGB != 5 {
			t.Errorf("images after the failover: got %+v, want image seldom of 5 GB", nextLeader.state.Machines.Get(1).Images)
		}
	})
}

// The cloud numbers its machines from 0. An earlier version used the number 0 for "no machine", so it terminated no
// machine while machine 0 was the best candidate for scale-in.
func TestMachineZeroIsTerminated(t *testing.T) {
	runSimulation(t, func(sim *simulation) {
		sim.submit(clustertest.Array("000001", 8))
		sim.eventually("the array is done", 3*time.Minute, func() bool { return sim.poll("000001").State == api.StateDone })
		sim.eventually("all machines are terminated", 2*time.Minute, func() bool {
			for _, wk := range sim.allWorkers() {
				if !wk.dead.Load() {
					return false
				}
			}
			return true
		})
		if all := sim.allWorkers(); len(all) == 0 || all[0].id != 0 {
			t.Fatal("no machine 0 was launched")
		}
	})
}
