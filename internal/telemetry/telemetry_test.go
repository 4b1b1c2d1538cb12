package telemetry

import (
	"bytes"
	"context"
	"log/slog"
	"runtime"
	"strings"
	"testing"
	"testing/synctest"
	"time"
)

// runReporter runs a reporter for a duration of simulated time and returns its log output at the given level and above.
func runReporter(t *testing.T, level slog.Level, duration time.Duration) string {
	t.Helper()
	var out bytes.Buffer
	runtime.GC() // the runtime reports a live heap of 0 before the first collection
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		r := &Reporter{
			Log:      slog.New(slog.NewTextHandler(&out, &slog.HandlerOptions{Level: level})),
			Interval: 10 * time.Second, CPUShare: 0.1,
			Gauges: func() []any { return []any{"role", "leader"} },
		}
		done := make(chan struct{})
		go func() {
			defer close(done)
			r.Run(ctx)
		}()
		time.Sleep(duration)
		cancel()
		<-done
	})
	return out.String()
}

func TestReporterLogsUsageEachInterval(t *testing.T) {
	lines := strings.Split(strings.TrimSpace(runReporter(t, slog.LevelDebug, 35*time.Second)), "\n")
	if len(lines) != 3 {
		t.Fatalf("got %d lines in 35 s, want 3", len(lines))
	}
	for _, field := range []string{"role=leader", "cpu=", "gc_cycles=", "alloc_mb=", "heap_live_mb=", "heap_goal_mb=", "stacks_mb=", "held_mb=", "goroutines=", "timer_lag="} {
		if !strings.Contains(lines[0], field) {
			t.Errorf("got line %q, want a field %s", lines[0], field)
		}
	}
	for _, metric := range []string{"heap_live_mb=0 ", "held_mb=0 ", "goroutines=0 "} {
		if strings.Contains(lines[2], metric) {
			t.Errorf("got %sin line %q, want a measured value", metric, lines[2])
		}
	}
}

func TestReporterLogsNothingAboveDebug(t *testing.T) {
	if out := runReporter(t, slog.LevelInfo, time.Minute); out != "" {
		t.Errorf("got log %q at level info, want none", out)
	}
}
