package scheduler

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"sagevale/internal/api"
	"sagevale/internal/cluster"
	"sagevale/internal/cluster/clustertest"
	"sagevale/internal/fencing"
	"sagevale/internal/storage"
	"sagevale/internal/worker"
)

func TestAcceptedJobsSurviveRestartOfAllNodes(t *testing.T) {
	runSimulation(t, func(sim *simulation) {
		sim.submit(clustertest.Array("000001", 3))
		sim.submit(clustertest.Service("000002", 2))
		sim.eventually("the service runs", 2*time.Minute, func() bool { return len(sim.runningTasks("000002")) == 2 })
		for _, n := range sim.nodes {
			n.kill()
		}
		time.Sleep(5 * time.Second)
		for _, n := range sim.nodes {
			n.start()
		}
		if a := sim.poll("000001"); a.Code != api.CodeOK {
			t.Fatalf("forgotten: %+v", a)
		}
		if a := sim.request(api.OpSubmit, "000001", clustertest.Array("000001", 3)); a.Code != api.CodeOK {
			t.Fatalf("a repeated submission is answered %+v", a)
		}
		sim.eventually("the sweep is done", 3*time.Minute, func() bool { return sim.poll("000001").State == api.StateDone })
		if len(sim.runningTasks("000002")) != 2 {
			t.Fatal("the service didn't go on")
		}
		if a := sim.poll("999999"); a.Code != api.CodeNotFound {
			t.Fatalf("invented: %+v", a)
		}
	})
}

func TestFailoverNeverRunsTaskTwice(t *testing.T) {
	runSimulation(t, func(sim *simulation) {
		for i, id := range []string{"000001", "000002", "000003"} {
			s := clustertest.Array(id, 6)
			s.Service = i == 0
			sim.submit(s)
		}
		for range 6 {
			time.Sleep(7 * time.Second)
			old := sim.awaitLeader()
			old.kill()
			time.Sleep(4 * time.Second)
			old.start()
		}
		sim.eventually("both sweeps are done", 5*time.Minute, func() bool {
			return sim.poll("000002").State == api.StateDone && sim.poll("000003").State == api.StateDone
		})
		sim.eventually("the service runs", time.Minute, func() bool { return len(sim.runningTasks("000001")) == 6 })
	})
}

// A leader that alone has lost the state service and its peers goes on hearing
// its workers; its successor must not start their tasks before they are gone.
func TestDeposedLeaderHasNoEffect(t *testing.T) {
	runSimulation(t, func(sim *simulation) {
		sim.submit(clustertest.Service("000001", 2))
		sim.submit(clustertest.Array("000002", 1))
		sim.eventually("the service runs", 2*time.Minute, func() bool { return len(sim.runningTasks("000001")) == 2 })
		sim.eventually("the sweep is done", 2*time.Minute, func() bool { return sim.poll("000002").State == api.StateDone })
		old := sim.awaitLeader()
		oldTerm := old.node.view.Load().role.Term
		old.cutStore.Store(true)
		old.cutPeers.Store(true)
		for _, wk := range sim.allWorkers() {
			wk.onlyNode.Store(old)
		}
		cutoff := func(op api.Op, id string) api.Response {
			ctx, cancel := context.WithTimeout(context.Background(), time.Second)
			defer cancel()
			return old.node.HandleUserRequest(ctx, api.Request{Op: op, ID: id, Spec: clustertest.Array(id, 1)})
		}
		time.Sleep(2 * sim.settings.Tuning.LeaderLease)
		if a := cutoff(api.OpPoll, "000001"); a.Code != api.CodeUnavailable {
			t.Errorf("an uncertain leader tells %+v", a)
		}
		if a := cutoff(api.OpPoll, "000002"); a.Code != api.CodeOK || a.State != api.StateDone {
			t.Errorf("a final state isn't told: %+v", a)
		}
		if a := cutoff(api.OpSubmit, "000003"); a.Code != api.CodeUnavailable {
			t.Errorf("an uncertain leader accepts: %+v", a)
		}
		sim.eventually("a successor leads", time.Minute, func() bool {
			n := sim.leader()
			return n != nil && n != old && n.node.view.Load().role.Term > oldTerm
		})
		sim.cancel("000001")
		sim.eventually("the cancelled tasks are gone", sim.settings.CancelTimeout, func() bool { return len(sim.runningTasks("000001")) == 0 })
		sim.eventually("the old leader has stepped down", time.Minute, func() bool { return old.node.view.Load().scheduler == nil })
	})
}

