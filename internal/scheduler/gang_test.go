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

// Attempts of two numbers, which an earlier leader left half written, are all stopped; the gang starts again once they are gone.
func TestLoadedGangOfTwoAttemptsIsAborted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		spec := gangSpec("000001", 3)
		d := newTestScheduler(t, clustertest.Settings())
		if err := d.loadRecords([]storage.Record{newRecord(t, storage.JobKey("000001"), storage.JobRecord{Tasks: 3, Spec: &spec}),
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
			t.Errorf("attempts %+v, want both stopping", j.Attempts)
		}
		for _, a := range j.GangAttempts() {
			d.removeAttempt(a, "gone")
		}
		d.placeRound(time.Now())
		if len(j.Attempts) != 3 || len(map[uint64]bool{j.Attempts[0].Number: true, j.Attempts[1].Number: true, j.Attempts[2].Number: true}) != 1 {
			t.Errorf("attempts %+v, want three of one number", j.Attempts)
		}
	})
}

// addGang adds a gang with an attempt in the given state, one task on each of the machines.
func (d *scheduler) addGang(spec storage.Spec, state worker.TaskState, machines ...*cluster.Machine) *cluster.Job {
	j := d.addAcceptedJob(spec)
	for i, m := range machines {
		d.addAttempt(&cluster.Attempt{
			Job: j, Task: i, Number: 9, Machine: m, Incarnation: 1, ThisTerm: true, Durable: true, Reported: true,
			State: state, ReservedAt: time.Now(), Started: time.Now(), GatheringSince: time.Now(),
		})
	}
	d.lastAttempt = 9
	j.Gang.Started = state == worker.Running
	return j
}

// The loss of a task aborts a running attempt: the other tasks are stopped at once, and no new attempt starts before all of them
// are gone.
func TestTaskLossAbortsRunningGang(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newTestScheduler(t, clustertest.Settings())
		j := d.addGang(gangSpec("000001", 3), worker.Running, d.addReadyMachine(1, "cpu", "a", false), d.addReadyMachine(2, "cpu", "a", false), d.addReadyMachine(3, "cpu", "a", false))
		d.addReadyMachine(4, "cpu", "a", false)
		d.removeAttempt(j.Attempts[0], "its machine is gone")
		for _, a := range j.GangAttempts() {
			if !a.Stopping || a.GraceSeconds != 0 {
				t.Errorf("attempt of task %d is %+v, want it stopping at once", a.Task, a)
			}
		}
		d.placeRound(time.Now())
		if len(j.Attempts) != 2 {
			t.Errorf("%d tasks while the earlier attempt isn't over, want its 2", len(j.Attempts))
		}
		for _, a := range j.GangAttempts() {
			d.removeAttempt(a, "ended")
		}
		d.placeRound(time.Now())
		if len(j.Attempts) != 3 || j.Attempts[0].Number == 9 {
			t.Errorf("restarted as %+v with %d tasks, want 3 under a new number", j.Gang, len(j.Attempts))
		}
	})
}

// A worker doesn't start an attempt again whose exit it has recorded, so that a replacement under the same number is placed on
// another machine.
func TestGangReplacementAvoidsMachineOfSameAttempt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newTestScheduler(t, clustertest.Settings())
		one, two := d.addReadyMachine(1, "cpu", "a", false), d.addReadyMachine(2, "cpu", "a", false)
		j := d.addGang(gangSpec("000001", 2), worker.Gathering, one, one)
		j.Attempts[0].State = worker.Exited
		d.attemptExited(j.Attempts[0], worker.TaskReport{ID: worker.TaskID{Job: "000001", Task: 0}, Attempt: 9, State: worker.Exited, Cause: worker.CauseStopped}, time.Now())
		if len(j.Attempts) != 1 {
			t.Fatalf("%d attempts are left, want 1", len(j.Attempts))
		}
		one.Images["img"] = cluster.Image{SizeGB: 1} // preferred otherwise
		d.placeRound(time.Now())
		if a := j.Attempts[0]; a == nil || a.Machine != two || a.Number != 9 {
			t.Errorf("replaced by %+v, want attempt 9 on machine 2", a)
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
			t.Errorf("%d tasks done in phase %v, want all 3 and done", j.Done, j.Phase)
		}
	})
}

// A task whose image pull doesn't complete would keep its whole gang waiting: after a while it is stopped, to be placed elsewhere.
func TestGangTaskThatDoesNotStartIsReplaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := clustertest.Settings()
		s.GangWait = 45 * time.Second
		d := newTestScheduler(t, s)
		one, two := d.addReadyMachine(1, "cpu", "a", false), d.addReadyMachine(2, "cpu", "a", false)
		j := d.addGang(gangSpec("000001", 2), worker.Gathering, one, two)
		j.Attempts[1].State = worker.Pulling
		d.nextSnapshot = time.Now().Add(time.Hour) // no fleet snapshots in this test
		if d.tick(); j.Attempts[1].Stopping {
			t.Error("the pulling task is stopped at once")
		}
		time.Sleep(s.GangWait * 45 / 100) // before the machines' leases expire
		if d.tick(); j.Attempts[0].Stopping || !j.Attempts[1].Stopping {
			t.Errorf("gathering task stopping: %v, pulling task stopping: %v; want false and true", j.Attempts[0].Stopping, j.Attempts[1].Stopping)
		}
	})
}

