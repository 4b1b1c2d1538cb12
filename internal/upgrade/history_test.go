package upgrade

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// processKinds are the processes that a history may start: versions that register, a later version
// that can't read the first ones, and versions that don't register.
var processKinds = []process{
	{versions: Range{1, 1}, registers: true},
	{versions: Range{1, 2}, registers: true},
	{versions: Range{1, 3}, registers: true},
	{versions: Range{1, 3}, registers: true},
	{versions: Range{1, 4}, registers: true},
	{versions: Range{3, 5}, registers: true},
	{versions: Range{1, 1}},
}

// TestInvariantsHoldInRandomHistories runs random histories of upgrades, rollbacks, stopped processes and lost or delayed
// transactions with three to five controllers.
func TestInvariantsHoldInRandomHistories(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) { runHistory(t, processKinds) })
}

// TestInvariantsHoldWithUnregisteredVersion2 adds processes that use features without their gates.
func TestInvariantsHoldWithUnregisteredVersion2(t *testing.T) {
	kinds := append([]process{{versions: Range{1, 2}}}, processKinds...)
	rapid.Check(t, func(t *rapid.T) { runHistory(t, kinds) })
}

// runHistory runs one random history whose processes are of the given kinds.
func runHistory(t *rapid.T, kinds []process) {
	policy := drawPolicy(t)
	w := newWorld(rapid.IntRange(3, 5).Draw(t, "nodes"), policy)
	// The history begins with a fleet of one version.
	first := rapid.SampledFrom(kinds).Draw(t, "first")
	if first.versions.Min > Baseline {
		first.versions = Supported
	}
	for _, node := range w.nodes {
		w.restart(node, first.versions, first.registers)
		w.register(node)
	}
	check := func(t *rapid.T) {
		w.checkState()
		for _, fault := range w.faults {
			t.Fatal(fault)
		}
	}

	node := rapid.SampledFrom(w.nodes)
	result := rapid.SampledFrom([]outcome{answered, answered, answered, responseLost, delayed})
	gate := rapid.SampledFrom([]GateName{GangJobs, CompressedChunks, "test-three", "test-four"})
	acquireLeadership := func(t *rapid.T) { w.acquireLeadership(node.Draw(t, "node")) }
	step := func(t *rapid.T) { w.step(result.Draw(t, "outcome")) }
	t.Repeat(map[string]func(*rapid.T){
		"": check,
		"restart": func(t *rapid.T) {
			kind := rapid.SampledFrom(kinds).Draw(t, "kind")
			w.restart(node.Draw(t, "node"), kind.versions, kind.registers)
		},
		"stop":     func(t *rapid.T) { w.stop(node.Draw(t, "node")) },
		"register": func(t *rapid.T) { w.register(node.Draw(t, "node")) },
		// Two actions each have the leader act twice as often.
		"acquire leadership":       acquireLeadership,
		"acquire leadership again": acquireLeadership,
		"step":                     step,
		"step again":               step,
		"end leadership":           func(*rapid.T) { w.endLeadership() },
		"refresh":                  func(*rapid.T) { w.refresh() },
		"exchange versions":        func(t *rapid.T) { w.exchangeVersions(node.Draw(t, "node")) },
		"add dependant":            func(t *rapid.T) { w.addDependant(gate.Draw(t, "gate"), result.Draw(t, "outcome")) },
		"remove dependants":        func(t *rapid.T) { w.dependants[gate.Draw(t, "gate")] = 0 },
		"soak":                     func(*rapid.T) { w.now = w.now.Add(policy.Soak / 2) },
		"gates unused":             func(*rapid.T) { w.unusedFor = time.Minute },
		"delayed transaction": func(t *rapid.T) {
			if len(w.delayed) > 0 {
				w.apply(w.delayed[rapid.IntRange(0, len(w.delayed)-1).Draw(t, "which")])
			}
		},
	})
	w.settle()
	check(t)
}

func drawPolicy(t *rapid.T) Policy {
	return Policy{
		Hold:         rapid.IntRange(0, 9).Draw(t, "hold") == 0,
		Target:       rapid.SampledFrom([]Version{0, 0, 0, 2, 3}).Draw(t, "target"),
		AutoFinalize: rapid.Bool().Draw(t, "finalize"),
		Soak:         time.Minute,
		ReleaseAfter: rapid.SampledFrom([]time.Duration{0, time.Minute}).Draw(t, "release"),
	}
}
