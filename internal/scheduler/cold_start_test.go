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

// runWakeWithFaults wakes the model once, and injects the faults at one point of the wake.
func (sim *simulation) runWakeWithFaults(point injectionPoint, faults ...coldStartFault) {
	sim.t.Helper()
	sim.setStuckPulling(true)
	time.AfterFunc(8*time.Second, func() { sim.completePulls() })
	for _, f := range faults {
		sim.requestsMayFail.Store(sim.requestsMayFail.Load() || f.mayRestart)
	}
	leader := sim.awaitLeader()
	ended := make(chan struct{}, len(faults))
	point.schedule(sim, func() {
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
			sim.t.Fatalf("a fault injected at the point %q hasn't ended", point.name)
		}
	}
	sim.awaitReady(clients)
	time.Sleep(2 * sim.settings.WorkerLease) // by then delayed messages have arrived
	sim.awaitReady(clients)
	sim.checkOneStartPerGeneration(1)
}

// Each case injects one fault at one point of a wake. The model must start exactly once. It may be restarted only after a
// fault of its machine or of the model itself.
func TestOneStartPerWake(t *testing.T) {
	for _, point := range wakeInjectionPoints() {
		for _, fault := range coldStartFaults {
			t.Run(point.name+"/"+fault.name, func(t *testing.T) {
				t.Parallel()
				runColdStart(t, func(sim *simulation) { sim.runWakeWithFaults(point, fault) })
			})
		}
	}
}

// zonesForSeed returns the zones of three controllers for an even seed, and of five for an odd one.
func zonesForSeed(seed uint64) []string {
	if seed%2 == 0 {
		return threeControllers
	}
	return fiveControllers
}

// The model starts exactly once per wake even if two faults are injected at the same point. The seed determines the point
// and the faults.
func TestOneStartPerWakeWithTwoFaults(t *testing.T) {
	points := wakeInjectionPoints()
	for seed := range uint64(40) {
		random := rand.New(rand.NewPCG(seed, 37))
		point, fault1, fault2 := points[random.IntN(len(points))], coldStartFaults[random.IntN(len(coldStartFaults))], coldStartFaults[random.IntN(len(coldStartFaults))]
		t.Run(fmt.Sprintf("%d/%s/%s/%s", seed, point.name, fault1.name, fault2.name), func(t *testing.T) {
			t.Parallel()
			runColdStartInZones(t, zonesForSeed(seed), func(sim *simulation) { sim.runWakeWithFaults(point, fault1, fault2) })
		})
	}
}

// A model without requests scales to zero, and starts once each time demand returns.
func TestScaleToZeroAndBack(t *testing.T) {
	runColdStart(t, func(sim *simulation) {
		clients := sim.startClients()
		for range 3 {
			sim.awaitReady(clients)
			if s := sim.modelStatus(); s.Record.State != activation.Ready || s.Record.Replica == activation.NoReplica || s.Reason == "" {
				t.Errorf("status %+v, want ready with a replica", s)
			}
			setClientsPaused(clients, true)
			sim.awaitScaledToZero()
			time.Sleep(sim.settings.WorkerLease)
			if s := sim.modelStatus(); s.Record.State != activation.Idle || s.Record.Replica != activation.NoReplica || s.Reason != "" {
				t.Errorf("status %+v, want idle without a replica", s)
			}
			setClientsPaused(clients, false)
		}
		sim.awaitReady(clients)
		sim.checkOneStartPerGeneration(4)
		sim.awaitRunning("000001", 2)
	})
}

