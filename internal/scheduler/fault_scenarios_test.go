package scheduler

import (
	"context"
	"fmt"
	"testing"
	"time"

	"sagevale/internal/api"
	"sagevale/internal/cluster/clustertest"
	"sagevale/internal/fencing"
	"sagevale/internal/storage"
	"sagevale/internal/worker"
)

func TestAcceptedJobsSurviveRestartOfAllNodes(t *testing.T) {
	runSimulation(t, func(sim *simulation) {
		sim.submit(clustertest.Array("000001", 3))
		sim.submit(clustertest.Service("000002", 2))
		sim.awaitRunningWithin(2*time.Minute, "000002", 2)
		for _, n := range sim.nodes {
			n.kill()
		}
		time.Sleep(5 * time.Second)
		for _, n := range sim.nodes {
			n.start()
		}
		if got := sim.poll("000001"); got.Code != api.CodeOK {
			t.Fatalf("poll after the restart: got %+v, want code %v", got, api.CodeOK)
		}
		if got := sim.request(api.OpSubmit, "000001", clustertest.Array("000001", 3)); got.Code != api.CodeOK {
			t.Fatalf("repeated submission: got %+v, want code %v", got, api.CodeOK)
		}
		sim.awaitDoneWithin(3*time.Minute, "000001")
		if n := len(sim.runningTasks("000002")); n != 2 {
			t.Fatalf("got %d running tasks of the service, want 2", n)
		}
		if got := sim.poll("999999"); got.Code != api.CodeNotFound {
			t.Fatalf("poll of an unknown job: got %+v, want code %v", got, api.CodeNotFound)
		}
	})
}

func TestFailoverNeverRunsTaskTwice(t *testing.T) {
	runSimulation(t, func(sim *simulation) {
		for i, id := range []string{"000001", "000002", "000003"} {
			spec := clustertest.Array(id, 6)
			spec.Service = i == 0
			sim.submit(spec)
		}
		for range 6 {
			time.Sleep(7 * time.Second)
			oldLeader := sim.awaitLeader()
			oldLeader.kill()
			time.Sleep(4 * time.Second)
			oldLeader.start()
		}
		sim.eventually("both arrays are done", 5*time.Minute, func() bool {
			return sim.poll("000002").State == api.StateDone && sim.poll("000003").State == api.StateDone
		})
		sim.awaitRunningWithin(time.Minute, "000001", 6)
	})
}

// The leader is cut off from the key-value store and from its peers, but still receives the workers'
// heartbeats. The next leader must not start the workers' tasks again before they have stopped.
func TestDeposedLeaderHasNoEffect(t *testing.T) {
	runSimulation(t, func(sim *simulation) {
		sim.submit(clustertest.Service("000001", 2))
		sim.submit(clustertest.Array("000002", 1))
		sim.awaitRunningWithin(2*time.Minute, "000001", 2)
		sim.awaitDoneWithin(2*time.Minute, "000002")
		oldLeader := sim.awaitLeader()
		oldTerm := oldLeader.node.view.Load().role.Term
		oldLeader.cutStore.Store(true)
		oldLeader.cutPeers.Store(true)
		for _, wk := range sim.allWorkers() {
			wk.onlyReachableNode.Store(oldLeader)
		}
		requestFromOldLeader := func(op api.Op, id string) api.Response {
			ctx, cancel := context.WithTimeout(sim.t.Context(), time.Second)
			defer cancel()
			return oldLeader.node.HandleUserRequest(ctx, api.Request{Op: op, ID: id, Spec: clustertest.Array(id, 1)})
		}
		time.Sleep(2 * sim.settings.Tuning.LeaderLease)
		if got := requestFromOldLeader(api.OpPoll, "000001"); got.Code != api.CodeUnavailable {
			t.Errorf("poll of an open job after lease expiry: got %+v, want code %v", got, api.CodeUnavailable)
		}
		if got := requestFromOldLeader(api.OpPoll, "000002"); got.Code != api.CodeOK || got.State != api.StateDone {
			t.Errorf("poll of a final job after lease expiry: got %+v, want state %v", got, api.StateDone)
		}
		if got := requestFromOldLeader(api.OpSubmit, "000003"); got.Code != api.CodeUnavailable {
			t.Errorf("submission after lease expiry: got %+v, want code %v", got, api.CodeUnavailable)
		}
		sim.eventually("a successor leads", time.Minute, func() bool {
			n := sim.leader()
			return n != nil && n != oldLeader && n.node.view.Load().role.Term > oldTerm
		})
		sim.cancel("000001")
		sim.eventually("the cancelled tasks have stopped", sim.settings.CancelTimeout, func() bool { return len(sim.runningTasks("000001")) == 0 })
		sim.eventually("the old leader has resigned", time.Minute, func() bool { return oldLeader.node.view.Load().scheduler == nil })
	})
}

