package scheduler

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"log/slog"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/anishathalye/porcupine"

	"sagevale/internal/activation"
	"sagevale/internal/api"
	"sagevale/internal/clock"
	"sagevale/internal/config"
	"sagevale/internal/storage"
	"sagevale/internal/storage/storagetest"
	"sagevale/internal/worker"
)

// simulation is a small deployment that runs in memory and in simulated time: controllers, a
// key-value store, a cloud, workers and the network between them. It reports each violated
// invariant as a test error.
type simulation struct {
	t        *testing.T
	settings config.Settings
	store    *storagetest.Service
	cloud    *fakeCloud
	nodes    []*fakeNode
	log      *slog.Logger

	// mu guards the fields of this group, the workers' non-atomic fields, and the cloud.
	mu                sync.Mutex
	workers           map[int]*fakeWorker
	specs             map[string]storage.Spec
	cancelledAt       map[string]time.Time    // by job: when its cancellation was first acknowledged to a user
	reportedStates    map[string]api.JobState // by job: final state in a response; StatePending if no response was final
	cancelRequested   map[string]bool         // jobs for which a cancel request was sent, with or without a response
	completed         map[worker.TaskID]bool
	recordedReports   []*worker.Report // kept so that replayReports can deliver them again
	recordingReports  bool
	recordingCommands bool                     // workers record direct commands, so that executeDelayed can execute them again
	gangStarts        map[string]int           // by job: how many times all tasks of the gang began to run together
	overdueJobs       map[string]bool          // cancelled jobs for which checkCancelledTasks has reported an error
	failingJobs       map[string]bool          // jobs whose tasks exit with an error on every machine
	starts            int                      // number of start commands; see startCount
	startsByJob       map[string][]startRecord // by job: the start commands that a worker accepted
	wakeRequests      []activation.WakeRequest // sent between nodes; kept so that a test can deliver them again
	servedRequests    []porcupine.Operation    // requests that were forwarded to models, for the linearizability check
	usageReports      []activation.UsageReport // sent between nodes; kept so that a test can deliver them again
	failAfter         map[string]time.Duration // by job: the run time after which its tasks fail on every machine

	isolatedZone    atomic.Pointer[string] // the zone that is cut off from everything outside it; nil or "": none
	ended           atomic.Bool            // the scenario has ended; no more machines start
	leaderKilled    atomic.Bool            // killLeaderOnce has killed the leader, whose transaction was dropped
	processCount    atomic.Uint64          // controller processes started so far
	requestsMayFail atomic.Bool            // machines or models fail, so requests may remain unserved
	processMu       sync.Mutex             // serializes faults that stop and start nodes
	maxLogDelay     atomic.Int64           // upper bound in ns of the delay of a log call; 0: none
}

// slowLogHandler delays each goroutine that logs by a random time. It simulates a slow processor:
// a delay may occur between a check and the action that relies on the check.
type slowLogHandler struct {
	slog.Handler
	sim  *simulation
	mu   sync.Mutex
	rand *rand.Rand
}

// Enabled reports whether delays are on. If they are, records of all levels are delayed.
func (h *slowLogHandler) Enabled(context.Context, slog.Level) bool {
	return h.sim.maxLogDelay.Load() > 0
}

// Handle waits for a random delay of up to maxLogDelay, and discards the record.
func (h *slowLogHandler) Handle(context.Context, slog.Record) error {
	maxDelay := h.sim.maxLogDelay.Load()
	if maxDelay <= 0 {
		return nil
	}
	h.mu.Lock()
	delay := h.rand.Int64N(maxDelay)
	h.mu.Unlock()
	time.Sleep(time.Duration(delay))
	return nil
}

// WithAttrs ignores the attributes, because no record is written.
func (h *slowLogHandler) WithAttrs([]slog.Attr) slog.Handler { return h }

// runSimulation runs a scenario in simulated time, with the default settings of the simulation.
func runSimulation(t *testing.T, run func(sim *simulation)) {
	t.Helper()
	runSimulationWithSettings(t, func(*config.Settings) {}, run)
}

// runSimulationWithSettings runs a scenario with changed settings.
func runSimulationWithSettings(t *testing.T, changeSettings func(*config.Settings), run func(sim *simulation)) {
	t.Helper()
	runSimulationWithTuning(t, changeSettings, func(*config.Tuning) {}, run)
}

// threeControllers and fiveControllers list the zone of each controller of a deployment.
var (
	threeControllers = []string{"a", "b", "a"}
	fiveControllers  = []string{"a", "b", "a", "b", "a"}
)

// runSimulationWithTuning runs a scenario with changed settings and tuning.
func runSimulationWithTuning(t *testing.T, changeSettings func(*config.Settings), changeTuning func(*config.Tuning), run func(sim *simulation)) {
	t.Helper()
	runSimulationInZones(t, threeControllers, changeSettings, changeTuning, run)
}

