package coordination

import (
	"fmt"
	"testing"
	"time"

	"sagevale/internal/storage"
	"sagevale/internal/storage/storagetest"
)

// The operators' list of troubles that broke rules where two of them met. Each
// story brings one meeting about; the world watches the rules all the while:
// launch checks places, limits and doubles, watch what outlives a cancel, look
// what users are told. docs/meetings.md names the code that guards each.

// crash ends a node; it is back after a while, or stays away with 0.
func (w *world) crash(n *fakeNode, back time.Duration) {
	n.kill()
	if back > 0 {
		time.Sleep(back)
		n.start()
	}
}

// refuseLeader has the state service refuse the leader alone, and returns it.
func (w *world) refuseLeader() *fakeNode {
	n := w.awaitLeader()
	n.cutState.Store(true)
	return n
}

// outage takes the state service down for all, for that long.
func (w *world) outage(d time.Duration) {
	w.state.Outage(true)
	time.Sleep(d)
	w.state.Outage(false)
}

// lateWrites has every nth transaction carried out late, without an answer.
func (w *world) lateWrites(nth int, late time.Duration) {
	n := 0
	w.state.Trouble(func(s *storagetest.Service) {
		s.Late = func() time.Duration {
			if n++; nth > 0 && n%nth == 0 {
				return late + time.Duration(n%7)*time.Second
			}
			return 0
		}
	})
}

// keep begins to keep copies of all reports; replay brings them to a node again.
func (w *world) keep() { w.locked(func() { w.keeping = true }) }

func (w *world) replay(nodes ...*fakeNode) {
	var kept []*Report
	w.locked(func() { kept = w.kept })
	for _, n := range nodes {
		for _, r := range kept {
			if live := n.live.Load(); live != nil {
				copied := *r
				live.Beat(w.t.Context(), &copied)
			}
		}
	}
}

// closeLook asks all nodes again and again within milliseconds.
func (w *world) closeLook(id string) {
	for range 3 {
		for _, n := range w.nodes {
			w.look(n, OpPoll, id, storage.Spec{})
			w.look(n, OpSubmit, id, w.specs[id])
		}
		time.Sleep(2 * time.Millisecond)
	}
}

// runs waits until so many tasks of a job run.
func (w *world) runs(id string, tasks int) {
	w.t.Helper()
	w.eventually(fmt.Sprintf("%d tasks of job %s run", tasks, id), 4*time.Minute, func() bool { return len(w.running(id)) == tasks })
}

// done waits until a job is done.
func (w *world) done(id string) {
	w.t.Helper()
	w.eventually("job "+id+" is done", 6*time.Minute, func() bool { return w.poll(id).State == StateDone })
}

// gone waits until a cancelled job's tasks are gone; watch has the time.
func (w *world) gone(id string) {
	w.t.Helper()
	w.eventually("job "+id+" is gone", w.settings.Cancel+time.Second, func() bool { return len(w.running(id)) == 0 })
}

// onLimit is a job of the team whose limit is two accelerators.
func onLimit(spec storage.Spec) storage.Spec {
	spec.Team, spec.Room.GPUs = "small", 1
	return spec
}

// lasting is a sweep whose tasks run for so long.
func lasting(id string, tasks int, run time.Duration) storage.Spec {
	s := sweep(id, tasks)
	s.EstimateS = run.Seconds()
	return s
}

// machinesOf lists the machines that a job runs on.
func (w *world) machinesOf(id string) []*fakeWorker {
	var out []*fakeWorker
	seen := make(map[int]bool)
	for _, wk := range w.running(id) {
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
				inWorld(t, func(w *world) {
					for _, id := range []string{"000001", "000002", "000003"} {
						w.submit(service(id, 3))
						w.runs(id, 3)
					}
					old := w.awaitLeader()
					for _, wk := range w.all() {
						wk.only.Store(old)
					}
					time.Sleep(2 * w.settings.Report)
					old.cutState.Store(true)
					old.cutPeers.Store(peers == "cut")
					cancelled := make(chan struct{})
					go func() { // users call off as soon as anybody takes it
						defer close(cancelled)
						for end := time.Now().Add(after + time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
							for _, n := range w.nodes {
								w.look(n, OpCancel, "000001", storage.Spec{})
								w.look(n, OpCancel, "000002", storage.Spec{})
							}
						}
					}()
					time.Sleep(after)
					w.state.Outage(true)
					if peers == "restarted" {
						for _, n := range w.nodes {
							if n != old {
								n.restart()
							}
						}
					}
					<-cancelled
					time.Sleep(w.settings.Cancel + w.settings.Lease)
					old.cutState.Store(false)
					old.cutPeers.Store(false)
					w.state.Outage(false)
					for _, wk := range w.all() {
						wk.only.Store(nil)
					}
					w.cancel("000001")
					w.cancel("000002")
					w.gone("000001")
					w.gone("000002")
					w.runs("000003", 3)
				})
			})
		}
	}
}