// A gang beyond its team's remaining limit reserves nothing.
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
			t.Errorf("%d tasks are placed beyond the limit, want none", len(j.Attempts))
		}
		d.removeAttempt(other.Attempts[0], "ended")
		other.RetryAfter = time.Now().Add(time.Hour)
		d.placeRound(time.Now())
		if len(j.Attempts) != 2 {
			t.Errorf("%d tasks are placed within the limit, want 2", len(j.Attempts))
		}
	})
}

// An exit caused by the other tasks of a gang is no failure of the machine: it isn't quarantined.
func TestGangFailureIsNotMachineFailure(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newTestScheduler(t, clustertest.Settings())
		one, two := d.addReadyMachine(1, "cpu", "a", false), d.addReadyMachine(2, "cpu", "a", false)
		j := d.addGang(gangSpec("000001", 2), worker.Gathering, one, two)
		d.applyTaskReport(one, &worker.Report{Incarnation: 1}, worker.TaskReport{ID: worker.TaskID{Job: "000001", Task: 0}, Attempt: 9, State: worker.Exited, Cause: worker.CauseGangMissing}, time.Now())
		if one.Failures.Suspected() || !one.QuarantinedUntil.IsZero() || len(j.Failures.Machines()) != 0 {
			t.Errorf("failures of the machine %+v and of the job %+v, want none", one.Failures, j.Failures)
		}
		if a := j.Attempts[1]; a == nil || !a.Stopping {
			t.Errorf("the other task's attempt is %+v, want it stopping", a)
		}
	})
}

// A replacement stays in the zone of the other tasks, and no attempt starts in another zone before the earlier one is gone.
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
			t.Errorf("replaced on machine %d of another zone, want no replacement", a.Machine.ID)
		}
		d.removeAttempt(j.Attempts[1], "ended")
		d.placeRound(time.Now())
		if len(j.Attempts) != 2 || j.Attempts[0].Machine != other {
			t.Errorf("restarted with %d tasks, want 2 in the other zone", len(j.Attempts))
		}
	})
}

// Tasks are reported as running until they exit, even if their gang is being stopped or has lost a task.
func TestStoppingGangTasksCountAsRunning(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newTestScheduler(t, clustertest.Settings())
		m := d.addReadyMachine(1, "cpu", "a", false)
		j := d.addGang(gangSpec("000001", 3), worker.Running, m, m, m)
		d.stopGang(j)
		if a := responseOf(j); a.Running != 3 || a.State != api.StateRunning {
			t.Errorf("response %+v, want 3 running tasks", a)
		}
		d.removeAttempt(j.Attempts[0], "ended")
		if a := responseOf(j); a.Running != 2 || a.State != api.StateRunning {
			t.Errorf("response %+v after a loss, want 2 running tasks", a)
		}
	})
}

// For arrays and services every start has an attempt number of its own.
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
					if id, ok := used[a.Number]; ok {
						t.Errorf("%v starts under attempt number %d, which %v had", a.ID(), a.Number, id)
					}
					used[a.Number] = a.ID()
					d.removeAttempt(a, "lost")
				}
			}
		}
		if len(used) != 3*7 {
			t.Errorf("%d starts, want %d", len(used), 3*7)
		}
	})
}

// Reports that no gang can cause change nothing: of a task that the job doesn't have, of the exit of another attempt, of
// gathering after the start, and of an unknown job.
func TestImpossibleGangReportsAreIgnored(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newTestScheduler(t, clustertest.Settings())
		m := d.addReadyMachine(1, "cpu", "a", false)
		j := d.addGang(gangSpec("000001", 2), worker.Running, m, m)
		for _, r := range []worker.TaskReport{
			{ID: worker.TaskID{Job: "000001", Task: 7}, Attempt: 9, State: worker.Exited, Cause: worker.CauseDone},
			{ID: worker.TaskID{Job: "000001", Task: 0}, Attempt: 3, State: worker.Exited, Cause: worker.CauseGangMissing},
			{ID: worker.TaskID{Job: "000001", Task: 1}, Attempt: 9, State: worker.Gathering},
			{ID: worker.TaskID{Job: "999999", Task: 0}, Attempt: 9, State: worker.Running},
		} {
			d.applyTaskReport(m, &worker.Report{Incarnation: 1}, r, time.Now())
		}
		if n, _ := countStopping(j); j.Done != 0 || len(j.Attempts) != 2 || n != 0 || !j.Gang.Started || j.Gang.Failed {
			t.Errorf("%d done, %d attempts, %d stopping, %+v; want two attempts that run on", j.Done, len(j.Attempts), n, j.Gang)
		}
	})
}
