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

// fakeWorker is a machine with an agent that follows the worker protocol. sim.mu guards the fields that are
// neither atomic nor constant, except nodeIndex.
type fakeWorker struct {
	sim      *simulation
	id       int
	typeName string
	zone     string
	spot     bool

	dead              atomic.Bool              // the machine is down for good
	partitioned       atomic.Bool              // no messages to or from the worker
	onlyReachableNode atomic.Pointer[fakeNode] // no messages to or from any other node; nil: no restriction
	dropsResponses    atomic.Bool              // heartbeats arrive, responses and direct commands are lost
	dropsHeartbeats   atomic.Bool              // direct commands arrive, heartbeats are lost
	delaysCommands    atomic.Bool              // direct commands wait for executeDelayed
	paused            atomic.Bool              // the process is paused and may resume at any time
	failsTasks        atomic.Bool              // tasks exit with an error at the end of their run time
	stuckPulling      atomic.Bool              // no image pull completes

	spotNotice       *float64 // seconds until the spot instance is reclaimed; nil: no notice
	incarnation      uint64
	seq              uint64
	token            uint64
	nodeIndex        int       // index of the node that gets the heartbeats, modulo the number of nodes; used only by run
	leaseRenewed     time.Time // start of the lease: when the last accepted heartbeat was sent, or the incarnation began
	tasks            map[attemptKey]*workerTask
	delayedCommands  []commandBatch
	recordedCommands []commandBatch      // direct commands that were sent while sim.recordingCommands was set
	forgotten        map[attemptKey]bool // attempts dropped by a forget command
}

// attemptKey identifies an attempt of a task on any worker.
type attemptKey struct {
	ID     worker.TaskID
	Number uint64
}

// workerTask is an attempt of a task on a worker.
type workerTask struct {
	state           worker.TaskState
	cause           worker.ExitCause
	endsAt          time.Time // when the task exits by itself; zero: never
	stateSince      time.Time // when a task of a gang entered its state, or its stop window began
	checkpointSaved bool      // whether the task saved a checkpoint when it was stopped
	endsInError     bool      // whether the task exits with an error at endsAt
}

// startRecord describes a start command that a worker accepted.
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

// addWorker starts a machine, unless the scenario has ended.
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

// machineType returns the machine's instance type.
func (wk *fakeWorker) machineType() storage.MachineType {
	for _, t := range clustertest.Types {
		if t.Name == wk.typeName {
			return t
		}
	}
	return storage.MachineType{}
}

// report returns the worker's next heartbeat report.
func (wk *fakeWorker) report() *worker.Report {
	wk.sim.mu.Lock()
	defer wk.sim.mu.Unlock()
	return wk.reportLocked()
}

// reportLocked is report for callers that hold sim.mu.
func (wk *fakeWorker) reportLocked() *worker.Report {
	wk.advance()
	wk.seq++
	report := &worker.Report{Machine: wk.id, Addr: fmt.Sprint(wk.id), Type: wk.typeName, Zone: wk.zone, Spot: wk.spot,
		Incarnation: wk.incarnation, Seq: wk.seq, Token: wk.token, NoticeSeconds: wk.spotNotice}
	for key, task := range wk.tasks {
		report.Tasks = append(report.Tasks, worker.TaskReport{ID: key.ID, Attempt: key.Number, State: task.state, Cause: task.cause, Saved: task.checkpointSaved})
	}
	sort.Slice(report.Tasks, func(a, b int) bool { return report.Tasks[a].Attempt < report.Tasks[b].Attempt })
	return report
}

// advance updates the tasks to the current time, unless the worker is paused. Tasks whose run time is over
// exit. If the worker's lease has expired, all tasks are removed and a new incarnation begins. The caller
// holds sim.mu.
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
	for key, task := range wk.tasks {
		if task.state == worker.Running && !task.endsAt.IsZero() && now.After(task.endsAt) {
			task.state, task.cause = worker.Exited, worker.CauseDone
			if task.endsInError || wk.failsTasks.Load() || wk.sim.failingJobs[key.ID.Job] {
				task.cause = worker.CauseError
			}
			wk.sim.completed[key.ID] = wk.sim.completed[key.ID] || task.cause == worker.CauseDone
		}
	}
}

// run sends heartbeats until the machine is down.
func (wk *fakeWorker) run() {
	for !wk.dead.Load() {
		pause := wk.sim.settings.HeartbeatInterval
		if !wk.partitioned.Load() && !wk.dropsHeartbeats.Load() && !wk.paused.Load() {
			pause = wk.heartbeat()
		}
		time.Sleep(pause)
	}
}

// heartbeat sends a report and returns the pause until the next one.
func (wk *fakeWorker) heartbeat() time.Duration {
	node := wk.sim.nodes[wk.nodeIndex%len(wk.sim.nodes)]
	report := wk.report()
	sent := time.Now()
	wk.sim.withLock(func() {
		if wk.sim.recordingReports {
			wk.sim.recordedReports = append(wk.sim.recordedReports, report)
		}
	})
	live := node.runningProcess.Load()
	if live == nil || !node.canReach(wk) {
		wk.nodeIndex++
		if live == nil {
			return config.WorkerRetryPause // the connection was refused
		}
		return config.WorkerResponseTimeout + config.WorkerRetryPause
	}
	ctx, cancel := context.WithTimeout(context.Background(), config.WorkerResponseTimeout)
	node.waitWhilePaused()
	response := live.HandleHeartbeat(ctx, report)
	node.waitWhilePaused()
	cancel()
	wk.sim.mu.Lock()
	defer wk.sim.mu.Unlock()
	switch {
	case time.Since(sent) > config.WorkerResponseTimeout: // the worker has stopped waiting for the response
		wk.nodeIndex++
		return config.WorkerRetryPause
	case wk.dropsResponses.Load() || wk.partitioned.Load() || wk.dead.Load() || wk.paused.Load() || !node.canReach(wk):
	case !response.Accepted:
		for i, other := range wk.sim.nodes {
			if other.name == response.Leader && other != node {
				wk.nodeIndex = i
				return 0
			}
		}
		wk.nodeIndex++
		return config.WorkerRetryPause
	case response.Token >= wk.token && report.Incarnation == wk.incarnation:
		wk.token, wk.leaseRenewed = response.Token, sent
		wk.execute(response.Commands)
	}
	return wk.sim.settings.HeartbeatInterval
}

