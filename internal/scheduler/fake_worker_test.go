package scheduler

import (
	"context"
	"fmt"
	"slices"
	"sort"
	"sync/atomic"
	"time"

	"sagevale/internal/clock"
	"sagevale/internal/cluster"
	"sagevale/internal/cluster/clustertest"
	"sagevale/internal/config"
	"sagevale/internal/storage"
	"sagevale/internal/worker"
)

// fakeWorker follows the protocol's worker.
type fakeWorker struct {
	sim              *simulation
	id               int
	typeName         string
	zone             string
	spot             bool
	dead             atomic.Bool
	cut              atomic.Bool              // nothing passes in either direction
	onlyNode         atomic.Pointer[fakeNode] // nothing passes to or from other nodes
	dropsResponses   atomic.Bool              // its reports pass, answers and orders don't
	dropsHeartbeats  atomic.Bool              // orders pass, its reports don't
	delaysCommands   atomic.Bool              // orders reach it only later: see late
	paused           atomic.Bool              // it stands still, and may go on at any time
	failsTasks       atomic.Bool              // every task fails
	stuckPulling     atomic.Bool              // no image ever comes
	spotNotice       *float64
	incarnation      uint64
	seq              uint64
	token            uint64
	nodeIndex        int
	leaseRenewed     time.Time // when the last answered report was sent
	tasks            map[attemptKey]*workerTask
	delayedCommands  []commandBatch
	recordedCommands []commandBatch      // of all direct orders, while sim.copying
	forgotten        map[attemptKey]bool // what it was told to forget
}

type attemptKey struct {
	ID     worker.TaskID
	Number uint64
}

type workerTask struct {
	state worker.TaskState
	cause worker.ExitCause
	ends  time.Time
	since time.Time // in its state, of a gang's task
	saved bool
	fails bool // it ends in an error
}

// startRecord is a start that a worker took on.
type startRecord struct {
	at      time.Time
	attempt uint64
	machine int
}

type commandBatch struct {
	token, incarnation uint64
	commands           []worker.Command
}

func (sim *simulation) addWorker(id int, kind, zone string, spot bool) {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	if sim.ended.Load() {
		return
	}
	wk := &fakeWorker{sim: sim, id: id, typeName: kind, zone: zone, spot: spot, incarnation: 1, leaseRenewed: time.Now(), tasks: make(map[attemptKey]*workerTask), forgotten: make(map[attemptKey]bool)}
	sim.workers[id] = wk
	go wk.run()
}

func (wk *fakeWorker) machineType() storage.MachineType {
	for _, t := range clustertest.Types {
		if t.Name == wk.typeName {
			return t
		}
	}
	return storage.MachineType{}
}

func (wk *fakeWorker) report() *worker.Report {
	wk.sim.mu.Lock()
	defer wk.sim.mu.Unlock()
	return wk.makeReport()
}

func (wk *fakeWorker) makeReport() *worker.Report {
	wk.advance()
	wk.seq++
	r := &worker.Report{Machine: wk.id, Addr: fmt.Sprint(wk.id), Type: wk.typeName, Zone: wk.zone, Spot: wk.spot,
		Incarnation: wk.incarnation, Seq: wk.seq, Token: wk.token, NoticeSeconds: wk.spotNotice}
	for k, t := range wk.tasks {
		r.Tasks = append(r.Tasks, worker.TaskReport{ID: k.ID, Attempt: k.Number, State: t.state, Cause: t.cause, Saved: t.saved})
	}
	sort.Slice(r.Tasks, func(a, b int) bool { return r.Tasks[a].Attempt < r.Tasks[b].Attempt })
	return r
}

// advance ends what has run long enough, and everything with the lease.
func (wk *fakeWorker) advance() {
	if wk.paused.Load() {
		return
	}
	now := time.Now()
	if now.Sub(wk.leaseRenewed) > wk.sim.settings.WorkerLease {
		clear(wk.tasks)
		wk.incarnation++
		wk.seq, wk.leaseRenewed = 0, now
	}
	for k, t := range wk.tasks {
		if t.state == worker.Running && !t.ends.IsZero() && now.After(t.ends) {
			t.state, t.cause = worker.Exited, worker.CauseDone
			if t.fails || wk.failsTasks.Load() || wk.sim.failingJobs[k.ID.Job] {
				t.cause = worker.CauseError
			}
			wk.sim.completed[k.ID] = wk.sim.completed[k.ID] || t.cause == worker.CauseDone
		}
	}
}

func (wk *fakeWorker) run() {
	for !wk.dead.Load() {
		pause := wk.sim.settings.HeartbeatInterval
		if !wk.cut.Load() && !wk.dropsHeartbeats.Load() && !wk.paused.Load() {
			pause = wk.heartbeat()
		}
		time.Sleep(pause)
	}
}

