package scheduler

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"sagevale/internal/api"
	"sagevale/internal/clock"
	"sagevale/internal/cluster"
	"sagevale/internal/cluster/clustertest"
	"sagevale/internal/config"
	"sagevale/internal/fencing"
	"sagevale/internal/groupcommit"
	"sagevale/internal/leadership"
	"sagevale/internal/peer"
	"sagevale/internal/storage"
	"sagevale/internal/worker"
)

// The tests in this file check each time bound of the workers' leases and of the leader's lease separately. They
// also check what a leader may still do at the end of its lease. The scenarios of combined faults depend on these
// bounds.

// Once the leader's lease may have expired, a successor may already have sent the user a later state of the job. A
// response that hasn't been delivered by then must be replaced by a response that asks the user to retry. Only a
// response with a final state may be delivered later.
func TestResponseValidityEndsWithLease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sched := newTestScheduler(t, clustertest.Settings())
		role := sched.role
		role.LeaseValidUntil = time.Now().Add(time.Second)
		sched.setRole(role)
		received := time.Now()
		running := api.Response{Code: api.CodeOK, ID: "000001", State: api.StateRunning}
		if got := sched.withValidity(running, received); got.Code != api.CodeOK || got.ValidFor != time.Second {
			t.Errorf("running state under the lease: got %+v, want code %v valid for 1s", got, api.CodeOK)
		}
		time.Sleep(time.Second)
		if got := sched.withValidity(running, received); got.Code != api.CodeUnavailable || got.RetrySeconds == 0 {
			t.Errorf("running state after lease expiry: got %+v, want code %v with a retry interval", got, api.CodeUnavailable)
		}
		if got := sched.withValidity(api.Response{Code: api.CodeNotFound}, received); got.Code != api.CodeUnavailable {
			t.Errorf("unknown job after lease expiry: got %+v, want code %v", got, api.CodeUnavailable)
		}
		if got := sched.withValidity(api.Response{Code: api.CodeOK, State: api.StateDone}, received); got.Code != api.CodeOK {
			t.Errorf("final state after lease expiry: got %+v, want code %v", got, api.CodeOK)
		}
	})
}

// If a leader's response arrives after the leader's lease has expired, a follower drops the response. Only a response
// with a final state is still forwarded.
func TestDelayedResponseIsNotForwarded(t *testing.T) {
	runSimulation(t, func(sim *simulation) {
		sim.submit(clustertest.Service("000001", 1))
		sim.submit(clustertest.Service("000002", 1))
		sim.cancel("000002")
		leader := sim.awaitLeader()
		leader.responseDelay.Store(int64(sim.settings.Tuning.LeaderLease))
		for _, n := range sim.nodes {
			if n == leader {
				continue
			}
			if got := sim.requestFrom(n, api.OpPoll, "000001", storage.Spec{}); got.Code != api.CodeUnavailable {
				t.Errorf("delayed open state: got %+v, want code %v", got, api.CodeUnavailable)
			}
			if got := sim.requestFrom(n, api.OpPoll, "000002", storage.Spec{}); !got.Final() {
				t.Errorf("delayed final state: got %+v, want it forwarded", got)
			}
		}
	})
}

