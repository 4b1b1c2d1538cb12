package upgrade

import (
	"errors"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"
)

// upgradedWorld is a fleet of three whose controllers all register this version, led by n0
// with all that it can have in force.
func upgradedWorld(t *testing.T, policy Policy) *world {
	t.Helper()
	w := newWorld(3, policy)
	for _, node := range w.nodes {
		w.restart(node, Supported, true)
		w.register(node)
	}
	w.takeLead("n0")
	w.runSteps(t)
	if r := w.record(); r.Active != Current || !r.Gate(GangJobs).phaseOpen() || !r.Gate(FencedTerm).phaseOpen() {
		t.Fatalf("not in force: %+v", r)
	}
	return w
}

func (g GateState) phaseOpen() bool { return g.Phase == GateOpen }

// runSteps takes steps until the leader waits, and returns what for.
func (w *world) runSteps(t *testing.T) (waiting string) {
	t.Helper()
	for range settleSteps {
		w.refresh()
		step, _ := w.step(answered)
		w.checkState()
		for _, fault := range w.faults {
			t.Fatal(fault)
		}
		if !step.Changed {
			return step.Waiting
		}
	}
	t.Fatalf("not settled: %+v", w.record())
	return ""
}

// Silence activates nothing: a controller that has never registered, or whose registration
// is damaged, holds the activation up; one that is silent counts by what it said last.
func TestSilenceActivatesNothing(t *testing.T) {
	w := newWorld(3, Policy{})
	for _, node := range w.nodes[:2] {
		w.restart(node, Supported, true)
		w.register(node)
	}
	w.takeLead("n0")
	if waiting := w.runSteps(t); w.record().Active != Baseline || !strings.Contains(waiting, "n2") {
		t.Errorf("version %d active, waits for %q", w.record().Active, waiting)
	}
	w.revision++
	w.keys[modelRegistration+"n2"] = stored{[]byte(`{"schema":9}`), w.revision}
	if waiting := w.runSteps(t); w.record().Active != Baseline || !strings.Contains(waiting, "n2") {
		t.Errorf("version %d active beside a damaged registration, waits for %q", w.record().Active, waiting)
	}
	w.restart("n2", Supported, true)
	w.register("n2")
	w.kill("n2")
	if w.runSteps(t); w.record().Active != Current {
		t.Errorf("version %d active", w.record().Active)
	}
}

// Found by TestHistories: a withdrawal that waited for its gate's uses was taken back at
// once, and began again, for ever.
func TestAWithdrawalThatWaitsIsNotTakenBack(t *testing.T) {
	w := upgradedWorld(t, Policy{})
	w.depend(CompressedChunks, answered)
	w.depend(CompressedChunks, answered)
	w.restart("n1", Range{1, 1}, true)
	w.register("n1")
	waiting := w.runSteps(t)
	if r := w.record(); r.Phase != Withdrawing || r.Gate(CompressedChunks).Phase != GateWithdrawing || !strings.Contains(waiting, "1 uses") {
		t.Errorf("%+v waits for %q", r, waiting)
	}
	w.dependants[CompressedChunks] = 0
	if w.runSteps(t); w.record().Active != Version1 || w.record().Phase != Stable {
		t.Errorf("%+v", w.record())
	}
}

// Found by TestHistories: a process of version 2 that doesn't register had the fence of a
// finalized version lowered, and an unregistered version 1 led after it.
func TestAFinalizedVersionKeepsItsFence(t *testing.T) {
	w := newWorld(3, Policy{AutoFinalize: true})
	for _, node := range w.nodes {
		w.restart(node, Range{1, 2}, true)
		w.register(node)
	}
	w.takeLead("n0")
	w.runSteps(t)
	if w.record().Minimum != Version2 {
		t.Fatalf("not finalized: %+v", w.record())
	}
	w.restart("n1", Range{1, 2}, false)
	w.hear("n1")
	w.runSteps(t)
	w.restart("n1", Range{1, 1}, false)
	w.deposeLeader()
	w.takeLead("n1")
	if w.legacyLeader != nil {
		t.Error("a process that doesn't register leads below the finalized version")
	}
	w.takeLead("n0")
	w.hear("n1")
	if w.runSteps(t); w.record().Active != Version2 || !w.record().Gate(GangJobs).phaseOpen() {
		t.Errorf("withdrawn for a process that is refused: %+v", w.record())
	}
}