// A direct start command may arrive minutes after it was sent. If the task's job has been cancelled by then, the
// task must not run.
func TestDelayedStartDoesNotRunCancelledTask(t *testing.T) {
	runSimulation(t, func(sim *simulation) {
		sim.submit(clustertest.Service("000001", 1))
		sim.awaitRunningWithin(2*time.Minute, "000001", 1)
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
			t.Fatalf("got %d running tasks of a cancelled job, want none", n)
		}
	})
}

// A start command arrives again after the attempt has finished and the worker has forgotten the attempt. The
// attempt must not start a second time.
func TestRepeatedStartDoesNotRestartFinishedTask(t *testing.T) {
	runSimulation(t, func(sim *simulation) {
		sim.submit(clustertest.Array("000001", 1))
		var attempt attemptKey
		var host *fakeWorker
		sim.eventually("the task runs", 2*time.Minute, func() bool {
			for id, wk := range sim.runningTasks("000001") {
				host = wk
				for key := range wk.tasks {
					if key.ID == id {
						attempt = key
					}
				}
			}
			return host != nil
		})
		sim.awaitDoneWithin(2*time.Minute, "000001")
		time.Sleep(30 * time.Second)
		before := sim.startCount()
		host.executeDirect(host.token, host.incarnation, []worker.Command{{Verb: worker.Start, ID: attempt.ID, Attempt: attempt.Number}})
		if n := sim.startsSince(before); n != 0 {
			t.Fatalf("repeated start of a finished task: got %d starts, want none", n)
		}
	})
}

func TestCancelHoldsAcrossNetworkPartition(t *testing.T) {
	runSimulation(t, func(sim *simulation) {
		sim.submit(clustertest.Service("000001", 2))
		sim.awaitRunningWithin(2*time.Minute, "000001", 2)
		for _, wk := range sim.allWorkers() {
			wk.partitioned.Store(true)
		}
		sim.cancel("000001")
		sim.eventually("the tasks have stopped", sim.settings.CancelTimeout, func() bool { return len(sim.runningTasks("000001")) == 0 })
		for _, wk := range sim.allWorkers() {
			wk.partitioned.Store(false)
		}
		time.Sleep(time.Minute)
		if n := len(sim.runningTasks("000001")); n != 0 {
			t.Fatalf("got %d running tasks of a cancelled job, want none", n)
		}
		if got := sim.poll("000001"); got.State != api.StateCancelled {
			t.Fatalf("poll after the partition: got %+v, want state %v", got, api.StateCancelled)
		}
	})
}

func TestStoreOutageKeepsTasksRunning(t *testing.T) {
	runSimulation(t, func(sim *simulation) {
		sim.submit(clustertest.Service("000001", 3))
		sim.awaitRunningWithin(2*time.Minute, "000001", 3)
		sim.store.SetOutage(true)
		before := sim.startCount()
		time.Sleep(3 * time.Minute)
		sim.store.SetOutage(false)
		time.Sleep(time.Minute)
		if running, started := len(sim.runningTasks("000001")), sim.startsSince(before); running != 3 || started != 0 {
			t.Fatalf("after the outage: got %d running tasks and %d starts, want 3 and none", running, started)
		}
	})
}

// A peer that has restarted doesn't have the state of its earlier process. That process may have been the leader,
// so the peer must not confirm that there was no other leader.
func TestRestartedPeerDoesNotConfirmNoLeader(t *testing.T) {
	runSimulation(t, func(sim *simulation) {
		leader := sim.awaitLeader()
		time.Sleep(10 * time.Second)
		term := leader.node.view.Load().role.Term
		cutAt := time.Now()
		leader.cutStore.Store(true)
		sim.store.SetOutage(true)
		time.Sleep(10 * time.Second)
		if !leader.node.election.PeersConfirmNoLeader(sim.t.Context(), term, cutAt) {
			t.Error("peers without a later leader don't confirm that there is none")
		}
		for _, n := range sim.nodes {
			if n != leader {
				n.restart()
				break
			}
		}
		time.Sleep(3 * time.Second)
		if leader.node.election.PeersConfirmNoLeader(sim.t.Context(), term, cutAt) {
			t.Error("a restarted peer confirms that there was no leader")
		}
	})
}