// The model must not scale to zero while a controller has a request for the model in flight. A controller that reports no
// usage may have such requests, so the model must not scale to zero in this case either.
func TestUnresponsiveControllerPreventsScaleToZero(t *testing.T) {
	for name, disturb := range map[string]func(n *fakeNode){
		"crashed":            func(n *fakeNode) { n.kill() },
		"cut off from peers": func(n *fakeNode) { n.cutPeers.Store(true) },
		"request in flight":  func(n *fakeNode) { n.tracker.Load().Acquire(n.sim.t.Context(), modelID) },
	} {
		t.Run(name, func(t *testing.T) {
			runColdStart(t, func(sim *simulation) {
				clients := sim.startClients()
				sim.awaitReady(clients)
				setClientsPaused(clients, true)
				time.Sleep(sim.settings.HeartbeatInterval)
				follower := sim.followers(sim.awaitLeader())[0]
				disturb(follower)
				time.Sleep(4 * modelIdleWindow)
				if len(sim.runningTasks(modelID)) != 1 {
					t.Errorf("%d replicas run, want 1", len(sim.runningTasks(modelID)))
				}
				follower.cutPeers.Store(false)
				follower.restart()
				sim.awaitScaledToZero()
			})
		})
	}
}

// runDrainWithFaults wakes the model, lets it drain, and injects the faults at one point of the drain. The clients send
// requests again from demandDelay after the end of the idle window.
func (sim *simulation) runDrainWithFaults(point injectionPoint, demandDelay time.Duration, faults ...coldStartFault) {
	sim.t.Helper()
	clients := sim.startClients()
	sim.awaitReady(clients)
	setClientsPaused(clients, true)
	time.Sleep(modelIdleWindow / 2)
	for _, f := range faults {
		sim.requestsMayFail.Store(sim.requestsMayFail.Load() || f.mayRestart)
	}
	leader := sim.awaitLeader()
	point.schedule(sim, func() {
		for _, f := range faults {
			go f.inject(sim, leader)
		}
	})
	time.Sleep(modelIdleWindow/2 + demandDelay)
	setClientsPaused(clients, false)
	sim.awaitReady(clients)
	time.Sleep(2 * sim.settings.WorkerLease)
	sim.awaitReady(clients)
	sim.checkOneStartPerGeneration(1, 2)
}

// Each case injects one fault at one point of a drain. When requests for the model arrive again, they either cancel the drain
// or, once the model has stopped, begin the next generation. They never do both.
func TestDemandDuringDrain(t *testing.T) {
	for i, point := range drainInjectionPoints() {
		for k, fault := range coldStartFaults {
			t.Run(point.name+"/"+fault.name, func(t *testing.T) {
				t.Parallel()
				demandDelay := time.Duration(rand.New(rand.NewPCG(uint64(i), uint64(k))).Int64N(int64(8 * time.Second)))
				runColdStart(t, func(sim *simulation) { sim.runDrainWithFaults(point, demandDelay, fault) })
			})
		}
	}
}

// Requests that arrive during or after a drain either cancel the drain or begin the next generation, even if two faults are
// injected at the same point of the drain. The seed determines the point, the faults and the time of the requests.
func TestDemandDuringDrainWithTwoFaults(t *testing.T) {
	points := drainInjectionPoints()
	for seed := range uint64(40) {
		random := rand.New(rand.NewPCG(seed, 41))
		point, fault1, fault2 := points[random.IntN(len(points))], coldStartFaults[random.IntN(len(coldStartFaults))], coldStartFaults[random.IntN(len(coldStartFaults))]
		demandDelay := time.Duration(random.Int64N(int64(8 * time.Second)))
		t.Run(fmt.Sprintf("%d/%s/%s/%s", seed, point.name, fault1.name, fault2.name), func(t *testing.T) {
			t.Parallel()
			runColdStartInZones(t, zonesForSeed(seed), func(sim *simulation) { sim.runDrainWithFaults(point, demandDelay, fault1, fault2) })
		})
	}
}