// meetings are the others of the list, by name.
var meetings = []struct {
	name  string
	story func(w *world)
}{
	{"a transaction whose answer alone is lost", func(w *world) {
		w.submit(lasting("000001", 3, 40*time.Second))
		w.submit(service("000002", 2))
		w.runs("000002", 2)
		for range 4 {
			w.state.Trouble(func(s *storagetest.Service) { s.LoseAnswers = 3 })
			w.submit(service("000003", 1))
			w.cancel("000002")
			w.closeLook("000003")
			w.closeLook("000002")
			w.crash(w.awaitLeader(), 2*time.Second)
		}
		w.done("000001")
		w.gone("000002")
	}},
	{"zone-bound jobs and arrays lose machines", func(w *world) {
		a, b, c := sweep("000001", 6), onZone("000002", "b", 4), lasting("000003", 5, time.Minute)
		a.SameZone, a.EstimateS, c.Spread = true, 60, true
		for _, s := range []storage.Spec{a, b, c} {
			w.submit(s)
		}
		w.runs("000002", 4)
		w.runs("000001", 6)
		for i, wk := range w.machinesOf("000001") {
			if i%2 == 0 {
				wk.dead.Store(true)
			} else {
				wk.cut.Store(true)
			}
		}
		for _, wk := range w.machinesOf("000002")[:1] {
			wk.dead.Store(true)
		}
		time.Sleep(3 * w.settings.Lease)
		for _, wk := range w.all() {
			wk.cut.Store(false)
		}
		w.runs("000002", 4)
		w.done("000001")
		w.done("000003")
	}},
	{"a cut zone with a controller, beyond the lease", func(w *world) {
		w.submit(onZone("000001", "b", 4))
		w.submit(onZone("000002", "b", 4))
		w.runs("000001", 4)
		w.runs("000002", 4)
		w.leadOutside("b")
		time.Sleep(2 * w.settings.Lease)
		w.cutZone("b")
		time.Sleep(w.settings.Lease / 2)
		w.cancel("000001")
		time.Sleep(w.settings.Cancel + w.settings.Lease)
		w.cutZone("")
		w.runs("000002", 4)
	}},
	{"transactions carried out late, after newer ones", func(w *world) {
		w.lateWrites(4, 2*time.Second)
		for i := range 12 {
			id := fmt.Sprintf("%06d", i+1)
			w.submit(lasting(id, 2, 15*time.Second))
			if i%4 == 1 {
				w.cancel(id)
			}
			if i%4 == 3 {
				w.crash(w.awaitLeader(), time.Second)
			}
			w.closeLook(id)
		}
		w.lateWrites(0, 0)
		for i := range 12 {
			if i%4 != 1 {
				w.done(fmt.Sprintf("%06d", i+1))
			}
		}
	}},
	{"tasks end far apart across a change of leader", func(w *world) {
		w.submit(lasting("000001", 2, 20*time.Second))
		w.submit(lasting("000002", 3, 20*time.Second))
		w.runs("000002", 3)
		w.locked(func() {
			for _, wk := range w.workers {
				for k, t := range wk.tasks {
					if k.ID.Task > 0 {
						t.ends = t.ends.Add(time.Duration(k.ID.Task) * 40 * time.Second)
					}
				}
			}
		})
		for range 5 {
			time.Sleep(15 * time.Second)
			w.crash(w.awaitLeader(), 2*time.Second)
			w.closeLook("000001")
			w.closeLook("000002")
		}
		w.done("000001")
		w.done("000002")
	}},
	{"one-task jobs, four a second, a quarter cancelled", func(w *world) {
		const jobs = 480
		for i := range jobs {
			s := lasting(fmt.Sprintf("%06d", i+1), 1, 5*time.Second)
			s.Room.CPUs = 0.5
			w.submit(s)
			if i%4 == 0 {
				w.cancel(s.ID)
			}
			if i%120 == 60 {
				w.crash(w.awaitLeader(), time.Second)
			}
			time.Sleep(200 * time.Millisecond)
		}
		for i := range jobs {
			if i%4 != 0 {
				w.done(fmt.Sprintf("%06d", i+1))
			}
		}
		if n := len(w.state.Keys("log/")); n > 400 {
			w.t.Errorf("%d chunks are left", n)
		}
	}},
	{"handing over and back, all end, one returns at once", func(w *world) {
		w.submit(service("000001", 3))
		w.submit(lasting("000002", 3, time.Minute))
		w.runs("000001", 3)
		for range 3 {
			a := w.awaitLeader()
			a.kill()
			time.Sleep(300 * time.Millisecond)
			a.start()
			w.awaitLeader().node.resign(w.awaitLeader().node.view.Load().role.Term)
			time.Sleep(2 * time.Second)
		}
		for _, n := range w.nodes {
			n.kill()
		}
		time.Sleep(500 * time.Millisecond)
		w.nodes[1].start()
		w.closeLook("000001")
		w.cancel("000001")
		time.Sleep(time.Second)
		w.nodes[0].start()
		w.nodes[2].start()
		w.closeLook("000001")
		w.gone("000001")
		w.done("000002")
	}},
	{"a slow state service, then the leader alone refused, then all", func(w *world) {
		for i := range 4 {
			w.submit(service(fmt.Sprintf("%06d", i+1), 2))
			w.runs(fmt.Sprintf("%06d", i+1), 2)
		}
		w.state.Trouble(func(s *storagetest.Service) { s.Slow = 400 * time.Millisecond })
		w.cancel("000001")
		time.Sleep(10 * time.Second)
		w.state.Trouble(func(s *storagetest.Service) { s.Slow = 0 })
		old := w.refuseLeader()
		go w.look(old, OpCancel, "000002", storage.Spec{})
		w.cancel("000003")
		w.closeLook("000003")
		w.outage(w.settings.Cancel + 10*time.Second)
		old.cutState.Store(false)
		w.cancel("000002")
		w.gone("000001")
		w.gone("000002")
		w.gone("000003")
		w.runs("000004", 2)
	}},
	{"workers that reach no controller, but direct commands reach them", func(w *world) {
		w.submit(service("000001", 6))
		w.submit(service("000002", 2))
		w.runs("000001", 6)
		w.runs("000002", 2)
		mute := w.machinesOf("000002")
		for _, wk := range mute {
			wk.mute.Store(true)
		}
		w.cancel("000002")
		w.crash(w.awaitLeader(), 3*time.Second)
		before := w.startsSoFar()
		time.Sleep(4 * w.settings.Lease)
		w.gone("000002")
		if n := w.startsSoFar() - before; n > 2*6 {
			w.t.Errorf("%d starts while some machines are mute", n)
		}
		for id, wk := range w.running("000001") {
			if wk.mute.Load() {
				w.t.Errorf("%v is on a machine that can't report", id)
			}
		}
		w.runs("000001", 6)
	}},
	{"a leader without store and peers, with workers and users", func(w *world) {
		w.submit(service("000001", 2))
		w.submit(service("000002", 2))
		w.submit(service("000003", 2)) // the successor must not start it anew while it runs
		w.runs("000001", 2)
		w.runs("000002", 2)
		w.runs("000003", 2)
		old := w.awaitLeader()
		for _, wk := range w.all() {
			wk.only.Store(old)
		}
		old.cutPeers.Store(true)
		old.cutState.Store(true)
		for range 20 {
			w.look(old, OpPoll, "000001", storage.Spec{})
			w.look(old, OpCancel, "000002", storage.Spec{})
			time.Sleep(200 * time.Millisecond)
		}
		w.cancel("000001")
		for range 60 {
			w.closeLook("000001")
			time.Sleep(time.Second)
		}
		w.gone("000001")
		for _, wk := range w.all() {
			wk.only.Store(nil)
		}
		old.cutPeers.Store(false)
		old.cutState.Store(false)
		w.cancel("000002")
		w.gone("000002")
		w.runs("000003", 2)
	}},
	{"all controllers away, beyond the lease", func(w *world) {
		w.submit(service("000001", 3))
		w.submit(lasting("000002", 3, 30*time.Second))
		w.submit(service("000003", 2))
		w.runs("000003", 2)
		w.cancel("000003")
		for _, n := range w.nodes {
			n.kill()
		}
		time.Sleep(2 * w.settings.Lease)
		for _, n := range w.nodes {
			n.start()
		}
		w.closeLook("000003")
		w.runs("000001", 3)
		w.done("000002")
	}},
	{"reports held back until a new leader has acted", func(w *world) {
		w.submit(service("000001", 4))
		w.submit(lasting("000002", 4, 20*time.Second))
		w.runs("000001", 4)
		w.keep()
		time.Sleep(3 * w.settings.Report)
		w.locked(func() { w.keeping = false })
		w.cancel("000001")
		w.crash(w.awaitLeader(), time.Second)
		next := w.awaitLeader()
		w.replay(next)
		time.Sleep(w.settings.Report)
		w.replay(next)
		w.gone("000001")
		w.done("000002")
	}},
	{"machines up within two seconds, work at once, writes lag, the leader ends", func(w *world) {
		w.locked(func() { w.cloud.boot = 1500 * time.Millisecond })
		w.lateWrites(3, time.Second)
		for i := range 8 {
			w.submit(lasting(fmt.Sprintf("%06d", i+1), 4, 20*time.Second))
			time.Sleep(2 * time.Second)
			if i%2 == 1 {
				w.crash(w.awaitLeader(), time.Second)
			}
		}
		w.lateWrites(0, 0)
		for i := range 8 {
			w.done(fmt.Sprintf("%06d", i+1))
		}
	}},
	{"a leader ends while long tasks can't be reached or don't hear", func(w *world) {
		w.submit(lasting("000001", 6, 3*time.Minute))
		w.submit(service("000002", 6))
		w.runs("000001", 6)
		w.runs("000002", 6)
		for i, wk := range w.all() {
			switch i % 3 {
			case 0:
				wk.cut.Store(true)
			case 1:
				wk.deaf.Store(true)
			}
		}
		w.crash(w.awaitLeader(), time.Second)
		time.Sleep(w.settings.Lease / 2)
		w.cancel("000002")
		time.Sleep(w.settings.Lease)
		for _, wk := range w.all() {
			wk.cut.Store(false)
			wk.deaf.Store(false)
		}
		w.gone("000002")
		w.done("000001")
	}},
	{"ten leaders in two minutes, also within an outage", func(w *world) {
		w.submit(service("000001", 4))
		w.submit(lasting("000002", 4, 30*time.Second))
		w.runs("000001", 4)
		for i := range 10 {
			if i == 4 {
				w.state.Outage(true)
			}
			for _, n := range w.nodes {
				if v := n.node.view.Load(); n.end != nil && v.role.Leading {
					w.crash(n, time.Second)
					break
				}
			}
			time.Sleep(10 * time.Second)
			if i == 6 {
				w.state.Outage(false)
				w.cancel("000001")
			}
		}
		w.gone("000001")
		w.done("000002")
	}},
	{"old reports after newer ones, of earlier sessions and attempts", func(w *world) {
		w.submit(lasting("000001", 4, 50*time.Second))
		w.submit(service("000002", 2))
		w.runs("000001", 4)
		w.keep()
		time.Sleep(2 * w.settings.Report)
		for _, wk := range w.machinesOf("000001") {
			wk.cut.Store(true) // its session ends, its tasks go elsewhere
		}
		time.Sleep(2 * w.settings.Lease)
		for _, wk := range w.all() {
			wk.cut.Store(false)
		}
		for range 5 {
			w.replay(w.nodes...)
			time.Sleep(w.settings.Report)
		}
		w.crash(w.awaitLeader(), time.Second)
		w.replay(w.nodes...)
		w.done("000001")
		w.runs("000002", 2)
	}},
	{"more work than room, urgent and not, over slow links", func(w *world) {
		w.locked(func() {
			w.cloud.full = func(h storage.HireRecord) bool { return len(w.workers) >= 4 || h.Type == "gpu" }
		})
		w.state.Trouble(func(s *storagetest.Service) { s.Slow = 100 * time.Millisecond })
		for i := range 10 {
			s := lasting(fmt.Sprintf("%06d", i+1), 6, 20*time.Second)
			s.Priority = storage.Priority(i % 3)
			w.submit(s)
		}
		urgent := service("000100", 4)
		w.submit(urgent)
		w.runs("000100", 4)
		for i := range 10 {
			w.done(fmt.Sprintf("%06d", i+1))
		}
	}},
	{"questions at all nodes right after each word", func(w *world) {
		for i := range 12 {
			id := fmt.Sprintf("%06d", i+1)
			s := lasting(id, 1, 5*time.Second)
			w.submit(s)
			w.closeLook(id)
			if i%3 == 0 {
				w.cancel(id)
				w.closeLook(id)
			}
			if i%4 == 0 {
				old := w.refuseLeader()
				w.closeLook(id)
				time.Sleep(3 * time.Second)
				old.cutState.Store(false)
			}
		}
		for i := range 12 {
			if i%3 != 0 {
				id := fmt.Sprintf("%06d", i+1)
				w.eventually("job "+id+" is done", 5*time.Minute, func() bool {
					w.closeLook(id)
					return w.poll(id).State == StateDone
				})
				w.closeLook(id)
			}
		}
	}},
	{"a command or its answer held up, and the machine goes on", func(w *world) {
		w.submit(service("000001", 2))
		w.runs("000001", 2)
		for _, wk := range w.all() {
			wk.still.Store(true)
		}
		w.submit(service("000002", 2))
		time.Sleep(time.Second)
		w.cancel("000001")
		w.cancel("000002")
		time.Sleep(w.settings.Lease * 3 / 4)
		for _, wk := range w.all() {
			wk.still.Store(false)
			wk.catchUp()
		}
		time.Sleep(w.settings.Cancel)
		w.gone("000001")
		w.gone("000002")
	}},
	{"a team at its limit, machines that can't be asked, a cancel, a new leader", func(w *world) {
		w.submit(onLimit(service("000001", 2)))
		w.runs("000001", 2)
		w.submit(onLimit(lasting("000002", 2, 20*time.Second)))
		for _, wk := range w.machinesOf("000001") {
			wk.cut.Store(true)
		}
		w.crash(w.awaitLeader(), 2*time.Second)
		w.cancel("000001")
		time.Sleep(w.settings.Lease / 2)
		for _, wk := range w.all() {
			wk.cut.Store(false)
		}
		w.done("000002")
		w.gone("000001")
	}},
	{"cancels in the seconds in which a controller's work changes hands", func(w *world) {
		for i := range 6 {
			w.submit(service(fmt.Sprintf("%06d", i+1), 2))
		}
		for i := range 6 {
			w.runs(fmt.Sprintf("%06d", i+1), 2)
		}
		for i := range 6 {
			id := fmt.Sprintf("%06d", i+1)
			old := w.awaitLeader()
			go w.look(old, OpCancel, id, storage.Spec{})
			switch i % 3 {
			case 0:
				old.kill()
			case 1:
				old.node.resign(old.node.view.Load().role.Term)
			case 2:
				old.cutState.Store(true)
			}
			w.cancel(id)
			w.closeLook(id)
			old.cutState.Store(false)
			if old.end == nil {
				old.start()
			}
			time.Sleep(2 * time.Second)
		}
		for i := range 6 {
			w.gone(fmt.Sprintf("%06d", i+1))
		}
	}},
	{"cancels, questions and repeats at the end of a last task", func(w *world) {
		for i := range 40 {
			id := fmt.Sprintf("%06d", i+1)
			w.submit(lasting(id, 1, 10*time.Second))
			w.runs(id, 1)
			time.Sleep(9900*time.Millisecond + time.Duration(i)*10*time.Millisecond)
			w.closeLook(id)
			w.eventually("a final state", time.Minute, func() bool {
				a := w.ask(OpCancel, id, storage.Spec{})
				return a.final()
			})
			w.closeLook(id)
		}
	}},
	{"old reports reach every controller as a new leader begins", func(w *world) {
		w.submit(service("000001", 4))
		w.submit(lasting("000002", 4, 30*time.Second))
		w.runs("000001", 4)
		w.keep()
		time.Sleep(2 * w.settings.Report)
		w.done("000002")
		w.locked(func() { w.keeping = false })
		for range 3 {
			old := w.awaitLeader()
			old.kill()
			for range 20 {
				w.replay(w.nodes...)
				time.Sleep(150 * time.Millisecond)
			}
			old.start()
		}
		before := w.startsSoFar()
		time.Sleep(w.settings.Lease)
		w.runs("000001", 4)
		if w.startsSoFar() != before {
			w.t.Errorf("%d starts anew", w.startsSoFar()-before)
		}
	}},
	{"every team at its limit, cancels beside cut and hung machines, a new leader", func(w *world) {
		w.submit(onLimit(service("000001", 1)))
		w.submit(onLimit(service("000002", 1)))
		w.runs("000001", 1)
		w.runs("000002", 1)
		w.submit(onLimit(lasting("000003", 3, 20*time.Second)))
		for _, wk := range w.machinesOf("000001") {
			wk.still.Store(true)
		}
		for _, wk := range w.machinesOf("000002") {
			wk.cut.Store(true)
		}
		w.cancel("000001")
		w.crash(w.awaitLeader(), time.Second)
		w.cancel("000002")
		time.Sleep(w.settings.Lease * 2 / 3)
		for _, wk := range w.all() {
			wk.cut.Store(false)
			wk.still.Store(false)
			wk.catchUp()
		}
		w.done("000003")
	}},
}

func TestMeetings(t *testing.T) {
	for _, m := range meetings {
		t.Run(m.name, func(t *testing.T) { inWorld(t, m.story) })
	}
}
