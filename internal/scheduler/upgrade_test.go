package scheduler

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"sagevale/internal/api"
	"sagevale/internal/clock"
	"sagevale/internal/cluster/clustertest"
	"sagevale/internal/config"
	"sagevale/internal/leadership"
	"sagevale/internal/storage"
	"sagevale/internal/storage/storagetest"
	"sagevale/internal/upgrade"
)

// clusterRecord returns the stored cluster record, or the initial record if none is stored.
func (sim *simulation) clusterRecord() upgrade.Record {
	sim.t.Helper()
	client := &storagetest.Client{Service: sim.store}
	item, err := client.Get(context.Background(), leadership.ClusterKey)
	if errors.Is(err, storage.ErrNotFound) {
		return upgrade.Initial()
	}
	record, decodeErr := upgrade.DecodeRecord(leadership.ClusterKey, item.Data)
	if decodeErr != nil && err == nil {
		sim.t.Fatal(decodeErr)
	}
	return record
}

// awaitActive waits until the given version is active and no gate is being withdrawn.
func (sim *simulation) awaitActive(version upgrade.Version, within time.Duration) {
	sim.t.Helper()
	sim.eventually(fmt.Sprintf("version %d active", version), within, func() bool {
		r := sim.clusterRecord()
		return r.Active == version && r.Phase != upgrade.Withdrawing
	})
}

// follower waits until a node leads, and returns one of the other nodes.
func (sim *simulation) follower() *fakeNode {
	sim.t.Helper()
	if sim.awaitLeader() == sim.nodes[0] {
		return sim.nodes[1]
	}
	return sim.nodes[0]
}

func (sim *simulation) killAll() {
	for _, n := range sim.nodes {
		n.kill()
	}
}

func (sim *simulation) killAllBut(survivor *fakeNode) {
	for _, n := range sim.nodes {
		if n != survivor {
			n.kill()
		}
	}
}

func (sim *simulation) startAll() {
	for _, n := range sim.nodes {
		n.start()
	}
}

// startStopped starts the nodes that have no running process.
func (sim *simulation) startStopped() {
	for _, n := range sim.nodes {
		if n.cancelRun == nil {
			n.start()
		}
	}
}

// restartAllWithVersion restarts all nodes with processes of the given version.
func (sim *simulation) restartAllWithVersion(version upgrade.Version) {
	for _, n := range sim.nodes {
		n.restartWithVersion(version)
	}
}

// submitGang submits a gang job of three tasks, and retries until it is accepted.
func (sim *simulation) submitGang(id string) {
	sim.t.Helper()
	gang := clustertest.Array(id, 3)
	gang.Gang = true
	sim.submit(gang)
}

// writesClusterRecord reports whether a transaction writes the cluster record.
func writesClusterRecord(tx storagetest.Txn) bool {
	return writesKey(tx, leadership.ClusterKey)
}

// A new feature stays off until every controller supports it. A user who submits a gang job before that is asked to
// retry.
func TestGatesOpenOnceAllControllersAreUpgraded(t *testing.T) {
	runSimulation(t, func(sim *simulation) {
		sim.restartAllWithVersion(upgrade.Version1)
		sim.submit(clustertest.Service("000001", 3))
		gang := clustertest.Array("000002", 3)
		gang.Gang = true
		sim.storeSpec(gang)
		for i, n := range sim.nodes {
			if a := sim.requestFrom(sim.nodes[0], api.OpSubmit, gang.ID, gang); a.HasResult() {
				t.Errorf("with %d nodes upgraded a gang job is answered %+v, want no decision", i, a)
			}
			if r := sim.clusterRecord(); r.Active != upgrade.Version1 || r.Gate(upgrade.GangJobs).Phase != "" {
				t.Errorf("cluster record with %d nodes upgraded is %+v, want version 1 without the gate", i, r)
			}
			n.restartWithVersion(upgrade.Current)
			time.Sleep(10 * time.Second)
		}
		sim.awaitActive(upgrade.Current, 10*time.Second)
		sim.submit(gang)
		sim.awaitDone("000002")
		sim.awaitRunning("000001", 3)
	})
}

