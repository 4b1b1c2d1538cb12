package scheduler

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"math"
	"math/rand/v2"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"sagevale/internal/api"
	"sagevale/internal/cluster"
	"sagevale/internal/cluster/clustertest"
	"sagevale/internal/config"
	"sagevale/internal/groupcommit"
	"sagevale/internal/leadership"
	"sagevale/internal/storage"
	"sagevale/internal/storage/storagetest"
	"sagevale/internal/worker"
)

// newTestScheduler makes a dispatcher without the actors around it, for what a snapshot or a
// round decides. Its clock stands still unless the test moves it.
func newTestScheduler(tb testing.TB, s config.Settings) *scheduler {
	tb.Helper()
	svc := storagetest.NewService()
	tb.Cleanup(svc.Close)
	client := &storagetest.Client{Service: svc, Cut: new(atomic.Bool)}
	journal, err := storage.OpenJournal(context.Background(), client, storage.NewLimitTracker(s.State), storage.Guard{Key: leadership.LeaderKey})
	if err != nil {
		tb.Fatal(err)
	}
	now := time.Now()
	role := leadership.Role{Leading: true, Term: 2, LeaseValidUntil: now.Add(time.Hour), RenewUntil: now.Add(time.Hour)}
	d, err := newScheduler(&s, Dependencies{Workers: silentWorkers{}, Rand: rand.New(rand.NewPCG(7, 7))}, role, journal, func(leadership.Resignation) {}, slog.New(slog.NewTextHandler(io.Discard, nil)))
	if err != nil {
		tb.Fatal(err)
	}
	d.state.SetTypes(clustertest.Types)
	d.machinesListed = true
	return d
}

// commitPending has all that is marked become durable, or fail.
func (d *scheduler) commitPending(err error) {
	d.queue.BeginCommit(math.MaxInt, func(key string, err error) { panic(key) })
	d.handleCommitted(err)
}

// discardPending forgets what is to become durable, with those who wait for it.
func (d *scheduler) discardPending() { d.queue = groupcommit.New() }

// silentWorkers never get a direct order.
type silentWorkers struct{}

func (silentWorkers) SendCommands(context.Context, string, uint64, uint64, []worker.Command, time.Time) (worker.Outcome, *worker.Report) {
	return worker.NotSent, nil
}

// addReadyMachine makes a machine that has just reported under the present token.
func (d *scheduler) addReadyMachine(id int, kind, zone string, spot bool) *cluster.Machine {
	m := d.state.EnsureMachine(id, time.Now())
	d.applyReport(m, &worker.Report{Machine: id, Addr: fmt.Sprint(id), Type: kind, Zone: zone, Spot: spot, Incarnation: 1, Seq: m.Seq + 1, Token: d.term}, true, time.Now())
	return m
}

// addAcceptedJob enters a job as if its acceptance were durable.
func (d *scheduler) addAcceptedJob(spec storage.Spec) *cluster.Job {
	j := cluster.NewJob(spec, time.Now())
	j.Acknowledged = true
	d.state.Jobs.AddOpen(j)
	d.state.Classes.NoteArrival(j)
	return j
}

// Hundreds of services at once: the fleet grows to what they need in steps
// that at most double it, and all run within a few boots.
func TestScaleOutFromEmptyFleet(t *testing.T) {
	runSimulation(t, func(sim *simulation) {
		for i := range 120 {
			sim.submit(clustertest.Spread(fmt.Sprintf("%06d", i), 6))
		}
		sim.eventually("all run", 90*time.Second, func() bool {
			n := 0
			for _, wk := range sim.allWorkers() {
				n += len(wk.report().Tasks)
			}
			return n >= 720
		})
		// Four tasks fit a machine: 180, and half of what boots once more
		// while few are up.
		if n := len(sim.allWorkers()); n < 180 || n > 270 {
			t.Errorf("%d machines for 180 machines' work", n)
		}
		sim.mu.Lock()
		defer sim.mu.Unlock()
		for name, got := range sim.cloud.launches {
			if len(got) > config.MaxLaunchMachines {
				t.Errorf("rental %s is of %d machines", name, len(got))
			}
		}
	})
}

