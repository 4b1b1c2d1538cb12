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

// runFencingSimulation runs a scenario in which a worker's token is raised after the given number of ended attempts.
func runFencingSimulation(t *testing.T, window int, scenario func(sim *simulation)) {
	t.Helper()
	addTeam := func(s *config.Settings) {
		s.Teams = append(s.Teams, config.Team{Name: "sweepers", Limit: storage.Resources{CPUs: 2}})
	}
	runSimulationWithTuning(t, addTeam, func(tuning *config.Tuning) { tuning.Fencing = config.Fencing{Enabled: true, Window: window} }, scenario)
}

// shortTaskArray returns the specification of an array of short tasks, few of which run at a time.
func shortTaskArray(id string, tasks int) storage.Spec {
	s := clustertest.Array(id, tasks)
	s.Team, s.Resources = "sweepers", storage.Resources{CPUs: 0.1, MemoryGB: 0.1}
	s.EstimateS = 2
	return s
}

// longestReport returns the largest number of tasks in a worker's report.
func (sim *simulation) longestReport() int {
	longest := 0
	for _, wk := range sim.allWorkers() {
		if !wk.dead.Load() {
			longest = max(longest, len(wk.report().Tasks))
		}
	}
	return longest
}

// In a term of any length, a worker's reports and what the leader retains of it are bounded by its live tasks and a small window.
func TestRetainedAttemptsAreBoundedWithinTerm(t *testing.T) {
	runFencingSimulation(t, 4, func(sim *simulation) {
		sim.submit(clustertest.Service("000001", 2))
		sim.submit(shortTaskArray("000002", 20000))
		sim.awaitRunning("000001", 2)
		leader := sim.awaitLeader()
		term := leader.node.view.Load().role.Term
		for end := time.Now().Add(30 * time.Minute); time.Now().Before(end); time.Sleep(3 * time.Second) {
			if n := sim.longestReport(); n > fencing.MaxRetained/2 {
				t.Fatalf("a report of %d tasks, want at most %d", n, fencing.MaxRetained/2)
			}
		}
		if a := sim.poll("000002"); a.Done < 5000 {
			t.Errorf("%d tasks done, want at least 5000 for the test to mean anything", a.Done)
		}
		if now := sim.awaitLeader(); now != leader || now.node.view.Load().role.Term != term {
			t.Error("leadership was lost")
		}
	})
}

// repeatCommands makes workers execute all recorded direct commands again and again until the simulation ends.
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

// Tokens are raised during faults, while all direct commands are delivered again late. The workers show that tasks make progress, and
// the simulation checks its invariants.
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
		{"commands delayed beyond an epoch", machineFault(delayCommands, short)},
		{"commands delayed beyond several epochs", machineFault(delayCommands, long)},
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
					t.Errorf("%d tasks of the array are done after %d before, want progress", n, before)
				}
				if n := sim.longestReport(); n > fencing.MaxRetained/2 {
					t.Errorf("a report of %d tasks, want at most %d", n, fencing.MaxRetained/2)
				}
			})
		})
	}
}

// While a zone is partitioned, its controller renews the leases of workers with raised tokens.
func TestDelegationRenewsRaisedTokens(t *testing.T) {
	runFencingSimulation(t, 1, func(sim *simulation) {
		const zone = "b"
		service, short := clustertest.Service("000001", 4), shortTaskArray("000002", 2000)
		service.Zone, short.Zone = zone, zone
		sim.submit(service)
		sim.submit(short)
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
				t.Errorf("worker %d has lost its lease in the partition", wk.id)
			}
		}
		sim.isolateZone("")
	})
}

