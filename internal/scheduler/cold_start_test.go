package scheduler

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/anishathalye/porcupine"

	"sagevale/internal/activation"
	"sagevale/internal/activator"
	"sagevale/internal/cluster/clustertest"
	"sagevale/internal/config"
	"sagevale/internal/leadership"
	"sagevale/internal/storage"
	"sagevale/internal/storage/storagetest"
	"sagevale/internal/upgrade"
	"sagevale/internal/worker"
)

// The model that the cold starts are about, and its class; after how long without requests it goes
// back to zero, and how long a request waits for it.
const (
	coldModel = "000002"
	coldClass = "model"
	coldIdle  = 15 * time.Second
	coldHold  = 10 * time.Second
)

func (sim *simulation) noteWakeRequest(req activation.WakeRequest) {
	sim.withLock(func() { sim.wakeRequests = append(sim.wakeRequests, req) })
}

func (sim *simulation) noteUsage(report activation.UsageReport) {
	sim.withLock(func() { sim.usageReports = append(sim.usageReports, report) })
}

// replayPeers brings all demand and usage that was ever sent to all nodes again.
func (sim *simulation) replayPeers() {
	var wakes []activation.WakeRequest
	var usages []activation.UsageReport
	sim.withLock(func() { wakes, usages = append(wakes, sim.wakeRequests...), append(usages, sim.usageReports...) })
	for _, n := range sim.nodes {
		live := n.live.Load()
		if live == nil {
			continue
		}
		for _, req := range wakes {
			req.Wait = 0
			live.HandleForwardedWake(sim.t.Context(), req)
		}
		for _, report := range usages {
			live.HandleForwardedUsage(sim.t.Context(), report)
		}
	}
}

func (sim *simulation) launchesOf(id string) (out []startRecord) {
	sim.withLock(func() { out = append(out, sim.startsByJob[id]...) })
	return out
}

// model is a service that is at zero until there is demand.
func model(id string) storage.Spec {
	s := clustertest.Service(id, 1)
	s.Class = coldClass
	return s
}

// inColdStart runs a scenario with a model at zero beside a service that runs.
func inColdStart(t *testing.T, story func(sim *simulation)) {
	t.Helper()
	inColdStartOf(t, threeControllers, story)
}

// inColdStartOf does so with controllers in these zones.
func inColdStartOf(t *testing.T, controllers []string, story func(sim *simulation)) {
	t.Helper()
	tune := func(tuning *config.Tuning) {
		tuning.Activation.Classes = []string{coldClass}
		tuning.Activation.Policy.IdleWindow = coldIdle
		tuning.Activation.Hold = coldHold
	}
	runSimulationInZones(t, controllers, func(*config.Settings) {}, tune, func(sim *simulation) {
		sim.awaitActive(upgrade.Current, time.Minute)
		sim.submit(clustertest.Service("000001", 2))
		sim.awaitRunning("000001", 2)
		sim.submit(model(coldModel))
		time.Sleep(2 * sim.settings.HeartbeatInterval)
		if n := len(sim.launchesOf(coldModel)); n != 0 {
			t.Errorf("started %d times without demand", n)
		}
		story(sim)
	})
}

// client asks for the model at one node until it answers, and again.
type client struct {
	id    int
	node  *fakeNode
	ready atomic.Bool // what the latest answer said
	rests atomic.Bool // it asks for nothing
	last  uint64      // the latest generation that it was told of
}

// demand has clients of all nodes ask for the model within a millisecond, and go on.
func (sim *simulation) demand() []*client {
	var clients []*client
	for i, n := range sim.nodes {
		c := &client{id: i, node: n}
		clients = append(clients, c)
		go func() {
			time.Sleep(time.Duration(i) * 300 * time.Microsecond)
			for !sim.ended.Load() {
				if !c.rests.Load() {
					c.ask(sim)
				}
				time.Sleep(100 * time.Millisecond)
			}
		}()
	}
	return clients
}

// clientPatience is how long a client waits for an answer.
const clientPatience = 20 * time.Second

func (c *client) ask(sim *simulation) {
	ctx, cancel := context.WithTimeout(context.Background(), clientPatience)
	defer cancel()
	tracker := c.node.tracker.Load()
	called := time.Now()
	decision := tracker.Acquire(ctx, coldModel)
	c.ready.Store(decision.Outcome == activator.Granted)
	if decision.Outcome == activator.Granted {
		sim.passOn(c.node, decision.Response.Machine)
		sim.noteServed(c.id, called, decision.Response.Generation)
		tracker.Release(coldModel)
	}
	if decision.Response.Verdict != activation.Known || decision.Response.Reason == runsAlways {
		return
	}
	if decision.Response.Generation < c.last {
		sim.t.Errorf("%s tells generation %d after %d", c.node.name, decision.Response.Generation, c.last)
	}
	c.last = decision.Response.Generation
}

