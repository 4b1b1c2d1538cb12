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

// An earlier leader may leave tasks of one gang under two attempt numbers, because only part of its writes became durable.
// The new leader stops all these tasks, and starts the gang again once they are gone.
func TestLoadedGangOfTwoAttemptsIsAborted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		spec := gangSpec("000001", 3)
		sched := newTestScheduler(t, clustertest.Settings())
		if err := sched.loadRecords([]storage.Record{newRecord(t, storage.JobKey("000001"), storage.JobRecord{Tasks: 3, Spec: &spec}),
			newRecord(t, storage.TaskPageKey("000001", 0), storage.TaskPageRecord{Attempts: []storage.AttemptRecord{
				{Task: 0, Number: 5, Machine: 1, Incarnation: 1}, {Task: 1, Number: 9, Machine: 2, Incarnation: 1}}})}); err != nil {
			t.Fatal(err)
		}
		sched.state.SetTypes(clustertest.Types)
		j := sched.state.Jobs.Get("000001")
		for i := 10; i < 14; i++ {
			sched.addReadyMachine(i, "cpu", "a", false)
		}
		sched.placeRound(time.Now())
		if len(j.Attempts) != 2 || !j.Attempts[0].Stopping || !j.Attempts[1].Stopping {
			t.Errorf("attempts %+v, want both stopping", j.Attempts)
		}
		for _, a := range j.GangAttempts() {
			sched.removeAttempt(a, "gone")
		}
		sched.placeRound(time.Now())
		if len(j.Attempts) != 3 || len(map[uint64]bool{j.Attempts[0].Number: true, j.Attempts[1].Number: true, j.Attempts[2].Number: true}) != 1 {
			t.Errorf("attempts %+v, want three with the same number", j.Attempts)
		}
	})
}

// addGang adds a gang with attempt number 9, whose tasks are all in the given state. Task i runs on the i-th of the
// machines.
func (s *scheduler) addGang(spec storage.Spec, state worker.TaskState, machines ...*cluster.Machine) *cluster.Job {
	j := s.addAcceptedJob(spec)
	for i, m := range machines {
		s.addAttempt(&cluster.Attempt{
			Job: j, Task: i, Number: 9, Machine: m, Incarnation: 1, ThisTerm: true, Durable: true, Reported: true,
			State: state, ReservedAt: time.Now(), Started: time.Now(), GatheringSince: time.Now(),
		})
	}
	s.lastAttempt = 9
	j.Gang.Started = state == worker.Running
	return j
}

// If a running gang loses a task, the scheduler stops the other tasks without a grace period. It starts no new attempt
// before all of them are gone.
func TestTaskLossAbortsRunningGang(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sched := newTestScheduler(t, clustertest.Settings())
		j := sched.addGang(gangSpec("000001", 3), worker.Running, sched.addReadyMachine(1, "cpu", "a", false), sched.addReadyMachine(2, "cpu", "a", false), sched.addReadyMachine(3, "cpu", "a", false))
		sched.addReadyMachine(4, "cpu", "a", false)
		sched.removeAttempt(j.Attempts[0], "its machine is gone")
		for _, a := range j.GangAttempts() {
			if !a.Stopping || a.GraceSeconds != 0 {
				t.Errorf("attempt of task %d is %+v, want it stopping without a grace period", a.Task, a)
			}
		}
		sched.placeRound(time.Now())
		if len(j.Attempts) != 2 {
			t.Errorf("got %d tasks before the aborted attempt has ended, want its remaining 2", len(j.Attempts))
		}
		for _, a := range j.GangAttempts() {
			sched.removeAttempt(a, "ended")
		}
		sched.placeRound(time.Now())
		if len(j.Attempts) != 3 || j.Attempts[0].Number == 9 {
			t.Errorf("restarted as %+v with %d tasks, want 3 tasks under a new attempt number", j.Gang, len(j.Attempts))
		}
	})
}

// A worker never restarts an attempt whose exit it has recorded. If a task exits before its gang has started, its replacement
// has the same attempt number as the exited task. The scheduler therefore places the replacement on another machine.
func TestGangReplacementAvoidsMachineOfSameAttempt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sched := newTestScheduler(t, clustertest.Settings())
		machine1, machine2 := sched.addReadyMachine(1, "cpu", "a", false), sched.addReadyMachine(2, "cpu", "a", false)
		j := sched.addGang(gangSpec("000001", 2), worker.Gathering, machine1, machine1)
		j.Attempts[0].State = worker.Exited
		sched.attemptExited(j.Attempts[0], worker.TaskReport{ID: worker.TaskID{Job: "000001", Task: 0}, Attempt: 9, State: worker.Exited, Cause: worker.CauseStopped}, time.Now())
		if len(j.Attempts) != 1 {
			t.Fatalf("%d attempts are left, want 1", len(j.Attempts))
		}
		machine1.Images["img"] = cluster.Image{SizeGB: 1} // because of the cached image, placement would otherwise prefer this machine
		sched.placeRound(time.Now())
		if a := j.Attempts[0]; a == nil || a.Machine != machine2 || a.Number != 9 {
			t.Errorf("replaced by %+v, want attempt 9 on machine 2", a)
		}
	})
}

