package scheduler

import (
	"context"
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

// What guards a cold start, each guard alone: the scenarios show that troubles are survived, these tests
// that the guard does its part.

// openActivation is the gate in use.
var openActivation = upgrade.Record{Gates: map[upgrade.GateName]upgrade.GateState{upgrade.Activation: {Phase: upgrade.GateOpen, Used: true}}}

// newColdStartScheduler leads three controllers, with a model at zero beside a machine.
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
		t.Fatalf("answered %+v", a)
	}
	return d, d.state.Jobs.Get(coldModel), d.addReadyMachine(7, "cpu", "a", false)
}

// requestWake sends the scheduler a wake request, and returns the channel of its response.
func (d *scheduler) requestWake(generation uint64, wait time.Duration) (reply chan activation.WakeResponse) {
	reply = make(chan activation.WakeResponse, 1)
	d.handleWake(wakeMessage{activation.WakeRequest{Model: coldModel, Generation: generation, Wait: wait}, reply})
	return reply
}

// startModel brings a model up on a machine.
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

func (d *scheduler) reportTasks(m *cluster.Machine, tasks ...worker.TaskReport) {
	d.applyReport(m, &worker.Report{Machine: m.ID, Addr: m.Addr, Type: m.TypeName, Zone: m.Zone, Incarnation: 1, Seq: m.Seq + 1, Token: d.term, Tasks: tasks}, true, time.Now())
}

func TestColdStartGuards(t *testing.T) {
	for name, story := range map[string]func(t *testing.T, d *scheduler, j *cluster.Job, m *cluster.Machine){
		"nothing is told or placed before the wake is durable": func(t *testing.T, d *scheduler, j *cluster.Job, _ *cluster.Machine) {
			reply := d.requestWake(0, 0)
			d.placeRound(time.Now())
			if len(reply) > 0 || len(j.Attempts) > 0 {
				t.Errorf("%d told, %d placed", len(reply), len(j.Attempts))
			}
			d.commitPending(nil)
			d.placeRound(time.Now())
			if r := <-reply; r.State != activation.Starting || r.Generation != 1 || len(j.Attempts) != 1 {
				t.Errorf("%+v, %d placed", r, len(j.Attempts))
			}
		},
		"a commit that fails tells nobody that it starts": func(t *testing.T, d *scheduler, _ *cluster.Job, _ *cluster.Machine) {
			reply := d.requestWake(0, 0)
			d.commitPending(storage.ErrLeadershipLost)
			if r := <-reply; r.Verdict != activation.Undecided {
				t.Errorf("%+v", r)
			}
		},
		"who doesn't lead for certain decides nothing": func(t *testing.T, d *scheduler, j *cluster.Job, _ *cluster.Machine) {
			certain := d.role
			certain.LeaseValidUntil = time.Now().Add(time.Second)
			d.setRole(certain)
			if r := d.withLeaseBound(activation.WakeResponse{Verdict: activation.Known, Holds: time.Minute}, time.Now()); r.Holds > time.Second {
				t.Errorf("holds for %v", r.Holds)
			}
			time.Sleep(time.Second)
			if r := <-d.requestWake(0, 0); r.Verdict != activation.Undecided || d.activation.service(j).record.Generation != 0 {
				t.Errorf("%+v, %s", r, d.activation.service(j).record)
			}
			if r := d.withLeaseBound(activation.WakeResponse{Verdict: activation.Known, Holds: time.Minute}, time.Now()); r.Verdict != activation.Undecided {
				t.Errorf("told after the lead may have ended: %+v", r)
			}
			reply := make(chan activation.UsageResponse, 1)
			d.handleUsage(usageMessage{activation.UsageReport{Node: "n1", Serial: 1}, reply})
			if r := <-reply; r.Verdict != activation.Undecided {
				t.Errorf("%+v", r)
			}
		},
		"a late start of a model at zero is stopped": func(t *testing.T, d *scheduler, j *cluster.Job, m *cluster.Machine) {
			d.reportTasks(m, worker.TaskReport{ID: worker.TaskID{Job: coldModel, Task: 0}, Attempt: 3, State: worker.Running})
			if a := j.Attempts[0]; a == nil || !a.Stopping {
				t.Errorf("%+v", a)
			}
		},
		"an overrun is durable before the stop": func(t *testing.T, d *scheduler, j *cluster.Job, _ *cluster.Machine) {
			d.requestWake(0, 0)
			d.commitPending(nil)
			d.placeRound(time.Now())
			d.commitPending(nil)
			a := j.Attempts[0]
			time.Sleep(d.settings.Tuning.Activation.Policy.StartTimeout + time.Second)
			d.activation.tick(time.Now())
			d.activation.tick(time.Now())
			if a.Stopping {
				t.Error("stopped before that is durable")
			}
			d.commitPending(nil)
			if !a.Stopping {
				t.Error("not stopped")
			}
		},
		"what is to be stopped isn't routed to": func(t *testing.T, d *scheduler, j *cluster.Job, m *cluster.Machine) {
			a := startModel(d, j, m)
			if r := <-d.requestWake(1, 0); !r.Ready() {
				t.Errorf("%+v", r)
			}
			d.stopAttempt(a, 0)
			if r := <-d.requestWake(1, 0); r.Ready() {
				t.Errorf("routed to what is being stopped: %+v", r)
			}
		},
		"idle services are no arrivals, and a cancelled one depends on no gate": func(t *testing.T, d *scheduler, j *cluster.Job, _ *cluster.Machine) {
			if d.state.Classes.Get(coldClass) != nil || d.state.Jobs.CurrentTasks(coldClass) != 0 || len(d.planner.WaitingByUrgency(time.Now())) > 0 || len(d.snapshotFleet(time.Now()).Desired) > 0 {
				t.Error("room is kept or wanted")
			}
			if d.activation.uses() != 1 {
				t.Errorf("%d uses", d.activation.uses())
			}
			d.cancel(userMessage{reply: make(chan api.Response, 1)}, j, time.Now())
			d.commitPending(nil)
			if d.activation.uses() != 0 || j.Record().Activation != nil {
				t.Errorf("%d uses", d.activation.uses())
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				d, j, m := newColdStartScheduler(t)
				story(t, d, j, m)
			})
		})
	}
}

