package upgrade

import (
	"slices"
	"strings"
	"testing"
	"time"
)

// startRegistered replaces a node's process by one that registers.
func (w *world) startRegistered(node string, versions Range) {
	w.restart(node, versions, true)
	w.register(node)
}

// newRegisteredWorld returns a fleet of three controllers that all register, led by n0.
func newRegisteredWorld(versions Range, policy Policy) *world {
	w := newWorld(3, policy)
	for _, node := range w.nodes {
		w.startRegistered(node, versions)
	}
	w.acquireLeadership("n0")
	return w
}

// newUpgradedWorld returns a fleet of this program's controllers, led by n0, with the current version
// active and its gates open.
func newUpgradedWorld(t *testing.T, policy Policy) *world {
	t.Helper()
	w := newRegisteredWorld(Supported, policy)
	w.runSteps(t)
	if r := w.record(); r.Active != Current || r.Gate(GangJobs).Phase != GateOpen || r.Gate(FencedTerm).Phase != GateOpen {
		t.Fatalf("the current version isn't active with open gates: %+v", r)
	}
	return w
}

// runSteps has the leader take steps until it waits, and returns what it waits for.
func (w *world) runSteps(t *testing.T) (waiting string) {
	t.Helper()
	for range maxSettleSteps {
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
	t.Fatalf("not settled after %d steps: %+v", maxSettleSteps, w.record())
	return ""
}

// changeLeader ends the present leader's term, and begins one of a node's process if it may lead.
func (w *world) changeLeader(node string) {
	w.endLeadership()
	w.acquireLeadership(node)
}

// addFirstDependant marks a gate as used and adds a dependant of it.
func (w *world) addFirstDependant(name GateName) {
	w.addDependant(name, answered)
	w.addDependant(name, answered)
}

// singleMember returns a situation with one controller, which supports the given versions, and a leader
// of this program.
func singleMember(record Record, versions Range) Situation {
	registration := NewRegistration("n0", "1", versions)
	return Situation{
		Record:   record,
		Members:  []Member{{Node: "n0", Registration: &registration}},
		Versions: Supported, Known: Gates,
		Now: time.Unix(1, 0),
	}
}

// A controller without a registration that can be decoded holds an activation up. One that has stopped
// counts by its latest registration.
func TestActivationWaitsForRegistrations(t *testing.T) {
	w := newWorld(3, Policy{})
	w.startRegistered("n0", Supported)
	w.startRegistered("n1", Supported)
	w.acquireLeadership("n0")
	if waiting := w.runSteps(t); w.record().Active != Baseline || !strings.Contains(waiting, "n2") {
		t.Errorf("n2 not registered: got version %d active, waiting for %q, want %d, waiting for n2", w.record().Active, waiting, Baseline)
	}
	w.put(registrationPrefix+"n2", []byte(`{"schema":9}`))
	if waiting := w.runSteps(t); w.record().Active != Baseline || !strings.Contains(waiting, "n2") {
		t.Errorf("registration of n2 damaged: got version %d active, waiting for %q, want %d, waiting for n2", w.record().Active, waiting, Baseline)
	}
	w.startRegistered("n2", Supported)
	w.stop("n2")
	if w.runSteps(t); w.record().Active != Current {
		t.Errorf("n2 registered and stopped: got version %d active, want %d", w.record().Active, Current)
	}
}

func TestPolicyLimitsActivationAndFinalization(t *testing.T) {
	for _, c := range []struct {
		name        string
		policy      Policy
		wantActive  Version
		wantMinimum Version
		wantWaiting string
	}{
		{"hold", Policy{Hold: true, AutoFinalize: true}, 1, 0, "held back by upgrade.target"},
		{"target", Policy{Target: 2}, 2, 0, "beyond upgrade.target 2"},
		{"no finalization", Policy{}, Current, 0, "held back by upgrade.finalize"},
		{"soak", Policy{AutoFinalize: true, Soak: time.Hour}, Current, 0, "soaks until"},
		{"soaked", Policy{AutoFinalize: true}, Current, Current, ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			w := newRegisteredWorld(Supported, c.policy)
			waiting := w.runSteps(t)
			if r := w.record(); r.Active != c.wantActive || r.Minimum != c.wantMinimum {
				t.Errorf("got version %d active, %d finalized, want %d, %d", r.Active, r.Minimum, c.wantActive, c.wantMinimum)
			}
			if !strings.Contains(waiting, c.wantWaiting) {
				t.Errorf("waiting: got %q, want it to contain %q", waiting, c.wantWaiting)
			}
		})
	}
}

// Leaders with different targets don't undo each other's activations.
func TestLowerTargetDoesNotRollBack(t *testing.T) {
	w := newUpgradedWorld(t, Policy{})
	w.policy = Policy{Hold: true}
	w.changeLeader("n1")
	if w.runSteps(t); w.record().Active != Current {
		t.Errorf("after a leader that holds: got version %d active, want %d", w.record().Active, Current)
	}
}

// Found by TestInvariantsHoldInRandomHistories: a withdrawal that waited for the gate's uses was
// cancelled at once and started again, without end.
func TestWaitingWithdrawalIsNotCancelled(t *testing.T) {
	w := newUpgradedWorld(t, Policy{})
	w.addFirstDependant(CompressedChunks)
	w.startRegistered("n1", Range{1, 1})
	waiting := w.runSteps(t)
	if r := w.record(); r.Phase != Withdrawing || r.Gate(CompressedChunks).Phase != GateWithdrawing || !strings.Contains(waiting, "1 uses") {
		t.Errorf("with one use left: got %+v, waiting for %q, want a withdrawal waiting for 1 uses", r, waiting)
	}
	w.dependants[CompressedChunks] = 0
	if w.runSteps(t); w.record().Active != Version1 || w.record().Phase != Stable {
		t.Errorf("with no use left: got %+v, want version %d stable", w.record(), Version1)
	}
}