func TestTasksLeaveMachineThatDropsResponses(t *testing.T) {
	runSimulation(t, func(sim *simulation) {
		sim.submit(clustertest.Service("000001", 4))
		sim.awaitRunningWithin(2*time.Minute, "000001", 4)
		var faulty *fakeWorker
		for _, wk := range sim.runningTasks("000001") {
			faulty = wk
		}
		faulty.dropsResponses.Store(true)
		sim.eventually("its tasks run elsewhere", 4*time.Minute, func() bool {
			running := sim.runningTasks("000001")
			for _, wk := range running {
				if wk == faulty {
					return false
				}
			}
			return len(running) == 4
		})
	})
}

// A report that arrives late must neither replace newer reports nor renew a lease.
func TestStaleReportIsRejected(t *testing.T) {
	runSimulation(t, func(sim *simulation) {
		sim.submit(clustertest.Service("000001", 1))
		sim.awaitRunningWithin(2*time.Minute, "000001", 1)
		leader := sim.awaitLeader()
		for _, wk := range sim.allWorkers() {
			stale := wk.report()
			stale.Tasks = nil
			time.Sleep(10 * time.Second)
			if got := leader.node.HandleHeartbeat(sim.t.Context(), stale); got.Accepted {
				t.Errorf("stale report: got %+v, want it rejected", got)
			}
		}
		time.Sleep(5 * time.Second)
		if starts, running := sim.startCount(), len(sim.runningTasks("000001")); starts != 1 || running != 1 {
			t.Fatalf("got %d starts and %d running tasks, want 1 and 1", starts, running)
		}
	})
}

// A follower that can't reach the leader forwards users' requests and heartbeats through the key-value store.
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
		ctx, cancel := context.WithTimeout(sim.t.Context(), 3*time.Second)
		defer cancel()
		spec := clustertest.Service("000001", 1)
		sim.storeSpec(spec)
		if got := follower.node.HandleUserRequest(ctx, api.Request{Op: api.OpSubmit, ID: spec.ID, Spec: spec}); got.Code != api.CodeCreated {
			t.Fatalf("relayed submission: got %+v, want code %v", got, api.CodeCreated)
		}
		got := follower.node.HandleHeartbeat(ctx, &worker.Report{Machine: 900, Addr: "900", Type: "cpu", Zone: "b", Incarnation: 1, Seq: 1})
		if term := leader.node.view.Load().role.Term; !got.Accepted || got.Token != term {
			t.Fatalf("relayed heartbeat: got %+v, want it accepted under token %d", got, term)
		}
	})
}

// Workers must retain ended attempts that were started by direct commands, and list them in their reports. Before
// the reports grow too large, the leader raises the fencing token. The workers then needn't retain these attempts.
func TestReportSizeStaysBounded(t *testing.T) {
	runSimulation(t, func(sim *simulation) {
		spec := arrayWithRuntime("000001", 1500, 2*time.Second)
		spec.Resources = storage.Resources{CPUs: 0.1, MemoryGB: 0.1}
		sim.submit(spec)
		sim.eventually("the array is done", 30*time.Minute, func() bool {
			for _, wk := range sim.allWorkers() {
				if n := len(wk.report().Tasks); n > 2*fencing.MaxRetained {
					t.Fatalf("got a report of %d tasks, want at most %d", n, 2*fencing.MaxRetained)
				}
			}
			return sim.poll("000001").State == api.StateDone
		})
	})
}

// The leader first sees a new incarnation of a worker in the response to a direct command. The new incarnation has
// its own lease. The time at which the lease of the earlier incarnation expires must not be used for tasks of the
// new incarnation. The simulation checks that no task runs twice.
func TestIncarnationSeenInDirectResponseHasOwnLease(t *testing.T) {
	runSimulation(t, func(sim *simulation) {
		sim.submit(clustertest.Service("000001", 1))
		sim.submit(clustertest.Service("000003", 4))
		sim.eventually("the services run", 2*time.Minute, func() bool { return len(sim.runningTasks("000001"))+len(sim.runningTasks("000003")) == 5 })
		var host *fakeWorker
		for _, wk := range sim.runningTasks("000001") {
			host = wk
		}
		host.dropsHeartbeats.Store(true)
		var renewedAt time.Time
		sim.withLock(func() { renewedAt = host.leaseRenewed })
		time.Sleep(time.Until(renewedAt.Add(sim.settings.WorkerLease + 50*time.Millisecond)))
		sim.cancel("000001") // the response to the stop command reports the new incarnation
		for i := range 3 {
			sim.submit(clustertest.Service(fmt.Sprintf("%06d", 10+i), 1))
		}
		time.Sleep(sim.settings.WorkerLease - 2*time.Second) // more machines have started by now
		host.dropsHeartbeats.Store(false)
		time.Sleep(10 * time.Second)
	})
}
