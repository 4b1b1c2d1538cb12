package scheduler

import (
	"bytes"
	"context"
	"encoding/json"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"sagevale/internal/clock"
	"sagevale/internal/cluster/clustertest"
	"sagevale/internal/config"
	"sagevale/internal/leadership"
	"sagevale/internal/storage"
	"sagevale/internal/storage/storagetest"
	"sagevale/internal/upgrade"
)

// The programs of two earlier commits store no registration in the key-value store. Commit 3661d31 is version 1 and
// reports no version to its peers. Commit af96c21 is version 2 and reports version 2. The loopback test, which isn't
// part of CI, runs the real binaries of both commits. The tests in this file only model how these programs acquire
// leadership and which version they report.

// unregisteredProcess models a process of one of the two commits. It acquires leadership in the same way, but does
// nothing while it leads.
type unregisteredProcess struct {
	version  int          // the version reported to peers; 0: none
	termsLed atomic.Int32 // number of terms that it has led
}

// startUnregistered replaces a node's process by one that doesn't register and that reports the given version to its
// peers.
func (n *fakeNode) startUnregistered(version int) *unregisteredProcess {
	n.kill()
	ctx, cancel := context.WithCancel(context.Background())
	p := &unregisteredProcess{version: version}
	n.cancelRun = cancel
	n.unregistered.Store(p)
	go p.competeForLeadership(ctx, &storagetest.Client{Service: n.sim.store, Disconnected: &n.cutStore}, n.sim.settings.Tuning.LeaderLease, n.name)
	return p
}

// competeForLeadership acquires leadership whenever it is vacant, and resigns it after three seconds.
func (p *unregisteredProcess) competeForLeadership(ctx context.Context, store storage.KeyValueStore, ttl time.Duration, node string) {
	for clock.Sleep(ctx, ttl/20) {
		if _, err := store.Get(ctx, leadership.LeaderKey); err == nil {
			continue
		}
		lease, err := store.Grant(ctx, ttl)
		if err != nil {
			continue
		}
		term := uint64(0)
		item, err := store.Get(ctx, leadership.TermKey)
		if err == nil && json.Unmarshal(item.Data, &term) != nil {
			continue // the term record has a fence, and these versions read only a bare number
		}
		leaderData, _ := json.Marshal(leadership.LeaderRecord{Node: node, Process: "earlier", Term: term + 1})
		termData, _ := json.Marshal(term + 1)
		if _, err = store.Txn(ctx, []storage.Guard{{Key: leadership.LeaderKey}, {Key: leadership.TermKey, Version: item.Version}},
			[]storage.Op{{Key: leadership.LeaderKey, Data: leaderData, Lease: lease}, {Key: leadership.TermKey, Data: termData}}); err != nil {
			continue
		}
		p.termsLed.Add(1)
		for end := time.Now().Add(3 * time.Second); time.Now().Before(end) && clock.Sleep(ctx, ttl/5); {
			if store.Renew(ctx, lease) != nil {
				break
			}
		}
		_ = store.Revoke(ctx, lease)
	}
}

// A node is rolled back to commit 3661d31 while a gang job is open. Until the store holds no data that this commit
// can't read, the node's process can't become the leader, even while no other controller leads.
func TestUnregisteredProcessIsFencedDuringGateUse(t *testing.T) {
	runSimulation(t, func(sim *simulation) {
		sim.awaitActive(upgrade.Current, time.Minute)
		sim.submit(clustertest.Service("000001", 2))
		gang := clustertest.Array("000002", 3)
		gang.Gang, gang.EstimateS = true, 120
		sim.submit(gang)
		leader := sim.awaitLeader()
		rolledBack := sim.nodes[0]
		if leader == rolledBack {
			rolledBack = sim.nodes[1]
		}
		olderProcess := rolledBack.startUnregistered(0)
		leader.kill()
		time.Sleep(20 * time.Second)
		sim.awaitLeader()
		leader.start()
		if n := olderProcess.termsLed.Load(); n > 0 {
			t.Errorf("the unregistered process became leader %d times while a gang job was open, want never", n)
		}
		sim.eventually("the gate is being withdrawn", 20*time.Second, func() bool { return sim.clusterRecord().Phase == upgrade.Withdrawing })
		sim.awaitDone("000002")
		sim.awaitActive(upgrade.Version1, time.Minute)
		sim.eventually("the fence is removed", 20*time.Second, func() bool { return sim.clusterRecord().Fence == 0 })
		sim.killAllBut(rolledBack)
		sim.eventually("the older version leads", 20*time.Second, func() bool { return olderProcess.termsLed.Load() > 0 })
		rolledBack.restartWithVersion(upgrade.Current)
		sim.startStopped()
		sim.awaitActive(upgrade.Current, 2*time.Minute)
		sim.awaitRunning("000001", 2)
	})
}

