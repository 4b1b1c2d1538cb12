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
	"sagevale/internal/cloud"
	"sagevale/internal/cluster"
	"sagevale/internal/config"
	"sagevale/internal/groupcommit"
	"sagevale/internal/leadership"
	"sagevale/internal/storage"
	"sagevale/internal/storage/storagetest"
	"sagevale/internal/worker"
)

// newTestDispatcher makes a dispatcher without the actors around it, for what a snapshot or a
// round decides. Its clock stands still unless the test moves it.
func newTestDispatcher(tb testing.TB, s config.Settings) *scheduler {
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
	d.state.SetTypes(testTypes)
	d.machinesListed = true
	return d
}

// commit has all that is marked become durable, or fail.
func (d *scheduler) commit(err error) {
	d.queue.Next(math.MaxInt, func(key string, err error) { panic(key) })
	d.handleCommitted(err)
}

// unmark forgets what is to become durable, with those who wait for it.
func (d *scheduler) unmark() { d.queue = groupcommit.New() }

// silentWorkers never get a direct order.
type silentWorkers struct{}

func (silentWorkers) SendCommands(context.Context, string, uint64, uint64, []worker.Command, time.Time) (worker.Outcome, *worker.Report) {
	return worker.NotSent, nil
}

// grownSettings are figures of a large site.
func grownSettings() config.Settings {
	s := config.Settings{
		Zones: []string{"a", "b"}, HeartbeatInterval: 4 * time.Second, WorkerLease: 22 * time.Second, CancelTimeout: 52 * time.Second,
		Teams:    []config.Team{{Name: "team"}},
		State:    storage.Limits{RequestsPerS: 100, ChangesPerS: 40, ValueBytes: 8192, TxnOps: 32},
		CloudRPS: 6, ListLag: 4 * time.Second, MemoryMB: 98, Sockets: 1000,
	}
	s.Tuning = s.DefaultTuning()
	return s
}

// up makes a machine that has just reported under the present token.
func (d *scheduler) up(id int, kind, zone string, spot bool) *cluster.Machine {
	m := d.state.EnsureMachine(id, time.Now())
	d.applyReport(m, &worker.Report{Machine: id, Addr: fmt.Sprint(id), Type: kind, Zone: zone, Spot: spot, Incarnation: 1, Seq: m.Seq + 1, Token: d.term}, true, time.Now())
	return m
}

// accept enters a job as if its acceptance were durable.
func (d *scheduler) accept(spec storage.Spec) *cluster.Job {
	j := cluster.NewJob(spec, time.Now())
	j.Acknowledged = true
	d.state.Jobs.AddOpen(j)
	d.state.Classes.NoteArrival(j)
	return j
}

// trialPacking makes one trial packing of all that waits and is to be kept.
func (d *scheduler) trialPacking() *packing {
	p := &packing{exhausted: make(exhaustedShapes), candidates: d.readyCandidates(time.Now())}
	d.shortage(p, d.demands(time.Now()), d.state.Machines.Count(), time.Now())
	return p
}

func spread(id string, tasks int) storage.Spec {
	s := service(id, tasks)
	s.Spread = true
	return s
}

// The cloud calls a rental of more than fifty machines malformed, and that
// looked like a type that is sold out.
func TestRentalsStayWithinWhatTheCloudTakes(t *testing.T) {
	var wanted []cloud.Offering
	for i := range 173 {
		wanted = append(wanted, cloud.Offering{Type: "gpu", Zone: []string{"a", "b"}[i%2], Spot: i%5 == 0})
	}
	total := 0
	for _, h := range launchesFor(wanted) {
		if h.Count < 1 || h.Count > config.MaxLaunchMachines {
			t.Errorf("a rental of %d machines", h.Count)
		}
		total += h.Count
	}
	if total != len(wanted) {
		t.Errorf("%d of %d machines asked for", total, len(wanted))
	}
}

// Hundreds of services at once: the fleet grows to what they need in steps
// that at most double it, and all run within a few boots.
func TestAFleetGrowsFromNothingToHundreds(t *testing.T) {
	inSimulation(t, func(sim *simulation) {
		for i := range 120 {
			sim.submit(spread(fmt.Sprintf("%06d", i), 6))
		}
		sim.eventually("all run", 90*time.Second, func() bool {
			n := 0
			for _, wk := range sim.all() {
				n += len(wk.report().Tasks)
			}
			return n >= 720
		})
		// Four tasks fit a machine: 180, and half of what boots once more
		// while few are up.
		if n := len(sim.all()); n < 180 || n > 270 {
			t.Errorf("%d machines for 180 machines' work", n)
		}
		sim.mu.Lock()
		defer sim.mu.Unlock()
		for name, got := range sim.cloud.rentals {
			if len(got) > config.MaxLaunchMachines {
				t.Errorf("rental %s is of %d machines", name, len(got))
			}
		}
	})
}

