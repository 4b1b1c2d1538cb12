package upgrade

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// processKinds lists the kinds of processes that a random history may start. All but the last kind
// register. The kind with the range 3 to 5 can't read versions 1 and 2.
var processKinds = []process{
	{versions: Range{1, 1}, registers: true},
	{versions: Range{1, 2}, registers: true},
	{versions: Range{1, 3}, registers: true},
	{versions: Range{1, 3}, registers: true},
	{versions: Range{1, 4}, registers: true},
	{versions: Range{3, 5}, registers: true},
	{versions: Range{1, 1}},
}

// TestInvariantsHoldInRandomHistories runs random histories of upgrades, rollbacks, stopped processes, lost
// responses and delayed transactions with three to five controllers.
func TestInvariantsHoldInRandomHistories(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) { runHistory(t, processKinds) })
}

// TestInvariantsHoldWithUnregisteredVersion2 adds processes of version 2 that don't register. They use
// the features of version 2 without checking the gates of these features.
func TestInvariantsHoldWithUnregisteredVersion2(t *testing.T) {
	kinds := append([]process{{versions: Range{1, 2}}}, processKinds...)
	rapid.Check(t, func(t *rapid.T) { runHistory(t, kinds) })
}

// runHistory runs one random history whose processes are of the given kinds.
func runHistory(t *rapid.T, kinds []process) {
	policy := drawPolicy(t)
	sim := newSimulation(rapid.IntRange(3, 5).Draw(t, "nodes"), policy)
	// At the start all controllers have the same version.
	first := rapid.SampledFrom(kinds).Draw(t, "first")
	if first.versions.Min > Baseline {
		first.versions = Supported
	}
	for _, node := range sim.nodes {
		sim.restart(node, first.versions, first.registers)
		sim.register(node)
	}
	check := func(t *rapid.T) {
		sim.checkState()
		for _, violation := range sim.violations {
			t.Fatal(violation)
		}
	}

	node := rapid.SampledFrom(sim.nodes)
	result := rapid.SampledFrom([]outcome{answered, answered, answered, responseLost, delayed})
	gate := rapid.SampledFrom([]GateName{GangJobs, CompressedChunks, "test-three", "test-four"})
	acquireLeadership := func(t *rapid.T) { sim.acquireLeadership(node.Draw(t, "node")) }
	step := func(t *rapid.T) { sim.step(result.Draw(t, "outcome")) }
	t.Repeat(map[string]func(*rapid.T){
		"": check,
		"restart": func(t *rapid.T) {
			kind := rapid.SampledFrom(kinds).Draw(t, "kind")
			sim.restart(node.Draw(t, "node"), kind.versions, kind.registers)
		},
		"stop":     func(t *rapid.T) { sim.stop(node.Draw(t, "node")) },
		"register": func(t *rapid.T) { sim.register(node.Draw(t, "node")) },
		// Acquiring leadership and stepping have two entries each, so that they are chosen twice as often.
		"acquire leadership":       acquireLeadership,
		"acquire leadership again": acquireLeadership,
		"step":                     step,
		"step again":               step,
		"end leadership":           func(*rapid.T) { sim.endLeadership() },
		"refresh":                  func(*rapid.T) { sim.refresh() },
		"exchange versions":        func(t *rapid.T) { sim.exchangeVersions(node.Draw(t, "node")) },
		"add dependent":            func(t *rapid.T) { sim.addDependent(gate.Draw(t, "gate"), result.Draw(t, "outcome")) },
		"remove dependents":        func(t *rapid.T) { sim.dependents[gate.Draw(t, "gate")] = 0 },
		"soak":                     func(*rapid.T) { sim.now = sim.now.Add(policy.Soak / 2) },
		"gates unused":             func(*rapid.T) { sim.unusedFor = time.Minute },
		"delayed transaction": func(t *rapid.T) {
			if len(sim.delayed) > 0 {
				sim.apply(sim.delayed[rapid.IntRange(0, len(sim.delayed)-1).Draw(t, "which")])
			}
		},
	})
	sim.settle()
	check(t)
}

// drawPolicy returns a random policy.
func drawPolicy(t *rapid.T) Policy {
	return Policy{
		Hold:         rapid.IntRange(0, 9).Draw(t, "hold") == 0,
		Target:       rapid.SampledFrom([]Version{0, 0, 0, 2, 3}).Draw(t, "target"),
		AutoFinalize: rapid.Bool().Draw(t, "finalize"),
		Soak:         time.Minute,
		ReleaseAfter: rapid.SampledFrom([]time.Duration{0, time.Minute}).Draw(t, "release"),
	}
}
