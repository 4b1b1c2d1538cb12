package scheduler

import (
	"context"
	"errors"
)

// Errors of asking the dispatcher.
var (
	// errMailboxFull: too much is asked at once; it was not asked.
	errMailboxFull = errors.New("too much asked at once")
	// errSteppingDown: the term has ended; it may have been decided.
	errSteppingDown = errors.New("leader is stepping down")
	// errDeadline: the caller's time ran out; it may yet be decided.
	errDeadline = errors.New("not decided in time")
)

// call posts a message to the dispatcher and waits for the reply to it. A full mailbox is told at once.
func call[Reply any](ctx context.Context, d *scheduler, message any, reply <-chan Reply) (Reply, error) {
	var none Reply
	select {
	case d.mailbox <- message:
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
