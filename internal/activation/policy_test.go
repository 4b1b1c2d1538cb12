package activation

import (
	"testing"
	"time"
)

func TestBackoffDoublesUpToBound(t *testing.T) {
	for failures, want := range map[int]time.Duration{
		1: 2 * time.Second, 2: 4 * time.Second, 3: 8 * time.Second, 5: 32 * time.Second, 6: 32 * time.Second, 1000: 32 * time.Second,
	} {
		if got := testPolicy.backoff(failures); got != want {
			t.Errorf("after %d failures: got %v, want %v", failures, got, want)
		}
	}
}
