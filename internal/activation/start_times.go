package activation

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// longestStart and startDigits are the range and the precision of the starts measured.
	longestStart = time.Hour
	startDigits  = 2
	// expectedPercentile of the starts measured is what users are told to wait for.
	expectedPercentile = 90
)

// StartTimes are the distributions of how long wakes took, by class. The zero value has none. It
// belongs to its owner's goroutine.
type StartTimes struct {
	byClass map[string]*hdrhistogram.Histogram
}

// Note takes in how long a wake took until its model answered.
func (t *StartTimes) Note(class string, took time.Duration) {
	if t.byClass == nil {
		t.byClass = make(map[string]*hdrhistogram.Histogram)
	}
	h := t.byClass[class]
	if h == nil {
		h = hdrhistogram.New(1, longestStart.Milliseconds(), startDigits)
		t.byClass[class] = h
	}
	// Values beyond the range are told by its end.
	_ = h.RecordValue(min(took, longestStart).Milliseconds())
}

// Expected is how long a start that began so long ago may still take; 0: not known.
func (t *StartTimes) Expected(class string, since time.Duration) time.Duration {
	h := t.byClass[class]
	if h == nil {
		return 0
	}
	whole := time.Duration(h.ValueAtPercentile(expectedPercentile)) * time.Millisecond
	return max(0, whole-since)
}
