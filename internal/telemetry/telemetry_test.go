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

// run has a reporter log at a level for a while.
func run(t *testing.T, level slog.Level, span time.Duration) string {
	t.Helper()
	var out bytes.Buffer
	runtime.GC() // the live heap is known from the first collection on
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		r := &Reporter{
			Log:      slog.New(slog.NewTextHandler(&out, &slog.HandlerOptions{Level: level})),
			Interval: 10 * time.Second, CPUShare: 0.1,
			Gauges: func() []any { return []any{"role", "leader"} },
		}
		done := make(chan struct{})
		go func() { r.Run(ctx); close(done) }()
		time.Sleep(span)
		cancel()
		<-done
	})
	return out.String()
}

func TestALineIsLoggedPerInterval(t *testing.T) {
	lines := strings.Split(strings.TrimSpace(run(t, slog.LevelDebug, 35*time.Second)), "\n")
	if len(lines) != 3 {
		t.Fatalf("%d lines in 35 s", len(lines))
	}
	for _, field := range []string{"role=leader", "cpu=", "gc_cycles=", "alloc_mb=", "heap_live_mb=", "heap_goal_mb=", "stacks_mb=", "held_mb=", "goroutines=", "timer_lag="} {
		if !strings.Contains(lines[0], field) {
			t.Errorf("no %s in %s", field, lines[0])
		}
	}
	for _, metric := range []string{"heap_live_mb=0 ", "held_mb=0 ", "goroutines=0 "} {
		if strings.Contains(lines[2], metric) {
			t.Errorf("not measured: %s in %s", metric, lines[2])
		}
	}
}

func TestNothingIsMeasuredAboveDebug(t *testing.T) {
	if out := run(t, slog.LevelInfo, time.Minute); out != "" {
		t.Errorf("logged %s", out)
	}
}
