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

// The gap: the state service refuses the leader alone, another node takes over
// and confirms cancels, and then the store is down for all, for longer than
// cancel_s, while the workers go on reporting to the old leader. The second
// trouble comes from before the grant can end to well after, and the old leader
// hears its peers or not.
func TestStoreOutageAfterFailover(t *testing.T) {
	life := clustertest.Settings().Tuning.LeaderLease
	for _, peers := range []string{"heard", "cut", "restarted"} {
		for _, after := range []time.Duration{life / 2, life - 100*time.Millisecond, life + 50*time.Millisecond, life + 500*time.Millisecond, 2 * life, 4 * life} {
			t.Run(fmt.Sprintf("peers %s, outage after %v", peers, after), func(t *testing.T) {
				runSimulation(t, func(sim *simulation) {
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
					go func() { // users call off as soon as anybody takes it
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
				})
			})
		}
	}
}

// A leader that is still loading the state answers nobody, neither of jobs that it will know nor of
// one that nobody submitted.
func TestLoadingLeaderAnswersNoRequests(t *testing.T) {
	runSimulation(t, func(sim *simulation) {
		sim.submit(clustertest.Service("000001", 1))
		sim.awaitRunning("000001", 1)
		sim.state.Update(func(s *storagetest.Service) { s.Slow = 150 * time.Millisecond })
		sim.awaitLeader().kill()
		loading := 0
		for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
			leads, loaded := false, false
			for _, n := range sim.nodes {
				if live := n.live.Load(); live != nil {
					v := live.view.Load()
					leads, loaded = leads || v.role.Leading, loaded || v.scheduler != nil
				}
			}
			if loaded {
				break
			}
			if leads {
				loading++
			}
			for _, n := range sim.nodes {
				live := n.live.Load()
				if live == nil || live.view.Load().scheduler != nil {
					continue
				}
				for _, id := range []string{"000001", "999999"} {
					if a := live.HandleForwardedRequest(t.Context(), api.Request{Op: api.OpPoll, ID: id}); a.Decided() {
						t.Fatalf("%s answers %+v with nothing loaded", n.name, a)
					}
				}
			}
		}
		if loading == 0 {
			t.Error("no leader was seen loading")
		}
		sim.state.Update(func(s *storagetest.Service) { s.Slow = 0 })
		sim.awaitRunning("000001", 1)
	})
}