// A transaction that writes a step of the upgrade is dropped, committed without a response, or delayed. In half of
// the cases the leader also crashes at that step, and the next leader continues from the cluster record.
func TestUpgradeSurvivesLostStep(t *testing.T) {
	for _, fault := range []string{"dropped", "unanswered", "delayed"} {
		for _, kill := range []bool{false, true} {
			for step := range 4 {
				t.Run(fmt.Sprintf("%s/kill=%v/%d", fault, kill, step), func(t *testing.T) {
					runSimulation(t, func(sim *simulation) { sim.runUpgradeWithLostStep(fault, kill, step) })
				})
			}
		}
	}
}

// runUpgradeWithLostStep upgrades the fleet and uses a gate. It injects the fault into one of the transactions that
// write the cluster record. step is the index of this transaction, from 0. If kill is set, the leader is also
// restarted at this transaction.
func (sim *simulation) runUpgradeWithLostStep(fault string, kill bool, step int) {
	sim.restartAllWithVersion(upgrade.Version1)
	sim.submit(clustertest.Service("000001", 2))
	sim.awaitLeader()
	var clusterWrites atomic.Int32
	matches := func(tx storagetest.Txn) bool {
		if !writesClusterRecord(tx) {
			return false
		}
		if int(clusterWrites.Add(1)) != step+1 {
			return false
		}
		if kill {
			time.AfterFunc(time.Millisecond, func() {
				if leader := sim.leader(); leader != nil {
					leader.restart()
				}
			})
		}
		return true
	}
	sim.store.Update(func(s *storagetest.Service) {
		switch fault {
		case "dropped":
			s.DropTxn = matches
		case "unanswered":
			s.LoseResponse = matches
		case "delayed":
			s.DelayTxn = func(tx storagetest.Txn) time.Duration {
				if matches(tx) {
					return 20 * time.Second
				}
				return 0
			}
		}
	})
	sim.restartAllWithVersion(upgrade.Current)
	sim.awaitActive(upgrade.Current, time.Minute)
	sim.submitGang("000002")
	sim.awaitDone("000002")
	time.Sleep(30 * time.Second) // until the delayed transaction has arrived
	if r := sim.clusterRecord(); r.Active != upgrade.Current || !r.Gate(upgrade.GangJobs).Usable() {
		sim.t.Errorf("cluster record %+v, want version %d with usable gang jobs", r, upgrade.Current)
	}
	sim.awaitRunning("000001", 2)
}

// During the upgrade the key-value store is unavailable to all nodes or to one node, or its limits are lowered. This
// may delay the upgrade but must have no other effect.
func TestUpgradeDuringStoreFaults(t *testing.T) {
	for _, c := range []struct {
		name  string
		begin func(sim *simulation)
		end   func(sim *simulation)
	}{
		{"outage", func(sim *simulation) { sim.store.SetOutage(true) }, func(sim *simulation) { sim.store.SetOutage(false) }},
		{"one node cut off", func(sim *simulation) { sim.nodes[1].cutStore.Store(true) }, func(sim *simulation) { sim.nodes[1].cutStore.Store(false) }},
		{"lowered limits", func(sim *simulation) {
			sim.store.Update(func(s *storagetest.Service) { s.ValueBytes, s.TxnOps = 2048, 4 })
		}, func(*simulation) {}},
	} {
		t.Run(c.name, func(t *testing.T) {
			runSimulationWithSettings(t, func(s *config.Settings) { s.State.Next = &storage.Limits{ChangesPerS: 15, ValueBytes: 2048, TxnOps: 4} }, func(sim *simulation) {
				sim.restartAllWithVersion(upgrade.Version1)
				sim.submit(clustertest.Service("000001", 3))
				sim.awaitRunning("000001", 3)
				c.begin(sim)
				for _, n := range sim.nodes {
					n.restartWithVersion(upgrade.Current)
					time.Sleep(5 * time.Second)
				}
				c.end(sim)
				sim.awaitActive(upgrade.Current, 2*time.Minute)
				sim.submitGang("000002")
				sim.awaitDone("000002")
				sim.awaitRunning("000001", 3)
			})
		})
	}
}

