package scheduler

import (
	"fmt"
	"testing"
	"time"

	"sagevale/internal/api"
	"sagevale/internal/cluster/clustertest"
	"sagevale/internal/storage"
	"sagevale/internal/worker"
)

func TestUnansweredLaunchIsRetriedIdempotently(t *testing.T) {
	runSimulation(t, func(sim *simulation) {
		sim.withLock(func() { sim.cloud.loseNextResponse = true })
		sim.submit(clustertest.Service("000001", 1))
		sim.eventually("the service runs", 2*time.Minute, func() bool { return len(sim.runningTasks("000001")) == 1 })
		repeated := false
		sim.mu.Lock()
		for _, n := range sim.cloud.launchCalls {
			repeated = repeated || n > 1
		}
		sim.mu.Unlock()
		if !repeated {
			t.Fatal("the hire wasn't repeated under its name")
		}
		if len(sim.allWorkers()) > 2 {
			t.Fatalf("%d machines for one task", len(sim.allWorkers()))
		}
	})
}

func TestMachineIsDrainedBeforeTermination(t *testing.T) {
	runSimulation(t, func(sim *simulation) {
		sim.submit(clustertest.Array("000001", 12))
		sim.submit(clustertest.Service("000002", 1))
		sim.eventually("the sweep is done", 5*time.Minute, func() bool { return sim.poll("000001").State == api.StateDone })
		grown := len(sim.allWorkers())
		sim.eventually("machines are returned", 5*time.Minute, func() bool {
			for _, wk := range sim.allWorkers() {
				if !wk.dead.Load() {
					continue
				}
				for k, task := range wk.tasks {
					if task.state != worker.Exited {
						t.Fatalf("task %v was on a returned machine", k.ID)
					}
				}
				grown--
				wk.tasks = nil
			}
			return grown <= 1
		})
		if len(sim.runningTasks("000002")) != 1 {
			t.Fatal("the service was lost")
		}
	})
}

// Tasks on a machine that has fallen silent count to their team's limit until
// their place is proved empty.
func TestTeamLimitCountsTasksOnUnreachableMachines(t *testing.T) {
	runSimulation(t, func(sim *simulation) {
		s := clustertest.Service("000001", 2)
		s.Team, s.Resources.GPUs = "small", 1
		sim.submit(s)
		sim.eventually("the service runs", 3*time.Minute, func() bool { return len(sim.runningTasks("000001")) == 2 })
		for _, wk := range sim.runningTasks("000001") {
			wk.cut.Store(true)
		}
		o := clustertest.Array("000002", 2)
		o.Team, o.Resources.GPUs = "small", 1
		sim.submit(o)
		time.Sleep(30 * time.Second)
		for _, wk := range sim.allWorkers() {
			wk.cut.Store(false)
		}
		sim.eventually("the service runs again", 3*time.Minute, func() bool { return len(sim.runningTasks("000001")) == 2 })
		sim.cancel("000001")
		sim.eventually("the sweep is done", 3*time.Minute, func() bool { return sim.poll("000002").State == api.StateDone })
	})
}

func TestFailingTasksAreRetriedSparingly(t *testing.T) {
	runSimulation(t, func(sim *simulation) {
		sim.submit(clustertest.Array("000001", 4))
		sim.eventually("machines are up", 2*time.Minute, func() bool { return len(sim.runningTasks("000001")) == 4 })
		for _, wk := range sim.allWorkers() {
			wk.failsTasks.Store(true) // now every task fails, as a mistaken job's would
		}
		time.Sleep(40 * time.Second)
		before := sim.startCount()
		time.Sleep(5 * time.Minute)
		if n := sim.startCount() - before; n > 60 {
			t.Errorf("%d starts in five minutes", n)
		}
		for _, wk := range sim.allWorkers() {
			wk.failsTasks.Store(false)
		}
		sim.eventually("the job is done", 5*time.Minute, func() bool { return sim.poll("000001").State == api.StateDone })
	})
}

