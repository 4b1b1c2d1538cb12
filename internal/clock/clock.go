// Package clock holds the bound on the drift between monotonic clocks, arithmetic with durations, and
// helpers to wait and to publish points in time between goroutines.
package clock

import (
	"context"
	"sync/atomic"
	"time"
)

// DriftBound is the largest factor by which two monotonic clocks, such as a worker's and a controller's, may
// differ over the same interval. While another clock measures a duration d, this process's clock measures at
// least d/DriftBound and at most d*DriftBound.
const DriftBound = 1.002

// Scale returns d multiplied by factor.
func Scale(d time.Duration, factor float64) time.Duration {
	return time.Duration(float64(d) * factor)
}

// Seconds converts a number of seconds to a duration.
func Seconds(seconds float64) time.Duration {
	return time.Duration(seconds * float64(time.Second))
}

// Sleep waits until d has passed or ctx has ended. It reports whether d has passed.
func Sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

// AtomicTime is a point in time that one goroutine publishes to others. The zero value holds no point in time.
type AtomicTime struct{ at atomic.Pointer[time.Time] }

// Set publishes now as the point in time.
func (t *AtomicTime) Set(now time.Time) { t.at.Store(&now) }

// Since returns the time elapsed since the published point in time. If no point in time has been published, it
// returns the argument never.
func (t *AtomicTime) Since(never time.Duration) time.Duration {
	if at := t.at.Load(); at != nil {
		return time.Since(*at)
	}
	return never
}
