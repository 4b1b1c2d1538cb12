package activation

import "time"

// Policy is the operators' settings for the lifecycle of models.
type Policy struct {
	IdleWindow   time.Duration // time without requests after which a model is scaled to zero
	StartTimeout time.Duration // the longest that a start may take before it is abandoned
	StableAfter  time.Duration // a replica that fails sooner than this after it was ready counts as a failed start
	MaxAttempts  int           // consecutive failed starts after which a wake fails
	Backoff      time.Duration // pause after the first failed start; doubled after each further one
	Cooldown     time.Duration // pause after a failed wake; longer than a controller may act by an old record
	DrainTimeout time.Duration // the longest that a drain waits for requests in flight
}

// maxBackoffMultiple is the longest pause between two starts as a multiple of the first.
const maxBackoffMultiple = 16

// backoff returns the pause after so many consecutive failed starts.
func (p *Policy) backoff(failures int) time.Duration {
	multiple := 1
	for range failures - 1 {
		multiple = min(2*multiple, maxBackoffMultiple)
	}
	return time.Duration(multiple) * p.Backoff
}
