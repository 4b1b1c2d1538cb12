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

// runFencingSimulation runs a scenario with a given fencing window. The leader raises a worker's token once the worker
// must retain enough ended attempts. Enough means at least the window, and at least the number of the worker's live
// attempts.
func runFencingSimulation(t *testing.T, window int, scenario func(sim *simulation)) {
	t.Helper()
	addTeam := func(s *config.Settings) {
		s.Teams = append(s.Teams, config.Team{Name: "sweepers", Limit: storage.Resources{CPUs: 2}})
	}
	runSimulationWithTuning(t, addTeam, func(tuning *config.Tuning) { tuning.Fencing = config.Fencing{Enabled: true, Window: window} }, scenario)
}

// shortTaskArray returns the specification of a job array of two-second tasks. The limit of its team lets 20 tasks run
// at a time.
func shortTaskArray(id string, tasks int) storage.Spec {
	spec := clustertest.Array(id, tasks)
	spec.Team, spec.Resources = "sweepers", storage.Resources{CPUs: 0.1, MemoryGB: 0.1}
	spec.EstimateS = 2
	return spec
}

// longestReport returns the largest number of tasks that any live worker reports.
func (sim *simulation) longestReport() int {
	longest := 0
	for _, wk := range sim.allWorkers() {
		if !wk.dead.Load() {
			longest = max(longest, len(wk.report().Tasks))
		}
	}
	return longest
}

// A worker reports its live tasks and the ended attempts that the leader makes it retain. However long a term lasts,
// the size of a report is bounded: the bound depends only on the number of live tasks and on a small window.
func TestRetainedAttemptsAreBoundedWithinTerm(t *testing.T) {
	runFencingSimulation(t, 4, func(sim *simulation) {
		sim.submit(clustertest.Service("000001", 2))
		sim.submit(shortTaskArray("000002", 20000))
		sim.awaitRunning("000001", 2)
		leader := sim.awaitLeader()
		term := leader.node.view.Load().role.Term
		for end := time.Now().Add(30 * time.Minute); time.Now().Before(end); time.Sleep(3 * time.Second) {
			if n := sim.longestReport(); n > fencing.MaxRetained/2 {
				t.Fatalf("longest report: got %d tasks, want at most %d", n, fencing.MaxRetained/2)
			}
		}
		if a := sim.poll("000002"); a.Done < 5000 {
			t.Errorf("%d tasks done, want at least 5000 for a meaningful test", a.Done)
		}
		if now := sim.awaitLeader(); now != leader || now.node.view.Load().role.Term != term {
			t.Error("the leader or the term has changed, want neither")
		}
	})
}

// repeatCommands records all direct commands from now on, and delivers them to the workers repeatedly until the
// simulation ends.
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

// Workers' tokens are raised during faults, while all direct commands are delivered again late. The test checks that
// tasks still complete and that reports stay short, and the simulation checks its invariants.
func TestTokensAreRaisedDuringFaults(t *testing.T) {
	const short, long = 8 * time.Second, 40 * time.Second
	machineFault := func(set func(*fakeWorker, bool), duration time.Duration) func(*simulation) {
		return func(sim *simulation) {
			machines := sim.machinesOf("000002")
			for _, wk := range machines {
				set(wk, true)
			}
			time.Sleep(duration)
			for _, wk := range machines {
				set(wk, false)
			}
		}
	}
	dropResponses := func(wk *fakeWorker, on bool) { wk.dropsResponses.Store(on) }
	dropHeartbeats := func(wk *fakeWorker, on bool) { wk.dropsHeartbeats.Store(on) }
	delayCommands := func(wk *fakeWorker, on bool) { wk.delaysCommands.Store(on) }
	pause := func(wk *fakeWorker, on bool) { wk.paused.Store(on) }
	for _, c := range []struct {
		name  string
		fault func(*simulation)
	}{
		{"none", func(*simulation) { time.Sleep(long) }},
		{"commands delayed beyond a token raise", machineFault(delayCommands, short)},
		{"commands delayed beyond several token raises", machineFault(delayCommands, long)},
		{"responses lost", machineFault(dropResponses, short)},
		{"responses lost beyond the lease", machineFault(dropResponses, long)},
		{"heartbeats lost", machineFault(dropHeartbeats, short)},
		{"heartbeats lost beyond the lease", machineFault(dropHeartbeats, long)},
		{"paused", machineFault(pause, short)},
		{"paused for most of the lease", machineFault(pause, 18*time.Second)},
		{"zone partition", func(sim *simulation) {
			sim.isolateZone("b")
			time.Sleep(20 * time.Second)
			sim.isolateZone("")
		}},
		{"heartbeats replayed", func(sim *simulation) {
			sim.recordReports()
			time.Sleep(short)
			sim.replayReports(sim.nodes...)
		}},
		{"leader crash", func(sim *simulation) { sim.crash(sim.awaitLeader(), short) }},
		{"leader crash and heartbeats replayed", func(sim *simulation) {
			sim.recordReports()
			time.Sleep(short)
			sim.crash(sim.awaitLeader(), time.Second)
			sim.awaitLeader()
			sim.replayReports(sim.nodes...)
		}},
		{"leader cut off from store, then outage", func(sim *simulation) {
			leader := sim.cutLeaderFromStore()
			sim.cancel("000003")
			sim.outage(sim.settings.CancelTimeout + 5*time.Second)
			leader.cutStore.Store(false)
		}},
		{"writes delayed", func(sim *simulation) {
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
					t.Errorf("%d tasks of the array are done, want more than the %d before", n, before)
				}
				if n := sim.longestReport(); n > fencing.MaxRetained/2 {
					t.Errorf("longest report: got %d tasks, want at most %d", n, fencing.MaxRetained/2)
				}
			})
		})
	}
}