// The controller that renews a worker's lease may have missed the cancellation of a job that runs on the worker. The
// job's tasks must still stop within the cancel timeout. This test checks the time bound for each way to renew a
// lease. The lease begins at the last possible renewal. The cancel timeout begins at the earliest cancellation that
// the renewing controller may have missed. The lease must end before the cancel timeout ends. In the worst case, a
// slow clock measures the lease and a fast clock measures the cancel timeout. docs/design.md explains the bound.
func TestRenewalsEndBeforeCancelTimeout(t *testing.T) {
	const maxClockSkew = 1.0005
	for _, settings := range []config.Settings{
		clustertest.Settings(),
		{HeartbeatInterval: 2 * time.Second, WorkerLease: 12 * time.Second, CancelTimeout: 42 * time.Second},
		{HeartbeatInterval: 5 * time.Second, WorkerLease: 26500 * time.Millisecond, CancelTimeout: 56500 * time.Millisecond},
	} {
		settings.Peers = []config.Peer{{Name: "n1", Zone: "a"}}
		settings.Tuning = settings.DefaultTuning()
		for _, c := range []struct {
			name string
			// lastRenewal returns the time of the last renewal of a lease. It also returns the
			// earliest time of a cancellation that the renewing controller may have missed.
			lastRenewal func(t *testing.T, settings config.Settings) (renewed, unknownSince time.Time)
		}{
			{"heartbeat responses of the leader", lastLeaderRenewal},
			{"delegation to a peer", lastDelegatedRenewal},
			{"renewal grace confirmed by the peers", lastConfirmedRenewal},
		} {
			t.Run(c.name, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					renewed, unknownSince := c.lastRenewal(t, settings)
					leaseEnd := renewed.Add(clock.Scale(settings.WorkerLease, maxClockSkew))
					cancelDeadline := unknownSince.Add(clock.Scale(settings.CancelTimeout, 1/maxClockSkew))
					if renewed.IsZero() || !leaseEnd.Before(cancelDeadline) {
						t.Errorf("last renewal %v: got the lease's end %v, want it before the cancel deadline %v", renewed, leaseEnd, cancelDeadline)
					}
				})
			})
		}
	}
}

// lastLeaderRenewal sends heartbeats to a leader whose lease has just expired. It returns the time of the last
// heartbeat that the leader accepted, and the time at which the leader's lease expired.
func lastLeaderRenewal(t *testing.T, settings config.Settings) (renewed, leaseExpiry time.Time) {
	t.Helper()
	sched := newTestScheduler(t, settings)
	leaseExpiry = time.Now()
	sched.setRole(leadership.Role{Leading: true, Term: 2, LeaseValidUntil: leaseExpiry, RenewWorkersUntil: leaseExpiry.Add(settings.RenewalGrace())})
	for seq := uint64(1); time.Since(leaseExpiry) < 2*settings.CancelTimeout; seq++ {
		if sched.handleHeartbeat(cpuReport(7, seq, 2)).Accepted {
			renewed = time.Now()
		}
		time.Sleep(100 * time.Millisecond)
	}
	return renewed, leaseExpiry
}

// lastDelegatedRenewal models a leader whose lease has just expired. A peer requests delegations from this leader until
// the cancel timeout has passed. A delegation allows the peer to renew workers' leases. lastDelegatedRenewal returns the
// time at which the last delegation ends, and the time at which the leader's lease expired.
func lastDelegatedRenewal(t *testing.T, settings config.Settings) (until, leaseExpiry time.Time) {
	t.Helper()
	sched := newTestScheduler(t, settings)
	leaseExpiry = time.Now()
	sched.setRole(leadership.Role{Leading: true, Term: 2, LeaseValidUntil: leaseExpiry, RenewWorkersUntil: leaseExpiry.Add(settings.RenewalGrace())})
	forwarder := newForwarder(&Node{settings: &settings})
	peers := &fakeNode{sim: &simulation{}, statuses: make(map[string]peer.ObservedStatus)}
	forwarder.node.deps.Peers = peers
	for time.Since(leaseExpiry) < settings.CancelTimeout {
		sched.publishDelegation(time.Now())
		period, excluded := sched.delegator.delegate("n1")
		peers.statuses["n1"] = peer.ObservedStatus{
			Status:   peer.Status{DelegationPeriod: period, DelegationTerm: 2, ExcludedMachines: excluded},
			Sent:     time.Now(),
			Received: time.Now(),
		}
		forwarder.refreshDelegation()
		time.Sleep(100 * time.Millisecond)
	}
	return forwarder.delegation.until, leaseExpiry
}

// lastConfirmedRenewal models a leader that can't renew its own lease. The statuses of the peers confirm that no peer can
// have led since that lease expired. The leader may then renew workers' leases until one renewal grace after it requested
// the statuses. lastConfirmedRenewal returns the end of that grace, and the time of the request. A peer that becomes the
// leader after it has sent its status becomes the leader after the request.
func lastConfirmedRenewal(_ *testing.T, settings config.Settings) (renewed, requested time.Time) {
	requested = time.Now()
	return requested.Add(settings.RenewalGrace()), requested
}

