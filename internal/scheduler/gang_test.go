package scheduler

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"sagevale/internal/api"
	"sagevale/internal/cluster"
	"sagevale/internal/cluster/clustertest"
	"sagevale/internal/config"
	"sagevale/internal/storage"
	"sagevale/internal/worker"
)

// gangSpec is a gang whose tasks must be in one zone.
func gangSpec(id string, tasks int) storage.Spec {
	s := clustertest.Array(id, tasks)
	s.Class, s.Gang, s.SameZone, s.CheckpointS, s.SaveS = "gang", true, true, 10, 3
	return s
}

// begun is how often a gang has begun.
func (sim *simulation) begun(id string) (n int) {
	sim.withLock(func() { n = sim.gangStarts[id] })
	return n
}

// tries are the numbers of the attempts that a job's live tasks have.
func (sim *simulation) tries(id string) map[uint64]int {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	out := make(map[uint64]int)
	for _, wk := range sim.workers {
		wk.advance()
		for k, t := range wk.tasks {
			if k.ID.Job == id && t.state != worker.Exited && !wk.dead.Load() {
				out[k.Number]++
			}
		}
	}
	return out
}

var gangStories = []struct {
	name  string
	story func(sim *simulation)
}{
	{"starts together and is done together", func(sim *simulation) {
		for i, n := range []int{1, 3, 16} {
			sim.submit(gangSpec(fmt.Sprintf("%06d", i+1), n))
		}
		for i := range 3 {
			id := fmt.Sprintf("%06d", i+1)
			sim.awaitDone(id)
			sim.requestFromAll(id)
			if n := sim.begun(id); n != 1 {
				sim.t.Errorf("job %s began %d times", id, n)
			}
		}
	}},
	{"waiting for the others is neither running nor progress", func(sim *simulation) {
		sim.submit(clustertest.Service("000001", 4))
		sim.awaitRunning("000001", 4)
		for _, wk := range sim.allWorkers() {
			wk.stuckPulling.Store(true)
		}
		sim.submit(gangSpec("000002", 3))
		sim.eventually("it is placed", time.Minute, func() bool { return len(sim.runningTasks("000002")) == 3 })
		if a := sim.poll("000002"); a.State != api.StatePending || a.Running != 0 {
			sim.t.Errorf("told %+v", a)
		}
	}},
	{"a task that doesn't come is replaced under the same number", func(sim *simulation) {
		sim.submit(clustertest.Service("000001", 8))
		sim.submit(arrayWithRuntime("000009", 16, 5*time.Minute)) // keeps machines
		sim.awaitRunning("000001", 8)
		sim.awaitRunning("000009", 16)
		slow := sim.machinesOf("000001")[0]
		slow.stuckPulling.Store(true)
		sim.submit(gangSpec("000002", 5))
		var first uint64
		sim.eventually("it is placed", 2*time.Minute, func() bool {
			for try := range sim.tries("000002") {
				first = try
			}
			return len(sim.runningTasks("000002")) == 5
		})
		sim.eventually("it runs", 2*time.Minute, func() bool { return sim.begun("000002") == 1 })
		for try := range sim.tries("000002") {
			if try != first {
				sim.t.Errorf("it runs as %d, began as %d", try, first)
			}
		}
		sim.awaitDone("000002")
	}},
	{"a task lost before the start is replaced, one lost later ends the attempt", func(sim *simulation) {
		sim.submit(clustertest.Service("000001", 8))
		sim.awaitRunning("000001", 8)
		for _, wk := range sim.allWorkers() {
			wk.stuckPulling.Store(true)
		}
		sim.submit(gangSpec("000002", 4))
		sim.eventually("it is placed", 2*time.Minute, func() bool { return len(sim.runningTasks("000002")) == 4 })
		sim.machinesOf("000002")[0].dead.Store(true)
		for _, wk := range sim.allWorkers() {
			wk.stuckPulling.Store(false)
			sim.withLock(func() {
				for k, t := range wk.tasks {
					if k.ID.Job == "000002" && t.state == worker.Pulling {
						t.state, t.since = worker.Gathering, time.Now()
					}
				}
			})
		}
		sim.eventually("it runs", 3*time.Minute, func() bool { return sim.begun("000002") == 1 })
		sim.machinesOf("000002")[0].dead.Store(true)
		sim.eventually("it runs again", 3*time.Minute, func() bool { return sim.begun("000002") == 2 })
		sim.awaitDone("000002")
	}},
	{"the leader ends between the starts", func(sim *simulation) {
		sim.submit(clustertest.Service("000001", 8))
		sim.awaitRunning("000001", 8)
		for i := range 12 {
			id := fmt.Sprintf("%06d", 100+i)
			sim.storeSpec(gangSpec(id, 5))
			go sim.requestFrom(sim.awaitLeader(), api.OpSubmit, id, gangSpec(id, 5))
			time.Sleep(time.Duration(i) * 2 * time.Millisecond)
			sim.crash(sim.awaitLeader(), time.Second)
			sim.submit(gangSpec(id, 5))
			sim.awaitDone(id)
			if n := sim.begun(id); n > 1 {
				sim.t.Errorf("gang %s began %d times", id, n)
			}
		}
	}},
	{"a cut zone has half of the gang", func(sim *simulation) {
		sim.submit(zonalService("000001", "a", 8))
		sim.submit(zonalService("000002", "b", 8))
		sim.awaitRunning("000001", 8)
		sim.awaitRunning("000002", 8)
		g := gangSpec("000003", 10)
		g.SameZone, g.Spread, g.EstimateS = false, true, 60
		sim.submit(g)
		sim.eventually("it runs", 3*time.Minute, func() bool { return sim.begun("000003") == 1 })
		sim.moveLeaderOutOf("b")
		sim.isolateZone("b")
		time.Sleep(2 * sim.settings.WorkerLease)
		sim.isolateZone("")
		sim.awaitDone("000003")
	}},
	{"cancelled while it waits, and repeated after", func(sim *simulation) {
		sim.submit(clustertest.Service("000001", 4))
		sim.awaitRunning("000001", 4)
		for _, wk := range sim.allWorkers() {
			wk.stuckPulling.Store(true)
		}
		sim.submit(gangSpec("000002", 3))
		sim.eventually("it is placed", 2*time.Minute, func() bool { return len(sim.runningTasks("000002")) == 3 })
		sim.cancel("000002")
		sim.crash(sim.awaitLeader(), time.Second)
		sim.requestFromAll("000002")
		sim.awaitStopped("000002")
		for _, wk := range sim.allWorkers() {
			wk.stuckPulling.Store(false)
		}
		sim.requestFromAll("000002")
		if sim.begun("000002") != 0 {
			sim.t.Error("a cancelled gang began")
		}
	}},
	{"an end is told though the leader ends and old reports come", func(sim *simulation) {
		sim.submit(gangSpec("000001", 6))
		sim.eventually("it runs", 3*time.Minute, func() bool { return sim.begun("000001") == 1 })
		sim.recordReports()
		time.Sleep(19 * time.Second)
		for range 3 {
			sim.crash(sim.awaitLeader(), time.Second)
			sim.replayReports(sim.nodes...)
		}
		sim.awaitDone("000001")
		sim.replayReports(sim.nodes...)
		sim.requestFromAll("000001")
		if n := sim.begun("000001"); n != 1 {
			sim.t.Errorf("began %d times", n)
		}
	}},
	{"two gangs and a stream of small jobs share too little room", func(sim *simulation) {
		sim.withLock(func() {
			sim.cloud.noCapacity = func(h storage.LaunchRecord) bool { return len(sim.workers) >= 4 || h.Type == "gpu" || h.Zone != "a" }
		})
		for i := range 6 {
			sim.submit(arrayWithRuntime(fmt.Sprintf("%06d", i+1), 4, 10*time.Second))
		}
		sim.awaitRunning("000001", 4)
		sim.submit(gangSpec("000100", 10))
		sim.submit(gangSpec("000101", 10))
		submitted := time.Now()
		for i := range 40 {
			sim.submit(arrayWithRuntime(fmt.Sprintf("%06d", i+200), 2, 10*time.Second))
			time.Sleep(time.Second)
		}
		sim.eventually("both have begun", 4*time.Minute-time.Since(submitted), func() bool { return sim.begun("000100") > 0 && sim.begun("000101") > 0 })
		sim.awaitDone("000100")
		sim.awaitDone("000101")
		for i := range 40 {
			sim.awaitDone(fmt.Sprintf("%06d", i+200))
		}
	}},
	{"more tasks than one transaction holds", func(sim *simulation) {
		s := gangSpec("000001", 400)
		s.Resources, s.SameZone = storage.Resources{CPUs: 0.1, MemoryGB: 0.1}, false
		sim.submit(s)
		sim.awaitDone("000001")
		if n := sim.begun("000001"); n != 1 {
			sim.t.Errorf("began %d times", n)
		}
	}},
}

