package activation

import (
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// In any sequence of events, with any writes lost, there is at most one replica at a time, generations
// increase by one, no request is passed on to a replica that is being stopped, every record is decoded
// as it was encoded, and the model settles.
func TestAtMostOneReplicaInAnySequenceOfEvents(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld()
		t.Repeat(map[string]func(*rapid.T){
			"step": func(t *rapid.T) {
				w.step(func(n int) int { return rapid.IntRange(0, n-1).Draw(t, "choice") })
			},
			"": func(t *rapid.T) {
				if len(w.faults) > 0 {
					t.Fatal(w.faults[0])
				}
			},
		})
		if w.settle(); len(w.faults) > 0 {
			t.Fatal(w.faults[0])
		}
	})
}

const historySeeds = 60

// runHistory runs the model, varied by vary, for a long random history or until a fault.
func runHistory(seed uint64, vary func(w *world)) *world {
	random := rand.New(rand.NewPCG(seed, 2))
	w := newWorld()
	vary(w)
	for range 4000 {
		if w.step(random.IntN); len(w.faults) > 0 {
			break
		}
	}
	return w
}

func TestLongHistoriesKeepInvariants(t *testing.T) {
	const minWakes = 200 // fewer prove too little
	wakes := uint64(0)
	for seed := range uint64(historySeeds) {
		w := runHistory(seed, func(w *world) { w.maxStrideMS = []int{4000, 500}[seed%2] })
		if len(w.faults) > 0 {
			t.Errorf("seed %d: %s", seed, w.faults[0])
		}
		wakes += w.record.Generation
	}
	if wakes < minWakes {
		t.Errorf("got %d wakes in %d histories, want at least %d", wakes, historySeeds, minWakes)
	}
}

// The model is strict enough to detect lifecycles that lack a guard.
func TestModelDetectsMissingGuards(t *testing.T) {
	faulty := func(apply transition) func(*world) {
		return func(w *world) { w.transition = apply }
	}
	for name, vary := range map[string]func(*world){
		"another replica is reserved before the old one is proved gone": faulty(func(r Record, e Event, p *Policy, now time.Time) (Record, Action) {
			if next, action := r.Apply(e, p, now); !next.Abandoned {
				return next, action
			}
			r.Replica = NoReplica
			return r.enter(Starting, now), Reserve
		}),
		"demand for an earlier generation wakes": faulty(func(r Record, e Event, p *Policy, now time.Time) (Record, Action) {
			if _, demand := e.(Demand); demand && r.State == Stopping {
				r.Replica = NoReplica
				return r.wake(now)
			}
			return r.Apply(e, p, now)
		}),
		"the acknowledgement of an earlier drain counts": faulty(func(r Record, e Event, p *Policy, now time.Time) (Record, Action) {
			if _, drained := e.(Drained); drained && r.State == Draining {
				return r.enter(Stopping, now), Stop
			}
			return r.Apply(e, p, now)
		}),
		"the replica is stopped without a drain": faulty(func(r Record, e Event, p *Policy, now time.Time) (Record, Action) {
			if next, action := r.Apply(e, p, now); next.State != Draining {
				return next, action
			}
			return r.enter(Stopping, now), Stop
		}),
		"the end of an earlier replica counts": faulty(func(r Record, e Event, p *Policy, now time.Time) (Record, Action) {
			if gone, ok := e.(ReplicaGone); ok && r.Replica != NoReplica {
				gone.Generation, gone.Attempt = r.Generation, r.Replica
				e = gone
			}
			return r.Apply(e, p, now)
		}),
		"a new leader ignores views of the term before": func(w *world) {
			w.unknownLease, w.maxStrideMS = 0, 500
		},
	} {
		t.Run(name, func(t *testing.T) {
			faults := 0
			for seed := range uint64(historySeeds) {
				faults += len(runHistory(seed, vary).faults)
			}
			if faults == 0 {
				t.Errorf("got no faults in %d histories, want some", historySeeds)
			}
		})
	}
}
