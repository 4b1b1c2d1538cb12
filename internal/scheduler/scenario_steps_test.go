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

// This file has the steps that the scenarios share.

// crash stops a node's process and starts a new one after restartAfter. If restartAfter is 0, it starts none.
func (sim *simulation) crash(n *fakeNode, restartAfter time.Duration) {
	n.kill()
	if restartAfter > 0 {
		time.Sleep(restartAfter)
		n.start()
	}
}

// cutLeaderFromStore cuts only the leader off from the key-value store, and returns the leader.
func (sim *simulation) cutLeaderFromStore() *fakeNode {
	n := sim.awaitLeader()
	n.cutStore.Store(true)
	return n
}

// outage takes the key-value store down for all nodes, for the given duration.
func (sim *simulation) outage(duration time.Duration) {
	sim.store.SetOutage(true)
	time.Sleep(duration)
	sim.store.SetOutage(false)
}

// delayCommits makes the key-value store apply every nth transaction late and without a response. Each transaction
// is late by the delay plus up to six seconds. If nth is 0, no further transactions are delayed.
func (sim *simulation) delayCommits(nth int, delay time.Duration) {
	count := 0
	sim.store.Update(func(s *storagetest.Service) {
		s.Delay = func() time.Duration {
			if count++; nth > 0 && count%nth == 0 {
				return delay + time.Duration(count%7)*time.Second
			}
			return 0
		}
	})
}

// recordReports records all heartbeat reports from now on, for replayReports.
func (sim *simulation) recordReports() { sim.withLock(func() { sim.recordingReports = true }) }

// replayReports delivers the recorded reports again, to the given nodes.
func (sim *simulation) replayReports(nodes ...*fakeNode) {
	var reports []*worker.Report
	sim.withLock(func() { reports = sim.recordedReports })
	for _, n := range nodes {
		for _, r := range reports {
			if live := n.runningProcess.Load(); live != nil {
				report := *r
				live.HandleHeartbeat(sim.t.Context(), &report)
			}
		}
	}
}

// requestFromAll polls a job and repeats its submission at every node, three times within milliseconds.
func (sim *simulation) requestFromAll(id string) {
	for range 3 {
		for _, n := range sim.nodes {
			sim.requestFrom(n, api.OpPoll, id, storage.Spec{})
			sim.requestFrom(n, api.OpSubmit, id, sim.specs[id])
		}
		time.Sleep(2 * time.Millisecond)
	}
}

// awaitRunning waits until the given number of a job's tasks run.
func (sim *simulation) awaitRunning(id string, tasks int) {
	sim.t.Helper()
	sim.awaitRunningWithin(4*time.Minute, id, tasks)
}

// awaitRunningWithin does the same as awaitRunning, but with the given timeout.
func (sim *simulation) awaitRunningWithin(timeout time.Duration, id string, tasks int) {
	sim.t.Helper()
	sim.eventually(fmt.Sprintf("%d tasks of job %s run", tasks, id), timeout, func() bool { return len(sim.runningTasks(id)) == tasks })
}

// awaitDone waits until a job is done.
func (sim *simulation) awaitDone(id string) {
	sim.t.Helper()
	sim.awaitDoneWithin(6*time.Minute, id)
}

// awaitDoneWithin does the same as awaitDone, but with the given timeout.
func (sim *simulation) awaitDoneWithin(timeout time.Duration, id string) {
	sim.t.Helper()
	sim.eventually("job "+id+" is done", timeout, func() bool { return sim.poll(id).State == api.StateDone })
}

// awaitStopped waits until no task of a cancelled job runs. watchCancelledJobs checks that the tasks stop
// within the cancel timeout.
func (sim *simulation) awaitStopped(id string) {
	sim.t.Helper()
	sim.eventually("job "+id+" has stopped", sim.settings.CancelTimeout+time.Second, func() bool { return len(sim.runningTasks(id)) == 0 })
}

// withLimitedTeam returns a copy of a specification, changed to one GPU per task and to a team whose limit is two
// GPUs.
func withLimitedTeam(spec storage.Spec) storage.Spec {
	spec.Team, spec.Resources.GPUs = "small", 1
	return spec
}

// arrayWithRuntime returns a job array whose tasks run for the given time.
func arrayWithRuntime(id string, tasks int, runtime time.Duration) storage.Spec {
	spec := clustertest.Array(id, tasks)
	spec.EstimateS = runtime.Seconds()
	return spec
}

// zonalService returns a service whose tasks must all run in the given zone.
func zonalService(id, zone string, tasks int) storage.Spec {
	spec := clustertest.Service(id, tasks)
	spec.Zone = zone
	return spec
}

// machinesOf returns the machines that run tasks of a job, without duplicates.
func (sim *simulation) machinesOf(id string) []*fakeWorker {
	var machines []*fakeWorker
	seen := make(map[int]bool)
	for _, wk := range sim.runningTasks(id) {
		if !seen[wk.id] {
			seen[wk.id] = true
			machines = append(machines, wk)
		}
	}
	return machines
}

// moveLeaderOutOf restarts leaders in the zone until a node outside the zone is elected.
func (sim *simulation) moveLeaderOutOf(zone string) {
	for n := sim.awaitLeader(); n.zone == zone; n = sim.awaitLeader() {
		n.kill()
		sim.awaitLeader()
		n.start()
	}
}

// submitFailing submits a job whose tasks fail on every machine.
func (sim *simulation) submitFailing(id string) {
	sim.withLock(func() { sim.failingJobs[id] = true })
	sim.submit(arrayWithRuntime(id, 4, 2*time.Second))
}

// startsSince returns the current value of startCount minus an earlier value.
func (sim *simulation) startsSince(before int) int { return sim.startCount() - before }
