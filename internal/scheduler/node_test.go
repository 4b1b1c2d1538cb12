package scheduler

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"sagevale/internal/api"
	"sagevale/internal/cluster/clustertest"
	"sagevale/internal/worker"
)

// A node that is cut off only from the key-value store gets the leader's name from its peers, and forwards
// requests and heartbeats to the leader.
func TestNodeWithoutStoreForwardsByPeerStatus(t *testing.T) {
	runSimulation(t, func(sim *simulation) {
		old := sim.awaitLeader()
		time.Sleep(5 * time.Second)
		old.cutStore.Store(true)
		sim.eventually("a successor leads", 30*time.Second, func() bool { n := sim.leader(); return n != nil && n != old })
		sim.eventually("the old leader has resigned", 3*time.Second, func() bool { return old.node.view.Load().scheduler == nil })
		spec := clustertest.Array("000001", 1)
		sim.storeSpec(spec)
		ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
		defer cancel()
		if response := old.node.HandleUserRequest(ctx, api.Request{Op: api.OpSubmit, ID: spec.ID, Spec: spec}); response.Code != api.CodeCreated {
			t.Errorf("submission: got %+v, want it forwarded and accepted", response)
		}
		if !old.node.Ready() {
			t.Error("the node isn't ready though it reaches the leader")
		}
		leader := sim.leader()
		response := old.node.HandleHeartbeat(ctx, &worker.Report{Machine: 900, Incarnation: 1, Seq: 1, Zone: "a"})
		if forwarded := response.Accepted && response.Token == leader.node.view.Load().role.Term; !forwarded && (response.Leader == "" || response.Leader == old.name) {
			t.Errorf("heartbeat: got %+v, want it forwarded or another leader named", response)
		}
	})
}

// A node that can't reach the leader isn't ready, so that the load balancer directs users to other nodes.
func TestNodeThatCannotReachLeaderIsNotReady(t *testing.T) {
	runSimulation(t, func(sim *simulation) {
		leader := sim.awaitLeader()
		time.Sleep(5 * time.Second)
		for _, n := range sim.nodes {
			if !n.node.Ready() {
				t.Errorf("%s isn't ready without any fault", n.name)
			}
			n.cutPeers.Store(n != leader)
		}
		for _, n := range sim.nodes {
			if n.node.Ready() != (n == leader) {
				t.Errorf("%s: Ready() = %v, want only the leader ready", n.name, n.node.Ready())
			}
		}
	})
}

// A renewal of the leader lease that overlaps a resignation must not make the lease valid again.
func TestLateRenewalDoesNotUndoResignation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sched := newTestScheduler(t, clustertest.Settings())
		role := sched.role
		sched.resignLeadership("test")
		roleMessage{role}.handle(sched)
		if sched.leaseValid(time.Now()) || time.Now().Before(sched.role.RenewWorkersUntil) {
			t.Error("after a resignation the leader's lease is valid, or the leader may still renew workers' leases")
		}
	})
}
