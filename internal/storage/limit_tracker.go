package storage

import (
	"errors"
	"sync/atomic"
)

// LimitTracker tracks the limits that the key-value store enforces, as observed by this process. The
// store may lower its limits at any time without notice, to values that are known in advance
// (Limits.Next). The tracker keeps the limits from the settings, which allow more throughput than the
// lowered ones, until an error shows that the store has lowered them. A LimitTracker is safe for
// concurrent use.
type LimitTracker struct {
	next              *Limits
	current           atomic.Pointer[Limits]
	valueLimitLowered atomic.Bool // the limit on the size of values was lowered
}

// NewLimitTracker returns a tracker. l holds the limits from the settings, which apply at first.
func NewLimitTracker(l Limits) *LimitTracker {
	t := &LimitTracker{next: l.Next}
	t.current.Store(&l)
	return t
}

// Limits returns the limits that requests must comply with now.
func (t *LimitTracker) Limits() Limits { return *t.current.Load() }

// Observe lowers the limits if the error of a request indicates that the store has lowered them:
// ErrMalformed means that a request was too large, and ErrRateLimited that requests came too
// fast. It reports whether it changed the limits.
func (t *LimitTracker) Observe(err error) bool {
	if t.next == nil {
		return false
	}
	old := t.current.Load()
	l := *old
	switch {
	case errors.Is(err, ErrMalformed): // the store lowers sizes and rates at the same time
		l.lowerSizes(t.next)
		l.lowerRates(t.next)
	case errors.Is(err, ErrRateLimited):
		l.lowerRates(t.next)
	}
	if l == *old {
		return false
	}
	if l.ValueBytes < old.ValueBytes {
		t.valueLimitLowered.Store(true)
	}
	t.current.Store(&l)
	return true
}

// ValueLimitLowered reports whether this process has observed that the store lowered its limit on
// the size of values. The store lowers it only once every controller runs a version that supports
// the lower limits.
func (t *LimitTracker) ValueLimitLowered() bool { return t.valueLimitLowered.Load() }

// lowerSizes lowers the limits on values and transactions to those of next.
func (l *Limits) lowerSizes(next *Limits) {
	l.ValueBytes = lowerLimit(l.ValueBytes, next.ValueBytes)
	l.TxnOps = lowerLimit(l.TxnOps, next.TxnOps)
}

// lowerRates lowers the limits on changes and requests per second to those of next.
func (l *Limits) lowerRates(next *Limits) {
	l.ChangesPerS = lowerLimit(l.ChangesPerS, next.ChangesPerS)
	l.RequestsPerS = lowerLimit(l.RequestsPerS, next.RequestsPerS)
}

// lowerLimit returns the smaller of current and next. If next is 0, it returns current.
func lowerLimit[T int | float64](current, next T) T {
	if next > 0 {
		return min(current, next)
	}
	return current
}
