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

// First, only the leader is cut off from the key-value store. Once the old leader's lease has expired, another node
// may become leader and acknowledge cancellations. Then the store is down for all nodes, for longer than the cancel
// timeout, while the workers keep reporting to the old leader.
//
// In some cases the outage begins well before the old leader's lease can expire, in others shortly before, shortly
// after or well after that. The old leader's peers are reachable, cut off or restarted.
func TestStoreOutageAfterFailover(t *testing.T) {
	lease := clustertest.Settings().Tuning.LeaderLease
	for _, peerState := range []string{"reachable", "cut", "restarted"} {
		for _, outageAfter := range []time.Duration{
			lease / 2, lease - 100*time.Millisecond, lease + 50*time.Millisecond, lease + 500*time.Millisecond, 2 * lease, 4 * lease,
		} {
			t.Run(fmt.Sprintf("peers %s, outage after %v", peerState, outageAfter), func(t *testing.T) {
				runSimulation(t, func(sim *simulation) { outageAfterFailover(sim, peerState, outageAfter) })
			})
		}
	}
}

// outageAfterFailover runs one case of TestStoreOutageAfterFailover. Jobs 000001 and 000002 are cancelled; job
// 000003 must keep running.
func outageAfterFailover(sim *simulation, peerState string, outageAfter time.Duration) {
	for _, id := range []string{"000001", "000002", "000003"} {
		sim.submit(clustertest.Service(id, 3))
		sim.awaitRunning(id, 3)
	}
	oldLeader := sim.awaitLeader()
	for _, wk := range sim.allWorkers() {
		wk.onlyReachableNode.Store(oldLeader)
	}
	time.Sleep(2 * sim.settings.HeartbeatInterval)
	oldLeader.cutStore.Store(true)
	oldLeader.cutPeers.Store(peerState == "cut")
	cancelled := make(chan struct{})
	go func() { // users repeat the cancellations, so that a node accepts them as early as possible
		defer close(cancelled)
		for end := time.Now().Add(outageAfter + time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
			for _, n := range sim.nodes {
				sim.requestFrom(n, api.OpCancel, "000001", storage.Spec{})
				sim.requestFrom(n, api.OpCancel, "000002", storage.Spec{})
			}
		}
	}()
	time.Sleep(outageAfter)
	sim.store.SetOutage(true)
	if peerState == "restarted" {
		for _, n := range sim.nodes {
			if n != oldLeader {
				n.restart()
			}
		}
	}
	<-cancelled
	time.Sleep(sim.settings.CancelTimeout + sim.settings.WorkerLease)
	oldLeader.cutStore.Store(false)
	oldLeader.cutPeers.Store(false)
	sim.store.SetOutage(false)
	for _, wk := range sim.allWorkers() {
		wk.onlyReachableNode.Store(nil)
	}
	sim.cancel("000001")
	sim.cancel("000002")
	sim.awaitStopped("000001")
	sim.awaitStopped("000002")
	sim.awaitRunning("000003", 3)
}

// A leader that is still loading the state must not decide any request: it responds only that it is unavailable.
// This applies to a job that the state contains and to a job that was never submitted.
func TestLoadingLeaderAnswersNoRequests(t *testing.T) {
	runSimulation(t, func(sim *simulation) {
		sim.submit(clustertest.Service("000001", 1))
		sim.awaitRunning("000001", 1)
		sim.store.Update(func(s *storagetest.Service) { s.AddedLatency = 150 * time.Millisecond })
		sim.awaitLeader().kill()
		loadingCount := 0
		for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
			leading, loaded := false, false
			for _, n := range sim.nodes {
				if live := n.runningProcess.Load(); live != nil {
					v := live.view.Load()
					leading, loaded = leading || v.role.Leading, loaded || v.scheduler != nil
				}
			}
			if loaded {
				break
			}
			if leading {
				loadingCount++
			}
			for _, n := range sim.nodes {
				live := n.runningProcess.Load()
				if live == nil || live.view.Load().scheduler != nil {
					continue
				}
				for _, id := range []string{"000001", "999999"} {
					if got := live.HandleForwardedRequest(sim.t.Context(), api.Request{Op: api.OpPoll, ID: id}); got.HasResult() {
						t.Fatalf("poll of job %s at %s without loaded state: got %+v, want it undecided", id, n.name, got)
					}
				}
			}
		}
		if loadingCount == 0 {
			t.Error("no leader was observed while loading")
		}
		sim.store.Update(func(s *storagetest.Service) { s.AddedLatency = 0 })
		sim.awaitRunning("000001", 1)
	})
}
