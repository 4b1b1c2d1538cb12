package scheduler

import (
	"testing"
	"testing/synctest"
	"time"

	"sagevale/internal/cluster"
	"sagevale/internal/cluster/clustertest"
	"sagevale/internal/config"
	"sagevale/internal/fencing"
	"sagevale/internal/storage"
	"sagevale/internal/upgrade"
	"sagevale/internal/worker"
)

// runFencingSimulation runs a scenario in which workers' tokens are raised after so many ended attempts.
func runFencingSimulation(t *testing.T, window int, story func(sim *simulation)) {
	t.Helper()
	sweepers := func(s *config.Settings) {
		s.Teams = append(s.Teams, config.Team{Name: "sweepers", Limit: storage.Resources{CPUs: 2}})
	}
	runSimulationWithTuning(t, sweepers, func(tuning *config.Tuning) { tuning.Fencing = config.Fencing{Enabled: true, Window: window} }, story)
}

// shortTaskArray is an array of many short tasks, few of which run at a time.
func shortTaskArray(id string, tasks int) storage.Spec {
	s := clustertest.Array(id, tasks)
	s.Team, s.Resources = "sweepers", storage.Resources{CPUs: 0.1, MemoryGB: 0.1}
	s.EstimateS = 2
	return s
}

// longestReport is the longest report of a worker.
func (sim *simulation) longestReport() int {
	most := 0
	for _, wk := range sim.allWorkers() {
		if !wk.dead.Load() {
			most = max(most, len(wk.report().Tasks))
		}
	}
	return most
}

// In a term of any length, a worker's reports and the leader's memory of it follow the live
// tasks and a small window.
func TestRetainedAttemptsAreBoundedWithinTerm(t *testing.T) {
	runFencingSimulation(t, 4, func(sim *simulation) {
		sim.submit(clustertest.Service("000001", 2))
		sim.submit(shortTaskArray("000002", 20000))
		sim.awaitRunning("000001", 2)
		lead := sim.awaitLeader()
		term := lead.node.view.Load().role.Term
		for end := time.Now().Add(30 * time.Minute); time.Now().Before(end); time.Sleep(3 * time.Second) {
			if n := sim.longestReport(); n > fencing.MaxRetained/2 {
				t.Fatalf("a report of %d tasks", n)
			}
		}
		if a := sim.poll("000002"); a.Done < 5000 {
			t.Errorf("only %d tasks done: too few to show anything", a.Done)
		}
		if now := sim.awaitLeader(); now != lead || now.node.view.Load().role.Term != term {
			t.Error("the term was given up")
		}
	})
}

// repeatCommands has all direct orders carried out again and again, however old.
func (sim *simulation) repeatCommands() {
	sim.withLock(func() { sim.recordingCommands = true })
	go func() {
		for !sim.ended.Load() {
			time.Sleep(700 * time.Millisecond)
			for _, wk := range sim.allWorkers() {
				if !wk.paused.Load() {
					wk.executeDelayed()
				}
			}
		}
	}()
}