func TestGangIsDoneWithFirstTask(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sched := newTestScheduler(t, clustertest.Settings())
		m := sched.addReadyMachine(1, "cpu", "a", false)
		j := sched.addGang(gangSpec("000001", 3), worker.Running, m, m, m)
		sched.attemptExited(j.Attempts[1], worker.TaskReport{ID: worker.TaskID{Job: "000001", Task: 1}, Attempt: 9, State: worker.Exited, Cause: worker.CauseDone}, time.Now())
		if j.Done != 3 || j.Phase != storage.PhaseDone {
			t.Errorf("%d tasks done in phase %v, want all 3 and done", j.Done, j.Phase)
		}
	})
}

// A task whose image pull doesn't complete makes its whole gang wait. When the other tasks have waited for GangWait times
// stalledGangWaitShare, the scheduler stops the stalled task, so that it can be placed on another machine.
func TestGangTaskThatDoesNotStartIsReplaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := clustertest.Settings()
		s.GangWait = 45 * time.Second
		sched := newTestScheduler(t, s)
		machine1, machine2 := sched.addReadyMachine(1, "cpu", "a", false), sched.addReadyMachine(2, "cpu", "a", false)
		j := sched.addGang(gangSpec("000001", 2), worker.Gathering, machine1, machine2)
		j.Attempts[1].State = worker.Pulling
		sched.nextSnapshot = time.Now().Add(time.Hour) // no fleet snapshots in this test
		if sched.tick(); j.Attempts[1].Stopping {
			t.Error("the pulling task is stopped at once")
		}
		time.Sleep(s.GangWait * 45 / 100) // more than GangWait times stalledGangWaitShare, but before the machines' leases expire
		if sched.tick(); j.Attempts[0].Stopping || !j.Attempts[1].Stopping {
			t.Errorf("gathering task stopping: %v, pulling task stopping: %v; want false and true", j.Attempts[0].Stopping, j.Attempts[1].Stopping)
		}
	})
}

// The scheduler places no task of a gang until the whole gang fits into the unused part of its team's limit.
func TestGangWaitsForTeamLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := clustertest.Settings()
		s.Teams = append(s.Teams, config.Team{Name: "small", Limit: storage.Resources{GPUs: 2}})
		sched := newTestScheduler(t, s)
		m := sched.addReadyMachine(1, "gpu", "a", false)
		runningGang := sched.addGang(withLimitedTeam(gangSpec("000001", 1)), worker.Running, m)
		j := sched.addAcceptedJob(withLimitedTeam(gangSpec("000002", 2)))
		sched.placeRound(time.Now())
		if len(j.Attempts) != 0 {
			t.Errorf("%d tasks are placed beyond the limit, want none", len(j.Attempts))
		}
		sched.removeAttempt(runningGang.Attempts[0], "ended")
		runningGang.RetryAfter = time.Now().Add(time.Hour)
		sched.placeRound(time.Now())
		if len(j.Attempts) != 2 {
			t.Errorf("%d tasks are placed within the limit, want 2", len(j.Attempts))
		}
	})
}

// If a task exits because other tasks of its gang are missing, this doesn't count as a failure of the machine or of the job,
// and the machine isn't quarantined.
func TestGangFailureIsNotMachineFailure(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sched := newTestScheduler(t, clustertest.Settings())
		machine1, machine2 := sched.addReadyMachine(1, "cpu", "a", false), sched.addReadyMachine(2, "cpu", "a", false)
		j := sched.addGang(gangSpec("000001", 2), worker.Gathering, machine1, machine2)
		sched.applyTaskReport(machine1, &worker.Report{Incarnation: 1}, worker.TaskReport{ID: worker.TaskID{Job: "000001", Task: 0}, Attempt: 9, State: worker.Exited, Cause: worker.CauseGangMissing}, time.Now())
		if machine1.Failures.Suspected() || !machine1.QuarantinedUntil.IsZero() || len(j.Failures.Machines()) != 0 {
			t.Errorf("failures of the machine %+v and of the job %+v, want none", machine1.Failures, j.Failures)
		}
		if a := j.Attempts[1]; a == nil || !a.Stopping {
			t.Errorf("the other task's attempt is %+v, want it stopping", a)
		}
	})
}