// While a zone is partitioned, the controller in the zone also renews the leases of workers with raised tokens.
func TestDelegationRenewsRaisedTokens(t *testing.T) {
	runFencingSimulation(t, 1, func(sim *simulation) {
		const zone = "b"
		service, shortTasks := clustertest.Service("000001", 4), shortTaskArray("000002", 2000)
		service.Zone, shortTasks.Zone = zone, zone
		sim.submit(service)
		sim.submit(shortTasks)
		sim.awaitRunning("000001", 4)
		for sim.awaitLeader().zone == zone {
			sim.crash(sim.awaitLeader(), 2*time.Second)
		}
		incarnations := make(map[*fakeWorker]uint64)
		sim.eventually("a worker's token is raised", 2*time.Minute, func() bool {
			term := sim.awaitLeader().node.view.Load().role.Term
			for _, wk := range sim.allWorkers() {
				if r := wk.report(); r.Token > term && len(r.Tasks) > 0 && !wk.dead.Load() {
					incarnations[wk] = r.Incarnation
				}
			}
			return len(incarnations) > 0
		})
		sim.isolateZone(zone)
		time.Sleep(sim.settings.WorkerLease + 2*time.Second)
		for wk, incarnation := range incarnations {
			if wk.report().Incarnation != incarnation {
				t.Errorf("worker %d has lost its lease during the partition", wk.id)
			}
		}
		sim.isolateZone("")
	})
}

// All tokens and attempt numbers of a term are higher than those of the previous term.
func TestNextTermExceedsAllTokens(t *testing.T) {
	runSimulation(t, func(sim *simulation) {
		sim.awaitActive(upgrade.Current, time.Minute)
		sim.submitGang("000001") // marks a gate as used, which writes the term record again
		first := sim.awaitLeader().node.view.Load().scheduler
		sim.awaitLeader().kill()
		next := sim.awaitLeader().node.view.Load().scheduler
		if next.tokens.First <= first.tokens.Last || first.tokens.Last-first.tokens.First+1 != fencing.TokensPerTerm {
			t.Errorf("tokens %+v, then %+v in the next term, want ascending ranges of %d tokens", first.tokens, next.tokens, fencing.TokensPerTerm)
		}
		if numbers := next.lastAttempt - first.lastAttempt; numbers < fencing.TokensPerTerm*attemptNumbersPerToken {
			t.Errorf("%d attempt numbers in a term, want at least %d", numbers, fencing.TokensPerTerm*attemptNumbersPerToken)
		}
	})
}