func TestGangScheduling(t *testing.T) {
	for _, g := range gangStories {
		t.Run(g.name, func(t *testing.T) { runSimulation(t, g.story) })
	}
}

// What a gang needs as a whole decides whether it is taken.
func TestInfeasibleGangIsRejected(t *testing.T) {
	runSimulation(t, func(sim *simulation) {
		sim.submit(clustertest.Service("000009", 1)) // the types are known
		for id, s := range map[string]storage.Spec{"000001": withLimitedTeam(gangSpec("000001", 3)), "000002": gangSpec("000002", 2)} {
			if id == "000002" {
				s.Resources.CPUs = 1000
			}
			if a := sim.request(api.OpSubmit, id, s); a.Code != api.CodeInfeasible {
				t.Errorf("job %s is answered %+v", id, a)
			}
		}
		sim.submit(withLimitedTeam(gangSpec("000003", 2)))
		sim.awaitDone("000003")
	})
}

// A gang either gets room for all or stops nothing.
func TestGangPreemptionIsAllOrNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newTestScheduler(t, clustertest.Settings())
		low := arrayWithRuntime("000001", 8, time.Hour)
		low.Priority, low.Resources = storage.BestEffort, storage.Resources{CPUs: 4, MemoryGB: 8}
		j := d.addAcceptedJob(low)
		for i := range 4 {
			m := d.addReadyMachine(i, "cpu", "a", false)
			for k := range 2 {
				d.addAttempt(&cluster.Attempt{Job: j, Task: 2*i + k, Number: uint64(1 + 2*i + k), Machine: m, Incarnation: 1, ThisTerm: true, Reported: true, State: worker.Running, Started: time.Now()})
			}
		}
		stopped := func() (n int) {
			for _, a := range j.Attempts {
				if a.Stopping {
					n++
				}
			}
			return n
		}
		d.addAcceptedJob(gangSpec("000002", 17)) // 16 would fit
		d.placeRound(time.Now())
		if n := stopped(); n != 0 {
			t.Errorf("%d stopped for a gang that finds no room all the same", n)
		}
		g := d.addAcceptedJob(gangSpec("000003", 5))
		d.state.Jobs.Get("000002").RetryAfter = time.Now().Add(time.Hour)
		time.Sleep(time.Second)
		d.placeRound(time.Now())
		if n := stopped(); n != 3 || len(g.Attempts) != 0 {
			t.Errorf("%d stopped for five tasks of two CPUs, %d placed", n, len(g.Attempts))
		}
		time.Sleep(time.Second)
		d.placeRound(time.Now())
		if n := stopped(); n != 3 {
			t.Errorf("%d stopped at the second look", n)
		}
		for _, a := range j.GangAttempts() {
			if a.Stopping {
				d.removeAttempt(a, "stopped")
			}
		}
		d.placeRound(time.Now())
		if len(g.Attempts) != 5 {
			t.Errorf("%d of 5 placed", len(g.Attempts))
		}
	})
}

