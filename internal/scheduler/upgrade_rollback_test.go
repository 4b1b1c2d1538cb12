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

// One controller goes back while a gang job is in use: it answers, but doesn't lead; the
// gate is withdrawn once the gang is over, and then it leads.
func TestRollbackOfOneController(t *testing.T) {
	for _, leader := range []bool{false, true} {
		t.Run(fmt.Sprintf("leader=%v", leader), func(t *testing.T) {
			runSimulation(t, func(sim *simulation) {
				sim.awaitActive(upgrade.Current, time.Minute)
				sim.submit(clustertest.Service("000001", 3))
				sim.submitGang("000002")
				back := sim.nodes[2]
				if lead := sim.awaitLeader(); leader == (lead != back) {
					back = lead
				}
				if !leader && back == sim.awaitLeader() {
					back = sim.nodes[0]
				}
				back.restartWithVersion(upgrade.Version1)
				if sim.awaitLeader() == back {
					t.Error("it leads beside a gang job")
				}
				refused := clustertest.Array("000003", 3)
				refused.Gang = true
				sim.eventually("answers", 10*time.Second, func() bool {
					a := sim.requestFrom(back, api.OpPoll, "000002", storage.Spec{})
					return a.Decided()
				})
				sim.eventually("withdrawing", 10*time.Second, func() bool { return sim.clusterRecord().Phase == upgrade.Withdrawing })
				if a := sim.requestFrom(back, api.OpSubmit, refused.ID, refused); a.Decided() {
					t.Errorf("a gang job is taken during the withdrawal: %+v", a)
				}
				sim.awaitDone("000002")
				sim.awaitActive(upgrade.Version1, time.Minute)
				for _, n := range sim.nodes {
					if n != back {
						n.kill()
					}
				}
				if sim.awaitLeader() != back {
					t.Error("it doesn't lead")
				}
				sim.awaitRunning("000001", 3)
				sim.submit(clustertest.Array("000004", 4))
				sim.awaitDone("000004")
			})
		})
	}
}

// All controllers go back at once before anything depends on a gate: nothing is stuck, and
// the fleet may be upgraded again.
func TestRollbackOfAllBeforeGateUse(t *testing.T) {
	runSimulation(t, func(sim *simulation) {
		sim.awaitActive(upgrade.Current, time.Minute)
		sim.submit(clustertest.Service("000001", 3))
		sim.restartAllWithVersion(upgrade.Version1)
		sim.awaitLeader()
		sim.awaitActive(upgrade.Version1, time.Minute)
		if r := sim.clusterRecord(); r.Phase != upgrade.Stable || r.Gate(upgrade.GangJobs).Phase != "" {
			t.Errorf("%+v", r)
		}
		sim.awaitRunning("000001", 3)
		sim.restartAllWithVersion(upgrade.Current)
		sim.awaitActive(upgrade.Current, time.Minute)
		sim.submitGang("000002")
		sim.awaitDone("000002")
	})
}

// Chunks are compressed under lowered limits; going back rewrites them, wherever the leader
// ends meanwhile.
func TestRollbackDuringMigration(t *testing.T) {
	for kills := range 4 {
		t.Run(fmt.Sprint(kills), func(t *testing.T) {
			next := &storage.Limits{ChangesPerS: 30, ValueBytes: 3072, TxnOps: 6}
			runSimulationWithSettings(t, func(s *config.Settings) { s.State.Next = next }, func(sim *simulation) {
				sim.awaitActive(upgrade.Current, time.Minute)
				for i := range 12 {
					sim.submit(clustertest.Array(fmt.Sprintf("%06d", i+1), 40))
				}
				sim.state.Update(func(s *storagetest.Service) { s.ValueBytes, s.TxnOps = next.ValueBytes, next.TxnOps })
				sim.submit(clustertest.Array("000100", 60))
				sim.eventually("compressed", time.Minute, func() bool {
					return sim.clusterRecord().Gate(upgrade.CompressedChunks).Used && sim.encodedChunks() > 0
				})
				back := sim.nodes[0]
				if sim.awaitLeader() == back {
					back = sim.nodes[1]
				}
				back.restartWithVersion(upgrade.Version1)
				for range kills {
					time.Sleep(700 * time.Millisecond)
					if lead := sim.leader(); lead != nil && lead != back {
						lead.restart()
					}
					sim.awaitLeader()
				}
				sim.awaitActive(upgrade.Version1, 3*time.Minute)
				if n := sim.encodedChunks(); n > 0 {
					t.Errorf("%d encoded chunks are left", n)
				}
				for _, n := range sim.nodes {
					if n != back {
						n.kill()
					}
				}
				sim.awaitLeader()
				for i := range 12 {
					sim.awaitDone(fmt.Sprintf("%06d", i+1))
				}
			})
		})
	}
}

// encodedChunks counts the stored chunks that the first versions can't read.
func (sim *simulation) encodedChunks() int {
	client := &storagetest.Client{Service: sim.state}
	items, _, _, err := client.List(context.Background(), "log/", "", 1000)
	if err != nil {
		sim.t.Fatal(err)
	}
	n := 0
	for _, it := range items {
		if storage.IsEncoded(it.Data) {
			n++
		}
	}
	return n
}

// After finalization an older process ends and says what it needs; the others go on.
func TestFinalizedVersionRejectsOlderProcesses(t *testing.T) {
	runSimulation(t, func(sim *simulation) {
		for _, n := range sim.nodes {
			n.upgrade = func(s *upgrade.Settings) { s.Policy.AutoFinalize, s.Policy.Soak = true, 10*time.Second }
			n.restart()
		}
		sim.submit(clustertest.Service("000001", 3))
		sim.eventually("finalized", time.Minute, func() bool { return sim.clusterRecord().Minimum == upgrade.Current })
		back := sim.awaitLeader()
		back.restartWithVersion(upgrade.Version2)
		sim.eventually("refused", 20*time.Second, func() bool { return back.refusal.Load() != nil })
		if why := (*back.refusal.Load()).Error(); !strings.Contains(why, fmt.Sprintf("version %d or later is needed", upgrade.Current)) || strings.Contains(why, "\n") {
			t.Errorf("it ends with %q", why)
		}
		sim.awaitLeader()
		sim.submit(clustertest.Array("000002", 3))
		sim.awaitDone("000002")
		sim.awaitRunning("000001", 3)
		if r := sim.clusterRecord(); r.Active != upgrade.Current || r.Phase != upgrade.Finalized {
			t.Errorf("%+v", r)
		}
	})
}

// The leader itself goes back just after the activation, before and after a gate's use.
func TestRollbackOfLeaderAfterActivation(t *testing.T) {
	runSimulation(t, func(sim *simulation) {
		sim.restartAllWithVersion(upgrade.Version1)
		sim.awaitLeader()
		sim.restartAllWithVersion(upgrade.Current)
		sim.eventually("version 2 active", time.Minute, func() bool { return sim.clusterRecord().Active >= upgrade.Version2 })
		lead := sim.awaitLeader()
		lead.restartWithVersion(upgrade.Version1)
		sim.awaitActive(upgrade.Version1, time.Minute)
		sim.submit(clustertest.Array("000001", 3))
		sim.awaitDone("000001")
		lead.restartWithVersion(upgrade.Current)
		sim.awaitActive(upgrade.Current, time.Minute)
	})
}
