package scheduler

import (
	"time"

	"sagevale/internal/autoscaling"
	"sagevale/internal/cloud"
	"sagevale/internal/storage"
)

// The messages that the autoscaler sends to the scheduler.
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

// HandleMachineTypes implements autoscaling.Scheduler.
func (s *scheduler) HandleMachineTypes(types []storage.MachineType) {
	s.post(machineTypesMessage{types})
}

// HandleMachineList implements autoscaling.Scheduler.
func (s *scheduler) HandleMachineList(machines []cloud.Machine) { s.post(machineListMessage{machines}) }

// HandleLaunched implements autoscaling.Scheduler.
func (s *scheduler) HandleLaunched(launch storage.LaunchRecord, machines []int) {
	s.post(launchedMessage{launch, machines})
}

// HandleRejected implements autoscaling.Scheduler.
func (s *scheduler) HandleRejected(o cloud.Offering) { s.post(rejectedMessage{o}) }

// HandleTerminated implements autoscaling.Scheduler.
func (s *scheduler) HandleTerminated(machines []int) { s.post(terminatedMessage{machines}) }

// HandleSurplus implements autoscaling.Scheduler.
func (s *scheduler) HandleSurplus(m autoscaling.SurplusMachine) { s.post(surplusMessage{m}) }

func (m machineTypesMessage) handle(s *scheduler) {
	s.state.SetTypes(m.types)
	s.markRecord(storage.MachineTypesKey, func() any { return m.types })
	s.placementDue = true
}

func (m machineListMessage) handle(s *scheduler) { s.handleList(m.machines) }

func (m launchedMessage) handle(s *scheduler) { s.handleLaunched(m) }

func (m rejectedMessage) handle(s *scheduler) { s.reviewer.RecordRejected(m.offering, time.Now()) }

func (m terminatedMessage) handle(s *scheduler) {
	for _, id := range m.machines {
		s.removeMachine(id, "terminated")
		s.terminated[id] = true
	}
}

func (m surplusMessage) handle(s *scheduler) { s.drainSurplus(m.surplus) }
