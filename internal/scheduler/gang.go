package scheduler

import (
	"time"

	"sagevale/internal/clock"
	"sagevale/internal/cluster"
	"sagevale/internal/storage"
	"sagevale/internal/worker"
)

// Gang scheduling: the tasks of a gang run at the same time or not at all. Workers find the other tasks of a gang by the
// attempt number, so all tasks in one attempt of a gang have the same number. Resources for all tasks are durably reserved
// before any task is started. Until the gang runs, a lost task is replaced with the same attempt number. Once the gang has
// run, the loss of a task ends the attempt. The next attempt begins when all tasks of the ended attempt are proved to be gone.

// stalledGangWaitShare is how long the started tasks of a gang wait for a task that doesn't start, as a share of
// Settings.GangWait. GangWait is the time that a gang's tasks wait for each other before they exit. The stalled task is then
// restarted on another machine, and has the remaining part of GangWait to start there.
const stalledGangWaitShare = 0.4

// gangTaskLost handles the loss of a gang's task. If the gang's attempt has run, the other tasks are stopped at once, because
// the attempt's progress since the last checkpoint is lost.
func (s *scheduler) gangTaskLost(a *cluster.Attempt) {
	j := a.Job
	if len(j.Attempts) == 0 {
		j.Gang = cluster.Gang{}
		return
	}
	if a.Reported && a.State == worker.Exited {
		if j.Gang.ExitedOn == nil {
			j.Gang.ExitedOn = make(map[int]bool)
		}
		j.Gang.ExitedOn[a.Machine.ID] = true
	}
	if j.Gang.Started {
		j.Gang.Failed = true
	}
	if j.Gang.Failed && j.Waiting > 0 {
		s.abortGang(j)
	}
}

// abortGang stops the remaining tasks of a gang's attempt without a grace period.
func (s *scheduler) abortGang(j *cluster.Job) {
	for _, a := range j.GangAttempts() {
		if j.Attempts[a.Task] == a && (!a.Stopping || a.GraceSeconds > 0) {
			a.StopCommanded = false
			s.stopAttempt(a, 0)
		}
	}
	s.sendGangStops(j)
}

// stopGang stops all tasks of a gang, with a grace period to save a checkpoint. The checkpoint succeeds only if all tasks
// receive their stop commands within gang_peer_s (a setting, in seconds) after the first task. The stop commands are therefore
// sent directly, and are repeated in the responses to heartbeats.
func (s *scheduler) stopGang(j *cluster.Job) {
	for _, a := range j.GangAttempts() {
		if j.Attempts[a.Task] == a && !a.Stopping {
			s.stopAttempt(a, j.Spec.SaveS)
		}
	}
	s.sendGangStops(j)
}

// sendGangStops sends stop commands directly to the workers that run a gang's tasks.
func (s *scheduler) sendGangStops(j *cluster.Job) {
	commanded := make(map[*cluster.Machine]bool)
	for _, a := range j.GangAttempts() {
		if !commanded[a.Machine] {
			commanded[a.Machine] = true
			s.sendStops(a.Machine)
		}
	}
}

// completeGang marks all tasks of a gang as done when one of them is done, because they complete together.
func (s *scheduler) completeGang(j *cluster.Job) {
	for i := range j.Tasks {
		j.SetTask(i, cluster.TaskDone)
		if i%storage.TasksPerPage == 0 {
			s.markPage(j, i)
		}
	}
}

// drainGang handles a gang's task on a draining machine:
//   - If no preemption of the machine is announced, the task may finish.
//   - If the gang hasn't run yet, the task is stopped and replaced.
//   - If the gang saves checkpoints and can't finish before the preemption, all its tasks are stopped to save a checkpoint.
//     This requires that there is time for the checkpoint and that all workers of the gang are reachable.
//   - In all other cases the gang continues to run, because it may still finish or reach its next checkpoint.
func (s *scheduler) drainGang(a *cluster.Attempt, now time.Time) {
	j, m := a.Job, a.Machine
	if m.PreemptionAt.IsZero() {
		return
	}
	if !j.Gang.Started {
		s.stopAttempt(a, 0)
		return
	}
	if j.Spec.CheckpointS <= 0 {
		return
	}
	remaining := m.PreemptionAt.Sub(now)
	runTimeLeft := clock.Seconds(s.state.Classes.RunSeconds(j)) - now.Sub(a.Started)
	if runTimeLeft > remaining && clock.Seconds(j.Spec.SaveS)+s.settings.HeartbeatInterval/2 < remaining && s.GangReachable(j, now) {
		s.stopGang(j)
	}
}

// replaceStalledGangTasks stops gang tasks for which the other tasks of their gang have waited too long. The machine of such
// a task may hang, or may be slow to pull an image. The tasks are restarted on other machines.
func (s *scheduler) replaceStalledGangTasks(now time.Time) {
	waitLimit := clock.Scale(s.settings.GangWait, stalledGangWaitShare)
	for _, j := range s.state.Jobs.Open {
		if !j.Spec.Gang || j.Phase != storage.PhaseOpen || waitLimit <= 0 || !j.GangCompletable() || j.GatherTime(now) < waitLimit {
			continue
		}
		for _, a := range j.GangAttempts() {
			if j.Attempts[a.Task] == a && a.State != worker.Gathering && now.Sub(a.ReservedAt) > waitLimit {
				s.log.Info("gang task stalled", "job", j.Spec.ID, "task", a.Task, "machine", a.Machine.ID)
				s.stopAttempt(a, 0)
			}
		}
		s.sendJobStops(j)
	}
}
