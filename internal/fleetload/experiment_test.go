package fleetload

import (
	"context"
	"errors"
	"io"
	"math"
	"os"
	"strings"
	"testing"
	"time"
)

func TestWrongFlagsAreNamed(t *testing.T) {
	for flag, change := range map[string]func(*Config){
		"workers":     func(c *Config) { c.Workers = 0 },
		"controllers": func(c *Config) { c.Controllers = 0 },
		"tasks":       func(c *Config) { c.TasksPerJob = 0 },
		"duration":    func(c *Config) { c.Duration = 0 },
		"running":     func(c *Config) { c.Running = 1 << 20 },
		"lease":       func(c *Config) { c.Lease = c.Report },
		"cancelled":   func(c *Config) { c.CancelShare = 2 },
		"finished":    func(c *Config) { c.Finished = -1 },
		"fault":       func(c *Config) { c.Faults = []Fault{{Kind: LeaderEnds, At: time.Hour}} },
		"memory":      func(c *Config) { c.MemoryMB = 1 },
		"teams":       func(c *Config) { c.Teams = 0 },
		"changes":     func(c *Config) { c.ChangesPerS = 0 },
	} {
		c := DefaultConfig()
		change(&c)
		var flagError *FlagError
		if err := c.Check(); !errors.As(err, &flagError) || flagError.Flag != flag || strings.Contains(err.Error(), "\n") {
			t.Errorf("%s: %v", flag, err)
		}
	}
	many := DefaultConfig()
	many.Workers = 50_000_000
	if err := many.Check(); err == nil || !strings.HasPrefix(err.Error(), "--workers: ") {
		t.Errorf("%v", err)
	}
	if c := DefaultConfig(); c.Check() != nil {
		t.Error(c.Check())
	}
}

func TestFaults(t *testing.T) {
	for _, text := range []string{"leader@10s", "all@0s", "silent:0.1@10s+5s", "state-out@1m0s+5s", "state-slow:0.2@10s+5s", "zone@10s"} {
		if f, err := ParseFault(text); err != nil || f.String() != text {
			t.Errorf("%s: %v %v", text, f, err)
		}
	}
	for _, text := range []string{"", "leader", "quake@1s", "leader:2@1s", "leader@1s+1s", "silent@1s+1s", "silent:2@1s+1s", "state-out@1s", "zone@x", "leader@-1s", "state-slow:0@1s+1s"} {
		if _, err := ParseFault(text); err == nil || !strings.HasPrefix(err.Error(), "--fault: ") {
			t.Errorf("%q: %v", text, err)
		}
	}
}

func TestFitFindsALineAndSaysWhereThereIsNone(t *testing.T) {
	line, err := Fit([]Point{{1, 5}, {2, 7}, {4, 11}})
	if err != nil || math.Abs(line.Slope-2) > 1e-9 || math.Abs(line.Intercept-3) > 1e-9 || line.Residual > 1e-9 {
		t.Errorf("%+v %v", line, err)
	}
	if line, _ := Fit([]Point{{1, 1}, {2, 4}, {4, 16}, {8, 64}}); line.Residual < 0.05 {
		t.Errorf("a square fits a line: %+v", line)
	}
	if _, err := Fit([]Point{{1, 1}, {1, 2}}); err == nil {
		t.Error("one size makes a line")
	}
	figures, err := Figures([]byte(`{"config":{"workers":3},"take_over_s":[0.5],"broken":null}`))
	if err != nil || figures["config.workers"] != 3 || figures["take_over_s.0"] != 0.5 {
		t.Errorf("%v %v", figures, err)
	}
}

// All ids differ, those of jobs that are stored before the start from those of submitted ones too.
func TestIDsDiffer(t *testing.T) {
	seen := make(map[string]bool)
	for i := range 200_000 {
		for _, id := range []string{finishedID(i), submittedID(i)} {
			if len(id) != 9 || seen[id] {
				t.Fatalf("number %d: %s", i, id)
			}
			seen[id] = true
		}
	}
}

