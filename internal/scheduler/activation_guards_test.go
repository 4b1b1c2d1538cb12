package scheduler

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"sagevale/internal/activation"
	"sagevale/internal/api"
	"sagevale/internal/clock"
	"sagevale/internal/cluster"
	"sagevale/internal/cluster/clustertest"
	"sagevale/internal/config"
	"sagevale/internal/peer"
	"sagevale/internal/storage"
	"sagevale/internal/upgrade"
	"sagevale/internal/worker"
)

// The scenarios of cold_start_test.go check that starting a model from zero replicas tolerates faults. The tests in this file
// check the individual rules in the scheduler that achieve this.

// activationGateInUse is a cluster record in which the activation gate is open and marked as used. This feature gate allows
// services to scale to zero.
var activationGateInUse = upgrade.Record{Gates: map[upgrade.GateName]upgrade.GateState{upgrade.Activation: {Phase: upgrade.GateOpen, Used: true}}}

// newColdStartScheduler returns the scheduler of a leader with two peers, the job of a model that is scaled to zero, and a
// ready machine.
func newColdStartScheduler(t *testing.T) (*scheduler, *cluster.Job, *cluster.Machine) {
	t.Helper()
	s := clustertest.Settings()
	s.NodeName, s.Peers = "n0", []config.Peer{{Name: "n1"}, {Name: "n2"}}
	s.Tuning.Activation.Classes = []string{modelClass}
	sched := newTestScheduler(t, s)
	sched.setGates(activationGateInUse)
	sched.activation.resume(time.Now())
	reply := make(chan api.Response, 1)
	sched.handleUser(userMessage{req: api.Request{Op: api.OpSubmit, ID: modelID, Spec: modelSpec(modelID)}, reply: reply})
	sched.commitPending(nil)
	if response := <-reply; response.Code != api.CodeCreated {
		t.Fatalf("submission: got %+v, want code %v", response, api.CodeCreated)
	}
	return sched, sched.state.Jobs.Get(modelID), sched.addReadyMachine(7, "cpu", "a", false)
}

// requestWake passes a wake request, which reports demand for the model, to the scheduler. It returns the channel for the
// response.
func (s *scheduler) requestWake(generation uint64, wait time.Duration) (reply chan activation.WakeResponse) {
	reply = make(chan activation.WakeResponse, 1)
	s.handleWake(wakeMessage{activation.WakeRequest{Model: modelID, Generation: generation, Wait: wait}, reply})
	return reply
}

// startModel starts the model on a machine, and returns its attempt.
func startModel(sched *scheduler, j *cluster.Job, m *cluster.Machine) *cluster.Attempt {
	sched.requestWake(sched.activation.service(j).record.Generation, 0)
	sched.commitPending(nil)
	sched.placeRound(time.Now())
	sched.commitPending(nil)
	a := j.Attempts[0]
	sched.reportTasks(m, worker.TaskReport{ID: a.ID(), Attempt: a.Number, State: worker.Running})
	sched.commitPending(nil)
	return a
}

// reportTasks applies the next heartbeat of a machine, which reports the given tasks.
func (s *scheduler) reportTasks(m *cluster.Machine, tasks ...worker.TaskReport) {
	s.applyReport(m, &worker.Report{Machine: m.ID, Addr: m.Addr, Type: m.TypeName, Zone: m.Zone, Incarnation: 1, Seq: m.Seq + 1, Token: s.term, Tasks: tasks}, true, time.Now())
}

