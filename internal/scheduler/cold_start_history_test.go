package scheduler

import (
	"slices"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"

	"sagevale/internal/activation"
)

// noteServed adds a forwarded request to the history.
func (sim *simulation) noteServed(client int, called time.Time, generation uint64) {
	sim.withLock(func() {
		sim.served = append(sim.served, porcupine.Operation{
			ClientId: client, Call: called.UnixNano(), Return: time.Now().UnixNano(), Output: generation,
		})
	})
}

// servedModel is the sequential specification of forwarded requests: each is served by the generation of
// the one before, or by a later one.
var servedModel = porcupine.Model{
	Init: func() any { return uint64(0) },
	Step: func(state, _, output any) (bool, any) {
		before, served := state.(uint64), output.(uint64)
		return served >= before, served
	},
}

// checkServed checks that the history of requests is linearizable.
func (sim *simulation) checkServed() {
	sim.t.Helper()
	var served []porcupine.Operation
	sim.withLock(func() { served = append(served, sim.served...) })
	if !porcupine.CheckOperations(servedModel, served) {
		sim.t.Errorf("the history of %d requests is not linearizable", len(served))
	}
}

func TestServedModelRejectsEarlierGeneration(t *testing.T) {
	operation := func(call, end int64, generation uint64) porcupine.Operation {
		return porcupine.Operation{Call: call, Return: end, Output: generation}
	}
	concurrent := []porcupine.Operation{operation(0, 10, 2), operation(5, 15, 1), operation(20, 30, 2)}
	if !porcupine.CheckOperations(servedModel, concurrent) {
		t.Error("concurrent requests in either order are rejected")
	}
	if porcupine.CheckOperations(servedModel, append(concurrent, operation(31, 40, 1))) {
		t.Error("a request served by an earlier generation is accepted")
	}
}

// checkStarts checks, by the workers' record, that the model started once in each generation, and that the present generation is
// one of those given.
func (sim *simulation) checkStarts(generations ...uint64) {
	sim.t.Helper()
	starts := sim.startsOf(coldModel)
	for i, start := range starts {
		if i > 0 && start.attempt <= starts[i-1].attempt {
			sim.t.Errorf("attempt %d starts after attempt %d", start.attempt, starts[i-1].attempt)
		}
	}
	generation := sim.awaitLeader().node.Wake(sim.t.Context(), activation.WakeRequest{Model: coldModel}).Generation
	sim.checkServed()
	if sim.requestsMayFail.Load() {
		return
	}
	if !slices.Contains(generations, generation) || len(starts) != int(generation) {
		sim.t.Errorf("%d starts in generation %d, want one in each of a generation of %v: %+v", len(starts), generation, generations, starts)
	}
}
