package scheduler

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"sagevale/internal/api"
	"sagevale/internal/cluster/clustertest"
	"sagevale/internal/storage"
	"sagevale/internal/storage/storagetest"
)

// Operators listed combinations of faults that violated invariants on real machines. Each scenario reproduces one of these
// combinations while the simulation checks the invariants: fakeWorker.checkStart checks placement, limits and duplicate
// tasks, watchCancelledJobs checks cancellations, and requestFrom checks the responses to users. For each combination,
// docs/combined-faults.md names the code that guards against it.

// scenario is a named sequence of steps and faults in the simulation.
type scenario struct {
	name string
	run  func(sim *simulation)
}

// leaderFaultScenarios combines faults of leaders, of the key-value store and of the network between them.
var leaderFaultScenarios = []scenario{
	{"a transaction is applied and its response lost", func(sim *simulation) {
		sim.submit(arrayWithRuntime("000001", 3, 40*time.Second))
		sim.submit(clustertest.Service("000002", 2))
		sim.awaitRunning("000002", 2)
		for range 4 {
			sim.store.Update(func(s *storagetest.Service) { s.LoseResponses = 3 })
			sim.submit(clustertest.Service("000003", 1))
			sim.cancel("000002")
			sim.requestFromAll("000003")
			sim.requestFromAll("000002")
			sim.crash(sim.awaitLeader(), 2*time.Second)
		}
		sim.awaitDone("000001")
		sim.awaitStopped("000002")
	}},
	{"a zone with a controller isolated beyond the worker lease", func(sim *simulation) {
		sim.submit(zonalService("000001", "b", 4))
		sim.submit(zonalService("000002", "b", 4))
		sim.awaitRunning("000001", 4)
		sim.awaitRunning("000002", 4)
		sim.moveLeaderOutOf("b")
		time.Sleep(2 * sim.settings.WorkerLease)
		sim.isolateZone("b")
		time.Sleep(sim.settings.WorkerLease / 2)
		sim.cancel("000001")
		time.Sleep(sim.settings.CancelTimeout + sim.settings.WorkerLease)
		sim.isolateZone("")
		sim.awaitRunning("000002", 4)
	}},
	{"transactions applied late, after newer ones", func(sim *simulation) {
		sim.delayCommits(4, 2*time.Second)
		for i := range 12 {
			id := fmt.Sprintf("%06d", i+1)
			sim.submit(arrayWithRuntime(id, 2, 15*time.Second))
			if i%4 == 1 {
				sim.cancel(id)
			}
			if i%4 == 3 {
				sim.crash(sim.awaitLeader(), time.Second)
			}
			sim.requestFromAll(id)
		}
		sim.delayCommits(0, 0)
		for i := range 12 {
			if i%4 != 1 {
				sim.awaitDone(fmt.Sprintf("%06d", i+1))
			}
		}
	}},
	{"leadership moves back and forth, all nodes end, one restarts at once", func(sim *simulation) {
		sim.submit(clustertest.Service("000001", 3))
		sim.submit(arrayWithRuntime("000002", 3, time.Minute))
		sim.awaitRunning("000001", 3)
		for range 3 {
			leader := sim.awaitLeader()
			leader.kill()
			time.Sleep(300 * time.Millisecond)
			leader.start()
			sim.awaitLeader().node.resign(sim.awaitLeader().node.view.Load().role.Term)
			time.Sleep(2 * time.Second)
		}
		for _, n := range sim.nodes {
			n.kill()
		}
		time.Sleep(500 * time.Millisecond)
		sim.nodes[1].start()
		sim.requestFromAll("000001")
		sim.cancel("000001")
		time.Sleep(time.Second)
		sim.nodes[0].start()
		sim.nodes[2].start()
		sim.requestFromAll("000001")
		sim.awaitStopped("000001")
		sim.awaitDone("000002")
	}},
	{"a slow store, then the leader cut from it, then an outage for all", func(sim *simulation) {
		for i := range 4 {
			sim.submit(clustertest.Service(fmt.Sprintf("%06d", i+1), 2))
			sim.awaitRunning(fmt.Sprintf("%06d", i+1), 2)
		}
		sim.store.Update(func(s *storagetest.Service) { s.AddedLatency = 400 * time.Millisecond })
		sim.cancel("000001")
		time.Sleep(10 * time.Second)
		sim.store.Update(func(s *storagetest.Service) { s.AddedLatency = 0 })
		oldLeader := sim.cutLeaderFromStore()
		go sim.requestFrom(oldLeader, api.OpCancel, "000002", storage.Spec{})
		sim.cancel("000003")
		sim.requestFromAll("000003")
		sim.outage(sim.settings.CancelTimeout + 10*time.Second)
		oldLeader.cutStore.Store(false)
		sim.cancel("000002")
		sim.awaitStopped("000001")
		sim.awaitStopped("000002")
		sim.awaitStopped("000003")
		sim.awaitRunning("000004", 2)
	}},
	{"a leader without store and peers that workers and users reach", func(sim *simulation) {
		sim.submit(clustertest.Service("000001", 2))
		sim.submit(clustertest.Service("000002", 2))
		sim.submit(clustertest.Service("000003", 2)) // the next leader must not start this job's tasks again while they run
		sim.awaitRunning("000001", 2)
		sim.awaitRunning("000002", 2)
		sim.awaitRunning("000003", 2)
		oldLeader := sim.awaitLeader()
		for _, wk := range sim.allWorkers() {
			wk.onlyReachableNode.Store(oldLeader)
		}
		oldLeader.cutPeers.Store(true)
		oldLeader.cutStore.Store(true)
		for range 20 {
			sim.requestFrom(oldLeader, api.OpPoll, "000001", storage.Spec{})
			sim.requestFrom(oldLeader, api.OpCancel, "000002", storage.Spec{})
			time.Sleep(200 * time.Millisecond)
		}
		sim.cancel("000001")
		for range 60 {
			sim.requestFromAll("000001")
			time.Sleep(time.Second)
		}
		sim.awaitStopped("000001")
		for _, wk := range sim.allWorkers() {
			wk.onlyReachableNode.Store(nil)
		}
		oldLeader.cutPeers.Store(false)
		oldLeader.cutStore.Store(false)
		sim.cancel("000002")
		sim.awaitStopped("000002")
		sim.awaitRunning("000003", 2)
	}},
	{"all controllers down beyond the worker lease", func(sim *simulation) {
		sim.submit(clustertest.Service("000001", 3))
		sim.submit(arrayWithRuntime("000002", 3, 30*time.Second))
		sim.submit(clustertest.Service("000003", 2))
		sim.awaitRunning("000003", 2)
		sim.cancel("000003")
		for _, n := range sim.nodes {
			n.kill()
		}
		time.Sleep(2 * sim.settings.WorkerLease)
		for _, n := range sim.nodes {
			n.start()
		}
		sim.requestFromAll("000003")
		sim.awaitRunning("000001", 3)
		sim.awaitDone("000002")
	}},
	{"a leader ends while machines are unreachable or drop responses", func(sim *simulation) {
		sim.submit(arrayWithRuntime("000001", 6, 3*time.Minute))
		sim.submit(clustertest.Service("000002", 6))
		sim.awaitRunning("000001", 6)
		sim.awaitRunning("000002", 6)
		for i, wk := range sim.allWorkers() {
			switch i % 3 {
			case 0:
				wk.partitioned.Store(true)
			case 1:
				wk.dropsResponses.Store(true)
			}
		}
		sim.crash(sim.awaitLeader(), time.Second)
		time.Sleep(sim.settings.WorkerLease / 2)
		sim.cancel("000002")
		time.Sleep(sim.settings.WorkerLease)
		for _, wk := range sim.allWorkers() {
			wk.partitioned.Store(false)
			wk.dropsResponses.Store(false)
		}
		sim.awaitStopped("000002")
		sim.awaitDone("000001")
	}},
	{"ten leader restarts in two minutes, some within an outage", func(sim *simulation) {
		sim.submit(clustertest.Service("000001", 4))
		sim.submit(arrayWithRuntime("000002", 4, 30*time.Second))
		sim.awaitRunning("000001", 4)
		for i := range 10 {
			if i == 4 {
				sim.store.SetOutage(true)
			}
			for _, n := range sim.nodes {
				if v := n.node.view.Load(); n.cancelRun != nil && v.role.Leading {
					sim.crash(n, time.Second)
					break
				}
			}
			time.Sleep(10 * time.Second)
			if i == 6 {
				sim.store.SetOutage(false)
				sim.cancel("000001")
			}
		}
		sim.awaitStopped("000001")
		sim.awaitDone("000002")
	}},
	{"polls at all nodes right after each response", func(sim *simulation) {
		for i := range 12 {
			id := fmt.Sprintf("%06d", i+1)
			sim.submit(arrayWithRuntime(id, 1, 5*time.Second))
			sim.requestFromAll(id)
			if i%3 == 0 {
				sim.cancel(id)
				sim.requestFromAll(id)
			}
			if i%4 == 0 {
				oldLeader := sim.cutLeaderFromStore()
				sim.requestFromAll(id)
				time.Sleep(3 * time.Second)
				oldLeader.cutStore.Store(false)
			}
		}
		for i := range 12 {
			if i%3 != 0 {
				id := fmt.Sprintf("%06d", i+1)
				sim.eventually("job "+id+" is done", 5*time.Minute, func() bool {
					sim.requestFromAll(id)
					return sim.poll(id).State == api.StateDone
				})
				sim.requestFromAll(id)
			}
		}
	}},
	{"cancellations during failover", func(sim *simulation) {
		for i := range 6 {
			sim.submit(clustertest.Service(fmt.Sprintf("%06d", i+1), 2))
		}
		for i := range 6 {
			sim.awaitRunning(fmt.Sprintf("%06d", i+1), 2)
		}
		for i := range 6 {
			id := fmt.Sprintf("%06d", i+1)
			oldLeader := sim.awaitLeader()
			go sim.requestFrom(oldLeader, api.OpCancel, id, storage.Spec{})
			switch i % 3 {
			case 0:
				oldLeader.kill()
			case 1:
				oldLeader.node.resign(oldLeader.node.view.Load().role.Term)
			case 2:
				oldLeader.cutStore.Store(true)
			}
			sim.cancel(id)
			sim.requestFromAll(id)
			oldLeader.cutStore.Store(false)
			if oldLeader.cancelRun == nil {
				oldLeader.start()
			}
			time.Sleep(2 * time.Second)
		}
		for i := range 6 {
			sim.awaitStopped(fmt.Sprintf("%06d", i+1))
		}
	}},
	{"cancellations, polls and repeated submissions as the last task ends", func(sim *simulation) {
		for i := range 40 {
			id := fmt.Sprintf("%06d", i+1)
			sim.submit(arrayWithRuntime(id, 1, 10*time.Second))
			sim.awaitRunning(id, 1)
			time.Sleep(9900*time.Millisecond + time.Duration(i)*10*time.Millisecond)
			sim.requestFromAll(id)
			sim.eventually("job "+id+" is in a final state", time.Minute, func() bool {
				response := sim.request(api.OpCancel, id, storage.Spec{})
				return response.Final()
			})
			sim.requestFromAll(id)
		}
	}},
}

func TestCombinedFaults(t *testing.T) {
	for _, s := range slices.Concat(leaderFaultScenarios, machineFaultScenarios) {
		t.Run(s.name, func(t *testing.T) { runSimulation(t, s.run) })
	}
}
