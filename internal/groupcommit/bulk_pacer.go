package groupcommit

import (
	"math"
	"time"
)

const (
	// reservedShare of the changes that can be saved up is reserved for the other lanes.
	reservedShare = 0.5
	// minShare of those changes is the least that a commit of bulk is worth: each commit has
	// the same cost however little it holds.
	minShare = 1.0 / 8
	// minDelay is the least time after which bulk that is held back is considered again: a
	// shorter one would have the queue's owner spin.
	minDelay = time.Millisecond
)

// BulkPacer keeps the bulk lane from using up the changes that the journal has saved up. Without
// it, every commit beside a backlog of bulk waits for the journal's rate, and whoever needs a
// commit waits for the one in flight and for the next. With it, bulk is written at the
// journal's rate, and the other lanes find saved changes. It is not safe for concurrent use.
type BulkPacer struct {
	maxWait   time.Duration // the longest that bulk is held back
	heldSince time.Time     // zero: bulk isn't held back
}

// NewBulkPacer returns a pacer that holds bulk back for at most maxWait at a time.
func NewBulkPacer(maxWait time.Duration) *BulkPacer { return &BulkPacer{maxWait: maxWait} }

// Allow returns how many changes the bulk lane may use when so many are saved, of at most burst.
// 0 holds it back. Once it has been held back for too long it may use any number, once.
func (p *BulkPacer) Allow(now time.Time, saved, burst float64) float64 {
	spare := saved - reservedShare*burst
	if spare >= minShare*burst {
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

// Due returns after what time bulk that is held back may be allowed, at a rate of changes a
// second.
func (p *BulkPacer) Due(now time.Time, saved, burst, rate float64) time.Duration {
	due := p.maxWait - now.Sub(p.heldSince)
	if missing := (reservedShare+minShare)*burst - saved; rate > 0 {
		due = min(due, time.Duration(missing/rate*float64(time.Second)))
	}
	return max(minDelay, due)
}