// A gang in the way of something more urgent is stopped whole, with the time to
// save.
func TestPreemptedGangGetsTimeToSave(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newTestScheduler(t, clustertest.Settings())
		g := d.addAcceptedJob(gangSpec("000001", 4))
		var machines []*cluster.Machine
		for i := range 2 {
			machines = append(machines, d.addReadyMachine(i, "cpu", "a", false))
		}
		for i := range 4 {
			d.addAttempt(&cluster.Attempt{Job: g, Task: i, Number: 9, Machine: machines[i/2], Incarnation: 1, ThisTerm: true, Reported: true, State: worker.Running, Started: time.Now()})
		}
		g.Gang.Started = true
		urgent := clustertest.Service("000002", 1)
		urgent.Resources = storage.Resources{CPUs: 8, MemoryGB: 8}
		d.addAcceptedJob(urgent)
		d.placeRound(time.Now())
		for _, a := range g.GangAttempts() {
			if !a.Stopping || a.GraceSeconds != g.Spec.SaveS || !a.StopCommanded {
				t.Errorf("task %d: %+v", a.Task, a)
			}
		}
	})
}

// What an earlier leader left half written is begun anew, once all of it is gone.
func TestLoadedGangOfTwoAttemptsIsAborted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		spec := gangSpec("000001", 3)
		d := newTestScheduler(t, clustertest.Settings())
		if err := d.load([]storage.Record{newRecord(t, storage.JobKey("000001"), storage.JobRecord{Tasks: 3, Spec: &spec}),
			newRecord(t, storage.PageKey("000001", 0), storage.PageRecord{Attempts: []storage.AttemptRecord{
				{Task: 0, Number: 5, Machine: 1, Incarnation: 1}, {Task: 1, Number: 9, Machine: 2, Incarnation: 1}}})}); err != nil {
			t.Fatal(err)
		}
		d.state.SetTypes(clustertest.Types)
		j := d.state.Jobs.Get("000001")
		for i := 10; i < 14; i++ {
			d.addReadyMachine(i, "cpu", "a", false)
		}
		d.placeRound(time.Now())
		if len(j.Attempts) != 2 || !j.Attempts[0].Stopping || !j.Attempts[1].Stopping {
			t.Errorf("attempts %+v", j.Attempts)
		}
		for _, a := range j.GangAttempts() {
			d.removeAttempt(a, "proved gone")
		}
		d.placeRound(time.Now())
		if len(j.Attempts) != 3 || len(map[uint64]bool{j.Attempts[0].Number: true, j.Attempts[1].Number: true, j.Attempts[2].Number: true}) != 1 {
			t.Errorf("attempts %+v", j.Attempts)
		}
	})
}