// All tasks of this gang must be in one zone. A replacement for a lost task is therefore placed only in the zone of the other
// tasks. The next attempt may use another zone, but it starts only after all tasks of the current attempt are gone.
func TestGangStaysInZone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sched := newTestScheduler(t, clustertest.Settings())
		fullMachine, otherZoneMachine := sched.addReadyMachine(1, "cpu", "a", false), sched.addReadyMachine(2, "cpu", "b", false)
		spec := gangSpec("000001", 2)
		spec.Resources.CPUs = 4
		j := sched.addGang(spec, worker.Gathering, fullMachine, fullMachine)
		sched.removeAttempt(j.Attempts[0], "its machine is gone")
		blocker := clustertest.Service("000002", 1)
		blocker.Resources.CPUs = 4
		sched.Reserve(sched.addAcceptedJob(blocker), 0, fullMachine, time.Now())
		sched.placeRound(time.Now())
		if a := j.Attempts[0]; a != nil {
			t.Errorf("replaced on machine %d of another zone, want no replacement", a.Machine.ID)
		}
		sched.removeAttempt(j.Attempts[1], "ended")
		sched.placeRound(time.Now())
		if len(j.Attempts) != 2 || j.Attempts[0].Machine != otherZoneMachine {
			t.Errorf("restarted with %d tasks, want 2 in the other zone", len(j.Attempts))
		}
	})
}

// Responses to users count the tasks of a gang as running until they exit, even while the gang is being stopped or after it
// has lost a task.
func TestStoppingGangTasksCountAsRunning(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sched := newTestScheduler(t, clustertest.Settings())
		m := sched.addReadyMachine(1, "cpu", "a", false)
		j := sched.addGang(gangSpec("000001", 3), worker.Running, m, m, m)
		sched.stopGang(j)
		if response := responseOf(j); response.Running != 3 || response.State != api.StateRunning {
			t.Errorf("response %+v, want 3 running tasks", response)
		}
		sched.removeAttempt(j.Attempts[0], "ended")
		if response := responseOf(j); response.Running != 2 || response.State != api.StateRunning {
			t.Errorf("response %+v after a loss, want 2 running tasks", response)
		}
	})
}

// Each start of a task of an array or a service gets a new attempt number.
func TestAttemptNumbersAreUnique(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sched := newTestScheduler(t, clustertest.Settings())
		for i := range 4 {
			sched.addReadyMachine(i, "cpu", "a", false)
		}
		array, replicas := sched.addAcceptedJob(clustertest.Array("000001", 4)), sched.addAcceptedJob(clustertest.Service("000002", 3))
		used := make(map[uint64]worker.TaskID)
		for range 3 {
			sched.placeRound(time.Now())
			for _, j := range []*cluster.Job{array, replicas} {
				for _, a := range j.GangAttempts() {
					if id, ok := used[a.Number]; ok {
						t.Errorf("%v starts under attempt number %d, which %v has already used", a.ID(), a.Number, id)
					}
					used[a.Number] = a.ID()
					sched.removeAttempt(a, "lost")
				}
			}
		}
		if len(used) != 3*7 {
			t.Errorf("%d starts, want %d", len(used), 3*7)
		}
	})
}

// The scheduler ignores task reports that contradict its state:
//
//   - The job doesn't have the reported task.
//   - The task has exited under an attempt number that isn't the gang's current one.
//   - The task still waits for the other tasks (state Gathering), although the gang has already started.
//   - The job is unknown.
func TestImpossibleGangReportsAreIgnored(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sched := newTestScheduler(t, clustertest.Settings())
		m := sched.addReadyMachine(1, "cpu", "a", false)
		j := sched.addGang(gangSpec("000001", 2), worker.Running, m, m)
		for _, r := range []worker.TaskReport{
			{ID: worker.TaskID{Job: "000001", Task: 7}, Attempt: 9, State: worker.Exited, Cause: worker.CauseDone},
			{ID: worker.TaskID{Job: "000001", Task: 0}, Attempt: 3, State: worker.Exited, Cause: worker.CauseGangMissing},
			{ID: worker.TaskID{Job: "000001", Task: 1}, Attempt: 9, State: worker.Gathering},
			{ID: worker.TaskID{Job: "999999", Task: 0}, Attempt: 9, State: worker.Running},
		} {
			sched.applyTaskReport(m, &worker.Report{Incarnation: 1}, r, time.Now())
		}
		if n, _ := countStopping(j); j.Done != 0 || len(j.Attempts) != 2 || n != 0 || !j.Gang.Started || j.Gang.Failed {
			t.Errorf("%d done, %d attempts, %d stopping, %+v; want two attempts that keep running", j.Done, len(j.Attempts), n, j.Gang)
		}
	})
}
