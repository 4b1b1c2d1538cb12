package scheduler

import (
	"context"
	"errors"

	"sagevale/internal/leadership"
)

// message is a message to the scheduler. Its handle method runs in the scheduler's goroutine.
type message interface {
	handle(s *scheduler)
}

// The errors that call returns.
var (
	// errMailboxFull means that the mailbox is full and the message was not sent.
	errMailboxFull = errors.New("too much asked at once")
	// errSteppingDown means that the term has ended. The scheduler may have handled the message.
	errSteppingDown = errors.New("leader is stepping down")
	// errDeadline means that the caller's context has ended. The scheduler may still handle the message.
	errDeadline = errors.New("not decided in time")
)

// call sends a message to the scheduler and waits for the reply. If the mailbox is full it returns errMailboxFull at once.
func call[Reply any](ctx context.Context, s *scheduler, m message, reply <-chan Reply) (Reply, error) {
	var zero Reply
	select {
	case s.mailbox <- m:
	case <-s.closed:
		return zero, errSteppingDown
	default:
		return zero, errMailboxFull
	}
	select {
	case r := <-reply:
		return r, nil
	case <-s.closed:
		return zero, errSteppingDown
	case <-ctx.Done():
		return zero, errDeadline
	}
}

// post sends a message that must not be lost during the term, and blocks while the mailbox is full. After the end of the
// term it drops the message.
func (s *scheduler) post(m message) {
	select {
	case s.mailbox <- m:
	case <-s.closed:
	}
}

// close marks the term as ended, so that all waiting callers of call and post return.
func (s *scheduler) close() { close(s.closed) }

// roleMessage carries a change of this controller's role.
type roleMessage struct{ role leadership.Role }

// handle updates the role. After a resignation it ignores the message. The message may report a lease renewal that was in
// flight during the resignation, but the lease may now be revoked at any moment.
func (m roleMessage) handle(s *scheduler) {
	if !s.resigned {
		s.setRole(m.role)
	}
}