// runSimulationInZones runs a scenario with one controller for each element of zones.
func runSimulationInZones(t *testing.T, zones []string, changeSettings func(*config.Settings), changeTuning func(*config.Tuning), run func(sim *simulation)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		settings := simulationSettings()
		changeSettings(&settings)
		settings.Tuning = settings.DefaultTuning()
		changeTuning(&settings.Tuning)
		sim := newSimulation(t, settings, zones)
		for _, n := range sim.nodes {
			n.start()
		}
		go sim.watchCancelledJobs()
		defer sim.shutDown()
		run(sim)
	})
}

// simulationSettings returns the default settings of the simulation.
func simulationSettings() config.Settings {
	return config.Settings{
		Zones:             []string{"a", "b"},
		HeartbeatInterval: 3 * time.Second,
		WorkerLease:       22 * time.Second,
		CancelTimeout:     52 * time.Second,
		GangWait:          45 * time.Second,
		GangStopWindow:    4 * time.Second,
		Teams:             []config.Team{{Name: "team"}, {Name: "small", Limit: storage.Resources{GPUs: 2}}},
		State:             storage.Limits{RequestsPerS: 100, ChangesPerS: 40, ValueBytes: 8192, TxnOps: 32},
		CloudRPS:          6,
		ListLag:           4 * time.Second,
		MemoryMB:          98,
		Sockets:           1000,
	}
}

// newSimulation returns a deployment whose controllers are not started yet.
func newSimulation(t *testing.T, settings config.Settings, zones []string) *simulation {
	sim := &simulation{
		t:               t,
		settings:        settings,
		store:           storagetest.NewService(),
		workers:         make(map[int]*fakeWorker),
		specs:           make(map[string]storage.Spec),
		cancelledAt:     make(map[string]time.Time),
		reportedStates:  make(map[string]api.JobState),
		cancelRequested: make(map[string]bool),
		completed:       make(map[worker.TaskID]bool),
		gangStarts:      make(map[string]int),
		overdueJobs:     make(map[string]bool),
		failingJobs:     make(map[string]bool),
		startsByJob:     make(map[string][]startRecord),
		failAfter:       make(map[string]time.Duration),
	}
	//nolint:sloglint // the embedded handler only completes the interface; slowLogHandler discards all records
	sim.log = slog.New(&slowLogHandler{Handler: slog.NewTextHandler(io.Discard, nil), sim: sim, rand: rand.New(rand.NewPCG(3, 5))})
	sim.cloud = &fakeCloud{sim: sim, machinesByLaunch: make(map[string][]int), launchCalls: make(map[string]int), terminated: make(map[int]bool)}
	for i, zone := range zones {
		sim.nodes = append(sim.nodes, &fakeNode{sim: sim, name: fmt.Sprintf("n%d", i), zone: zone})
	}
	return sim
}

// shutDown stops all processes and machines, and waits until their goroutines have had time to return.
func (sim *simulation) shutDown() {
	for _, n := range sim.nodes {
		n.kill()
	}
	sim.withLock(func() { sim.ended.Store(true) })
	for _, wk := range sim.allWorkers() {
		wk.dead.Store(true)
	}
	sim.store.Close()
	time.Sleep(time.Minute)
}

// leader returns the node that holds a valid leader lease and has loaded the state. If there is no such node,
// it returns nil. If there are two, it fails the test.
func (sim *simulation) leader() *fakeNode {
	var leader *fakeNode
	for _, n := range sim.nodes {
		live := n.runningProcess.Load()
		if live == nil {
			continue
		}
		if v := live.view.Load(); v.scheduler != nil && time.Now().Before(v.role.LeaseValidUntil) {
			if leader != nil {
				sim.t.Fatalf("two leaders hold valid leases: %s and %s", leader.name, n.name)
			}
			leader = n
		}
	}
	return leader
}

// awaitLeader waits until a node leads, and returns the node. It fails the test if no node leads after 30 s.
func (sim *simulation) awaitLeader() *fakeNode {
	sim.t.Helper()
	for range 300 {
		if n := sim.leader(); n != nil {
			return n
		}
		time.Sleep(100 * time.Millisecond)
	}
	sim.t.Fatal("no leader after 30s")
	return nil
}

// request sends a user's request to the nodes in turn until a node decides on the request. A response that asks
// the user to retry is no decision.
func (sim *simulation) request(op api.Op, id string, spec storage.Spec) api.Response {
	sim.t.Helper()
	for attempt := range 120 {
		n := sim.nodes[attempt%len(sim.nodes)]
		if response := sim.requestFrom(n, op, id, spec); response.HasResult() {
			return response
		}
		time.Sleep(500 * time.Millisecond)
	}
	sim.t.Fatalf("no node decides request %v for job %s", op, id)
	return api.Response{}
}

