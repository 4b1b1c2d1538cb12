package scheduler

import (
	"time"

	"sagevale/internal/worker"
)

// attempt is one booked try of a task on a machine. It stays until its place
// is proved empty.
type attempt struct {
	job         *job
	task        int
	number      uint64
	machine     *machine
	incarnation uint64
	thisTerm    bool // booked or ordered in this term
	durable     bool
	reservedAt  time.Time

	reported       bool
	failed         bool // it ended by itself, and not as it should
	state          worker.TaskState
	started        time.Time
	gatheringSince time.Time // since when it waits for the others of its gang

	stopping      bool // to be stopped
	stopCommanded bool // has been told so directly
	graceSeconds  float64

	commandedSeq  uint64 // the report whose answer last carried its start; 0: none
	delivery      delivery
	deliveryToken uint64 // under which its start was sent straight to the worker
}

// delivery tells what is known of a start sent straight to the worker.
type delivery uint8

func (a *attempt) id() worker.TaskID { return worker.TaskID{Job: a.job.spec.ID, Task: a.task} }

// maybeDelivered tells whether a start may have reached the worker.
func (a *attempt) maybeDelivered() bool {
	return !a.thisTerm || a.reported || a.commandedSeq != 0 || a.delivery != deliveryNone
}

// noteCommanded notes that the answer to a report carries the start. One that an
// earlier leader booked is ours from here on: a report that the worker makes
// before that answer comes proves nothing of it, even under our token.
func (a *attempt) noteCommanded(r *worker.Report) { a.commandedSeq, a.thisTerm = r.Seq, true }

// startUnresolved tells whether a direct start may still be executed.
func (a *attempt) startUnresolved() bool {
	return a.delivery == deliveryInFlight || a.delivery == deliveryUnresolved
}

// serving tells whether an attempt runs and isn't to be stopped.
func (a *attempt) serving() bool { return a.reported && a.state == worker.Running && !a.stopping }

type attemptKey struct {
	id     worker.TaskID
	number uint64
}

// The states of a delivery.
const (
	deliveryNone       delivery = iota
	deliveryInFlight            // no answer yet
	deliveryUnresolved          // no answer came: it may be executed minutes late
	deliverySettled             // answered
)