// While the cluster record is damaged no controller leads, and users get responses that ask them to retry.
func TestDamagedClusterRecordPreventsLeadership(t *testing.T) {
	runSimulation(t, func(sim *simulation) {
		sim.awaitActive(upgrade.Current, time.Minute)
		sim.submit(clustertest.Service("000001", 2))
		client := &storagetest.Client{Service: sim.store}
		original, err := client.Get(context.Background(), leadership.ClusterKey)
		if err != nil {
			t.Fatal(err)
		}
		setClusterRecord := func(data string) {
			if _, err := client.Apply(nil, []storage.Op{{Key: leadership.ClusterKey, Data: json.RawMessage(data)}}); err != nil {
				t.Fatal(err)
			}
		}
		setClusterRecord(`{"schema":1,"active":0}`)
		// The leader reads the record again only when a registration changes.
		sim.writeKey(leadership.RegistrationPrefix+"n2", upgrade.NewRegistration("n2", "another", upgrade.Supported))
		time.Sleep(10 * time.Second)
		if leader := sim.leader(); leader != nil {
			t.Errorf("%s still leads", leader.name)
		}
		for _, n := range sim.nodes {
			n.restart()
		}
		time.Sleep(20 * time.Second)
		if leader := sim.leader(); leader != nil {
			t.Errorf("%s leads after its restart", leader.name)
		}
		for _, n := range sim.nodes {
			if a := sim.requestFrom(n, api.OpPoll, "000001", storage.Spec{}); a.Code != api.CodeUnavailable || a.RetrySeconds == 0 {
				t.Errorf("poll on %s: got %+v, want unavailable with a retry interval", n.name, a)
			}
		}
		setClusterRecord(string(original.Data))
		sim.awaitLeader()
		sim.awaitRunning("000001", 2)
	})
}

// If the registration of a node is damaged, the activation of a version waits until the node registers again.
func TestDamagedRegistrationDelaysActivation(t *testing.T) {
	runSimulation(t, func(sim *simulation) {
		sim.restartAllWithVersion(upgrade.Version1)
		sim.awaitLeader()
		sim.nodes[0].restartWithVersion(upgrade.Current)
		sim.nodes[1].restartWithVersion(upgrade.Current)
		time.Sleep(5 * time.Second)
		sim.nodes[2].kill()
		client := &storagetest.Client{Service: sim.store}
		if _, err := client.Apply(nil, []storage.Op{{Key: leadership.RegistrationPrefix + sim.nodes[2].name, Data: json.RawMessage(`{"schema":1,"min":9}`)}}); err != nil {
			t.Fatal(err)
		}
		time.Sleep(20 * time.Second)
		if r := sim.clusterRecord(); r.Active != upgrade.Version1 {
			t.Errorf("cluster record %+v, want version 1 active", r)
		}
		sim.nodes[2].restartWithVersion(upgrade.Current)
		sim.awaitActive(upgrade.Current, 20*time.Second)
	})
}

// While the nodes run three different versions, the lowest version stays active, whichever node leads.
func TestFleetOfThreeVersions(t *testing.T) {
	runSimulation(t, func(sim *simulation) {
		sim.nodes[0].restartWithVersion(upgrade.Version1)
		sim.nodes[1].restartWithVersion(upgrade.Version2)
		sim.nodes[2].restartWithVersion(upgrade.Version3)
		sim.submit(clustertest.Service("000001", 3))
		for range 4 {
			time.Sleep(10 * time.Second)
			if r := sim.clusterRecord(); r.Active != upgrade.Version1 {
				t.Fatalf("cluster record %+v, want version 1 active", r)
			}
			sim.awaitLeader().restart()
		}
		sim.nodes[0].restartWithVersion(upgrade.Version2)
		sim.awaitActive(upgrade.Version2, time.Minute)
		sim.submitGang("000002")
		sim.awaitDone("000002")
		sim.awaitRunning("000001", 3)
	})
}

// The nodes go through random upgrades, rollbacks, restarts, partitions and outages while jobs are submitted. The
// simulation checks that no task is lost or runs twice, and that no response contradicts an earlier one.
func TestRandomUpgradesAndRollbacks(t *testing.T) {
	for seed := range uint64(12) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			runSimulation(t, func(sim *simulation) { sim.runRandomUpgrades(rand.New(rand.NewPCG(seed, 21))) })
		})
	}
}