// requestFrom sends a user's request to one node. It checks that the response doesn't contradict any response that
// was received before the request was sent: a known job must not become unknown, and a final state must not change.
func (sim *simulation) requestFrom(n *fakeNode, op api.Op, id string, spec storage.Spec) api.Response {
	live := n.runningProcess.Load()
	if live == nil {
		return api.Unavailable(id, "not running")
	}
	var before api.JobState
	var known bool
	sim.withLock(func() {
		before, known = sim.reportedStates[id]
		sim.cancelRequested[id] = sim.cancelRequested[id] || op == api.OpCancel
	})
	// The test's context isn't used, because a request may still be running when the scenario ends.
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	n.waitWhilePaused()
	response := live.HandleUserRequest(ctx, api.Request{Op: op, ID: id, Spec: spec})
	n.waitWhilePaused()
	timedOut := ctx.Err() != nil
	cancel()
	if timedOut {
		return api.Unavailable(id, "the user stopped waiting")
	}
	if !response.HasResult() {
		return response
	}
	sim.withLock(func() {
		if response.Code != api.CodeNotFound && response.Code != api.CodeInfeasible {
			sim.checkState(n, id, response, before, known)
		} else if known {
			sim.t.Errorf("forgotten: job %s was reported as %v, now %s responds %+v", id, before, n.name, response)
		}
	})
	return response
}

// checkState checks the state of a job in a response, and records the state. before is the job's recorded state
// when the request was sent; known is false if no state was recorded then. The caller holds sim.mu.
func (sim *simulation) checkState(n *fakeNode, id string, response api.Response, before api.JobState, known bool) {
	current := api.StatePending
	if response.Final() {
		current = response.State
	}
	if known && before != api.StatePending && current != before {
		sim.t.Errorf("went_back: job %s from %v to %+v, by %s", id, before, response, n.name)
	}
	switch {
	case current == api.StateCancelled && !sim.cancelRequested[id]:
		sim.t.Errorf("went_back: job %s is cancelled without a request", id)
	case current == api.StateCancelled && sim.cancelledAt[id].IsZero():
		sim.cancelledAt[id] = time.Now()
	case current == api.StateDone:
		sim.checkAllCompleted(id)
	}
	if sim.reportedStates[id] == api.StatePending {
		sim.reportedStates[id] = current
	}
}

// checkAllCompleted checks that each task of a job that was reported as done has completed. The caller
// holds sim.mu.
func (sim *simulation) checkAllCompleted(id string) {
	for _, wk := range sim.workers {
		wk.advance()
	}
	for task := range sim.specs[id].Tasks {
		if !sim.completed[worker.TaskID{Job: id, Task: task}] {
			sim.t.Errorf("not_done: job %s is done without task %d", id, task)
		}
	}
}

// watchCancelledJobs runs until the scenario has ended. Every 250 ms it advances the gangs, and checks that no task
// of a cancelled job still runs after the cancel timeout.
func (sim *simulation) watchCancelledJobs() {
	for !sim.ended.Load() {
		time.Sleep(250 * time.Millisecond)
		sim.withLock(func() {
			sim.advanceGangs()
			for _, wk := range sim.workers {
				if !wk.dead.Load() && !wk.paused.Load() { // a paused worker runs nothing until it resumes
					sim.checkCancelledTasks(wk)
				}
			}
		})
	}
}

// checkCancelledTasks reports each cancelled job that still has a task on a worker after the cancel timeout. It
// reports a job only once. The caller holds sim.mu.
func (sim *simulation) checkCancelledTasks(wk *fakeWorker) {
	wk.advance()
	for k, task := range wk.tasks {
		job := k.ID.Job
		at, ok := sim.cancelledAt[job]
		if ok && task.state != worker.Exited && time.Since(at) > sim.settings.CancelTimeout && !sim.overdueJobs[job] {
			sim.overdueJobs[job] = true
			sim.t.Errorf("ran_cancelled: %v is on machine %d %v after its cancellation, want at most %v", k.ID, wk.id, time.Since(at), sim.settings.CancelTimeout)
		}
	}
}

// advanceGangs advances the tasks of each attempt of a gang. Tasks that wait for the others are gathering. Once all
// tasks are gathering, they start together. If a task is missing after the start and isn't done, the other tasks exit
// after the stop window. The caller holds sim.mu.
func (sim *simulation) advanceGangs() {
	type gangAttempt struct {
		job    string
		number uint64
	}
	gangs := make(map[gangAttempt][]*workerTask)
	for _, wk := range sim.workers {
		if wk.dead.Load() || wk.paused.Load() {
			continue
		}
		wk.advance()
		for k, task := range wk.tasks {
			if sim.specs[k.ID.Job].Gang {
				g := gangAttempt{k.ID.Job, k.Number}
				gangs[g] = append(gangs[g], task)
			}
		}
	}
	for g, tasks := range gangs {
		if sim.advanceGang(sim.specs[g.job], tasks) {
			sim.gangStarts[g.job]++
		}
	}
}

