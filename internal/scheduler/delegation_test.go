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

// Behind a zone's cut all leases ran out though a node of the zone heard its
// workers. It renews them by delegation, for longer than a lease.
func TestDelegationKeepsTasksOfIsolatedZone(t *testing.T) {
	runSimulation(t, func(sim *simulation) {
		sim.submit(zonalService("000001", "b", 6))
		sim.eventually("the service runs", 2*time.Minute, func() bool { return len(sim.runningTasks("000001")) == 6 })
		sim.moveLeaderOutOf("b")
		time.Sleep(2 * sim.settings.WorkerLease) // all workers have gone to nodes of their zone
		before := sim.startCount()
		sim.isolateZone("b")
		time.Sleep(sim.settings.RenewalGrace() + sim.settings.WorkerLease - 2*sim.settings.HeartbeatInterval)
		sim.isolateZone("")
		time.Sleep(sim.settings.WorkerLease)
		if n := sim.startsSince(before); n != 0 || len(sim.runningTasks("000001")) != 6 {
			t.Errorf("%d starts anew, %d run", n, len(sim.runningTasks("000001")))
		}
	})
}

// A job may be cancelled while its tasks are kept by delegation behind a cut: they
// must be gone in time, though the node there can't know.
func TestDelegationEndsBeforeCancelTimeout(t *testing.T) {
	runSimulation(t, func(sim *simulation) {
		sim.submit(zonalService("000001", "b", 6))
		sim.eventually("the service runs", 2*time.Minute, func() bool { return len(sim.runningTasks("000001")) == 6 })
		sim.moveLeaderOutOf("b")
		time.Sleep(2 * sim.settings.WorkerLease)
		sim.isolateZone("b")
		sim.cancel("000001")
		time.Sleep(sim.settings.CancelTimeout)
		if n := len(sim.runningTasks("000001")); n != 0 {
			t.Errorf("%d tasks outlive their cancel", n)
		}
	})
}

// A machine whose tasks are to be stopped is left out of the delegation: it was
// cancelled before the last exchange with the leader, so the delegation may outlast it.
func TestDelegationExcludesMachinesWithTasksToStop(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := clustertest.Settings()
		s.Peers = []config.Peer{{Name: "n1", Zone: "a"}, {Name: "n2", Zone: "b"}}
		sched := newTestScheduler(t, s)
		j := sched.addAcceptedJob(clustertest.Service("000001", 1))
		sched.addAttempt(&cluster.Attempt{Job: j, Task: 0, Number: 1, Machine: sched.addReadyMachine(7, "cpu", "a", false), Incarnation: 1, ThisTerm: true, Reported: true})
		sched.publishDelegation(time.Now())
		if span, excluded := sched.delegator.delegate("n1"); span <= 0 || len(excluded) != 0 {
			t.Errorf("lent for %v, without %v", span, excluded)
		}
		j.Phase = storage.Cancelled
		sched.state.Jobs.TrackCancelling(j)
		time.Sleep(time.Second)
		sched.publishDelegation(time.Now())
		if _, excluded := sched.delegator.delegate("n1"); len(excluded) != 1 || excluded[0] != 7 {
			t.Errorf("left out: %v", excluded)
		}
		if _, excluded := sched.delegator.delegate("n2"); len(excluded) != 0 {
			t.Errorf("left out in the other zone: %v", excluded)
		}
		sched.resignLeadership("told to")
		if span, _ := sched.delegator.delegate("n1"); span != 0 {
			t.Errorf("one that has resigned lends %v", span)
		}
	})
}

// What has been delegated counts to the bound after which a silent machine is called
// empty, until the borrower tells what it did.
func TestDelegationExtendsLeaseBound(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := clustertest.Settings()
		s.Peers = []config.Peer{{Name: "n1", Zone: "a"}}
		sched := newTestScheduler(t, s)
		words := &fakeNode{sim: &simulation{}, statuses: make(map[string]peer.ObservedStatus)}
		sched.deps.Peers = words
		m := sched.addReadyMachine(7, "cpu", "a", false)
		own := m.LastAcknowledged.Add(s.LeaseBound())
		sched.publishDelegation(time.Now())
		sched.updatePeerRenewals()
		if !sched.provenEmptyAt(m).Equal(own) {
			t.Error("the bound of a machine that nobody else may renew has moved")
		}
		span, _ := sched.delegator.delegate("n1")
		until := time.Now().Add(span)
		sched.updatePeerRenewals()
		if want := until.Add(s.LeaseBound()); !sched.provenEmptyAt(m).Equal(want) {
			t.Errorf("empty by %v, lent until %v", sched.provenEmptyAt(m), until)
		}
		time.Sleep(s.LeaseBound() + time.Second)
		now := time.Now()
		words.statuses["n1"] = peer.ObservedStatus{Status: peer.Status{Uptime: time.Hour, SinceDelegatedRenewal: time.Hour}, Sent: now, Received: now}
		sched.updatePeerRenewals()
		if !sched.provenEmptyAt(m).Equal(own) {
			t.Errorf("it renewed nothing, and yet the bound is %v", sched.provenEmptyAt(m).Sub(own))
		}
		words.statuses["n1"] = peer.ObservedStatus{Status: peer.Status{Uptime: time.Hour, SinceDelegatedRenewal: 10 * time.Second}, Sent: now, Received: now}
		sched.updatePeerRenewals()
		if !sched.provenEmptyAt(m).After(now) {
			t.Error("it renewed ten seconds ago, and yet the machine is called empty")
		}
	})
}

