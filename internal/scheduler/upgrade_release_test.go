package scheduler

import (
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"sagevale/internal/cluster/clustertest"
	"sagevale/internal/leadership"
	"sagevale/internal/storage/storagetest"
	"sagevale/internal/upgrade"
)

// releaseAfter is how long no data must have depended on a gate before the leader releases the gate. To release a gate
// is to mark it as unused.
const releaseAfter = 20 * time.Second

// runReleaseSimulation runs a scenario in which gates are released after releaseAfter.
func runReleaseSimulation(t *testing.T, scenario func(sim *simulation)) {
	t.Helper()
	runSimulation(t, func(sim *simulation) {
		for _, n := range sim.nodes {
			n.changeUpgradeSettings = func(s *upgrade.Settings) { s.Policy.ReleaseAfter = releaseAfter }
			n.restart()
		}
		sim.awaitActive(upgrade.Current, time.Minute)
		scenario(sim)
	})
}

// isGangRelease reports whether a transaction releases the gate of gang jobs.
func isGangRelease(tx storagetest.Txn) bool {
	for _, op := range tx.Ops {
		if op.Key == leadership.ClusterKey && strings.Contains(string(op.Data), `"gang-jobs":{"since":2,"phase":"open"}`) && !strings.Contains(string(op.Data), `"fence":`) {
			return len(tx.Ops) > 1 // the same transaction also writes the term record, without the fence
		}
	}
	return false
}

// Once no data has depended on a gate for releaseAfter, the leader marks the gate as unused again. All controllers may
// then be rolled back at once, even to a version that stores no registration.
func TestUnusedGateIsReleased(t *testing.T) {
	runReleaseSimulation(t, func(sim *simulation) {
		sim.submitGang("000001")
		if r := sim.clusterRecord(); r.Fence == 0 {
			t.Errorf("cluster record %+v, want a fence", r)
		}
		sim.awaitDone("000001")
		sim.eventually("the gates are released", 2*time.Minute, func() bool {
			r := sim.clusterRecord()
			return !r.Gate(upgrade.GangJobs).Used && !r.Gate(upgrade.FencedTerm).Used && r.Fence == 0
		})
		olderProcess := sim.nodes[0].startUnregistered(0)
		sim.nodes[1].startUnregistered(0)
		sim.nodes[2].startUnregistered(0)
		sim.eventually("the older version leads", time.Minute, func() bool { return olderProcess.termsLed.Load() > 0 })
	})
}

// The transaction that releases a gate is delayed and gets no response, and a gang job arrives in the meantime. The
// leader marks the gate as used again before it accepts the job. The late transaction must not undo this mark.
func TestLateReleaseDoesNotUndoUse(t *testing.T) {
	runReleaseSimulation(t, func(sim *simulation) {
		sim.submitGang("000001")
		sim.awaitDone("000001")
		var delayed atomic.Bool
		sim.store.Update(func(s *storagetest.Service) {
			s.DelayTxn = func(tx storagetest.Txn) time.Duration {
				if !isGangRelease(tx) || !delayed.CompareAndSwap(false, true) {
					return 0
				}
				return 3 * time.Second
			}
		})
		sim.eventually("a release is delayed", 2*time.Minute, delayed.Load)
		time.Sleep(1500 * time.Millisecond) // until the leader counts the uses of the gates again
		gang := clustertest.Array("000002", 3)
		gang.Gang, gang.EstimateS = true, 60
		sim.submit(gang)
		time.Sleep(5 * time.Second)
		if r := sim.clusterRecord(); !r.Gate(upgrade.GangJobs).Used || r.Fence == 0 {
			t.Errorf("cluster record %+v with a gang job open, want the gate in use", r)
		}
		sim.awaitDone("000002")
	})
}

// A gang job that arrives shortly before the release of its gate is due keeps the gate in use.
func TestUseBeforeReleaseKeepsGate(t *testing.T) {
	runReleaseSimulation(t, func(sim *simulation) {
		sim.submitGang("000001")
		sim.awaitDone("000001")
		for i := range 6 {
			time.Sleep(releaseAfter * 9 / 10)
			if r := sim.clusterRecord(); !r.Gate(upgrade.GangJobs).Used {
				t.Fatalf("cluster record %+v, want the gate still in use", r)
			}
			gang := clustertest.Array("00001"+string(rune('0'+i)), 2)
			gang.Gang = true
			sim.submit(gang)
			if r := sim.clusterRecord(); !r.Gate(upgrade.GangJobs).Used {
				t.Fatalf("cluster record %+v with a gang job open, want the gate in use", r)
			}
			sim.awaitDone(gang.ID)
		}
	})
}