// advanceGang advances the tasks of one attempt of a gang, and reports whether all of them were gathering
// and have now begun to run.
func (sim *simulation) advanceGang(spec storage.Spec, tasks []*workerTask) (started bool) {
	now := time.Now()
	gathering, running, done := 0, 0, 0
	for _, task := range tasks {
		switch {
		case task.state == worker.Gathering:
			gathering++
		case task.state == worker.Running:
			running++
		case task.cause == worker.CauseDone:
			done++
		}
	}
	for _, task := range tasks {
		switch {
		case gathering == spec.Tasks:
			task.state, task.stateSince, task.endsAt = worker.Running, now, now.Add(clock.Seconds(spec.EstimateS))
		case task.state == worker.Gathering && now.Sub(task.stateSince) > sim.settings.GangWait:
			task.state, task.cause = worker.Exited, worker.CauseGangMissing
		case task.state != worker.Running || running+done == spec.Tasks:
		case task.stateSince.After(now.Add(-sim.settings.GangStopWindow)) && task.endsAt.IsZero():
		case !task.endsAt.IsZero() && running+done < spec.Tasks:
			task.endsAt, task.stateSince = time.Time{}, now // the task exits after the stop window
		case task.endsAt.IsZero():
			task.state, task.cause = worker.Exited, worker.CauseGangMissing
		}
	}
	return gathering == spec.Tasks
}

// storeSpec stores a job's specification, which the workers read when they start its tasks.
func (sim *simulation) storeSpec(spec storage.Spec) {
	sim.withLock(func() { sim.specs[spec.ID] = spec })
}

// allWorkers returns all machines that have ever been started, ordered by ID.
func (sim *simulation) allWorkers() []*fakeWorker {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	return slices.SortedFunc(maps.Values(sim.workers), func(a, b *fakeWorker) int { return cmp.Compare(a.id, b.id) })
}

// withLock runs f under the simulation's lock.
func (sim *simulation) withLock(f func()) {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	f()
}

// isolateZone cuts a zone off from everything outside it. "" reconnects all zones.
func (sim *simulation) isolateZone(zone string) {
	sim.isolatedZone.Store(&zone)
	for _, n := range sim.nodes {
		n.cutStore.Store(n.zone == zone)
		n.cutPeers.Store(n.zone == zone)
	}
}

// startCount returns how many start commands the workers have received so far. It includes commands that a worker
// rejected because it lacked resources. It leaves out commands for unknown jobs, and commands for attempts that the
// worker already had.
func (sim *simulation) startCount() int {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	return sim.starts
}

// submit submits a job, and fails the test if it isn't accepted.
func (sim *simulation) submit(spec storage.Spec) {
	sim.t.Helper()
	sim.storeSpec(spec)
	if got := sim.request(api.OpSubmit, spec.ID, spec); got.Code != api.CodeCreated && got.Code != api.CodeOK {
		sim.t.Fatalf("submit of job %s: got %+v, want it accepted", spec.ID, got)
	}
}

// cancel cancels a job, and fails the test unless the response confirms that the job is cancelled.
func (sim *simulation) cancel(id string) {
	sim.t.Helper()
	if got := sim.request(api.OpCancel, id, storage.Spec{}); got.Code != api.CodeOK || got.State != api.StateCancelled {
		sim.t.Fatalf("cancel of job %s: got %+v, want it cancelled", id, got)
	}
}

// poll returns the response to a poll of a job.
func (sim *simulation) poll(id string) api.Response {
	sim.t.Helper()
	return sim.request(api.OpPoll, id, storage.Spec{})
}

// eventually waits until a condition holds, and fails the test if that takes longer than the timeout.
func (sim *simulation) eventually(description string, timeout time.Duration, condition func() bool) {
	sim.t.Helper()
	for end := time.Now().Add(timeout); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		if condition() {
			return
		}
	}
	sim.t.Fatalf("not within %v: %s", timeout, description)
}

// runningTasks returns the tasks of a job that are on a machine and haven't exited, each with its worker.
func (sim *simulation) runningTasks(id string) map[worker.TaskID]*fakeWorker {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	running := make(map[worker.TaskID]*fakeWorker)
	for _, wk := range sim.workers {
		wk.advance()
		for k, task := range wk.tasks {
			if k.ID.Job == id && !wk.dead.Load() && task.state != worker.Exited {
				running[k.ID] = wk
			}
		}
	}
	return running
}