func TestAStepAtMostDoublesTheFleet(t *testing.T) {
	tuning := config.Tuning{ScaleOutStep: 50}
	for size, want := range map[int]int{0: 50, 30: 50, 51: 51, 400: 400} {
		if got := tuning.MaxScaleOut(size); got != want {
			t.Errorf("a fleet of %d may grow by %d, not %d", size, got, want)
		}
	}
}

// One machine at a time is returned, but a large fleet must not take hours.
func TestTheCooldownFollowsTheFleet(t *testing.T) {
	s := grownSettings()
	small, large := s.Tuning.CooldownFor(config.CooldownFleetSize/2), s.Tuning.CooldownFor(8*config.CooldownFleetSize)
	if small != s.Tuning.Cooldown || large != s.Tuning.Cooldown/8 {
		t.Errorf("cooldowns of %v and %v", small, large)
	}
}

// Half of a spread job must be in another zone: room kept in one alone let
// every job wait for the other.
func TestRoomIsKeptInEachZoneThatSpreadJobsNeed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newTestDispatcher(t, grownSettings())
		d.state.Classes.FirstArrival = time.Now().Add(-3 * d.settings.WorkerLease)
		for i := range 4 {
			d.up(i+1, "cpu", "a", false) // ample room, all in one zone
		}
		j := d.accept(spread("000001", 4))
		for i := range 4 {
			d.addAttempt(&cluster.Attempt{Job: j, Task: i, Number: uint64(i), Machine: d.up(10+i, "gpu", "b", false), Incarnation: 1, ThisTerm: true, Reported: true})
		}
		d.perGPU, d.perGPUAt = storage.Resources{CPUs: 8}, time.Now() // nothing to spare beside accelerators
		var inB int
		for _, o := range d.trialPacking().desired {
			if o.Zone == "b" {
				inB++
			}
		}
		if inB == 0 {
			t.Error("no room is kept in the zone that has none")
		}
	})
}

// With only accelerator machines on offer, tasks without accelerators fill
// those that are rented for them; once each task wanted a machine of its own.
func TestPlainTasksFillTheMachineRentedForThem(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newTestDispatcher(t, grownSettings())
		s := service("000001", 40)
		s.Types = []string{"gpu"}
		d.accept(s)
		if n := len(d.trialPacking().desired); n != 2 {
			t.Errorf("%d machines of 32 places for 40 tasks", n)
		}
	})
}

// What a shape has searched in vain isn't searched again, but for candidates that
// were added since.
func TestAShapeIsSearchedOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newTestDispatcher(t, grownSettings())
		for i := range 100 {
			d.up(i+1, "cpu", "a", false)
		}
		j := d.accept(service("000001", 1000))
		r := &round{now: time.Now(), candidates: d.readyCandidates(time.Now()), exhausted: make(exhaustedShapes), unpreemptable: make(exhaustedShapes)}
		r.zones = zonesOf(r.candidates)
		d.placeJob(j, r)
		zones := newZoneCheck(j)
		if len(r.reserved) != 400 || r.exhausted.from(shapeOfJob(j), &zones, r.zones) != len(r.candidates) {
			t.Fatalf("%d booked, searched up to %d", len(r.reserved), r.exhausted.from(shapeOfJob(j), &zones, r.zones))
		}
		added := candidateOf(d.up(200, "cpu", "a", false))
		r.candidates = append(r.candidates, &added)
		if s := d.choose(&shortlist{job: j, round: r, zones: &zones}); s == nil || s.machine.ID != 200 {
			t.Error("the slot that was added isn't found")
		}
	})
}

