package activation

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// maxStartTime is the longest start time that the histograms record. startTimeDigits is the
	// precision of the histograms in significant decimal digits.
	maxStartTime    = time.Hour
	startTimeDigits = 2
	// expectedPercentile selects the expected duration of a start: this percentile of the recorded
	// start times.
	expectedPercentile = 90
)

// StartTimes holds a histogram of cold-start times for each class of services. The zero value is empty.
// A StartTimes is not safe for concurrent use.
type StartTimes struct {
	byClass map[string]*hdrhistogram.Histogram
}

// Record records how long a wake took until its model was ready. Times longer than an hour are recorded
// as an hour.
func (t *StartTimes) Record(class string, took time.Duration) {
	if t.byClass == nil {
		t.byClass = make(map[string]*hdrhistogram.Histogram)
	}
	h := t.byClass[class]
	if h == nil {
		h = hdrhistogram.New(1, maxStartTime.Milliseconds(), startTimeDigits)
		t.byClass[class] = h
	}
	// RecordValue fails only for values above the range, which min excludes.
	_ = h.RecordValue(min(took, maxStartTime).Milliseconds())
}

// Expected returns the expected remaining time of a start. elapsed is the time since the start began.
// Expected returns 0 if no start time is recorded for the class, or if the start is overdue.
func (t *StartTimes) Expected(class string, elapsed time.Duration) time.Duration {
	h := t.byClass[class]
	if h == nil {
		return 0
	}
	total := time.Duration(h.ValueAtPercentile(expectedPercentile)) * time.Millisecond
	return max(0, total-elapsed)
}
