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

// runColdStartFaults wakes the model once, with faults at one moment of the wake.
func (sim *simulation) runColdStartFaults(m coldStartMoment, faults ...coldStartFault) {
	sim.t.Helper()
	sim.setStuckPulling(true)
	time.AfterFunc(8*time.Second, func() { sim.completePulls() })
	for _, f := range faults {
		sim.requestsMayFail.Store(sim.requestsMayFail.Load() || f.mayRestart)
	}
	leader := sim.awaitLeader()
	ended := make(chan struct{}, len(faults))
	m.schedule(sim, func() {
		for _, f := range faults {
			go func() {
				f.inject(sim, leader)
				ended <- struct{}{}
			}()
		}
	})
	clients := sim.startClients()
	for range faults {
		select {
		case <-ended:
		case <-time.After(2 * time.Minute):
			sim.t.Fatalf("a fault at the moment %q hasn't passed", m.name)
		}
	}
	sim.awaitReady(clients)
	time.Sleep(2 * sim.settings.WorkerLease) // until delayed messages have arrived
	sim.awaitReady(clients)
	sim.checkStarts(1)
}

// Whatever fails at whichever moment of a wake, the model starts once.
func TestOneStartPerWake(t *testing.T) {
	for _, m := range coldStartMoments() {
		for _, fault := range coldStartFaults {
			t.Run(m.name+"/"+fault.name, func(t *testing.T) {
				t.Parallel()
				runColdStart(t, func(sim *simulation) { sim.runColdStartFaults(m, fault) })
			})
		}
	}
}

// zonesForSeed returns the zones of three controllers or of five, in turn.
func zonesForSeed(seed uint64) []string {
	if seed%2 == 0 {
		return threeControllers
	}
	return fiveControllers
}

// Two faults at once, drawn by seed.
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

// A model without requests scales to zero, and each return of demand starts it once.
func TestScaleToZeroAndBack(t *testing.T) {
	runColdStart(t, func(sim *simulation) {
		clients := sim.startClients()
		for range 3 {
			sim.awaitReady(clients)
			if s := sim.modelStatus(); s.Record.State != activation.Ready || s.Record.Replica == activation.NoReplica || s.Why == "" {
				t.Errorf("status %+v, want ready with a replica", s)
			}
			setPaused(clients, true)
			sim.awaitZero()
			time.Sleep(sim.settings.WorkerLease)
			if s := sim.modelStatus(); s.Record.State != activation.Idle || s.Record.Replica != activation.NoReplica || s.Why != "" {
				t.Errorf("status %+v, want idle without a replica", s)
			}
			setPaused(clients, false)
		}
		sim.awaitReady(clients)
		sim.checkStarts(4)
		sim.awaitRunning("000001", 2)
	})
}

// A controller that reports no usage may have requests, so that the model must stay up; so it must for one that has
// requests in flight.
func TestUnresponsiveControllerPreventsScaleToZero(t *testing.T) {
	for name, disturb := range map[string]func(n *fakeNode){
		"crashed":            func(n *fakeNode) { n.kill() },
		"cut off from peers": func(n *fakeNode) { n.cutPeers.Store(true) },
		"request in flight":  func(n *fakeNode) { n.tracker.Load().Acquire(n.sim.t.Context(), coldModel) },
	} {
		t.Run(name, func(t *testing.T) {
			runColdStart(t, func(sim *simulation) {
				clients := sim.startClients()
				sim.awaitReady(clients)
				setPaused(clients, true)
				time.Sleep(sim.settings.HeartbeatInterval)
				n := sim.followers(sim.awaitLeader())[0]
				disturb(n)
				time.Sleep(4 * coldIdle)
				if len(sim.runningTasks(coldModel)) != 1 {
					t.Errorf("%d replicas run, want 1", len(sim.runningTasks(coldModel)))
				}
				n.cutPeers.Store(false)
				n.restart()
				sim.awaitZero()
			})
		})
	}
}

// runDrainFaults wakes and drains the model, with faults at one moment of the drain; demand returns the given time after the
// idle window.
func (sim *simulation) runDrainFaults(m coldStartMoment, after time.Duration, faults ...coldStartFault) {
	sim.t.Helper()
	clients := sim.startClients()
	sim.awaitReady(clients)
	setPaused(clients, true)
	time.Sleep(coldIdle / 2)
	for _, f := range faults {
		sim.requestsMayFail.Store(sim.requestsMayFail.Load() || f.mayRestart)
	}
	leader := sim.awaitLeader()
	m.schedule(sim, func() {
		for _, f := range faults {
			go f.inject(sim, leader)
		}
	})
	time.Sleep(coldIdle/2 + after)
	setPaused(clients, false)
	sim.awaitReady(clients)
	time.Sleep(2 * sim.settings.WorkerLease)
	sim.awaitReady(clients)
	sim.checkStarts(1, 2)
}