func TestSpotNoticeMovesTasks(t *testing.T) {
	runSimulation(t, func(sim *simulation) {
		s := clustertest.Array("000001", 2)
		s.Spot, s.EstimateS, s.CheckpointS, s.SaveS = true, 100, 5, 1
		sim.submit(s)
		sim.eventually("the tasks run", 2*time.Minute, func() bool { return len(sim.runningTasks("000001")) == 2 })
		notice := 10.0
		var taken []*fakeWorker
		for _, wk := range sim.runningTasks("000001") {
			sim.withLock(func() { wk.spotNotice = &notice })
			taken = append(taken, wk)
		}
		time.Sleep(10 * time.Second)
		for _, wk := range taken {
			if len(wk.tasks) > 0 && !wk.dead.Load() {
				for k, task := range wk.tasks {
					if task.state != worker.Exited {
						t.Errorf("task %v is still on a machine that is taken", k.ID)
					}
				}
			}
			wk.dead.Store(true)
		}
		sim.eventually("the sweep is done", 5*time.Minute, func() bool { return sim.poll("000001").State == api.StateDone })
	})
}

func TestLaunchWithoutCapacityTriesOtherOfferings(t *testing.T) {
	runSimulation(t, func(sim *simulation) {
		sim.withLock(func() {
			sim.cloud.noCapacity = func(h storage.LaunchRecord) bool { return h.Zone == "a" || h.Type == "cpu" }
		})
		sim.submit(clustertest.Service("000001", 1))
		sim.eventually("the service runs", 3*time.Minute, func() bool { return len(sim.runningTasks("000001")) == 1 })
		s := clustertest.Service("000002", 1)
		s.Types, s.Zone = []string{"cpu"}, "a"
		sim.submit(s)
		time.Sleep(time.Minute)
		sim.withLock(func() { sim.cloud.noCapacity = nil })
		sim.eventually("it runs once there is room", 3*time.Minute, func() bool { return len(sim.runningTasks("000002")) == 1 })
	})
}

func TestPlacementHonorsZoneAndSpotConstraints(t *testing.T) {
	runSimulation(t, func(sim *simulation) {
		spread, same := clustertest.Service("000001", 5), clustertest.Service("000002", 3)
		spread.Spread, same.SameZone = true, true
		sim.submit(spread)
		sim.submit(same)
		spot := clustertest.Array("000003", 4)
		spot.Spot = true
		sim.submit(spot)
		sim.eventually("all run", 4*time.Minute, func() bool {
			return len(sim.runningTasks("000001")) == 5 && len(sim.runningTasks("000002")) == 3 && sim.poll("000003").State == api.StateDone
		})
	})
}

func TestSubmitRejectsInfeasibleJob(t *testing.T) {
	runSimulation(t, func(sim *simulation) {
		sim.awaitLeader()
		for name, change := range map[string]func(*storage.Spec){
			"unknown team":  func(s *storage.Spec) { s.Team = "strangers" },
			"too large":     func(s *storage.Spec) { s.Resources.CPUs = 65 },
			"unknown type":  func(s *storage.Spec) { s.Types = []string{"tpu"} },
			"over a limit":  func(s *storage.Spec) { s.Team, s.Resources.GPUs = "small", 3 },
			"limit for all": func(s *storage.Spec) { s.Team, s.Resources.GPUs, s.Service, s.Tasks = "small", 1, true, 3 },
			"unknown zone":  func(s *storage.Spec) { s.Zone = "c" },
		} {
			s := clustertest.Array("000001", 1)
			change(&s)
			if a := sim.request(api.OpSubmit, s.ID, s); a.Code != api.CodeInfeasible || a.Reason == "" {
				t.Errorf("%s: %+v", name, a)
			}
		}
		if a := sim.poll("000001"); a.Code != api.CodeNotFound {
			t.Errorf("a refused job is known: %+v", a)
		}
	})
}

// Room is kept for what is expected; a class that has ceased expects nothing.
func TestIdleFleetIsScaledIn(t *testing.T) {
	runSimulation(t, func(sim *simulation) {
		for i := range 12 {
			sim.submit(clustertest.Service(fmt.Sprintf("%06d", i), 1))
			time.Sleep(10 * time.Second)
		}
		for i := range 12 {
			sim.cancel(fmt.Sprintf("%06d", i))
		}
		sim.eventually("all machines are given back", 90*time.Second, func() bool {
			for _, wk := range sim.allWorkers() {
				if !wk.dead.Load() {
					return false
				}
			}
			return true
		})
	})
}