// Found by TestHistories: a node whose older registration still stood counted by what its
// process told that doesn't register.
func TestTheOlderOfTwoClaimsCounts(t *testing.T) {
	registration := NewRegistration("n0", "1", Range{1, 1})
	m := Member{Node: "n0", Registered: &registration, Unregistered: Version2}
	if versions, ok := m.Versions(); !ok || versions.Max != Version1 {
		t.Errorf("counts as %s", versions)
	}
}

// A process that doesn't register comes back while a gate is in use: it can't lead until
// the gate's uses are over, the gate is withdrawn and the version is back.
func TestAFencedProcessLeadsOnceAllIsWithdrawn(t *testing.T) {
	w := upgradedWorld(t, Policy{})
	w.depend(GangJobs, answered)
	w.depend(GangJobs, answered)
	w.restart("n1", Range{1, 1}, false)
	w.deposeLeader()
	w.takeLead("n1")
	if w.legacyLeader != nil {
		t.Fatal("it leads beside a gang job that it can't read")
	}
	w.takeLead("n2")
	w.hear("n1")
	if waiting := w.runSteps(t); !strings.Contains(waiting, "gang-jobs") {
		t.Errorf("waits for %q", waiting)
	}
	w.deposeLeader()
	w.takeLead("n1")
	if w.legacyLeader != nil {
		t.Fatal("it leads during the withdrawal")
	}
	w.takeLead("n2")
	w.hear("n1")
	if w.leader.record.Gate(GangJobs).Usable() {
		t.Error("new gang jobs are accepted during the withdrawal")
	}
	w.dependants[GangJobs] = 0
	w.runSteps(t)
	if r := w.record(); r.Active != Version1 || r.Fence != 0 || len(r.Gates) != 0 {
		t.Errorf("%+v", r)
	}
	w.deposeLeader()
	w.takeLead("n1")
	if w.legacyLeader == nil {
		t.Error("it can't lead though all is withdrawn")
	}
}

// A gate in use that a process doesn't know keeps it from leading, whatever its version.
func TestAnUnknownGateInUseKeepsFromLeading(t *testing.T) {
	r := Initial()
	r.Gates = map[GateName]GateState{"from-the-future": {Since: 1, Phase: GateOpen}}
	if err := MayLead(r, Supported, Gates); err != nil {
		t.Errorf("nothing depends on it, and yet: %v", err)
	}
	r.Gates["from-the-future"] = GateState{Since: 1, Phase: GateWithdrawing, Used: true}
	var unreadable *UnreadableGateError
	if err := MayLead(r, Supported, Gates); !errors.As(err, &unreadable) || unreadable.Gate != "from-the-future" {
		t.Errorf("admitted: %v", err)
	}
}

// What must not serve at all is refused in one line that says what is needed.
func TestRefusals(t *testing.T) {
	later := Current + 1
	finalized := Record{Schema: 1, Active: later, Minimum: later, Phase: Finalized}
	active := Record{Schema: 1, Active: 3, Phase: Soaking}
	for _, c := range []struct {
		name     string
		record   Record
		versions Range
		policy   Policy
		want     string
	}{
		{"older than finalized", finalized, Supported, Policy{}, fmt.Sprintf("version %d or later is needed", later)},
		{"a version skipped", Initial(), Range{3, 5}, Policy{}, "upgrade to version 3 first"},
		{"target below the active version", active, Supported, Policy{Target: 2}, "upgrade.target: version 2 is below version 3"},
		{"older than active only", active, Range{1, 2}, Policy{}, ""},
		{"the same", active, Supported, Policy{Target: 3}, ""},
	} {
		err := Admit(c.record, c.versions, c.policy)
		switch {
		case c.want == "" && err != nil:
			t.Errorf("%s: refused: %v", c.name, err)
		case c.want != "" && (err == nil || !strings.Contains(err.Error(), c.want) || strings.Contains(err.Error(), "\n") || !IsRefusal(err)):
			t.Errorf("%s: %v", c.name, err)
		}
	}
}

