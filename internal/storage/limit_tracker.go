package storage

import (
	"errors"
	"sync/atomic"
)

// LimitTracker is what the state service takes, as far as this process has seen. The
// service may lower its limits at some moment, without notice, to figures that
// are known before: they are taken up on the first sign. The larger ones serve
// better while they last.
type LimitTracker struct {
	next *Limits
	now  atomic.Pointer[Limits]

	lowered atomic.Bool // a request has been called malformed that once was none
}

// NewLimitTracker starts with the limits as they are said to be now.
func NewLimitTracker(l Limits) *LimitTracker {
	c := &LimitTracker{next: l.Next}
	c.now.Store(&l)
	return c
}

// Limits are those to keep to.
func (c *LimitTracker) Limits() Limits { return *c.now.Load() }

// Learn takes up the lower limits if a refusal is a sign of them: a request that
// is called malformed has grown too large, and one too many came too fast. It
// tells whether that changes what may be sent.
func (c *LimitTracker) Learn(err error) bool {
	if c.next == nil {
		return false
	}
	old := c.now.Load()
	l := *old
	switch {
	case errors.Is(err, ErrMalformed):
		l.ValueBytes, l.TxnOps = lower(l.ValueBytes, c.next.ValueBytes), lower(l.TxnOps, c.next.TxnOps)
		fallthrough // both fall at the same moment
	case errors.Is(err, ErrRateLimited):
		l.ChangesPerS, l.RequestsPerS = lower(l.ChangesPerS, c.next.ChangesPerS), lower(l.RequestsPerS, c.next.RequestsPerS)
	}
	if l == *old {
		return false
	}
	if l.ValueBytes < old.ValueBytes {
		c.lowered.Store(true)
	}
	c.now.Store(&l)
	return true
}

// Lowered tells whether the service has shown that it takes less than it did, and
// so that no version is left that doesn't know of that.
func (c *LimitTracker) Lowered() bool { return c.lowered.Load() }

// lower returns the smaller limit; 0 says none.
func lower[T int | float64](now, next T) T {
	if next > 0 {
		return min(now, next)
	}
	return now
}
