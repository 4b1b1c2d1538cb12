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

// gangStartCount returns the number of times that all tasks of a gang have started together.
func (sim *simulation) gangStartCount(id string) (n int) {
	sim.withLock(func() { n = sim.gangStarts[id] })
	return n
}

// setStuckPulling sets whether the image pulls that workers begin from now on never complete. If it isn't set, image pulls
// complete at once.
func (sim *simulation) setStuckPulling(stuck bool) {
	for _, wk := range sim.allWorkers() {
		wk.stuckPulling.Store(stuck)
	}
}

// tasksByAttempt returns the number of a job's tasks that haven't exited, by attempt number.
func (sim *simulation) tasksByAttempt(id string) map[uint64]int {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	numbers := make(map[uint64]int)
	for _, wk := range sim.workers {
		wk.advance()
		for k, t := range wk.tasks {
			if k.ID.Job == id && t.state != worker.Exited && !wk.dead.Load() {
				numbers[k.Number]++
			}
		}
	}
	return numbers
}

var gangScenarios = []struct {
	name string
	run  func(sim *simulation)
}{
	{"all tasks start and finish together", func(sim *simulation) {
		for i, n := range []int{1, 3, 16} {
			sim.submit(gangSpec(fmt.Sprintf("%06d", i+1), n))
		}
		for i := range 3 {
			id := fmt.Sprintf("%06d", i+1)
			sim.awaitDone(id)
			sim.requestFromAll(id)
			if n := sim.gangStartCount(id); n != 1 {
				sim.t.Errorf("gang %s started %d times, want once", id, n)
			}
		}
	}},
	{"tasks of a gang that has not started count neither as running nor as done", func(sim *simulation) {
		sim.submit(clustertest.Service("000001", 4))
		sim.awaitRunning("000001", 4)
		sim.setStuckPulling(true)
		sim.submit(gangSpec("000002", 3))
		sim.eventually("the gang is placed", time.Minute, func() bool { return len(sim.runningTasks("000002")) == 3 })
		if response := sim.poll("000002"); response.State != api.StatePending || response.Running != 0 {
			sim.t.Errorf("poll returns %+v, want a pending job without running tasks", response)
		}
	}},
	{"task that does not start is replaced under the same attempt number", func(sim *simulation) {
		sim.submit(clustertest.Service("000001", 8))
		sim.submit(arrayWithRuntime("000009", 16, 5*time.Minute)) // keeps the machines from being terminated
		sim.awaitRunning("000001", 8)
		sim.awaitRunning("000009", 16)
		slow := sim.machinesOf("000001")[0]
		slow.stuckPulling.Store(true)
		sim.submit(gangSpec("000002", 5))
		var placedNumber uint64 // attempt number under which the gang was placed
		sim.eventually("the gang is placed", 2*time.Minute, func() bool {
			for number := range sim.tasksByAttempt("000002") {
				placedNumber = number
			}
			return len(sim.runningTasks("000002")) == 5
		})
		sim.eventually("the gang runs", 2*time.Minute, func() bool { return sim.gangStartCount("000002") == 1 })
		for number := range sim.tasksByAttempt("000002") {
			if number != placedNumber {
				sim.t.Errorf("a task runs as attempt %d, want %d", number, placedNumber)
			}
		}
		sim.awaitDone("000002")
	}},
	{"task lost before the gang starts is replaced, task lost after the start aborts the attempt", func(sim *simulation) {
		sim.submit(clustertest.Service("000001", 8))
		sim.awaitRunning("000001", 8)
		sim.setStuckPulling(true)
		sim.submit(gangSpec("000002", 4))
		sim.eventually("the gang is placed", 2*time.Minute, func() bool { return len(sim.runningTasks("000002")) == 4 })
		sim.machinesOf("000002")[0].dead.Store(true)
		for _, wk := range sim.allWorkers() {
			wk.stuckPulling.Store(false)
			sim.withLock(func() {
				for k, t := range wk.tasks {
					if k.ID.Job == "000002" && t.state == worker.Pulling {
						t.state, t.stateSince = worker.Gathering, time.Now()
					}
				}
			})
		}
		sim.eventually("the gang runs", 3*time.Minute, func() bool { return sim.gangStartCount("000002") == 1 })
		sim.machinesOf("000002")[0].dead.Store(true)
		sim.eventually("the gang runs again", 3*time.Minute, func() bool { return sim.gangStartCount("000002") == 2 })
		sim.awaitDone("000002")
	}},
	{"leader crash between the start commands of a gang", func(sim *simulation) {
		sim.submit(clustertest.Service("000001", 8))
		sim.awaitRunning("000001", 8)
		for i := range 12 {
			id := fmt.Sprintf("%06d", 100+i)
			sim.storeSpec(gangSpec(id, 5))
			go sim.requestFrom(sim.awaitLeader(), api.OpSubmit, id, gangSpec(id, 5))
			time.Sleep(time.Duration(i) * 2 * time.Millisecond)
			sim.crash(sim.awaitLeader(), time.Second)
			sim.submit(gangSpec(id, 5))
			sim.awaitDone(id)
			if n := sim.gangStartCount(id); n > 1 {
				sim.t.Errorf("gang %s started %d times, want at most once", id, n)
			}
		}
	}},
	{"partition of a zone with half of the gang", func(sim *simulation) {
		sim.submit(zonalService("000001", "a", 8))
		sim.submit(zonalService("000002", "b", 8))
		sim.awaitRunning("000001", 8)
		sim.awaitRunning("000002", 8)
		spec := gangSpec("000003", 10)
		spec.SameZone, spec.Spread, spec.EstimateS = false, true, 60
		sim.submit(spec)
		sim.eventually("the gang runs", 3*time.Minute, func() bool { return sim.gangStartCount("000003") == 1 })
		sim.moveLeaderOutOf("b")
		sim.isolateZone("b")
		time.Sleep(2 * sim.settings.WorkerLease)
		sim.isolateZone("")
		sim.awaitDone("000003")
	}},
	{"cancelled before the gang starts, and requested again", func(sim *simulation) {
		sim.submit(clustertest.Service("000001", 4))
		sim.awaitRunning("000001", 4)
		sim.setStuckPulling(true)
		sim.submit(gangSpec("000002", 3))
		sim.eventually("the gang is placed", 2*time.Minute, func() bool { return len(sim.runningTasks("000002")) == 3 })
		sim.cancel("000002")
		sim.crash(sim.awaitLeader(), time.Second)
		sim.requestFromAll("000002")
		sim.awaitStopped("000002")
		sim.setStuckPulling(false)
		sim.requestFromAll("000002")
		if sim.gangStartCount("000002") != 0 {
			sim.t.Error("a cancelled gang started")
		}
	}},
	{"completion survives leader crashes and replayed heartbeats", func(sim *simulation) {
		sim.submit(gangSpec("000001", 6))
		sim.eventually("the gang runs", 3*time.Minute, func() bool { return sim.gangStartCount("000001") == 1 })
		sim.recordReports()
		time.Sleep(19 * time.Second)
		for range 3 {
			sim.crash(sim.awaitLeader(), time.Second)
			sim.replayReports(sim.nodes...)
		}
		sim.awaitDone("000001")
		sim.replayReports(sim.nodes...)
		sim.requestFromAll("000001")
		if n := sim.gangStartCount("000001"); n != 1 {
			sim.t.Errorf("the gang started %d times, want once", n)
		}
	}},
	{"two gangs and a stream of small jobs compete for resources", func(sim *simulation) {
		sim.withLock(func() {
			sim.cloud.noCapacity = func(h storage.LaunchRecord) bool { return len(sim.workers) >= 4 || h.Type == "gpu" || h.Zone != "a" }
		})
		for i := range 6 {
			sim.submit(arrayWithRuntime(fmt.Sprintf("%06d", i+1), 4, 10*time.Second))
		}
		sim.awaitRunning("000001", 4)
		sim.submit(gangSpec("000100", 10))
		sim.submit(gangSpec("000101", 10))
		submitted := time.Now()
		for i := range 40 {
			sim.submit(arrayWithRuntime(fmt.Sprintf("%06d", i+200), 2, 10*time.Second))
			time.Sleep(time.Second)
		}
		sim.eventually("both gangs have started", 4*time.Minute-time.Since(submitted), func() bool { return sim.gangStartCount("000100") > 0 && sim.gangStartCount("000101") > 0 })
		sim.awaitDone("000100")
		sim.awaitDone("000101")
		for i := range 40 {
			sim.awaitDone(fmt.Sprintf("%06d", i+200))
		}
	}},
	{"more tasks than fit in a transaction", func(sim *simulation) {
		s := gangSpec("000001", 400)
		s.Resources, s.SameZone = storage.Resources{CPUs: 0.1, MemoryGB: 0.1}, false
		sim.submit(s)
		sim.awaitDone("000001")
		if n := sim.gangStartCount("000001"); n != 1 {
			sim.t.Errorf("the gang started %d times, want once", n)
		}
	}},
}

