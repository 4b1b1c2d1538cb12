package scheduler

import (
	"fmt"
	"time"

	"sagevale/internal/cluster/clustertest"
	"sagevale/internal/storage"
	"sagevale/internal/storage/storagetest"
)

// machineFaultScenarios combines faults of machines, of the machines' heartbeat reports and of tasks.
var machineFaultScenarios = []scenario{
	{"jobs with zone constraints lose machines", func(sim *simulation) {
		sameZone, zonal, spread := clustertest.Array("000001", 6), zonalService("000002", "b", 4), arrayWithRuntime("000003", 5, time.Minute)
		sameZone.SameZone, sameZone.EstimateS, spread.Spread = true, 60, true
		for _, spec := range []storage.Spec{sameZone, zonal, spread} {
			sim.submit(spec)
		}
		sim.awaitRunning("000002", 4)
		sim.awaitRunning("000001", 6)
		for i, wk := range sim.machinesOf("000001") {
			if i%2 == 0 {
				wk.dead.Store(true)
			} else {
				wk.partitioned.Store(true)
			}
		}
		// The loop above may already have killed all machines that run tasks of job 000002.
		if remaining := sim.machinesOf("000002"); len(remaining) > 0 {
			remaining[0].dead.Store(true)
		}
		time.Sleep(3 * sim.settings.WorkerLease)
		for _, wk := range sim.allWorkers() {
			wk.partitioned.Store(false)
		}
		sim.awaitRunning("000002", 4)
		sim.awaitDone("000001")
		sim.awaitDone("000003")
	}},
	{"tasks end far apart across failovers", func(sim *simulation) {
		sim.submit(arrayWithRuntime("000001", 2, 20*time.Second))
		sim.submit(arrayWithRuntime("000002", 3, 20*time.Second))
		sim.awaitRunning("000002", 3)
		sim.withLock(func() {
			for _, wk := range sim.workers {
				for k, task := range wk.tasks {
					if k.ID.Task > 0 {
						task.endsAt = task.endsAt.Add(time.Duration(k.ID.Task) * 40 * time.Second)
					}
				}
			}
		})
		for range 5 {
			time.Sleep(15 * time.Second)
			sim.crash(sim.awaitLeader(), 2*time.Second)
			sim.requestFromAll("000001")
			sim.requestFromAll("000002")
		}
		sim.awaitDone("000001")
		sim.awaitDone("000002")
	}},
	{"small jobs, four a second, a quarter cancelled", func(sim *simulation) {
		const jobs = 480
		for i := range jobs {
			spec := arrayWithRuntime(fmt.Sprintf("%06d", i+1), 1, 5*time.Second)
			spec.Resources.CPUs = 0.5
			sim.submit(spec)
			if i%4 == 0 {
				sim.cancel(spec.ID)
			}
			if i%120 == 60 {
				sim.crash(sim.awaitLeader(), time.Second)
			}
			time.Sleep(200 * time.Millisecond)
		}
		for i := range jobs {
			if i%4 != 0 {
				sim.awaitDone(fmt.Sprintf("%06d", i+1))
			}
		}
		if n := len(sim.store.Keys("log/")); n > 400 {
			sim.t.Errorf("got %d journal chunks, want at most 400", n)
		}
	}},
	{"workers that only direct commands reach", func(sim *simulation) {
		sim.submit(clustertest.Service("000001", 6))
		sim.submit(clustertest.Service("000002", 2))
		sim.awaitRunning("000001", 6)
		sim.awaitRunning("000002", 2)
		for _, wk := range sim.machinesOf("000002") {
			wk.dropsHeartbeats.Store(true)
		}
		sim.cancel("000002")
		sim.crash(sim.awaitLeader(), 3*time.Second)
		before := sim.startCount()
		time.Sleep(4 * sim.settings.WorkerLease)
		sim.awaitStopped("000002")
		if n := sim.startCount() - before; n > 2*6 {
			sim.t.Errorf("got %d starts while some machines can't report, want at most %d", n, 2*6)
		}
		for id, wk := range sim.runningTasks("000001") {
			if wk.dropsHeartbeats.Load() {
				sim.t.Errorf("task %v is on machine %d, which can't report", id, wk.id)
			}
		}
		sim.awaitRunning("000001", 6)
	}},
	{"reports delayed until a new leader has acted", func(sim *simulation) {
		sim.submit(clustertest.Service("000001", 4))
		sim.submit(arrayWithRuntime("000002", 4, 20*time.Second))
		sim.awaitRunning("000001", 4)
		sim.recordReports()
		time.Sleep(3 * sim.settings.HeartbeatInterval)
		sim.withLock(func() { sim.recordingReports = false })
		sim.cancel("000001")
		sim.crash(sim.awaitLeader(), time.Second)
		next := sim.awaitLeader()
		sim.replayReports(next)
		time.Sleep(sim.settings.HeartbeatInterval)
		sim.replayReports(next)
		sim.awaitStopped("000001")
		sim.awaitDone("000002")
	}},
	{"fast provisioning, delayed commits and leader restarts", func(sim *simulation) {
		sim.withLock(func() { sim.cloud.bootTime = 1500 * time.Millisecond })
		sim.delayCommits(3, time.Second)
		for i := range 8 {
			sim.submit(arrayWithRuntime(fmt.Sprintf("%06d", i+1), 4, 20*time.Second))
			time.Sleep(2 * time.Second)
			if i%2 == 1 {
				sim.crash(sim.awaitLeader(), time.Second)
			}
		}
		sim.delayCommits(0, 0)
		for i := range 8 {
			sim.awaitDone(fmt.Sprintf("%06d", i+1))
		}
	}},
	{"stale reports of earlier incarnations and attempts", func(sim *simulation) {
		sim.submit(arrayWithRuntime("000001", 4, 50*time.Second))
		sim.submit(clustertest.Service("000002", 2))
		sim.awaitRunning("000001", 4)
		sim.recordReports()
		time.Sleep(2 * sim.settings.HeartbeatInterval)
		for _, wk := range sim.machinesOf("000001") {
			wk.partitioned.Store(true) // the worker's lease expires, and its tasks start on other machines
		}
		time.Sleep(2 * sim.settings.WorkerLease)
		for _, wk := range sim.allWorkers() {
			wk.partitioned.Store(false)
		}
		for range 5 {
			sim.replayReports(sim.nodes...)
			time.Sleep(sim.settings.HeartbeatInterval)
		}
		sim.crash(sim.awaitLeader(), time.Second)
		sim.replayReports(sim.nodes...)
		sim.awaitDone("000001")
		sim.awaitRunning("000002", 2)
	}},
	{"more work than capacity, with preemption and a slow store", func(sim *simulation) {
		sim.withLock(func() {
			sim.cloud.noCapacity = func(launch storage.LaunchRecord) bool { return len(sim.workers) >= 4 || launch.Type == "gpu" }
		})
		sim.store.Update(func(s *storagetest.Service) { s.AddedLatency = 100 * time.Millisecond })
		for i := range 10 {
			spec := arrayWithRuntime(fmt.Sprintf("%06d", i+1), 6, 20*time.Second)
			spec.Priority = storage.Priority(i % 3)
			sim.submit(spec)
		}
		sim.submit(clustertest.Service("000100", 4)) // production services have priority over the arrays
		sim.awaitRunning("000100", 4)
		for i := range 10 {
			sim.awaitDone(fmt.Sprintf("%06d", i+1))
		}
	}},
	{"commands delayed while machines are paused, then executed", func(sim *simulation) {
		sim.submit(clustertest.Service("000001", 2))
		sim.awaitRunning("000001", 2)
		for _, wk := range sim.allWorkers() {
			wk.paused.Store(true)
		}
		sim.submit(clustertest.Service("000002", 2))
		time.Sleep(time.Second)
		sim.cancel("000001")
		sim.cancel("000002")
		time.Sleep(sim.settings.WorkerLease * 3 / 4)
		for _, wk := range sim.allWorkers() {
			wk.paused.Store(false)
			wk.executeDelayed()
		}
		time.Sleep(sim.settings.CancelTimeout)
		sim.awaitStopped("000001")
		sim.awaitStopped("000002")
	}},
	{"a team at its limit, unreachable machines, a cancellation and a failover", func(sim *simulation) {
		sim.submit(withLimitedTeam(clustertest.Service("000001", 2)))
		sim.awaitRunning("000001", 2)
		sim.submit(withLimitedTeam(arrayWithRuntime("000002", 2, 20*time.Second)))
		for _, wk := range sim.machinesOf("000001") {
			wk.partitioned.Store(true)
		}
		sim.crash(sim.awaitLeader(), 2*time.Second)
		sim.cancel("000001")
		time.Sleep(sim.settings.WorkerLease / 2)
		for _, wk := range sim.allWorkers() {
			wk.partitioned.Store(false)
		}
		sim.awaitDone("000002")
		sim.awaitStopped("000001")
	}},
	{"stale reports reach every controller during failover", func(sim *simulation) {
		sim.submit(clustertest.Service("000001", 4))
		sim.submit(arrayWithRuntime("000002", 4, 30*time.Second))
		sim.awaitRunning("000001", 4)
		sim.recordReports()
		time.Sleep(2 * sim.settings.HeartbeatInterval)
		sim.awaitDone("000002")
		sim.withLock(func() { sim.recordingReports = false })
		for range 3 {
			oldLeader := sim.awaitLeader()
			oldLeader.kill()
			for range 20 {
				sim.replayReports(sim.nodes...)
				time.Sleep(150 * time.Millisecond)
			}
			oldLeader.start()
		}
		before := sim.startCount()
		time.Sleep(sim.settings.WorkerLease)
		sim.awaitRunning("000001", 4)
		if sim.startCount() != before {
			sim.t.Errorf("got %d starts of running tasks, want none", sim.startCount()-before)
		}
	}},
	{"a team at its limit, cancellations, unreachable and paused machines, a failover", func(sim *simulation) {
		sim.submit(withLimitedTeam(clustertest.Service("000001", 1)))
		sim.submit(withLimitedTeam(clustertest.Service("000002", 1)))
		sim.awaitRunning("000001", 1)
		sim.awaitRunning("000002", 1)
		sim.submit(withLimitedTeam(arrayWithRuntime("000003", 3, 20*time.Second)))
		for _, wk := range sim.machinesOf("000001") {
			wk.paused.Store(true)
		}
		for _, wk := range sim.machinesOf("000002") {
			wk.partitioned.Store(true)
		}
		sim.cancel("000001")
		sim.crash(sim.awaitLeader(), time.Second)
		sim.cancel("000002")
		time.Sleep(sim.settings.WorkerLease * 2 / 3)
		for _, wk := range sim.allWorkers() {
			wk.partitioned.Store(false)
			wk.paused.Store(false)
			wk.executeDelayed()
		}
		sim.awaitDone("000003")
	}},
}
