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

// A delegation is the leader's permission for a node to renew worker leases in the node's zone. The
// node uses the permission for a limited time while it can't reach a leader.

// When a zone was isolated, all worker leases in the zone once expired, although a node of the zone
// received the workers' heartbeats. Under a delegation this node now renews the leases, so that the
// tasks run on for longer than the duration of one lease.
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

// A job is cancelled while its tasks run on in an isolated zone under a delegation. The tasks must
// end within the cancel timeout, although the cancellation can't reach the node in the zone.
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

// A delegation excludes the machines that still have to stop tasks of a cancelled job. The job was
// cancelled before the delegation was granted, so a lease that is renewed under the delegation may
// last beyond the job's cancel timeout.
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
		j.Phase = storage.PhaseCancelled
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

// The lease bound of an unreachable machine is the time after which its lease has certainly expired.
// A delegation moves the lease bound to a later time, because the peer that received the delegation
// may renew the lease. Once the peer's status shows when the peer last renewed a lease, the lease
// bound depends on this renewal.
func TestDelegationExtendsLeaseBound(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		settings := clustertest.Settings()
		settings.Peers = []config.Peer{{Name: "n1", Zone: "a"}}
		sched := newTestScheduler(t, settings)
		peers := &fakeNode{sim: &simulation{}, statuses: make(map[string]peer.ObservedStatus)}
		sched.deps.Peers = peers
		m := sched.addReadyMachine(7, "cpu", "a", false)
		leaderBound := m.LastAcknowledged.Add(settings.LeaseBound())
		sched.publishDelegation(time.Now())
		sched.updatePeerRenewals()
		if got := sched.leaseExpiredBy(m); !got.Equal(leaderBound) {
			t.Errorf("without a delegation: got lease bound %v, want the leader's own %v", got, leaderBound)
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
		if got := sched.leaseExpiredBy(m); !got.Equal(leaderBound) {
			t.Errorf("after a delegation without renewals: got lease bound %v, want the leader's own %v", got, leaderBound)
		}
		peers.statuses["n1"] = peer.ObservedStatus{Status: peer.Status{Uptime: time.Hour, SinceDelegatedRenewal: 10 * time.Second}, Sent: now, Received: now}
		sched.updatePeerRenewals()
		if got := sched.leaseExpiredBy(m); !got.After(now) {
			t.Errorf("after a delegated renewal ten seconds ago: got lease bound %v, want it after %v", got, now)
		}
	})
}

// Under a delegation, a node doesn't renew a worker's lease in these cases:
//
//   - The report is a late copy.
//   - The worker's token is above the range of tokens of the leader's term.
//   - Only this node seems to be cut off, so the worker can probably reach another node.
func TestDelegationRenewsOnlyCurrentReports(t *testing.T) {
	runSimulation(t, func(sim *simulation) {
		leader := sim.awaitLeader()
		term := leader.node.view.Load().role.Term
		var follower *fakeNode
		for _, node := range sim.nodes {
			if node != leader {
				follower = node
			}
		}
		time.Sleep(5 * time.Second)
		machine := 900 // incremented until the machine isn't redirected to another node
		report := func(seq, token uint64) worker.HeartbeatResponse {
			ctx, cancel := context.WithTimeout(sim.t.Context(), 3*time.Second)
			defer cancel()
			return follower.node.HandleHeartbeat(ctx, &worker.Report{Machine: machine, Addr: "900", Type: "cpu", Zone: follower.zone, Incarnation: 1, Seq: seq, Token: token})
		}
		for !report(5, 0).Accepted { // the machine is redirected to the other node of the zone
			machine++
		}
		follower.cutPeers.Store(true)
		follower.cutStore.Store(true)
		time.Sleep(2 * time.Second)
		if got := report(4, term); got.Accepted {
			t.Errorf("late copy: got %+v, want it rejected", got)
		}
		laterToken := fencing.TermTokens(term).Last + 1
		if got := report(6, laterToken); got.Accepted {
			t.Errorf("report with the token of a later term: got %+v, want it rejected", got)
		}
		if got := report(7, term); !got.Accepted || got.Token != term || len(got.Commands) != 0 {
			t.Errorf("current report: got %+v, want it accepted under token %d without commands", got, term)
		}
		// If the leader has raised the worker's token within its term, the response must carry the
		// raised token, because the worker would drop a response with a lower token.
		if got := report(8, laterToken-1); !got.Accepted || got.Token != laterToken-1 || len(got.Commands) != 0 {
			t.Errorf("report with a raised token: got %+v, want it accepted under token %d without commands", got, laterToken-1)
		}
		follower.node.Ready() // a probe of the load balancer arrives, so only this node seems to be cut off
		if got := report(9, term); got.Accepted {
			t.Errorf("report of a worker that can reach other nodes: got %+v, want it rejected", got)
		}
	})
}

// A leader that could no longer reach its workers once kept leadership, and all worker leases
// expired. The other nodes now forward the heartbeats to the leader, and the leader hands
// leadership over to one of these nodes.
func TestLeaderWithoutWorkersResigns(t *testing.T) {
	runSimulation(t, func(sim *simulation) {
		sim.submit(clustertest.Service("000001", 12))
		sim.awaitRunningWithin(2*time.Minute, "000001", 12)
		oldLeader := sim.awaitLeader()
		time.Sleep(2 * sim.settings.WorkerLease)
		before := sim.startCount()
		oldLeader.cutWorkers.Store(true)
		time.Sleep(2 * sim.settings.HeartbeatInterval)
		for i := range 20 { // the direct commands that start these services are lost
			sim.submit(clustertest.Service(fmt.Sprintf("%06d", 100+i), 1))
			time.Sleep(time.Second)
		}
		sim.eventually("another node leads", time.Minute, func() bool { n := sim.leader(); return n != nil && n != oldLeader })
		time.Sleep(sim.settings.WorkerLease)
		if starts, running := sim.startsSince(before), len(sim.runningTasks("000001")); starts != 20 || running != 12 {
			t.Errorf("got %d starts and %d running tasks, want 20 and 12", starts, running)
		}
	})
}

// A worker that reports to a node of another zone is redirected to a node of its own zone. The worker
// isn't redirected again until redirectPauseLeases worker leases have passed.
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
