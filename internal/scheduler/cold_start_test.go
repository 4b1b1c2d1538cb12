package scheduler

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"sagevale/internal/activation"
	"sagevale/internal/activator"
	"sagevale/internal/cluster/clustertest"
	"sagevale/internal/storage"
	"sagevale/internal/upgrade"
)

// runColdStartFaults plays one wake with troubles at a moment of it.
func (sim *simulation) runColdStartFaults(m coldStartMoment, troubles ...coldStartFault) {
	sim.t.Helper()
	for _, wk := range sim.allWorkers() {
		wk.stuckPulling.Store(true)
	}
	time.AfterFunc(8*time.Second, func() { sim.completePulls() })
	for _, c := range troubles {
		sim.requestsMayFail.Store(sim.requestsMayFail.Load() || c.mayRestart)
	}
	lead := sim.awaitLeader()
	struck := make(chan struct{}, len(troubles))
	m.schedule(sim, func() {
		for _, c := range troubles {
			go func() {
				c.inject(sim, lead)
				struck <- struct{}{}
			}()
		}
	})
	clients := sim.startClients()
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
	sim.checkStarts(1)
}

// Whatever fails at whichever moment of a wake, it starts the model once.
func TestOneStartPerWake(t *testing.T) {
	for _, m := range coldStartMoments() {
		for _, c := range coldStartFaults {
			t.Run(m.name+"/"+c.name, func(t *testing.T) {
				t.Parallel()
				runColdStart(t, func(sim *simulation) { sim.runColdStartFaults(m, c) })
			})
		}
	}
}

// zonesForSeed is three controllers or five, in turn.
func zonesForSeed(seed uint64) []string {
	if seed%2 == 0 {
		return threeControllers
	}
	return fiveControllers
}

// The same with two troubles at once, drawn by seed.
func TestOneStartPerWakeWithTwoFaults(t *testing.T) {
	moments := coldStartMoments()
	for seed := range uint64(40) {
		random := rand.New(rand.NewPCG(seed, 37))
		m, a, b := moments[random.IntN(len(moments))], coldStartFaults[random.IntN(len(coldStartFaults))], coldStartFaults[random.IntN(len(coldStartFaults))]
		t.Run(fmt.Sprintf("%d/%s/%s/%s", seed, m.name, a.name, b.name), func(t *testing.T) {
			t.Parallel()
			runColdStartInZones(t, zonesForSeed(seed), func(sim *simulation) { sim.runColdStartFaults(m, a, b) })
		})
	}
}

// A model that nobody asks for goes back to zero, and comes back once, again and again.
func TestScaleToZeroAndBack(t *testing.T) {
	runColdStart(t, func(sim *simulation) {
		clients := sim.startClients()
		for range 3 {
			sim.awaitReady(clients)
			if s := sim.modelStatus(); s.Record.State != activation.Ready || s.Record.Replica == activation.NoReplica || s.Why == "" {
				t.Errorf("status %+v", s)
			}
			setPaused(clients, true)
			sim.awaitZero()
			time.Sleep(sim.settings.WorkerLease)
			if s := sim.modelStatus(); s.Record.State != activation.Idle || s.Record.Replica != activation.NoReplica || s.Why != "" {
				t.Errorf("status %+v", s)
			}
			setPaused(clients, false)
		}
		sim.awaitReady(clients)
		sim.checkStarts(4)
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
			runColdStart(t, func(sim *simulation) {
				clients := sim.startClients()
				sim.awaitReady(clients)
				setPaused(clients, true)
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

// runDrainFaults plays a wake, a drain with troubles at a moment of it, and demand that comes back meanwhile.
func (sim *simulation) runDrainFaults(m coldStartMoment, after time.Duration, troubles ...coldStartFault) {
	sim.t.Helper()
	clients := sim.startClients()
	sim.awaitReady(clients)
	setPaused(clients, true)
	time.Sleep(coldIdle / 2)
	for _, c := range troubles {
		sim.requestsMayFail.Store(sim.requestsMayFail.Load() || c.mayRestart)
	}
	lead := sim.awaitLeader()
	m.schedule(sim, func() {
		for _, c := range troubles {
			go c.inject(sim, lead)
		}
	})
	time.Sleep(coldIdle/2 + after)
	setPaused(clients, false)
	sim.awaitReady(clients)
	time.Sleep(2 * sim.settings.WorkerLease)
	sim.awaitReady(clients)
	sim.checkStarts(1, 2)
}

// Whatever fails at whichever moment of a drain: demand that comes back revives the model, or begins
// the next generation once it has stopped, never both.
func TestDemandDuringDrain(t *testing.T) {
	for i, m := range drainMoments() {
		for k, c := range coldStartFaults {
			t.Run(m.name+"/"+c.name, func(t *testing.T) {
				t.Parallel()
				after := time.Duration(rand.New(rand.NewPCG(uint64(i), uint64(k))).Int64N(int64(8 * time.Second)))
				runColdStart(t, func(sim *simulation) { sim.runDrainFaults(m, after, c) })
			})
		}
	}
}

// The same with two troubles at once, drawn by seed.
func TestDemandDuringDrainWithTwoFaults(t *testing.T) {
	moments := drainMoments()
	for seed := range uint64(40) {
		random := rand.New(rand.NewPCG(seed, 41))
		m, a, b := moments[random.IntN(len(moments))], coldStartFaults[random.IntN(len(coldStartFaults))], coldStartFaults[random.IntN(len(coldStartFaults))]
		after := time.Duration(random.Int64N(int64(8 * time.Second)))
		t.Run(fmt.Sprintf("%d/%s/%s/%s", seed, m.name, a.name, b.name), func(t *testing.T) {
			t.Parallel()
			runColdStartInZones(t, zonesForSeed(seed), func(sim *simulation) { sim.runDrainFaults(m, after, a, b) })
		})
	}
}

// Cancellation outranks a wake at every moment: nothing starts after a user was told.
func TestCancelDuringWake(t *testing.T) {
	for _, m := range coldStartMoments() {
		t.Run(m.name, func(t *testing.T) {
			t.Parallel()
			runColdStart(t, func(sim *simulation) {
				sim.requestsMayFail.Store(true)
				cancelled := make(chan time.Time, 1)
				m.schedule(sim, func() {
					sim.cancel(coldModel)
					cancelled <- time.Now()
				})
				clients := sim.startClients()
				told := <-cancelled
				sim.crash(sim.awaitLeader(), time.Second)
				sim.awaitStopped(coldModel)
				time.Sleep(sim.settings.CancelTimeout)
				for _, l := range sim.startsOf(coldModel) {
					if l.at.After(told) {
						t.Errorf("started %v after its user was told", l.at.Sub(told))
					}
				}
				setPaused(clients, true)
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
			runColdStart(t, func(sim *simulation) {
				back := sim.followers(sim.awaitLeader())[0]
				var clients []*modelClient
				if awake {
					clients = sim.startClients()
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
				if n := len(sim.startsOf(coldModel)); n != 1 {
					t.Errorf("%d starts", n)
				}
				setPaused(clients, true)
				sim.restartAllWithVersion(upgrade.Current)
				sim.awaitZero() // its class is listed still
			})
		})
	}
}

// A service whose lifecycle can't be understood is neither started nor stopped; the others go on.
func TestDamagedActivationRecordAffectsOneService(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		spec := modelSpec(coldModel)
		other := modelSpec("000003")
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
