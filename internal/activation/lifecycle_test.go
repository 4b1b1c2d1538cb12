package activation

import (
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// In any sequence of events with lost, unanswered and delayed writes:
//
//   - There is at most one replica at a time, and generations increase by one.
//   - No request is forwarded to a replica that is being stopped.
//   - Every record stays the same when it is encoded and decoded.
//   - The service ends up idle or failed.
func TestAtMostOneReplicaInAnySequenceOfEvents(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sim := newSimulation()
		t.Repeat(map[string]func(*rapid.T){
			"step": func(t *rapid.T) {
				sim.step(func(n int) int { return rapid.IntRange(0, n-1).Draw(t, "choice") })
			},
			"": func(t *rapid.T) {
				if len(sim.violations) > 0 {
					t.Fatal(sim.violations[0])
				}
			},
		})
		if sim.settle(); len(sim.violations) > 0 {
			t.Fatal(sim.violations[0])
		}
	})
}

const historySeeds = 60

// runHistory creates a simulation, lets configure change the simulation, and then runs a long random history
// in it. It stops at the first violated invariant.
func runHistory(seed uint64, configure func(sim *simulation)) *simulation {
	random := rand.New(rand.NewPCG(seed, 2))
	sim := newSimulation()
	configure(sim)
	for range 4000 {
		if sim.step(random.IntN); len(sim.violations) > 0 {
			break
		}
	}
	return sim
}

func TestLongHistoriesKeepInvariants(t *testing.T) {
	const minWakes = 200 // histories with fewer wakes would hardly exercise the lifecycle
	wakes := uint64(0)
	for seed := range uint64(historySeeds) {
		sim := runHistory(seed, func(sim *simulation) { sim.maxStepIntervalMS = []int{4000, 500}[seed%2] })
		if len(sim.violations) > 0 {
			t.Errorf("seed %d: %s", seed, sim.violations[0])
		}
		wakes += sim.record.Generation
	}
	if wakes < minWakes {
		t.Errorf("got %d wakes in %d histories, want at least %d", wakes, historySeeds, minWakes)
	}
}

// Each case removes one safeguard of the lifecycle. The simulation must then detect a violated invariant.
func TestSimulationDetectsMissingGuards(t *testing.T) {
	faulty := func(apply transition) func(*simulation) {
		return func(sim *simulation) { sim.transition = apply }
	}
	for name, configure := range map[string]func(*simulation){
		"another replica is reserved before the old one is proved gone": faulty(func(r Record, e Event, p *Policy, now time.Time) (Record, Action) {
			if next, action := r.Apply(e, p, now); !next.Abandoned {
				return next, action
			}
			r.Replica = NoReplica
			return r.enterState(Starting, now), Reserve
		}),
		"demand for any generation starts the next replica while the old one is being stopped": faulty(func(r Record, e Event, p *Policy, now time.Time) (Record, Action) {
			if _, demand := e.(Demand); demand && r.State == Stopping {
				r.Replica = NoReplica
				return r.startNextGeneration(now)
			}
			return r.Apply(e, p, now)
		}),
		"the acknowledgement of an earlier drain counts": faulty(func(r Record, e Event, p *Policy, now time.Time) (Record, Action) {
			if _, drained := e.(Drained); drained && r.State == Draining {
				return r.enterState(Stopping, now), Stop
			}
			return r.Apply(e, p, now)
		}),
		"the replica is stopped without a drain": faulty(func(r Record, e Event, p *Policy, now time.Time) (Record, Action) {
			if next, action := r.Apply(e, p, now); next.State != Draining {
				return next, action
			}
			return r.enterState(Stopping, now), Stop
		}),
		"the end of an earlier replica counts": faulty(func(r Record, e Event, p *Policy, now time.Time) (Record, Action) {
			if gone, ok := e.(ReplicaGone); ok && r.Replica != NoReplica {
				gone.Generation, gone.Attempt = r.Generation, r.Replica
				e = gone
			}
			return r.Apply(e, p, now)
		}),
		"a new leader ignores views of the previous term": func(sim *simulation) {
			sim.assumedViewLease, sim.maxStepIntervalMS = 0, 500
		},
	} {
		t.Run(name, func(t *testing.T) {
			violations := 0
			for seed := range uint64(historySeeds) {
				violations += len(runHistory(seed, configure).violations)
			}
			if violations == 0 {
				t.Errorf("got no violated invariants in %d histories, want some", historySeeds)
			}
		})
	}
}
