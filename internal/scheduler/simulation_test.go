package scheduler

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"sort"
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

// simulation is a small deployment in memory and simulated time: nodes, a state
// service, a cloud, workers and the cuts between them. It watches the rules.
type simulation struct {
	t                 *testing.T
	settings          config.Settings
	state             *storagetest.Service
	cloud             *fakeCloud
	nodes             []*fakeNode
	mu                sync.Mutex // guards what follows, and all workers and the cloud
	workers           map[int]*fakeWorker
	specs             map[string]storage.Spec
	cancelledAt       map[string]time.Time    // when a user was told so
	reportedStates    map[string]api.JobState // the latest that a user was told, running as pending
	cancelRequested   map[string]bool         // jobs that a user asked to cancel
	completed         map[worker.TaskID]bool  // tasks that have completed
	recordedReports   []*worker.Report        // copies of reports, to come again late
	recordingReports  bool
	recordingCommands bool            // copies of direct orders are kept, to be repeated late
	gangStarts        map[string]int  // how often a gang has begun
	overdue           map[string]bool // cancelled jobs seen beyond their time
	failingJobs       map[string]bool // jobs that fail wherever they run
	starts            int
	startsByJob       map[string][]startRecord // starts that a worker took on, by job
	wakeRequests      []activation.WakeRequest // that nodes sent each other, to come again late
	served            []porcupine.Operation    // requests to models that were passed on
	usageReports      []activation.UsageReport // likewise
	failAfter         map[string]time.Duration // jobs whose tasks fail after so long on any machine
	isolatedZone      atomic.Pointer[string]   // a zone that is cut off from everything
	ended             atomic.Bool              // machines that boot now stay away
	messagesDropped   atomic.Bool              // a leader has been killed with what it sent
	processCount      atomic.Uint64            // processes that were begun
	requestsMayFail   atomic.Bool              // machines or models fail, so that requests may find none
	processMu         sync.Mutex               // of nodes that several troubles begin and end
	log               *slog.Logger
	maxLogDelay       atomic.Int64 // up to how long each log record holds up its node, in ns
}

// slowLogHandler holds up whoever logs: what comes between a check and its effect on a
// processor that falls behind.
type slowLogHandler struct {
	slog.Handler
	sim  *simulation
	mu   sync.Mutex
	rand *rand.Rand
}

// Enabled has all levels logged while the processor is slow.
func (p *slowLogHandler) Enabled(context.Context, slog.Level) bool {
	return p.sim.maxLogDelay.Load() > 0
}

// Handle takes its time.
func (p *slowLogHandler) Handle(context.Context, slog.Record) error {
	most := p.sim.maxLogDelay.Load()
	if most <= 0 {
		return nil
	}
	p.mu.Lock()
	pause := p.rand.Int64N(most)
	p.mu.Unlock()
	time.Sleep(time.Duration(pause))
	return nil
}

// WithAttrs keeps the handler as it is.
func (p *slowLogHandler) WithAttrs([]slog.Attr) slog.Handler { return p }

// runSimulation runs a scenario in simulated time.
func runSimulation(t *testing.T, story func(sim *simulation)) {
	t.Helper()
	runSimulationWithSettings(t, func(*config.Settings) {}, story)
}

// runSimulationWithSettings runs a scenario in simulated time, with settings of its own.
func runSimulationWithSettings(t *testing.T, change func(*config.Settings), story func(sim *simulation)) {
	t.Helper()
	runSimulationWithTuning(t, change, func(*config.Tuning) {}, story)
}

// threeControllers and fiveControllers are the zones of a deployment's controllers.
var (
	threeControllers = []string{"a", "b", "a"}
	fiveControllers  = []string{"a", "b", "a", "b", "a"}
)

// runSimulationWithTuning runs a scenario with the operators' settings changed too.
func runSimulationWithTuning(t *testing.T, change func(*config.Settings), tune func(*config.Tuning), story func(sim *simulation)) {
	t.Helper()
	runSimulationInZones(t, threeControllers, change, tune, story)
}