// Orders sent directly may be executed minutes late, after a cancel too.
func TestDelayedStartDoesNotRunCancelledTask(t *testing.T) {
	runSimulation(t, func(sim *simulation) {
		sim.submit(clustertest.Service("000001", 1))
		sim.eventually("a machine is up", 2*time.Minute, func() bool { return len(sim.runningTasks("000001")) == 1 })
		for _, wk := range sim.allWorkers() {
			wk.delaysCommands.Store(true)
		}
		sim.submit(clustertest.Service("000002", 2))
		time.Sleep(200 * time.Millisecond)
		sim.cancel("000002")
		time.Sleep(2 * sim.settings.CancelTimeout)
		for _, wk := range sim.allWorkers() {
			wk.executeDelayed()
		}
		if n := len(sim.runningTasks("000002")); n != 0 {
			t.Fatalf("%d cancelled tasks run", n)
		}
	})
}

// A repeat of a start that was answered would start a forgotten attempt anew.
func TestRepeatedStartDoesNotRestartFinishedTask(t *testing.T) {
	runSimulation(t, func(sim *simulation) {
		sim.submit(clustertest.Array("000001", 1))
		var k attemptKey
		var on *fakeWorker
		sim.eventually("the task runs", 2*time.Minute, func() bool {
			for id, wk := range sim.runningTasks("000001") {
				on = wk
				for key := range wk.tasks {
					if key.ID == id {
						k = key
					}
				}
			}
			return on != nil
		})
		sim.eventually("the sweep is done", 2*time.Minute, func() bool { return sim.poll("000001").State == api.StateDone })
		time.Sleep(30 * time.Second)
		before := sim.startCount()
		on.executeDirect(on.token, on.incarnation, []worker.Command{{Verb: worker.Start, ID: k.ID, Attempt: k.Number}})
		if sim.startCount() != before {
			t.Fatal("a repeated order started a finished task anew")
		}
	})
}

func TestCancelHoldsAcrossNetworkPartition(t *testing.T) {
	runSimulation(t, func(sim *simulation) {
		sim.submit(clustertest.Service("000001", 2))
		sim.eventually("the service runs", 2*time.Minute, func() bool { return len(sim.runningTasks("000001")) == 2 })
		for _, wk := range sim.allWorkers() {
			wk.cut.Store(true)
		}
		sim.cancel("000001")
		sim.eventually("the tasks are gone", sim.settings.CancelTimeout, func() bool { return len(sim.runningTasks("000001")) == 0 })
		for _, wk := range sim.allWorkers() {
			wk.cut.Store(false)
		}
		time.Sleep(time.Minute)
		if len(sim.runningTasks("000001")) != 0 {
			t.Fatal("a cancelled task runs")
		}
		if a := sim.poll("000001"); a.State != api.StateCancelled {
			t.Fatalf("went back: %+v", a)
		}
	})
}

func TestStoreOutageKeepsTasksRunning(t *testing.T) {
	runSimulation(t, func(sim *simulation) {
		sim.submit(clustertest.Service("000001", 3))
		sim.eventually("the service runs", 2*time.Minute, func() bool { return len(sim.runningTasks("000001")) == 3 })
		sim.state.Outage(true)
		before := sim.startCount()
		time.Sleep(3 * time.Minute)
		sim.state.Outage(false)
		time.Sleep(time.Minute)
		if len(sim.runningTasks("000001")) != 3 || sim.startCount() != before {
			t.Fatalf("%d of 3 run, %d starts anew", len(sim.runningTasks("000001")), sim.startCount()-before)
		}
	})
}