// gangOn enters a gang's attempt with a task on each of the machines.
func (d *scheduler) gangOn(spec storage.Spec, state worker.TaskState, machines ...*cluster.Machine) *cluster.Job {
	j := d.addAcceptedJob(spec)
	for i, m := range machines {
		d.addAttempt(&cluster.Attempt{Job: j, Task: i, Number: 9, Machine: m, Incarnation: 1, ThisTerm: true, Durable: true, Reported: true, State: state, ReservedAt: time.Now(), Started: time.Now(), GatheringSince: time.Now()})
	}
	d.lastAttempt = 9
	j.Gang.Started = state == worker.Running
	return j
}

// A loss ends an attempt that has run: the rest is stopped at once, and nothing is
// begun before all of it is gone.
func TestTaskLossAbortsRunningGang(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newTestScheduler(t, clustertest.Settings())
		j := d.gangOn(gangSpec("000001", 3), worker.Running, d.addReadyMachine(1, "cpu", "a", false), d.addReadyMachine(2, "cpu", "a", false), d.addReadyMachine(3, "cpu", "a", false))
		d.addReadyMachine(4, "cpu", "a", false)
		d.removeAttempt(j.Attempts[0], "its machine is gone")
		for _, a := range j.GangAttempts() {
			if !a.Stopping || a.GraceSeconds != 0 {
				t.Errorf("task %d goes on: %+v", a.Task, a)
			}
		}
		d.placeRound(time.Now())
		if len(j.Attempts) != 2 {
			t.Errorf("%d attempts while the earlier one isn't over", len(j.Attempts))
		}
		for _, a := range j.GangAttempts() {
			d.removeAttempt(a, "ended")
		}
		d.placeRound(time.Now())
		if len(j.Attempts) != 3 || j.Attempts[0].Number == 9 {
			t.Errorf("begun anew as %+v", j.Gang)
		}
	})
}

