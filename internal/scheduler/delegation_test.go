package scheduler

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"sagevale/internal/cluster"
	"sagevale/internal/cluster/clustertest"
	"sagevale/internal/config"
	"sagevale/internal/fencing"
	"sagevale/internal/peer"
	"sagevale/internal/storage"
	"sagevale/internal/worker"
)

// In an isolated zone all leases expired although a node of the zone received the heartbeats of
// its workers. It renews their leases by delegation, for longer than a lease.
func TestDelegationKeepsTasksOfIsolatedZone(t *testing.T) {
	runSimulation(t, func(sim *simulation) {
		sim.submit(zonalService("000001", "b", 6))
		sim.awaitRunningWithin(2*time.Minute, "000001", 6)
		sim.moveLeaderOutOf("b")
		time.Sleep(2 * sim.settings.WorkerLease) // by now all workers report to nodes of their zone
		before := sim.startCount()
		sim.isolateZone("b")
		time.Sleep(sim.settings.RenewalGrace() + sim.settings.WorkerLease - 2*sim.settings.HeartbeatInterval)
		sim.isolateZone("")
		time.Sleep(sim.settings.WorkerLease)
		if starts, running := sim.startsSince(before), len(sim.runningTasks("000001")); starts != 0 || running != 6 {
			t.Errorf("got %d starts and %d running tasks, want none and 6", starts, running)
		}
	})
}

// A job may be cancelled while delegation keeps its tasks in an isolated zone: they must end in
// time, although the node there can't know of the cancellation.
func TestDelegationEndsBeforeCancelTimeout(t *testing.T) {
	runSimulation(t, func(sim *simulation) {
		sim.submit(zonalService("000001", "b", 6))
		sim.awaitRunningWithin(2*time.Minute, "000001", 6)
		sim.moveLeaderOutOf("b")
		time.Sleep(2 * sim.settings.WorkerLease)
		sim.isolateZone("b")
		sim.cancel("000001")
		time.Sleep(sim.settings.CancelTimeout)
		if n := len(sim.runningTasks("000001")); n != 0 {
			t.Errorf("got %d running tasks after the cancel timeout, want none", n)
		}
	})
}

// A machine with tasks to stop is excluded from the delegation: their job was cancelled before
// the last exchange with the leader, so the delegation may last beyond the cancel timeout.
func TestDelegationExcludesMachinesWithTasksToStop(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		settings := clustertest.Settings()
		settings.Peers = []config.Peer{{Name: "n1", Zone: "a"}, {Name: "n2", Zone: "b"}}
		sched := newTestScheduler(t, settings)
		j := sched.addAcceptedJob(clustertest.Service("000001", 1))
		m := sched.addReadyMachine(7, "cpu", "a", false)
		sched.addAttempt(&cluster.Attempt{Job: j, Task: 0, Number: 1, Machine: m, Incarnation: 1, ThisTerm: true, Reported: true})
		sched.publishDelegation(time.Now())
		if span, excluded := sched.delegator.delegate("n1"); span <= 0 || len(excluded) != 0 {
			t.Errorf("got a delegation for %v that excludes %v, want one without exclusions", span, excluded)
		}
		j.Phase = storage.Cancelled
		sched.state.Jobs.TrackCancelling(j)
		time.Sleep(time.Second)
		sched.publishDelegation(time.Now())
		if _, excluded := sched.delegator.delegate("n1"); len(excluded) != 1 || excluded[0] != 7 {
			t.Errorf("same zone: got exclusions %v, want [7]", excluded)
		}
		if _, excluded := sched.delegator.delegate("n2"); len(excluded) != 0 {
			t.Errorf("other zone: got exclusions %v, want none", excluded)
		}
		sched.resignLeadership("test")
		if span, _ := sched.delegator.delegate("n1"); span != 0 {
			t.Errorf("after the resignation: got a delegation for %v, want none", span)
		}
	})
}

// A delegation extends the bound after which an unreachable machine is taken for empty, until
// the peer reports which renewals it has made.
func TestDelegationExtendsLeaseBound(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		settings := clustertest.Settings()
		settings.Peers = []config.Peer{{Name: "n1", Zone: "a"}}
		sched := newTestScheduler(t, settings)
		peers := &fakeNode{sim: &simulation{}, statuses: make(map[string]peer.ObservedStatus)}
		sched.deps.Peers = peers
		m := sched.addReadyMachine(7, "cpu", "a", false)
		own := m.LastAcknowledged.Add(settings.LeaseBound())
		sched.publishDelegation(time.Now())
		sched.updatePeerRenewals()
		if got := sched.leaseExpiredBy(m); !got.Equal(own) {
			t.Errorf("without a delegation: got lease bound %v, want the leader's own %v", got, own)
		}
		span, _ := sched.delegator.delegate("n1")
		until := time.Now().Add(span)
		sched.updatePeerRenewals()
		if got, want := sched.leaseExpiredBy(m), until.Add(settings.LeaseBound()); !got.Equal(want) {
			t.Errorf("under a delegation: got lease bound %v, want %v", got, want)
		}
		time.Sleep(settings.LeaseBound() + time.Second)
		now := time.Now()
		peers.statuses["n1"] = peer.ObservedStatus{Status: peer.Status{Uptime: time.Hour, SinceDelegatedRenewal: time.Hour}, Sent: now, Received: now}
		sched.updatePeerRenewals()
		if got := sched.leaseExpiredBy(m); !got.Equal(own) {
			t.Errorf("after a delegation without renewals: got lease bound %v, want the leader's own %v", got, own)
		}
		peers.statuses["n1"] = peer.ObservedStatus{Status: peer.Status{Uptime: time.Hour, SinceDelegatedRenewal: 10 * time.Second}, Sent: now, Received: now}
		sched.updatePeerRenewals()
		if got := sched.leaseExpiredBy(m); !got.After(now) {
			t.Errorf("after a delegated renewal ten seconds ago: got lease bound %v, want it after %v", got, now)
		}
	})
}