// Machines that have tasks of a cancelled job are excluded from a delegation: the peer must not renew their
// leases.
func TestDelegationDoesNotRenewExcludedMachine(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		settings := clustertest.Settings()
		settings.Zone = "a"
		forwarder := newForwarder(&Node{settings: &settings})
		forwarder.delegation = delegation{tokens: fencing.TermTokens(2), until: time.Now().Add(time.Minute), excluded: []int{7}}
		for machine, renewed := range map[int]bool{7: false, 8: true} {
			forwarder.workers[machine] = &knownWorker{incarnation: 1, seq: 1, lastAcknowledged: time.Now()}
			r := &worker.Report{Machine: machine, Zone: "a", Incarnation: 1, Seq: 2, Token: 2}
			p := pendingReport{report: r, digest: forwarder.workers[machine].digest}
			if got := forwarder.decideDelegated(p, time.Now()); got.Accepted != renewed {
				t.Errorf("machine %d: got %+v, want accepted %v", machine, got, renewed)
			}
		}
	})
}

// A worker whose lease has expired begins a new incarnation with a new lease. The leader may see the new incarnation
// for the first time in the response to a direct command. The lease bound is the time by which the worker's lease has
// certainly expired. In this case it counts from the response, not from the last acknowledged heartbeat of the earlier
// incarnation. The scenario that simulates this case no longer tests the bound, because the leader places no tasks on a
// machine that isn't ready. The bound must still hold.
func TestLeaseBoundOfNewIncarnationStartsAtFirstReport(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		settings := clustertest.Settings()
		sched := newTestScheduler(t, settings)
		m := sched.addReadyMachine(7, "cpu", "a", false)
		time.Sleep(settings.WorkerLease)
		received := time.Now()
		sched.applyReport(m, &worker.Report{Machine: 7, Addr: "7", Type: "cpu", Zone: "a", Incarnation: 2, Seq: 1, Token: sched.term}, false, received)
		if emptyAt := sched.leaseExpiredBy(m); emptyAt.Before(received.Add(settings.WorkerLease)) {
			t.Errorf("got the lease bound %v after the incarnation's first report, want at least %v", emptyAt.Sub(received), settings.WorkerLease)
		}
	})
}

// An earlier leader may have renewed leases until the end of its renewal grace. If a machine hasn't reported in this
// term, the new leader keeps the attempts on the machine until the last of those leases has expired.
func TestLeaseBoundAfterFailoverCoversEarlierLeader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		settings := clustertest.Settings()
		sched := newTestScheduler(t, settings)
		spec := clustertest.Service("000001", 1)
		if err := sched.loadRecords([]storage.Record{
			newRecord(t, storage.JobKey("000001"), storage.JobRecord{Tasks: 1, Spec: &spec}),
			newRecord(t, storage.TaskPageKey("000001", 0), storage.TaskPageRecord{Attempts: []storage.AttemptRecord{{Task: 0, Number: 5, Machine: 1, Incarnation: 1}}}),
		}); err != nil {
			t.Fatal(err)
		}
		time.Sleep(settings.RenewalGrace() + settings.WorkerLease)
		if sched.expireLeases(time.Now()); len(sched.state.Jobs.Get("000001").Attempts) != 1 {
			t.Error("the attempt is dropped while the last lease of an earlier leader may be valid")
		}
		time.Sleep(time.Second)
		if sched.expireLeases(time.Now()); len(sched.state.Jobs.Get("000001").Attempts) != 0 {
			t.Error("the attempt is kept after the last lease of an earlier leader has expired")
		}
	})
}

