package scheduler

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"sagevale/internal/activation"
	"sagevale/internal/activator"
	"sagevale/internal/cluster/clustertest"
	"sagevale/internal/config"
	"sagevale/internal/storage"
	"sagevale/internal/storage/storagetest"
	"sagevale/internal/upgrade"
	"sagevale/internal/worker"
)

const (
	coldModel = "000002"         // the job that cold starts are about
	coldClass = "model"          // its class, which scales to zero
	coldIdle  = 15 * time.Second // time without requests before it scales to zero
	coldHold  = 10 * time.Second // time for which a request waits for it
)

func (sim *simulation) noteWakeRequest(req activation.WakeRequest) {
	sim.withLock(func() { sim.wakeRequests = append(sim.wakeRequests, req) })
}

func (sim *simulation) noteUsage(report activation.UsageReport) {
	sim.withLock(func() { sim.usageReports = append(sim.usageReports, report) })
}

// replayPeerMessages brings all demand and usage that was ever sent to all nodes again.
func (sim *simulation) replayPeerMessages() {
	var wakes []activation.WakeRequest
	var usages []activation.UsageReport
	sim.withLock(func() { wakes, usages = append(wakes, sim.wakeRequests...), append(usages, sim.usageReports...) })
	for _, n := range sim.nodes {
		live := n.live.Load()
		if live == nil {
			continue
		}
		for _, req := range wakes {
			req.Wait = 0
			live.HandleForwardedWake(sim.t.Context(), req)
		}
		for _, report := range usages {
			live.HandleForwardedUsage(sim.t.Context(), report)
		}
	}
}

func (sim *simulation) startsOf(id string) (out []startRecord) {
	sim.withLock(func() { out = append(out, sim.startsByJob[id]...) })
	return out
}

// modelSpec is a service that is at zero until there is demand.
func modelSpec(id string) storage.Spec {
	s := clustertest.Service(id, 1)
	s.Class = coldClass
	return s
}

// runColdStart runs a scenario with a model at zero beside a service that runs.
func runColdStart(t *testing.T, story func(sim *simulation)) {
	t.Helper()
	runColdStartInZones(t, threeControllers, story)
}

// runColdStartInZones does so with controllers in these zones.
func runColdStartInZones(t *testing.T, controllers []string, story func(sim *simulation)) {
	t.Helper()
	tune := func(tuning *config.Tuning) {
		tuning.Activation.Classes = []string{coldClass}
		tuning.Activation.Policy.IdleWindow = coldIdle
		tuning.Activation.Hold = coldHold
	}
	runSimulationInZones(t, controllers, func(*config.Settings) {}, tune, func(sim *simulation) {
		sim.awaitActive(upgrade.Current, time.Minute)
		sim.submit(clustertest.Service("000001", 2))
		sim.awaitRunning("000001", 2)
		sim.submit(modelSpec(coldModel))
		time.Sleep(2 * sim.settings.HeartbeatInterval)
		if n := len(sim.startsOf(coldModel)); n != 0 {
			t.Errorf("started %d times without demand", n)
		}
		story(sim)
	})
}

// modelClient asks for the model at one node until it answers, and again.
type modelClient struct {
	id             int
	node           *fakeNode
	ready          atomic.Bool // what the latest answer said
	paused         atomic.Bool // it asks for nothing
	lastGeneration uint64      // the latest generation that it was told of
}

// startClients has clients of all nodes ask for the model within a millisecond, and go on.
func (sim *simulation) startClients() []*modelClient {
	var clients []*modelClient
	for i, n := range sim.nodes {
		c := &modelClient{id: i, node: n}
		clients = append(clients, c)
		go func() {
			time.Sleep(time.Duration(i) * 300 * time.Microsecond)
			for !sim.ended.Load() {
				if !c.paused.Load() {
					c.acquire(sim)
				}
				time.Sleep(100 * time.Millisecond)
			}
		}()
	}
	return clients
}

// clientPatience is how long a client waits for an answer.
const clientPatience = 20 * time.Second

func (c *modelClient) acquire(sim *simulation) {
	ctx, cancel := context.WithTimeout(context.Background(), clientPatience)
	defer cancel()
	tracker := c.node.tracker.Load()
	called := time.Now()
	decision := tracker.Acquire(ctx, coldModel)
	c.ready.Store(decision.Outcome == activator.Granted)
	if decision.Outcome == activator.Granted {
		sim.serveRequest(c.node, decision.Response.Machine)
		sim.noteServed(c.id, called, decision.Response.Generation)
		tracker.Release(coldModel)
	}
	if decision.Response.Verdict != activation.Known || decision.Response.Reason == runsAlways {
		return
	}
	if decision.Response.Generation < c.lastGeneration {
		sim.t.Errorf("%s tells generation %d after %d", c.node.name, decision.Response.Generation, c.lastGeneration)
	}
	c.lastGeneration = decision.Response.Generation
}

// serveRequest is a request to the model, which takes a moment. Its replica must be there all the while, but
// for troubles of machines and models.
func (sim *simulation) serveRequest(n *fakeNode, machine string) {
	for range 3 {
		served := false
		for _, wk := range sim.runningTasks(coldModel) {
			served = served || fmt.Sprint(wk.id) == machine
		}
		if !served && !sim.requestsMayFail.Load() && !sim.ended.Load() {
			sim.t.Errorf("%s passes a request on to machine %s, where the model isn't", n.name, machine)
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// awaitReady waits until all clients are told that the model answers, and it does.
func (sim *simulation) awaitReady(clients []*modelClient) {
	sim.t.Helper()
	sim.eventually("all nodes pass requests on", 5*time.Minute, func() bool {
		for _, c := range clients {
			if !c.ready.Load() {
				return false
			}
		}
		return len(sim.runningTasks(coldModel)) == 1
	})
}

func (sim *simulation) followers(lead *fakeNode) []*fakeNode {
	var out []*fakeNode
	for _, n := range sim.nodes {
		if n != lead {
			out = append(out, n)
		}
	}
	return out
}

// completePulls has all machines fetch images at once, and those that are awaited arrive.
func (sim *simulation) completePulls() {
	sim.withLock(func() {
		for _, wk := range sim.workers {
			wk.stuckPulling.Store(false)
			for _, t := range wk.tasks {
				if t.state == worker.Pulling {
					t.state = worker.Running
				}
			}
		}
	})
}

// setPaused has the clients ask for nothing, or again.
func setPaused(clients []*modelClient, rests bool) {
	for _, c := range clients {
		c.paused.Store(rests)
		c.ready.Store(false)
	}
}

func (sim *simulation) awaitZero() {
	sim.t.Helper()
	sim.eventually("the model is at zero", 3*time.Minute, func() bool { return len(sim.runningTasks(coldModel)) == 0 })
}

// modelStatus is the model's, as operators read it.
func (sim *simulation) modelStatus() ServiceStatus {
	sim.t.Helper()
	status, err := ReadActivationStatus(sim.t.Context(), &storagetest.Client{Service: sim.state}, &sim.settings)
	if err != nil || !status.Gate.Used || len(status.Services) != 1 || status.Services[0].ID != coldModel {
		sim.t.Fatalf("status %+v %v", status, err)
	}
	return status.Services[0]
}
