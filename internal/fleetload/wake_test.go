package fleetload

import (
	"io"
	"testing"
	"time"
)

// In each wake, bursts of requests for stopped models arrive at all controllers. Each model must be started only once per
// wake, and each request must get one answer, even if controllers are killed and the key-value store has an outage.
func TestWakeStartsEachModelOnce(t *testing.T) {
	binary, err := BuildProgram(t.Context(), t.TempDir())
	if err != nil {
		t.Fatal(err)
	}
	for seed, faults := range [][]Fault{
		{{Kind: LeaderKilled, Start: 30 * time.Millisecond}, {Kind: StoreOutage, Start: 100 * time.Millisecond, Duration: time.Second}},
		{{Kind: AllKilled, Start: 60 * time.Millisecond}, {Kind: LeaderKilled, Start: 400 * time.Millisecond}},
	} {
		t.Run(faults[0].String(), func(t *testing.T) {
			t.Parallel()
			c := DefaultWakeConfig()
			c.Binary, c.Dir, c.Models, c.Requests, c.Wakes, c.Seed, c.Faults = binary, t.TempDir(), 3, 60, 2, uint64(seed), faults
			r, err := Wake(t.Context(), c, io.Discard)
			if err != nil {
				t.Fatal(err)
			}
			if len(r.Broken) > 0 {
				t.Errorf("got rule violations %v, want none", r.Broken)
			}
			if r.Starts != 6 || r.Wakes != 6 || r.FirstAnswerLatency.Count != 6 {
				t.Errorf("got %d starts in %d wakes with %d first answers, want 6 of each", r.Starts, r.Wakes, r.FirstAnswerLatency.Count)
			}
			if r.Answers != 360 || r.Requests != 360 {
				t.Errorf("got %d answers to %d requests, want 360 of each", r.Answers, r.Requests)
			}
		})
	}
}
