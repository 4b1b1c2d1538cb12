package upgrade

import (
	"slices"
	"strings"
	"testing"
	"time"
)

// startRegistered replaces a node's process by one that registers, and registers it.
func (sim *simulation) startRegistered(node string, versions Range) {
	sim.restart(node, versions, true)
	sim.register(node)
}

// newRegisteredSimulation returns a fleet of three registered controllers, led by n0.
func newRegisteredSimulation(versions Range, policy Policy) *simulation {
	sim := newSimulation(3, policy)
	for _, node := range sim.nodes {
		sim.startRegistered(node, versions)
	}
	sim.acquireLeadership("n0")
	return sim
}

// newUpgradedSimulation returns a fleet of this program's controllers, led by n0, with the current
// version active and its gates open.
func newUpgradedSimulation(t *testing.T, policy Policy) *simulation {
	t.Helper()
	sim := newRegisteredSimulation(Supported, policy)
	sim.runSteps(t)
	if r := sim.record(); r.Active != Current || r.Gate(GangJobs).Phase != GateOpen || r.Gate(FencedTerm).Phase != GateOpen {
		t.Fatalf("the current version isn't active with open gates: %+v", r)
	}
	return sim
}

// runSteps makes the leader take steps until it waits, and returns what it waits for.
func (sim *simulation) runSteps(t *testing.T) (waiting string) {
	t.Helper()
	for range maxSettleSteps {
		sim.refresh()
		step, _ := sim.step(answered)
		sim.checkState()
		for _, violation := range sim.violations {
			t.Fatal(violation)
		}
		if !step.Changed {
			return step.Waiting
		}
	}
	t.Fatalf("not settled after %d steps: %+v", maxSettleSteps, sim.record())
	return ""
}

// changeLeader ends the current leadership, and makes a node's process the leader if it may lead.
func (sim *simulation) changeLeader(node string) {
	sim.endLeadership()
	sim.acquireLeadership(node)
}

// addFirstDependent marks a gate as used and adds a dependent of it.
func (sim *simulation) addFirstDependent(name GateName) {
	sim.addDependent(name, answered)
	sim.addDependent(name, answered)
}

// singleMember returns a situation with a leader of this program and one registered controller, n0, which
// supports the given versions.
func singleMember(record Record, versions Range) Situation {
	registration := NewRegistration("n0", "1", versions)
	return Situation{
		Record:   record,
		Members:  []Member{{Node: "n0", Registration: &registration}},
		Versions: Supported, KnownGates: Gates,
		Now: time.Unix(1, 0),
	}
}

// A controller blocks an activation if its registration is missing or damaged. A stopped controller blocks no
// activation if its latest registration supports the version.
func TestActivationWaitsForRegistrations(t *testing.T) {
	sim := newSimulation(3, Policy{})
	sim.startRegistered("n0", Supported)
	sim.startRegistered("n1", Supported)
	sim.acquireLeadership("n0")
	if waiting := sim.runSteps(t); sim.record().Active != Baseline || !strings.Contains(waiting, "n2") {
		t.Errorf("n2 not registered: got version %d active, waiting for %q, want %d, waiting for n2", sim.record().Active, waiting, Baseline)
	}
	sim.put(registrationPrefix+"n2", []byte(`{"schema":9}`))
	if waiting := sim.runSteps(t); sim.record().Active != Baseline || !strings.Contains(waiting, "n2") {
		t.Errorf("registration of n2 damaged: got version %d active, waiting for %q, want %d, waiting for n2", sim.record().Active, waiting, Baseline)
	}
	sim.startRegistered("n2", Supported)
	sim.stop("n2")
	if sim.runSteps(t); sim.record().Active != Current {
		t.Errorf("n2 registered and stopped: got version %d active, want %d", sim.record().Active, Current)
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
			sim := newRegisteredSimulation(Supported, c.policy)
			waiting := sim.runSteps(t)
			if r := sim.record(); r.Active != c.wantActive || r.Minimum != c.wantMinimum {
				t.Errorf("got version %d active, %d finalized, want %d, %d", r.Active, r.Minimum, c.wantActive, c.wantMinimum)
			}
			if !strings.Contains(waiting, c.wantWaiting) {
				t.Errorf("waiting: got %q, want it to contain %q", waiting, c.wantWaiting)
			}
		})
	}
}

// Leaders with different policies must not undo each other's activations.
func TestLowerTargetDoesNotRollBack(t *testing.T) {
	sim := newUpgradedSimulation(t, Policy{})
	sim.policy = Policy{Hold: true}
	sim.changeLeader("n1")
	if sim.runSteps(t); sim.record().Active != Current {
		t.Errorf("after a leader that holds: got version %d active, want %d", sim.record().Active, Current)
	}
}