func TestGangScheduling(t *testing.T) {
	for _, scenario := range gangScenarios {
		t.Run(scenario.name, func(t *testing.T) { runSimulation(t, scenario.run) })
	}
}

// A gang is rejected as infeasible if its tasks together exceed the limit of its team, or if a task fits on no type of
// machine.
func TestInfeasibleGangIsRejected(t *testing.T) {
	runSimulation(t, func(sim *simulation) {
		sim.submit(clustertest.Service("000009", 1)) // ensures that the leader has the machine types
		beyondLimit, beyondMachine := withLimitedTeam(gangSpec("000001", 3)), gangSpec("000002", 2)
		beyondMachine.Resources.CPUs = 1000
		for _, s := range []storage.Spec{beyondLimit, beyondMachine} {
			if response := sim.request(api.OpSubmit, s.ID, s); response.Code != api.CodeInfeasible {
				t.Errorf("submission of job %s: got %+v, want code %v", s.ID, response, api.CodeInfeasible)
			}
		}
		sim.submit(withLimitedTeam(gangSpec("000003", 2)))
		sim.awaitDone("000003")
	})
}

// Requests for a gang that is done return its final state.
func TestRepeatedRequestAfterGangIsDone(t *testing.T) {
	runSimulation(t, func(sim *simulation) {
		sim.submit(gangSpec("000001", 2))
		sim.awaitDone("000001")
		for _, op := range []api.Op{api.OpSubmit, api.OpCancel, api.OpPoll} {
			if response := sim.request(op, "000001", gangSpec("000001", 2)); response.Code != api.CodeOK || response.State != api.StateDone || response.Done != 2 {
				t.Errorf("request %v: got %+v, want the job done with 2 tasks", op, response)
			}
		}
	})
}

// gangSpec returns the specification of a gang whose tasks must be in one zone.
func gangSpec(id string, tasks int) storage.Spec {
	s := clustertest.Array(id, tasks)
	s.Class, s.Gang, s.SameZone, s.CheckpointS, s.SaveS = "gang", true, true, 10, 3
	return s
}
