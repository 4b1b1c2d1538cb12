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

// The scenarios of cold_start_test.go show that faults are survived; these tests show each guard's part in that.

// openActivation is a cluster record with the activation gate in use.
var openActivation = upgrade.Record{Gates: map[upgrade.GateName]upgrade.GateState{upgrade.Activation: {Phase: upgrade.GateOpen, Used: true}}}

// newColdStartScheduler returns the scheduler of a leader of three controllers, a model at zero and a ready machine.
func newColdStartScheduler(t *testing.T) (*scheduler, *cluster.Job, *cluster.Machine) {
	t.Helper()
	s := clustertest.Settings()
	s.NodeName, s.Peers = "n0", []config.Peer{{Name: "n1"}, {Name: "n2"}}
	s.Tuning.Activation.Classes = []string{coldClass}
	d := newTestScheduler(t, s)
	d.setGates(openActivation)
	d.activation.resume(time.Now())
	reply := make(chan api.Response, 1)
	d.handleUser(userMessage{req: api.Request{Op: api.OpSubmit, ID: coldModel, Spec: modelSpec(coldModel)}, reply: reply})
	d.commitPending(nil)
	if a := <-reply; a.Code != api.CodeCreated {
		t.Fatalf("submission is answered %+v, want code %v", a, api.CodeCreated)
	}
	return d, d.state.Jobs.Get(coldModel), d.addReadyMachine(7, "cpu", "a", false)
}

// requestWake sends the scheduler a wake request, and returns the channel of its response.
func (d *scheduler) requestWake(generation uint64, wait time.Duration) (reply chan activation.WakeResponse) {
	reply = make(chan activation.WakeResponse, 1)
	d.handleWake(wakeMessage{activation.WakeRequest{Model: coldModel, Generation: generation, Wait: wait}, reply})
	return reply
}

// startModel starts the model on a machine, and returns its attempt.
func startModel(d *scheduler, j *cluster.Job, m *cluster.Machine) *cluster.Attempt {
	d.requestWake(d.activation.service(j).record.Generation, 0)
	d.commitPending(nil)
	d.placeRound(time.Now())
	d.commitPending(nil)
	a := j.Attempts[0]
	d.reportTasks(m, worker.TaskReport{ID: a.ID(), Attempt: a.Number, State: worker.Running})
	d.commitPending(nil)
	return a
}

// reportTasks applies a machine's next heartbeat with these tasks.
func (d *scheduler) reportTasks(m *cluster.Machine, tasks ...worker.TaskReport) {
	d.applyReport(m, &worker.Report{Machine: m.ID, Addr: m.Addr, Type: m.TypeName, Zone: m.Zone, Incarnation: 1, Seq: m.Seq + 1, Token: d.term, Tasks: tasks}, true, time.Now())
}

