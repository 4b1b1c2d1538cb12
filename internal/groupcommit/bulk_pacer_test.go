package groupcommit

import (
	"math"
	"testing"
	"time"
)

const (
	testBurst   = 32.0
	testRate    = 28.0
	testMaxWait = 300 * time.Millisecond
)

// Guards against a bulk lane that uses up the saved changes, which are the tokens in the token bucket of the
// journal's change rate. Without the pacer each commit waited for the journal's rate, and a submission waited
// for two commits.
func TestBulkPacerReservesSavedChanges(t *testing.T) {
	now := time.Now()
	p := NewBulkPacer(testMaxWait)
	for _, c := range []struct{ saved, want float64 }{{32, 16}, {20, 4}, {19.9, 0}, {16, 0}, {0, 0}} {
		if got := p.Allow(now, c.saved, testBurst); got != c.want {
			t.Errorf("Allow with %v saved changes: got %v, want %v", c.saved, got, c.want)
		}
	}
	if due := p.RetryAfter(now, 16, testBurst, testRate); due <= 0 || due > 150*time.Millisecond {
		t.Errorf("RetryAfter with four changes missing: got %v, want at most 150ms", due)
	}
	if due := p.RetryAfter(now, 20, testBurst, testRate); due < minRetryDelay {
		t.Errorf("RetryAfter without missing changes: got %v, want at least %v", due, minRetryDelay)
	}
}

// The bulk lane must be written eventually, even if the other lanes use up all saved changes.
func TestBulkPacerAllowsBulkAfterMaxWait(t *testing.T) {
	const saved = 1
	began := time.Now()
	p := NewBulkPacer(testMaxWait)
	for _, c := range []struct {
		after time.Duration
		want  float64
	}{
		{0, 0},
		{testMaxWait - time.Millisecond, 0},
		{testMaxWait, math.Inf(1)},
		{testMaxWait + time.Millisecond, 0}, // the lane is held back again
	} {
		if got := p.Allow(began.Add(c.after), saved, testBurst); got != c.want {
			t.Errorf("Allow after %v: got %v, want %v", c.after, got, c.want)
		}
	}
}
