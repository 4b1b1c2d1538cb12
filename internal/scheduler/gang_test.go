package scheduler

import (
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

// addGang enters a gang's attempt with a task on each of the machines.
func (d *scheduler) addGang(spec storage.Spec, state worker.TaskState, machines ...*cluster.Machine) *cluster.Job {
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
		j := d.addGang(gangSpec("000001", 3), worker.Running, d.addReadyMachine(1, "cpu", "a", false), d.addReadyMachine(2, "cpu", "a", false), d.addReadyMachine(3, "cpu", "a", false))
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
		j := d.addGang(gangSpec("000001", 2), worker.Gathering, one, one)
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
		j := d.addGang(gangSpec("000001", 3), worker.Running, m, m, m)
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
		j := d.addGang(gangSpec("000001", 2), worker.Gathering, one, two)
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
		other := d.addGang(withLimitedTeam(gangSpec("000001", 1)), worker.Running, m)
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

// `alone` and `peers` are the gang's failure: its machine isn't left alone for them.
func TestGangFailureIsNotMachineFailure(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newTestScheduler(t, clustertest.Settings())
		one, two := d.addReadyMachine(1, "cpu", "a", false), d.addReadyMachine(2, "cpu", "a", false)
		j := d.addGang(gangSpec("000001", 2), worker.Gathering, one, two)
		d.applyTaskReport(one, &worker.Report{Incarnation: 1}, worker.TaskReport{ID: worker.TaskID{Job: "000001", Task: 0}, Attempt: 9, State: worker.Exited, Cause: worker.CausePeers}, time.Now())
		if one.Failures.Suspected() || !one.QuarantinedUntil.IsZero() || len(j.Failures.Machines()) != 0 {
			t.Errorf("failures of the machine %+v, of the job %+v", one.Failures, j.Failures)
		}
		if a := j.Attempts[1]; a == nil || !a.Stopping {
			t.Error("the rest of an attempt that can't be completed goes on")
		}
	})
}

// A replacement joins the zone that the others hold, and a new attempt too stays out
// of other zones until the earlier one is gone everywhere.
func TestGangStaysInZone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newTestScheduler(t, clustertest.Settings())
		full, other := d.addReadyMachine(1, "cpu", "a", false), d.addReadyMachine(2, "cpu", "b", false)
		spec := gangSpec("000001", 2)
		spec.Resources.CPUs = 4
		j := d.addGang(spec, worker.Gathering, full, full)
		d.removeAttempt(j.Attempts[0], "its machine is gone")
		blocker := clustertest.Service("000002", 1)
		blocker.Resources.CPUs = 4
		d.Reserve(d.addAcceptedJob(blocker), 0, full, time.Now())
		d.placeRound(time.Now())
		if a := j.Attempts[0]; a != nil {
			t.Errorf("replaced on machine %d of another zone", a.Machine.ID)
		}
		d.removeAttempt(j.Attempts[1], "ended")
		d.placeRound(time.Now())
		if len(j.Attempts) != 2 || j.Attempts[0].Machine != other {
			t.Errorf("begun anew with %d tasks", len(j.Attempts))
		}
	})
}

// Users are told tasks as running until they exit, also those of a gang that is
// being stopped or has lost a task.
func TestStoppingGangTasksCountAsRunning(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newTestScheduler(t, clustertest.Settings())
		m := d.addReadyMachine(1, "cpu", "a", false)
		j := d.addGang(gangSpec("000001", 3), worker.Running, m, m, m)
		d.stopGang(j)
		if a := responseOf(j); a.Running != 3 || a.State != api.StateRunning {
			t.Errorf("told %+v", a)
		}
		d.removeAttempt(j.Attempts[0], "ended")
		if a := responseOf(j); a.Running != 2 || a.State != api.StateRunning {
			t.Errorf("told %+v", a)
		}
	})
}

// For arrays and services the number only tells one start from another: none is used
// twice.
func TestAttemptNumbersAreUnique(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newTestScheduler(t, clustertest.Settings())
		for i := range 4 {
			d.addReadyMachine(i, "cpu", "a", false)
		}
		array, replicas := d.addAcceptedJob(clustertest.Array("000001", 4)), d.addAcceptedJob(clustertest.Service("000002", 3))
		used := make(map[uint64]worker.TaskID)
		for range 3 {
			d.placeRound(time.Now())
			for _, j := range []*cluster.Job{array, replicas} {
				for _, a := range j.GangAttempts() {
					if id, taken := used[a.Number]; taken {
						t.Errorf("%v starts under the number of %v", a.ID(), id)
					}
					used[a.Number] = a.ID()
					d.removeAttempt(a, "lost")
				}
			}
		}
		if len(used) != 3*7 {
			t.Errorf("%d starts", len(used))
		}
	})
}

// A report of states that a gang can't be in changes nothing: tasks that the job
// doesn't have, a gang that waits again after it ran, an end of an attempt that isn't
// the present one.
func TestImpossibleGangReportsAreIgnored(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newTestScheduler(t, clustertest.Settings())
		m := d.addReadyMachine(1, "cpu", "a", false)
		j := d.addGang(gangSpec("000001", 2), worker.Running, m, m)
		for _, r := range []worker.TaskReport{
			{ID: worker.TaskID{Job: "000001", Task: 7}, Attempt: 9, State: worker.Exited, Cause: worker.CauseDone},
			{ID: worker.TaskID{Job: "000001", Task: 0}, Attempt: 3, State: worker.Exited, Cause: worker.CausePeers},
			{ID: worker.TaskID{Job: "000001", Task: 1}, Attempt: 9, State: worker.Gathering},
			{ID: worker.TaskID{Job: "999999", Task: 0}, Attempt: 9, State: worker.Running},
		} {
			d.applyTaskReport(m, &worker.Report{Incarnation: 1}, r, time.Now())
		}
		if n, _ := countStopping(j); j.Done != 0 || len(j.Attempts) != 2 || n != 0 || !j.Gang.Started || j.Gang.Failed {
			t.Errorf("%d done, %d attempts, %d stopped, %+v", j.Done, len(j.Attempts), n, j.Gang)
		}
	})
}
