package scheduler

import (
	"math/rand/v2"

	"sagevale/internal/api"
)

// The bounds of queues. docs/limits.md lists each with what happens when it is reached.

// Shares of the scheduler's mailbox that may be filled when a submission comes, or a poll or cancellation. The rest is
// left for the workers' heartbeats, without which leases expire.
const (
	submissionShare = 3.0 / 4
	requestShare    = 7.0 / 8
)

// acceptsRequest reports whether a user's request may be sent to the scheduler's mailbox.
func (s *scheduler) acceptsRequest(op api.Op) bool {
	share := requestShare
	if op == api.OpSubmit {
		share = submissionShare
	}
	return float64(len(s.mailbox)) < share*float64(cap(s.mailbox))
}

// maxCommands is how many commands the response to a heartbeat carries, so that it fits a line of 64 KiB. The rest goes
// with the next response.
const maxCommands = 512

// maxBusyRetrySeconds is the range in seconds of the retry times of users who found the mailbox full. It is empty again after a
// round, and they shouldn't return together.
const maxBusyRetrySeconds = 3

// busyRetrySeconds returns after how many seconds a user who found the mailbox full should retry.
func busyRetrySeconds() int { return 1 + rand.IntN(maxBusyRetrySeconds) }
