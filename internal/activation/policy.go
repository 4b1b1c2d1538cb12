package activation

import "time"

// Policy is what operators set for a model.
type Policy struct {
	IdleWindow   time.Duration // without a request before it stops
	StartWithin  time.Duration // the longest that a start may take before it is given up
	StableAfter  time.Duration // a replica that fails sooner after it answered counts as a start that failed
	Attempts     int           // starts of one wake that may fail in a row
	Backoff      time.Duration // pause after the first start that failed; doubled after each
	Cooldown     time.Duration // pause after the last; longer than a node may go by an old record
	DrainTimeout time.Duration // the longest that a drain waits for requests in flight
}

// longestBackoff is the longest pause between two starts, in times of the first.
const longestBackoff = 16

// backoff is the pause after so many starts that failed.
func (p *Policy) backoff(failures int) time.Duration {
	times := 1
	for range failures - 1 {
		times = min(2*times, longestBackoff)
	}
	return time.Duration(times) * p.Backoff
}
