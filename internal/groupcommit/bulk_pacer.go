package groupcommit

import (
	"math"
	"time"
)

const (
	// reserveShare of the changes that can be saved up is left to the other lanes.
	reserveShare = 0.5
	// leastShare of those changes is the least that bulk is written for: each commit costs
	// as much however little it holds.
	leastShare = 1.0 / 8
	// leastPause is the least time after which held bulk is looked at again: a shorter one would
	// have its owner turn without a pause.
	leastPause = time.Millisecond
)

// BulkPacer keeps the bulk lane from using up the changes that the journal has saved. Without it
// every commit beside a backlog waits for the journal's rate, and whoever needs a commit waits
// for the one under way and for the next. With it bulk goes at the journal's rate, and the other
// lanes find changes saved. It is not safe for concurrent use.
type BulkPacer struct {
	longest time.Duration // the longest that bulk is held back
	held    time.Time     // since when it is; zero: it isn't
}

// NewBulkPacer holds bulk back for at most longest at a time.
func NewBulkPacer(longest time.Duration) *BulkPacer { return &BulkPacer{longest: longest} }

// Allow returns how many changes the bulk lane may use, with so many saved of at most burst. 0
// holds it back; it is allowed all once it has been held back for too long.
func (p *BulkPacer) Allow(now time.Time, saved, burst float64) float64 {
	spare := saved - reserveShare*burst
	if spare >= leastShare*burst {
		p.held = time.Time{}
		return spare
	}
	if p.held.IsZero() {
		p.held = now
	}
	if now.Sub(p.held) >= p.longest {
		p.held = time.Time{}
		return math.Inf(1)
	}
	return 0
}

// Due is in what time bulk that is held back may be allowed, at a rate of changes a second.
func (p *BulkPacer) Due(now time.Time, saved, burst, rate float64) time.Duration {
	due := p.longest - now.Sub(p.held)
	if missing := (reserveShare+leastShare)*burst - saved; rate > 0 {
		due = min(due, time.Duration(missing/rate*float64(time.Second)))
	}
	return max(leastPause, due)
}