func TestColdStartGuards(t *testing.T) {
	for name, check := range map[string]func(t *testing.T, sched *scheduler, j *cluster.Job, m *cluster.Machine){
		"wake is answered and placed only once durable": func(t *testing.T, sched *scheduler, j *cluster.Job, _ *cluster.Machine) {
			reply := sched.requestWake(0, 0)
			sched.placeRound(time.Now())
			if len(reply) > 0 || len(j.Attempts) > 0 {
				t.Errorf("%d responses and %d attempts before the commit, want none", len(reply), len(j.Attempts))
			}
			sched.commitPending(nil)
			sched.placeRound(time.Now())
			if r := <-reply; r.State != activation.Starting || r.Generation != 1 || len(j.Attempts) != 1 {
				t.Errorf("response %+v and %d attempts after the commit, want generation 1 starting and one attempt", r, len(j.Attempts))
			}
		},
		"failed commit leaves wake undecided": func(t *testing.T, sched *scheduler, _ *cluster.Job, _ *cluster.Machine) {
			reply := sched.requestWake(0, 0)
			sched.commitPending(storage.ErrLeadershipLost)
			if r := <-reply; r.Verdict != activation.VerdictUndecided {
				t.Errorf("wake response %+v, want undecided", r)
			}
		},
		"expired leader lease decides nothing": func(t *testing.T, sched *scheduler, j *cluster.Job, _ *cluster.Machine) {
			role := sched.role
			role.LeaseValidUntil = time.Now().Add(time.Second)
			sched.setRole(role)
			if r := sched.withLeaseBound(activation.WakeResponse{Verdict: activation.VerdictKnown, Holds: time.Minute}, time.Now()); r.Holds > time.Second {
				t.Errorf("response is valid for %v, want at most the remaining second of the lease", r.Holds)
			}
			time.Sleep(time.Second)
			if r := <-sched.requestWake(0, 0); r.Verdict != activation.VerdictUndecided || sched.activation.service(j).record.Generation != 0 {
				t.Errorf("wake response %+v with record %s, want undecided in generation 0", r, sched.activation.service(j).record)
			}
			if r := sched.withLeaseBound(activation.WakeResponse{Verdict: activation.VerdictKnown, Holds: time.Minute}, time.Now()); r.Verdict != activation.VerdictUndecided {
				t.Errorf("response %+v after the end of the lease, want undecided", r)
			}
			reply := make(chan activation.UsageResponse, 1)
			sched.handleUsage(usageMessage{activation.UsageReport{Node: "n1", Serial: 1}, reply})
			if r := <-reply; r.Verdict != activation.VerdictUndecided {
				t.Errorf("usage response %+v, want undecided", r)
			}
		},
		"late start at zero is stopped": func(t *testing.T, sched *scheduler, j *cluster.Job, m *cluster.Machine) {
			sched.reportTasks(m, worker.TaskReport{ID: worker.TaskID{Job: modelID, Task: 0}, Attempt: 3, State: worker.Running})
			if a := j.Attempts[0]; a == nil || !a.Stopping {
				t.Errorf("attempt %+v, want it stopping", a)
			}
		},
		"start timeout is durable before the stop": func(t *testing.T, sched *scheduler, j *cluster.Job, _ *cluster.Machine) {
			sched.requestWake(0, 0)
			sched.commitPending(nil)
			sched.placeRound(time.Now())
			sched.commitPending(nil)
			a := j.Attempts[0]
			time.Sleep(sched.settings.Tuning.Activation.Policy.StartTimeout + time.Second)
			sched.activation.tick(time.Now())
			sched.activation.tick(time.Now())
			if a.Stopping {
				t.Error("stopped before the timeout is durable")
			}
			sched.commitPending(nil)
			if !a.Stopping {
				t.Error("not stopped once the timeout is durable")
			}
		},
		"stopping replica gets no requests": func(t *testing.T, sched *scheduler, j *cluster.Job, m *cluster.Machine) {
			a := startModel(sched, j, m)
			if r := <-sched.requestWake(1, 0); !r.Ready() {
				t.Errorf("response %+v, want ready", r)
			}
			sched.stopAttempt(a, 0)
			if r := <-sched.requestWake(1, 0); r.Ready() {
				t.Errorf("response %+v while the replica is stopping, want not ready", r)
			}
		},
		"idle service counts only as gate use": func(t *testing.T, sched *scheduler, j *cluster.Job, _ *cluster.Machine) {
			if sched.state.Classes.Get(modelClass) != nil || sched.state.Jobs.CurrentTasks(modelClass) != 0 || len(sched.planner.WaitingByUrgency(time.Now())) > 0 || len(sched.snapshotFleet(time.Now()).Desired) > 0 {
				t.Error("an idle service counts as an arrival, a task, demand or desired machines")
			}
			if sched.activation.gateUseCount() != 1 {
				t.Errorf("%d uses of the gate, want 1", sched.activation.gateUseCount())
			}
			sched.handleCancel(userMessage{reply: make(chan api.Response, 1)}, j, time.Now())
			sched.commitPending(nil)
			if sched.activation.gateUseCount() != 0 || j.Record().Activation != nil {
				t.Errorf("%d uses of the gate and record %s after the cancellation, want none", sched.activation.gateUseCount(), j.Record().Activation)
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				sched, j, m := newColdStartScheduler(t)
				check(t, sched, j, m)
			})
		})
	}
}

