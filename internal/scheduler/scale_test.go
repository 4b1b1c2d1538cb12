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

// addRunningAttempt adds an attempt that its machine has reported as running.
func (d *scheduler) addRunningAttempt(j *cluster.Job, task int, number uint64, m *cluster.Machine) {
	d.addAttempt(&cluster.Attempt{
		Job: j, Task: task, Number: number, Machine: m, Incarnation: 1, ThisTerm: true, Reported: true,
		State: worker.Running, Started: time.Now(),
	})
}

// Hundreds of services at once: the fleet scales out to what they need, and all run within a few boot times.
func TestScaleOutFromEmptyFleet(t *testing.T) {
	runSimulation(t, func(sim *simulation) {
		for i := range 120 {
			sim.submit(clustertest.Spread(fmt.Sprintf("%06d", i), 6))
		}
		sim.eventually("all tasks run", 90*time.Second, func() bool {
			n := 0
			for _, wk := range sim.allWorkers() {
				n += len(wk.report().Tasks)
			}
			return n >= 720
		})
		// Four tasks fit a machine, which makes 180; while few machines are up, half as many again may be launched.
		if n := len(sim.allWorkers()); n < 180 || n > 270 {
			t.Errorf("%d machines are launched, want 180 to 270", n)
		}
		sim.mu.Lock()
		defer sim.mu.Unlock()
		for name, machines := range sim.cloud.launches {
			if len(machines) > config.MaxLaunchMachines {
				t.Errorf("launch %s is of %d machines, want at most %d", name, len(machines), config.MaxLaunchMachines)
			}
		}
	})
}

// Each waiting task needs resources of its own. Once all of them relied on the first machine that was being freed.
func TestPreemptionFreesResourcesForEachWaitingTask(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newTestScheduler(t, clustertest.Settings())
		low := clustertest.Array("000001", 40)
		low.Priority = storage.BestEffort
		j := d.addAcceptedJob(low)
		for i := range 10 {
			m := d.addReadyMachine(i+1, "cpu", "a", false)
			for k := range 4 {
				d.addRunningAttempt(j, 4*i+k, uint64(4*i+k+1), m)
			}
		}
		d.addAcceptedJob(clustertest.Service("000002", 12))
		d.placeRound(time.Now())
		d.placeRound(time.Now()) // counts the resources that are being freed
		if stopping, _ := countStopping(j); stopping != 12 {
			t.Errorf("%d tasks are stopped for 12 waiting ones, want 12", stopping)
		}
	})
}

// A machine behind a partition may be back sooner than another one boots. Terminating such machines at once lost half a fleet
// with the partition of a zone.
func TestPartitionedMachineIsNotTerminatedAtOnce(t *testing.T) {
	runSimulation(t, func(sim *simulation) {
		sim.submit(clustertest.Service("000001", 40))
		sim.eventually("the service runs", 2*time.Minute, func() bool { return len(sim.runningTasks("000001")) == 40 })
		var cut []*fakeWorker // with tasks: idle ones may be terminated
		for _, wk := range sim.runningTasks("000001") {
			if !wk.cut.Load() && len(cut) < 5 {
				wk.cut.Store(true)
				cut = append(cut, wk)
			}
		}
		time.Sleep(sim.settings.WorkerLease + 8*time.Second)
		for _, wk := range cut {
			if wk.dead.Load() {
				t.Errorf("machine %d is terminated while it is cut off", wk.id)
			}
			wk.cut.Store(false)
		}
		sim.eventually("the service runs again", time.Minute, func() bool { return len(sim.runningTasks("000001")) == 40 })
	})
}

// A node that is cut off from the key-value store alone learns the leader from its peers.
func TestNodeWithoutStoreForwardsByPeerStatus(t *testing.T) {
	runSimulation(t, func(sim *simulation) {
		old := sim.awaitLeader()
		time.Sleep(5 * time.Second)
		old.cutStore.Store(true)
		sim.eventually("a successor leads", 30*time.Second, func() bool { n := sim.leader(); return n != nil && n != old })
		sim.eventually("the old leader has resigned", 3*time.Second, func() bool { return old.node.view.Load().scheduler == nil })
		spec := clustertest.Array("000001", 1)
		sim.storeSpec(spec)
		ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
		defer cancel()
		if a := old.node.HandleUserRequest(ctx, api.Request{Op: api.OpSubmit, ID: spec.ID, Spec: spec}); a.Code != api.CodeCreated {
			t.Errorf("submission is answered %+v, want it forwarded and accepted", a)
		}
		if !old.node.Ready() {
			t.Error("the node isn't ready though it reaches the leader")
		}
		leader := sim.leader()
		a := old.node.HandleHeartbeat(ctx, &worker.Report{Machine: 900, Incarnation: 1, Seq: 1, Zone: "a"})
		if forwarded := a.Accepted && a.Token == leader.node.view.Load().role.Term; !forwarded && (a.Leader == "" || a.Leader == old.name) {
			t.Errorf("heartbeat is answered %+v, want it forwarded or another leader named", a)
		}
	})
}