// A worker must retain too many ended attempts, and the term has no higher token left. The worker then receives start
// commands only in the responses to its heartbeats. It need not retain the attempts that those commands start.
func TestWorkerWithFullFenceStartsTasksByHeartbeat(t *testing.T) {
	runFencingSimulation(t, 4, func(sim *simulation) {
		sim.submit(clustertest.Service("000001", 1))
		sim.awaitRunning("000001", 1)
		sim.awaitActive(upgrade.Current, time.Minute)
		time.Sleep(10 * time.Second)
		sched := sim.awaitLeader().node.view.Load().scheduler
		for _, wk := range sim.allWorkers() { // each receives the term's last token
			wk.executeDirect(sched.tokens.Last, wk.incarnation, nil)
		}
		sim.submit(shortTaskArray("000002", 700))
		sim.awaitDone("000002")
		if n := sim.longestReport(); n < fencing.MaxRetained || n > fencing.MaxRetained+fencing.MaxRetained/2 {
			t.Errorf("longest report: got %d tasks, want %d to %d", n, fencing.MaxRetained, fencing.MaxRetained+fencing.MaxRetained/2)
		}
		if sched.resigned {
			t.Error("the leader has resigned")
		}
		sim.awaitLeader().kill()
		sim.awaitLeader()
		sim.eventually("reports are short in the next term", time.Minute, func() bool { return sim.longestReport() < fencing.MaxRetained/2 })
	})
}

// A controller of an earlier version doesn't support raised tokens: it could not renew the leases of workers that have
// them. No token is raised while such a controller runs.
func TestTokensAreNotRaisedBesideEarlierVersion(t *testing.T) {
	runFencingSimulation(t, 1, func(sim *simulation) {
		sim.nodes[2].restartWithVersion(upgrade.Version4)
		sim.submit(clustertest.Service("000001", 1))
		sim.submit(shortTaskArray("000002", 5000))
		sim.awaitRunning("000001", 1)
		time.Sleep(time.Minute)
		term := sim.awaitLeader().node.view.Load().role.Term
		for _, wk := range sim.allWorkers() {
			if r := wk.report(); r.Token > term {
				t.Errorf("worker %d has token %d in term %d, want none raised", wk.id, r.Token, term)
			}
		}
		sim.nodes[2].restartWithVersion(upgrade.Current)
		sim.eventually("a token is raised", 3*time.Minute, func() bool {
			term := sim.awaitLeader().node.view.Load().role.Term
			for _, wk := range sim.allWorkers() {
				if wk.report().Token > term {
					return true
				}
			}
			return false
		})
	})
}

// A report under a raised token has the same effects as a report under the term's first token. It proves that attempts
// that it doesn't list are gone. It also confirms the machine, which means that the machine has reported in this term.
func TestRaisedTokenBelongsToTerm(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sched := newTestScheduler(t, clustertest.Settings())
		m := sched.addReadyMachine(1, "cpu", "a", false)
		j := sched.addAcceptedJob(clustertest.Array("000001", 1))
		a := &cluster.Attempt{
			Job: j, Task: 0, Number: 1, Machine: m, Incarnation: 1, ThisTerm: true, Durable: true,
			Delivery: cluster.DeliverySettled, DeliveryToken: sched.term, Reported: true,
		}
		sched.addAttempt(a)
		r := &worker.Report{Machine: 1, Addr: "1", Type: "cpu", Zone: "a", Incarnation: 1, Seq: 5, Token: sched.term + 1}
		if sched.handleHeartbeat(r); len(m.Attempts) != 0 {
			t.Error("an attempt that is gone is still reserved")
		}
		stopped := &cluster.Attempt{Job: j, Task: 0, Number: 3, Machine: m, Incarnation: 1, ThisTerm: true, Durable: true, CommandedSeq: 5, Stopping: true}
		sched.addAttempt(stopped)
		r.Seq++
		if sched.handleHeartbeat(r); len(m.Attempts) != 0 {
			t.Error("a stopped attempt that never started is still reserved")
		}
		m.Fence.Retain(cluster.AttemptKey{ID: a.ID(), Number: 2}, sched.term+1)
		sched.expireLeases(time.Now().Add(time.Hour))
		if m.Confirmed {
			t.Fatal("the machine is confirmed after its lease has expired")
		}
		r.Incarnation, r.Seq = 2, 1
		if sched.handleHeartbeat(r); !m.Confirmed || m.Fence.Retained() != 0 {
			t.Errorf("after a report of a later incarnation: got confirmed %v with %d retained attempts, want true and none", m.Confirmed, m.Fence.Retained())
		}
	})
}