// Each waiting task claims room of its own; once all of them counted on the
// first machine that was being freed.
func TestPreemptionFreesResourcesForEachWaitingTask(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newTestScheduler(t, clustertest.Settings())
		low := clustertest.Array("000001", 40)
		low.Priority = storage.BestEffort
		j := d.addAcceptedJob(low)
		for i := range 10 {
			m := d.addReadyMachine(i+1, "cpu", "a", false)
			for k := range 4 {
				d.addAttempt(&cluster.Attempt{Job: j, Task: 4*i + k, Number: uint64(4*i + k + 1), Machine: m, Incarnation: 1, ThisTerm: true, Reported: true, State: worker.Running, Started: time.Now()})
			}
		}
		d.addAcceptedJob(clustertest.Service("000002", 12))
		d.placeRound(time.Now())
		d.placeRound(time.Now()) // what is being freed isn't made room for twice
		stopped := 0
		for _, a := range j.Attempts {
			if a.Stopping {
				stopped++
			}
		}
		if stopped != 12 {
			t.Errorf("%d tasks are stopped for 12", stopped)
		}
	})
}

// Behind a cut a machine may be back sooner than another boots; returned at
// once, half a fleet was lost with a zone's cut.
func TestPartitionedMachineIsNotTerminatedAtOnce(t *testing.T) {
	runSimulation(t, func(sim *simulation) {
		sim.submit(clustertest.Service("000001", 40))
		sim.eventually("the service runs", 2*time.Minute, func() bool { return len(sim.runningTasks("000001")) == 40 })
		var cut []*fakeWorker // that carry tasks; idle ones may be returned
		for _, wk := range sim.runningTasks("000001") {
			if !wk.cut.Load() && len(cut) < 5 {
				wk.cut.Store(true)
				cut = append(cut, wk)
			}
		}
		time.Sleep(sim.settings.WorkerLease + 8*time.Second)
		for _, wk := range cut {
			if wk.dead.Load() {
				t.Error("a machine was returned that is cut off")
			}
			wk.cut.Store(false)
		}
		sim.eventually("the service runs again", time.Minute, func() bool { return len(sim.runningTasks("000001")) == 40 })
	})
}

// A node that the state service alone refuses learns the leader from its peers.
func TestNodeWithoutStoreForwardsByPeerStatus(t *testing.T) {
	runSimulation(t, func(sim *simulation) {
		old := sim.awaitLeader()
		time.Sleep(5 * time.Second)
		old.cutStore.Store(true)
		sim.eventually("a successor leads", 30*time.Second, func() bool { n := sim.leader(); return n != nil && n != old })
		sim.eventually("the old leader has stepped down", 3*time.Second, func() bool { return old.node.view.Load().scheduler == nil })
		spec := clustertest.Array("000001", 1)
		sim.storeSpec(spec)
		ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
		defer cancel()
		if a := old.node.HandleUserRequest(ctx, api.Request{Op: api.OpSubmit, ID: spec.ID, Spec: spec}); a.Code != api.CodeCreated {
			t.Errorf("not forwarded: %+v", a)
		}
		if !old.node.Ready() {
			t.Error("it isn't well though it reaches the leader")
		}
		at := sim.leader()
		a := old.node.HandleHeartbeat(ctx, &worker.Report{Machine: 900, Incarnation: 1, Seq: 1, Zone: "a"})
		if handed := a.Accepted && a.Token == at.node.view.Load().role.Term; !handed && (a.Leader == "" || a.Leader == old.name) {
			t.Errorf("a worker's report is answered %+v", a)
		}
	})
}

// Users are kept away from a node from which no leader can be reached.
func TestNodeThatCannotReachLeaderIsNotReady(t *testing.T) {
	runSimulation(t, func(sim *simulation) {
		lead := sim.awaitLeader()
		time.Sleep(5 * time.Second)
		for _, n := range sim.nodes {
			if !n.node.Ready() {
				t.Errorf("%s is unwell on a quiet day", n.name)
			}
			n.cutPeers.Store(n != lead)
		}
		for _, n := range sim.nodes {
			if n.node.Ready() != (n == lead) {
				t.Errorf("%s: able %v", n.name, n.node.Ready())
			}
		}
	})
}

// A renewal that overlaps a resignation must not make the leader certain again.
func TestLateRenewalDoesNotUndoResignation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newTestScheduler(t, clustertest.Settings())
		role := d.role
		d.resignLeadership("told to")
		roleMessage{role}.handle(d)
		if d.leaseValid(time.Now()) || time.Now().Before(d.role.RenewUntil) {
			t.Error("a resigned leader is certain")
		}
	})
}

