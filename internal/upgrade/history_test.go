package upgrade

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// versionKinds are the processes that a history may begin: versions that register, a later
// one that has left the first versions behind, and those that don't register.
var versionKinds = []process{
	{versions: Range{1, 1}, registers: true},
	{versions: Range{1, 2}, registers: true},
	{versions: Range{1, 3}, registers: true},
	{versions: Range{1, 3}, registers: true},
	{versions: Range{1, 4}, registers: true},
	{versions: Range{3, 5}, registers: true},
	{versions: Range{1, 1}},
}

// TestHistories plays random histories of upgrades, rollbacks, ends, cuts and delays of
// three to five controllers.
func TestHistories(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) { playHistory(t, versionKinds) })
}

// TestHistoriesWithAnUnregisteredVersion2 adds processes that use their gates unasked.
func TestHistoriesWithAnUnregisteredVersion2(t *testing.T) {
	kinds := append([]process{{versions: Range{1, 2}}}, versionKinds...)
	rapid.Check(t, func(t *rapid.T) { playHistory(t, kinds) })
}

func playHistory(t *rapid.T, kinds []process) {
	policy := Policy{
		Hold:         rapid.IntRange(0, 9).Draw(t, "hold") == 0,
		Target:       rapid.SampledFrom([]Version{0, 0, 0, 2, 3}).Draw(t, "target"),
		AutoFinalize: rapid.Bool().Draw(t, "finalize"),
		Soak:         time.Minute,
		ReleaseAfter: rapid.SampledFrom([]time.Duration{0, time.Minute}).Draw(t, "release"),
	}
	w := newWorld(rapid.IntRange(3, 5).Draw(t, "nodes"), policy)
	node := rapid.SampledFrom(w.nodes)
	fate := rapid.SampledFrom([]outcome{answered, answered, answered, answerLost, lateOrNever})
	gate := rapid.SampledFrom([]GateName{GangJobs, CompressedChunks, "test-three", "test-four"})
	// Most fleets begin whole, of one version.
	first := rapid.SampledFrom(kinds).Draw(t, "first")
	if first.versions.Min > Baseline {
		first.versions = Supported
	}
	for _, n := range w.nodes {
		w.restart(n, first.versions, first.registers)
		w.register(n)
	}
	check := func(t *rapid.T) {
		w.checkState()
		for _, fault := range w.faults {
			t.Fatal(fault)
		}
	}
	actions := map[string]func(*rapid.T){
		"": check,
		"restart": func(t *rapid.T) {
			kind := rapid.SampledFrom(kinds).Draw(t, "kind")
			w.restart(node.Draw(t, "node"), kind.versions, kind.registers)
		},
		"kill":       func(t *rapid.T) { w.kill(node.Draw(t, "node")) },
		"register":   func(t *rapid.T) { w.register(node.Draw(t, "node")) },
		"lead":       func(t *rapid.T) { w.takeLead(node.Draw(t, "node")) },
		"lead again": func(t *rapid.T) { w.takeLead(node.Draw(t, "node")) },
		"depose":     func(*rapid.T) { w.deposeLeader() },
		"refresh":    func(*rapid.T) { w.refresh() },
		"hear":       func(t *rapid.T) { w.hear(node.Draw(t, "node")) },
		"step":       func(t *rapid.T) { w.step(fate.Draw(t, "fate")) },
		"next step":  func(t *rapid.T) { w.step(fate.Draw(t, "fate")) },
		"depend":     func(t *rapid.T) { w.depend(gate.Draw(t, "gate"), fate.Draw(t, "fate")) },
		"drain":      func(t *rapid.T) { w.dependants[gate.Draw(t, "gate")] = 0 },
		"soak":       func(*rapid.T) { w.now = w.now.Add(policy.Soak / 2) },
		"idle":       func(*rapid.T) { w.idle = time.Minute },
		"late": func(t *rapid.T) {
			if len(w.late) > 0 {
				w.apply(w.late[rapid.IntRange(0, len(w.late)-1).Draw(t, "which")])
			}
		},
	}
	t.Repeat(actions)
	w.settle()
	check(t)
}
