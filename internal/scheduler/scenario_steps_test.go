package scheduler

import (
	"fmt"
	"time"

	"sagevale/internal/api"
	"sagevale/internal/cluster/clustertest"
	"sagevale/internal/storage"
	"sagevale/internal/storage/storagetest"
	"sagevale/internal/worker"
)

// Steps that the scenarios share.

// crash ends a node; it is back after a while, or stays away with 0.
func (sim *simulation) crash(n *fakeNode, back time.Duration) {
	n.kill()
	if back > 0 {
		time.Sleep(back)
		n.start()
	}
}

// cutLeaderFromStore has the state service refuse the leader alone, and returns it.
func (sim *simulation) cutLeaderFromStore() *fakeNode {
	n := sim.awaitLeader()
	n.cutStore.Store(true)
	return n
}

// outage takes the state service down for all, for that long.
func (sim *simulation) outage(d time.Duration) {
	sim.state.Outage(true)
	time.Sleep(d)
	sim.state.Outage(false)
}

// delayCommits has every nth transaction carried out late, without an answer.
func (sim *simulation) delayCommits(nth int, late time.Duration) {
	n := 0
	sim.state.Update(func(s *storagetest.Service) {
		s.Delay = func() time.Duration {
			if n++; nth > 0 && n%nth == 0 {
				return late + time.Duration(n%7)*time.Second
			}
			return 0
		}
	})
}

// recordReports begins to keep copies of all reports; replay brings them to a node again.
func (sim *simulation) recordReports() { sim.withLock(func() { sim.recordingReports = true }) }

func (sim *simulation) replayReports(nodes ...*fakeNode) {
	var kept []*worker.Report
	sim.withLock(func() { kept = sim.recordedReports })
	for _, n := range nodes {
		for _, r := range kept {
			if live := n.live.Load(); live != nil {
				copied := *r
				live.HandleHeartbeat(sim.t.Context(), &copied)
			}
		}
	}
}

// requestFromAll asks all nodes again and again within milliseconds.
func (sim *simulation) requestFromAll(id string) {
	for range 3 {
		for _, n := range sim.nodes {
			sim.requestFrom(n, api.OpPoll, id, storage.Spec{})
			sim.requestFrom(n, api.OpSubmit, id, sim.specs[id])
		}
		time.Sleep(2 * time.Millisecond)
	}
}

// awaitRunning waits until so many tasks of a job run.
func (sim *simulation) awaitRunning(id string, tasks int) {
	sim.t.Helper()
	sim.eventually(fmt.Sprintf("%d tasks of job %s run", tasks, id), 4*time.Minute, func() bool { return len(sim.runningTasks(id)) == tasks })
}

// awaitDone waits until a job is done.
func (sim *simulation) awaitDone(id string) {
	sim.t.Helper()
	sim.eventually("job "+id+" is done", 6*time.Minute, func() bool { return sim.poll(id).State == api.StateDone })
}

// awaitStopped waits until a cancelled job's tasks are gone; watch has the time.
func (sim *simulation) awaitStopped(id string) {
	sim.t.Helper()
	sim.eventually("job "+id+" is gone", sim.settings.CancelTimeout+time.Second, func() bool { return len(sim.runningTasks(id)) == 0 })
}

// withLimitedTeam is a job of the team whose limit is two accelerators.
func withLimitedTeam(spec storage.Spec) storage.Spec {
	spec.Team, spec.Resources.GPUs = "small", 1
	return spec
}

// arrayWithRuntime is an array whose tasks run for so long.
func arrayWithRuntime(id string, tasks int, run time.Duration) storage.Spec {
	s := clustertest.Array(id, tasks)
	s.EstimateS = run.Seconds()
	return s
}

// machinesOf lists the machines that a job runs on.
func (sim *simulation) machinesOf(id string) []*fakeWorker {
	var out []*fakeWorker
	seen := make(map[int]bool)
	for _, wk := range sim.runningTasks(id) {
		if !seen[wk.id] {
			seen[wk.id] = true
			out = append(out, wk)
		}
	}
	return out
}
