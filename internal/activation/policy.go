package activation

import "time"

// Policy holds the operators' settings for the lifecycle of models.
type Policy struct {
	IdleWindow   time.Duration // time without requests after which a model is scaled to zero
	StartTimeout time.Duration // maximum time from the reservation of a replica until it is ready; a longer start is abandoned
	StableAfter  time.Duration // a replica that fails sooner than this after it became ready counts as a failed start
	MaxAttempts  int           // number of consecutive failed starts after which a wake fails
	Backoff      time.Duration // pause after the first failed start; doubled after each further one
	Cooldown     time.Duration // pause after a failed wake; must be longer than the leader's responses are valid
	DrainTimeout time.Duration // time after which a drain that hasn't completed is canceled
}

// maxBackoffMultiple bounds the pause between two starts, as a multiple of Policy.Backoff.
const maxBackoffMultiple = 16

// backoff returns the pause after the given number of consecutive failed starts.
func (p *Policy) backoff(failures int) time.Duration {
	multiple := 1
	for range failures - 1 {
		multiple = min(2*multiple, maxBackoffMultiple)
	}
	return time.Duration(multiple) * p.Backoff
}
