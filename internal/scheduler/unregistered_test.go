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

// Two earlier versions don't register: 3661d31 reports no version to its peers, af96c21 reports 2. The loopback test outside CI runs
// their real binaries; this file models how they acquire leadership and what they report.

// unregisteredProcess acquires leadership as those versions do, and does nothing as leader.
type unregisteredProcess struct {
	version int          // reported to peers
	terms   atomic.Int32 // in which it has led
}

// startUnregistered replaces a node's process by one that doesn't register.
func (n *fakeNode) startUnregistered(version int) *unregisteredProcess {
	n.kill()
	ctx, cancel := context.WithCancel(context.Background())
	p := &unregisteredProcess{version: version}
	n.cancelRun = cancel
	n.unregistered.Store(p)
	go p.contend(ctx, &storagetest.Client{Service: n.sim.state, Cut: &n.cutStore}, n.sim.settings.Tuning.LeaderLease, n.name)
	return p
}

// contend acquires leadership whenever it is vacant, and resigns after three seconds.
func (p *unregisteredProcess) contend(ctx context.Context, store storage.KeyValueStore, ttl time.Duration, node string) {
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
			continue // a fenced term, which these versions can't read
		}
		leader, _ := json.Marshal(leadership.LeaderRecord{Node: node, Process: "earlier", Term: term + 1})
		next, _ := json.Marshal(term + 1)
		if _, err = store.Txn(ctx, []storage.Guard{{Key: leadership.LeaderKey}, {Key: leadership.TermKey, Version: item.Version}},
			[]storage.Op{{Key: leadership.LeaderKey, Data: leader, Lease: lease}, {Key: leadership.TermKey, Data: next}}); err != nil {
			continue
		}
		p.terms.Add(1)
		for end := time.Now().Add(3 * time.Second); time.Now().Before(end) && clock.Sleep(ctx, ttl/5); {
			if store.Renew(ctx, lease) != nil {
				break
			}
		}
		_ = store.Revoke(ctx, lease)
	}
}

// 3661d31 returns while a gang job is open: it can't become leader, even if leadership is vacant, before everything that it can't
// read is gone.
func TestUnregisteredProcessIsFencedDuringGateUse(t *testing.T) {
	runSimulation(t, func(sim *simulation) {
		sim.awaitActive(upgrade.Current, time.Minute)
		sim.submit(clustertest.Service("000001", 2))
		g := clustertest.Array("000002", 3)
		g.Gang, g.EstimateS = true, 120
		sim.submit(g)
		leader := sim.awaitLeader()
		back := sim.nodes[0]
		if leader == back {
			back = sim.nodes[1]
		}
		older := back.startUnregistered(0)
		leader.kill()
		time.Sleep(20 * time.Second)
		sim.awaitLeader()
		leader.start()
		if n := older.terms.Load(); n > 0 {
			t.Errorf("it became leader %d times while a gang job was open, want never", n)
		}
		sim.eventually("the gate is being withdrawn", 20*time.Second, func() bool { return sim.clusterRecord().Phase == upgrade.Withdrawing })
		sim.awaitDone("000002")
		sim.awaitActive(upgrade.Version1, time.Minute)
		sim.eventually("the fence is removed", 20*time.Second, func() bool { return sim.clusterRecord().Fence == 0 })
		sim.killAllBut(back)
		sim.eventually("the older version leads", 20*time.Second, func() bool { return older.terms.Load() > 0 })
		back.restartWithVersion(upgrade.Current)
		sim.startKilled()
		sim.awaitActive(upgrade.Current, 2*time.Minute)
		sim.awaitRunning("000001", 2)
	})
}

// Before a gate is used, all nodes may be rolled back to 3661d31 at once, and it leads.
func TestUnregisteredProcessLeadsBeforeGateUse(t *testing.T) {
	runSimulation(t, func(sim *simulation) {
		sim.awaitActive(upgrade.Current, time.Minute)
		sim.submit(clustertest.Service("000001", 2))
		older := sim.nodes[0].startUnregistered(0)
		sim.nodes[1].startUnregistered(0)
		sim.nodes[2].startUnregistered(0)
		sim.eventually("the older version leads", time.Minute, func() bool { return older.terms.Load() > 0 })
		for _, n := range sim.nodes {
			n.restartWithVersion(upgrade.Current)
		}
		sim.awaitActive(upgrade.Current, time.Minute)
		sim.awaitRunning("000001", 2)
	})
}

