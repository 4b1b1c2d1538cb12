package scheduler

import (
	"slices"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"

	"sagevale/internal/activation"
)

// recordServedRequest adds a request that a node forwarded to the model to the history of served requests. generation is the
// generation of the model that served the request. Each wake of the model begins a new generation.
func (sim *simulation) recordServedRequest(client int, called time.Time, generation uint64) {
	sim.withLock(func() {
		sim.servedRequests = append(sim.servedRequests, porcupine.Operation{
			ClientId: client, Call: called.UnixNano(), Return: time.Now().UnixNano(), Output: generation,
		})
	})
}

// servedRequestSpec is the sequential specification of forwarded requests: each request is served by the same generation of the
// model as the request before it, or by a later generation.
var servedRequestSpec = porcupine.Model{
	Init: func() any { return uint64(0) },
	Step: func(state, _, output any) (bool, any) {
		before, served := state.(uint64), output.(uint64)
		return served >= before, served
	},
}

// checkServedRequests checks that the history of served requests is linearizable.
func (sim *simulation) checkServedRequests() {
	sim.t.Helper()
	var served []porcupine.Operation
	sim.withLock(func() { served = append(served, sim.servedRequests...) })
	if !porcupine.CheckOperations(servedRequestSpec, served) {
		sim.t.Errorf("the history of %d requests is not linearizable", len(served))
	}
}

func TestServedRequestSpecRejectsEarlierGeneration(t *testing.T) {
	operation := func(call, end int64, generation uint64) porcupine.Operation {
		return porcupine.Operation{Call: call, Return: end, Output: generation}
	}
	concurrent := []porcupine.Operation{operation(0, 10, 2), operation(5, 15, 1), operation(20, 30, 2)}
	if !porcupine.CheckOperations(servedRequestSpec, concurrent) {
		t.Error("a history that requires reordering concurrent requests is rejected")
	}
	if porcupine.CheckOperations(servedRequestSpec, append(concurrent, operation(31, 40, 1))) {
		t.Error("a request served by an earlier generation is accepted")
	}
}

// checkOneStartPerGeneration checks that workers have accepted one start of the model in each generation, and that the
// model's present generation is one of the given generations. If machines or the model fail in the scenario, the function
// checks only that attempt numbers increase and that the history of served requests is linearizable.
func (sim *simulation) checkOneStartPerGeneration(generations ...uint64) {
	sim.t.Helper()
	starts := sim.startsOf(modelID)
	for i, start := range starts {
		if i > 0 && start.attempt <= starts[i-1].attempt {
			sim.t.Errorf("attempt %d starts after attempt %d", start.attempt, starts[i-1].attempt)
		}
	}
	generation := sim.awaitLeader().node.Wake(sim.t.Context(), activation.WakeRequest{Model: modelID}).Generation
	sim.checkServedRequests()
	if sim.requestsMayFail.Load() {
		return
	}
	if !slices.Contains(generations, generation) || len(starts) != int(generation) {
		sim.t.Errorf("got %d starts by generation %d, want one start per generation and a generation in %v: %+v", len(starts), generation, generations, starts)
	}
}