// passOn is a request to the model, which takes a moment. Its replica must be there all the while, but
// for troubles of machines and models.
func (sim *simulation) passOn(n *fakeNode, machine string) {
	for range 3 {
		served := false
		for _, wk := range sim.runningTasks(coldModel) {
			served = served || fmt.Sprint(wk.id) == machine
		}
		if !served && !sim.requestsMayFail.Load() && !sim.ended.Load() {
			sim.t.Errorf("%s passes a request on to machine %s, where the model isn't", n.name, machine)
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// awaitReady waits until all clients are told that the model answers, and it does.
func (sim *simulation) awaitReady(clients []*client) {
	sim.t.Helper()
	sim.eventually("all nodes pass requests on", 5*time.Minute, func() bool {
		for _, c := range clients {
			if !c.ready.Load() {
				return false
			}
		}
		return len(sim.runningTasks(coldModel)) == 1
	})
}

// A trouble begins at a moment of the wake, and ends by itself.
type coldTrouble struct {
	name   string
	strike func(sim *simulation, lead *fakeNode)
	// restarts tells that the replica may be started anew in its generation: not only
	// controllers fail.
	restarts bool
}

const coldTroubleSpan = 6 * time.Second

// end ends nodes' processes, and begins them again after a while. Troubles that meet may end the same.
func (sim *simulation) end(back time.Duration, nodes ...*fakeNode) {
	for _, n := range nodes {
		sim.processMu.Lock()
		n.kill()
		sim.processMu.Unlock()
	}
	time.Sleep(back)
	for _, n := range nodes {
		sim.processMu.Lock()
		if n.cancelRun == nil {
			n.start()
		}
		sim.processMu.Unlock()
	}
}

func (sim *simulation) passing(set, reset func()) {
	set()
	time.Sleep(coldTroubleSpan)
	reset()
}

func (sim *simulation) followers(lead *fakeNode) []*fakeNode {
	var out []*fakeNode
	for _, n := range sim.nodes {
		if n != lead {
			out = append(out, n)
		}
	}
	return out
}

var coldTroubles = []coldTrouble{
	{"the leader ends", func(sim *simulation, lead *fakeNode) { sim.end(4*time.Second, lead) }, false},
	{"the leader restarts at once", func(sim *simulation, lead *fakeNode) { sim.end(time.Millisecond, lead) }, false},
	{"the leader stands still for longer than its grant", func(sim *simulation, lead *fakeNode) { lead.pause(coldTroubleSpan) }, false},
	{"two of three end", func(sim *simulation, lead *fakeNode) {
		sim.end(4*time.Second, lead, sim.followers(lead)[0])
	}, false},
	{"all end", func(sim *simulation, _ *fakeNode) {
		sim.end(4*time.Second, sim.nodes...)
	}, false},
	{"a follower with demand ends", func(sim *simulation, lead *fakeNode) { sim.end(4*time.Second, sim.followers(lead)[0]) }, false},
	{"the leader loses the state service", func(sim *simulation, lead *fakeNode) {
		sim.passing(func() { lead.cutStore.Store(true) }, func() { lead.cutStore.Store(false) })
	}, false},
	{"the leader loses its peers", func(sim *simulation, lead *fakeNode) {
		sim.passing(func() { lead.cutPeers.Store(true) }, func() { lead.cutPeers.Store(false) })
	}, false},
	{"the leader loses the workers", func(sim *simulation, lead *fakeNode) {
		sim.passing(func() { lead.cutWorkers.Store(true) }, func() { lead.cutWorkers.Store(false) })
	}, false},
	{"the state service is out", func(sim *simulation, _ *fakeNode) { sim.outage(coldTroubleSpan) }, false},
	{"answers of the state service are lost", func(sim *simulation, _ *fakeNode) {
		sim.state.Update(func(s *storagetest.Service) { s.LoseAnswers = 3 })
	}, false},
	{"transactions come late", func(sim *simulation, _ *fakeNode) {
		sim.passing(func() { sim.delayCommits(2, time.Second) }, func() { sim.delayCommits(0, 0) })
	}, false},
	{"reports and demand come again late", func(sim *simulation, _ *fakeNode) {
		sim.recordReports()
		for range 5 {
			time.Sleep(time.Second)
			sim.replayReports(sim.nodes...)
			sim.replayPeers()
		}
	}, false},
	{"the machine dies", func(sim *simulation, _ *fakeNode) {
		for _, wk := range sim.machinesOf(coldModel) {
			wk.dead.Store(true)
		}
	}, true},
	{"the machine stands still", func(sim *simulation, _ *fakeNode) {
		for _, wk := range sim.machinesOf(coldModel) {
			sim.passing(func() { wk.paused.Store(true) }, func() { wk.paused.Store(false); wk.executeDelayed() })
		}
	}, true},
	{"the model ends after its first answers", func(sim *simulation, _ *fakeNode) {
		sim.withLock(func() { sim.failAfter[coldModel] = time.Second })
		time.Sleep(6 * coldTroubleSpan)
		sim.withLock(func() { delete(sim.failAfter, coldModel) })
	}, true},
}

// A moment of a wake at which troubles begin.
type coldMoment struct {
	name string
	// at has strike called at the moment of the wake that is about to begin.
	at func(sim *simulation, strike func())
}

// writesRecords tells whether a transaction is the leader's, of its records.
func writesRecords(tx storagetest.Txn) bool {
	led := false
	for _, g := range tx.Guards {
		led = led || g.Key == leadership.LeaderKey
	}
	for _, op := range tx.Ops {
		led = led && !strings.HasPrefix(op.Key, leadership.UpgradePrefix)
	}
	return led
}

// nthWrite calls f once for the nth transaction of records from now on, and tells whether it was that.
func nthWrite(nth int, f func()) func(storagetest.Txn) bool {
	var seen atomic.Int64
	return func(tx storagetest.Txn) bool {
		if !writesRecords(tx) {
			return false
		}
		if seen.Add(1) != int64(nth) {
			return false
		}
		go f()
		return true
	}
}

func coldMoments() []coldMoment {
	moments := []coldMoment{
		{"as demand comes", func(_ *simulation, strike func()) { go strike() }},
		{"while it starts", func(_ *simulation, strike func()) { time.AfterFunc(4*time.Second, strike) }},
		{"after it answered", func(_ *simulation, strike func()) { time.AfterFunc(15*time.Second, strike) }},
	}
	for step, name := range []string{"the wake", "the booking", "the first answer"} {
		nth := step + 1
		moments = append(moments,
			coldMoment{"before " + name + " is written", func(sim *simulation, strike func()) {
				sim.state.Update(func(s *storagetest.Service) { s.Drop = nthWrite(nth, strike) })
			}},
			coldMoment{"when " + name + " is written", func(sim *simulation, strike func()) {
				once := nthWrite(nth, strike)
				sim.state.Update(func(s *storagetest.Service) { s.Before = func(tx storagetest.Txn) { once(tx) } })
			}},
			coldMoment{"when " + name + " is written, without an answer", func(sim *simulation, strike func()) {
				sim.state.Update(func(s *storagetest.Service) { s.Lose = nthWrite(nth, strike) })
			}})
	}
	return moments
}

// coldStart plays one wake with troubles at a moment of it.
func (sim *simulation) coldStart(m coldMoment, troubles ...coldTrouble) {
	sim.t.Helper()
	for _, wk := range sim.allWorkers() {
		wk.stuckPulling.Store(true)
	}
	time.AfterFunc(8*time.Second, func() { sim.imagesCome() })
	for _, c := range troubles {
		sim.requestsMayFail.Store(sim.requestsMayFail.Load() || c.restarts)
	}
	lead := sim.awaitLeader()
	struck := make(chan struct{}, len(troubles))
	m.at(sim, func() {
		for _, c := range troubles {
			go func() {
				c.strike(sim, lead)
				struck <- struct{}{}
			}()
		}
	})
	clients := sim.demand()
	for range troubles {
		select {
		case <-struck:
		case <-time.After(2 * time.Minute):
			sim.t.Fatal("the moment never came")
		}
	}
	sim.awaitReady(clients)
	time.Sleep(2 * sim.settings.WorkerLease) // what comes late has come
	sim.awaitReady(clients)
	sim.judge(1)
}

// imagesCome has all machines fetch images at once, and those that are awaited arrive.
func (sim *simulation) imagesCome() {
	sim.withLock(func() {
		for _, wk := range sim.workers {
			wk.stuckPulling.Store(false)
			for _, t := range wk.tasks {
				if t.state == worker.Pulling {
					t.state = worker.Running
				}
			}
		}
	})
}

// noteServed adds to the history of requests that were passed on.
func (sim *simulation) noteServed(client int, called time.Time, generation uint64) {
	sim.withLock(func() {
		sim.served = append(sim.served, porcupine.Operation{
			ClientId: client, Call: called.UnixNano(), Return: time.Now().UnixNano(), Output: generation,
		})
	})
}

// servedModel is the sequential specification of requests that are passed on: each is served by the
// generation of the one before, or by a later one.
var servedModel = porcupine.Model{
	Init: func() any { return uint64(0) },
	Step: func(state, _, output any) (bool, any) {
		before, served := state.(uint64), output.(uint64)
		return served >= before, served
	},
}

// checkServed checks the history of requests against its specification.
func (sim *simulation) checkServed() {
	sim.t.Helper()
	var served []porcupine.Operation
	sim.withLock(func() { served = append(served, sim.served...) })
	if !porcupine.CheckOperations(servedModel, served) {
		sim.t.Errorf("%d requests are served in no order that their clients could have seen", len(served))
	}
}

// A history in which an earlier generation serves after a later one has answered is rejected.
func TestServedModelRejectsEarlierGeneration(t *testing.T) {
	operation := func(call, end int64, generation uint64) porcupine.Operation {
		return porcupine.Operation{Call: call, Return: end, Output: generation}
	}
	beside := []porcupine.Operation{operation(0, 10, 2), operation(5, 15, 1), operation(20, 30, 2)}
	if !porcupine.CheckOperations(servedModel, beside) {
		t.Error("requests beside each other may be served in either order")
	}
	if porcupine.CheckOperations(servedModel, append(beside, operation(31, 40, 1))) {
		t.Error("a request served by an earlier generation isn't found")
	}
}

// judge counts the starts of so many wakes by the workers' own account.
func (sim *simulation) judge(wakes ...uint64) {
	sim.t.Helper()
	launches := sim.launchesOf(coldModel)
	for i, l := range launches {
		if i > 0 && l.attempt <= launches[i-1].attempt {
			sim.t.Errorf("attempt %d after %d", l.attempt, launches[i-1].attempt)
		}
	}
	generation := sim.awaitLeader().node.Wake(sim.t.Context(), activation.WakeRequest{Model: coldModel}).Generation
	sim.checkServed()
	if sim.requestsMayFail.Load() {
		return
	}
	if !slices.Contains(wakes, generation) || len(launches) != int(generation) {
		sim.t.Errorf("%d starts in %d wakes, wanted one in each of %v: %+v", len(launches), generation, wakes, launches)
	}
}

// Whatever fails at whichever moment of a wake, it starts the model once.
func TestOneStartPerWake(t *testing.T) {
	for _, m := range coldMoments() {
		for _, c := range coldTroubles {
			t.Run(m.name+"/"+c.name, func(t *testing.T) {
				t.Parallel()
				inColdStart(t, func(sim *simulation) { sim.coldStart(m, c) })
			})
		}
	}
}

// drawn is three controllers or five, in turn.
func drawn(seed uint64) []string {
	if seed%2 == 0 {
		return threeControllers
	}
	return fiveControllers
}

// The same with two troubles at once, drawn by seed.
func TestOneStartPerWakeWithTwoFaults(t *testing.T) {
	moments := coldMoments()
	for seed := range uint64(40) {
		random := rand.New(rand.NewPCG(seed, 37))
		m, a, b := moments[random.IntN(len(moments))], coldTroubles[random.IntN(len(coldTroubles))], coldTroubles[random.IntN(len(coldTroubles))]
		t.Run(fmt.Sprintf("%d/%s/%s/%s", seed, m.name, a.name, b.name), func(t *testing.T) {
			t.Parallel()
			inColdStartOf(t, drawn(seed), func(sim *simulation) { sim.coldStart(m, a, b) })
		})
	}
}

// rest has the clients ask for nothing, or again.
func rest(clients []*client, rests bool) {
	for _, c := range clients {
		c.rests.Store(rests)
		c.ready.Store(false)
	}
}

func (sim *simulation) awaitZero() {
	sim.t.Helper()
	sim.eventually("the model is at zero", 3*time.Minute, func() bool { return len(sim.runningTasks(coldModel)) == 0 })
}

// modelStatus is the model's, as operators read it.
func (sim *simulation) modelStatus() ServiceStatus {
	sim.t.Helper()
	status, err := ReadActivationStatus(sim.t.Context(), &storagetest.Client{Service: sim.state}, &sim.settings)
	if err != nil || !status.Gate.Used || len(status.Services) != 1 || status.Services[0].ID != coldModel {
		sim.t.Fatalf("status %+v %v", status, err)
	}
	return status.Services[0]
}

// A model that nobody asks for goes back to zero, and comes back once, again and again.
func TestScaleToZeroAndBack(t *testing.T) {
	inColdStart(t, func(sim *simulation) {
		clients := sim.demand()
		for range 3 {
			sim.awaitReady(clients)
			if s := sim.modelStatus(); s.Record.State != activation.Ready || s.Record.Replica == activation.NoReplica || s.Why == "" {
				t.Errorf("status %+v", s)
			}
			rest(clients, true)
			sim.awaitZero()
			time.Sleep(sim.settings.WorkerLease)
			if s := sim.modelStatus(); s.Record.State != activation.Idle || s.Record.Replica != activation.NoReplica || s.Why != "" {
				t.Errorf("status %+v", s)
			}
			rest(clients, false)
		}
		sim.awaitReady(clients)
		sim.judge(4)
		sim.awaitRunning("000001", 2)
	})
}

// A controller that tells nothing keeps a model up, for it may have requests; so does one that has
// requests under way.
func TestUnresponsiveControllerPreventsScaleToZero(t *testing.T) {
	for name, silence := range map[string]func(n *fakeNode){
		"ended":                    func(n *fakeNode) { n.kill() },
		"cut off from its peers":   func(n *fakeNode) { n.cutPeers.Store(true) },
		"with a request under way": func(n *fakeNode) { n.tracker.Load().Acquire(n.sim.t.Context(), coldModel) },
	} {
		t.Run(name, func(t *testing.T) {
			inColdStart(t, func(sim *simulation) {
				clients := sim.demand()
				sim.awaitReady(clients)
				rest(clients, true)
				time.Sleep(sim.settings.HeartbeatInterval)
				n := sim.followers(sim.awaitLeader())[0]
				silence(n)
				time.Sleep(4 * coldIdle)
				if len(sim.runningTasks(coldModel)) != 1 {
					t.Error("it stopped")
				}
				n.cutPeers.Store(false)
				n.restart()
				sim.awaitZero()
			})
		})
	}
}

// drainMoments are those of a drain, by its durable steps: draining, stopping, idle.
func drainMoments() []coldMoment {
	var moments []coldMoment
	for _, m := range coldMoments() {
		if strings.Contains(m.name, "written") {
			moments = append(moments, m)
		}
	}
	return moments
}

// coldDrain plays a wake, a drain with troubles at a moment of it, and demand that comes back meanwhile.
func (sim *simulation) coldDrain(m coldMoment, after time.Duration, troubles ...coldTrouble) {
	sim.t.Helper()
	clients := sim.demand()
	sim.awaitReady(clients)
	rest(clients, true)
	time.Sleep(coldIdle / 2)
	for _, c := range troubles {
		sim.requestsMayFail.Store(sim.requestsMayFail.Load() || c.restarts)
	}
	lead := sim.awaitLeader()
	m.at(sim, func() {
		for _, c := range troubles {
			go c.strike(sim, lead)
		}
	})
	time.Sleep(coldIdle/2 + after)
	rest(clients, false)
	sim.awaitReady(clients)
	time.Sleep(2 * sim.settings.WorkerLease)
	sim.awaitReady(clients)
	sim.judge(1, 2)
}

// Whatever fails at whichever moment of a drain: demand that comes back revives the model, or begins
// the next generation once it has stopped, never both.
func TestDemandDuringDrain(t *testing.T) {
	for i, m := range drainMoments() {
		for k, c := range coldTroubles {
			t.Run(m.name+"/"+c.name, func(t *testing.T) {
				t.Parallel()
				after := time.Duration(rand.New(rand.NewPCG(uint64(i), uint64(k))).Int64N(int64(8 * time.Second)))
				inColdStart(t, func(sim *simulation) { sim.coldDrain(m, after, c) })
			})
		}
	}
}

// The same with two troubles at once, drawn by seed.
func TestDemandDuringDrainWithTwoFaults(t *testing.T) {
	moments := drainMoments()
	for seed := range uint64(40) {
		random := rand.New(rand.NewPCG(seed, 41))
		m, a, b := moments[random.IntN(len(moments))], coldTroubles[random.IntN(len(coldTroubles))], coldTroubles[random.IntN(len(coldTroubles))]
		after := time.Duration(random.Int64N(int64(8 * time.Second)))
		t.Run(fmt.Sprintf("%d/%s/%s/%s", seed, m.name, a.name, b.name), func(t *testing.T) {
			t.Parallel()
			inColdStartOf(t, drawn(seed), func(sim *simulation) { sim.coldDrain(m, after, a, b) })
		})
	}
}

// Cancellation outranks a wake at every moment: nothing starts after a user was told.
func TestCancelDuringWake(t *testing.T) {
	for _, m := range coldMoments() {
		t.Run(m.name, func(t *testing.T) {
			t.Parallel()
			inColdStart(t, func(sim *simulation) {
				sim.requestsMayFail.Store(true)
				cancelled := make(chan time.Time, 1)
				m.at(sim, func() {
					sim.cancel(coldModel)
					cancelled <- time.Now()
				})
				clients := sim.demand()
				told := <-cancelled
				sim.crash(sim.awaitLeader(), time.Second)
				sim.awaitStopped(coldModel)
				time.Sleep(sim.settings.CancelTimeout)
				for _, l := range sim.launchesOf(coldModel) {
					if l.at.After(told) {
						t.Errorf("started %v after its user was told", l.at.Sub(told))
					}
				}
				rest(clients, true)
				if d := clients[0].node.tracker.Load().Acquire(sim.t.Context(), coldModel); d.Outcome != activator.Unknown {
					t.Errorf("answered %+v", d)
				}
			})
		})
	}
}

// A controller goes back a version: services at zero come up and run always, and their records are gone
// before the older version may lead.
func TestActivationWithdrawalStartsServices(t *testing.T) {
	for name, awake := range map[string]bool{"at zero": false, "while it starts": true} {
		t.Run(name, func(t *testing.T) {
			inColdStart(t, func(sim *simulation) {
				back := sim.followers(sim.awaitLeader())[0]
				var clients []*client
				if awake {
					clients = sim.demand()
					time.Sleep(20 * time.Millisecond)
				}
				back.restartWithVersion(upgrade.Version5)
				sim.awaitRunning(coldModel, 1)
				sim.awaitActive(upgrade.Version5, time.Minute)
				for _, n := range sim.nodes {
					if n != back {
						n.kill()
					}
				}
				if sim.awaitLeader() != back {
					t.Error("it doesn't lead")
				}
				time.Sleep(sim.settings.WorkerLease)
				sim.awaitRunning(coldModel, 1)
				if n := len(sim.launchesOf(coldModel)); n != 1 {
					t.Errorf("%d starts", n)
				}
				rest(clients, true)
				sim.allAt(upgrade.Current)
				sim.awaitZero() // its class is listed still
			})
		})
	}
}

// A service whose lifecycle can't be understood is neither started nor stopped; the others go on.
func TestDamagedActivationRecordAffectsOneService(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		spec := model(coldModel)
		other := model("000003")
		s := clustertest.Settings()
		s.Tuning.Activation.Classes = []string{coldClass}
		d := newTestScheduler(t, s)
		d.activation.gate = upgrade.GateState{Phase: upgrade.GateOpen, Used: true}
		err := d.load([]storage.Record{
			newRecord(t, storage.JobKey(spec.ID), storage.JobRecord{Tasks: 1, Spec: &spec, Activation: []byte(`{"state":"asleep","generation":3}`)}),
			newRecord(t, storage.JobKey(other.ID), storage.JobRecord{Tasks: 1, Spec: &other, Activation: []byte(`{"state":"starting","generation":3}`)}),
		})
		if err != nil {
			t.Fatal(err)
		}
		now := time.Now()
		damaged, sound := d.state.Jobs.Get(spec.ID), d.state.Jobs.Get(other.ID)
		if damaged.MayPlace(now) || !sound.MayPlace(now) {
			t.Error("the wrong one may be placed")
		}
		if string(damaged.Record().Activation) != `{"state":"asleep","generation":3}` {
			t.Errorf("rewritten as %s", damaged.Record().Activation)
		}
		reply := make(chan activation.WakeResponse, 1)
		d.activation.demand(damaged, wakeMessage{activation.WakeRequest{Model: spec.ID, Generation: 3}, reply}, now)
		if response := <-reply; response.Verdict != activation.Damaged {
			t.Errorf("answered %+v", response)
		}
	})
}