// af96c21 reads gang jobs and compressed chunks, so that their gates stay open, there is no fence, and it may lead.
func TestUnregisteredVersion2CanLead(t *testing.T) {
	runSimulation(t, func(sim *simulation) {
		sim.awaitActive(upgrade.Current, time.Minute)
		g := clustertest.Array("000002", 3)
		g.Gang, g.EstimateS = true, 600
		sim.submit(g)
		older := sim.nodes[0].startUnregistered(2)
		sim.awaitLeader()
		sim.awaitActive(upgrade.Version2, time.Minute)
		sim.eventually("the fence is removed", time.Minute, func() bool { return sim.clusterRecord().Fence == 0 })
		if r := sim.clusterRecord(); !r.Gate(upgrade.GangJobs).Usable() {
			t.Errorf("cluster record %+v, want gang jobs usable", r)
		}
		sim.nodes[1].kill()
		sim.nodes[2].kill()
		sim.eventually("the older version leads", time.Minute, func() bool { return older.terms.Load() > 0 })
	})
}

// fieldsOf3661d31 lists the fields that 3661d31 knows, by kind of record.
var fieldsOf3661d31 = map[byte][]string{
	storage.KindJob:     {"f", "n", "a", "s", "d"},
	storage.KindPage:    {"d", "a"},
	storage.KindMachine: {"a", "t", "z", "l", "r", "x", "i"},
	storage.KindLaunch:  {"t", "z", "l", "n"},
	storage.KindFleet:   {"n", "t"},
}

// While version 1 is active, 3661d31 can read all that is written, even under lowered limits: chunks are uncompressed, records are
// whole and all fields known.
func TestStoredRecordsAreReadableBy3661d31(t *testing.T) {
	runSimulationWithSettings(t, func(s *config.Settings) { s.State.Next = &storage.Limits{ChangesPerS: 30, ValueBytes: 4096, TxnOps: 8} }, func(sim *simulation) {
		sim.nodes[2].startUnregistered(0)
		sim.submit(clustertest.Service("000001", 3))
		sim.submit(clustertest.Array("000002", 60))
		sim.state.Update(func(s *storagetest.Service) { s.ValueBytes, s.TxnOps = 4096, 8 })
		sim.submit(clustertest.Array("000003", 60))
		sim.awaitDone("000003")
		client := &storagetest.Client{Service: sim.state}
		items, _, _, err := client.List(context.Background(), "log/", "", 1000)
		if err != nil {
			t.Fatal(err)
		}
		for _, it := range items {
			var records [][]json.RawMessage
			if err := json.Unmarshal(it.Data, &records); err != nil {
				t.Fatalf("%s is no list of records: %.60s: %v", it.Key, it.Data, err)
			}
			for _, r := range records {
				checkReadableBy3661d31(t, r)
			}
		}
		term, err := client.Get(context.Background(), leadership.TermKey)
		if err != nil || bytes.ContainsAny(term.Data, "{") {
			t.Errorf("term record %s, %v, want a plain number", term.Data, err)
		}
	})
}

// checkReadableBy3661d31 checks that a record is whole and has only fields that 3661d31 knows.
func checkReadableBy3661d31(t *testing.T, record []json.RawMessage) {
	t.Helper()
	if len(record) > 2 {
		t.Fatalf("a record in fragments: %s", record)
	}
	key := strings.Trim(string(record[0]), `"`)
	var fields map[string]json.RawMessage
	if len(record) < 2 || json.Unmarshal(record[1], &fields) != nil {
		return // a removal, or the machine types
	}
	for name := range fields {
		if !slices.Contains(fieldsOf3661d31[key[0]], name) {
			t.Errorf("record %s has field %q", key, name)
		}
	}
}
