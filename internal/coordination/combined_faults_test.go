package coordination

import (
	"fmt"
	"testing"
	"time"

	"sagevale/internal/storage"
	"sagevale/internal/storage/storagetest"
)

// The operators' list of troubles that broke rules where two of them met. Each
// scenario brings one combination of faults about; the simulation watches the rules all the while:
// launch checks places, limits and doubles, watch what outlives a cancel, look
// what users are told. docs/combined-faults.md names the code that guards each.

// crash ends a node; it is back after a while, or stays away with 0.
func (sim *simulation) crash(n *fakeNode, back time.Duration) {
	n.kill()
	if back > 0 {
		time.Sleep(back)
		n.start()
	}
}

// refuseLeader has the state service refuse the leader alone, and returns it.
func (sim *simulation) refuseLeader() *fakeNode {
	n := sim.awaitLeader()
	n.cutState.Store(true)
	return n
}

// outage takes the state service down for all, for that long.
func (sim *simulation) outage(d time.Duration) {
	sim.state.Outage(true)
	time.Sleep(d)
	sim.state.Outage(false)
}

// lateWrites has every nth transaction carried out late, without an answer.
func (sim *simulation) lateWrites(nth int, late time.Duration) {
	n := 0
	sim.state.Trouble(func(s *storagetest.Service) {
		s.Delay = func() time.Duration {
			if n++; nth > 0 && n%nth == 0 {
				return late + time.Duration(n%7)*time.Second
			}
			return 0
		}
	})
}

// keepReports begins to keep copies of all reports; replay brings them to a node again.
func (sim *simulation) keepReports() { sim.locked(func() { sim.keeping = true }) }

func (sim *simulation) replay(nodes ...*fakeNode) {
	var kept []*Report
	sim.locked(func() { kept = sim.kept })
	for _, n := range nodes {
		for _, r := range kept {
			if live := n.live.Load(); live != nil {
				copied := *r
				live.Heartbeat(sim.t.Context(), &copied)
			}
		}
	}
}

// askEverywhere asks all nodes again and again within milliseconds.
func (sim *simulation) askEverywhere(id string) {
	for range 3 {
		for _, n := range sim.nodes {
			sim.askNode(n, OpPoll, id, storage.Spec{})
			sim.askNode(n, OpSubmit, id, sim.specs[id])
		}
		time.Sleep(2 * time.Millisecond)
	}
}

// runs waits until so many tasks of a job run.
func (sim *simulation) runs(id string, tasks int) {
	sim.t.Helper()
	sim.eventually(fmt.Sprintf("%d tasks of job %s run", tasks, id), 4*time.Minute, func() bool { return len(sim.running(id)) == tasks })
}

// done waits until a job is done.
func (sim *simulation) done(id string) {
	sim.t.Helper()
	sim.eventually("job "+id+" is done", 6*time.Minute, func() bool { return sim.poll(id).State == StateDone })
}

// gone waits until a cancelled job's tasks are gone; watch has the time.
func (sim *simulation) gone(id string) {
	sim.t.Helper()
	sim.eventually("job "+id+" is gone", sim.settings.Cancel+time.Second, func() bool { return len(sim.running(id)) == 0 })
}

// onLimit is a job of the team whose limit is two accelerators.
func onLimit(spec storage.Spec) storage.Spec {
	spec.Team, spec.Room.GPUs = "small", 1
	return spec
}

// lasting is an array whose tasks run for so long.
func lasting(id string, tasks int, run time.Duration) storage.Spec {
	s := arrayJob(id, tasks)
	s.EstimateS = run.Seconds()
	return s
}

// machinesOf lists the machines that a job runs on.
func (sim *simulation) machinesOf(id string) []*fakeWorker {
	var out []*fakeWorker
	seen := make(map[int]bool)
	for _, wk := range sim.running(id) {
		if !seen[wk.id] {
			seen[wk.id] = true
			out = append(out, wk)
		}
	}
	return out
}

