// Package cluster is the leader's view of the cluster during one term: jobs with their tasks and attempts,
// machines, machine types and classes of jobs, and the transitions that keep them consistent with each
// other. It is rebuilt from the journal's records, and gives the records that are to be written.
//
// It knows no clock, sends no messages and calls nobody: its owner, the scheduler's goroutine, passes the
// time, decides, and makes the changes durable. Reports and decisions set the exported fields; what more
// than one table depends on goes through the methods of State.
package cluster

import (
	"time"

	"sagevale/internal/fencing"
	"sagevale/internal/storage"
)

// State is what the leader knows of jobs, attempts, machines and classes during one term.
type State struct {
	Jobs         *JobTable
	Machines     *MachineTable
	Types        *MachineTypes
	Classes      *ClassTable
	Reservations *storage.Reservations
	tokens       fencing.Tokens // that workers are commanded under in this term
}

// NewState returns an empty state of a term with these fencing tokens.
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

// EnsureMachine returns the machine of that number, and enters it if it isn't known.
func (s *State) EnsureMachine(id int, now time.Time) *Machine {
	m := s.Machines.Get(id)
	if m == nil {
		m = newMachine(id, s.tokens, now)
		m.Reserved = s.Reservations.Machine(id)
		s.Machines.add(m)
	}
	return m
}

// SetTypes replaces the machine types.
func (s *State) SetTypes(types []storage.MachineType) {
	s.Types.set(types)
	for _, m := range s.Machines.InOrder() {
		m.Type = s.Types.Get(m.TypeName)
	}
	for _, j := range s.Jobs.byID {
		j.FeasibleTypes = nil
	}
}

// FeasibleTypes returns the names of the machine types that a task of the job may run on.
func (s *State) FeasibleTypes(j *Job) []string {
	if j.FeasibleTypes == nil {
		j.FeasibleTypes = s.Types.Feasible(&j.Spec)
	}
	return j.FeasibleTypes
}

// MinBootSeconds is the shortest nominal boot time of the machine types that a task of the job may run on.
func (s *State) MinBootSeconds(j *Job) float64 {
	shortest := 0.0
	for _, name := range s.FeasibleTypes(j) {
		if boot := s.Types.Get(name).BootS; shortest == 0 || boot < shortest {
			shortest = boot
		}
	}
	return shortest
}

// AddAttempt enters an attempt and reserves its resources.
func (s *State) AddAttempt(a *Attempt) {
	if a.Job.Phase == storage.Cancelled {
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

// RemoveAttempt takes out an attempt and releases its resources; its task waits again. It reports whether
// the attempt was there.
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

// MarkStopping notes that an attempt is to be stopped. A shorter grace period replaces a longer one.
func (s *State) MarkStopping(a *Attempt, graceSeconds float64) {
	if a.Stopping && graceSeconds >= a.GraceSeconds {
		return
	}
	a.Machine.addUsage(a, -1)
	a.Stopping, a.GraceSeconds = true, graceSeconds
	a.Machine.addUsage(a, 1)
}
