package scheduler

import (
	"math/rand/v2"

	"sagevale/internal/api"
)

// What may wait or be done at once, derived from the settings or from the fleet. Each bound
// is listed in docs/limits.md with what happens where it is reached.

// submissionShare of the dispatcher's mailbox may be filled when a submission comes, and
// questionShare when a question or a cancellation does: the rest is left for the workers' reports,
// without which leases end.
const (
	submissionShare = 3.0 / 4
	questionShare   = 7.0 / 8
)

// admits tells whether a user's request may join what waits for the dispatcher.
func (d *scheduler) admits(op api.Op) bool {
	share := questionShare
	if op == api.OpSubmit {
		share = submissionShare
	}
	return float64(len(d.mailbox)) < share*float64(cap(d.mailbox))
}

// maxCommands is how many orders one answer to a report carries: they stay within a line of
// 64 KiB. The rest goes with the next answer.
const maxCommands = 512

// busySpread is within how many seconds those are told to return who found the mailbox full: it
// is empty again after a round, and they shouldn't return together.
const busySpread = 3

// busyRetryS is when a user who found the mailbox full should come again, in seconds.
func busyRetryS() int { return 1 + rand.IntN(busySpread) }
