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

// Hundreds of services at once: the fleet scales out to what they need, and all run within a few boot times.
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
		// Four tasks fit a machine, which makes 180; while few machines are up, half as many again may be launched.
		if n := len(sim.allWorkers()); n < 180 || n > 270 {
			t.Errorf("%d machines are launched, want 180 to 270", n)
		}
		sim.mu.Lock()
		defer sim.mu.Unlock()
		for name, machines := range sim.cloud.launches {
			if len(machines) > config.MaxLaunchMachines {
				t.Errorf("launch %s is of %d machines, want at most %d", name, len(machines), config.MaxLaunchMachines)
			}
		}
	})
}

// Each waiting task needs resources of its own. Once all of them relied on the first machine that was being freed.
func TestPreemptionFreesResourcesForEachWaitingTask(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newTestScheduler(t, clustertest.Settings())
		low := clustertest.Array("000001", 40)
		low.Priority = storage.BestEffort
		j := d.addAcceptedJob(low)
		for i := range 10 {
			m := d.addReadyMachine(i+1, "cpu", "a", false)
			for k := range 4 {
				d.addRunningAttempt(j, 4*i+k, uint64(4*i+k+1), m)
			}
		}
		d.addAcceptedJob(clustertest.Service("000002", 12))
		d.placeRound(time.Now())
		d.placeRound(time.Now()) // counts the resources that are being freed
		if stopping, _ := countStopping(j); stopping != 12 {
			t.Errorf("%d tasks are stopped for 12 waiting ones, want 12", stopping)
		}
	})
}

// A machine behind a partition may be back sooner than another one boots. Terminating such machines at once lost half a fleet
// with the partition of a zone.
func TestPartitionedMachineIsNotTerminatedAtOnce(t *testing.T) {
	runSimulation(t, func(sim *simulation) {
		sim.submit(clustertest.Service("000001", 40))
		sim.eventually("the service runs", 2*time.Minute, func() bool { return len(sim.runningTasks("000001")) == 40 })
		var cut []*fakeWorker // with tasks: idle ones may be terminated
		for _, wk := range sim.runningTasks("000001") {
			if !wk.cut.Load() && len(cut) < 5 {
				wk.cut.Store(true)
				cut = append(cut, wk)
			}
		}
		time.Sleep(sim.settings.WorkerLease + 8*time.Second)
		for _, wk := range cut {
			if wk.dead.Load() {
				t.Errorf("machine %d is terminated while it is cut off", wk.id)
			}
			wk.cut.Store(false)
		}
		sim.eventually("the service runs again", time.Minute, func() bool { return len(sim.runningTasks("000001")) == 40 })
	})
}

// The images that a machine has cached are recorded. Without that, replicas were placed on machines that had to pull their images
// after a failover.
func TestCachedImagesSurviveFailover(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d, next := newTestScheduler(t, clustertest.Settings()), newTestScheduler(t, clustertest.Settings())
		m := d.addReadyMachine(1, "cpu", "a", false)
		m.UseImage("seldom", 5, time.Now())
		if m.Recorded {
			t.Error("a new image doesn't mark the machine to be recorded")
		}
		if _, err := next.state.Load([]storage.Record{newRecord(t, storage.MachineKey(1), m.Record())}, time.Now()); err != nil {
			t.Fatal(err)
		}
		if im, ok := next.state.Machines.Get(1).Images["seldom"]; !ok || im.SizeGB != 5 {
			t.Errorf("the next leader knows images %+v, want seldom of 5 GB", next.state.Machines.Get(1).Images)
		}
	})
}

// The cloud numbers its machines from 0, which once stood for no machine: while machine 0 was the best candidate for scale-in, none
// was terminated.
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
