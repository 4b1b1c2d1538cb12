package coordination

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"sagevale/internal/activation"
	"sagevale/internal/storage"
	"sagevale/internal/storage/storagetest"
	"sagevale/internal/upgrade"
)

// The model that the cold starts are about, and its class.
const (
	coldModel = "000002"
	coldClass = "model"
)

func (sim *simulation) noteWakeRequest(req activation.WakeRequest) {
	sim.locked(func() { sim.wakes = append(sim.wakes, req) })
}

// replayWakes brings all wake requests that were ever sent to all nodes again.
func (sim *simulation) replayWakes() {
	var sent []activation.WakeRequest
	sim.locked(func() { sent = append(sent, sim.wakes...) })
	for _, n := range sim.nodes {
		for _, req := range sent {
			if live := n.live.Load(); live != nil {
				live.LocalWake(sim.t.Context(), req)
			}
		}
	}
}

func (sim *simulation) launchesOf(id string) (out []launch) {
	sim.locked(func() { out = append(out, sim.launches[id]...) })
	return out
}

// model is a service that is at zero until there is demand.
func model(id string) storage.Spec {
	s := service(id, 1)
	s.Class = coldClass
	return s
}

// inColdStart runs a scenario with a model at zero beside a service that runs.
func inColdStart(t *testing.T, story func(sim *simulation)) {
	t.Helper()
	tune := func(tuning *Tuning) { tuning.Activation.Classes = []string{coldClass} }
	inSimulationTuned(t, func(*Settings) {}, tune, func(sim *simulation) {
		sim.awaitActive(upgrade.Current, time.Minute)
		sim.submit(service("000001", 2))
		sim.runs("000001", 2)
		sim.submit(model(coldModel))
		time.Sleep(2 * sim.settings.Report)
		if n := len(sim.launchesOf(coldModel)); n != 0 {
			t.Errorf("started %d times without demand", n)
		}
		story(sim)
	})
}

// client asks for the model at one node until it answers, and again.
type client struct {
	node  *fakeNode
	ready atomic.Bool // what the latest answer said
	last  uint64      // the latest generation that it was told of
}

// demand has clients of all nodes ask for the model within a millisecond, and go on.
func (sim *simulation) demand() []*client {
	var clients []*client
	for i, n := range sim.nodes {
		c := &client{node: n}
		clients = append(clients, c)
		go func() {
			time.Sleep(time.Duration(i) * 300 * time.Microsecond)
			for !sim.over.Load() {
				c.ask(sim)
				time.Sleep(100 * time.Millisecond)
			}
		}()
	}
	return clients
}

