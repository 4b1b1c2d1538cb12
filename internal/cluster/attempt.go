package cluster

import (
	"time"

	"sagevale/internal/worker"
)

// Attempt is one attempt to run a task on a machine. It exists from the reservation of its resources until
// it is proved absent from the machine.
type Attempt struct {
	Job         *Job
	Task        int
	Number      uint64 // never used again for another attempt; the tasks of a gang share one
	Machine     *Machine
	Incarnation uint64 // of the worker, when the resources were reserved
	ThisTerm    bool   // reserved, or commanded to start, in this term
	Durable     bool   // its page record is durable, so it may be started
	ReservedAt  time.Time

	Reported       bool             // a report of this term shows it
	Failed         bool             // it has exited with an error
	State          worker.TaskState // as last reported
	Started        time.Time        // when it was first reported running; zero: not yet
	GatheringSince time.Time        // since when it waits for the other tasks of its gang

	Stopping      bool    // it is to be stopped
	StopCommanded bool    // the worker has been told so directly
	GraceSeconds  float64 // in which it may save a checkpoint

	CommandedSeq  uint64 // of the report whose answer last carried its start; 0: none
	Delivery      Delivery
	DeliveryToken uint64 // fencing token under which its start was sent straight to the worker
}

// Delivery is what is known of a start that was sent straight to the worker.
type Delivery uint8

// The states of a delivery.
const (
	DeliveryNone       Delivery = iota
	DeliveryInFlight            // no answer yet
	DeliveryUnresolved          // no answer came: it may be executed minutes late
	DeliverySettled             // answered
)

// AttemptKey identifies an attempt among all attempts of all jobs.
type AttemptKey struct {
	ID     worker.TaskID
	Number uint64
}

// ID names the attempt's task.
func (a *Attempt) ID() worker.TaskID { return worker.TaskID{Job: a.Job.Spec.ID, Task: a.Task} }

// Key identifies the attempt.
func (a *Attempt) Key() AttemptKey { return AttemptKey{ID: a.ID(), Number: a.Number} }

// MaybeDelivered reports whether a start may have reached the worker.
func (a *Attempt) MaybeDelivered() bool {
	return !a.ThisTerm || a.Reported || a.CommandedSeq != 0 || a.Delivery != DeliveryNone
}

// NoteCommanded notes that the answer to a report carries the start. An attempt that an earlier leader
// reserved belongs to this term from here on: a report that the worker makes before that answer
// arrives proves nothing of it, even under our token.
func (a *Attempt) NoteCommanded(r *worker.Report) { a.CommandedSeq, a.ThisTerm = r.Seq, true }

// StartUnresolved reports whether a direct start may still be executed.
func (a *Attempt) StartUnresolved() bool {
	return a.Delivery == DeliveryInFlight || a.Delivery == DeliveryUnresolved
}

// Serving reports whether the attempt runs and isn't to be stopped.
func (a *Attempt) Serving() bool { return a.Reported && a.State == worker.Running && !a.Stopping }