// A peer that has restarted can't know whether it led meanwhile.
func TestRestartedPeerDoesNotConfirmNoLeader(t *testing.T) {
	runSimulation(t, func(sim *simulation) {
		leader := sim.awaitLeader()
		time.Sleep(10 * time.Second)
		term := leader.node.view.Load().role.Term
		cut := time.Now()
		leader.cutStore.Store(true)
		sim.state.Outage(true)
		time.Sleep(10 * time.Second)
		if !leader.node.election.PeersConfirmNoLeader(context.Background(), term, cut) {
			t.Error("peers that heard nothing since don't confirm")
		}
		for _, n := range sim.nodes {
			if n != leader {
				n.restart()
				break
			}
		}
		time.Sleep(3 * time.Second)
		if leader.node.election.PeersConfirmNoLeader(context.Background(), term, cut) {
			t.Error("a restarted peer confirms what it can't know")
		}
	})
}

func TestTasksLeaveMachineThatDropsResponses(t *testing.T) {
	runSimulation(t, func(sim *simulation) {
		sim.submit(clustertest.Service("000001", 4))
		sim.eventually("the service runs", 2*time.Minute, func() bool { return len(sim.runningTasks("000001")) == 4 })
		var deaf *fakeWorker
		for _, wk := range sim.runningTasks("000001") {
			deaf = wk
		}
		deaf.dropsResponses.Store(true)
		sim.eventually("its tasks run elsewhere", 4*time.Minute, func() bool {
			on := sim.runningTasks("000001")
			for _, wk := range on {
				if wk == deaf {
					return false
				}
			}
			return len(on) == 4
		})
	})
}

// A late copy neither shows the present nor renews a lease.
func TestStaleReportIsRejected(t *testing.T) {
	runSimulation(t, func(sim *simulation) {
		sim.submit(clustertest.Service("000001", 1))
		sim.eventually("the service runs", 2*time.Minute, func() bool { return len(sim.runningTasks("000001")) == 1 })
		leader := sim.awaitLeader()
		for _, wk := range sim.allWorkers() {
			old := wk.report()
			old.Tasks = nil
			time.Sleep(10 * time.Second)
			if a := leader.node.HandleHeartbeat(context.Background(), old); a.Accepted {
				t.Error("a copy is accepted")
			}
		}
		time.Sleep(5 * time.Second)
		if sim.startCount() != 1 || len(sim.runningTasks("000001")) != 1 {
			t.Fatalf("%d starts, %d run", sim.startCount(), len(sim.runningTasks("000001")))
		}
	})
}

// Where the leader is out of reach, what comes to a follower goes through the relay.
func TestPartitionedFollowerRelaysThroughStore(t *testing.T) {
	runSimulation(t, func(sim *simulation) {
		leader := sim.awaitLeader()
		var follower *fakeNode
		for i, n := range sim.nodes {
			if n != leader {
				follower = sim.nodes[i]
			}
		}
		time.Sleep(5 * time.Second)
		follower.cutPeers.Store(true)
		ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
		defer cancel()
		spec := clustertest.Service("000001", 1)
		sim.storeSpec(spec)
		if a := follower.node.HandleUserRequest(ctx, api.Request{Op: api.OpSubmit, ID: spec.ID, Spec: spec}); a.Code != api.CodeCreated {
			t.Fatalf("not accepted by mail: %+v", a)
		}
		a := follower.node.HandleHeartbeat(ctx, &worker.Report{Machine: 900, Addr: "900", Type: "cpu", Zone: "b", Incarnation: 1, Seq: 1})
		if !a.Accepted || a.Token != leader.node.view.Load().role.Term {
			t.Fatalf("no report by mail: %+v", a)
		}
	})
}

