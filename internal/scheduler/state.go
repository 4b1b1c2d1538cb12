package scheduler

import (
	"time"

	"sagevale/internal/fencing"
	"sagevale/internal/storage"
)

// state is what the leader knows of jobs, attempts, machines and classes during one term.
type state struct {
	jobs         *jobTable
	machines     *machineTable
	types        *machineTypes
	classes      *classTable
	reservations *storage.Reservations
	tokens       fencing.Tokens // that workers are commanded under in this term
}

func newState(tokens fencing.Tokens) *state {
	return &state{
		jobs:         newJobTable(),
		machines:     newMachineTable(),
		types:        &machineTypes{},
		classes:      newClassTable(),
		reservations: storage.NewReservations(),
		tokens:       tokens,
	}
}

// ensureMachine returns the machine of that number, and enters it if it isn't known.
func (s *state) ensureMachine(id int, now time.Time) *machine {
	m := s.machines.get(id)
	if m == nil {
		m = newMachine(id, s.tokens, now)
		m.reserved = s.reservations.Machine(id)
		s.machines.add(m)
	}
	return m
}

// setTypes replaces the machine types.
func (s *state) setTypes(types []storage.MachineType) {
	s.types.set(types)
	for _, m := range s.machines.inOrder() {
		m.machineType = s.types.get(m.typeName)
	}
	for _, j := range s.jobs.all {
		j.feasibleTypes = nil
	}
}

// feasibleTypes returns the names of the machine types that a task of the job may run on.
func (s *state) feasibleTypes(j *job) []string {
	if j.feasibleTypes == nil {
		j.feasibleTypes = s.types.feasible(&j.spec)
	}
	return j.feasibleTypes
}

// minBootSeconds is the shortest nominal boot time of the machine types that a task of the job may run on.
func (s *state) minBootSeconds(j *job) float64 {
	shortest := 0.0
	for _, name := range s.feasibleTypes(j) {
		if boot := s.types.get(name).BootS; shortest == 0 || boot < shortest {
			shortest = boot
		}
	}
	return shortest
}

// addAttempt enters an attempt and reserves its resources.
func (s *state) addAttempt(a *attempt) {
	if a.job.phase == storage.Cancelled {
		s.jobs.trackCancelling(a.job)
	}
	a.job.attempts[a.task] = a
	a.job.setTask(a.task, taskActive)
	a.machine.attempts[a.id()] = a
	s.reservations.Reserve(a.machine.id, a.job.spec.Team, a.job.spec.Resources)
	a.machine.addUsage(a, 1)
	if a.job.spec.Gang {
		a.job.recordGangAttempt(a)
	}
}

// removeAttempt takes out an attempt and releases its resources; its task waits again. It reports whether
// the attempt was there.
func (s *state) removeAttempt(a *attempt, now time.Time) bool {
	j, m := a.job, a.machine
	if j.attempts[a.task] != a {
		return false
	}
	delete(j.attempts, a.task)
	delete(m.attempts, a.id())
	if len(m.attempts) == 0 {
		m.idleSince = now
	}
	s.reservations.Release(m.id, j.spec.Team, j.spec.Resources)
	m.addUsage(a, -1)
	if a.delivery != deliveryNone {
		m.fence.Retain(attemptKey{a.id(), a.number}, a.deliveryToken)
	}
	j.setTask(a.task, taskWaiting)
	return true
}

// markStopping notes that an attempt is to be stopped. A shorter grace period replaces a longer one.
func (s *state) markStopping(a *attempt, graceSeconds float64) {
	if a.stopping && graceSeconds >= a.graceSeconds {
		return
	}
	a.machine.addUsage(a, -1)
	a.stopping, a.graceSeconds = true, graceSeconds
	a.machine.addUsage(a, 1)
}
