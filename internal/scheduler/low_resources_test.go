package scheduler

import (
	"fmt"
	"testing"
	"time"

	"sagevale/internal/api"
	"sagevale/internal/cluster/clustertest"
	"sagevale/internal/config"
)

// The tests in this file run controllers with little CPU time and memory. Such controllers fall behind, but must keep all
// invariants that the simulation checks.

// lowResources gives the controllers 3.6% of a CPU, 65 MB of memory and a longer heartbeat interval.
func lowResources(s *config.Settings) {
	s.CPUShare, s.MemoryMB, s.HeartbeatInterval = 0.036, 65, 4*time.Second
}

// On a slow CPU timers fire late and each step takes longer. A controller's leadership may therefore end between a check and
// the action that depends on the check.
func TestSlowProcessorKeepsInvariants(t *testing.T) {
	for _, maxDelay := range []time.Duration{20 * time.Millisecond, 120 * time.Millisecond, 900 * time.Millisecond} {
		t.Run(maxDelay.String(), func(t *testing.T) {
			runSimulationWithSettings(t, lowResources, func(sim *simulation) {
				sim.submit(clustertest.Service("000001", 6))
				sim.awaitRunning("000001", 6)
				sim.maxLogDelay.Store(int64(maxDelay))
				for i := range 3 {
					sim.submit(arrayWithRuntime(fmt.Sprintf("%06d", 100+i), 3, time.Hour)) // cancelled below
					sim.submit(arrayWithRuntime(fmt.Sprintf("%06d", 103+i), 3, 20*time.Second))
				}
				sim.submit(gangSpec("000200", 4))
				sim.crash(sim.awaitLeader(), time.Second)
				sim.cancel("000100")
				sim.cutLeaderFromStore()
				time.Sleep(2 * sim.settings.Tuning.LeaderLease)
				sim.cancel("000101")
				for _, n := range sim.nodes {
					n.cutStore.Store(false)
				}
				sim.outage(sim.settings.WorkerLease)
				for _, n := range sim.nodes {
					n.restart()
				}
				sim.cancel("000102")
				sim.maxLogDelay.Store(0)
				for _, id := range []string{"000103", "000104", "000105", "000200"} {
					sim.awaitDone(id)
				}
				for _, id := range []string{"000100", "000101", "000102"} {
					sim.awaitStopped(id)
				}
				sim.awaitRunning("000001", 6)
			})
		})
	}
}

// When all controllers restart at once, all workers report to them at about the same time. No job is lost, and no running
// task is started again.
func TestRestartOfAllNodesKeepsTasksRunning(t *testing.T) {
	runSimulationWithSettings(t, lowResources, func(sim *simulation) {
		const jobs, tasks = 20, 8
		for i := range jobs {
			sim.submit(clustertest.Service(fmt.Sprintf("%06d", 1+i), tasks))
		}
		for i := range jobs {
			sim.awaitRunning(fmt.Sprintf("%06d", 1+i), tasks)
		}
		before := sim.startCount()
		for _, n := range sim.nodes {
			n.kill()
		}
		time.Sleep(5 * time.Second)
		sim.maxLogDelay.Store(int64(5 * time.Millisecond))
		for _, n := range sim.nodes {
			n.start()
		}
		leader := sim.awaitLeader()
		time.Sleep(2 * sim.settings.HeartbeatInterval)
		sim.maxLogDelay.Store(0)
		for i := range jobs {
			if got := sim.poll(fmt.Sprintf("%06d", 1+i)); got.State != api.StateRunning || got.Running != tasks {
				t.Errorf("two heartbeat intervals after failover: got %+v, want %d running tasks", got, tasks)
			}
		}
		if n := sim.startsSince(before); n != 0 {
			t.Errorf("got %d starts of running tasks, want none", n)
		}
		sim.submit(clustertest.Array("000900", 4))
		sim.awaitDone("000900")
		if sim.leader() != leader {
			t.Error("the leader has changed")
		}
	})
}

// A submission that would exceed the leader's memory is rejected with a retry interval. Other jobs are still accepted and
// run.
func TestSubmitBeyondMemoryReturnsBusy(t *testing.T) {
	lowMemory := func(s *config.Settings) {
		lowResources(s)
		s.MemoryMB = 16
	}
	runSimulationWithSettings(t, lowMemory, func(sim *simulation) {
		sim.submit(clustertest.Service("000001", 2)) // ensures that the leader has the machine types
		large := clustertest.Array("000002", sim.settings.MaxOpenTasks()+1)
		got := sim.requestFrom(sim.awaitLeader(), api.OpSubmit, large.ID, large)
		if got.Code != api.CodeBusy || got.RetrySeconds < 1 {
			t.Errorf("submission of %d tasks: got %+v, want code %v with a retry interval", large.Tasks, got, api.CodeBusy)
		}
		sim.submit(clustertest.Array("000003", 3))
		sim.awaitDone("000003")
		sim.awaitRunning("000001", 2)
	})
}