// If the leader's lease has expired, a report with the token of a later term ends the leadership at once. While the
// lease is valid, there can't be a successor, so the token must be wrong. The leader then only rejects the report,
// because one faulty worker must not end the term for all other workers.
func TestLaterTermEndsExpiredLeadership(t *testing.T) {
	for _, leaseValid := range []bool{false, true} {
		t.Run(fmt.Sprintf("lease valid %v", leaseValid), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				sched := newTestScheduler(t, clustertest.Settings())
				resignations := 0
				sched.resign = func(leadership.Resignation) { resignations++ }
				sched.addReadyMachine(7, "cpu", "a", false)
				sched.addReadyMachine(8, "cpu", "a", false)
				if !leaseValid {
					sched.role.LeaseValidUntil = time.Now()
				}
				laterReport := cpuReport(7, 9, sched.tokens.Last+1)
				if got := sched.handleHeartbeat(laterReport); got.Accepted {
					t.Errorf("heartbeat with a later token: got %+v, want it rejected", got)
				}
				sched.handleCommandOutcome(commandOutcomeMessage{machine: 7, outcome: worker.Rejected, report: laterReport})
				if leading := sched.leaseValid(time.Now()); leading != leaseValid || resignations > 0 == leaseValid {
					t.Errorf("got leading %v after %d resignations, want leading %v", leading, resignations, leaseValid)
				}
				other := sched.handleHeartbeat(cpuReport(8, 10, sched.term))
				if other.Accepted != leaseValid {
					t.Errorf("heartbeat of another worker: got %+v, want accepted %v", other, leaseValid)
				}
			})
		})
	}
}

// A leader doesn't send a start command once its lease may have expired, because a successor may have acknowledged
// the cancellation of the job by then. Stop commands may be sent at any time.
func TestStartIsNotSentAfterLeaseExpiry(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sched := newTestScheduler(t, clustertest.Settings())
		sent := make(chan time.Time, 2)
		sched.deps.Workers = sendDeadlineRecorder{sent: sent}
		m := sched.addReadyMachine(7, "cpu", "a", false)
		a := sched.Reserve(sched.addAcceptedJob(clustertest.Service("000001", 1)), 0, m, time.Now())
		sched.startReserved([]*cluster.Attempt{a})
		if sendBy := <-sent; !sendBy.Equal(sched.role.LeaseValidUntil) {
			t.Errorf("start command: got send deadline %v, want the lease's end %v", sendBy, sched.role.LeaseValidUntil)
		}
		a.Reported = true
		sched.stopAttempt(a, 0)
		sched.sendStops(m)
		if sendBy := <-sent; !sendBy.IsZero() {
			t.Errorf("stop command: got send deadline %v, want none", sendBy)
		}
	})
}

// sendDeadlineRecorder records the send deadline of each batch of commands, and sends no commands.
type sendDeadlineRecorder struct{ sent chan<- time.Time }

func (r sendDeadlineRecorder) SendCommands(_ context.Context, _ string, _, _ uint64, _ []worker.Command, sendBy time.Time) (worker.CommandOutcome, *worker.Report) {
	r.sent <- sendBy
	return worker.NotSent, nil
}

// A leader whose lease may have expired must not accept or cancel a job, or report a state that isn't final.
// handleUser checks the lease and asks the user to retry. withValidity also replaces the responses of such a leader,
// so no scenario fails without the check in handleUser. This test covers that check alone.
func TestNoRequestIsDecidedAfterLeaseExpiry(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sched := newTestScheduler(t, clustertest.Settings())
		sched.addAcceptedJob(clustertest.Service("000001", 1))
		role := sched.role
		role.LeaseValidUntil = time.Now()
		sched.setRole(role)
		sched.discardPending()
		for op, id := range map[api.Op]string{api.OpSubmit: "000002", api.OpPoll: "000001", api.OpCancel: "000001"} {
			reply := make(chan api.Response, 1)
			sched.handleUser(userMessage{req: api.Request{Op: op, ID: id, Spec: clustertest.Service(id, 1)}, reply: reply})
			if got := <-reply; got.Code != api.CodeUnavailable || got.RetrySeconds == 0 {
				t.Errorf("request %v: got %+v, want code %v with a retry interval", op, got, api.CodeUnavailable)
			}
		}
		if n := sched.state.Jobs.Count(); n != 1 {
			t.Errorf("got %d jobs, want 1", n)
		}
		if n := sched.queue.Waiting(groupcommit.Interactive); n != 0 {
			t.Errorf("got %d records to write, want none", n)
		}
		if phase := sched.state.Jobs.Get("000001").Phase; phase != storage.PhaseOpen {
			t.Errorf("got phase %v, want %v", phase, storage.PhaseOpen)
		}
	})
}
