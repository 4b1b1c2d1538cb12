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

// What the journal may write follows the gate: while that is being withdrawn, a record that
// is too large for a plain chunk must still be written, or every commit would stand still.
func TestTheJournalsEncodingFollowsItsGate(t *testing.T) {
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
			t.Errorf("%+v: %v instead of %v", c.gate, got, c.want)
		}
	}
}

// The first gang job waits until the use of its gate is durable, like any acceptance for its
// commit; where that takes too long, or the gate is closed, its user is told to come back.
func TestTheFirstGangJobWaitsForItsGate(t *testing.T) {
	runSimulation(t, func(sim *simulation) {
		sim.awaitActive(upgrade.Current, time.Minute)
		gang := func(id string) storage.Spec {
			g := clustertest.Array(id, 2)
			g.Gang = true
			sim.storeSpec(g)
			return g
		}
		lead := sim.awaitLeader()
		began := time.Now()
		if a := sim.requestFrom(lead, api.OpSubmit, "000001", gang("000001")); a.Code != api.CodeCreated {
			t.Errorf("answered %+v", a)
		}
		if took := time.Since(began); took > 100*time.Millisecond {
			t.Errorf("accepted after %v", took)
		}
		sim.awaitDone("000001")
		sim.state.Update(func(s *storagetest.Service) { s.Drop = writesClusterRecord })
		for _, n := range sim.nodes {
			n.upgrade = func(s *upgrade.Settings) { s.Policy.ReleaseAfter = 5 * time.Second }
			n.restart()
		}
		lead = sim.awaitLeader()
		time.Sleep(20 * time.Second) // a release is unanswered, and so are uses
		began = time.Now()
		if a := sim.requestFrom(lead, api.OpSubmit, "000002", gang("000002")); a.Code != api.CodeUnavailable || a.RetrySeconds == 0 {
			t.Errorf("answered %+v", a)
		}
		if took := time.Since(began); took > clock.Scale(sim.settings.HeartbeatInterval, 0.7) {
			t.Errorf("told to come back after %v", took)
		}
		sim.state.Update(func(s *storagetest.Service) { s.Drop = nil })
		sim.submit(gang("000002"))
		sim.awaitDone("000002")
	})
}
