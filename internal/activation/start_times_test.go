package activation

import (
	"testing"
	"time"
)

func TestExpectedStartTimeIsPercentileMinusElapsedTime(t *testing.T) {
	var times StartTimes
	if got := times.Expected("a", 0); got != 0 {
		t.Errorf("without starts: got %v, want 0", got)
	}
	for s := range 100 {
		times.Record("a", time.Duration(s)*time.Second)
	}
	times.Record("a", 1000*time.Hour)
	if got := times.Expected("a", 30*time.Second).Round(time.Second); got != 60*time.Second {
		t.Errorf("after 30 s: got %v, want the 90th percentile of 90 s less 30 s", got)
	}
	if got := times.Expected("a", time.Hour); got != 0 {
		t.Errorf("overdue: got %v, want 0", got)
	}
	if got := times.Expected("b", 0); got != 0 {
		t.Errorf("another class: got %v, want 0", got)
	}
}
