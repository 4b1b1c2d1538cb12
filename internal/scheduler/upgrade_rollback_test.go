package scheduler

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"time"

	"sagevale/internal/api"
	"sagevale/internal/cluster/clustertest"
	"sagevale/internal/config"
	"sagevale/internal/storage"
	"sagevale/internal/storage/storagetest"
	"sagevale/internal/upgrade"
)

// One controller is rolled back while a gang job is open. It still responds to users but doesn't lead. Once the gang
// job is done, the gate is withdrawn, and then the controller may lead.
func TestRollbackOfOneController(t *testing.T) {
	for _, rollBackLeader := range []bool{false, true} {
		t.Run(fmt.Sprintf("leader=%v", rollBackLeader), func(t *testing.T) {
			runSimulation(t, func(sim *simulation) {
				sim.awaitActive(upgrade.Current, time.Minute)
				sim.submit(clustertest.Service("000001", 3))
				sim.submitGang("000002")
				rolledBack := sim.nodes[2]
				if leader := sim.awaitLeader(); rollBackLeader == (leader != rolledBack) {
					rolledBack = leader
				}
				if !rollBackLeader && rolledBack == sim.awaitLeader() {
					rolledBack = sim.nodes[0]
				}
				rolledBack.restartWithVersion(upgrade.Version1)
				if sim.awaitLeader() == rolledBack {
					t.Errorf("%s leads while a gang job is open", rolledBack.name)
				}
				newGang := clustertest.Array("000003", 3)
				newGang.Gang = true
				sim.eventually("the older version responds", 10*time.Second, func() bool {
					a := sim.requestFrom(rolledBack, api.OpPoll, "000002", storage.Spec{})
					return a.HasResult()
				})
				sim.eventually("the gate is being withdrawn", 10*time.Second, func() bool { return sim.clusterRecord().Phase == upgrade.Withdrawing })
				if a := sim.requestFrom(rolledBack, api.OpSubmit, newGang.ID, newGang); a.HasResult() {
					t.Errorf("submit of a gang job during the withdrawal: got %+v, want no decision", a)
				}
				sim.awaitDone("000002")
				sim.awaitActive(upgrade.Version1, time.Minute)
				sim.killAllBut(rolledBack)
				if sim.awaitLeader() != rolledBack {
					t.Errorf("%s doesn't lead, though no other controller runs", rolledBack.name)
				}
				sim.awaitRunning("000001", 3)
				sim.submit(clustertest.Array("000004", 4))
				sim.awaitDone("000004")
			})
		})
	}
}

// All controllers are rolled back at once before a gate is used. The jobs continue, and the controllers may be
// upgraded again.
func TestRollbackOfAllBeforeGateUse(t *testing.T) {
	runSimulation(t, func(sim *simulation) {
		sim.awaitActive(upgrade.Current, time.Minute)
		sim.submit(clustertest.Service("000001", 3))
		sim.restartAllWithVersion(upgrade.Version1)
		sim.awaitLeader()
		sim.awaitActive(upgrade.Version1, time.Minute)
		if r := sim.clusterRecord(); r.Phase != upgrade.Stable || r.Gate(upgrade.GangJobs).Phase != "" {
			t.Errorf("cluster record %+v, want it stable without the gate", r)
		}
		sim.awaitRunning("000001", 3)
		sim.restartAllWithVersion(upgrade.Current)
		sim.awaitActive(upgrade.Current, time.Minute)
		sim.submitGang("000002")
		sim.awaitDone("000002")
	})
}

