// Package clock holds arithmetic with durations under the drift of steady clocks, and small helpers
// for waiting and for publishing points in time between goroutines.
package clock

import (
	"context"
	"sync/atomic"
	"time"
)

// DriftBound is the factor by which two steady clocks, a worker's and ours, may differ at the most
// over the same interval. Multiply a duration by it for the latest, divide by it for the earliest end.
const DriftBound = 1.002

// Scale returns d multiplied by a factor.
func Scale(d time.Duration, factor float64) time.Duration {
	return time.Duration(float64(d) * factor)
}

// Seconds returns a duration of so many seconds.
func Seconds(seconds float64) time.Duration {
	return time.Duration(seconds * float64(time.Second))
}

// Sleep waits for d or until ctx ends. It reports whether d has passed.
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

// AtomicTime is a point in time that one goroutine publishes for others. The zero value holds none.
type AtomicTime struct{ at atomic.Pointer[time.Time] }

// Mark publishes a point in time.
func (t *AtomicTime) Mark(now time.Time) { t.at.Store(&now) }

// Since returns the time that has passed since the published point, or never if there is none.
func (t *AtomicTime) Since(never time.Duration) time.Duration {
	if at := t.at.Load(); at != nil {
		return time.Since(*at)
	}
	return never
}
