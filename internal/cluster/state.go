// Package cluster holds the leader's view of the cluster during one term: jobs with their tasks and attempts,
// machines, machine types and classes of jobs. The state is rebuilt from the journal's records when a term begins,
// and its types return the records to write.
//
// The package reads no clock, sends no messages and makes no decisions. The scheduler's goroutine owns the state:
// it passes the current time, applies reports and decisions, and makes the changes durable. It sets exported fields
// directly, but makes changes that affect more than one table through the methods of State, which keep the tables
// consistent with each other.
package cluster

import (
	"time"

	"sagevale/internal/fencing"
	"sagevale/internal/storage"
)

// State is the leader's view of jobs, attempts, machines and classes during one term.
type State struct {
	Jobs         *JobTable
	Machines     *MachineTable
	Types        *MachineTypes
	Classes      *ClassTable
	Reservations *storage.Reservations
	tokens       fencing.Tokens // fencing tokens of the commands to workers in this term
}

// NewState returns an empty state for the term that owns the fencing tokens.
func NewState(tokens fencing.Tokens) *State {
	return &State{
		Jobs:         NewJobTable(),
		Machines:     newMachineTable(),
		Types:        &MachineTypes{},
		Classes:      newClassTable(),
		Reservations: storage.NewReservations(),
		tokens:       tokens,
	}
}

// EnsureMachine returns the machine with the given ID. If the machine is unknown, it adds a machine that is first seen
// now.
func (s *State) EnsureMachine(id int, now time.Time) *Machine {
	m := s.Machines.Get(id)
	if m == nil {
		m = newMachine(id, s.tokens, now)
		m.Reserved = s.Reservations.Machine(id)
		s.Machines.add(m)
	}
	return m
}

// SetTypes replaces the machine types, and updates the machines and jobs that refer to them.
func (s *State) SetTypes(types []storage.MachineType) {
	s.Types.set(types)
	for _, m := range s.Machines.InOrder() {
		m.Type = s.Types.Get(m.TypeName)
	}
	for _, j := range s.Jobs.byID {
		j.FeasibleTypes = nil
	}
}

// FeasibleTypes returns the names of the machine types that a task of the job may run on. The result is cached in
// the job until the types are replaced.
func (s *State) FeasibleTypes(j *Job) []string {
	if j.FeasibleTypes == nil {
		j.FeasibleTypes = s.Types.Feasible(&j.Spec)
	}
	return j.FeasibleTypes
}

// MinBootSeconds returns the shortest nominal boot time, in seconds, of the machine types that a task of the job may
// run on. It returns 0 if there are none.
func (s *State) MinBootSeconds(j *Job) float64 {
	shortest := 0.0
	for _, name := range s.FeasibleTypes(j) {
		if boot := s.Types.Get(name).BootS; shortest == 0 || boot < shortest {
			shortest = boot
		}
	}
	return shortest
}

// AddAttempt adds an attempt to its job and machine, and reserves its resources.
func (s *State) AddAttempt(a *Attempt) {
	if a.Job.Phase == storage.PhaseCancelled {
		s.Jobs.TrackCancelling(a.Job)
	}
	a.Job.Attempts[a.Task] = a
	a.Job.SetTask(a.Task, TaskActive)
	a.Machine.Attempts[a.ID()] = a
	s.Reservations.Reserve(a.Machine.ID, a.Job.Spec.Team, a.Job.Spec.Resources)
	a.Machine.addUsage(a, 1)
	if a.Job.Spec.Gang {
		a.Job.recordGangAttempt(a)
	}
}

// RemoveAttempt removes an attempt from its job and machine, and releases its resources. The attempt's task waits again
// unless the task is done. RemoveAttempt returns false if the attempt wasn't the current attempt of its task.
func (s *State) RemoveAttempt(a *Attempt, now time.Time) bool {
	j, m := a.Job, a.Machine
	if j.Attempts[a.Task] != a {
		return false
	}
	delete(j.Attempts, a.Task)
	delete(m.Attempts, a.ID())
	if len(m.Attempts) == 0 {
		m.IdleSince = now
	}
	s.Reservations.Release(m.ID, j.Spec.Team, j.Spec.Resources)
	m.addUsage(a, -1)
	if a.Delivery != DeliveryNone {
		m.Fence.Retain(a.Key(), a.DeliveryToken)
	}
	j.SetTask(a.Task, TaskWaiting)
	return true
}

// MarkStopping records that an attempt is to be stopped, with a grace period in seconds for saving a checkpoint. If
// the attempt is already to be stopped, a shorter grace period replaces a longer one.
func (s *State) MarkStopping(a *Attempt, graceSeconds float64) {
	if a.Stopping && graceSeconds >= a.GraceSeconds {
		return
	}
	a.Machine.addUsage(a, -1)
	a.Stopping, a.GraceSeconds = true, graceSeconds
	a.Machine.addUsage(a, 1)
}
