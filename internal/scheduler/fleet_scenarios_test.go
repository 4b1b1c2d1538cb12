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
		sim.awaitRunningWithin(2*time.Minute, "000001", 1)
		repeated := false
		sim.withLock(func() {
			for _, calls := range sim.cloud.launchCalls {
				repeated = repeated || calls > 1
			}
		})
		if !repeated {
			t.Fatal("the unanswered launch wasn't repeated under its name")
		}
		if n := len(sim.allWorkers()); n > 2 {
			t.Fatalf("got %d machines for one task, want at most 2", n)
		}
	})
}

func TestMachineIsDrainedBeforeTermination(t *testing.T) {
	runSimulation(t, func(sim *simulation) {
		sim.submit(clustertest.Array("000001", 12))
		sim.submit(clustertest.Service("000002", 1))
		sim.awaitDoneWithin(5*time.Minute, "000001")
		remaining := len(sim.allWorkers())
		sim.eventually("machines are terminated", 5*time.Minute, func() bool {
			for _, wk := range sim.allWorkers() {
				if !wk.dead.Load() {
					continue
				}
				for k, task := range wk.tasks {
					if task.state != worker.Exited {
						t.Fatalf("task %v ran on terminated machine %d", k.ID, wk.id)
					}
				}
				remaining--
				wk.tasks = nil
			}
			return remaining <= 1
		})
		if n := len(sim.runningTasks("000002")); n != 1 {
			t.Fatalf("got %d running tasks of the service, want 1", n)
		}
	})
}

// Tasks on an unreachable machine count toward their team's limit until they have certainly ended. The
// simulation checks the limit at each start.
func TestTeamLimitCountsTasksOnUnreachableMachines(t *testing.T) {
	runSimulation(t, func(sim *simulation) {
		sim.submit(withLimitedTeam(clustertest.Service("000001", 2)))
		sim.awaitRunningWithin(3*time.Minute, "000001", 2)
		for _, wk := range sim.runningTasks("000001") {
			wk.partitioned.Store(true)
		}
		sim.submit(withLimitedTeam(clustertest.Array("000002", 2)))
		time.Sleep(30 * time.Second)
		for _, wk := range sim.allWorkers() {
			wk.partitioned.Store(false)
		}
		sim.awaitRunningWithin(3*time.Minute, "000001", 2)
		sim.cancel("000001")
		sim.awaitDoneWithin(3*time.Minute, "000002")
	})
}

func TestFailingTasksAreRetriedSparingly(t *testing.T) {
	runSimulation(t, func(sim *simulation) {
		sim.submit(clustertest.Array("000001", 4))
		sim.awaitRunningWithin(2*time.Minute, "000001", 4)
		for _, wk := range sim.allWorkers() {
			wk.failsTasks.Store(true) // on every machine, as if the job itself were faulty
		}
		time.Sleep(40 * time.Second)
		before := sim.startCount()
		time.Sleep(5 * time.Minute)
		if n := sim.startsSince(before); n > 60 {
			t.Errorf("got %d starts in five minutes, want at most 60", n)
		}
		for _, wk := range sim.allWorkers() {
			wk.failsTasks.Store(false)
		}
		sim.awaitDoneWithin(5*time.Minute, "000001")
	})
}

func TestSpotNoticeMovesTasks(t *testing.T) {
	runSimulation(t, func(sim *simulation) {
		spec := arrayWithRuntime("000001", 2, 100*time.Second)
		spec.Spot, spec.CheckpointS, spec.SaveS = true, 5, 1
		sim.submit(spec)
		sim.awaitRunningWithin(2*time.Minute, "000001", 2)
		notice := 10.0
		var reclaimed []*fakeWorker
		for _, wk := range sim.runningTasks("000001") {
			sim.withLock(func() { wk.spotNotice = &notice })
			reclaimed = append(reclaimed, wk)
		}
		time.Sleep(10 * time.Second)
		for _, wk := range reclaimed {
			if !wk.dead.Load() {
				for k, task := range wk.tasks {
					if task.state != worker.Exited {
						t.Errorf("task %v still runs on machine %d when its spot notice ends", k.ID, wk.id)
					}
				}
			}
			wk.dead.Store(true)
		}
		sim.awaitDoneWithin(5*time.Minute, "000001")
	})
}