// A new leader stops an attempt of a service if the service's lifecycle record says that there is no replica.
// Controllers may forward requests for one routing lease based on one response of a leader. The new leader therefore assumes
// that responses of earlier leaders remain valid until one routing lease after the start of its own term.
func TestNewLeaderReconcilesActivation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := clustertest.Settings()
		s.Tuning.Activation.Classes = []string{modelClass}
		sched := newTestScheduler(t, s)
		sched.activation.gate = activationGateInUse.Gate(upgrade.Activation)
		spec := modelSpec(modelID)
		if err := sched.loadRecords([]storage.Record{
			newRecord(t, storage.JobKey(modelID), storage.JobRecord{Tasks: 1, Spec: &spec, Activation: []byte(`{"state":"failed","generation":2}`)}),
			newRecord(t, storage.TaskPageKey(modelID, 0), storage.TaskPageRecord{Attempts: []storage.AttemptRecord{{Task: 0, Number: 5, Machine: 1, Incarnation: 1}}}),
		}); err != nil {
			t.Fatal(err)
		}
		j := sched.state.Jobs.Get(modelID)
		if j.Attempts[0].Stopping {
			t.Error("the attempt is stopped before the term's actors run")
		}
		ctx, cancel := context.WithCancel(t.Context())
		sched.background, _ = backgroundCalls(ctx)
		go func() { _ = sched.run(ctx) }()
		time.Sleep(clock.Scale(sched.settings.HeartbeatInterval, tickPerHeartbeat/2)) // before the first tick
		cancel()
		synctest.Wait()
		if !j.Attempts[0].Stopping {
			t.Error("an attempt whose lifecycle record has no replica isn't stopped")
		}
		if until := sched.activation.service(j).routedUntil; until.Sub(sched.termStarted) < sched.settings.RoutingLease() {
			t.Errorf("routed until %v after the term's start, want at least %v", until.Sub(sched.termStarted), sched.settings.RoutingLease())
		}
	})
}

// A service scales to zero only if the activation gate is marked as used. If the gate isn't open, the service always runs.
// If the gate is open but not marked yet, the first submission of such a service waits until the mark is durable.
func TestFirstServiceAtZeroWaitsForGate(t *testing.T) {
	for phase, wantAccepted := range map[upgrade.GatePhase]bool{"": true, upgrade.GateOpen: false, upgrade.GateWithdrawing: true} {
		t.Run(fmt.Sprintf("phase %q", phase), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := clustertest.Settings()
				s.Tuning.Activation.Classes = []string{modelClass}
				sched := newTestScheduler(t, s)
				sched.gates = upgrade.Record{Gates: map[upgrade.GateName]upgrade.GateState{upgrade.Activation: {Phase: phase}}}
				sched.handleUser(userMessage{req: api.Request{Op: api.OpSubmit, ID: modelID, Spec: modelSpec(modelID)}, reply: make(chan api.Response, 1)})
				j := sched.state.Jobs.Get(modelID)
				if accepted := j != nil; accepted != wantAccepted || accepted && j.ScalesToZero() {
					t.Errorf("gate %q: job %+v, want accepted %v and no scaling to zero", phase, j, wantAccepted)
				}
				if phase == upgrade.GateOpen && len(sched.gateWaiters) != 1 {
					t.Errorf("%d submissions wait for the gate, want 1", len(sched.gateWaiters))
				}
			})
		})
	}
}

// A follower doesn't forward wake requests to a leader whose version doesn't support them. The follower discards a response
// that is no longer valid when it arrives.
func TestFollowerForwardsDemand(t *testing.T) {
	runColdStart(t, func(sim *simulation) {
		leader := sim.awaitLeader()
		follower := sim.followers(leader)[0]
		req := activation.WakeRequest{Model: modelID, Generation: 7}
		if r := follower.node.Wake(sim.t.Context(), req); r.Verdict != activation.VerdictKnown {
			t.Errorf("response %+v, want verdict known", r)
		}
		leader.responseDelay.Store(int64(2 * sim.settings.WakeInterval()))
		if r := follower.node.Wake(sim.t.Context(), req); r.Verdict != activation.VerdictUndecided {
			t.Errorf("late response %+v, want undecided", r)
		}
		leader.responseDelay.Store(0)
		sim.withLock(func() {
			for name, status := range follower.statuses {
				status.Version = peer.VersionTokenRanges
				follower.statuses[name] = status
			}
		})
		if r := follower.node.Wake(sim.t.Context(), req); r.Verdict != activation.VerdictUndecided {
			t.Errorf("response with a leader of an earlier version %+v, want undecided", r)
		}
	})
}
