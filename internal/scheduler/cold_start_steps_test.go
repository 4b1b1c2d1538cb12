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
	modelID          = "000002"         // job ID of the model that scales to zero
	modelClass       = "model"          // class of the model's job; services of this class scale to zero
	modelIdleWindow  = 15 * time.Second // time without requests after which the model scales to zero
	modelHoldTimeout = 10 * time.Second // longest time for which a request waits for the model to start
)

// recordWakeRequest records a wake request that one controller has sent to another.
func (sim *simulation) recordWakeRequest(req activation.WakeRequest) {
	sim.withLock(func() { sim.wakeRequests = append(sim.wakeRequests, req) })
}

// recordUsageReport records a usage report that one controller has sent to another.
func (sim *simulation) recordUsageReport(report activation.UsageReport) {
	sim.withLock(func() { sim.usageReports = append(sim.usageReports, report) })
}

// replayPeerMessages delivers every recorded wake request and usage report to all nodes again.
func (sim *simulation) replayPeerMessages() {
	var wakes []activation.WakeRequest
	var usages []activation.UsageReport
	sim.withLock(func() { wakes, usages = append(wakes, sim.wakeRequests...), append(usages, sim.usageReports...) })
	for _, n := range sim.nodes {
		live := n.runningProcess.Load()
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

// startsOf returns the start commands that workers have accepted for tasks of a job.
func (sim *simulation) startsOf(id string) (starts []startRecord) {
	sim.withLock(func() { starts = append(starts, sim.startsByJob[id]...) })
	return starts
}

// modelSpec returns the specification of a service that has no replica until there is demand.
func modelSpec(id string) storage.Spec {
	s := clustertest.Service(id, 1)
	s.Class = modelClass
	return s
}

// runColdStart runs a scenario with a model that is scaled to zero and another service that is running.
func runColdStart(t *testing.T, scenario func(sim *simulation)) {
	t.Helper()
	runColdStartInZones(t, threeControllers, scenario)
}

// runColdStartInZones is runColdStart with one controller in each of the given zones.
func runColdStartInZones(t *testing.T, zones []string, scenario func(sim *simulation)) {
	t.Helper()
	tune := func(tuning *config.Tuning) {
		tuning.Activation.Classes = []string{modelClass}
		tuning.Activation.Policy.IdleWindow = modelIdleWindow
		tuning.Activation.HoldTimeout = modelHoldTimeout
	}
	runSimulationInZones(t, zones, func(*config.Settings) {}, tune, func(sim *simulation) {
		sim.awaitActive(upgrade.Current, time.Minute)
		sim.submit(clustertest.Service("000001", 2))
		sim.awaitRunning("000001", 2)
		sim.submit(modelSpec(modelID))
		time.Sleep(2 * sim.settings.HeartbeatInterval)
		if n := len(sim.startsOf(modelID)); n != 0 {
			t.Errorf("the model started %d times without demand, want never", n)
		}
		scenario(sim)
	})
}

// modelClient repeatedly sends requests for the model to one node.
type modelClient struct {
	id             int
	node           *fakeNode
	ready          atomic.Bool // whether the latest request was granted
	paused         atomic.Bool // whether the client has stopped sending requests
	lastGeneration uint64      // the latest generation in a response
}

// startClients starts one client for each node, 300 µs apart. The clients run until the simulation ends.
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

// clientTimeout is how long a client waits for a response.
const clientTimeout = 20 * time.Second

// acquire sends one request, and checks that the model's generation in the responses never decreases.
func (c *modelClient) acquire(sim *simulation) {
	ctx, cancel := context.WithTimeout(context.Background(), clientTimeout)
	defer cancel()
	tracker := c.node.tracker.Load()
	called := time.Now()
	decision := tracker.Acquire(ctx, modelID)
	c.ready.Store(decision.Outcome == activator.Granted)
	if decision.Outcome == activator.Granted {
		sim.serveRequest(c.node, decision.Response.Machine)
		sim.recordServedRequest(c.id, called, decision.Response.Generation)
		tracker.Release(modelID)
	}
	if decision.Response.Verdict != activation.VerdictKnown || decision.Response.Reason == alwaysRunningReason {
		return
	}
	if decision.Response.Generation < c.lastGeneration {
		sim.t.Errorf("%s reports generation %d after %d", c.node.name, decision.Response.Generation, c.lastGeneration)
	}
	c.lastGeneration = decision.Response.Generation
}

// serveRequest simulates a forwarded request, which takes 60 ms. It checks that the model runs on the given machine during
// this time, unless the scenario injects faults of machines or of the model.
func (sim *simulation) serveRequest(n *fakeNode, machine string) {
	for range 3 {
		served := false
		for _, wk := range sim.runningTasks(modelID) {
			served = served || fmt.Sprint(wk.id) == machine
		}
		if !served && !sim.requestsMayFail.Load() && !sim.ended.Load() {
			sim.t.Errorf("%s forwards a request to machine %s, where the model doesn't run", n.name, machine)
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// awaitReady waits until all clients' requests are granted and exactly one replica runs.
func (sim *simulation) awaitReady(clients []*modelClient) {
	sim.t.Helper()
	sim.eventually("all nodes forward requests", 5*time.Minute, func() bool {
		for _, c := range clients {
			if !c.ready.Load() {
				return false
			}
		}
		return len(sim.runningTasks(modelID)) == 1
	})
}

// followers returns all nodes but the leader.
func (sim *simulation) followers(leader *fakeNode) []*fakeNode {
	var followers []*fakeNode
	for _, n := range sim.nodes {
		if n != leader {
			followers = append(followers, n)
		}
	}
	return followers
}

// completePulls completes all image pulls. Pulls that begin after the call complete at once.
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

// setClientsPaused pauses or resumes clients. A client counts as ready again only after its next request is granted.
func setClientsPaused(clients []*modelClient, paused bool) {
	for _, c := range clients {
		c.paused.Store(paused)
		c.ready.Store(false)
	}
}

// awaitScaledToZero waits until no replica of the model runs.
func (sim *simulation) awaitScaledToZero() {
	sim.t.Helper()
	sim.eventually("the model is at zero", 3*time.Minute, func() bool { return len(sim.runningTasks(modelID)) == 0 })
}

// modelStatus returns the model's activation status as operators read it.
func (sim *simulation) modelStatus() ServiceStatus {
	sim.t.Helper()
	status, err := ReadActivationStatus(sim.t.Context(), &storagetest.Client{Service: sim.store}, &sim.settings)
	if err != nil || !status.Gate.Used || len(status.Services) != 1 || status.Services[0].ID != modelID {
		sim.t.Fatalf("ReadActivationStatus() = %+v, %v, want %s alone", status, err, modelID)
	}
	return status.Services[0]
}
