package scheduler

import (
	"slices"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"

	"sagevale/internal/activation"
)

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

// checkStarts counts the starts of so many wakes by the workers' own account.
func (sim *simulation) checkStarts(wakes ...uint64) {
	sim.t.Helper()
	launches := sim.startsOf(coldModel)
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