// Found by TestInvariantsHoldInRandomHistories: a gate was being withdrawn and still had uses. The withdrawal
// was canceled at once instead of waiting for these uses to end, and was then started again, without end.
func TestWaitingWithdrawalIsNotCancelled(t *testing.T) {
	sim := newUpgradedSimulation(t, Policy{})
	sim.addFirstDependent(CompressedChunks)
	sim.startRegistered("n1", Range{1, 1})
	waiting := sim.runSteps(t)
	if r := sim.record(); r.Phase != Withdrawing || r.Gate(CompressedChunks).Phase != GateWithdrawing || !strings.Contains(waiting, "1 uses") {
		t.Errorf("with one use left: got %+v, waiting for %q, want a withdrawal waiting for 1 uses", r, waiting)
	}
	sim.dependents[CompressedChunks] = 0
	if sim.runSteps(t); sim.record().Active != Version1 || sim.record().Phase != Stable {
		t.Errorf("with no use left: got %+v, want version %d stable", sim.record(), Version1)
	}
}

// Found by TestInvariantsHoldInRandomHistories: a process of version 2 that doesn't register caused the
// fence of a finalized version to be removed. A process of version 1 that doesn't register could then lead.
func TestFinalizedVersionKeepsFence(t *testing.T) {
	sim := newRegisteredSimulation(Range{1, 2}, Policy{AutoFinalize: true})
	sim.runSteps(t)
	if sim.record().Minimum != Version2 {
		t.Fatalf("not finalized: %+v", sim.record())
	}
	sim.restart("n1", Range{1, 2}, false)
	sim.exchangeVersions("n1")
	sim.runSteps(t)
	sim.restart("n1", Range{1, 1}, false)
	sim.changeLeader("n1")
	if sim.unregisteredLeader != nil {
		t.Error("a process that doesn't register leads below the finalized version")
	}
	sim.acquireLeadership("n0")
	sim.exchangeVersions("n1")
	if sim.runSteps(t); sim.record().Active != Version2 || sim.record().Gate(GangJobs).Phase != GateOpen {
		t.Errorf("rolled back for a process that is refused: %+v", sim.record())
	}
}

// A process that doesn't register is started while a gate is in use. It can't lead until the uses of the
// gate have ended, the gate is withdrawn and the active version is rolled back.
func TestFenceBarsUnregisteredProcessUntilRollbackEnds(t *testing.T) {
	sim := newUpgradedSimulation(t, Policy{})
	sim.addFirstDependent(GangJobs)
	sim.restart("n1", Range{1, 1}, false)
	sim.changeLeader("n1")
	if sim.unregisteredLeader != nil {
		t.Fatal("n1 leads while there is a gang job, which it can't read")
	}
	sim.acquireLeadership("n2")
	sim.exchangeVersions("n1")
	if waiting := sim.runSteps(t); !strings.Contains(waiting, "gang-jobs") {
		t.Errorf("waiting: got %q, want it to contain gang-jobs", waiting)
	}
	sim.changeLeader("n1")
	if sim.unregisteredLeader != nil {
		t.Fatal("n1 leads during the withdrawal")
	}
	sim.acquireLeadership("n2")
	sim.exchangeVersions("n1")
	if sim.leader.record.Gate(GangJobs).Usable() {
		t.Error("new gang jobs are accepted during the withdrawal")
	}
	sim.dependents[GangJobs] = 0
	sim.runSteps(t)
	if r := sim.record(); r.Active != Version1 || r.Fence != 0 || len(r.Gates) != 0 {
		t.Errorf("after the last gang job: got %+v, want version %d without fence and gates", r, Version1)
	}
	sim.changeLeader("n1")
	if sim.unregisteredLeader == nil {
		t.Error("n1 can't lead after the rollback")
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
	if step := NextStep(s); step.Changed {
		t.Errorf("got step %q, want none", step.Description)
	}
}

func TestGateOpensAfterItsDependencies(t *testing.T) {
	s := singleMember(Record{Schema: 1, Active: 2, Phase: Soaking}, Supported)
	s.KnownGates = GateList{{Name: "dependent", Since: 2, DependsOn: []GateName{FencedTerm}}, {Name: FencedTerm, Since: 1}}
	registeredMembers := s.Members
	s.Members = append(slices.Clone(registeredMembers), Member{Node: "n1", UnregisteredVersion: Version2})
	if step := NextStep(s); step.Changed {
		t.Errorf("with a member that doesn't register: got step %q, want none", step.Description)
	}
	s.Members = registeredMembers
	s.Record = NextStep(s).Record
	if s.Record.Gate(FencedTerm).Phase != GateOpen || s.Record.Gate("dependent").Phase != "" {
		t.Errorf("after the first step: got %+v, want gate %s open only", s.Record, FencedTerm)
	}
	if s.Record = NextStep(s).Record; s.Record.Gate("dependent").Phase != GateOpen {
		t.Errorf("after the second step: got %+v, want the dependent gate open", s.Record)
	}
}

// Without the fence, a process that doesn't register could lead and misread archived jobs.
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
			s.KnownGates = c.known
			step := NextStep(s)
			if open := step.Record.Gate(JobArchive).Phase == GateOpen; open != c.wantOpen {
				t.Errorf("archive gate open: got %v by step %q, want %v", open, step.Description, c.wantOpen)
			}
		})
	}
}
