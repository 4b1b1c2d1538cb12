package activation

import (
	"testing"
	"time"
)

func TestBackoffDoublesUpToBound(t *testing.T) {
	for failures, wantS := range map[int]time.Duration{1: 2, 2: 4, 3: 8, 5: 32, 6: 32, 1000: 32} {
		if got, want := testPolicy.backoff(failures), wantS*time.Second; got != want {
			t.Errorf("after %d failures: got %v, want %v", failures, got, want)
		}
	}
}
