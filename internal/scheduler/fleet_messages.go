package scheduler

import (
	"time"

	"sagevale/internal/autoscaling"
	"sagevale/internal/cloud"
	"sagevale/internal/storage"
)

// The messages of the autoscaler.
type (
	machineTypesMessage struct{ types []storage.MachineType }
	machineListMessage  struct{ machines []cloud.Machine }
	launchedMessage     struct {
		launch   storage.LaunchRecord
		machines []int
	}
	rejectedMessage   struct{ offering cloud.Offering }
	terminatedMessage struct{ machines []int }
	surplusMessage    struct{ surplus autoscaling.SurplusMachine }
)

// HandleMachineTypes is part of autoscaling.Scheduler.
func (d *scheduler) HandleMachineTypes(types []storage.MachineType) {
	d.post(machineTypesMessage{types})
}

// HandleMachineList is part of autoscaling.Scheduler.
func (d *scheduler) HandleMachineList(machines []cloud.Machine) { d.post(machineListMessage{machines}) }

// HandleLaunched is part of autoscaling.Scheduler.
func (d *scheduler) HandleLaunched(launch storage.LaunchRecord, machines []int) {
	d.post(launchedMessage{launch, machines})
}

// HandleRejected is part of autoscaling.Scheduler.
func (d *scheduler) HandleRejected(o cloud.Offering) { d.post(rejectedMessage{o}) }

// HandleTerminated is part of autoscaling.Scheduler.
func (d *scheduler) HandleTerminated(machines []int) { d.post(terminatedMessage{machines}) }

// HandleSurplus is part of autoscaling.Scheduler.
func (d *scheduler) HandleSurplus(m autoscaling.SurplusMachine) { d.post(surplusMessage{m}) }

func (m machineTypesMessage) handle(d *scheduler) {
	d.state.SetTypes(m.types)
	d.markRecord(storage.MachineTypesKey, func() any { return m.types })
	d.placementDue = true
}

func (m machineListMessage) handle(d *scheduler) { d.handleList(m.machines) }

func (m launchedMessage) handle(d *scheduler) { d.handleLaunched(m) }

func (m rejectedMessage) handle(d *scheduler) { d.reviewer.NoteRejected(m.offering, time.Now()) }

func (m terminatedMessage) handle(d *scheduler) {
	for _, id := range m.machines {
		d.removeMachine(id, "terminated")
		d.terminated[id] = true
	}
}

func (m surplusMessage) handle(d *scheduler) { d.drainSurplus(m.surplus) }
