package storage

import (
	"errors"
	"sync/atomic"
)

// LimitTracker tracks which limits the key-value store enforces, as far as this process has
// seen. The store may lower its limits without notice, to figures that are known in advance
// (Limits.Next). They are applied on the first sign, because the larger limits serve better
// while they last. A LimitTracker is safe for concurrent use.
type LimitTracker struct {
	next    *Limits
	current atomic.Pointer[Limits]
	lowered atomic.Bool // the limit of values has fallen
}

// NewLimitTracker starts with the limits of the settings.
func NewLimitTracker(l Limits) *LimitTracker {
	t := &LimitTracker{next: l.Next}
	t.current.Store(&l)
	return t
}

// Limits returns the limits to keep to.
func (t *LimitTracker) Limits() Limits { return *t.current.Load() }

// Observe lowers the limits if the error of a request is a sign that they have fallen: a
// malformed request has grown too large, and a rate-limited one came too fast. It reports
// whether that changed the limits.
func (t *LimitTracker) Observe(err error) bool {
	if t.next == nil {
		return false
	}
	old := t.current.Load()
	l := *old
	switch {
	case errors.Is(err, ErrMalformed): // sizes and rates fall at the same moment
		l.lowerSizes(t.next)
		l.lowerRates(t.next)
	case errors.Is(err, ErrRateLimited):
		l.lowerRates(t.next)
	}
	if l == *old {
		return false
	}
	if l.ValueBytes < old.ValueBytes {
		t.lowered.Store(true)
	}
	t.current.Store(&l)
	return true
}

// Lowered reports whether the store has shown that its limit of values has fallen. It does
// that only once no controller is left whose version doesn't know the lower limits.
func (t *LimitTracker) Lowered() bool { return t.lowered.Load() }

func (l *Limits) lowerSizes(next *Limits) {
	l.ValueBytes = lowerLimit(l.ValueBytes, next.ValueBytes)
	l.TxnOps = lowerLimit(l.TxnOps, next.TxnOps)
}

func (l *Limits) lowerRates(next *Limits) {
	l.ChangesPerS = lowerLimit(l.ChangesPerS, next.ChangesPerS)
	l.RequestsPerS = lowerLimit(l.RequestsPerS, next.RequestsPerS)
}

// lowerLimit returns the smaller limit; a next limit of 0 changes nothing.
func lowerLimit[T int | float64](current, next T) T {
	if next > 0 {
		return min(current, next)
	}
	return current
}
