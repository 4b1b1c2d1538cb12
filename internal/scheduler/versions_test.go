package scheduler

import (
	"encoding/json"
	"math/rand/v2"
	"os"
	"path/filepath"
	"strconv"
	"testing"
	"time"

	"sagevale/internal/api"
	"sagevale/internal/cluster/clustertest"
	"sagevale/internal/config"
	"sagevale/internal/storage"
	"sagevale/internal/storage/storagetest"
	"sagevale/internal/worker"
)

// Leaders of earlier versions and of this one may follow each other, so that each reads what the others wrote. Every folder of
// testdata holds what one of them really wrote.

// readFrozen decodes a file that an earlier version wrote.
func readFrozen(t *testing.T, version, name string, value any) {
	t.Helper()
	raw, err := os.ReadFile(filepath.Join("testdata", version, name))
	if err != nil {
		t.Fatal(err)
	}
	if err := json.Unmarshal(raw, value); err != nil {
		t.Fatal(err)
	}
}

func TestLeaderLoadsStoreOfEarlierVersions(t *testing.T) {
	lowered := storage.Limits{ChangesPerS: 15, ValueBytes: 2048, TxnOps: 4}
	for _, c := range []struct {
		version, file string
		next          *storage.Limits // the lowered limits when it was written, if any
	}{
		{"production", "store.json", nil},
		{"769a0b2", "store.json", nil},
		{"769a0b2", "store-lowered.json", &lowered},
	} {
		t.Run(c.version+"/"+c.file, func(t *testing.T) {
			var items []storage.Item
			readFrozen(t, c.version, c.file, &items)
			runSimulationWithSettings(t, func(s *config.Settings) { s.State.Next = c.next }, func(sim *simulation) {
				sim.awaitLeader()
				sim.killAll()
				time.Sleep(time.Minute)
				sim.state.Update(func(s *storagetest.Service) {
					s.Restore(items)
					if c.next != nil {
						s.ValueBytes, s.TxnOps = c.next.ValueBytes, c.next.TxnOps
					}
				})
				sim.checkLoadedStore(c.next != nil)
			})
		})
	}
}

// checkLoadedStore starts the nodes on a store that freeze_test.go has written, and checks that all jobs are known and continue.
func (sim *simulation) checkLoadedStore(hasLongRecord bool) {
	t := sim.t
	array, replicas, gang := clustertest.Array("000001", 70), clustertest.Service("000002", 3), clustertest.Array("000005", 3)
	array.Spot, replicas.Spread, replicas.Types, gang.Gang, gang.SameZone = true, true, []string{"cpu"}, true, true
	submitted := []storage.Spec{array, replicas, gang}
	want := map[string]api.JobState{"000001": api.StatePending, "000002": api.StatePending, "000003": api.StateDone, "000004": api.StateCancelled, "000005": api.StatePending}
	if hasLongRecord {
		submitted = append(submitted, longRecord("000006"))
		want["000006"] = api.StatePending
	}
	for _, s := range submitted {
		sim.storeSpec(s)
	}
	sim.startAll()
	leader := sim.awaitLeader()
	if term := leader.node.view.Load().role.Term; term != 2 {
		t.Errorf("leads term %d after the earlier version's first, want 2", term)
	}
	for id, state := range want {
		sim.withLock(func() { sim.cancelRequested[id] = id == "000004" })
		sim.withLock(func() {
			for i := range 2 {
				sim.completed[worker.TaskID{Job: "000003", Task: i}] = true
			}
		})
		if a := sim.poll(id); a.Code != api.CodeOK || a.State != state {
			t.Errorf("poll of job %s returns %+v, want state %v", id, a, state)
		}
	}
	done := sim.poll("000001").Done
	if done <= 20 || done >= 70 {
		t.Errorf("%d tasks of the array are done, want 21 to 69", done)
	}
	// The machines of the store are gone: all tasks on them start again in time.
	sim.withLock(func() {
		for i := range 70 {
			sim.completed[worker.TaskID{Job: "000001", Task: i}] = true // those done before haven't run in this simulation
		}
	})
	sim.awaitRunning("000002", 3)
	if hasLongRecord {
		sim.awaitRunning("000006", 1)
	}
	sim.awaitDone("000001")
	sim.awaitDone("000005")
}

// longRecord returns the specification of a service whose record exceeds a value of 2 KiB even if compressed, so that it is stored
// in fragments under limits that low.
func longRecord(id string) storage.Spec {
	s := clustertest.Service(id, 1)
	s.Types = []string{"cpu"}
	r := rand.New(rand.NewPCG(7, 7))
	for range 100 {
		s.Types = append(s.Types, strconv.FormatUint(r.Uint64(), 36))
	}
	return s
}