// The gap: the state service refuses the leader alone, another node takes over
// and confirms cancels, and then the store is down for all, for longer than
// cancel_s, while the workers go on reporting to the old leader. The second
// trouble comes from before the grant can end to well after, and the old leader
// hears its peers or not.
func TestTheGapBetweenTwoLeaders(t *testing.T) {
	life := grownSettings().Tuning.LeaderLease
	for _, peers := range []string{"heard", "cut", "restarted"} {
		for _, after := range []time.Duration{life / 2, life - 100*time.Millisecond, life + 50*time.Millisecond, life + 500*time.Millisecond, 2 * life, 4 * life} {
			t.Run(fmt.Sprintf("peers %s, outage after %v", peers, after), func(t *testing.T) {
				inSimulation(t, func(sim *simulation) {
					for _, id := range []string{"000001", "000002", "000003"} {
						sim.submit(service(id, 3))
						sim.runs(id, 3)
					}
					old := sim.awaitLeader()
					for _, wk := range sim.all() {
						wk.only.Store(old)
					}
					time.Sleep(2 * sim.settings.Report)
					old.cutState.Store(true)
					old.cutPeers.Store(peers == "cut")
					cancelled := make(chan struct{})
					go func() { // users call off as soon as anybody takes it
						defer close(cancelled)
						for end := time.Now().Add(after + time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
							for _, n := range sim.nodes {
								sim.askNode(n, OpCancel, "000001", storage.Spec{})
								sim.askNode(n, OpCancel, "000002", storage.Spec{})
							}
						}
					}()
					time.Sleep(after)
					sim.state.Outage(true)
					if peers == "restarted" {
						for _, n := range sim.nodes {
							if n != old {
								n.restart()
							}
						}
					}
					<-cancelled
					time.Sleep(sim.settings.Cancel + sim.settings.Lease)
					old.cutState.Store(false)
					old.cutPeers.Store(false)
					sim.state.Outage(false)
					for _, wk := range sim.all() {
						wk.only.Store(nil)
					}
					sim.cancel("000001")
					sim.cancel("000002")
					sim.gone("000001")
					sim.gone("000002")
					sim.runs("000003", 3)
				})
			})
		}
	}
}