// heartbeat reports and returns when to report again.
func (wk *fakeWorker) heartbeat() time.Duration {
	n := wk.sim.nodes[wk.nodeIndex%len(wk.sim.nodes)]
	r := wk.report()
	sent := time.Now()
	wk.sim.withLock(func() {
		if wk.sim.recordingReports {
			wk.sim.recordedReports = append(wk.sim.recordedReports, r)
		}
	})
	live := n.live.Load()
	if live == nil || !n.canReach(wk) {
		wk.nodeIndex++
		if live == nil {
			return config.WorkerRetryPause // refused
		}
		return config.WorkerResponseTimeout + config.WorkerRetryPause
	}
	ctx, cancel := context.WithTimeout(context.Background(), config.WorkerResponseTimeout)
	n.waitWhilePaused()
	a := live.HandleHeartbeat(ctx, r)
	n.waitWhilePaused()
	cancel()
	wk.sim.mu.Lock()
	defer wk.sim.mu.Unlock()
	switch {
	case time.Since(sent) > config.WorkerResponseTimeout: // it has gone on to the next node
		wk.nodeIndex++
		return config.WorkerRetryPause
	case wk.dropsResponses.Load() || wk.cut.Load() || wk.dead.Load() || wk.paused.Load() || !n.canReach(wk):
	case !a.Accepted:
		for i, o := range wk.sim.nodes {
			if o.name == a.Leader && o != n {
				wk.nodeIndex = i
				return 0
			}
		}
		wk.nodeIndex++
		return config.WorkerRetryPause
	case a.Token >= wk.token && r.Incarnation == wk.incarnation:
		wk.token, wk.leaseRenewed = a.Token, sent
		wk.execute(a.Commands)
	}
	return wk.sim.settings.HeartbeatInterval
}

func (wk *fakeWorker) execute(orders []worker.Command) {
	wk.advance()
	for _, o := range orders {
		k := attemptKey{o.ID, o.Attempt}
		t := wk.tasks[k]
		switch o.Verb {
		case worker.Start:
			if t == nil {
				wk.tasks[k] = wk.startTask(k)
			}
		case worker.Stop:
			if t != nil && t.state != worker.Exited {
				spec := wk.sim.specs[o.ID.Job]
				t.saved = spec.Gang && t.state == worker.Running && o.GraceSeconds >= spec.SaveS
				t.state, t.cause = worker.Exited, worker.CauseStopped
			}
		case worker.Forget:
			if t != nil && t.state == worker.Exited {
				delete(wk.tasks, k)
				wk.forgotten[k] = true
			}
		}
	}
}

// startTask starts a task and checks the rules at that moment.
func (wk *fakeWorker) startTask(k attemptKey) *workerTask {
	sim := wk.sim
	spec, ok := sim.specs[k.ID.Job]
	if !ok {
		return &workerTask{state: worker.Exited, cause: worker.CauseUnknown}
	}
	sim.starts++
	if wk.forgotten[k] {
		sim.t.Errorf("forgotten attempt %v began anew on %d", k, wk.id)
	}
	free := wk.machineType().Resources
	for o, t := range wk.tasks {
		if t.state != worker.Exited {
			free = free.Sub(sim.specs[o.ID.Job].Resources)
		}
	}
	if !spec.Resources.Fits(free) {
		return &workerTask{state: worker.Exited, cause: worker.CauseFull}
	}
	used, zones := spec.Resources, map[string]int{wk.zone: 1}
	for _, other := range sim.workers {
		other.advance()
		for o, t := range other.tasks {
			if other.dead.Load() || t.state == worker.Exited {
				continue
			}
			if o.ID == k.ID {
				sim.t.Errorf("ran_twice: %v on %d and %d", k.ID, other.id, wk.id)
			}
			if sim.specs[o.ID.Job].Team == spec.Team {
				used = used.Add(sim.specs[o.ID.Job].Resources)
			}
			if o.ID.Job == k.ID.Job {
				zones[other.zone]++
			}
		}
	}
	if team := sim.settings.Team(spec.Team); !storage.WithinLimit(used, team.Limit) {
		sim.t.Errorf("quota: team %s uses %+v", spec.Team, used)
	}
	if wk.spot && !spec.Spot || !cluster.Allows(spec.Types, wk.typeName) || spec.Zone != "" && spec.Zone != wk.zone ||
		spec.SameZone && len(zones) > 1 || spec.Spread && zones[wk.zone] > (spec.Tasks+1)/2 {
		sim.t.Errorf("wrong_place: %v on %d", k.ID, wk.id)
	}
	if at, ok := sim.cancelledAt[k.ID.Job]; ok && time.Since(at) > sim.settings.CancelTimeout {
		sim.t.Errorf("ran_cancelled: %v started %v after", k.ID, time.Since(at))
	}
	sim.startsByJob[k.ID.Job] = append(sim.startsByJob[k.ID.Job], startRecord{time.Now(), k.Number, wk.id})
	t := &workerTask{state: worker.Running}
	if after, fails := sim.failAfter[k.ID.Job]; fails {
		t.fails, t.ends = true, time.Now().Add(after)
	}
	switch {
	case wk.stuckPulling.Load():
		t.state = worker.Pulling
	case spec.Gang:
		t.state, t.since = worker.Gathering, time.Now()
	case !spec.Service && t.ends.IsZero():
		t.ends = time.Now().Add(clock.Seconds(spec.EstimateS))
	}
	return t
}

// executeDelayed executes the orders that a hang has held back.
func (wk *fakeWorker) executeDelayed() {
	var late []commandBatch
	wk.sim.withLock(func() { late = slices.Concat(wk.delayedCommands, wk.recordedCommands) })
	for _, l := range late {
		wk.executeDirect(l.token, l.incarnation, l.commands)
	}
}

func (wk *fakeWorker) executeDirect(token, session uint64, orders []worker.Command) (worker.Outcome, *worker.Report) {
	wk.sim.mu.Lock()
	defer wk.sim.mu.Unlock()
	wk.advance()
	if token < wk.token || session != wk.incarnation {
		return worker.Rejected, wk.makeReport()
	}
	wk.token = token
	wk.execute(orders)
	return worker.Executed, wk.makeReport()
}