// runRandomUpgrades runs fourteen random steps and then upgrades all nodes.
func (sim *simulation) runRandomUpgrades(random *rand.Rand) {
	sim.restartAllWithVersion(upgrade.Version(1 + random.IntN(3)))
	sim.submit(clustertest.Service("000001", 4))
	for i := range 14 {
		node := sim.nodes[random.IntN(len(sim.nodes))]
		switch random.IntN(7) {
		case 0, 1, 2:
			node.restartWithVersion(upgrade.Version(1 + random.IntN(3)))
		case 3:
			node.restart()
		case 4:
			node.cutStore.Store(true)
			time.AfterFunc(8*time.Second, func() { node.cutStore.Store(false) })
		case 5:
			sim.store.SetOutage(true)
			time.AfterFunc(4*time.Second, func() { sim.store.SetOutage(false) })
		case 6:
			sim.store.Update(func(s *storagetest.Service) { s.LoseResponses = 2 })
		}
		id := fmt.Sprintf("%06d", 10+i)
		job := clustertest.Array(id, 1+random.IntN(4))
		job.Gang = random.IntN(3) == 0 && sim.clusterRecord().Gate(upgrade.GangJobs).Usable()
		sim.storeSpec(job)
		sim.requestFrom(node, api.OpSubmit, id, job)
		time.Sleep(time.Duration(random.IntN(10_000)) * time.Millisecond)
	}
	sim.store.SetOutage(false)
	sim.restartAllWithVersion(upgrade.Current)
	sim.awaitActive(upgrade.Current, 2*time.Minute)
	sim.awaitRunning("000001", 4)
	sim.submitGang("000100")
	sim.awaitDone("000100")
}

// The setting upgrade.target is the highest version that a leader may activate. A leader without a target may activate
// a version above the target of another node. The other node's running process isn't stopped, and may still become the
// leader. After a restart of the other node, its new process refuses to start, with an error of one line.
func TestTargetBelowActiveVersion(t *testing.T) {
	runSimulation(t, func(sim *simulation) {
		limitTarget := func(s *upgrade.Settings) { s.Policy.Target = upgrade.Version2 }
		for _, n := range sim.nodes {
			n.changeUpgradeSettings = limitTarget
			n.restart()
		}
		sim.awaitActive(upgrade.Version2, time.Minute)
		sim.awaitLeader().restartWithVersion(upgrade.Current)
		for _, n := range sim.nodes {
			if n.node.settings.Tuning.Upgrade.Policy.Target == 0 {
				continue
			}
			// The nodes with a target are cut off from the store, so that the restarted node becomes the leader.
			n.cutStore.Store(true)
			defer n.cutStore.Store(false)
		}
		sim.awaitActive(upgrade.Current, time.Minute)
		for _, n := range sim.nodes {
			n.cutStore.Store(false)
		}
		sim.awaitLeader().kill()
		leader := sim.awaitLeader()
		if r := sim.clusterRecord(); r.Active != upgrade.Current {
			t.Errorf("cluster record %+v, want version %d active despite the next leader's target", r, upgrade.Current)
		}
		leader.restart()
		sim.eventually("the start is refused", 20*time.Second, func() bool { return leader.refusal.Load() != nil })
		if message := (*leader.refusal.Load()).Error(); !strings.HasPrefix(message, "upgrade.target: ") || strings.Contains(message, "\n") {
			t.Errorf("refused with %q, want one line on upgrade.target", message)
		}
	})
}

// A slow key-value store prevents neither registration nor leadership, because the candidate reads the cluster record
// under a timeout of its own.
func TestElectionWithSlowStore(t *testing.T) {
	runSimulation(t, func(sim *simulation) {
		sim.awaitActive(upgrade.Current, time.Minute)
		sim.submit(clustertest.Service("000001", 2))
		slow := clock.Scale(sim.settings.StoreCallTimeout(), 0.3) // three calls take less than StoreCallTimeout, four take more
		sim.store.Update(func(s *storagetest.Service) { s.AddedLatency = slow })
		for _, n := range sim.nodes {
			n.restart()
		}
		sim.eventually("a leader", 20*time.Second, func() bool { return sim.leader() != nil })
		sim.awaitRunning("000001", 2)
	})
}
