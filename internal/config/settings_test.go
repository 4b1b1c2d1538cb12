package config

import (
	"testing"
	"time"
)

// Each batch of reports wakes a follower and the leader: the smaller the share of a
// processor, the fewer there may be.
func TestBatchWindowWidensAsCPUShareFalls(t *testing.T) {
	if got := (&Settings{HeartbeatInterval: time.Minute, CPUShare: 0.001}).BatchWindow(); got > WorkerResponseTimeout/8 {
		t.Errorf("reports gather for %v, and a worker waits for %v", got, WorkerResponseTimeout)
	}
	for _, c := range []struct {
		share float64
		want  time.Duration
	}{
		{0, 31250 * time.Microsecond}, {1, 31250 * time.Microsecond}, {0.25, 31250 * time.Microsecond},
		{0.125, 62500 * time.Microsecond}, {0.03125, 250 * time.Millisecond}, {0.001, 250 * time.Millisecond},
	} {
		s := Settings{HeartbeatInterval: 4 * time.Second, CPUShare: c.share}
		if got := s.BatchWindow(); got != c.want {
			t.Errorf("at a share of %v reports gather for %v", c.share, got)
		}
	}
}

// Links are tested as often as ever with an ample share of a processor, half as often
// with little.
func TestLinkTestIntervalFollowsCPUShare(t *testing.T) {
	for share, want := range map[float64]time.Duration{0: minLinkTestInterval, 1: minLinkTestInterval, 0.25: minLinkTestInterval, 0.2: 5 * minLinkTestInterval / 4, 0.036: maxLinkTestInterval} {
		if got := (&Settings{CPUShare: share}).LinkTestInterval(); got != want {
			t.Errorf("at a share of %v every %v", share, got)
		}
	}
}