// A worker that knows an attempt's end doesn't start it again: the replacement
// under the same number goes elsewhere.
func TestGangReplacementAvoidsMachineOfSameAttempt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newTestScheduler(t, clustertest.Settings())
		one, two := d.addReadyMachine(1, "cpu", "a", false), d.addReadyMachine(2, "cpu", "a", false)
		j := d.gangOn(gangSpec("000001", 2), worker.Gathering, one, one)
		j.Attempts[0].State = worker.Exited
		d.attemptExited(j.Attempts[0], worker.TaskReport{ID: worker.TaskID{Job: "000001", Task: 0}, Attempt: 9, State: worker.Exited, Cause: worker.CauseStopped}, time.Now())
		if len(j.Attempts) != 1 {
			t.Fatalf("%d attempts are left", len(j.Attempts))
		}
		one.Images["img"] = cluster.Image{SizeGB: 1} // the better place, but for that
		d.placeRound(time.Now())
		if a := j.Attempts[0]; a == nil || a.Machine != two || a.Number != 9 {
			t.Errorf("replaced by %+v", a)
		}
	})
}

func TestGangIsDoneWithFirstTask(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newTestScheduler(t, clustertest.Settings())
		m := d.addReadyMachine(1, "cpu", "a", false)
		j := d.gangOn(gangSpec("000001", 3), worker.Running, m, m, m)
		d.attemptExited(j.Attempts[1], worker.TaskReport{ID: worker.TaskID{Job: "000001", Task: 1}, Attempt: 9, State: worker.Exited, Cause: worker.CauseDone}, time.Now())
		if j.Done != 3 || j.Phase != storage.Done {
			t.Errorf("%d of 3 done, phase %v", j.Done, j.Phase)
		}
	})
}

// One task whose image doesn't come keeps its whole gang waiting, until all of it
// gives up.
func TestGangTaskThatDoesNotStartIsReplaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := clustertest.Settings()
		s.GangWait = 45 * time.Second
		d := newTestScheduler(t, s)
		one, two := d.addReadyMachine(1, "cpu", "a", false), d.addReadyMachine(2, "cpu", "a", false)
		j := d.gangOn(gangSpec("000001", 2), worker.Gathering, one, two)
		j.Attempts[1].State = worker.Pulling
		d.nextSnapshot = time.Now().Add(time.Hour) // no snapshot of the fleet here
		if d.tick(); j.Attempts[1].Stopping {
			t.Error("given up at once")
		}
		time.Sleep(s.GangWait * 45 / 100) // within the machines' leases
		if d.tick(); j.Attempts[0].Stopping || !j.Attempts[1].Stopping {
			t.Errorf("the waiting one: %v, the other: %v", j.Attempts[0].Stopping, j.Attempts[1].Stopping)
		}
	})
}

// A gang beyond what its team may use now takes nothing and stops nothing.
func TestGangWaitsForTeamLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := clustertest.Settings()
		s.Teams = append(s.Teams, config.Team{Name: "small", Limit: storage.Resources{GPUs: 2}})
		d := newTestScheduler(t, s)
		m := d.addReadyMachine(1, "gpu", "a", false)
		other := d.gangOn(withLimitedTeam(gangSpec("000001", 1)), worker.Running, m)
		j := d.addAcceptedJob(withLimitedTeam(gangSpec("000002", 2)))
		d.placeRound(time.Now())
		if len(j.Attempts) != 0 {
			t.Error("placed beyond the limit")
		}
		d.removeAttempt(other.Attempts[0], "ended")
		other.RetryAfter = time.Now().Add(time.Hour)
		d.placeRound(time.Now())
		if len(j.Attempts) != 2 {
			t.Errorf("%d of 2 placed within the limit", len(j.Attempts))
		}
	})
}
