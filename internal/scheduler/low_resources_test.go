package scheduler

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"sagevale/internal/api"
	"sagevale/internal/cluster"
	"sagevale/internal/cluster/clustertest"
	"sagevale/internal/config"
	"sagevale/internal/worker"
)

// Nodes with little processor and memory: they fall behind, and must keep every rule all
// the same. The simulation watches the rules.

// lowResources has the nodes run on a few hundredths of a processor.
func lowResources(s *config.Settings) {
	s.CPUShare, s.MemoryMB, s.HeartbeatInterval = 0.036, 65, 4*time.Second
}

// A process that falls behind fires its timers late and gets to each step late: between
// a check and its effect the lead may be over.
func TestSlowProcessorKeepsInvariants(t *testing.T) {
	for _, most := range []time.Duration{20 * time.Millisecond, 120 * time.Millisecond, 900 * time.Millisecond} {
		t.Run(most.String(), func(t *testing.T) {
			runSimulationWithSettings(t, lowResources, func(sim *simulation) {
				sim.submit(clustertest.Service("000001", 6))
				sim.awaitRunning("000001", 6)
				sim.maxLogDelay.Store(int64(most))
				for i := range 3 {
					sim.submit(arrayWithRuntime(fmt.Sprintf("%06d", 100+i), 3, time.Hour)) // to be cancelled
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

// All controllers come back at once, and all workers report to them in the same moments:
// nothing is lost, and nothing begins anew.
func TestRestartOfAllNodesKeepsTasksRunning(t *testing.T) {
	runSimulationWithSettings(t, lowResources, func(sim *simulation) {
		const jobs, tasks = 20, 8
		for i := range jobs {
			sim.submit(clustertest.Service(fmt.Sprintf("%06d", 1+i), tasks))
		}
		for i := range jobs {
			sim.awaitRunning(fmt.Sprintf("%06d", 1+i), tasks)
		}
		starts := sim.startCount()
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
			if a := sim.poll(fmt.Sprintf("%06d", 1+i)); a.State != api.StateRunning || a.Running != tasks {
				t.Errorf("two report intervals after the take-over: %+v", a)
			}
		}
		if got := sim.startCount(); got != starts {
			t.Errorf("%d tasks began anew", got-starts)
		}
		sim.submit(clustertest.Array("000900", 4))
		sim.awaitDone("000900")
		if sim.leader() != leader {
			t.Error("the lead changed hands")
		}
	})
}

// Work that doesn't fit into the memory is told when to come back; the rest goes on.
func TestSubmitBeyondMemoryReturnsBusy(t *testing.T) {
	runSimulationWithSettings(t, func(s *config.Settings) { lowResources(s); s.MemoryMB = 16 }, func(sim *simulation) {
		sim.submit(clustertest.Service("000001", 2)) // the machine types are known
		most := sim.settings.MaxOpenTasks()
		large := clustertest.Array("000002", most+1)
		a := sim.requestFrom(sim.awaitLeader(), api.OpSubmit, large.ID, large)
		if a.Code != api.CodeBusy || a.RetrySeconds < 1 {
			t.Errorf("a job of %d tasks is answered %+v", large.Tasks, a)
		}
		sim.submit(clustertest.Array("000003", 3))
		sim.awaitDone("000003")
		sim.awaitRunning("000001", 2)
	})
}

// An order that has waited until its sender's lead may be over isn't sent: a successor
// may have confirmed a cancel by then.
func TestStartIsNotSentAfterLeaseExpiry(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sched := newTestScheduler(t, clustertest.Settings())
		sent := make(chan time.Time, 2)
		sched.deps.Workers = sendDeadlineRecorder{sent}
		m := sched.addReadyMachine(7, "cpu", "a", false)
		a := sched.Reserve(sched.addAcceptedJob(clustertest.Service("000001", 1)), 0, m, time.Now())
		sched.startReserved([]*cluster.Attempt{a})
		if bound := <-sent; !bound.Equal(sched.role.LeaseValidUntil) {
			t.Errorf("a start is sent until %v, the lead is certain until %v", bound, sched.role.LeaseValidUntil)
		}
		a.Reported = true
		sched.stopAttempt(a, 0)
		sched.commandStops(m)
		if bound := <-sent; !bound.IsZero() {
			t.Errorf("a stop is bound by %v", bound)
		}
	})
}

// sendDeadlineRecorder tells until when orders may be sent.
type sendDeadlineRecorder struct{ sent chan time.Time }

func (b sendDeadlineRecorder) SendCommands(_ context.Context, _ string, _, _ uint64, _ []worker.Command, sendBy time.Time) (worker.Outcome, *worker.Report) {
	b.sent <- sendBy
	return worker.NotSent, nil
}
