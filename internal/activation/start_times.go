package activation

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// maxStartTime and startTimeDigits are the range of the measured start times and their precision
	// in significant decimal digits.
	maxStartTime    = time.Hour
	startTimeDigits = 2
	// expectedPercentile is the percentile of the start times that users are told to expect.
	expectedPercentile = 90
)

// StartTimes holds the distribution of cold-start times for each class of services. The zero value has
// none. It is not safe for concurrent use.
type StartTimes struct {
	byClass map[string]*hdrhistogram.Histogram
}

// Record records how long a wake took until its model was ready. Longer times than an hour count as an
// hour.
func (t *StartTimes) Record(class string, took time.Duration) {
	if t.byClass == nil {
		t.byClass = make(map[string]*hdrhistogram.Histogram)
	}
	h := t.byClass[class]
	if h == nil {
		h = hdrhistogram.New(1, maxStartTime.Milliseconds(), startTimeDigits)
		t.byClass[class] = h
	}
	// It fails only for values above the range, which the bound excludes.
	_ = h.RecordValue(min(took, maxStartTime).Milliseconds())
}

// Expected returns how much longer a start is expected to take that has taken elapsed so far. 0: not
// known, or overdue.
func (t *StartTimes) Expected(class string, elapsed time.Duration) time.Duration {
	h := t.byClass[class]
	if h == nil {
		return 0
	}
	total := time.Duration(h.ValueAtPercentile(expectedPercentile)) * time.Millisecond
	return max(0, total-elapsed)
}