// Found by TestInvariantsHoldInRandomHistories: a process of version 2 that doesn't register had the
// fence of a finalized version removed, and then an unregistered version 1 led.
func TestFinalizedVersionKeepsFence(t *testing.T) {
	w := newRegisteredWorld(Range{1, 2}, Policy{AutoFinalize: true})
	w.runSteps(t)
	if w.record().Minimum != Version2 {
		t.Fatalf("not finalized: %+v", w.record())
	}
	w.restart("n1", Range{1, 2}, false)
	w.exchangeVersions("n1")
	w.runSteps(t)
	w.restart("n1", Range{1, 1}, false)
	w.changeLeader("n1")
	if w.unregisteredLeader != nil {
		t.Error("a process that doesn't register leads below the finalized version")
	}
	w.acquireLeadership("n0")
	w.exchangeVersions("n1")
	if w.runSteps(t); w.record().Active != Version2 || w.record().Gate(GangJobs).Phase != GateOpen {
		t.Errorf("rolled back for a process that is refused: %+v", w.record())
	}
}

// A process that doesn't register is started while a gate is in use. It can't lead until the gate's
// uses have ended, the gate is withdrawn and the version is rolled back.
func TestFenceBarsUnregisteredProcessUntilRollbackEnds(t *testing.T) {
	w := newUpgradedWorld(t, Policy{})
	w.addFirstDependant(GangJobs)
	w.restart("n1", Range{1, 1}, false)
	w.changeLeader("n1")
	if w.unregisteredLeader != nil {
		t.Fatal("it leads while there is a gang job, which it can't read")
	}
	w.acquireLeadership("n2")
	w.exchangeVersions("n1")
	if waiting := w.runSteps(t); !strings.Contains(waiting, "gang-jobs") {
		t.Errorf("waiting: got %q, want it to contain gang-jobs", waiting)
	}
	w.changeLeader("n1")
	if w.unregisteredLeader != nil {
		t.Fatal("it leads during the withdrawal")
	}
	w.acquireLeadership("n2")
	w.exchangeVersions("n1")
	if w.leader.record.Gate(GangJobs).Usable() {
		t.Error("new gang jobs are accepted during the withdrawal")
	}
	w.dependants[GangJobs] = 0
	w.runSteps(t)
	if r := w.record(); r.Active != Version1 || r.Fence != 0 || len(r.Gates) != 0 {
		t.Errorf("after the last gang job: got %+v, want version %d without fence and gates", r, Version1)
	}
	w.changeLeader("n1")
	if w.unregisteredLeader == nil {
		t.Error("it can't lead after the rollback")
	}
}

func TestGateIsNotClosedBeforeItsUsesAreCounted(t *testing.T) {
	s := singleMember(Record{
		Schema: 1, Active: 2, Phase: Withdrawing, Fence: 2,
		Gates: map[GateName]GateState{
			FencedTerm: {Since: 1, Phase: GateOpen, Used: true},
			GangJobs:   {Since: 2, Phase: GateWithdrawing, Used: true},
		},
	}, Range{1, 1})
	if step := Next(s); step.Changed {
		t.Errorf("got step %q, want none", step.Description)
	}
}

func TestGateOpensAfterItsDependencies(t *testing.T) {
	s := singleMember(Record{Schema: 1, Active: 2, Phase: Soaking}, Supported)
	s.Known = GateList{{Name: "dependant", Since: 2, DependsOn: []GateName{FencedTerm}}, {Name: FencedTerm, Since: 1}}
	registeredMembers := s.Members
	s.Members = append(slices.Clone(registeredMembers), Member{Node: "n1", UnregisteredVersion: Version2})
	if step := Next(s); step.Changed {
		t.Errorf("with a member that doesn't register: got step %q, want none", step.Description)
	}
	s.Members = registeredMembers
	s.Record = Next(s).Record
	if s.Record.Gate(FencedTerm).Phase != GateOpen || s.Record.Gate("dependant").Phase != "" {
		t.Errorf("after the first step: got %+v, want gate %s open only", s.Record, FencedTerm)
	}
	if s.Record = Next(s).Record; s.Record.Gate("dependant").Phase != GateOpen {
		t.Errorf("after the second step: got %+v, want the dependant gate open", s.Record)
	}
}

// Without the fence a process that doesn't register could lead and misread archived jobs.
func TestArchiveGateRequiresFence(t *testing.T) {
	withoutFence := slices.DeleteFunc(slices.Clone(Gates), func(g Gate) bool { return g.Name == FencedTerm })
	for _, c := range []struct {
		name     string
		known    GateList
		wantOpen bool
	}{
		{"with fence", Gates, true},
		{"without fence", withoutFence, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := singleMember(Record{Schema: 1, Active: Current, Phase: Soaking}, Supported)
			s.Known = c.known
			step := Next(s)
			if open := step.Record.Gate(JobArchive).Phase == GateOpen; open != c.wantOpen {
				t.Errorf("archive gate open: got %v by step %q, want %v", open, step.Description, c.wantOpen)
			}
		})
	}
}