// Two tries of a task may have been started directly on one machine; the late
// repeat of either must find it known.
func TestBothAttemptsOfTaskAreRetained(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newTestScheduler(t, clustertest.Settings())
		m := d.addReadyMachine(1, "cpu", "a", false)
		j := d.addAcceptedJob(clustertest.Array("000001", 1))
		r := &worker.Report{Machine: 1, Addr: "1", Type: "cpu", Zone: "a", Incarnation: 1, Token: d.term}
		for try := uint64(1); try <= 2; try++ {
			a := &cluster.Attempt{Job: j, Task: 0, Number: try, Machine: m, Incarnation: 1, ThisTerm: true, Durable: true, Delivery: cluster.DeliverySettled, DeliveryToken: d.term}
			d.addAttempt(a)
			r.Tasks = append(r.Tasks, worker.TaskReport{ID: a.ID(), Attempt: try, State: worker.Exited, Cause: worker.CauseStopped})
			r.Seq = m.Seq + 1
			d.applyReport(m, r, true, time.Now())
		}
		d.discardPending()
		for _, o := range d.commandsFor(m, r, time.Now()) {
			if o.Verb == worker.Forget {
				t.Errorf("try %d is to be forgotten", o.Attempt)
			}
		}
	})
}

// A take-over tells its workers the token some at a time: all at once took
// every socket that their own reports need.
func TestTokenAnnouncementsAreLimited(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newTestScheduler(t, clustertest.Settings())
		for i := range 400 {
			m := d.state.EnsureMachine(i+1, time.Now())
			m.Addr, m.Incarnation = fmt.Sprint(i+1), 1
		}
		d.tokenPending = append(d.tokenPending, d.state.Machines.InOrder()...)
		told := 0
		for d.announceTokens(); d.announcements > 0; {
			if d.announcements > d.settings.MaxTokenAnnouncements() {
				t.Fatalf("%d greets at a time", d.announcements)
			}
			(<-d.mailbox).handle(d)
			told++
		}
		if told != 400 {
			t.Errorf("%d of 400 were told", told)
		}
	})
}

// What a machine has fetched outlives the leader that saw it: after a take-over
// replicas went to machines that had to fetch their images.
func TestCachedImagesSurviveFailover(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d, next := newTestScheduler(t, clustertest.Settings()), newTestScheduler(t, clustertest.Settings())
		m := d.addReadyMachine(1, "cpu", "a", false)
		m.UseImage("seldom", 5, time.Now())
		if m.Recorded {
			t.Error("a new image is not to be recorded")
		}
		rec, err := storage.NewRecord(storage.MachineKey(1), m.Record())
		if err != nil {
			t.Fatal(err)
		}
		if _, err := next.state.Load([]storage.Record{rec}, time.Now()); err != nil {
			t.Fatal(err)
		}
		if im, ok := next.state.Machines.Get(1).Images["seldom"]; !ok || im.SizeGB != 5 {
			t.Errorf("the next leader knows %+v", next.state.Machines.Get(1).Images)
		}
	})
}

// The cloud numbers its machines from 0, which once stood for no machine: as long
// as that one was the best to return, none was.
func TestMachineZeroIsTerminated(t *testing.T) {
	runSimulation(t, func(sim *simulation) {
		sim.submit(clustertest.Array("000001", 8))
		sim.eventually("the sweep is done", 3*time.Minute, func() bool { return sim.poll("000001").State == api.StateDone })
		sim.eventually("all machines are given back", 2*time.Minute, func() bool {
			for _, wk := range sim.allWorkers() {
				if !wk.dead.Load() {
					return false
				}
			}
			return true
		})
		if all := sim.allWorkers(); len(all) == 0 || all[0].id != 0 {
			t.Fatal("there was no machine 0")
		}
	})
}

// Machines that hang keep each direct order waiting. A hundred of them once held
// all the sockets for orders; now each holds a few, and the rest goes with its
// reports.
func TestInFlightCommandsAreLimitedPerMachine(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newTestScheduler(t, clustertest.Settings())
		m := d.addReadyMachine(1, "cpu", "a", false)
		j := d.addAcceptedJob(clustertest.Array("000001", 10))
		sent := 0
		for i := range 10 {
			a := &cluster.Attempt{Job: j, Task: i, Number: uint64(i + 1), Machine: m, Incarnation: 1, ThisTerm: true, Durable: true}
			d.addAttempt(a)
			d.sendCommands(m, []worker.Command{{Verb: worker.Start, ID: a.ID(), Attempt: a.Number}}, []*cluster.Attempt{a})
			if a.Delivery == cluster.DeliveryInFlight {
				sent++
			}
		}
		if sent != maxInFlightCommands {
			t.Errorf("%d orders at a time", sent)
		}
		for range sent {
			(<-d.mailbox).handle(d)
		}
		r := &worker.Report{Machine: 1, Addr: "1", Type: "cpu", Zone: "a", Incarnation: 1, Seq: m.Seq + 1, Token: d.term}
		if got := d.handleHeartbeat(r); len(got.Commands) != 10 {
			t.Errorf("%d starts go with the report", len(got.Commands))
		}
	})
}