// combinations are the others of the list, by name.
var combinations = []struct {
	name  string
	story func(sim *simulation)
}{
	{"a transaction whose answer alone is lost", func(sim *simulation) {
		sim.submit(lasting("000001", 3, 40*time.Second))
		sim.submit(service("000002", 2))
		sim.runs("000002", 2)
		for range 4 {
			sim.state.Trouble(func(s *storagetest.Service) { s.LoseAnswers = 3 })
			sim.submit(service("000003", 1))
			sim.cancel("000002")
			sim.askEverywhere("000003")
			sim.askEverywhere("000002")
			sim.crash(sim.awaitLeader(), 2*time.Second)
		}
		sim.done("000001")
		sim.gone("000002")
	}},
	{"zone-bound jobs and arrays lose machines", func(sim *simulation) {
		a, b, c := arrayJob("000001", 6), onZone("000002", "b", 4), lasting("000003", 5, time.Minute)
		a.SameZone, a.EstimateS, c.Spread = true, 60, true
		for _, s := range []storage.Spec{a, b, c} {
			sim.submit(s)
		}
		sim.runs("000002", 4)
		sim.runs("000001", 6)
		for i, wk := range sim.machinesOf("000001") {
			if i%2 == 0 {
				wk.dead.Store(true)
			} else {
				wk.cut.Store(true)
			}
		}
		for _, wk := range sim.machinesOf("000002")[:1] {
			wk.dead.Store(true)
		}
		time.Sleep(3 * sim.settings.Lease)
		for _, wk := range sim.all() {
			wk.cut.Store(false)
		}
		sim.runs("000002", 4)
		sim.done("000001")
		sim.done("000003")
	}},
	{"a cut zone with a controller, beyond the lease", func(sim *simulation) {
		sim.submit(onZone("000001", "b", 4))
		sim.submit(onZone("000002", "b", 4))
		sim.runs("000001", 4)
		sim.runs("000002", 4)
		sim.leadOutside("b")
		time.Sleep(2 * sim.settings.Lease)
		sim.cutZone("b")
		time.Sleep(sim.settings.Lease / 2)
		sim.cancel("000001")
		time.Sleep(sim.settings.Cancel + sim.settings.Lease)
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
	{"tasks end far apart across a change of leader", func(sim *simulation) {
		sim.submit(lasting("000001", 2, 20*time.Second))
		sim.submit(lasting("000002", 3, 20*time.Second))
		sim.runs("000002", 3)
		sim.locked(func() {
			for _, wk := range sim.workers {
				for k, t := range wk.tasks {
					if k.ID.Task > 0 {
						t.ends = t.ends.Add(time.Duration(k.ID.Task) * 40 * time.Second)
					}
				}
			}
		})
		for range 5 {
			time.Sleep(15 * time.Second)
			sim.crash(sim.awaitLeader(), 2*time.Second)
			sim.askEverywhere("000001")
			sim.askEverywhere("000002")
		}
		sim.done("000001")
		sim.done("000002")
	}},
	{"one-task jobs, four a second, a quarter cancelled", func(sim *simulation) {
		const jobs = 480
		for i := range jobs {
			s := lasting(fmt.Sprintf("%06d", i+1), 1, 5*time.Second)
			s.Room.CPUs = 0.5
			sim.submit(s)
			if i%4 == 0 {
				sim.cancel(s.ID)
			}
			if i%120 == 60 {
				sim.crash(sim.awaitLeader(), time.Second)
			}
			time.Sleep(200 * time.Millisecond)
		}
		for i := range jobs {
			if i%4 != 0 {
				sim.done(fmt.Sprintf("%06d", i+1))
			}
		}
		if n := len(sim.state.Keys("log/")); n > 400 {
			sim.t.Errorf("%d chunks are left", n)
		}
	}},
	{"handing over and back, all end, one returns at once", func(sim *simulation) {
		sim.submit(service("000001", 3))
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
			sim.submit(service(fmt.Sprintf("%06d", i+1), 2))
			sim.runs(fmt.Sprintf("%06d", i+1), 2)
		}
		sim.state.Trouble(func(s *storagetest.Service) { s.Slow = 400 * time.Millisecond })
		sim.cancel("000001")
		time.Sleep(10 * time.Second)
		sim.state.Trouble(func(s *storagetest.Service) { s.Slow = 0 })
		old := sim.refuseLeader()
		go sim.askNode(old, OpCancel, "000002", storage.Spec{})
		sim.cancel("000003")
		sim.askEverywhere("000003")
		sim.outage(sim.settings.Cancel + 10*time.Second)
		old.cutState.Store(false)
		sim.cancel("000002")
		sim.gone("000001")
		sim.gone("000002")
		sim.gone("000003")
		sim.runs("000004", 2)
	}},
	{"workers that reach no controller, but direct commands reach them", func(sim *simulation) {
		sim.submit(service("000001", 6))
		sim.submit(service("000002", 2))
		sim.runs("000001", 6)
		sim.runs("000002", 2)
		mute := sim.machinesOf("000002")
		for _, wk := range mute {
			wk.mute.Store(true)
		}
		sim.cancel("000002")
		sim.crash(sim.awaitLeader(), 3*time.Second)
		before := sim.startsSoFar()
		time.Sleep(4 * sim.settings.Lease)
		sim.gone("000002")
		if n := sim.startsSoFar() - before; n > 2*6 {
			sim.t.Errorf("%d starts while some machines are mute", n)
		}
		for id, wk := range sim.running("000001") {
			if wk.mute.Load() {
				sim.t.Errorf("%v is on a machine that can't report", id)
			}
		}
		sim.runs("000001", 6)
	}},
	{"a leader without store and peers, with workers and users", func(sim *simulation) {
		sim.submit(service("000001", 2))
		sim.submit(service("000002", 2))
		sim.submit(service("000003", 2)) // the successor must not start it anew while it runs
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
			sim.askNode(old, OpPoll, "000001", storage.Spec{})
			sim.askNode(old, OpCancel, "000002", storage.Spec{})
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
		sim.submit(service("000001", 3))
		sim.submit(lasting("000002", 3, 30*time.Second))
		sim.submit(service("000003", 2))
		sim.runs("000003", 2)
		sim.cancel("000003")
		for _, n := range sim.nodes {
			n.kill()
		}
		time.Sleep(2 * sim.settings.Lease)
		for _, n := range sim.nodes {
			n.start()
		}
		sim.askEverywhere("000003")
		sim.runs("000001", 3)
		sim.done("000002")
	}},
	{"reports held back until a new leader has acted", func(sim *simulation) {
		sim.submit(service("000001", 4))
		sim.submit(lasting("000002", 4, 20*time.Second))
		sim.runs("000001", 4)
		sim.keepReports()
		time.Sleep(3 * sim.settings.Report)
		sim.locked(func() { sim.keeping = false })
		sim.cancel("000001")
		sim.crash(sim.awaitLeader(), time.Second)
		next := sim.awaitLeader()
		sim.replay(next)
		time.Sleep(sim.settings.Report)
		sim.replay(next)
		sim.gone("000001")
		sim.done("000002")
	}},
	{"machines up within two seconds, work at once, writes lag, the leader ends", func(sim *simulation) {
		sim.locked(func() { sim.cloud.boot = 1500 * time.Millisecond })
		sim.lateWrites(3, time.Second)
		for i := range 8 {
			sim.submit(lasting(fmt.Sprintf("%06d", i+1), 4, 20*time.Second))
			time.Sleep(2 * time.Second)
			if i%2 == 1 {
				sim.crash(sim.awaitLeader(), time.Second)
			}
		}
		sim.lateWrites(0, 0)
		for i := range 8 {
			sim.done(fmt.Sprintf("%06d", i+1))
		}
	}},
	{"a leader ends while long tasks can't be reached or don't hear", func(sim *simulation) {
		sim.submit(lasting("000001", 6, 3*time.Minute))
		sim.submit(service("000002", 6))
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
		time.Sleep(sim.settings.Lease / 2)
		sim.cancel("000002")
		time.Sleep(sim.settings.Lease)
		for _, wk := range sim.all() {
			wk.cut.Store(false)
			wk.deaf.Store(false)
		}
		sim.gone("000002")
		sim.done("000001")
	}},
	{"ten leaders in two minutes, also within an outage", func(sim *simulation) {
		sim.submit(service("000001", 4))
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
	{"old reports after newer ones, of earlier sessions and attempts", func(sim *simulation) {
		sim.submit(lasting("000001", 4, 50*time.Second))
		sim.submit(service("000002", 2))
		sim.runs("000001", 4)
		sim.keepReports()
		time.Sleep(2 * sim.settings.Report)
		for _, wk := range sim.machinesOf("000001") {
			wk.cut.Store(true) // its session ends, its tasks go elsewhere
		}
		time.Sleep(2 * sim.settings.Lease)
		for _, wk := range sim.all() {
			wk.cut.Store(false)
		}
		for range 5 {
			sim.replay(sim.nodes...)
			time.Sleep(sim.settings.Report)
		}
		sim.crash(sim.awaitLeader(), time.Second)
		sim.replay(sim.nodes...)
		sim.done("000001")
		sim.runs("000002", 2)
	}},
	{"more work than room, urgent and not, over slow links", func(sim *simulation) {
		sim.locked(func() {
			sim.cloud.full = func(h storage.RentalRecord) bool { return len(sim.workers) >= 4 || h.Type == "gpu" }
		})
		sim.state.Trouble(func(s *storagetest.Service) { s.Slow = 100 * time.Millisecond })
		for i := range 10 {
			s := lasting(fmt.Sprintf("%06d", i+1), 6, 20*time.Second)
			s.Priority = storage.Priority(i % 3)
			sim.submit(s)
		}
		urgent := service("000100", 4)
		sim.submit(urgent)
		sim.runs("000100", 4)
		for i := range 10 {
			sim.done(fmt.Sprintf("%06d", i+1))
		}
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
					return sim.poll(id).State == StateDone
				})
				sim.askEverywhere(id)
			}
		}
	}},
	{"a command or its answer held up, and the machine goes on", func(sim *simulation) {
		sim.submit(service("000001", 2))
		sim.runs("000001", 2)
		for _, wk := range sim.all() {
			wk.still.Store(true)
		}
		sim.submit(service("000002", 2))
		time.Sleep(time.Second)
		sim.cancel("000001")
		sim.cancel("000002")
		time.Sleep(sim.settings.Lease * 3 / 4)
		for _, wk := range sim.all() {
			wk.still.Store(false)
			wk.catchUp()
		}
		time.Sleep(sim.settings.Cancel)
		sim.gone("000001")
		sim.gone("000002")
	}},
	{"a team at its limit, machines that can't be asked, a cancel, a new leader", func(sim *simulation) {
		sim.submit(onLimit(service("000001", 2)))
		sim.runs("000001", 2)
		sim.submit(onLimit(lasting("000002", 2, 20*time.Second)))
		for _, wk := range sim.machinesOf("000001") {
			wk.cut.Store(true)
		}
		sim.crash(sim.awaitLeader(), 2*time.Second)
		sim.cancel("000001")
		time.Sleep(sim.settings.Lease / 2)
		for _, wk := range sim.all() {
			wk.cut.Store(false)
		}
		sim.done("000002")
		sim.gone("000001")
	}},
	{"cancels in the seconds in which a controller's work changes hands", func(sim *simulation) {
		for i := range 6 {
			sim.submit(service(fmt.Sprintf("%06d", i+1), 2))
		}
		for i := range 6 {
			sim.runs(fmt.Sprintf("%06d", i+1), 2)
		}
		for i := range 6 {
			id := fmt.Sprintf("%06d", i+1)
			old := sim.awaitLeader()
			go sim.askNode(old, OpCancel, id, storage.Spec{})
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
				a := sim.ask(OpCancel, id, storage.Spec{})
				return a.final()
			})
			sim.askEverywhere(id)
		}
	}},
	{"old reports reach every controller as a new leader begins", func(sim *simulation) {
		sim.submit(service("000001", 4))
		sim.submit(lasting("000002", 4, 30*time.Second))
		sim.runs("000001", 4)
		sim.keepReports()
		time.Sleep(2 * sim.settings.Report)
		sim.done("000002")
		sim.locked(func() { sim.keeping = false })
		for range 3 {
			old := sim.awaitLeader()
			old.kill()
			for range 20 {
				sim.replay(sim.nodes...)
				time.Sleep(150 * time.Millisecond)
			}
			old.start()
		}
		before := sim.startsSoFar()
		time.Sleep(sim.settings.Lease)
		sim.runs("000001", 4)
		if sim.startsSoFar() != before {
			sim.t.Errorf("%d starts anew", sim.startsSoFar()-before)
		}
	}},
	{"every team at its limit, cancels beside cut and hung machines, a new leader", func(sim *simulation) {
		sim.submit(onLimit(service("000001", 1)))
		sim.submit(onLimit(service("000002", 1)))
		sim.runs("000001", 1)
		sim.runs("000002", 1)
		sim.submit(onLimit(lasting("000003", 3, 20*time.Second)))
		for _, wk := range sim.machinesOf("000001") {
			wk.still.Store(true)
		}
		for _, wk := range sim.machinesOf("000002") {
			wk.cut.Store(true)
		}
		sim.cancel("000001")
		sim.crash(sim.awaitLeader(), time.Second)
		sim.cancel("000002")
		time.Sleep(sim.settings.Lease * 2 / 3)
		for _, wk := range sim.all() {
			wk.cut.Store(false)
			wk.still.Store(false)
			wk.catchUp()
		}
		sim.done("000003")
	}},
}

func TestCombinedFaults(t *testing.T) {
	for _, m := range combinations {
		t.Run(m.name, func(t *testing.T) { inSimulation(t, m.story) })
	}
}
