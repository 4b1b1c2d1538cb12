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

// Leaders of earlier versions and of this version may succeed each other, so each version must read what the others
// have written. Each directory of testdata holds what a process of an earlier version has written.

// readFrozen decodes a file of testdata that an earlier version wrote.
func readFrozen(t *testing.T, version, name string, value any) {
	t.Helper()
	data, err := os.ReadFile(filepath.Join("testdata", version, name))
	if err != nil {
		t.Fatal(err)
	}
	if err := json.Unmarshal(data, value); err != nil {
		t.Fatal(err)
	}
}

func TestLeaderLoadsStoreOfEarlierVersions(t *testing.T) {
	lowered := storage.Limits{ChangesPerS: 15, ValueBytes: 2048, TxnOps: 4}
	for _, c := range []struct {
		version, file string
		next          *storage.Limits // the lowered limits under which the file was written; nil: none
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
				sim.store.Update(func(s *storagetest.Service) {
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

// checkLoadedStore starts the nodes on a store that TestFreeze of an earlier version has written, and checks that the
// leader has all jobs and continues them. hasLongRecord reports whether the store holds a record in fragments.
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
		t.Errorf("got term %d after the first term of the earlier version, want 2", term)
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
	// The machines in the store no longer exist, so all tasks on them must start again on other machines in time.
	sim.withLock(func() {
		for i := range 70 {
			sim.completed[worker.TaskID{Job: "000001", Task: i}] = true // tasks that are done in the store don't run in this simulation
		}
	})
	sim.awaitRunning("000002", 3)
	if hasLongRecord {
		sim.awaitRunning("000006", 1)
	}
	sim.awaitDone("000001")
	sim.awaitDone("000005")
}

// longRecord returns the specification of a service whose record takes more than 2 KiB even if compressed, so that it
// is stored in fragments under a limit of 2 KiB on values.
func longRecord(id string) storage.Spec {
	spec := clustertest.Service(id, 1)
	spec.Types = []string{"cpu"}
	random := rand.New(rand.NewPCG(7, 7))
	for range 100 {
		spec.Types = append(spec.Types, strconv.FormatUint(random.Uint64(), 36))
	}
	return spec
}
