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

// fakeWorker is a machine with an agent that follows the worker protocol. All fields that
// are not atomic are guarded by sim.mu.
type fakeWorker struct {
	sim      *simulation
	id       int
	typeName string
	zone     string
	spot     bool

	dead            atomic.Bool
	cut             atomic.Bool              // no messages in either direction
	onlyNode        atomic.Pointer[fakeNode] // no messages to or from other nodes; nil: all nodes
	dropsResponses  atomic.Bool              // heartbeats arrive, responses and direct commands are lost
	dropsHeartbeats atomic.Bool              // direct commands arrive, heartbeats are lost
	delaysCommands  atomic.Bool              // direct commands wait for executeDelayed
	paused          atomic.Bool              // the process is paused, and may resume at any time
	failsTasks      atomic.Bool              // every task ends in an error
	stuckPulling    atomic.Bool              // no image pull completes

	spotNotice       *float64 // seconds until the spot instance is reclaimed; nil: no notice
	incarnation      uint64
	seq              uint64
	token            uint64
	nodeIndex        int       // the node that it reports to, modulo their number
	leaseRenewed     time.Time // when the last answered heartbeat was sent
	tasks            map[attemptKey]*workerTask
	delayedCommands  []commandBatch
	recordedCommands []commandBatch      // all direct commands while sim.recordingCommands
	forgotten        map[attemptKey]bool // attempts dropped by a forget command
}

// attemptKey identifies an attempt of a task on any worker.
type attemptKey struct {
	ID     worker.TaskID
	Number uint64
}

// workerTask is an attempt on a worker.
type workerTask struct {
	state worker.TaskState
	cause worker.ExitCause
	ends  time.Time // when it exits by itself; zero: it doesn't
	since time.Time // when a gang's task entered its state
	saved bool      // it left a checkpoint
	fails bool      // it ends in an error
}

// startRecord is a start command that a worker accepted.
type startRecord struct {
	at      time.Time
	attempt uint64
	machine int
}

// commandBatch holds the direct commands of one message.
type commandBatch struct {
	token, incarnation uint64
	commands           []worker.Command
}

// addWorker brings up a machine, unless the scenario has ended.
func (sim *simulation) addWorker(id int, typeName, zone string, spot bool) {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	if sim.ended.Load() {
		return
	}
	wk := &fakeWorker{
		sim:          sim,
		id:           id,
		typeName:     typeName,
		zone:         zone,
		spot:         spot,
		incarnation:  1,
		leaseRenewed: time.Now(),
		tasks:        make(map[attemptKey]*workerTask),
		forgotten:    make(map[attemptKey]bool),
	}
	sim.workers[id] = wk
	go wk.run()
}

// machineType returns the machine's entry among the instance types.
func (wk *fakeWorker) machineType() storage.MachineType {
	for _, t := range clustertest.Types {
		if t.Name == wk.typeName {
			return t
		}
	}
	return storage.MachineType{}
}

// report returns its next heartbeat report.
func (wk *fakeWorker) report() *worker.Report {
	wk.sim.mu.Lock()
	defer wk.sim.mu.Unlock()
	return wk.makeReport()
}

// makeReport is report for callers that hold the lock.
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

// advance ends the tasks that are complete, or all tasks once the lease has expired. It is
// called under the lock.
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

// run sends heartbeats until the machine is dead.
func (wk *fakeWorker) run() {
	for !wk.dead.Load() {
		pause := wk.sim.settings.HeartbeatInterval
		if !wk.cut.Load() && !wk.dropsHeartbeats.Load() && !wk.paused.Load() {
			pause = wk.heartbeat()
		}
		time.Sleep(pause)
	}
}

// heartbeat sends a report and returns the pause until the next one.
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
			return config.WorkerRetryPause // the connection was refused
		}
		return config.WorkerResponseTimeout + config.WorkerRetryPause
	}
	ctx, cancel := context.WithTimeout(context.Background(), config.WorkerResponseTimeout)
	n.waitWhilePaused()
	response := live.HandleHeartbeat(ctx, r)
	n.waitWhilePaused()
	cancel()
	wk.sim.mu.Lock()
	defer wk.sim.mu.Unlock()
	switch {
	case time.Since(sent) > config.WorkerResponseTimeout: // the worker gave up waiting
		wk.nodeIndex++
		return config.WorkerRetryPause
	case wk.dropsResponses.Load() || wk.cut.Load() || wk.dead.Load() || wk.paused.Load() || !n.canReach(wk):
	case !response.Accepted:
		for i, o := range wk.sim.nodes {
			if o.name == response.Leader && o != n {
				wk.nodeIndex = i
				return 0
			}
		}
		wk.nodeIndex++
		return config.WorkerRetryPause
	case response.Token >= wk.token && r.Incarnation == wk.incarnation:
		wk.token, wk.leaseRenewed = response.Token, sent
		wk.execute(response.Commands)
	}
	return wk.sim.settings.HeartbeatInterval
}