// Whatever fails at whichever moment of a drain: demand that returns either cancels the drain or, once the model has
// stopped, begins the next generation, never both.
func TestDemandDuringDrain(t *testing.T) {
	for i, m := range drainMoments() {
		for k, fault := range coldStartFaults {
			t.Run(m.name+"/"+fault.name, func(t *testing.T) {
				t.Parallel()
				after := time.Duration(rand.New(rand.NewPCG(uint64(i), uint64(k))).Int64N(int64(8 * time.Second)))
				runColdStart(t, func(sim *simulation) { sim.runDrainFaults(m, after, fault) })
			})
		}
	}
}

// Two faults at once, drawn by seed.
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

// A cancellation takes precedence over a wake at every moment: nothing starts after it has been acknowledged.
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
				acknowledged := <-cancelled
				sim.crash(sim.awaitLeader(), time.Second)
				sim.awaitStopped(coldModel)
				time.Sleep(sim.settings.CancelTimeout)
				for _, start := range sim.startsOf(coldModel) {
					if start.at.After(acknowledged) {
						t.Errorf("the model started %v after its cancellation was acknowledged", start.at.Sub(acknowledged))
					}
				}
				setPaused(clients, true)
				if d := clients[0].node.tracker.Load().Acquire(sim.t.Context(), coldModel); d.Outcome != activator.Unknown {
					t.Errorf("Acquire() = %+v, want an unknown model", d)
				}
			})
		})
	}
}

// One controller is rolled back: services at zero are started and stay up, and their activation records are removed before the
// older version may lead.
func TestActivationWithdrawalStartsServices(t *testing.T) {
	for name, demand := range map[string]bool{"at zero": false, "during start": true} {
		t.Run(name, func(t *testing.T) {
			runColdStart(t, func(sim *simulation) {
				back := sim.followers(sim.awaitLeader())[0]
				var clients []*modelClient
				if demand {
					clients = sim.startClients()
					time.Sleep(20 * time.Millisecond)
				}
				back.restartWithVersion(upgrade.Version5)
				sim.awaitRunning(coldModel, 1)
				sim.awaitActive(upgrade.Version5, time.Minute)
				sim.killAllBut(back)
				if sim.awaitLeader() != back {
					t.Errorf("%s doesn't lead, though no other controller runs", back.name)
				}
				time.Sleep(sim.settings.WorkerLease)
				sim.awaitRunning(coldModel, 1)
				if n := len(sim.startsOf(coldModel)); n != 1 {
					t.Errorf("the model started %d times, want once", n)
				}
				setPaused(clients, true)
				sim.restartAllWithVersion(upgrade.Current)
				sim.awaitZero() // its class is still listed
			})
		})
	}
}

// A service with a damaged activation record is neither started nor stopped; other services are unaffected.
func TestDamagedActivationRecordAffectsOneService(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		spec := modelSpec(coldModel)
		other := modelSpec("000003")
		s := clustertest.Settings()
		s.Tuning.Activation.Classes = []string{coldClass}
		d := newTestScheduler(t, s)
		d.activation.gate = upgrade.GateState{Phase: upgrade.GateOpen, Used: true}
		err := d.loadRecords([]storage.Record{
			newRecord(t, storage.JobKey(spec.ID), storage.JobRecord{Tasks: 1, Spec: &spec, Activation: []byte(`{"state":"asleep","generation":3}`)}),
			newRecord(t, storage.JobKey(other.ID), storage.JobRecord{Tasks: 1, Spec: &other, Activation: []byte(`{"state":"starting","generation":3}`)}),
		})
		if err != nil {
			t.Fatal(err)
		}
		now := time.Now()
		damaged, intact := d.state.Jobs.Get(spec.ID), d.state.Jobs.Get(other.ID)
		if damaged.MayPlace(now) || !intact.MayPlace(now) {
			t.Errorf("MayPlace() = %v for the damaged service and %v for the other, want false and true", damaged.MayPlace(now), intact.MayPlace(now))
		}
		if string(damaged.Record().Activation) != `{"state":"asleep","generation":3}` {
			t.Errorf("the damaged record is rewritten as %s", damaged.Record().Activation)
		}
		reply := make(chan activation.WakeResponse, 1)
		d.activation.handleDemand(damaged, wakeMessage{activation.WakeRequest{Model: spec.ID, Generation: 3}, reply}, now)
		if response := <-reply; response.Verdict != activation.Damaged {
			t.Errorf("wake response %+v, want verdict damaged", response)
		}
	})
}
