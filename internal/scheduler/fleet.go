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

// drain has nothing more placed on a machine and moves its tasks: services and
// what can save its progress restart elsewhere, others may finish unless the
// machine is being taken.
func (d *scheduler) drain(m *cluster.Machine, reason string) {
	if m.DrainReason != "" || m.Terminating {
		return
	}
	m.DrainReason = reason
	d.log.Info("drain", "machine", m.ID, "type", m.TypeName, "spot", m.Spot, "reason", reason, "tasks", len(m.Attempts))
	now := time.Now()
	for _, a := range m.SortedAttempts() {
		s := &a.Job.Spec
		switch {
		case s.Gang:
			d.drainGang(a, now)
		case s.Service:
			d.stopAttempt(a, 0)
		case s.CheckpointS > 0:
			d.stopAttempt(a, s.SaveS) // goes on elsewhere from where it was
		case m.PreemptionAt.IsZero():
		case !a.Reported || a.State == worker.Pulling || clock.Seconds(s.EstimateS)-now.Sub(a.Started) > m.PreemptionAt.Sub(now):
			d.stopAttempt(a, 0)
		}
	}
	d.commandStops(m)
	d.placementDue = true
}

// drainSurplus drains a machine that the fleet can do without, unless it has got work since that was found. An
// empty one is terminated at once.
func (d *scheduler) drainSurplus(surplus autoscaling.SurplusMachine) {
	d.drainsRequested++
	m := d.state.Machines.Get(surplus.Machine)
	if m == nil || len(m.Attempts) > surplus.Attempts {
		d.autoscaler.DrainCompleted()
		return
	}
	d.drain(m, "surplus")
	if len(m.Attempts) == 0 {
		d.terminateMachines([]int{m.ID})
		d.autoscaler.DrainCompleted()
	}
}

// handleList takes in what the cloud lists. Absence from a list proves
// nothing; a machine is only let go once its lease has surely ended too.
func (d *scheduler) handleList(machines []cloud.Machine) {
	now := time.Now()
	d.machinesListed = true
	seen := make(map[int]bool, len(machines))
	for _, l := range machines {
		seen[l.ID] = true
		m := d.state.Machines.Get(l.ID)
		if m == nil {
			if d.terminated[l.ID] {
				continue
			}
			m = d.state.EnsureMachine(l.ID, now)
			m.FirstSeen, m.ProvisioningObserved = now.Add(-clock.Seconds(l.AgeSeconds)), true
			d.log.Info("unexpected machine", "machine", l.ID, "type", l.Type, "zone", l.Zone, "spot", l.Spot)
		}
		if m.TypeName == "" {
			m.TypeName, m.Zone, m.Spot, m.Type = l.Type, l.Zone, l.Spot, d.state.Types.Get(l.Type)
		}
		if m.Addr == "" {
			m.Addr = l.Addr
		}
		m.ListedAt = now
		m.Failed = l.State == cloud.Failed
	}
	for _, m := range slices.Clone(d.state.Machines.InOrder()) {
		silent := now.Sub(m.LastContact) > d.settings.WorkerLease && now.Sub(m.FirstSeen) > d.settings.WorkerLease+4*d.settings.ListLag
		if !seen[m.ID] && !m.Terminating && silent && now.Sub(m.ListedAt) > 4*d.settings.ListLag && now.After(d.provenEmptyAt(m)) {
			d.removeMachine(m.ID, "no longer listed")
		}
	}
}

// removeMachine forgets a machine that the cloud has surely taken.
func (d *scheduler) removeMachine(id int, why string) {
	m := d.state.Machines.Get(id)
	if m == nil {
		return
	}
	for _, a := range m.SortedAttempts() {
		d.removeAttempt(a, "its machine is gone")
	}
	d.state.Machines.Remove(m)
	d.markRecord(storage.MachineKey(id), removed)
	d.log.Info("machine gone", "machine", id, "why", why)
	d.placementDue = true
}

func (d *scheduler) handleLaunched(msg launchedMessage) {
	now := time.Now()
	for _, id := range msg.machines {
		m := d.state.Machines.Get(id)
		if m == nil {
			if d.terminated[id] {
				continue
			}
			m = d.state.EnsureMachine(id, now)
			m.FirstSeen, m.ProvisioningObserved, m.ListedAt = now, true, now
		}
		if m.TypeName == "" {
			m.TypeName, m.Zone, m.Spot, m.Type = msg.launch.Type, msg.launch.Zone, msg.launch.Spot, d.state.Types.Get(msg.launch.Type)
		}
	}
	d.placementDue = true
}

// terminateMachines has machines returned, once it is durable that they will be. The
// cloud may carry out a deletion late, so there is no way back from here.
func (d *scheduler) terminateMachines(ids []int) {
	if len(ids) == 0 {
		return
	}
	for _, id := range ids {
		if m := d.state.Machines.Get(id); !m.Terminating {
			d.log.Info("return", "machine", id, "type", m.TypeName, "spot", m.Spot, "draining", m.DrainReason, "failed", m.Failed, "age", time.Since(m.FirstSeen))
			m.Terminating = true
			d.markMachine(m)
		}
	}
	d.onCommit(func(err error) {
		if err == nil {
			d.autoscaler.Terminate(ids)
		}
	})
}