// Faults through which tokens are raised, while all direct orders are repeated late; the
// workers tell what begins anew, the simulation the broken rules.
func TestTokensAreRaisedDuringFaults(t *testing.T) {
	const short, long = 8 * time.Second, 40 * time.Second
	machineFault := func(set func(*fakeWorker, bool), during time.Duration) func(*simulation) {
		return func(sim *simulation) {
			machines := sim.machinesOf("000002")
			for _, wk := range machines {
				set(wk, true)
			}
			time.Sleep(during)
			for _, wk := range machines {
				set(wk, false)
			}
		}
	}
	deaf := func(wk *fakeWorker, on bool) { wk.dropsResponses.Store(on) }
	mute := func(wk *fakeWorker, on bool) { wk.dropsHeartbeats.Store(on) }
	heldUp := func(wk *fakeWorker, on bool) { wk.delaysCommands.Store(on) }
	still := func(wk *fakeWorker, on bool) { wk.paused.Store(on) }
	for _, c := range []struct {
		name  string
		fault func(*simulation)
	}{
		{"none", func(*simulation) { time.Sleep(long) }},
		{"commands held up over an epoch", machineFault(heldUp, short)},
		{"commands held up over several", machineFault(heldUp, long)},
		{"deaf", machineFault(deaf, short)},
		{"deaf beyond its lease", machineFault(deaf, long)},
		{"mute", machineFault(mute, short)},
		{"mute beyond its lease", machineFault(mute, long)},
		{"still", machineFault(still, short)},
		{"still for most of its lease", machineFault(still, 18*time.Second)},
		{"zone cut off", func(sim *simulation) {
			sim.isolateZone("b")
			time.Sleep(20 * time.Second)
			sim.isolateZone("")
		}},
		{"old reports", func(sim *simulation) {
			sim.recordReports()
			time.Sleep(short)
			sim.replayReports(sim.nodes...)
		}},
		{"the leader ends", func(sim *simulation) { sim.crash(sim.awaitLeader(), short) }},
		{"the leader ends, and its reports come again", func(sim *simulation) {
			sim.recordReports()
			time.Sleep(short)
			sim.crash(sim.awaitLeader(), time.Second)
			sim.awaitLeader()
			sim.replayReports(sim.nodes...)
		}},
		{"the leader alone is refused, then all", func(sim *simulation) {
			lead := sim.cutLeaderFromStore()
			sim.cancel("000003")
			sim.outage(sim.settings.CancelTimeout + 5*time.Second)
			lead.cutStore.Store(false)
		}},
		{"writes are late", func(sim *simulation) {
			sim.delayCommits(5, 2*time.Second)
			sim.crash(sim.awaitLeader(), short)
			time.Sleep(long)
			sim.delayCommits(0, 0)
		}},
		{"rollback and upgrade", func(sim *simulation) {
			for _, version := range []upgrade.Version{upgrade.Version4, upgrade.Current} {
				for _, n := range sim.nodes {
					n.restartWithVersion(version)
					time.Sleep(short)
				}
			}
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			runFencingSimulation(t, 4, func(sim *simulation) {
				sim.repeatCommands()
				sim.submit(clustertest.Service("000001", 4))
				sim.submit(shortTaskArray("000002", 4000))
				sim.submit(clustertest.Service("000003", 2))
				sim.awaitRunning("000001", 4)
				time.Sleep(30 * time.Second)
				c.fault(sim)
				time.Sleep(long)
				sim.awaitRunning("000001", 4)
				before := sim.poll("000002").Done
				time.Sleep(long)
				if n := sim.poll("000002").Done; n <= before && n < 4000 {
					t.Errorf("the sweep stands still at %d tasks", n)
				}
				if n := sim.longestReport(); n > fencing.MaxRetained/2 {
					t.Errorf("a report of %d tasks", n)
				}
			})
		})
	}
}

// While a zone is cut off, its controller renews the leases of workers with raised tokens:
// nothing there is lost.
func TestDelegationRenewsRaisedTokens(t *testing.T) {
	runFencingSimulation(t, 1, func(sim *simulation) {
		const cut = "b"
		standing, short := clustertest.Service("000001", 4), shortTaskArray("000002", 2000)
		standing.Zone, short.Zone = cut, cut
		sim.submit(standing)
		sim.submit(short)
		sim.awaitRunning("000001", 4)
		for sim.awaitLeader().zone == cut {
			sim.crash(sim.awaitLeader(), 2*time.Second)
		}
		sessions := make(map[*fakeWorker]uint64)
		sim.eventually("a worker's token is raised", 2*time.Minute, func() bool {
			term := sim.awaitLeader().node.view.Load().role.Term
			for _, wk := range sim.allWorkers() {
				if r := wk.report(); r.Token > term && len(r.Tasks) > 0 && !wk.dead.Load() {
					sessions[wk] = r.Incarnation
				}
			}
			return len(sessions) > 0
		})
		sim.isolateZone(cut)
		time.Sleep(sim.settings.WorkerLease + 2*time.Second)
		for wk, session := range sessions {
			if wk.report().Incarnation != session {
				t.Errorf("worker %d has lost its lease behind the cut", wk.id)
			}
		}
		sim.isolateZone("")
	})
}

// The next leader's tokens are above all of this one's, and so are its attempts' numbers.
func TestNextTermExceedsAllTokens(t *testing.T) {
	runSimulation(t, func(sim *simulation) {
		sim.awaitActive(upgrade.Current, time.Minute)
		sim.submitGang("000001") // takes a gate into use, which writes the term anew
		first := sim.awaitLeader().node.view.Load().scheduler
		sim.awaitLeader().kill()
		next := sim.awaitLeader().node.view.Load().scheduler
		if next.tokens.First <= first.tokens.Last || first.tokens.Last-first.tokens.First+1 != fencing.TokensPerTerm {
			t.Errorf("tokens %+v and then %+v", first.tokens, next.tokens)
		}
		if room := next.lastAttempt - first.lastAttempt; room < fencing.TokensPerTerm*attemptStride {
			t.Errorf("only %d attempts in a term", room)
		}
	})
}