func TestColdStartGuards(t *testing.T) {
	for name, check := range map[string]func(t *testing.T, d *scheduler, j *cluster.Job, m *cluster.Machine){
		"wake is answered and placed only once durable": func(t *testing.T, d *scheduler, j *cluster.Job, _ *cluster.Machine) {
			reply := d.requestWake(0, 0)
			d.placeRound(time.Now())
			if len(reply) > 0 || len(j.Attempts) > 0 {
				t.Errorf("%d responses and %d attempts before the commit, want none", len(reply), len(j.Attempts))
			}
			d.commitPending(nil)
			d.placeRound(time.Now())
			if r := <-reply; r.State != activation.Starting || r.Generation != 1 || len(j.Attempts) != 1 {
				t.Errorf("response %+v and %d attempts after the commit, want generation 1 starting and one", r, len(j.Attempts))
			}
		},
		"failed commit leaves wake undecided": func(t *testing.T, d *scheduler, _ *cluster.Job, _ *cluster.Machine) {
			reply := d.requestWake(0, 0)
			d.commitPending(storage.ErrLeadershipLost)
			if r := <-reply; r.Verdict != activation.Undecided {
				t.Errorf("wake response %+v, want undecided", r)
			}
		},
		"expired leader lease decides nothing": func(t *testing.T, d *scheduler, j *cluster.Job, _ *cluster.Machine) {
			role := d.role
			role.LeaseValidUntil = time.Now().Add(time.Second)
			d.setRole(role)
			if r := d.withLeaseBound(activation.WakeResponse{Verdict: activation.Known, Holds: time.Minute}, time.Now()); r.Holds > time.Second {
				t.Errorf("response is valid for %v, want at most the second left of the lease", r.Holds)
			}
			time.Sleep(time.Second)
			if r := <-d.requestWake(0, 0); r.Verdict != activation.Undecided || d.activation.service(j).record.Generation != 0 {
				t.Errorf("wake response %+v with record %s, want undecided in generation 0", r, d.activation.service(j).record)
			}
			if r := d.withLeaseBound(activation.WakeResponse{Verdict: activation.Known, Holds: time.Minute}, time.Now()); r.Verdict != activation.Undecided {
				t.Errorf("response %+v after the lease, want undecided", r)
			}
			reply := make(chan activation.UsageResponse, 1)
			d.handleUsage(usageMessage{activation.UsageReport{Node: "n1", Serial: 1}, reply})
			if r := <-reply; r.Verdict != activation.Undecided {
				t.Errorf("usage response %+v, want undecided", r)
			}
		},
		"late start at zero is stopped": func(t *testing.T, d *scheduler, j *cluster.Job, m *cluster.Machine) {
			d.reportTasks(m, worker.TaskReport{ID: worker.TaskID{Job: coldModel, Task: 0}, Attempt: 3, State: worker.Running})
			if a := j.Attempts[0]; a == nil || !a.Stopping {
				t.Errorf("attempt %+v, want it stopping", a)
			}
		},
		"start timeout is durable before the stop": func(t *testing.T, d *scheduler, j *cluster.Job, _ *cluster.Machine) {
			d.requestWake(0, 0)
			d.commitPending(nil)
			d.placeRound(time.Now())
			d.commitPending(nil)
			a := j.Attempts[0]
			time.Sleep(d.settings.Tuning.Activation.Policy.StartTimeout + time.Second)
			d.activation.tick(time.Now())
			d.activation.tick(time.Now())
			if a.Stopping {
				t.Error("stopped before the timeout is durable")
			}
			d.commitPending(nil)
			if !a.Stopping {
				t.Error("not stopped once the timeout is durable")
			}
		},
		"stopping replica gets no requests": func(t *testing.T, d *scheduler, j *cluster.Job, m *cluster.Machine) {
			a := startModel(d, j, m)
			if r := <-d.requestWake(1, 0); !r.Ready() {
				t.Errorf("response %+v, want ready", r)
			}
			d.stopAttempt(a, 0)
			if r := <-d.requestWake(1, 0); r.Ready() {
				t.Errorf("response %+v while the replica is stopping, want not ready", r)
			}
		},
		"idle service counts only as gate use": func(t *testing.T, d *scheduler, j *cluster.Job, _ *cluster.Machine) {
			if d.state.Classes.Get(coldClass) != nil || d.state.Jobs.CurrentTasks(coldClass) != 0 || len(d.planner.WaitingByUrgency(time.Now())) > 0 || len(d.snapshotFleet(time.Now()).Desired) > 0 {
				t.Error("an idle service counts as an arrival, a task, demand or desired machines")
			}
			if d.activation.gateUseCount() != 1 {
				t.Errorf("%d uses of the gate, want 1", d.activation.gateUseCount())
			}
			d.handleCancel(userMessage{reply: make(chan api.Response, 1)}, j, time.Now())
			d.commitPending(nil)
			if d.activation.gateUseCount() != 0 || j.Record().Activation != nil {
				t.Errorf("%d uses of the gate and record %s after the cancellation, want none", d.activation.gateUseCount(), j.Record().Activation)
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				d, j, m := newColdStartScheduler(t)
				check(t, d, j, m)
			})
		})
	}
}