// runSimulationInZones runs a scenario with controllers in these zones.
func runSimulationInZones(t *testing.T, controllers []string, change func(*config.Settings), tune func(*config.Tuning), story func(sim *simulation)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		sim := &simulation{
			t: t,
			settings: config.Settings{
				Zones: []string{"a", "b"}, HeartbeatInterval: 3 * time.Second, WorkerLease: 22 * time.Second, CancelTimeout: 52 * time.Second, GangWait: 45 * time.Second, GangStopWindow: 4 * time.Second,
				Teams:    []config.Team{{Name: "team"}, {Name: "small", Limit: storage.Resources{GPUs: 2}}},
				State:    storage.Limits{RequestsPerS: 100, ChangesPerS: 40, ValueBytes: 8192, TxnOps: 32},
				CloudRPS: 6, ListLag: 4 * time.Second, MemoryMB: 98, Sockets: 1000,
			},
			workers: make(map[int]*fakeWorker), specs: make(map[string]storage.Spec), cancelledAt: make(map[string]time.Time),
			reportedStates: make(map[string]api.JobState), cancelRequested: make(map[string]bool), completed: make(map[worker.TaskID]bool), overdue: make(map[string]bool), failingJobs: make(map[string]bool), gangStarts: make(map[string]int),
			startsByJob: make(map[string][]startRecord), failAfter: make(map[string]time.Duration),
		}
		sim.log = slog.New(&slowLogHandler{Handler: slog.NewTextHandler(io.Discard, nil), sim: sim, rand: rand.New(rand.NewPCG(3, 5))})
		change(&sim.settings)
		sim.settings.Tuning = sim.settings.DefaultTuning()
		tune(&sim.settings.Tuning)
		sim.state = storagetest.NewService()
		sim.cloud = &fakeCloud{sim: sim, launches: make(map[string][]int)}
		for i, zone := range controllers {
			sim.nodes = append(sim.nodes, &fakeNode{sim: sim, name: fmt.Sprintf("n%d", i), zone: zone})
		}
		for _, n := range sim.nodes {
			n.start()
		}
		go sim.watchCancelledJobs()
		defer func() {
			for _, n := range sim.nodes {
				n.kill()
			}
			sim.mu.Lock()
			sim.ended.Store(true)
			sim.mu.Unlock()
			for _, wk := range sim.allWorkers() {
				wk.dead.Store(true)
			}
			sim.state.Close()
			time.Sleep(time.Minute)
		}()
		story(sim)
	})
}

func (sim *simulation) leader() *fakeNode {
	var lead *fakeNode
	for _, n := range sim.nodes {
		live := n.live.Load()
		if live == nil {
			continue
		}
		if v := live.view.Load(); v.scheduler != nil && time.Now().Before(v.role.LeaseValidUntil) {
			if lead != nil {
				sim.t.Fatal("two nodes lead for certain")
			}
			lead = n
		}
	}
	return lead
}

// awaitLeader waits until some node leads with the state loaded.
func (sim *simulation) awaitLeader() *fakeNode {
	for range 300 {
		if n := sim.leader(); n != nil {
			return n
		}
		time.Sleep(100 * time.Millisecond)
	}
	sim.t.Fatal("no leader")
	return nil
}

// request puts a user's request to the nodes in turn until one decides it.
func (sim *simulation) request(op api.Op, id string, spec storage.Spec) api.Response {
	for try := range 120 {
		if a := sim.requestFrom(sim.nodes[try%len(sim.nodes)], op, id, spec); a.Decided() {
			return a
		}
		time.Sleep(500 * time.Millisecond)
	}
	sim.t.Fatalf("no node decides on job %s", id)
	return api.Response{}
}

// requestFrom puts one request to one node, and checks that the answer is no older
// than what any node had told before it was asked.
func (sim *simulation) requestFrom(n *fakeNode, op api.Op, id string, spec storage.Spec) api.Response {
	live := n.live.Load()
	if live == nil {
		return api.Unavailable(id, "not running")
	}
	var before api.JobState
	var known bool
	sim.withLock(func() {
		before, known = sim.reportedStates[id]
		sim.cancelRequested[id] = sim.cancelRequested[id] || op == api.OpCancel
	})
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	n.waitWhilePaused()
	a := live.HandleUserRequest(ctx, api.Request{Op: op, ID: id, Spec: spec})
	n.waitWhilePaused()
	late := ctx.Err() != nil
	cancel()
	if late {
		return api.Unavailable(id, "the user has gone")
	}
	if !a.Decided() {
		return a
	}
	sim.mu.Lock()
	defer sim.mu.Unlock()
	if a.Code == api.CodeNotFound || a.Code == api.CodeInfeasible {
		if known {
			sim.t.Errorf("forgotten: job %s, told %v, is answered %+v by %s", id, before, a, n.name)
		}
		return a
	}
	now := api.StatePending
	if a.Final() {
		now = a.State
	}
	if known && before != api.StatePending && now != before {
		sim.t.Errorf("went_back: job %s from %v to %+v, by %s", id, before, a, n.name)
	}
	switch {
	case now == api.StateCancelled && !sim.cancelRequested[id]:
		sim.t.Errorf("went_back: nobody cancelled job %s", id)
	case now == api.StateCancelled && sim.cancelledAt[id].IsZero():
		sim.cancelledAt[id] = time.Now()
	case now == api.StateDone:
		for _, wk := range sim.workers {
			wk.advance()
		}
		for i := range sim.specs[id].Tasks {
			if !sim.completed[worker.TaskID{Job: id, Task: i}] {
				sim.t.Errorf("not_done: job %s without task %d", id, i)
			}
		}
	}
	if sim.reportedStates[id] == api.StatePending {
		sim.reportedStates[id] = now
	}
	return a
}