func TestLaunchWithoutCapacityTriesOtherOfferings(t *testing.T) {
	runSimulation(t, func(sim *simulation) {
		sim.withLock(func() {
			sim.cloud.noCapacity = func(launch storage.LaunchRecord) bool { return launch.Zone == "a" || launch.Type == "cpu" }
		})
		sim.submit(clustertest.Service("000001", 1))
		sim.awaitRunningWithin(3*time.Minute, "000001", 1)
		spec := zonalService("000002", "a", 1)
		spec.Types = []string{"cpu"}
		sim.submit(spec)
		time.Sleep(time.Minute)
		sim.withLock(func() { sim.cloud.noCapacity = nil })
		sim.awaitRunningWithin(3*time.Minute, "000002", 1)
	})
}

func TestPlacementHonorsZoneAndSpotConstraints(t *testing.T) {
	runSimulation(t, func(sim *simulation) {
		spread, sameZone := clustertest.Service("000001", 5), clustertest.Service("000002", 3)
		spread.Spread, sameZone.SameZone = true, true
		sim.submit(spread)
		sim.submit(sameZone)
		spot := clustertest.Array("000003", 4)
		spot.Spot = true
		sim.submit(spot)
		sim.eventually("both services run and the array is done", 4*time.Minute, func() bool {
			return len(sim.runningTasks("000001")) == 5 && len(sim.runningTasks("000002")) == 3 && sim.poll("000003").State == api.StateDone
		})
	})
}

func TestSubmitRejectsInfeasibleJob(t *testing.T) {
	runSimulation(t, func(sim *simulation) {
		sim.awaitLeader()
		for name, change := range map[string]func(*storage.Spec){
			"unknown team":  func(s *storage.Spec) { s.Team = "unknown" },
			"too large":     func(s *storage.Spec) { s.Resources.CPUs = 65 },
			"unknown type":  func(s *storage.Spec) { s.Types = []string{"tpu"} },
			"over a limit":  func(s *storage.Spec) { s.Team, s.Resources.GPUs = "small", 3 },
			"limit for all": func(s *storage.Spec) { s.Team, s.Resources.GPUs, s.Service, s.Tasks = "small", 1, true, 3 },
			"unknown zone":  func(s *storage.Spec) { s.Zone = "c" },
		} {
			spec := clustertest.Array("000001", 1)
			change(&spec)
			if got := sim.request(api.OpSubmit, spec.ID, spec); got.Code != api.CodeInfeasible || got.Reason == "" {
				t.Errorf("%s: got %+v, want code %v with a reason", name, got, api.CodeInfeasible)
			}
		}
		if got := sim.poll("000001"); got.Code != api.CodeNotFound {
			t.Errorf("poll of a rejected job: got %+v, want code %v", got, api.CodeNotFound)
		}
	})
}

// Idle capacity is kept for jobs that are expected to arrive. Once no more jobs of a class arrive, no further jobs
// are expected, and all machines are terminated.
func TestIdleFleetIsScaledIn(t *testing.T) {
	runSimulation(t, func(sim *simulation) {
		for i := range 12 {
			sim.submit(clustertest.Service(fmt.Sprintf("%06d", i), 1))
			time.Sleep(10 * time.Second)
		}
		for i := range 12 {
			sim.cancel(fmt.Sprintf("%06d", i))
		}
		sim.eventually("all machines are terminated", 90*time.Second, func() bool {
			for _, wk := range sim.allWorkers() {
				if !wk.dead.Load() {
					return false
				}
			}
			return true
		})
	})
}
