package groupcommit

import (
	"math"
	"time"
)

const (
	// reservedShare is the share of the burst that is reserved for the lanes other than the bulk lane. The burst is
	// the maximum number of saved changes, see BulkPacer.
	reservedShare = 0.5
	// minBulkShare is the share of the burst that must be available to the bulk lane before it may commit. The
	// lane waits for this share because each commit has the same fixed cost, however few changes it contains.
	minBulkShare = 1.0 / 8
	// minRetryDelay is the least time after which a bulk lane that is held back is checked again. With
	// a shorter delay, the queue's owner would spin.
	minRetryDelay = time.Millisecond
)

// BulkPacer limits how many changes the bulk lane may write at a time. The journal limits the rate of
// its changes by a token bucket. The tokens in the bucket are the saved changes, and the size of the
// bucket is the burst.
//
// Without a pacer, a bulk lane with many changes empties the bucket. Every commit must then wait until the
// bucket has filled up again, and a caller that needs a commit waits for the commit in flight and for the next one.
// With a pacer, the bulk lane is written no faster than the bucket fills up, and enough saved changes
// remain for the other lanes. A BulkPacer is not safe for concurrent use.
type BulkPacer struct {
	maxWait   time.Duration // longest time for which the bulk lane is held back
	heldSince time.Time     // time since when the bulk lane is held back; zero: it isn't held back
}

// NewBulkPacer returns a pacer that holds the bulk lane back for at most maxWait without interruption.
func NewBulkPacer(maxWait time.Duration) *BulkPacer { return &BulkPacer{maxWait: maxWait} }

// Allow returns how many changes the bulk lane may write now. saved is the number of saved changes, and burst is
// their maximum. The result 0 means that the lane is held back. Once the lane has been held back for maxWait, one
// call returns infinity.
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

// RetryAfter returns how long to wait before Allow is called again while the bulk lane is held back. rate is the number
// of changes by which saved grows per second.
func (p *BulkPacer) RetryAfter(now time.Time, saved, burst, rate float64) time.Duration {
	due := p.maxWait - now.Sub(p.heldSince)
	if missing := (reservedShare+minBulkShare)*burst - saved; rate > 0 {
		due = min(due, time.Duration(missing/rate*float64(time.Second)))
	}
	return max(minRetryDelay, due)
}