// watchCancelledJobs looks out for tasks that outlive their job's cancel.
func (sim *simulation) watchCancelledJobs() {
	for !sim.ended.Load() {
		time.Sleep(250 * time.Millisecond)
		sim.withLock(func() {
			sim.advanceGangs()
			for _, wk := range sim.workers {
				if wk.dead.Load() || wk.paused.Load() {
					continue // one that stands still runs nothing, unless it goes on
				}
				wk.advance()
				for k, t := range wk.tasks {
					job := k.ID.Job
					at, ok := sim.cancelledAt[job]
					if ok && t.state != worker.Exited && time.Since(at) > sim.settings.CancelTimeout && !sim.overdue[job] {
						sim.overdue[job] = true
						sim.t.Errorf("ran_cancelled: %v is on %d %v after", k.ID, wk.id, time.Since(at))
					}
				}
			}
		})
	}
}

// advanceGangs has the tasks of gangs find each other: by the number of the attempt they
// start together, and notice that one is gone.
func (sim *simulation) advanceGangs() {
	type attemptKey struct {
		job string
		try uint64
	}
	now := time.Now()
	gangs := make(map[attemptKey][]*workerTask)
	for _, wk := range sim.workers {
		if wk.dead.Load() || wk.paused.Load() {
			continue
		}
		wk.advance()
		for k, t := range wk.tasks {
			if sim.specs[k.ID.Job].Gang {
				g := attemptKey{k.ID.Job, k.Number}
				gangs[g] = append(gangs[g], t)
			}
		}
	}
	for g, tasks := range gangs {
		spec := sim.specs[g.job]
		waiting, running, done := 0, 0, 0
		for _, t := range tasks {
			switch {
			case t.state == worker.Gathering:
				waiting++
			case t.state == worker.Running:
				running++
			case t.cause == worker.CauseDone:
				done++
			}
		}
		for _, t := range tasks {
			switch {
			case waiting == spec.Tasks:
				t.state, t.since, t.ends = worker.Running, now, now.Add(clock.Seconds(spec.EstimateS))
			case t.state == worker.Gathering && now.Sub(t.since) > sim.settings.GangWait:
				t.state, t.cause = worker.Exited, worker.CausePeers
			case t.state != worker.Running || running+done == spec.Tasks:
			case t.since.After(now.Add(-sim.settings.GangStopWindow)) && t.ends.IsZero():
			case !t.ends.IsZero() && running+done < spec.Tasks:
				t.ends, t.since = time.Time{}, now // it notices soon
			case t.ends.IsZero():
				t.state, t.cause = worker.Exited, worker.CausePeers
			}
		}
		if waiting == spec.Tasks {
			sim.gangStarts[g.job]++
		}
	}
}

// storeSpec makes a job's description known to the workers.
func (sim *simulation) storeSpec(spec storage.Spec) {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	sim.specs[spec.ID] = spec
}

// allWorkers lists the machines that ever came up.
func (sim *simulation) allWorkers() []*fakeWorker {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	var out []*fakeWorker
	for _, wk := range sim.workers {
		out = append(out, wk)
	}
	sort.Slice(out, func(a, b int) bool { return out[a].id < out[b].id })
	return out
}

// withLock runs f under the simulation's lock.
func (sim *simulation) withLock(f func()) {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	f()
}

// isolateZone cuts a zone off from everything, or with "" ends that.
func (sim *simulation) isolateZone(zone string) {
	sim.isolatedZone.Store(&zone)
	for _, n := range sim.nodes {
		n.cutStore.Store(n.zone == zone)
		n.cutPeers.Store(n.zone == zone)
	}
}

func (sim *simulation) startCount() int {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	return sim.starts
}

func (sim *simulation) submit(spec storage.Spec) {
	sim.t.Helper()
	sim.storeSpec(spec)
	if a := sim.request(api.OpSubmit, spec.ID, spec); a.Code != api.CodeCreated && a.Code != api.CodeOK {
		sim.t.Fatalf("job %s not accepted: %+v", spec.ID, a)
	}
}

func (sim *simulation) cancel(id string) {
	sim.t.Helper()
	if a := sim.request(api.OpCancel, id, storage.Spec{}); a.Code != api.CodeOK || a.State != api.StateCancelled {
		sim.t.Fatalf("job %s not cancelled: %+v", id, a)
	}
}

func (sim *simulation) poll(id string) api.Response {
	return sim.request(api.OpPoll, id, storage.Spec{})
}

// eventually waits for a condition.
func (sim *simulation) eventually(what string, within time.Duration, ok func() bool) {
	sim.t.Helper()
	for end := time.Now().Add(within); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		if ok() {
			return
		}
	}
	sim.t.Fatalf("within %v not seen: %s", within, what)
}

// runningTasks lists where a job's tasks run now.
func (sim *simulation) runningTasks(id string) map[worker.TaskID]*fakeWorker {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	out := make(map[worker.TaskID]*fakeWorker)
	for _, wk := range sim.workers {
		wk.advance()
		for k, t := range wk.tasks {
			if k.ID.Job == id && !wk.dead.Load() && t.state != worker.Exited {
				out[k.ID] = wk
			}
		}
	}
	return out
}