// A node that can't reach a leader isn't ready, so that users are directed to others.
func TestNodeThatCannotReachLeaderIsNotReady(t *testing.T) {
	runSimulation(t, func(sim *simulation) {
		leader := sim.awaitLeader()
		time.Sleep(5 * time.Second)
		for _, n := range sim.nodes {
			if !n.node.Ready() {
				t.Errorf("%s isn't ready without any fault", n.name)
			}
			n.cutPeers.Store(n != leader)
		}
		for _, n := range sim.nodes {
			if n.node.Ready() != (n == leader) {
				t.Errorf("%s: Ready() = %v, want only the leader ready", n.name, n.node.Ready())
			}
		}
	})
}

// A renewal that overlaps a resignation must not make the lease valid again.
func TestLateRenewalDoesNotUndoResignation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newTestScheduler(t, clustertest.Settings())
		role := d.role
		d.resignLeadership("test")
		roleMessage{role}.handle(d)
		if d.leaseValid(time.Now()) || time.Now().Before(d.role.RenewUntil) {
			t.Error("the lease is valid or renewable after a resignation")
		}
	})
}

// Two attempts of a task may have been started directly on one machine. The worker must retain both, because the start command
// of either may be delivered again late.
func TestBothAttemptsOfTaskAreRetained(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newTestScheduler(t, clustertest.Settings())
		m := d.addReadyMachine(1, "cpu", "a", false)
		j := d.addAcceptedJob(clustertest.Array("000001", 1))
		r := &worker.Report{Machine: 1, Addr: "1", Type: "cpu", Zone: "a", Incarnation: 1, Token: d.term}
		for number := uint64(1); number <= 2; number++ {
			a := &cluster.Attempt{Job: j, Task: 0, Number: number, Machine: m, Incarnation: 1, ThisTerm: true, Durable: true, Delivery: cluster.DeliverySettled, DeliveryToken: d.term}
			d.addAttempt(a)
			r.Tasks = append(r.Tasks, worker.TaskReport{ID: a.ID(), Attempt: number, State: worker.Exited, Cause: worker.CauseStopped})
			r.Seq = m.Seq + 1
			d.applyReport(m, r, true, time.Now())
		}
		d.discardPending()
		for _, c := range d.commandsFor(m, r, time.Now()) {
			if c.Verb == worker.Forget {
				t.Errorf("the worker is commanded to forget attempt %d", c.Attempt)
			}
		}
	})
}

// After a failover the token is announced to a limited number of workers at a time. Announcing it to all at once took every
// socket that their heartbeats need.
func TestTokenAnnouncementsAreLimited(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newTestScheduler(t, clustertest.Settings())
		for i := range 400 {
			m := d.state.EnsureMachine(i+1, time.Now())
			m.Addr, m.Incarnation = fmt.Sprint(i+1), 1
		}
		d.tokenPending = append(d.tokenPending, d.state.Machines.InOrder()...)
		announced := 0
		for d.announceTokens(); d.announcements > 0; {
			if d.announcements > d.settings.MaxTokenAnnouncements() {
				t.Fatalf("%d announcements at a time, want at most %d", d.announcements, d.settings.MaxTokenAnnouncements())
			}
			(<-d.mailbox).handle(d)
			announced++
		}
		if announced != 400 {
			t.Errorf("token announced to %d workers, want 400", announced)
		}
	})
}

// The images that a machine has cached are recorded. Without that, replicas were placed on machines that had to pull their images
// after a failover.
func TestCachedImagesSurviveFailover(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d, next := newTestScheduler(t, clustertest.Settings()), newTestScheduler(t, clustertest.Settings())
		m := d.addReadyMachine(1, "cpu", "a", false)
		m.UseImage("seldom", 5, time.Now())
		if m.Recorded {
			t.Error("a new image doesn't mark the machine to be recorded")
		}
		if _, err := next.state.Load([]storage.Record{newRecord(t, storage.MachineKey(1), m.Record())}, time.Now()); err != nil {
			t.Fatal(err)
		}
		if im, ok := next.state.Machines.Get(1).Images["seldom"]; !ok || im.SizeGB != 5 {
			t.Errorf("the next leader knows images %+v, want seldom of 5 GB", next.state.Machines.Get(1).Images)
		}
	})
}

// The cloud numbers its machines from 0, which once stood for no machine: while machine 0 was the best candidate for scale-in, none
// was terminated.
func TestMachineZeroIsTerminated(t *testing.T) {
	runSimulation(t, func(sim *simulation) {
		sim.submit(clustertest.Array("000001", 8))
		sim.eventually("the array is done", 3*time.Minute, func() bool { return sim.poll("000001").State == api.StateDone })
		sim.eventually("all machines are terminated", 2*time.Minute, func() bool {
			for _, wk := range sim.allWorkers() {
				if !wk.dead.Load() {
					return false
				}
			}
			return true
		})
		if all := sim.allWorkers(); len(all) == 0 || all[0].id != 0 {
			t.Fatal("no machine 0 was launched")
		}
	})
}

// A machine that hangs leaves each direct command waiting, and a hundred of them once held all sockets for commands. Each may hold
// a few; further commands are sent with the responses to its heartbeats.
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
			t.Errorf("%d commands in flight, want %d", sent, maxInFlightCommands)
		}
		for range sent {
			(<-d.mailbox).handle(d)
		}
		r := &worker.Report{Machine: 1, Addr: "1", Type: "cpu", Zone: "a", Incarnation: 1, Seq: m.Seq + 1, Token: d.term}
		if got := d.handleHeartbeat(r); len(got.Commands) != 10 {
			t.Errorf("%d starts in the response to the heartbeat, want 10", len(got.Commands))
		}
	})
}