// execute executes commands. The caller holds sim.mu.
func (wk *fakeWorker) execute(commands []worker.Command) {
	wk.advance()
	for _, command := range commands {
		key := attemptKey{command.ID, command.Attempt}
		task := wk.tasks[key]
		switch command.Verb {
		case worker.Start:
			if task == nil {
				wk.tasks[key] = wk.startTask(key)
			}
		case worker.Stop:
			if task != nil && task.state != worker.Exited {
				spec := wk.sim.specs[command.ID.Job]
				task.checkpointSaved = spec.Gang && task.state == worker.Running && command.GraceSeconds >= spec.SaveS
				task.state, task.cause = worker.Exited, worker.CauseStopped
			}
		case worker.Forget:
			if task != nil && task.state == worker.Exited {
				delete(wk.tasks, key)
				wk.forgotten[key] = true
			}
		}
	}
}

// startTask starts an attempt, and checks that the start violates no invariant. If the worker rejects the start,
// the returned attempt has exited.
func (wk *fakeWorker) startTask(key attemptKey) *workerTask {
	sim := wk.sim
	spec, ok := sim.specs[key.ID.Job]
	if !ok {
		return &workerTask{state: worker.Exited, cause: worker.CauseUnknownJob}
	}
	sim.starts++
	if wk.forgotten[key] {
		sim.t.Errorf("attempt %v was forgotten, and starts again on machine %d", key, wk.id)
	}
	if !spec.Resources.Fits(wk.freeResources()) {
		return &workerTask{state: worker.Exited, cause: worker.CauseFull}
	}
	wk.checkStart(key.ID, spec)
	sim.startsByJob[key.ID.Job] = append(sim.startsByJob[key.ID.Job], startRecord{at: time.Now(), attempt: key.Number, machine: wk.id})
	task := &workerTask{state: worker.Running}
	if after, fails := sim.failAfter[key.ID.Job]; fails {
		task.endsInError, task.endsAt = true, time.Now().Add(after)
	}
	switch {
	case wk.stuckPulling.Load():
		task.state = worker.Pulling
	case spec.Gang:
		task.state, task.stateSince = worker.Gathering, time.Now()
	case !spec.Service && task.endsAt.IsZero():
		task.endsAt = time.Now().Add(clock.Seconds(spec.EstimateS))
	}
	return task
}

// freeResources returns the machine's resources less those of the tasks that haven't exited.
func (wk *fakeWorker) freeResources() storage.Resources {
	free := wk.machineType().Resources
	for key, task := range wk.tasks {
		if task.state != worker.Exited {
			free = free.Sub(wk.sim.specs[key.ID.Job].Resources)
		}
	}
	return free
}

// checkStart checks the invariants that the start of a task may violate:
//
//   - A task runs on only one machine at a time.
//   - The resources used by a team stay within the team's limit.
//   - The task's machine and zone meet the constraints of the task's job.
//   - Once the cancel timeout of a cancelled job has passed, no task of the job starts.
func (wk *fakeWorker) checkStart(id worker.TaskID, spec storage.Spec) {
	sim := wk.sim
	used, zones := spec.Resources, map[string]int{wk.zone: 1}
	for _, other := range sim.workers {
		other.advance()
		for key, task := range other.tasks {
			if other.dead.Load() || task.state == worker.Exited {
				continue
			}
			if key.ID == id {
				sim.t.Errorf("ran_twice: %v on machines %d and %d", id, other.id, wk.id)
			}
			if sim.specs[key.ID.Job].Team == spec.Team {
				used = used.Add(sim.specs[key.ID.Job].Resources)
			}
			if key.ID.Job == id.Job {
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

// executeDelayed executes the delayed direct commands, and executes the recorded direct commands again.
func (wk *fakeWorker) executeDelayed() {
	var batches []commandBatch
	wk.sim.withLock(func() { batches = slices.Concat(wk.delayedCommands, wk.recordedCommands) })
	for _, batch := range batches {
		wk.executeDirect(batch.token, batch.incarnation, batch.commands)
	}
}

// executeDirect executes direct commands. It rejects them if their token is lower than the worker's token, or if
// they were sent to another incarnation of the worker.
func (wk *fakeWorker) executeDirect(token, incarnation uint64, commands []worker.Command) (worker.CommandOutcome, *worker.Report) {
	wk.sim.mu.Lock()
	defer wk.sim.mu.Unlock()
	wk.advance()
	if token < wk.token || incarnation != wk.incarnation {
		return worker.Rejected, wk.reportLocked()
	}
	wk.token = token
	wk.execute(commands)
	return worker.Executed, wk.reportLocked()
}

// cpuReport returns a report without tasks from the first incarnation of a machine of type cpu in zone a.
func cpuReport(machine int, seq, token uint64) *worker.Report {
	return &worker.Report{Machine: machine, Addr: fmt.Sprint(machine), Type: "cpu", Zone: "a", Incarnation: 1, Seq: seq, Token: token}
}
