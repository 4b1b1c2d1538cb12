package scheduler

import (
	"context"
	"errors"

	"sagevale/internal/leadership"
)

// message is what the scheduler is told. Each type has one handler, which runs in the scheduler's goroutine.
type message interface {
	handle(d *scheduler)
}

// Errors of calling the scheduler.
var (
	// errMailboxFull: too many requests wait; it was not asked.
	errMailboxFull = errors.New("too much asked at once")
	// errSteppingDown: the term has ended; it may have been decided.
	errSteppingDown = errors.New("leader is stepping down")
	// errDeadline: the caller's time ran out; it may yet be decided.
	errDeadline = errors.New("not decided in time")
)

// call sends the scheduler a message and waits for the reply to it. A full mailbox fails at once.
func call[Reply any](ctx context.Context, d *scheduler, m message, reply <-chan Reply) (Reply, error) {
	var none Reply
	select {
	case d.mailbox <- m:
	case <-d.closed:
		return none, errSteppingDown
	default:
		return none, errMailboxFull
	}
	select {
	case r := <-reply:
		return r, nil
	case <-d.closed:
		return none, errSteppingDown
	case <-ctx.Done():
		return none, errDeadline
	}
}

// post sends a message that must not be lost. The mailbox is large, and an ended scheduler takes nothing.
func (d *scheduler) post(m message) {
	select {
	case d.mailbox <- m:
	case <-d.closed:
	}
}

// close ends the waiting of all who call the scheduler.
func (d *scheduler) close() { close(d.closed) }

// roleMessage tells of a change of our role.
type roleMessage struct{ role leadership.Role }

// handle ignores a renewal that was under way when we resigned: the lease may be revoked at any moment.
func (m roleMessage) handle(d *scheduler) {
	if !d.resigned {
		d.setRole(m.role)
	}
}