// Each waiting task claims room of its own; once all of them counted on the
// first machine that was being freed.
func TestPreemptionMakesRoomForEachWaitingTask(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newTestDispatcher(t, grownSettings())
		low := arrayJob("000001", 40)
		low.Priority = storage.BestEffort
		j := d.accept(low)
		for i := range 10 {
			m := d.up(i+1, "cpu", "a", false)
			for k := range 4 {
				d.addAttempt(&cluster.Attempt{Job: j, Task: 4*i + k, Number: uint64(4*i + k + 1), Machine: m, Incarnation: 1, ThisTerm: true, Reported: true, State: worker.Running, Started: time.Now()})
			}
		}
		d.accept(service("000002", 12))
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
func TestACutMachineIsNotReturnedAtOnce(t *testing.T) {
	inSimulation(t, func(sim *simulation) {
		sim.submit(service("000001", 40))
		sim.eventually("the service runs", 2*time.Minute, func() bool { return len(sim.running("000001")) == 40 })
		var cut []*fakeWorker // that carry tasks; idle ones may be returned
		for _, wk := range sim.running("000001") {
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
		sim.eventually("the service runs again", time.Minute, func() bool { return len(sim.running("000001")) == 40 })
	})
}

// A node that the state service alone refuses learns the leader from its peers.
func TestARefusedNodeForwardsByItsPeersStatus(t *testing.T) {
	inSimulation(t, func(sim *simulation) {
		old := sim.awaitLeader()
		time.Sleep(5 * time.Second)
		old.cutState.Store(true)
		sim.eventually("a successor leads", 30*time.Second, func() bool { n := sim.leader(); return n != nil && n != old })
		sim.eventually("the old leader has stepped down", 3*time.Second, func() bool { return old.node.view.Load().scheduler == nil })
		spec := arrayJob("000001", 1)
		sim.upload(spec)
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
func TestANodeBeyondItsLeaderIsUnwell(t *testing.T) {
	inSimulation(t, func(sim *simulation) {
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
func TestAResignedLeaderStaysUncertain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newTestDispatcher(t, grownSettings())
		role := d.role
		d.resignLeadership("told to")
		d.handle(roleMsg{role})
		if d.leaseValid(time.Now()) || time.Now().Before(d.role.RenewUntil) {
			t.Error("a resigned leader is certain")
		}
	})
}

// Two tries of a task may have been started directly on one machine; the late
// repeat of either must find it known.
func TestBothTriesOfATaskStayKnown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newTestDispatcher(t, grownSettings())
		m := d.up(1, "cpu", "a", false)
		j := d.accept(arrayJob("000001", 1))
		r := &worker.Report{Machine: 1, Addr: "1", Type: "cpu", Zone: "a", Incarnation: 1, Token: d.term}
		for try := uint64(1); try <= 2; try++ {
			a := &cluster.Attempt{Job: j, Task: 0, Number: try, Machine: m, Incarnation: 1, ThisTerm: true, Durable: true, Delivery: cluster.DeliverySettled, DeliveryToken: d.term}
			d.addAttempt(a)
			r.Tasks = append(r.Tasks, worker.TaskReport{ID: a.ID(), Attempt: try, State: worker.Exited, Cause: worker.CauseStopped})
			r.Seq = m.Seq + 1
			d.applyReport(m, r, true, time.Now())
		}
		d.unmark()
		for _, o := range d.commandsFor(m, r, time.Now()) {
			if o.Verb == worker.Forget {
				t.Errorf("try %d is to be forgotten", o.Attempt)
			}
		}
	})
}

// A take-over tells its workers the token some at a time: all at once took
// every socket that their own reports need.
func TestTokenAnnouncementsKeepToTheirSockets(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newTestDispatcher(t, grownSettings())
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
			d.handle(<-d.mailbox)
			told++
		}
		if told != 400 {
			t.Errorf("%d of 400 were told", told)
		}
	})
}

// What a machine has fetched outlives the leader that saw it: after a take-over
// replicas went to machines that had to fetch their images.
func TestANewLeaderKnowsTheFetchedImages(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d, next := newTestDispatcher(t, grownSettings()), newTestDispatcher(t, grownSettings())
		m := d.up(1, "cpu", "a", false)
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
func TestTheFirstMachineIsReturnedToo(t *testing.T) {
	inSimulation(t, func(sim *simulation) {
		sim.submit(arrayJob("000001", 8))
		sim.eventually("the sweep is done", 3*time.Minute, func() bool { return sim.poll("000001").State == api.StateDone })
		sim.eventually("all machines are given back", 2*time.Minute, func() bool {
			for _, wk := range sim.all() {
				if !wk.dead.Load() {
					return false
				}
			}
			return true
		})
		if all := sim.all(); len(all) == 0 || all[0].id != 0 {
			t.Fatal("there was no machine 0")
		}
	})
}

// Saving and fetching elsewhere must not cost a task the deadline that it would
// meet where it is; what is late anyway, or has time, may move.
func TestAMoveMustNotCostADeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newTestDispatcher(t, grownSettings())
		for due, late := range map[float64]bool{40: false, 62: true, 200: false} {
			s := arrayJob("000001", 1)
			s.EstimateS, s.DeadlineS, s.CheckpointS, s.SaveS, s.ImageGB = 60, due, 10, 4, 5
			j := cluster.NewJob(s, time.Now())
			a := &cluster.Attempt{Job: j, Machine: d.up(1, "cpu", "a", false), Reported: true, Started: time.Now()}
			if got := d.lateByMove(a, time.Now()); got != late {
				t.Errorf("due in %v s: late by a move %v", due, got)
			}
		}
	})
}

// Machines that hang keep each direct order waiting. A hundred of them once held
// all the sockets for orders; now each holds a few, and the rest goes with its
// reports.
func TestAHungMachineHoldsFewSockets(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newTestDispatcher(t, grownSettings())
		m := d.up(1, "cpu", "a", false)
		j := d.accept(arrayJob("000001", 10))
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
			d.handle(<-d.mailbox)
		}
		r := &worker.Report{Machine: 1, Addr: "1", Type: "cpu", Zone: "a", Incarnation: 1, Seq: m.Seq + 1, Token: d.term}
		if got := d.handleHeartbeat(r); len(got.Commands) != 10 {
			t.Errorf("%d starts go with the report", len(got.Commands))
		}
	})
}