// A small fleet with a take-over, a state service out of order and silent workers breaks no rule; an interrupted one
// still tells what it has.
func TestExperiment(t *testing.T) {
	dir := t.TempDir()
	binary, err := Program(t.Context(), dir)
	if err != nil {
		t.Fatal(err)
	}
	c := DefaultConfig()
	c.Binary, c.Dir, c.Workers, c.Running, c.StartsPerS, c.TaskTime, c.CancelShare, c.Finished = binary, dir, 20, 60, 20, time.Second, 0.3, 300
	c.Report, c.Lease, c.Duration = 400*time.Millisecond, 5*time.Second, 7*time.Second
	c.Faults = []Fault{{Kind: LeaderEnds, At: time.Second}, {Kind: StateOut, At: 3 * time.Second, For: 500 * time.Millisecond}, {Kind: Silent, Amount: 0.2, At: 4 * time.Second, For: time.Second}}
	r, err := Run(t.Context(), c, io.Discard)
	if err != nil {
		t.Fatal(err)
	}
	if len(r.Broken) > 0 || len(r.TakeOverS) != 1 || r.Submitted == 0 || r.DoneJobs == 0 || r.StartsPerS <= 0 || r.Present < 60 {
		t.Errorf("%+v", r)
	}
	if r.Roles[leaderRole].MemoryMB == 0 || r.Traffic["worker report"].PerS == 0 || r.State.StoredKeys == 0 || r.Latencies["accepted to start, other"].Count == 0 {
		t.Errorf("not measured: %+v", r)
	}
	ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
	defer cancel()
	c.Dir, c.Duration, c.Faults = t.TempDir(), time.Minute, nil
	began := time.Now()
	if r, err = Run(ctx, c, io.Discard); err != nil || r.Present == 0 || time.Since(began) > 20*time.Second {
		t.Errorf("interrupted: %+v %v", r, err)
	}
	if _, err := os.Stat(binary); err != nil {
		t.Error(err)
	}
}

// Models wake once by a burst at all controllers, while the leader ends, the state service is out and all end,
// and each request has one final answer.
func TestWakes(t *testing.T) {
	binary, err := Program(t.Context(), t.TempDir())
	if err != nil {
		t.Fatal(err)
	}
	for seed, faults := range [][]Fault{
		{{Kind: LeaderEnds, At: 30 * time.Millisecond}, {Kind: StateOut, At: 100 * time.Millisecond, For: time.Second}},
		{{Kind: AllEnd, At: 60 * time.Millisecond}, {Kind: LeaderEnds, At: 400 * time.Millisecond}},
	} {
		t.Run(faults[0].String(), func(t *testing.T) {
			t.Parallel()
			c := DefaultWakeConfig()
			c.Binary, c.Dir, c.Models, c.Requests, c.Wakes, c.Seed, c.Faults = binary, t.TempDir(), 3, 60, 2, uint64(seed), faults
			r, err := Wake(t.Context(), c, io.Discard)
			if err != nil {
				t.Fatal(err)
			}
			if len(r.Broken) > 0 || r.Starts != 6 || r.Wakes != 6 || r.Answers != 360 || r.Requests != 360 || r.FirstAnswer.Count != 6 {
				t.Errorf("%+v", r)
			}
		})
	}
	for flag, change := range map[string]func(*WakeConfig){
		"models":   func(c *WakeConfig) { c.Models = 0 },
		"requests": func(c *WakeConfig) { c.Requests = 0 },
		"wakes":    func(c *WakeConfig) { c.Wakes = 0 },
		"idle":     func(c *WakeConfig) { c.Idle = time.Millisecond },
		"patience": func(c *WakeConfig) { c.Patience = time.Second },
		"workers":  func(c *WakeConfig) { c.Workers = 0 },
	} {
		c := DefaultWakeConfig()
		change(&c)
		var flagError *FlagError
		if err := c.Check(); !errors.As(err, &flagError) || flagError.Flag != flag {
			t.Errorf("%s: %v", flag, err)
		}
	}
}
