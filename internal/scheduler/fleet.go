package scheduler

import (
	"slices"
	"time"

	"sagevale/internal/autoscaling"
	"sagevale/internal/clock"
	"sagevale/internal/cloud"
	"sagevale/internal/cluster"
	"sagevale/internal/storage"
	"sagevale/internal/worker"
)

// maxListLags is how long a machine must be missing from the cloud's list before it counts as gone. It is a multiple of
// Settings.ListLag, the time by which the list may lag behind the machines that exist.
const maxListLags = 4

// drain cordons a machine and evicts its tasks. Services and tasks that save checkpoints are restarted on other machines.
// Other tasks may finish. If the cloud will preempt the machine before a task can finish, the task is stopped at once.
// drainGang handles the tasks of gangs.
func (s *scheduler) drain(m *cluster.Machine, reason string) {
	if m.DrainReason != "" || m.Terminating {
		return
	}
	m.DrainReason = reason
	s.log.Info("machine draining", "machine", m.ID, "type", m.TypeName, "spot", m.Spot, "reason", reason, "tasks", len(m.Attempts))
	now := time.Now()
	for _, a := range m.SortedAttempts() {
		spec := &a.Job.Spec
		switch {
		case spec.Gang:
			s.drainGang(a, now)
		case spec.Service:
			s.stopAttempt(a, 0)
		case spec.CheckpointS > 0:
			s.stopAttempt(a, spec.SaveS) // the task resumes on another machine from its checkpoint
		case m.PreemptionAt.IsZero():
		case !a.Reported || a.State == worker.Pulling || clock.Seconds(spec.EstimateS)-now.Sub(a.Started) > m.PreemptionAt.Sub(now):
			s.stopAttempt(a, 0)
		}
	}
	s.sendStops(m)
	s.placementDue = true
}

// drainSurplus drains a machine that the autoscaler has found to be surplus. If the machine has received more attempts since
// the autoscaler's decision, it isn't drained. An empty machine is terminated at once.
func (s *scheduler) drainSurplus(surplus autoscaling.SurplusMachine) {
	s.drainsRequested++
	m := s.state.Machines.Get(surplus.Machine)
	if m == nil || len(m.Attempts) > surplus.Attempts {
		s.autoscaler.DrainCompleted()
		return
	}
	s.drain(m, "surplus")
	if len(m.Attempts) == 0 {
		s.terminateMachines([]int{m.ID})
		s.autoscaler.DrainCompleted()
	}
}

// handleList reconciles the machines with the cloud's list. The list may be outdated, so a machine that isn't listed may still
// exist. Such a machine is removed only once provenGone returns true.
func (s *scheduler) handleList(machines []cloud.Machine) {
	now := time.Now()
	s.machinesListed = true
	seen := make(map[int]bool, len(machines))
	for _, listed := range machines {
		seen[listed.ID] = true
		s.updateListed(listed, now)
	}
	for _, m := range slices.Clone(s.state.Machines.InOrder()) {
		if !seen[m.ID] && s.provenGone(m, now) {
			s.removeMachine(m.ID, "no longer listed")
		}
	}
}

// updateListed updates a machine from its entry in the cloud's list. It ignores terminated machines, which remain in
// the list for a while.
func (s *scheduler) updateListed(listed cloud.Machine, now time.Time) {
	m := s.state.Machines.Get(listed.ID)
	if m == nil {
		if s.terminated[listed.ID] {
			return
		}
		m = s.state.EnsureMachine(listed.ID, now)
		m.FirstSeen, m.ProvisioningObserved = now.Add(-clock.Seconds(listed.AgeSeconds)), true
		s.log.Info("unexpected machine listed", "machine", listed.ID, "type", listed.Type, "zone", listed.Zone, "spot", listed.Spot)
	}
	if m.TypeName == "" {
		m.TypeName, m.Zone, m.Spot, m.Type = listed.Type, listed.Zone, listed.Spot, s.state.Types.Get(listed.Type)
	}
	if m.Addr == "" {
		m.Addr = listed.Addr
	}
	m.ListedAt = now
	m.Failed = listed.State == cloud.Failed
}

// provenGone reports whether a machine that isn't in the cloud's list is certainly gone. The machine must have been missing
// from the list for longer than the list can be outdated, and must have sent no report for longer than a worker lease. The
// lease of its worker must also have expired for certain.
func (s *scheduler) provenGone(m *cluster.Machine, now time.Time) bool {
	lag := maxListLags * s.settings.ListLag
	silent := now.Sub(m.LastContact) > s.settings.WorkerLease && now.Sub(m.FirstSeen) > s.settings.WorkerLease+lag
	return !m.Terminating && silent && now.Sub(m.ListedAt) > lag && now.After(s.leaseExpiredBy(m))
}

// removeMachine removes a machine that no longer exists, and the attempts on it.
func (s *scheduler) removeMachine(id int, reason string) {
	m := s.state.Machines.Get(id)
	if m == nil {
		return
	}
	for _, a := range m.SortedAttempts() {
		s.removeAttempt(a, "machine removed")
	}
	s.state.Machines.Remove(m)
	s.markRecord(storage.MachineKey(id), noData)
	s.log.Info("machine removed", "machine", id, "reason", reason)
	s.placementDue = true
}

// handleLaunched adds the machines of a completed launch. The cloud's list may not contain these machines yet.
func (s *scheduler) handleLaunched(msg launchedMessage) {
	now := time.Now()
	for _, id := range msg.machines {
		m := s.state.Machines.Get(id)
		if m == nil {
			if s.terminated[id] {
				continue
			}
			m = s.state.EnsureMachine(id, now)
			m.FirstSeen, m.ProvisioningObserved, m.ListedAt = now, true, now
		}
		if m.TypeName == "" {
			m.TypeName, m.Zone, m.Spot, m.Type = msg.launch.Type, msg.launch.Zone, msg.launch.Spot, s.state.Types.Get(msg.launch.Type)
		}
	}
	s.placementDue = true
}

// terminateMachines records that machines are to be terminated. Once the records are durable, it requests that the cloud
// delete the machines. The decision can't be revoked, because the cloud may execute a deletion late.
func (s *scheduler) terminateMachines(ids []int) {
	if len(ids) == 0 {
		return
	}
	for _, id := range ids {
		if m := s.state.Machines.Get(id); !m.Terminating {
			s.log.Info("machine termination requested", "machine", id, "type", m.TypeName, "spot", m.Spot, "drain_reason", m.DrainReason, "failed", m.Failed, "age", time.Since(m.FirstSeen))
			m.Terminating = true
			s.markMachine(m)
		}
	}
	s.onCommit(func(err error) {
		if err == nil {
			s.autoscaler.Terminate(ids)
		}
	})
}