// Delegation renews no lease for a late copy of a report, nor for a worker that knows a higher
// token.
func TestDelegationRenewsOnlyCurrentReports(t *testing.T) {
	runSimulation(t, func(sim *simulation) {
		leader := sim.awaitLeader()
		term := leader.node.view.Load().role.Term
		var n *fakeNode
		for _, o := range sim.nodes {
			if o != leader {
				n = o
			}
		}
		time.Sleep(5 * time.Second)
		machine := 900 // raised until the machine belongs to this node of the zone
		report := func(seq, token uint64) worker.HeartbeatResponse {
			ctx, cancel := context.WithTimeout(sim.t.Context(), 3*time.Second)
			defer cancel()
			return n.node.HandleHeartbeat(ctx, &worker.Report{Machine: machine, Addr: "900", Type: "cpu", Zone: n.zone, Incarnation: 1, Seq: seq, Token: token})
		}
		for !report(5, 0).Accepted { // redirected to the other node of the zone
			machine++
		}
		n.cutPeers.Store(true)
		n.cutStore.Store(true)
		time.Sleep(2 * time.Second)
		if got := report(4, term); got.Accepted {
			t.Errorf("late copy: got %+v, want it rejected", got)
		}
		later := fencing.TermTokens(term).Last + 1
		if got := report(6, later); got.Accepted {
			t.Errorf("report with the token of a later term: got %+v, want it rejected", got)
		}
		if got := report(7, term); !got.Accepted || got.Token != term || len(got.Commands) != 0 {
			t.Errorf("current report: got %+v, want it accepted under token %d without commands", got, term)
		}
		// The response to a worker with a token that the leader has raised within its term has
		// that token: the worker would drop a response under a lower one.
		if got := report(8, later-1); !got.Accepted || got.Token != later-1 || len(got.Commands) != 0 {
			t.Errorf("report with a raised token: got %+v, want it accepted under token %d without commands", got, later-1)
		}
		n.node.Ready() // the load balancer's check arrives: only this node is cut off
		if got := report(9, term); got.Accepted {
			t.Errorf("report of a worker that can reach other nodes: got %+v, want it rejected", got)
		}
	})
}

// A leader that no longer reached its workers kept the leadership, and all leases expired. Now
// the heartbeats reach it through the other nodes, and it resigns for one of them.
func TestLeaderWithoutWorkersResigns(t *testing.T) {
	runSimulation(t, func(sim *simulation) {
		sim.submit(clustertest.Service("000001", 12))
		sim.awaitRunningWithin(2*time.Minute, "000001", 12)
		old := sim.awaitLeader()
		time.Sleep(2 * sim.settings.WorkerLease)
		before := sim.startCount()
		old.cutWorkers.Store(true)
		time.Sleep(2 * sim.settings.HeartbeatInterval)
		for i := range 20 { // their direct commands are lost
			sim.submit(clustertest.Service(fmt.Sprintf("%06d", 100+i), 1))
			time.Sleep(time.Second)
		}
		sim.eventually("another node leads", time.Minute, func() bool { n := sim.leader(); return n != nil && n != old })
		time.Sleep(sim.settings.WorkerLease)
		if starts, running := sim.startsSince(before), len(sim.runningTasks("000001")); starts != 20 || running != 12 {
			t.Errorf("got %d starts and %d running tasks, want 20 and 12", starts, running)
		}
	})
}

// A worker that reports to a node of another zone is redirected to its own zone once, and again
// only after some leases.
func TestWorkerIsRedirectedToItsZoneOnce(t *testing.T) {
	runSimulation(t, func(sim *simulation) {
		sim.awaitLeader()
		time.Sleep(5 * time.Second)
		remote, local := sim.nodes[0], sim.nodes[1]
		seq := uint64(0)
		report := func(n *fakeNode) worker.HeartbeatResponse {
			ctx, cancel := context.WithTimeout(sim.t.Context(), 3*time.Second)
			defer cancel()
			seq++
			return n.node.HandleHeartbeat(ctx, &worker.Report{Machine: 900, Addr: "900", Type: "cpu", Zone: local.zone, Incarnation: 1, Seq: seq})
		}
		if got := report(remote); got.Leader != local.name {
			t.Fatalf("first report to a remote node: got %+v, want a redirect to %s", got, local.name)
		}
		if got := report(local); !got.Accepted {
			t.Errorf("report to a local node: got %+v, want it accepted", got)
		}
		if got := report(remote); !got.Accepted {
			t.Errorf("second report to a remote node: got %+v, want it accepted", got)
		}
		time.Sleep(redirectPauseLeases * sim.settings.WorkerLease)
		if got := report(remote); got.Leader != local.name {
			t.Errorf("later report to a remote node: got %+v, want a redirect to %s", got, local.name)
		}
	})
}