// The next leader's tokens exceed all of this one's, and so do its attempt numbers.
func TestNextTermExceedsAllTokens(t *testing.T) {
	runSimulation(t, func(sim *simulation) {
		sim.awaitActive(upgrade.Current, time.Minute)
		sim.submitGang("000001") // uses a gate, which writes the term record again
		first := sim.awaitLeader().node.view.Load().scheduler
		sim.awaitLeader().kill()
		next := sim.awaitLeader().node.view.Load().scheduler
		if next.tokens.First <= first.tokens.Last || first.tokens.Last-first.tokens.First+1 != fencing.TokensPerTerm {
			t.Errorf("tokens %+v and then %+v, want ranges of %d in ascending order", first.tokens, next.tokens, fencing.TokensPerTerm)
		}
		if numbers := next.lastAttempt - first.lastAttempt; numbers < fencing.TokensPerTerm*attemptNumbersPerToken {
			t.Errorf("%d attempt numbers in a term, want at least %d", numbers, fencing.TokensPerTerm*attemptNumbersPerToken)
		}
	})
}

// If no token is left to raise, a worker that retains too many attempts receives start commands only in responses to its
// heartbeats, for which it need not retain more.
func TestWorkerWithFullFenceStartsTasksByHeartbeat(t *testing.T) {
	runFencingSimulation(t, 4, func(sim *simulation) {
		sim.submit(clustertest.Service("000001", 1))
		sim.awaitRunning("000001", 1)
		sim.awaitActive(upgrade.Current, time.Minute)
		time.Sleep(10 * time.Second)
		d := sim.awaitLeader().node.view.Load().scheduler
		for _, wk := range sim.allWorkers() { // each receives the term's last token
			wk.executeDirect(d.tokens.Last, wk.incarnation, nil)
		}
		sim.submit(shortTaskArray("000002", 700))
		sim.awaitDone("000002")
		if n := sim.longestReport(); n < fencing.MaxRetained || n > fencing.MaxRetained+fencing.MaxRetained/2 {
			t.Errorf("a report of %d tasks, want %d to %d", n, fencing.MaxRetained, fencing.MaxRetained+fencing.MaxRetained/2)
		}
		if d.resigned {
			t.Error("the leader has resigned")
		}
		sim.awaitLeader().kill()
		sim.awaitLeader()
		sim.eventually("reports are short in the next term", time.Minute, func() bool { return sim.longestReport() < fencing.MaxRetained/2 })
	})
}

// While a controller doesn't know the range of a term's tokens, none is raised, because it could not renew the leases of workers
// with raised tokens.
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

// Reports under a raised token prove the same as those under the term's first one.
func TestRaisedTokenBelongsToTerm(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newTestScheduler(t, clustertest.Settings())
		m := d.addReadyMachine(1, "cpu", "a", false)
		j := d.addAcceptedJob(clustertest.Array("000001", 1))
		a := &cluster.Attempt{
			Job: j, Task: 0, Number: 1, Machine: m, Incarnation: 1, ThisTerm: true, Durable: true,
			Delivery: cluster.DeliverySettled, DeliveryToken: d.term, Reported: true,
		}
		d.addAttempt(a)
		r := &worker.Report{Machine: 1, Addr: "1", Type: "cpu", Zone: "a", Incarnation: 1, Seq: 5, Token: d.term + 1}
		if d.handleHeartbeat(r); len(m.Attempts) != 0 {
			t.Error("an attempt that is gone is still reserved")
		}
		stopped := &cluster.Attempt{Job: j, Task: 0, Number: 3, Machine: m, Incarnation: 1, ThisTerm: true, Durable: true, CommandedSeq: 5, Stopping: true}
		d.addAttempt(stopped)
		r.Seq++
		if d.handleHeartbeat(r); len(m.Attempts) != 0 {
			t.Error("a stopped attempt that never started is still reserved")
		}
		m.Fence.Retain(cluster.AttemptKey{ID: a.ID(), Number: 2}, d.term+1)
		d.expireLeases(time.Now().Add(time.Hour))
		if m.Confirmed {
			t.Fatal("the machine is confirmed after its lease has expired")
		}
		r.Incarnation, r.Seq = 2, 1
		if d.handleHeartbeat(r); !m.Confirmed || m.Fence.Retained() != 0 {
			t.Errorf("a later incarnation is confirmed %v and retains %d attempts, want true and none", m.Confirmed, m.Fence.Retained())
		}
	})
}
