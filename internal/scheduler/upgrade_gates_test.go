package scheduler

import (
	"testing"
	"time"

	"sagevale/internal/api"
	"sagevale/internal/clock"
	"sagevale/internal/cluster/clustertest"
	"sagevale/internal/storage"
	"sagevale/internal/storage/storagetest"
	"sagevale/internal/upgrade"
)

// The state of the feature gate for compressed chunks determines which encodings the journal may
// write. While a gate that has been used is being withdrawn, a record that is too large for a plain
// chunk must still be written, or every commit would stall.
func TestJournalEncodingFollowsGate(t *testing.T) {
	for _, c := range []struct {
		gate upgrade.GateState
		want storage.Encoding
	}{
		{upgrade.GateState{}, storage.PlainOnly},
		{upgrade.GateState{Phase: upgrade.GateOpen}, storage.PlainOnly},
		{upgrade.GateState{Phase: upgrade.GateOpen, Used: true}, storage.AnyEncoding},
		{upgrade.GateState{Phase: upgrade.GateWithdrawing, Used: true}, storage.PlainWherePossible},
		{upgrade.GateState{Phase: upgrade.GateWithdrawing}, storage.PlainOnly},
	} {
		record := upgrade.Record{Gates: map[upgrade.GateName]upgrade.GateState{upgrade.CompressedChunks: c.gate}}
		if got := encodingOf(record); got != c.want {
			t.Errorf("gate %+v: got encoding %v, want %v", c.gate, got, c.want)
		}
	}
}

// The first submission of a gang job waits until the gate for gang jobs is durably marked as used,
// just as any submission waits for its commit. If the mark takes too long or the gate isn't open,
// the response asks the user to retry.
func TestFirstGangJobWaitsForGate(t *testing.T) {
	runSimulation(t, func(sim *simulation) {
		sim.awaitActive(upgrade.Current, time.Minute)
		gang := func(id string) storage.Spec {
			spec := clustertest.Array(id, 2)
			spec.Gang = true
			sim.storeSpec(spec)
			return spec
		}
		leader := sim.awaitLeader()
		start := time.Now()
		if got := sim.requestFrom(leader, api.OpSubmit, "000001", gang("000001")); got.Code != api.CodeCreated {
			t.Errorf("first gang job: got %+v, want code %v", got, api.CodeCreated)
		}
		if duration := time.Since(start); duration > 100*time.Millisecond {
			t.Errorf("first gang job: got a response after %v, want at most 100ms", duration)
		}
		sim.awaitDone("000001")
		sim.store.Update(func(s *storagetest.Service) { s.DropTxn = writesClusterRecord })
		for _, n := range sim.nodes {
			n.changeUpgradeSettings = func(s *upgrade.Settings) { s.Policy.ReleaseAfter = 5 * time.Second }
			n.restart()
		}
		leader = sim.awaitLeader()
		time.Sleep(20 * time.Second) // the store drops each transaction that would release the gate or mark it as used
		start = time.Now()
		if got := sim.requestFrom(leader, api.OpSubmit, "000002", gang("000002")); got.Code != api.CodeUnavailable || got.RetrySeconds == 0 {
			t.Errorf("gang job with a blocked gate: got %+v, want code %v with a retry interval", got, api.CodeUnavailable)
		}
		if duration, limit := time.Since(start), clock.Scale(sim.settings.HeartbeatInterval, 0.7); duration > limit {
			t.Errorf("gang job with a blocked gate: got a response after %v, want at most %v", duration, limit)
		}
		sim.store.Update(func(s *storagetest.Service) { s.DropTxn = nil })
		sim.submit(gang("000002"))
		sim.awaitDone("000002")
	})
}
