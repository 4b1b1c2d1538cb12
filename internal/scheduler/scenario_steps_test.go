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

// refuseLeader has the state service refuse the leader alone, and returns it.
func (sim *simulation) refuseLeader() *fakeNode {
	n := sim.awaitLeader()
	n.cutState.Store(true)
	return n
}

// outage takes the state service down for all, for that long.
func (sim *simulation) outage(d time.Duration) {
	sim.state.Outage(true)
	time.Sleep(d)
	sim.state.Outage(false)
}

// lateWrites has every nth transaction carried out late, without an answer.
func (sim *simulation) lateWrites(nth int, late time.Duration) {
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

// keepReports begins to keep copies of all reports; replay brings them to a node again.
func (sim *simulation) keepReports() { sim.locked(func() { sim.keeping = true }) }

func (sim *simulation) replay(nodes ...*fakeNode) {
	var kept []*worker.Report
	sim.locked(func() { kept = sim.kept })
	for _, n := range nodes {
		for _, r := range kept {
			if live := n.live.Load(); live != nil {
				copied := *r
				live.HandleHeartbeat(sim.t.Context(), &copied)
			}
		}
	}
}

// askEverywhere asks all nodes again and again within milliseconds.
func (sim *simulation) askEverywhere(id string) {
	for range 3 {
		for _, n := range sim.nodes {
			sim.askNode(n, api.OpPoll, id, storage.Spec{})
			sim.askNode(n, api.OpSubmit, id, sim.specs[id])
		}
		time.Sleep(2 * time.Millisecond)
	}
}

// runs waits until so many tasks of a job run.
func (sim *simulation) runs(id string, tasks int) {
	sim.t.Helper()
	sim.eventually(fmt.Sprintf("%d tasks of job %s run", tasks, id), 4*time.Minute, func() bool { return len(sim.running(id)) == tasks })
}

// done waits until a job is done.
func (sim *simulation) done(id string) {
	sim.t.Helper()
	sim.eventually("job "+id+" is done", 6*time.Minute, func() bool { return sim.poll(id).State == api.StateDone })
}

// gone waits until a cancelled job's tasks are gone; watch has the time.
func (sim *simulation) gone(id string) {
	sim.t.Helper()
	sim.eventually("job "+id+" is gone", sim.settings.CancelTimeout+time.Second, func() bool { return len(sim.running(id)) == 0 })
}

// onLimit is a job of the team whose limit is two accelerators.
func onLimit(spec storage.Spec) storage.Spec {
	spec.Team, spec.Resources.GPUs = "small", 1
	return spec
}

// lasting is an array whose tasks run for so long.
func lasting(id string, tasks int, run time.Duration) storage.Spec {
	s := clustertest.Array(id, tasks)
	s.EstimateS = run.Seconds()
	return s
}

// machinesOf lists the machines that a job runs on.
func (sim *simulation) machinesOf(id string) []*fakeWorker {
	var out []*fakeWorker
	seen := make(map[int]bool)
	for _, wk := range sim.running(id) {
		if !seen[wk.id] {
			seen[wk.id] = true
			out = append(out, wk)
		}
	}
	return out
}