// The model's job is cancelled at some point of a wake. The model doesn't start after the cancellation was acknowledged.
func TestCancelDuringWake(t *testing.T) {
	for _, point := range wakeInjectionPoints() {
		t.Run(point.name, func(t *testing.T) {
			t.Parallel()
			runColdStart(t, func(sim *simulation) {
				sim.requestsMayFail.Store(true)
				cancelled := make(chan time.Time, 1)
				point.schedule(sim, func() {
					sim.cancel(modelID)
					cancelled <- time.Now()
				})
				clients := sim.startClients()
				acknowledged := <-cancelled
				sim.crash(sim.awaitLeader(), time.Second)
				sim.awaitStopped(modelID)
				time.Sleep(sim.settings.CancelTimeout)
				for _, start := range sim.startsOf(modelID) {
					if start.at.After(acknowledged) {
						t.Errorf("the model started %v after its cancellation was acknowledged", start.at.Sub(acknowledged))
					}
				}
				setClientsPaused(clients, true)
				if decision := clients[0].node.tracker.Load().Acquire(sim.t.Context(), modelID); decision.Outcome != activator.Unknown {
					t.Errorf("Acquire() = %+v, want an unknown model", decision)
				}
			})
		})
	}
}

// When one controller is rolled back to a version that can't scale services to zero, services at zero are started and keep
// running. Their lifecycle records are removed before a controller of the older version may become leader.
func TestActivationWithdrawalStartsServices(t *testing.T) {
	for name, demand := range map[string]bool{"at zero": false, "during start": true} {
		t.Run(name, func(t *testing.T) {
			runColdStart(t, func(sim *simulation) {
				rolledBack := sim.followers(sim.awaitLeader())[0]
				var clients []*modelClient
				if demand {
					clients = sim.startClients()
					time.Sleep(20 * time.Millisecond)
				}
				rolledBack.restartWithVersion(upgrade.Version5)
				sim.awaitRunning(modelID, 1)
				sim.awaitActive(upgrade.Version5, time.Minute)
				sim.killAllBut(rolledBack)
				if sim.awaitLeader() != rolledBack {
					t.Errorf("%s doesn't lead, though no other controller runs", rolledBack.name)
				}
				time.Sleep(sim.settings.WorkerLease)
				sim.awaitRunning(modelID, 1)
				if n := len(sim.startsOf(modelID)); n != 1 {
					t.Errorf("the model started %d times, want once", n)
				}
				setClientsPaused(clients, true)
				sim.restartAllWithVersion(upgrade.Current)
				sim.awaitScaledToZero() // the model's class is still configured to scale to zero
			})
		})
	}
}

// A service with a damaged lifecycle record is neither started nor stopped. Other services are unaffected.
func TestDamagedActivationRecordAffectsOneService(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		spec := modelSpec(modelID)
		other := modelSpec("000003")
		s := clustertest.Settings()
		s.Tuning.Activation.Classes = []string{modelClass}
		sched := newTestScheduler(t, s)
		sched.activation.gate = upgrade.GateState{Phase: upgrade.GateOpen, Used: true}
		err := sched.loadRecords([]storage.Record{
			newRecord(t, storage.JobKey(spec.ID), storage.JobRecord{Tasks: 1, Spec: &spec, Activation: []byte(`{"state":"asleep","generation":3}`)}),
			newRecord(t, storage.JobKey(other.ID), storage.JobRecord{Tasks: 1, Spec: &other, Activation: []byte(`{"state":"starting","generation":3}`)}),
		})
		if err != nil {
			t.Fatal(err)
		}
		now := time.Now()
		damaged, intact := sched.state.Jobs.Get(spec.ID), sched.state.Jobs.Get(other.ID)
		if damaged.MayPlace(now) || !intact.MayPlace(now) {
			t.Errorf("MayPlace() = %v for the damaged service and %v for the other, want false and true", damaged.MayPlace(now), intact.MayPlace(now))
		}
		if string(damaged.Record().Activation) != `{"state":"asleep","generation":3}` {
			t.Errorf("the damaged record is rewritten as %s", damaged.Record().Activation)
		}
		reply := make(chan activation.WakeResponse, 1)
		sched.activation.handleDemand(damaged, wakeMessage{activation.WakeRequest{Model: spec.ID, Generation: 3}, reply}, now)
		if response := <-reply; response.Verdict != activation.VerdictDamaged {
			t.Errorf("wake response %+v, want verdict damaged", response)
		}
	})
}
