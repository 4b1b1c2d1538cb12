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

// The operators' list of troubles that broke rules where two of them met. Each
// scenario brings one combination of faults about; the simulation watches the rules all the while:
// launch checks places, limits and doubles, watch what outlives a cancel, look
// what users are told. docs/combined-faults.md names the code that guards each.

// combination is a scenario of faults that meet.
type combination struct {
	name  string
	story func(sim *simulation)
}

// leaderCombinations are those of leaders, the state service and the links between them.
var leaderCombinations = []combination{
	{"a transaction whose answer alone is lost", func(sim *simulation) {
		sim.submit(lasting("000001", 3, 40*time.Second))
		sim.submit(clustertest.Service("000002", 2))
		sim.runs("000002", 2)
		for range 4 {
			sim.state.Update(func(s *storagetest.Service) { s.LoseAnswers = 3 })
			sim.submit(clustertest.Service("000003", 1))
			sim.cancel("000002")
			sim.askEverywhere("000003")
			sim.askEverywhere("000002")
			sim.crash(sim.awaitLeader(), 2*time.Second)
		}
		sim.done("000001")
		sim.gone("000002")
	}},
	{"a cut zone with a controller, beyond the lease", func(sim *simulation) {
		sim.submit(onZone("000001", "b", 4))
		sim.submit(onZone("000002", "b", 4))
		sim.runs("000001", 4)
		sim.runs("000002", 4)
		sim.leadOutside("b")
		time.Sleep(2 * sim.settings.WorkerLease)
		sim.cutZone("b")
		time.Sleep(sim.settings.WorkerLease / 2)
		sim.cancel("000001")
		time.Sleep(sim.settings.CancelTimeout + sim.settings.WorkerLease)
		sim.cutZone("")
		sim.runs("000002", 4)
	}},
	{"transactions carried out late, after newer ones", func(sim *simulation) {
		sim.lateWrites(4, 2*time.Second)
		for i := range 12 {
			id := fmt.Sprintf("%06d", i+1)
			sim.submit(lasting(id, 2, 15*time.Second))
			if i%4 == 1 {
				sim.cancel(id)
			}
			if i%4 == 3 {
				sim.crash(sim.awaitLeader(), time.Second)
			}
			sim.askEverywhere(id)
		}
		sim.lateWrites(0, 0)
		for i := range 12 {
			if i%4 != 1 {
				sim.done(fmt.Sprintf("%06d", i+1))
			}
		}
	}},
	{"handing over and back, all end, one returns at once", func(sim *simulation) {
		sim.submit(clustertest.Service("000001", 3))
		sim.submit(lasting("000002", 3, time.Minute))
		sim.runs("000001", 3)
		for range 3 {
			a := sim.awaitLeader()
			a.kill()
			time.Sleep(300 * time.Millisecond)
			a.start()
			sim.awaitLeader().node.resign(sim.awaitLeader().node.view.Load().role.Term)
			time.Sleep(2 * time.Second)
		}
		for _, n := range sim.nodes {
			n.kill()
		}
		time.Sleep(500 * time.Millisecond)
		sim.nodes[1].start()
		sim.askEverywhere("000001")
		sim.cancel("000001")
		time.Sleep(time.Second)
		sim.nodes[0].start()
		sim.nodes[2].start()
		sim.askEverywhere("000001")
		sim.gone("000001")
		sim.done("000002")
	}},
	{"a slow state service, then the leader alone refused, then all", func(sim *simulation) {
		for i := range 4 {
			sim.submit(clustertest.Service(fmt.Sprintf("%06d", i+1), 2))
			sim.runs(fmt.Sprintf("%06d", i+1), 2)
		}
		sim.state.Update(func(s *storagetest.Service) { s.Slow = 400 * time.Millisecond })
		sim.cancel("000001")
		time.Sleep(10 * time.Second)
		sim.state.Update(func(s *storagetest.Service) { s.Slow = 0 })
		old := sim.refuseLeader()
		go sim.askNode(old, api.OpCancel, "000002", storage.Spec{})
		sim.cancel("000003")
		sim.askEverywhere("000003")
		sim.outage(sim.settings.CancelTimeout + 10*time.Second)
		old.cutState.Store(false)
		sim.cancel("000002")
		sim.gone("000001")
		sim.gone("000002")
		sim.gone("000003")
		sim.runs("000004", 2)
	}},
	{"a leader without store and peers, with workers and users", func(sim *simulation) {
		sim.submit(clustertest.Service("000001", 2))
		sim.submit(clustertest.Service("000002", 2))
		sim.submit(clustertest.Service("000003", 2)) // the successor must not start it anew while it runs
		sim.runs("000001", 2)
		sim.runs("000002", 2)
		sim.runs("000003", 2)
		old := sim.awaitLeader()
		for _, wk := range sim.all() {
			wk.only.Store(old)
		}
		old.cutPeers.Store(true)
		old.cutState.Store(true)
		for range 20 {
			sim.askNode(old, api.OpPoll, "000001", storage.Spec{})
			sim.askNode(old, api.OpCancel, "000002", storage.Spec{})
			time.Sleep(200 * time.Millisecond)
		}
		sim.cancel("000001")
		for range 60 {
			sim.askEverywhere("000001")
			time.Sleep(time.Second)
		}
		sim.gone("000001")
		for _, wk := range sim.all() {
			wk.only.Store(nil)
		}
		old.cutPeers.Store(false)
		old.cutState.Store(false)
		sim.cancel("000002")
		sim.gone("000002")
		sim.runs("000003", 2)
	}},
	{"all controllers away, beyond the lease", func(sim *simulation) {
		sim.submit(clustertest.Service("000001", 3))
		sim.submit(lasting("000002", 3, 30*time.Second))
		sim.submit(clustertest.Service("000003", 2))
		sim.runs("000003", 2)
		sim.cancel("000003")
		for _, n := range sim.nodes {
			n.kill()
		}
		time.Sleep(2 * sim.settings.WorkerLease)
		for _, n := range sim.nodes {
			n.start()
		}
		sim.askEverywhere("000003")
		sim.runs("000001", 3)
		sim.done("000002")
	}},
	{"a leader ends while long tasks can't be reached or don't hear", func(sim *simulation) {
		sim.submit(lasting("000001", 6, 3*time.Minute))
		sim.submit(clustertest.Service("000002", 6))
		sim.runs("000001", 6)
		sim.runs("000002", 6)
		for i, wk := range sim.all() {
			switch i % 3 {
			case 0:
				wk.cut.Store(true)
			case 1:
				wk.deaf.Store(true)
			}
		}
		sim.crash(sim.awaitLeader(), time.Second)
		time.Sleep(sim.settings.WorkerLease / 2)
		sim.cancel("000002")
		time.Sleep(sim.settings.WorkerLease)
		for _, wk := range sim.all() {
			wk.cut.Store(false)
			wk.deaf.Store(false)
		}
		sim.gone("000002")
		sim.done("000001")
	}},
	{"ten leaders in two minutes, also within an outage", func(sim *simulation) {
		sim.submit(clustertest.Service("000001", 4))
		sim.submit(lasting("000002", 4, 30*time.Second))
		sim.runs("000001", 4)
		for i := range 10 {
			if i == 4 {
				sim.state.Outage(true)
			}
			for _, n := range sim.nodes {
				if v := n.node.view.Load(); n.end != nil && v.role.Leading {
					sim.crash(n, time.Second)
					break
				}
			}
			time.Sleep(10 * time.Second)
			if i == 6 {
				sim.state.Outage(false)
				sim.cancel("000001")
			}
		}
		sim.gone("000001")
		sim.done("000002")
	}},
	{"questions at all nodes right after each word", func(sim *simulation) {
		for i := range 12 {
			id := fmt.Sprintf("%06d", i+1)
			s := lasting(id, 1, 5*time.Second)
			sim.submit(s)
			sim.askEverywhere(id)
			if i%3 == 0 {
				sim.cancel(id)
				sim.askEverywhere(id)
			}
			if i%4 == 0 {
				old := sim.refuseLeader()
				sim.askEverywhere(id)
				time.Sleep(3 * time.Second)
				old.cutState.Store(false)
			}
		}
		for i := range 12 {
			if i%3 != 0 {
				id := fmt.Sprintf("%06d", i+1)
				sim.eventually("job "+id+" is done", 5*time.Minute, func() bool {
					sim.askEverywhere(id)
					return sim.poll(id).State == api.StateDone
				})
				sim.askEverywhere(id)
			}
		}
	}},
	{"cancels in the seconds in which a controller's work changes hands", func(sim *simulation) {
		for i := range 6 {
			sim.submit(clustertest.Service(fmt.Sprintf("%06d", i+1), 2))
		}
		for i := range 6 {
			sim.runs(fmt.Sprintf("%06d", i+1), 2)
		}
		for i := range 6 {
			id := fmt.Sprintf("%06d", i+1)
			old := sim.awaitLeader()
			go sim.askNode(old, api.OpCancel, id, storage.Spec{})
			switch i % 3 {
			case 0:
				old.kill()
			case 1:
				old.node.resign(old.node.view.Load().role.Term)
			case 2:
				old.cutState.Store(true)
			}
			sim.cancel(id)
			sim.askEverywhere(id)
			old.cutState.Store(false)
			if old.end == nil {
				old.start()
			}
			time.Sleep(2 * time.Second)
		}
		for i := range 6 {
			sim.gone(fmt.Sprintf("%06d", i+1))
		}
	}},
	{"cancels, questions and repeats at the end of a last task", func(sim *simulation) {
		for i := range 40 {
			id := fmt.Sprintf("%06d", i+1)
			sim.submit(lasting(id, 1, 10*time.Second))
			sim.runs(id, 1)
			time.Sleep(9900*time.Millisecond + time.Duration(i)*10*time.Millisecond)
			sim.askEverywhere(id)
			sim.eventually("a final state", time.Minute, func() bool {
				a := sim.ask(api.OpCancel, id, storage.Spec{})
				return a.Final()
			})
			sim.askEverywhere(id)
		}
	}},
}

func TestCombinedFaults(t *testing.T) {
	for _, m := range slices.Concat(leaderCombinations, machineCombinations) {
		t.Run(m.name, func(t *testing.T) { inSimulation(t, m.story) })
	}
}