func (c *client) ask(sim *simulation) {
	ctx, cancel := context.WithTimeout(context.Background(), sim.settings.Report)
	defer cancel()
	response := c.node.tracker.Load().Lookup(ctx, coldModel)
	c.ready.Store(response.Ready() && c.node.live.Load() != nil)
	if response.Verdict != activation.Known {
		return
	}
	if response.Generation < c.last {
		sim.t.Errorf("%s tells generation %d after %d", c.node.name, response.Generation, c.last)
	}
	c.last = response.Generation
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
		return len(sim.running(coldModel)) == 1
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
		sim.processes.Lock()
		n.kill()
		sim.processes.Unlock()
	}
	time.Sleep(back)
	for _, n := range nodes {
		sim.processes.Lock()
		if n.end == nil {
			n.start()
		}
		sim.processes.Unlock()
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
	{"the leader stands still for longer than its grant", func(sim *simulation, lead *fakeNode) { lead.freeze(coldTroubleSpan) }, false},
	{"two of three end", func(sim *simulation, lead *fakeNode) {
		sim.end(4*time.Second, lead, sim.followers(lead)[0])
	}, false},
	{"all end", func(sim *simulation, _ *fakeNode) {
		sim.end(4*time.Second, sim.nodes...)
	}, false},
	{"a follower with demand ends", func(sim *simulation, lead *fakeNode) { sim.end(4*time.Second, sim.followers(lead)[0]) }, false},
	{"the leader loses the state service", func(sim *simulation, lead *fakeNode) {
		sim.passing(func() { lead.cutState.Store(true) }, func() { lead.cutState.Store(false) })
	}, false},
	{"the leader loses its peers", func(sim *simulation, lead *fakeNode) {
		sim.passing(func() { lead.cutPeers.Store(true) }, func() { lead.cutPeers.Store(false) })
	}, false},
	{"the leader loses the workers", func(sim *simulation, lead *fakeNode) {
		sim.passing(func() { lead.cutWork.Store(true) }, func() { lead.cutWork.Store(false) })
	}, false},
	{"the state service is out", func(sim *simulation, _ *fakeNode) { sim.outage(coldTroubleSpan) }, false},
	{"answers of the state service are lost", func(sim *simulation, _ *fakeNode) {
		sim.state.Trouble(func(s *storagetest.Service) { s.LoseAnswers = 3 })
	}, false},
	{"transactions come late", func(sim *simulation, _ *fakeNode) {
		sim.passing(func() { sim.lateWrites(2, time.Second) }, func() { sim.lateWrites(0, 0) })
	}, false},
	{"reports and demand come again late", func(sim *simulation, _ *fakeNode) {
		sim.keepReports()
		for range 5 {
			time.Sleep(time.Second)
			sim.replay(sim.nodes...)
			sim.replayWakes()
		}
	}, false},
	{"the machine dies", func(sim *simulation, _ *fakeNode) {
		for _, wk := range sim.machinesOf(coldModel) {
			wk.dead.Store(true)
		}
	}, true},
	{"the machine stands still", func(sim *simulation, _ *fakeNode) {
		for _, wk := range sim.machinesOf(coldModel) {
			sim.passing(func() { wk.still.Store(true) }, func() { wk.still.Store(false); wk.catchUp() })
		}
	}, true},
	{"the model ends after its first answers", func(sim *simulation, _ *fakeNode) {
		sim.locked(func() { sim.failing[coldModel] = time.Second })
		time.Sleep(6 * coldTroubleSpan)
		sim.locked(func() { delete(sim.failing, coldModel) })
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
		led = led || g.Key == leadKey
	}
	for _, op := range tx.Ops {
		led = led && !strings.HasPrefix(op.Key, upgradePrefix)
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
				sim.state.Trouble(func(s *storagetest.Service) { s.Drop = nthWrite(nth, strike) })
			}},
			coldMoment{"when " + name + " is written", func(sim *simulation, strike func()) {
				once := nthWrite(nth, strike)
				sim.state.Trouble(func(s *storagetest.Service) { s.Before = func(tx storagetest.Txn) { once(tx) } })
			}},
			coldMoment{"when " + name + " is written, without an answer", func(sim *simulation, strike func()) {
				sim.state.Trouble(func(s *storagetest.Service) { s.Lose = nthWrite(nth, strike) })
			}})
	}
	return moments
}

// coldStart plays one wake with troubles at a moment of it.
func (sim *simulation) coldStart(m coldMoment, troubles ...coldTrouble) {
	sim.t.Helper()
	for _, wk := range sim.all() {
		wk.fetches.Store(true)
	}
	time.AfterFunc(8*time.Second, func() { sim.imagesCome() })
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
	time.Sleep(2 * sim.settings.Lease) // what comes late has come
	sim.awaitReady(clients)
	sim.judge(troubles)
}

// imagesCome has all machines fetch images at once, and those that are awaited arrive.
func (sim *simulation) imagesCome() {
	sim.locked(func() {
		for _, wk := range sim.workers {
			wk.fetches.Store(false)
			for _, t := range wk.tasks {
				if t.state == Pulling {
					t.state = Running
				}
			}
		}
	})
}

// judge counts the starts of the only wake by the workers' own account.
func (sim *simulation) judge(troubles []coldTrouble) {
	sim.t.Helper()
	restarts := false
	for _, c := range troubles {
		restarts = restarts || c.restarts
	}
	launches := sim.launchesOf(coldModel)
	if !restarts && len(launches) != 1 {
		sim.t.Errorf("one wake, %d starts: %+v", len(launches), launches)
	}
	for i, l := range launches {
		if i > 0 && l.try <= launches[i-1].try {
			sim.t.Errorf("attempt %d after %d", l.try, launches[i-1].try)
		}
	}
	response := sim.awaitLeader().node.Wake(sim.t.Context(), activation.WakeRequest{Model: coldModel})
	if !restarts && response.Generation != 1 {
		sim.t.Errorf("one wake, generation %d", response.Generation)
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

// The same with two troubles at once, drawn by seed.
func TestOneStartPerWakeWithTwoTroubles(t *testing.T) {
	moments := coldMoments()
	for seed := range uint64(40) {
		random := rand.New(rand.NewPCG(seed, 37))
		m, a, b := moments[random.IntN(len(moments))], coldTroubles[random.IntN(len(coldTroubles))], coldTroubles[random.IntN(len(coldTroubles))]
		t.Run(fmt.Sprintf("%d/%s/%s/%s", seed, m.name, a.name, b.name), func(t *testing.T) {
			t.Parallel()
			inColdStart(t, func(sim *simulation) { sim.coldStart(m, a, b) })
		})
	}
}
