package scheduler

import (
	"context"
	"encoding/json"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"sagevale/internal/api"
	"sagevale/internal/leadership"
	"sagevale/internal/storage"
	"sagevale/internal/storage/storagetest"
	"sagevale/internal/upgrade"
)

// Most tests in this file change the key-value store between a check and the write that relies on the check, or delay a
// write. A guard makes a write fail if the keys that were checked have changed. Each of these tests fails if the write
// has no guard.

// writeKey writes a key as another process would, without guards.
func (sim *simulation) writeKey(key string, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		sim.t.Fatal(err)
	}
	if _, err := sim.store.Apply(nil, []storage.Op{{Key: key, Data: data}}); err != nil {
		sim.t.Fatal(err)
	}
}

// beforeFirstWrite calls f before the first transaction that sets a key to a value with the given substring.
func (sim *simulation) beforeFirstWrite(key, substring string, f func()) {
	var called atomic.Bool
	sim.store.Update(func(s *storagetest.Service) {
		s.BeforeApply = func(tx storagetest.Txn) {
			if slices.ContainsFunc(tx.Ops, func(o storage.Op) bool { return o.Key == key && strings.Contains(string(o.Data), substring) }) && called.CompareAndSwap(false, true) {
				f()
			}
		}
	})
}

// writesKey reports whether a transaction writes a key.
func writesKey(tx storagetest.Txn, key string) bool {
	return slices.ContainsFunc(tx.Ops, func(o storage.Op) bool { return o.Key == key })
}

// clusterHistory returns all revisions of the cluster record, in order.
func (sim *simulation) clusterHistory() (history []upgrade.Record) {
	sim.t.Helper()
	client := &storagetest.Client{Service: sim.store}
	changes, _, err := client.Watch(context.Background(), leadership.ClusterKey, 0, 0)
	if err != nil {
		sim.t.Fatal(err)
	}
	for _, change := range changes {
		record, err := upgrade.DecodeRecord(change.Key, change.Data)
		if err != nil {
			sim.t.Fatal(err)
		}
		history = append(history, record)
	}
	return history
}

// registrationOf reads a node's stored registration.
func (sim *simulation) registrationOf(node string) upgrade.Registration {
	sim.t.Helper()
	client := &storagetest.Client{Service: sim.store}
	item, err := client.Get(context.Background(), leadership.RegistrationPrefix+node)
	if err != nil {
		sim.t.Fatal(err)
	}
	registration, err := upgrade.DecodeRegistration(item.Key, node, item.Data)
	if err != nil {
		sim.t.Fatal(err)
	}
	return registration
}

// gangJobsInUse returns a cluster record in which the gate for gang jobs is used. Under this record, a process of
// version 1 must not lead.
func gangJobsInUse() upgrade.Record {
	record := upgrade.Initial()
	record.Active, record.Phase = upgrade.Version2, upgrade.Soaking
	record.Gates = map[upgrade.GateName]upgrade.GateState{upgrade.GangJobs: {Since: upgrade.Version2, Phase: upgrade.GateOpen, Used: true}}
	return record
}

func TestActivationDetectsConcurrentRegistration(t *testing.T) {
	runSimulation(t, func(sim *simulation) {
		sim.restartAllWithVersion(upgrade.Version1)
		sim.awaitLeader()
		node := sim.nodes[2].name
		sim.beforeFirstWrite(leadership.ClusterKey, `"active":2`, func() {
			sim.writeKey(leadership.RegistrationPrefix+node, upgrade.NewRegistration(node, "older", upgrade.Range{Min: 1, Max: 1}))
		})
		sim.restartAllWithVersion(upgrade.Current)
		time.Sleep(20 * time.Second)
		for _, record := range sim.clusterHistory() {
			if record.Active != upgrade.Version1 {
				t.Errorf("cluster record %+v, want version 1 active while an older process is registered", record)
			}
		}
		sim.nodes[2].restart()
		sim.awaitActive(upgrade.Current, time.Minute)
	})
}

func TestElectionDetectsConcurrentGateUse(t *testing.T) {
	runSimulation(t, func(sim *simulation) {
		sim.restartAllWithVersion(upgrade.Version1)
		for _, n := range sim.nodes[1:] {
			n.kill()
		}
		sim.nodes[0].kill()
		time.Sleep(5 * time.Second)
		sim.beforeFirstWrite(leadership.LeaderKey, "", func() { sim.writeKey(leadership.ClusterKey, gangJobsInUse()) })
		sim.nodes[0].start()
		time.Sleep(20 * time.Second)
		if sim.leader() != nil {
			t.Error("a process of version 1 leads while gang jobs are in use")
		}
		sim.nodes[1].restartWithVersion(upgrade.Current)
		sim.nodes[2].restartWithVersion(upgrade.Current)
		sim.awaitLeader()
	})
}

func TestOlderVersionCannotLeadDuringGateUse(t *testing.T) {
	runSimulation(t, func(sim *simulation) {
		sim.awaitActive(upgrade.Current, time.Minute)
		sim.submitGang("000001")
		sim.killAll()
		sim.nodes[0].restartWithVersion(upgrade.Version1)
		time.Sleep(20 * time.Second)
		if sim.leader() != nil {
			t.Error("a process of version 1 leads while gang jobs are in use")
		}
		if a := sim.requestFrom(sim.nodes[0], api.OpPoll, "000001", storage.Spec{}); a.Code != api.CodeUnavailable {
			t.Errorf("poll on the node of version 1: got %+v, want unavailable", a)
		}
		sim.nodes[1].start()
		sim.awaitDone("000001")
		sim.awaitActive(upgrade.Version1, time.Minute)
	})
}

