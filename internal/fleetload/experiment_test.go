package fleetload

import (
	"context"
	"io"
	"os"
	"testing"
	"time"
)

func TestExperiment(t *testing.T) {
	dir := t.TempDir()
	binary, err := BuildProgram(t.Context(), dir)
	if err != nil {
		t.Fatal(err)
	}
	c := DefaultConfig()
	c.Binary, c.Workers, c.StandingTasks, c.StartsPerS, c.TaskTime, c.CancelShare, c.FinishedJobs = binary, 20, 60, 20, time.Second, 0.3, 300
	c.HeartbeatInterval, c.Lease = 400*time.Millisecond, 5*time.Second

	t.Run("breaks no rule under faults", func(t *testing.T) {
		c := c
		c.Dir, c.Duration = dir, 7*time.Second
		c.Faults = []Fault{
			{Kind: LeaderKilled, Start: time.Second},
			{Kind: StoreOutage, Start: 3 * time.Second, Duration: 500 * time.Millisecond},
			{Kind: WorkersUnresponsive, Amount: 0.2, Start: 4 * time.Second, Duration: time.Second},
		}
		r, err := Run(t.Context(), c, io.Discard)
		if err != nil {
			t.Fatal(err)
		}
		if len(r.Violations) > 0 {
			t.Errorf("got rule violations %v, want none", r.Violations)
		}
		if len(r.FailoverS) != 1 || r.AcceptedJobs == 0 || r.DoneJobs == 0 || r.StartsPerS <= 0 || r.RunningTasks < 60 {
			t.Errorf("got %+v, want one failover, jobs that were submitted and done, and 60 running tasks", r)
		}
		if r.Roles[leaderRole].MemoryMB == 0 || r.Traffic["worker report"].PerS == 0 || r.Store.StoredKeys == 0 || r.Latencies["accepted to start, other"].Count == 0 {
			t.Errorf("got %+v, want measurements above 0 of the leader's memory, the heartbeats, the stored keys and the start latencies", r)
		}
	})

	t.Run("returns what it has when interrupted", func(t *testing.T) {
		ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
		defer cancel()
		c := c
		c.Dir, c.Duration = t.TempDir(), time.Minute
		began := time.Now()
		r, err := Run(ctx, c, io.Discard)
		if err != nil {
			t.Fatal(err)
		}
		if r.RunningTasks == 0 {
			t.Errorf("got %+v, want running tasks", r)
		}
		if duration := time.Since(began); duration > 20*time.Second {
			t.Errorf("got a result after %v, want it within 20 s", duration)
		}
		if _, err := os.Stat(binary); err != nil {
			t.Errorf("the program in the experiment's directory is gone: %v", err)
		}
	})
}
