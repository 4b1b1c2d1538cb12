//go:build freeze

package scheduler

import (
	"encoding/json"
	"os"
	"path/filepath"
	"sync/atomic"
	"testing"
	"time"

	"sagevale/internal/cluster/clustertest"
	"sagevale/internal/config"
	"sagevale/internal/storage"
	"sagevale/internal/storage/storagetest"
)

// TestFreeze runs scenarios and saves the records that they leave in the key-value store: the journal,
// the term and the leader. The environment variable FREEZE names the directory for the files. See the
// README.md of each directory in testdata.
func TestFreeze(t *testing.T) {
	dir := os.Getenv("FREEZE")
	write := func(name string, v any) {
		raw, err := json.MarshalIndent(v, "", " ")
		if err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(filepath.Join(dir, name), append(raw, '\n'), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	// freezeStore runs the scenario, and writes the records that remain in the store to the named file.
	freezeStore := func(name string, sim *simulation) {
		array := clustertest.Array("000001", 70)
		array.EstimateS, array.Spot, array.DeadlineS, array.CheckpointS, array.SaveS = 30, true, 900, 10, 2
		sim.submit(array)
		service := clustertest.Service("000002", 3)
		service.Spread, service.Types = true, []string{"cpu"}
		sim.submit(service)
		if sim.settings.State.Next != nil {
			sim.submit(longRecord("000006"))
		}
		sim.submit(clustertest.Array("000003", 2))
		sim.submit(clustertest.Service("000004", 2))
		gang := clustertest.Array("000005", 3)
		gang.Gang, gang.SameZone, gang.EstimateS = true, true, 600
		sim.submit(gang)
		sim.awaitDoneWithin(5*time.Minute, "000003")
		sim.cancel("000004")
		sim.eventually("job 000001 is partly done", 5*time.Minute, func() bool { return sim.poll("000001").Done > 20 })
		for _, n := range sim.nodes {
			n.kill()
		}
		time.Sleep(time.Second)
		client := &storagetest.Client{Service: sim.store, Disconnected: new(atomic.Bool)}
		var items []storage.Item
		for _, prefix := range []string{"log/", "term", "lead"} {
			got, _, _, err := client.List(sim.t.Context(), prefix, "", 1000)
			if err != nil {
				t.Fatal(err)
			}
			items = append(items, got...)
		}
		write(name, items)
	}
	runSimulation(t, func(sim *simulation) { freezeStore("store.json", sim) })
	lowerNext := func(s *config.Settings) {
		s.State.Next = &storage.Limits{ChangesPerS: 15, ValueBytes: 2048, TxnOps: 4}
	}
	runSimulationWithSettings(t, lowerNext, func(sim *simulation) {
		sim.store.Update(func(s *storagetest.Service) { s.ValueBytes, s.TxnOps = 2048, 4 })
		freezeStore("store-lowered.json", sim)
	})
}
