package cluster

import (
	"time"

	"sagevale/internal/worker"
)

// Attempt is one attempt to run a task on a machine. It exists from the time when its resources are reserved. The
// attempt is removed once the worker certainly isn't running it and can't start it any more.
type Attempt struct {
	Job         *Job
	Task        int    // index of the task in its job
	Number      uint64 // number of the attempt, which is never reused; the tasks of a gang share one number
	Machine     *Machine
	Incarnation uint64 // the worker's incarnation (see Machine) when the resources were reserved
	ThisTerm    bool   // the attempt was reserved or commanded to start in this term
	Durable     bool   // the task page record that contains the attempt is durable, so the attempt may be started
	ReservedAt  time.Time

	Reported       bool             // a report of this term has listed the attempt
	Failed         bool             // the attempt has exited with an error
	State          worker.TaskState // last reported state
	Started        time.Time        // when the attempt was first reported running; zero if it hasn't been
	GatheringSince time.Time        // when the attempt began to wait for the other tasks of its gang

	Stopping      bool    // the attempt is to be stopped
	StopCommanded bool    // the stop command has been sent directly to the worker
	GraceSeconds  float64 // time that a stopped attempt has for saving a checkpoint

	CommandedSeq  uint64 // sequence number of the report whose response last contained the start command; 0 if none
	Delivery      Delivery
	DeliveryToken uint64 // fencing token of the start command that was sent directly to the worker
}

// Delivery is the state of a start command that was sent directly to the worker, instead of in the response to a
// report.
type Delivery uint8

// The states of a direct start command.
const (
	DeliveryNone       Delivery = iota // no direct start command was sent, or the worker rejected it
	DeliveryInFlight                   // the worker hasn't responded yet
	DeliveryUnresolved                 // no response arrived; the worker may still execute the command minutes later
	DeliverySettled                    // the worker has responded that it executed the command
)

// AttemptKey identifies an attempt among all attempts of all jobs.
type AttemptKey struct {
	ID     worker.TaskID
	Number uint64
}

// ID returns the ID of the attempt's task.
func (a *Attempt) ID() worker.TaskID { return worker.TaskID{Job: a.Job.Spec.ID, Task: a.Task} }

// Key returns the key that identifies the attempt.
func (a *Attempt) Key() AttemptKey { return AttemptKey{ID: a.ID(), Number: a.Number} }

// StartMayBeDelivered reports whether a start command may have reached the worker. If an earlier leader reserved the
// attempt, that leader may have sent the command. In this term, the command may have arrived if a report has listed the
// attempt, if the response to a report contained the command, or if a direct command was sent and not rejected.
func (a *Attempt) StartMayBeDelivered() bool {
	return !a.ThisTerm || a.Reported || a.CommandedSeq != 0 || a.Delivery != DeliveryNone
}

// RecordStartCommanded records that the response to a report contains the start command. From then on, an attempt that
// an earlier leader reserved counts as an attempt of this term.
//
// The difference matters when a report with a token of this term doesn't list the attempt. If this leader has never
// commanded the start, such a report proves that the attempt can't start, because the worker rejects the commands of
// earlier leaders. If this leader has commanded the start, the report proves nothing, because the worker may have sent it
// before it received the response.
func (a *Attempt) RecordStartCommanded(r *worker.Report) { a.CommandedSeq, a.ThisTerm = r.Seq, true }

// StartUnresolved reports whether the worker may still execute a direct start command that it hasn't responded to.
func (a *Attempt) StartUnresolved() bool {
	return a.Delivery == DeliveryInFlight || a.Delivery == DeliveryUnresolved
}

// Serving reports whether the attempt is running and isn't to be stopped.
func (a *Attempt) Serving() bool { return a.Reported && a.State == worker.Running && !a.Stopping }
