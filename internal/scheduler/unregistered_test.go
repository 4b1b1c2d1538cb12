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

// The versions that don't register: 3661d31 tells its peers nothing, af96c21 tells 2. The
// loopback test outside CI runs their real binaries; here is what of them matters to the
// others: how they take the lead, and what they tell.

// unregisteredProcess takes the lead as those versions do, and does nothing with it.
type unregisteredProcess struct {
	version int
	terms   atomic.Int32
}

// startUnregistered replaces a node's process by one that doesn't register.
func (n *fakeNode) startUnregistered(told int) *unregisteredProcess {
	n.kill()
	ctx, cancel := context.WithCancel(context.Background())
	p := &unregisteredProcess{version: told}
	n.cancelRun = cancel
	n.unregistered.Store(p)
	go p.contend(ctx, &storagetest.Client{Service: n.sim.state, Cut: &n.cutStore}, n.sim.settings.Tuning.LeaderLease, n.name)
	return p
}

// contend takes the lead wherever it finds it free, and holds it for a while.
func (p *unregisteredProcess) contend(ctx context.Context, svc storage.KeyValueStore, life time.Duration, node string) {
	for clock.Sleep(ctx, life/20) {
		if _, err := svc.Get(ctx, leadership.LeaderKey); err == nil {
			continue
		}
		lease, err := svc.Grant(ctx, life)
		if err != nil {
			continue
		}
		term := uint64(0)
		item, err := svc.Get(ctx, leadership.TermKey)
		if err == nil && json.Unmarshal(item.Data, &term) != nil {
			continue // "term record: ..."
		}
		lead, _ := json.Marshal(leadership.LeaderRecord{Node: node, Process: "earlier", Term: term + 1})
		next, _ := json.Marshal(term + 1)
		if _, err = svc.Txn(ctx, []storage.Guard{{Key: leadership.LeaderKey}, {Key: leadership.TermKey, Version: item.Version}},
			[]storage.Op{{Key: leadership.LeaderKey, Data: lead, Lease: lease}, {Key: leadership.TermKey, Data: next}}); err != nil {
			continue
		}
		p.terms.Add(1)
		for end := time.Now().Add(3 * time.Second); time.Now().Before(end) && clock.Sleep(ctx, life/5); {
			if svc.Renew(ctx, lease) != nil {
				break
			}
		}
		_ = svc.Revoke(ctx, lease)
	}
}

// 3661d31 comes back while a gang job is in use: it can't take the lead, though nobody else
// holds it, until all that it can't read is gone.
func TestUnregisteredProcessIsFencedDuringGateUse(t *testing.T) {
	runSimulation(t, func(sim *simulation) {
		sim.awaitActive(upgrade.Current, time.Minute)
		sim.submit(clustertest.Service("000001", 2))
		g := clustertest.Array("000002", 3)
		g.Gang, g.EstimateS = true, 120
		sim.submit(g)
		lead := sim.awaitLeader()
		back := sim.nodes[0]
		if lead == back {
			back = sim.nodes[1]
		}
		old := back.startUnregistered(0)
		lead.kill()
		time.Sleep(20 * time.Second)
		sim.awaitLeader()
		lead.start()
		if n := old.terms.Load(); n > 0 {
			t.Errorf("it led %d times beside a gang job", n)
		}
		sim.eventually("withdrawing", 20*time.Second, func() bool { return sim.clusterRecord().Phase == upgrade.Withdrawing })
		sim.awaitDone("000002")
		sim.awaitActive(upgrade.Version1, time.Minute)
		sim.eventually("not fenced", 20*time.Second, func() bool { return sim.clusterRecord().Fence == 0 })
		for _, n := range sim.nodes {
			if n != back {
				n.kill()
			}
		}
		sim.eventually("it leads", 20*time.Second, func() bool { return old.terms.Load() > 0 })
		back.restartWithVersion(upgrade.Current)
		for _, n := range sim.nodes {
			if n.cancelRun == nil {
				n.start()
			}
		}
		sim.awaitActive(upgrade.Current, 2*time.Minute)
		sim.awaitRunning("000001", 2)
	})
}

// Before anything depends on a gate all nodes may go back to 3661d31 at once: it leads.
func TestUnregisteredProcessLeadsBeforeGateUse(t *testing.T) {
	runSimulation(t, func(sim *simulation) {
		sim.awaitActive(upgrade.Current, time.Minute)
		sim.submit(clustertest.Service("000001", 2))
		old := sim.nodes[0].startUnregistered(0)
		sim.nodes[1].startUnregistered(0)
		sim.nodes[2].startUnregistered(0)
		sim.eventually("it leads", time.Minute, func() bool { return old.terms.Load() > 0 })
		for _, n := range sim.nodes {
			n.restartWithVersion(upgrade.Current)
		}
		sim.awaitActive(upgrade.Current, time.Minute)
		sim.awaitRunning("000001", 2)
	})
}

// af96c21 reads gang jobs and compressed chunks. Beside it they stay in force, nothing is
// fenced, and it may lead.
func TestUnregisteredVersion2CanLead(t *testing.T) {
	runSimulation(t, func(sim *simulation) {
		sim.awaitActive(upgrade.Current, time.Minute)
		g := clustertest.Array("000002", 3)
		g.Gang, g.EstimateS = true, 600
		sim.submit(g)
		old := sim.nodes[0].startUnregistered(2)
		sim.awaitLeader()
		sim.awaitActive(upgrade.Version2, time.Minute)
		sim.eventually("not fenced", time.Minute, func() bool { return sim.clusterRecord().Fence == 0 })
		if r := sim.clusterRecord(); !r.Gate(upgrade.GangJobs).Usable() {
			t.Errorf("%+v", r)
		}
		sim.nodes[1].kill()
		sim.nodes[2].kill()
		sim.eventually("it leads", time.Minute, func() bool { return old.terms.Load() > 0 })
	})
}

// fieldsOf3661d31 are the fields of records that 3661d31 knows, by kind of record.
var fieldsOf3661d31 = map[byte][]string{
	storage.KindJob:     {"f", "n", "a", "s", "d"},
	storage.KindPage:    {"d", "a"},
	storage.KindMachine: {"a", "t", "z", "l", "r", "x", "i"},
	storage.KindLaunch:  {"t", "z", "l", "n"},
	storage.KindFleet:   {"n", "t"},
}

// While version 1 is active nothing is written that 3661d31 can't read, not even where the
// state service takes less: chunks are plain, records whole, fields known.
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
				t.Fatalf("%s is no list of records: %.60s", it.Key, it.Data)
			}
			for _, r := range records {
				checkReadableBy3661d31(t, r)
			}
		}
		term, err := client.Get(context.Background(), leadership.TermKey)
		if err != nil || bytes.ContainsAny(term.Data, "{") {
			t.Errorf("term %s, %v", term.Data, err)
		}
	})
}

func checkReadableBy3661d31(t *testing.T, record []json.RawMessage) {
	t.Helper()
	if len(record) > 2 {
		t.Fatalf("a record in fragments: %s", record)
	}
	key := strings.Trim(string(record[0]), `"`)
	var fields map[string]json.RawMessage
	if len(record) < 2 || json.Unmarshal(record[1], &fields) != nil {
		return // removed, or the catalogue
	}
	for name := range fields {
		if !slices.Contains(fieldsOf3661d31[key[0]], name) {
			t.Errorf("record %s has field %q", key, name)
		}
	}
}
