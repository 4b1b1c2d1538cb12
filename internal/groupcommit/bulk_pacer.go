package groupcommit

import (
	"math"
	"time"
)

const (
	// reservedShare is the share of the burst that is reserved for the other lanes.
	reservedShare = 0.5
	// minBulkShare is the least share of the burst for which a commit of bulk is made, because each
	// commit has the same fixed cost however little it holds.
	minBulkShare = 1.0 / 8
	// minRetryDelay is the least time until bulk that is held back is checked again. With a shorter
	// one the queue's owner would spin.
	minRetryDelay = time.Millisecond
)

// BulkPacer limits how much of the journal's saved changes the bulk lane may use. The journal
// limits its changes by a token bucket; saved changes are the tokens in it, and burst is its size.
//
// Without a pacer a backlog of bulk empties the bucket. Every commit then waits for the journal's
// rate, and a caller that needs a commit waits for the one in flight and for the next. With it,
// bulk is written at the journal's rate, and the other lanes find saved changes. It is not safe for
// concurrent use.
type BulkPacer struct {
	maxWait   time.Duration // longest time for which bulk is held back
	heldSince time.Time     // time since when bulk is held back; zero: it isn't
}

// NewBulkPacer returns a pacer that holds bulk back for at most maxWait without a break.
func NewBulkPacer(maxWait time.Duration) *BulkPacer { return &BulkPacer{maxWait: maxWait} }

// Allow returns how many changes the bulk lane may use now, given the saved changes and their maximum,
// burst. 0 holds the lane back. Once the lane has been held back for maxWait, one call returns infinity.
func (p *BulkPacer) Allow(now time.Time, saved, burst float64) float64 {
	spare := saved - reservedShare*burst
	if spare >= minBulkShare*burst {
		p.heldSince = time.Time{}
		return spare
	}
	if p.heldSince.IsZero() {
		p.heldSince = now
	}
	if now.Sub(p.heldSince) >= p.maxWait {
		p.heldSince = time.Time{}
		return math.Inf(1)
	}
	return 0
}

// RetryAfter returns the time after which to call Allow again while bulk is held back. rate is the number of
// changes per second that the journal saves.
func (p *BulkPacer) RetryAfter(now time.Time, saved, burst, rate float64) time.Duration {
	due := p.maxWait - now.Sub(p.heldSince)
	if missing := (reservedShare+minBulkShare)*burst - saved; rate > 0 {
		due = min(due, time.Duration(missing/rate*float64(time.Second)))
	}
	return max(minRetryDelay, due)
}