// execute executes commands. It is called under the lock.
func (wk *fakeWorker) execute(commands []worker.Command) {
	wk.advance()
	for _, c := range commands {
		k := attemptKey{c.ID, c.Attempt}
		t := wk.tasks[k]
		switch c.Verb {
		case worker.Start:
			if t == nil {
				wk.tasks[k] = wk.startTask(k)
			}
		case worker.Stop:
			if t != nil && t.state != worker.Exited {
				spec := wk.sim.specs[c.ID.Job]
				t.saved = spec.Gang && t.state == worker.Running && c.GraceSeconds >= spec.SaveS
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

// startTask starts a task, and checks that no invariant is violated by it.
func (wk *fakeWorker) startTask(k attemptKey) *workerTask {
	sim := wk.sim
	spec, ok := sim.specs[k.ID.Job]
	if !ok {
		return &workerTask{state: worker.Exited, cause: worker.CauseUnknownJob}
	}
	sim.starts++
	if wk.forgotten[k] {
		sim.t.Errorf("attempt %v was forgotten, and starts again on machine %d", k, wk.id)
	}
	if !spec.Resources.Fits(wk.freeResources()) {
		return &workerTask{state: worker.Exited, cause: worker.CauseFull}
	}
	wk.checkStart(k.ID, spec)
	sim.startsByJob[k.ID.Job] = append(sim.startsByJob[k.ID.Job], startRecord{at: time.Now(), attempt: k.Number, machine: wk.id})
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

// freeResources returns what the running tasks leave of the machine.
func (wk *fakeWorker) freeResources() storage.Resources {
	free := wk.machineType().Resources
	for k, t := range wk.tasks {
		if t.state != worker.Exited {
			free = free.Sub(wk.sim.specs[k.ID.Job].Resources)
		}
	}
	return free
}

// checkStart checks the invariants that the start of a task may violate: a task runs once, its
// team stays within its limit, it is placed as its job requires, and its job isn't cancelled.
func (wk *fakeWorker) checkStart(id worker.TaskID, spec storage.Spec) {
	sim := wk.sim
	used, zones := spec.Resources, map[string]int{wk.zone: 1}
	for _, other := range sim.workers {
		other.advance()
		for k, t := range other.tasks {
			if other.dead.Load() || t.state == worker.Exited {
				continue
			}
			if k.ID == id {
				sim.t.Errorf("ran_twice: %v on machines %d and %d", id, other.id, wk.id)
			}
			if sim.specs[k.ID.Job].Team == spec.Team {
				used = used.Add(sim.specs[k.ID.Job].Resources)
			}
			if k.ID.Job == id.Job {
				zones[other.zone]++
			}
		}
	}
	if team := sim.settings.Team(spec.Team); !storage.WithinLimit(used, team.Limit) {
		sim.t.Errorf("quota: team %s uses %+v, want at most %+v", spec.Team, used, team.Limit)
	}
	if wk.spot && !spec.Spot || !cluster.Allows(spec.Types, wk.typeName) || spec.Zone != "" && spec.Zone != wk.zone ||
		spec.SameZone && len(zones) > 1 || spec.Spread && zones[wk.zone] > (spec.Tasks+1)/2 {
		sim.t.Errorf("wrong_place: %v on machine %d", id, wk.id)
	}
	if at, ok := sim.cancelledAt[id.Job]; ok && time.Since(at) > sim.settings.CancelTimeout {
		sim.t.Errorf("ran_cancelled: %v starts %v after its cancellation, want none after %v", id, time.Since(at), sim.settings.CancelTimeout)
	}
}

// executeDelayed executes the direct commands that were delayed, and repeats the recorded ones.
func (wk *fakeWorker) executeDelayed() {
	var batches []commandBatch
	wk.sim.withLock(func() { batches = slices.Concat(wk.delayedCommands, wk.recordedCommands) })
	for _, b := range batches {
		wk.executeDirect(b.token, b.incarnation, b.commands)
	}
}

// executeDirect executes commands that were sent directly under a fencing token.
func (wk *fakeWorker) executeDirect(token, incarnation uint64, commands []worker.Command) (worker.CommandOutcome, *worker.Report) {
	wk.sim.mu.Lock()
	defer wk.sim.mu.Unlock()
	wk.advance()
	if token < wk.token || incarnation != wk.incarnation {
		return worker.Rejected, wk.makeReport()
	}
	wk.token = token
	wk.execute(commands)
	return worker.Executed, wk.makeReport()
}

// cpuReport returns a report without tasks of the first incarnation of a machine of type cpu in
// zone a.
func cpuReport(machine int, seq, token uint64) *worker.Report {
	return &worker.Report{Machine: machine, Addr: fmt.Sprint(machine), Type: "cpu", Zone: "a", Incarnation: 1, Seq: seq, Token: token}
}
