package scheduler

import (
	"time"

	"sagevale/internal/clock"
	"sagevale/internal/cluster"
	"sagevale/internal/storage"
	"sagevale/internal/worker"
)

// Gang scheduling: a gang's tasks run at the same time or not at all. The workers find each other by the number of the
// attempt, so all tasks of one attempt share it. Resources of all of them are durably reserved before any is started.
// Until the gang runs, a task that is lost is replaced under the same number. After that a loss ends the attempt, and
// the next one begins once every task of it is proved to be gone.

// gatherPatience is the part of the settings' GangWait for which the others wait for a task before it is started
// elsewhere. The replacement has the rest of it to come.
const gatherPatience = 0.4

// gangTaskLost handles the loss of a gang's task. The other tasks of an attempt that ran are stopped at once, because
// its progress since the last checkpoint is lost.
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

// abortGang ends what is left of a gang's attempt.
func (s *scheduler) abortGang(j *cluster.Job) {
	for _, a := range j.GangAttempts() {
		if j.Attempts[a.Task] == a && (!a.Stopping || a.GraceSeconds > 0) {
			a.StopCommanded = false
			s.stopAttempt(a, 0)
		}
	}
	s.sendGangStops(j)
}

// stopGang stops all tasks of a gang so that it saves a checkpoint. That takes all of them to be told within
// gang_peer_s of the first: by direct commands, repeated in the responses to heartbeats.
func (s *scheduler) stopGang(j *cluster.Job) {
	for _, a := range j.GangAttempts() {
		if j.Attempts[a.Task] == a && !a.Stopping {
			s.stopAttempt(a, j.Spec.SaveS)
		}
	}
	s.sendGangStops(j)
}

// sendGangStops sends the workers of a gang's tasks their stops directly.
func (s *scheduler) sendGangStops(j *cluster.Job) {
	commanded := make(map[*cluster.Machine]bool)
	for _, a := range j.GangAttempts() {
		if !commanded[a.Machine] {
			commanded[a.Machine] = true
			s.sendStops(a.Machine)
		}
	}
}

// completeGang marks all tasks of a gang as done because one of them is: they complete together.
func (s *scheduler) completeGang(j *cluster.Job) {
	for i := range j.Tasks {
		j.SetTask(i, cluster.TaskDone)
		if i%storage.PageTasks == 0 {
			s.markPage(j, i)
		}
	}
}

// drainGang handles a gang's task on a draining machine. It may finish, unless the machine is preempted before that:
// then it is replaced if its gang hasn't run yet, and else the gang saves a checkpoint if there is time for that.
// Without the time it runs on, because it may still reach its next checkpoint.
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
	left := m.PreemptionAt.Sub(now)
	ends := clock.Seconds(s.state.Classes.RunSeconds(j)) - now.Sub(a.Started)
	if ends > left && clock.Seconds(j.Spec.SaveS)+s.settings.HeartbeatInterval/2 < left && s.GangReachable(j, now) {
		s.stopGang(j)
	}
}

// replaceStalledGangTasks restarts elsewhere the tasks that keep the others of their gang waiting, on machines that
// hang or pull an image for too long.
func (s *scheduler) replaceStalledGangTasks(now time.Time) {
	patience := clock.Scale(s.settings.GangWait, gatherPatience)
	for _, j := range s.state.Jobs.Open {
		if !j.Spec.Gang || j.Phase != storage.Open || patience <= 0 || !j.GangCompletable() || j.GatherTime(now) < patience {
			continue
		}
		for _, a := range j.GangAttempts() {
			if j.Attempts[a.Task] == a && a.State != worker.Gathering && now.Sub(a.ReservedAt) > patience {
				s.log.Info("gang task stalled", "job", j.Spec.ID, "task", a.Task, "machine", a.Machine.ID)
				s.stopAttempt(a, 0)
			}
		}
		s.sendJobStops(j)
	}
}