// If the limits of the key-value store are lowered, the journal writes compressed chunks. After one controller is rolled
// back to version 1, the leader rewrites these chunks as plain chunks, even if leaders are restarted in the meantime.
func TestRollbackDuringMigration(t *testing.T) {
	for restarts := range 4 {
		t.Run(fmt.Sprintf("%d leader restarts", restarts), func(t *testing.T) {
			lowered := &storage.Limits{ChangesPerS: 30, ValueBytes: 3072, TxnOps: 6}
			runSimulationWithSettings(t, func(s *config.Settings) { s.State.Next = lowered }, func(sim *simulation) {
				sim.awaitActive(upgrade.Current, time.Minute)
				for i := range 12 {
					sim.submit(clustertest.Array(fmt.Sprintf("%06d", i+1), 40))
				}
				sim.store.Update(func(s *storagetest.Service) { s.ValueBytes, s.TxnOps = lowered.ValueBytes, lowered.TxnOps })
				sim.submit(clustertest.Array("000100", 60))
				sim.eventually("chunks are compressed", time.Minute, func() bool {
					return sim.clusterRecord().Gate(upgrade.CompressedChunks).Used && sim.encodedChunks() > 0
				})
				rolledBack := sim.follower()
				rolledBack.restartWithVersion(upgrade.Version1)
				for range restarts {
					time.Sleep(700 * time.Millisecond)
					if leader := sim.leader(); leader != nil && leader != rolledBack {
						leader.restart()
					}
					sim.awaitLeader()
				}
				sim.awaitActive(upgrade.Version1, 3*time.Minute)
				if n := sim.encodedChunks(); n > 0 {
					t.Errorf("%d encoded chunks are left, want none", n)
				}
				sim.killAllBut(rolledBack)
				sim.awaitLeader()
				for i := range 12 {
					sim.awaitDone(fmt.Sprintf("%06d", i+1))
				}
			})
		})
	}
}

// encodedChunks counts the stored chunks that are compressed or hold fragments, which version 1 can't read.
func (sim *simulation) encodedChunks() int {
	client := &storagetest.Client{Service: sim.store}
	items, _, _, err := client.List(context.Background(), "log/", "", 1000)
	if err != nil {
		sim.t.Fatal(err)
	}
	encoded := 0
	for _, item := range items {
		if storage.IsNonPlain(item.Data) {
			encoded++
		}
	}
	return encoded
}

// Once a version is finalized, it can't be rolled back any more. A process of a lower version then ends with an error
// that names the required version. The other controllers are unaffected.
func TestFinalizedVersionRejectsOlderProcesses(t *testing.T) {
	runSimulation(t, func(sim *simulation) {
		for _, n := range sim.nodes {
			n.changeUpgradeSettings = func(s *upgrade.Settings) { s.Policy.AutoFinalize, s.Policy.Soak = true, 10*time.Second }
			n.restart()
		}
		sim.submit(clustertest.Service("000001", 3))
		sim.eventually("the version is finalized", time.Minute, func() bool { return sim.clusterRecord().Minimum == upgrade.Current })
		rolledBack := sim.awaitLeader()
		rolledBack.restartWithVersion(upgrade.Version2)
		sim.eventually("the start is refused", 20*time.Second, func() bool { return rolledBack.refusal.Load() != nil })
		if message := (*rolledBack.refusal.Load()).Error(); !strings.Contains(message, fmt.Sprintf("version %d or later is needed", upgrade.Current)) || strings.Contains(message, "\n") {
			t.Errorf("refused with %q, want one line with the required version", message)
		}
		sim.awaitLeader()
		sim.submit(clustertest.Array("000002", 3))
		sim.awaitDone("000002")
		sim.awaitRunning("000001", 3)
		if r := sim.clusterRecord(); r.Active != upgrade.Current || r.Phase != upgrade.Finalized {
			t.Errorf("cluster record %+v, want version %d finalized", r, upgrade.Current)
		}
	})
}

// The leader is rolled back right after the activation of a version, and then upgraded again.
func TestRollbackOfLeaderAfterActivation(t *testing.T) {
	runSimulation(t, func(sim *simulation) {
		sim.restartAllWithVersion(upgrade.Version1)
		sim.awaitLeader()
		sim.restartAllWithVersion(upgrade.Current)
		sim.eventually("version 2 active", time.Minute, func() bool { return sim.clusterRecord().Active >= upgrade.Version2 })
		leader := sim.awaitLeader()
		leader.restartWithVersion(upgrade.Version1)
		sim.awaitActive(upgrade.Version1, time.Minute)
		sim.submit(clustertest.Array("000001", 3))
		sim.awaitDone("000001")
		leader.restartWithVersion(upgrade.Current)
		sim.awaitActive(upgrade.Current, time.Minute)
	})
}