// Workers must remember attempts that were started directly; a new token ends
// that before their reports grow too large.
func TestReportSizeStaysBounded(t *testing.T) {
	runSimulation(t, func(sim *simulation) {
		s := clustertest.Array("000001", 1500)
		s.Resources = storage.Resources{CPUs: 0.1, MemoryGB: 0.1}
		s.EstimateS = 2
		sim.submit(s)
		sim.eventually("the sweep is done", 30*time.Minute, func() bool {
			for _, wk := range sim.allWorkers() {
				if n := len(wk.report().Tasks); n > 2*fencing.MaxRetained {
					t.Fatalf("a report of %d tasks", n)
				}
			}
			return sim.poll("000001").State == api.StateDone
		})
	})
}

// A session that is first heard of in the answer to a direct order has its
// lease from then on; the bound of the session before says nothing of its tasks.
func TestIncarnationSeenInDirectResponseHasOwnLease(t *testing.T) {
	runSimulation(t, func(sim *simulation) {
		sim.submit(clustertest.Service("000001", 1))
		sim.submit(clustertest.Service("000003", 4))
		sim.eventually("the services run", 2*time.Minute, func() bool { return len(sim.runningTasks("000001"))+len(sim.runningTasks("000003")) == 5 })
		var on *fakeWorker
		for _, wk := range sim.runningTasks("000001") {
			on = wk
		}
		on.dropsHeartbeats.Store(true)
		var leased time.Time
		sim.withLock(func() { leased = on.leaseRenewed })
		time.Sleep(time.Until(leased.Add(sim.settings.WorkerLease + 50*time.Millisecond)))
		sim.cancel("000001") // the stop tells of the new session
		for i := range 3 {
			sim.submit(clustertest.Service(fmt.Sprintf("%06d", 10+i), 1))
		}
		time.Sleep(sim.settings.WorkerLease - 2*time.Second) // others have booted meanwhile
		on.dropsHeartbeats.Store(false)
		time.Sleep(10 * time.Second)
	})
}

// A new leader orders an attempt of the earlier one again in the answer to a
// report; the worker's answer to the greeting, made before that came, doesn't
// list it. It was called absent, started elsewhere, and ran twice.
func TestOlderResponseDoesNotDisproveReissuedStart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sched := newTestScheduler(t, clustertest.Settings())
		m := sched.state.EnsureMachine(1, time.Now())
		m.Addr, m.Incarnation = "1", 1
		j := sched.addAcceptedJob(clustertest.Array("000001", 1))
		a := &cluster.Attempt{Job: j, Task: 0, Number: 1, Machine: m, Incarnation: 1, Durable: true} // loaded
		sched.addAttempt(a)
		r := &worker.Report{Machine: 1, Addr: "1", Type: "cpu", Zone: "a", Incarnation: 1, Seq: 1, Token: sched.term - 1}
		if got := sched.handleHeartbeat(r); len(got.Commands) != 1 || got.Commands[0].Verb != worker.Start {
			t.Fatalf("answered %+v", got)
		}
		sched.handleDelivered(deliveredMessage{machine: 1, announcement: true, outcome: worker.Executed,
			report: &worker.Report{Machine: 1, Addr: "1", Type: "cpu", Zone: "a", Incarnation: 1, Seq: 2, Token: sched.term}})
		if j.Attempts[0] != a {
			t.Error("the attempt is called absent while its start is on the way")
		}
		if got := sched.handleHeartbeat(&worker.Report{Machine: 1, Addr: "1", Type: "cpu", Zone: "a", Incarnation: 1, Seq: 3, Token: sched.term}); len(got.Commands) != 1 {
			t.Errorf("not ordered again: %+v", got)
		}
	})
}