// Leaders with different targets in turn: the higher one stands, and neither flaps.
func TestTwoTargetsInTurn(t *testing.T) {
	w := upgradedWorld(t, Policy{})
	w.deposeLeader()
	w.policy = Policy{Hold: true}
	w.takeLead("n1")
	if w.runSteps(t); w.record().Active != Current {
		t.Errorf("version %d active under a leader that holds", w.record().Active)
	}
}

// Nothing is activated or finalized beyond what the operators allow.
func TestTheOperatorsHold(t *testing.T) {
	for _, c := range []struct {
		name    string
		policy  Policy
		active  Version
		minimum Version
		waiting string
	}{
		{"hold", Policy{Hold: true, AutoFinalize: true}, 1, 0, "held back by upgrade.target"},
		{"target", Policy{Target: 2}, 2, 0, "beyond upgrade.target 2"},
		{"no finalization", Policy{}, Current, 0, "held back by upgrade.finalize"},
		{"soak", Policy{AutoFinalize: true, Soak: time.Hour}, Current, 0, "soaks until"},
		{"soaked", Policy{AutoFinalize: true}, Current, Current, ""},
	} {
		w := newWorld(3, c.policy)
		for _, node := range w.nodes {
			w.restart(node, Supported, true)
			w.register(node)
		}
		w.takeLead("n0")
		waiting := w.runSteps(t)
		if r := w.record(); r.Active != c.active || r.Minimum != c.minimum || !strings.Contains(waiting, c.waiting) {
			t.Errorf("%s: version %d active, %d finalized, waits for %q", c.name, r.Active, r.Minimum, waiting)
		}
	}
}

// Uses that aren't counted are no proof that there are none.
func TestUncountedUsesCloseNoGate(t *testing.T) {
	older := NewRegistration("n0", "1", Range{1, 1})
	s := Situation{
		Record:   Record{Schema: 1, Active: 2, Phase: Withdrawing, Gates: map[GateName]GateState{FencedTerm: {Since: 1, Phase: GateOpen, Used: true}, GangJobs: {Since: 2, Phase: GateWithdrawing, Used: true}}, Fence: 2},
		Members:  []Member{{Node: "n0", Registered: &older}},
		Versions: Supported, Known: Gates,
	}
	if step := Next(s); step.Changed {
		t.Errorf("closed: %s", step.What)
	}
}

// A gate stays closed while one that it depends on is.
func TestAGateWaitsForWhatItDependsOn(t *testing.T) {
	registration := NewRegistration("n0", "1", Supported)
	s := Situation{
		Record:   Record{Schema: 1, Active: 2, Phase: Soaking},
		Members:  []Member{{Node: "n0", Registered: &registration}, {Node: "n1", Unregistered: Version2}},
		Versions: Supported, Known: GateList{{Name: "dependant", Since: 2, DependsOn: []GateName{FencedTerm}}, {Name: FencedTerm, Since: 1}},
	}
	if step := Next(s); step.Changed {
		t.Errorf("%s", step.What)
	}
	s.Members = s.Members[:1]
	s.Record = Next(s).Record
	if s.Record.Gate(FencedTerm).Phase != GateOpen || s.Record.Gate("dependant").Phase != "" {
		t.Errorf("%+v", s.Record)
	}
	if s.Record = Next(s).Record; s.Record.Gate("dependant").Phase != GateOpen {
		t.Errorf("%+v", s.Record)
	}
}

// The archive's gate doesn't open without the fence: a process that doesn't register could lead over what it can't read.
func TestTheArchiveNeedsTheFence(t *testing.T) {
	registration := NewRegistration("n0", "1", Supported)
	for _, fenced := range []bool{false, true} {
		known := Gates
		if !fenced {
			known = slices.DeleteFunc(slices.Clone(Gates), func(g Gate) bool { return g.Name == FencedTerm })
		}
		record := Record{Schema: 1, Active: Current, Phase: Soaking}
		step := Next(Situation{Record: record, Members: []Member{{Node: "n0", Registered: &registration}}, Versions: Supported, Known: known, Now: time.Unix(1, 0)})
		if open := step.Record.Gate(JobArchive).phaseOpen(); open != fenced {
			t.Errorf("fence known %v, archive open %v: %s", fenced, open, step.What)
		}
	}
}
