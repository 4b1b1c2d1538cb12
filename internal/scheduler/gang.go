package scheduler

import (
	"time"

	"sagevale/internal/clock"
	"sagevale/internal/cluster"
	"sagevale/internal/storage"
	"sagevale/internal/worker"
)

// Gang scheduling: the tasks of a gang run at the same time or not at all. The workers find each other by the attempt
// number, so all tasks of one attempt of the gang share it. Resources for all tasks are durably reserved before any task
// is started. Until the gang runs, a lost task is replaced under the same attempt number. After that a loss ends the
// attempt, and the next attempt begins once every task of the ended one is proved to be gone.

// stalledGangWaitShare is the share of GangWait for which the other tasks of a gang wait for a stalled task before it is
// restarted on another machine. The replacement has the rest of GangWait to start.
const stalledGangWaitShare = 0.4

// gangTaskLost handles the loss of a gang's task. If the attempt has run, its other tasks are stopped at once, because the
// attempt's progress since the last checkpoint is lost.
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

// stopGang stops all tasks of a gang with time to save a checkpoint. The checkpoint succeeds only if all tasks receive
// their stop within gang_peer_s of the first one, so the stops are sent as direct commands and are repeated in the
// responses to heartbeats.
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

// drainGang handles a gang's task on a draining machine. If the machine won't be preempted, the task may finish. Otherwise
// a task whose gang hasn't run yet is stopped and replaced. A gang that has run and can't finish before the preemption is
// stopped to save a checkpoint, if there is time for that and all its workers are reachable. If not, it continues to run,
// because it may still reach its next checkpoint.
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

// replaceStalledGangTasks stops gang tasks that have kept the other tasks of their gang waiting for too long, because
// their machine hangs or is slow to pull an image. They are restarted on other machines.
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