func TestRegistrationDetectsConcurrentFinalization(t *testing.T) {
	runSimulation(t, func(sim *simulation) {
		sim.awaitActive(upgrade.Current, time.Minute)
		rolledBack := sim.follower()
		rolledBack.kill()
		sim.beforeFirstWrite(leadership.RegistrationPrefix+rolledBack.name, "", func() {
			record := sim.clusterRecord()
			record.Minimum, record.Phase = record.Active, upgrade.Finalized
			sim.writeKey(leadership.ClusterKey, record)
		})
		rolledBack.restartWithVersion(upgrade.Version2)
		sim.eventually("the start is refused", 20*time.Second, func() bool { return rolledBack.refusal.Load() != nil })
		if r := sim.registrationOf(rolledBack.name); r.Max != upgrade.Current {
			t.Errorf("got registration %+v, want the registration of the earlier process, with versions up to %d", r, upgrade.Current)
		}
	})
}

func TestLateRegistrationOfEarlierProcessIsRejected(t *testing.T) {
	runSimulation(t, func(sim *simulation) {
		sim.restartAllWithVersion(upgrade.Version1)
		sim.awaitLeader()
		time.Sleep(10 * time.Second) // until the cluster record no longer changes, because a change would reject the registration too
		node := sim.nodes[0]
		node.kill()
		var delayed atomic.Bool
		sim.store.Update(func(s *storagetest.Service) {
			s.DelayTxn = func(tx storagetest.Txn) time.Duration {
				if !writesKey(tx, leadership.RegistrationPrefix+node.name) || !delayed.CompareAndSwap(false, true) {
					return 0
				}
				return 15 * time.Second
			}
		})
		node.restartWithVersion(upgrade.Version1) // the registration of this process is delayed
		time.Sleep(200 * time.Millisecond)
		node.restartWithVersion(upgrade.Current)
		time.Sleep(30 * time.Second)
		if r := sim.registrationOf(node.name); r.Max != upgrade.Current {
			t.Errorf("got registration %+v, want the registration of the present process, with versions up to %d", r, upgrade.Current)
		}
	})
}

func TestProcessWithoutRegistrationCannotLead(t *testing.T) {
	runSimulation(t, func(sim *simulation) {
		sim.awaitActive(upgrade.Current, time.Minute)
		sim.killAll()
		sim.store.Update(func(s *storagetest.Service) {
			s.DropTxn = func(tx storagetest.Txn) bool { return writesKey(tx, leadership.RegistrationPrefix+sim.nodes[0].name) }
		})
		sim.nodes[0].start()
		time.Sleep(20 * time.Second)
		if sim.leader() != nil {
			t.Error("a process leads though only an earlier process of its node is registered")
		}
		sim.store.Update(func(s *storagetest.Service) { s.DropTxn = nil })
		sim.awaitLeader()
	})
}

// If a write of the cluster record gets no response, the leader reads the record again before the next upgrade step.
func TestUnansweredUpgradeStepIsReadAgain(t *testing.T) {
	runSimulation(t, func(sim *simulation) {
		sim.restartAllWithVersion(upgrade.Version1)
		sim.awaitLeader()
		var lost atomic.Int32
		sim.store.Update(func(s *storagetest.Service) {
			s.LoseResponse = func(tx storagetest.Txn) bool {
				if writesClusterRecord(tx) {
					lost.Add(1)
					return true
				}
				return false
			}
		})
		sim.restartAllWithVersion(upgrade.Current)
		sim.awaitActive(upgrade.Current, time.Minute)
		sim.submitGang("000001")
		sim.awaitDone("000001")
		if n := lost.Load(); n < 3 {
			t.Errorf("%d responses were lost, want at least 3", n)
		}
	})
}

// A delayed upgrade step of a former leader must not change the cluster record.
func TestLateUpgradeStepOfFormerLeaderIsRejected(t *testing.T) {
	runSimulation(t, func(sim *simulation) {
		sim.restartAllWithVersion(upgrade.Version1)
		leader := sim.awaitLeader()
		var delayed atomic.Bool
		sim.store.Update(func(s *storagetest.Service) {
			s.DelayTxn = func(tx storagetest.Txn) time.Duration {
				if !writesClusterRecord(tx) || !delayed.CompareAndSwap(false, true) {
					return 0
				}
				return 15 * time.Second
			}
		})
		sim.restartAllWithVersion(upgrade.Current)
		sim.eventually("a step is delayed", time.Minute, delayed.Load)
		sim.killAll()
		before := len(sim.clusterHistory())
		time.Sleep(16 * time.Second) // until the delayed step has arrived; no controller runs that could take another step
		if history := sim.clusterHistory(); len(history) > before {
			t.Errorf("changes %+v of the cluster record by a former leader, want none", history[before:])
		}
		leader.start()
		sim.awaitLeader()
	})
}