// Without a token left to raise, a worker that remembers too much is given its starts with the
// answers to its reports, and remembers no more for them.
func TestWorkerWithFullFenceStartsTasksByHeartbeat(t *testing.T) {
	runFencingSimulation(t, 4, func(sim *simulation) {
		sim.submit(clustertest.Service("000001", 1))
		sim.awaitRunning("000001", 1)
		sim.awaitActive(upgrade.Current, time.Minute)
		time.Sleep(10 * time.Second)
		d := sim.awaitLeader().node.view.Load().scheduler
		for _, wk := range sim.allWorkers() { // each knows the term's last token
			wk.executeDirect(d.tokens.Last, wk.incarnation, nil)
		}
		sim.submit(shortTaskArray("000002", 700))
		sim.awaitDone("000002")
		if n := sim.longestReport(); n < fencing.MaxRetained || n > fencing.MaxRetained+fencing.MaxRetained/2 {
			t.Errorf("a report of %d tasks", n)
		}
		if d.resigned {
			t.Error("the term was given up")
		}
		sim.awaitLeader().kill()
		sim.awaitLeader()
		sim.eventually("all is forgotten under the next term", time.Minute, func() bool { return sim.longestReport() < fencing.MaxRetained/2 })
	})
}

// While a controller doesn't know the range of a term's tokens, none is raised: it could not
// renew the leases of such workers.
func TestTokensAreNotRaisedBesideEarlierVersion(t *testing.T) {
	runFencingSimulation(t, 1, func(sim *simulation) {
		sim.nodes[2].restartWithVersion(upgrade.Version4)
		sim.submit(clustertest.Service("000001", 1))
		sim.submit(shortTaskArray("000002", 5000))
		sim.awaitRunning("000001", 1)
		time.Sleep(time.Minute)
		lead := sim.awaitLeader().node.view.Load().role.Term
		for _, wk := range sim.allWorkers() {
			if r := wk.report(); r.Token > lead {
				t.Errorf("worker %d is commanded under %d in term %d", wk.id, r.Token, lead)
			}
		}
		sim.nodes[2].restartWithVersion(upgrade.Current)
		sim.eventually("a token is raised", 3*time.Minute, func() bool {
			lead := sim.awaitLeader().node.view.Load().role.Term
			for _, wk := range sim.allWorkers() {
				if wk.report().Token > lead {
					return true
				}
			}
			return false
		})
	})
}

// Reports under a raised token prove what those under the term's first one do.
func TestRaisedTokenBelongsToTerm(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newTestScheduler(t, clustertest.Settings())
		m := d.addReadyMachine(1, "cpu", "a", false)
		j := d.addAcceptedJob(clustertest.Array("000001", 1))
		a := &cluster.Attempt{Job: j, Task: 0, Number: 1, Machine: m, Incarnation: 1, ThisTerm: true, Durable: true, Delivery: cluster.DeliverySettled, DeliveryToken: d.term, Reported: true}
		d.addAttempt(a)
		r := &worker.Report{Machine: 1, Addr: "1", Type: "cpu", Zone: "a", Incarnation: 1, Seq: 5, Token: d.term + 1}
		if d.handleHeartbeat(r); len(m.Attempts) != 0 {
			t.Error("an attempt that is gone is booked on")
		}
		stopped := &cluster.Attempt{Job: j, Task: 0, Number: 3, Machine: m, Incarnation: 1, ThisTerm: true, Durable: true, CommandedSeq: 5, Stopping: true}
		d.addAttempt(stopped)
		r.Seq++
		if d.handleHeartbeat(r); len(m.Attempts) != 0 {
			t.Error("a stopped attempt whose start was not carried out is booked on")
		}
		m.Fence.Retain(cluster.AttemptKey{ID: a.ID(), Number: 2}, d.term+1)
		d.expireLeases(time.Now().Add(time.Hour))
		if m.Confirmed {
			t.Fatal("its lease never ends")
		}
		r.Incarnation, r.Seq = 2, 1
		if d.handleHeartbeat(r); !m.Confirmed || m.Fence.Retained() != 0 {
			t.Errorf("a later session is heard %v, and remembers %d", m.Confirmed, m.Fence.Retained())
		}
	})
}