// A late copy of a report must not be renewed alone either, nor a report of a
// worker that knows a higher token.
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
		machine := 900
		report := func(seq, token uint64) worker.HeartbeatResponse {
			ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
			defer cancel()
			return n.node.HandleHeartbeat(ctx, &worker.Report{Machine: machine, Addr: "900", Type: "cpu", Zone: n.zone, Incarnation: 1, Seq: seq, Token: token})
		}
		for !report(5, 0).Accepted { // redirected to the other node of the zone
			machine++
		}
		n.cutPeers.Store(true)
		n.cutStore.Store(true)
		time.Sleep(2 * time.Second)
		if a := report(4, term); a.Accepted {
			t.Error("a late copy is answered")
		}
		later := fencing.TermTokens(term).Last + 1
		if a := report(6, later); a.Accepted {
			t.Error("a worker with a later leader's token is answered")
		}
		if a := report(7, term); !a.Accepted || a.Token != term || len(a.Commands) != 0 {
			t.Errorf("the present report is answered %+v", a)
		}
		// A token that the leader has raised within its term is the worker's own: under a
		// lower one it would drop the answer.
		if a := report(8, later-1); !a.Accepted || a.Token != later-1 || len(a.Commands) != 0 {
			t.Errorf("a worker with a raised token is answered %+v", a)
		}
		n.node.Ready() // the balancer asks: only this node is cut off
		if a := report(9, term); a.Accepted {
			t.Error("a worker is kept that is better off elsewhere")
		}
	})
}

// A leader that no longer reached its workers kept its lead, and all leases ran
// out. Their reports come by way of the others, and the lead goes there.
func TestLeaderWithoutWorkersResigns(t *testing.T) {
	runSimulation(t, func(sim *simulation) {
		sim.submit(clustertest.Service("000001", 12))
		sim.eventually("the service runs", 2*time.Minute, func() bool { return len(sim.runningTasks("000001")) == 12 })
		old := sim.awaitLeader()
		time.Sleep(2 * sim.settings.WorkerLease)
		before := sim.startCount()
		old.cutWorkers.Store(true)
		time.Sleep(2 * sim.settings.HeartbeatInterval)
		for i := range 20 { // direct orders that go nowhere
			sim.submit(clustertest.Service(fmt.Sprintf("%06d", 100+i), 1))
			time.Sleep(time.Second)
		}
		sim.eventually("another node leads", time.Minute, func() bool { n := sim.leader(); return n != nil && n != old })
		time.Sleep(sim.settings.WorkerLease)
		if n := sim.startsSince(before); n != 20 || len(sim.runningTasks("000001")) != 12 {
			t.Errorf("%d starts, %d run", n, len(sim.runningTasks("000001")))
		}
	})
}

// Workers report to a node of their own zone, and are sent there once.
func TestWorkerIsRedirectedToItsZoneOnce(t *testing.T) {
	runSimulation(t, func(sim *simulation) {
		sim.awaitLeader()
		time.Sleep(5 * time.Second)
		away, node := sim.nodes[0], sim.nodes[1]
		seq := uint64(0)
		report := func(n *fakeNode) worker.HeartbeatResponse {
			ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
			defer cancel()
			seq++
			return n.node.HandleHeartbeat(ctx, &worker.Report{Machine: 900, Addr: "900", Type: "cpu", Zone: node.zone, Incarnation: 1, Seq: seq})
		}
		if a := report(away); a.Leader != node.name {
			t.Fatalf("not sent home: %+v", a)
		}
		if a := report(node); !a.Accepted {
			t.Errorf("not taken at home: %+v", a)
		}
		if a := report(away); !a.Accepted {
			t.Errorf("sent home again at once: %+v", a)
		}
		time.Sleep(affinityLeases * sim.settings.WorkerLease)
		if a := report(away); a.Leader != node.name {
			t.Errorf("not sent home later: %+v", a)
		}
	})
}
