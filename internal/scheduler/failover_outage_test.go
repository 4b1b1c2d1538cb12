package scheduler

import (
	"fmt"
	"testing"
	"time"

	"sagevale/internal/api"
	"sagevale/internal/cluster/clustertest"
	"sagevale/internal/storage"
	"sagevale/internal/storage/storagetest"
)

// The leader alone loses the key-value store, another node takes the leadership over and
// confirms cancellations, and then the store is down for all nodes for longer than the cancel
// timeout, while the workers go on reporting to the old leader. The outage begins at times from
// well before the leader's lease can expire to well after, and the old leader's peers are
// reachable, cut off or restarted.
func TestStoreOutageAfterFailover(t *testing.T) {
	lease := clustertest.Settings().Tuning.LeaderLease
	for _, peers := range []string{"reachable", "cut", "restarted"} {
		for _, after := range []time.Duration{
			lease / 2, lease - 100*time.Millisecond, lease + 50*time.Millisecond, lease + 500*time.Millisecond, 2 * lease, 4 * lease,
		} {
			t.Run(fmt.Sprintf("peers %s, outage after %v", peers, after), func(t *testing.T) {
				runSimulation(t, func(sim *simulation) { outageAfterFailover(sim, peers, after) })
			})
		}
	}
}

// outageAfterFailover is one case of TestStoreOutageAfterFailover. Jobs 000001 and 000002 are
// cancelled; job 000003 goes on.
func outageAfterFailover(sim *simulation, peers string, after time.Duration) {
	for _, id := range []string{"000001", "000002", "000003"} {
		sim.submit(clustertest.Service(id, 3))
		sim.awaitRunning(id, 3)
	}
	old := sim.awaitLeader()
	for _, wk := range sim.allWorkers() {
		wk.onlyNode.Store(old)
	}
	time.Sleep(2 * sim.settings.HeartbeatInterval)
	old.cutStore.Store(true)
	old.cutPeers.Store(peers == "cut")
	cancelled := make(chan struct{})
	go func() { // users cancel as soon as any node accepts it
		defer close(cancelled)
		for end := time.Now().Add(after + time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
			for _, n := range sim.nodes {
				sim.requestFrom(n, api.OpCancel, "000001", storage.Spec{})
				sim.requestFrom(n, api.OpCancel, "000002", storage.Spec{})
			}
		}
	}()
	time.Sleep(after)
	sim.state.Outage(true)
	if peers == "restarted" {
		for _, n := range sim.nodes {
			if n != old {
				n.restart()
			}
		}
	}
	<-cancelled
	time.Sleep(sim.settings.CancelTimeout + sim.settings.WorkerLease)
	old.cutStore.Store(false)
	old.cutPeers.Store(false)
	sim.state.Outage(false)
	for _, wk := range sim.allWorkers() {
		wk.onlyNode.Store(nil)
	}
	sim.cancel("000001")
	sim.cancel("000002")
	sim.awaitStopped("000001")
	sim.awaitStopped("000002")
	sim.awaitRunning("000003", 3)
}

// A leader that is still loading the state decides no request: neither for a job that the state
// has nor for one that was never submitted.
func TestLoadingLeaderAnswersNoRequests(t *testing.T) {
	runSimulation(t, func(sim *simulation) {
		sim.submit(clustertest.Service("000001", 1))
		sim.awaitRunning("000001", 1)
		sim.state.Update(func(s *storagetest.Service) { s.Slow = 150 * time.Millisecond })
		sim.awaitLeader().kill()
		loading := 0
		for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
			leading, loaded := false, false
			for _, n := range sim.nodes {
				if live := n.live.Load(); live != nil {
					v := live.view.Load()
					leading, loaded = leading || v.role.Leading, loaded || v.scheduler != nil
				}
			}
			if loaded {
				break
			}
			if leading {
				loading++
			}
			for _, n := range sim.nodes {
				live := n.live.Load()
				if live == nil || live.view.Load().scheduler != nil {
					continue
				}
				for _, id := range []string{"000001", "999999"} {
					if got := live.HandleForwardedRequest(sim.t.Context(), api.Request{Op: api.OpPoll, ID: id}); got.Decided() {
						t.Fatalf("poll of job %s at %s without loaded state: got %+v, want it undecided", id, n.name, got)
					}
				}
			}
		}
		if loading == 0 {
			t.Error("no leader was observed while loading")
		}
		sim.state.Update(func(s *storagetest.Service) { s.Slow = 0 })
		sim.awaitRunning("000001", 1)
	})
}
