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

// releaseAfter is short enough for these scenarios.
const releaseAfter = 20 * time.Second

// runReleaseSimulation runs a scenario in which gates are released soon.
func runReleaseSimulation(t *testing.T, story func(sim *simulation)) {
	runSimulation(t, func(sim *simulation) {
		for _, n := range sim.nodes {
			n.upgrade = func(s *upgrade.Settings) { s.Policy.ReleaseAfter = releaseAfter }
			n.restart()
		}
		sim.awaitActive(upgrade.Current, time.Minute)
		story(sim)
	})
}

// isGangRelease tells a transaction that takes gang jobs for unused again.
func isGangRelease(tx storagetest.Txn) bool {
	for _, op := range tx.Ops {
		if op.Key == leadership.ClusterKey && strings.Contains(string(op.Data), `"gang-jobs":{"since":2,"phase":"open"}`) && !strings.Contains(string(op.Data), `"fence":`) {
			return len(tx.Ops) > 1 // the fence falls with it
		}
	}
	return false
}

// Once nothing has depended on a gate for long, all controllers may go back at once.
func TestUnusedGateIsReleased(t *testing.T) {
	runReleaseSimulation(t, func(sim *simulation) {
		sim.submitGang("000001")
		if r := sim.clusterRecord(); r.Fence == 0 {
			t.Errorf("not fenced: %+v", r)
		}
		sim.awaitDone("000001")
		sim.eventually("released", 2*time.Minute, func() bool {
			r := sim.clusterRecord()
			return !r.Gate(upgrade.GangJobs).Used && !r.Gate(upgrade.FencedTerm).Used && r.Fence == 0
		})
		old := sim.nodes[0].startUnregistered(0)
		sim.nodes[1].startUnregistered(0)
		sim.nodes[2].startUnregistered(0)
		sim.eventually("it leads", time.Minute, func() bool { return old.terms.Load() > 0 })
	})
}

// A release goes unanswered and is carried out late, while the next gang job has come: the
// use is stored anew first, so that the release can't undo it.
func TestLateReleaseDoesNotUndoUse(t *testing.T) {
	runReleaseSimulation(t, func(sim *simulation) {
		sim.submitGang("000001")
		sim.awaitDone("000001")
		var held atomic.Bool
		sim.state.Update(func(s *storagetest.Service) {
			s.Late = func(tx storagetest.Txn) time.Duration {
				if !isGangRelease(tx) || !held.CompareAndSwap(false, true) {
					return 0
				}
				return 3 * time.Second
			}
		})
		sim.eventually("a release is late", 2*time.Minute, held.Load)
		time.Sleep(1500 * time.Millisecond) // uses are counted again meanwhile
		g := clustertest.Array("000002", 3)
		g.Gang, g.EstimateS = true, 60
		sim.submit(g)
		time.Sleep(5 * time.Second)
		if r := sim.clusterRecord(); !r.Gate(upgrade.GangJobs).Used || r.Fence == 0 {
			t.Errorf("a gang job is open beside %+v", r)
		}
		sim.awaitDone("000002")
	})
}

// A gang job that arrives between the count and the release keeps the gate in use.
func TestUseBeforeReleaseKeepsGate(t *testing.T) {
	runReleaseSimulation(t, func(sim *simulation) {
		sim.submitGang("000001")
		sim.awaitDone("000001")
		for i := range 6 {
			time.Sleep(releaseAfter * 9 / 10)
			if r := sim.clusterRecord(); !r.Gate(upgrade.GangJobs).Used {
				t.Fatalf("released too soon: %+v", r)
			}
			g := clustertest.Array("00001"+string(rune('0'+i)), 2)
			g.Gang = true
			sim.submit(g)
			if r := sim.clusterRecord(); !r.Gate(upgrade.GangJobs).Used {
				t.Fatalf("a gang job is open beside %+v", r)
			}
			sim.awaitDone(g.ID)
		}
	})
}
