package scheduler

import (
	"context"
	"errors"

	"sagevale/internal/leadership"
)

// message is a message to the scheduler. Its handler runs in the scheduler's goroutine.
type message interface {
	handle(s *scheduler)
}

// Errors of calling the scheduler.
var (
	// errMailboxFull: too many messages wait, and this one was not sent.
	errMailboxFull = errors.New("too much asked at once")
	// errSteppingDown: the term has ended; the message may have been handled.
	errSteppingDown = errors.New("leader is stepping down")
	// errDeadline: the caller's deadline has passed; the message may still be handled.
	errDeadline = errors.New("not decided in time")
)

// call sends the scheduler a message and waits for the reply to it. A full mailbox fails at once.
func call[Reply any](ctx context.Context, s *scheduler, m message, reply <-chan Reply) (Reply, error) {
	var none Reply
	select {
	case s.mailbox <- m:
	case <-s.closed:
		return none, errSteppingDown
	default:
		return none, errMailboxFull
	}
	select {
	case r := <-reply:
		return r, nil
	case <-s.closed:
		return none, errSteppingDown
	case <-ctx.Done():
		return none, errDeadline
	}
}

// post sends a message that must not be lost, and blocks while the mailbox is full. Messages to a scheduler that has
// ended are dropped.
func (s *scheduler) post(m message) {
	select {
	case s.mailbox <- m:
	case <-s.closed:
	}
}

// close ends the waiting of all who call the scheduler.
func (s *scheduler) close() { close(s.closed) }

// roleMessage is a change of this controller's role.
type roleMessage struct{ role leadership.Role }

// handle ignores a renewal that was in flight when leadership was resigned: the lease may be revoked at any moment.
func (m roleMessage) handle(s *scheduler) {
	if !s.resigned {
		s.setRole(m.role)
	}
}