// What a new leader finds: an attempt beside a record that has no replica is stopped, and what the term
// before has answered may still be gone by.
func TestNewLeaderReconcilesActivation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := clustertest.Settings()
		s.Tuning.Activation.Classes = []string{coldClass}
		d := newTestScheduler(t, s)
		d.activation.gate = openActivation.Gate(upgrade.Activation)
		spec := modelSpec(coldModel)
		if err := d.load([]storage.Record{
			newRecord(t, storage.JobKey(coldModel), storage.JobRecord{Tasks: 1, Spec: &spec, Activation: []byte(`{"state":"failed","generation":2}`)}),
			newRecord(t, storage.PageKey(coldModel, 0), storage.PageRecord{Attempts: []storage.AttemptRecord{{Task: 0, Number: 5, Machine: 1, Incarnation: 1}}}),
		}); err != nil {
			t.Fatal(err)
		}
		j := d.state.Jobs.Get(coldModel)
		if j.Attempts[0].Stopping {
			t.Error("stopped before the term's actors run")
		}
		ctx, end := context.WithCancel(context.Background())
		d.background, _ = backgroundCalls(ctx)
		go func() { _ = d.run(ctx) }()
		time.Sleep(clock.Scale(d.settings.HeartbeatInterval, tickPerHeartbeat/2)) // before the clock's first look
		end()
		synctest.Wait()
		if !j.Attempts[0].Stopping {
			t.Error("not stopped")
		}
		if till := d.activation.service(j).routedUntil; till.Sub(d.termStarted) < d.settings.RoutingLease() {
			t.Errorf("routed till %v", till)
		}
	})
}

// A service is at zero only behind the gate: where that is closed it runs always, and the first waits for
// the gate's use to be durable.
func TestFirstServiceAtZeroWaitsForGate(t *testing.T) {
	for phase, want := range map[upgrade.GatePhase]struct{ accepted, managed bool }{"": {true, false}, upgrade.GateOpen: {false, false}, upgrade.GateWithdrawing: {true, false}} {
		synctest.Test(t, func(t *testing.T) {
			s := clustertest.Settings()
			s.Tuning.Activation.Classes = []string{coldClass}
			d := newTestScheduler(t, s)
			d.gates = upgrade.Record{Gates: map[upgrade.GateName]upgrade.GateState{upgrade.Activation: {Phase: phase}}}
			d.handleUser(userMessage{req: api.Request{Op: api.OpSubmit, ID: coldModel, Spec: modelSpec(coldModel)}, reply: make(chan api.Response, 1)})
			j := d.state.Jobs.Get(coldModel)
			if accepted := j != nil; accepted != want.accepted || accepted && j.ScalesToZero() != want.managed {
				t.Errorf("gate %q: %+v", phase, j)
			}
			if phase == upgrade.GateOpen && len(d.gateWaiters) != 1 {
				t.Error("it doesn't wait")
			}
		})
	}
}

// A leader of an earlier version is sent no demand, and an answer that comes later than it holds is void.
func TestFollowerForwardsDemand(t *testing.T) {
	runColdStart(t, func(sim *simulation) {
		lead := sim.awaitLeader()
		follower := sim.followers(lead)[0]
		req := activation.WakeRequest{Model: coldModel, Generation: 7}
		if r := follower.node.Wake(sim.t.Context(), req); r.Verdict != activation.Known {
			t.Errorf("%+v", r)
		}
		lead.responseDelay.Store(int64(2 * sim.settings.WakeInterval()))
		if r := follower.node.Wake(sim.t.Context(), req); r.Verdict != activation.Undecided {
			t.Errorf("passed on late: %+v", r)
		}
		lead.responseDelay.Store(0)
		sim.withLock(func() {
			for name, status := range follower.statuses {
				status.Version = peer.VersionTokenRanges
				follower.statuses[name] = status
			}
		})
		if r := follower.node.Wake(sim.t.Context(), req); r.Verdict != activation.Undecided {
			t.Errorf("sent to an earlier version: %+v", r)
		}
	})
}
