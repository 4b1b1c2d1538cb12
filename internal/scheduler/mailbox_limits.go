package scheduler

import (
	"math/rand/v2"

	"sagevale/internal/api"
)

// This file holds the limits of the scheduler's queues. docs/limits.md lists each limit with the effect of reaching it.

// A submission is accepted only while less than maxFillForSubmission of the scheduler's mailbox is filled. A poll or a
// cancellation is accepted while less than maxFillForRequest is filled. The remaining part is reserved for workers'
// heartbeats: if heartbeats were rejected, worker leases would expire.
const (
	maxFillForSubmission = 3.0 / 4
	maxFillForRequest    = 7.0 / 8
)

// acceptsRequest reports whether a user's request may be added to the scheduler's mailbox.
func (s *scheduler) acceptsRequest(op api.Op) bool {
	maxFill := maxFillForRequest
	if op == api.OpSubmit {
		maxFill = maxFillForSubmission
	}
	return float64(len(s.mailbox)) < maxFill*float64(cap(s.mailbox))
}

// maxCommands is how many commands the response to a heartbeat may carry, so that the response fits a line of 64 KiB. The
// remaining commands are sent with later responses.
const maxCommands = 512

// maxBusyRetrySeconds is the longest retry delay, in seconds, for users whose requests found the mailbox full. The delay is
// short because one iteration of the main loop empties the mailbox, and random so that users don't all retry together.
const maxBusyRetrySeconds = 3

// busyRetrySeconds returns a random delay in seconds after which a user whose request found the mailbox full should retry.
func busyRetrySeconds() int { return 1 + rand.IntN(maxBusyRetrySeconds) }