// A new leader stops an attempt whose activation record has no replica, and assumes that responses of earlier terms are
// still valid for a routing lease.
func TestNewLeaderReconcilesActivation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := clustertest.Settings()
		s.Tuning.Activation.Classes = []string{coldClass}
		d := newTestScheduler(t, s)
		d.activation.gate = openActivation.Gate(upgrade.Activation)
		spec := modelSpec(coldModel)
		if err := d.loadRecords([]storage.Record{
			newRecord(t, storage.JobKey(coldModel), storage.JobRecord{Tasks: 1, Spec: &spec, Activation: []byte(`{"state":"failed","generation":2}`)}),
			newRecord(t, storage.PageKey(coldModel, 0), storage.PageRecord{Attempts: []storage.AttemptRecord{{Task: 0, Number: 5, Machine: 1, Incarnation: 1}}}),
		}); err != nil {
			t.Fatal(err)
		}
		j := d.state.Jobs.Get(coldModel)
		if j.Attempts[0].Stopping {
			t.Error("stopped before the term's actors run")
		}
		ctx, cancel := context.WithCancel(t.Context())
		d.background, _ = backgroundCalls(ctx)
		go func() { _ = d.run(ctx) }()
		time.Sleep(clock.Scale(d.settings.HeartbeatInterval, tickPerHeartbeat/2)) // before the first tick
		cancel()
		synctest.Wait()
		if !j.Attempts[0].Stopping {
			t.Error("an attempt without a replica in its record isn't stopped")
		}
		if until := d.activation.service(j).routedUntil; until.Sub(d.termStarted) < d.settings.RoutingLease() {
			t.Errorf("routed until %v after the term's start, want at least %v", until.Sub(d.termStarted), d.settings.RoutingLease())
		}
	})
}

// A service scales to zero only with the gate in use: while the gate isn't open it always runs, and the first one waits until
// the use is durable.
func TestFirstServiceAtZeroWaitsForGate(t *testing.T) {
	for phase, wantAccepted := range map[upgrade.GatePhase]bool{"": true, upgrade.GateOpen: false, upgrade.GateWithdrawing: true} {
		t.Run(fmt.Sprintf("phase %q", phase), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := clustertest.Settings()
				s.Tuning.Activation.Classes = []string{coldClass}
				d := newTestScheduler(t, s)
				d.gates = upgrade.Record{Gates: map[upgrade.GateName]upgrade.GateState{upgrade.Activation: {Phase: phase}}}
				d.handleUser(userMessage{req: api.Request{Op: api.OpSubmit, ID: coldModel, Spec: modelSpec(coldModel)}, reply: make(chan api.Response, 1)})
				j := d.state.Jobs.Get(coldModel)
				if accepted := j != nil; accepted != wantAccepted || accepted && j.ScalesToZero() {
					t.Errorf("gate %q: job %+v, want accepted %v and never at zero", phase, j, wantAccepted)
				}
				if phase == upgrade.GateOpen && len(d.gateWaiters) != 1 {
					t.Errorf("%d submissions wait for the gate, want 1", len(d.gateWaiters))
				}
			})
		})
	}
}

// Demand isn't forwarded to a leader of an earlier version, and a response that arrives after its validity is discarded.
func TestFollowerForwardsDemand(t *testing.T) {
	runColdStart(t, func(sim *simulation) {
		leader := sim.awaitLeader()
		follower := sim.followers(leader)[0]
		req := activation.WakeRequest{Model: coldModel, Generation: 7}
		if r := follower.node.Wake(sim.t.Context(), req); r.Verdict != activation.Known {
			t.Errorf("response %+v, want verdict known", r)
		}
		leader.responseDelay.Store(int64(2 * sim.settings.WakeInterval()))
		if r := follower.node.Wake(sim.t.Context(), req); r.Verdict != activation.Undecided {
			t.Errorf("late response %+v, want undecided", r)
		}
		leader.responseDelay.Store(0)
		sim.withLock(func() {
			for name, status := range follower.statuses {
				status.Version = peer.VersionTokenRanges
				follower.statuses[name] = status
			}
		})
		if r := follower.node.Wake(sim.t.Context(), req); r.Verdict != activation.Undecided {
			t.Errorf("response of an earlier version %+v, want undecided", r)
		}
	})
}