// As long as no feature gate is used, the store holds no data that commit 3661d31 can't read. All nodes may be rolled
// back to this commit at once, and one of their processes becomes the leader.
func TestUnregisteredProcessLeadsBeforeGateUse(t *testing.T) {
	runSimulation(t, func(sim *simulation) {
		sim.awaitActive(upgrade.Current, time.Minute)
		sim.submit(clustertest.Service("000001", 2))
		olderProcess := sim.nodes[0].startUnregistered(0)
		sim.nodes[1].startUnregistered(0)
		sim.nodes[2].startUnregistered(0)
		sim.eventually("the older version leads", time.Minute, func() bool { return olderProcess.termsLed.Load() > 0 })
		for _, n := range sim.nodes {
			n.restartWithVersion(upgrade.Current)
		}
		sim.awaitActive(upgrade.Current, time.Minute)
		sim.awaitRunning("000001", 2)
	})
}

// A process of commit af96c21 can read gang jobs and compressed chunks, so the gates of these two features stay open.
// The fence prevents processes without a registration from leading. The leader removes the fence, so the process may
// lead.
func TestUnregisteredVersion2CanLead(t *testing.T) {
	runSimulation(t, func(sim *simulation) {
		sim.awaitActive(upgrade.Current, time.Minute)
		gang := clustertest.Array("000002", 3)
		gang.Gang, gang.EstimateS = true, 600
		sim.submit(gang)
		olderProcess := sim.nodes[0].startUnregistered(2)
		sim.awaitLeader()
		sim.awaitActive(upgrade.Version2, time.Minute)
		sim.eventually("the fence is removed", time.Minute, func() bool { return sim.clusterRecord().Fence == 0 })
		if r := sim.clusterRecord(); !r.Gate(upgrade.GangJobs).Usable() {
			t.Errorf("cluster record %+v, want gang jobs usable", r)
		}
		sim.nodes[1].kill()
		sim.nodes[2].kill()
		sim.eventually("the older version leads", time.Minute, func() bool { return olderProcess.termsLed.Load() > 0 })
	})
}

// version1Fields lists the JSON fields of each kind of record that version 1, commit 3661d31, can read.
var version1Fields = map[byte][]string{
	storage.KindJob:      {"f", "n", "a", "s", "d"},
	storage.KindTaskPage: {"d", "a"},
	storage.KindMachine:  {"a", "t", "z", "l", "r", "x", "i"},
	storage.KindLaunch:   {"t", "z", "l", "n"},
	storage.KindFleet:    {"n", "t"},
}

// While version 1 is active, commit 3661d31 must be able to read all records that are written, even if the limits of
// the key-value store have been lowered. Chunks are therefore uncompressed, records are not split into fragments, and
// no record has a field of a later version.
func TestStoredRecordsAreReadableByVersion1(t *testing.T) {
	runSimulationWithSettings(t, func(s *config.Settings) { s.State.Next = &storage.Limits{ChangesPerS: 30, ValueBytes: 4096, TxnOps: 8} }, func(sim *simulation) {
		sim.nodes[2].startUnregistered(0)
		sim.submit(clustertest.Service("000001", 3))
		sim.submit(clustertest.Array("000002", 60))
		sim.store.Update(func(s *storagetest.Service) { s.ValueBytes, s.TxnOps = 4096, 8 })
		sim.submit(clustertest.Array("000003", 60))
		sim.awaitDone("000003")
		client := &storagetest.Client{Service: sim.store}
		items, _, _, err := client.List(context.Background(), "log/", "", 1000)
		if err != nil {
			t.Fatal(err)
		}
		for _, item := range items {
			var records [][]json.RawMessage
			if err := json.Unmarshal(item.Data, &records); err != nil {
				t.Fatalf("%s is not a list of records: %.60s: %v", item.Key, item.Data, err)
			}
			for _, r := range records {
				checkReadableByVersion1(t, r)
			}
		}
		term, err := client.Get(context.Background(), leadership.TermKey)
		if err != nil || bytes.ContainsAny(term.Data, "{") {
			t.Errorf("term record %s, %v, want a plain number", term.Data, err)
		}
	})
}

// checkReadableByVersion1 checks that a record is not split into fragments and has only fields of version 1.
func checkReadableByVersion1(t *testing.T, record []json.RawMessage) {
	t.Helper()
	if len(record) > 2 {
		t.Fatalf("record is split into fragments: %s", record)
	}
	key := strings.Trim(string(record[0]), `"`)
	var fields map[string]json.RawMessage
	if len(record) < 2 || json.Unmarshal(record[1], &fields) != nil {
		return // the record marks a removal, or lists the machine types
	}
	for name := range fields {
		if !slices.Contains(version1Fields[key[0]], name) {
			t.Errorf("record %s has field %q", key, name)
		}
	}
}
