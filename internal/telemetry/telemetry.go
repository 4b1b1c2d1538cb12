// Package telemetry logs what a process uses: processor time, memory, garbage
// collections, and how late its timers fire.
package telemetry

import (
	"context"
	"log/slog"
	"runtime/metrics"
	"syscall"
	"time"
)

// lagProbes is how many timers per interval are watched for how late they fire.
const lagProbes = 20

// Reporter logs a line of usage per interval, at debug. It costs nothing at other
// levels.
type Reporter struct {
	Log      *slog.Logger
	Interval time.Duration
	CPUShare float64 // the share of a processor that the process may use
	// Gauges returns what else belongs on the line, as for slog.
	Gauges func() []any
}

// Run logs until ctx ends.
func (r *Reporter) Run(ctx context.Context) {
	if !r.Log.Enabled(ctx, slog.LevelDebug) {
		return
	}
	pause := r.Interval / lagProbes
	before := read(time.Now())
	var lag time.Duration
	for {
		due := time.Now().Add(pause)
		select {
		case <-ctx.Done():
			return
		case <-time.After(pause):
		}
		now := time.Now()
		lag = max(lag, now.Sub(due))
		if now.Sub(before.at) < r.Interval {
			continue
		}
		after := read(now)
		r.Log.Debug("usage", append(after.since(before, r.CPUShare), append(r.Gauges(), "timer_lag", lag)...)...)
		before, lag = after, 0
	}
}

// The runtime's metrics that a line is made of.
const (
	gcCycles     = "/gc/cycles/total:gc-cycles"
	gcCPU        = "/cpu/classes/gc/total:cpu-seconds"
	allocBytes   = "/gc/heap/allocs:bytes"
	allocObjects = "/gc/heap/allocs:objects"
	heapLive     = "/gc/heap/live:bytes"
	heapGoal     = "/gc/heap/goal:bytes"
	stackBytes   = "/memory/classes/heap/stacks:bytes"
	totalBytes   = "/memory/classes/total:bytes"
	freedBytes   = "/memory/classes/heap/released:bytes"
	goroutines   = "/sched/goroutines:goroutines"
)

var names = []string{gcCycles, gcCPU, allocBytes, allocObjects, heapLive, heapGoal, stackBytes, totalBytes, freedBytes, goroutines}

// sample is what a process has used up to a point in time.
type sample struct {
	at    time.Time
	cpu   time.Duration
	value map[string]float64
}

func read(now time.Time) sample {
	s := sample{at: now, value: make(map[string]float64, len(names))}
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err == nil {
		s.cpu = time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
	}
	samples := make([]metrics.Sample, len(names))
	for i, name := range names {
		samples[i].Name = name
	}
	metrics.Read(samples)
	for _, m := range samples {
		switch m.Value.Kind() {
		case metrics.KindUint64:
			s.value[m.Name] = float64(m.Value.Uint64())
		case metrics.KindFloat64:
			s.value[m.Name] = m.Value.Float64()
		}
	}
	return s
}

// since describes the use between two samples, as for slog.
func (s sample) since(before sample, share float64) []any {
	const mb = 1 << 20
	delta := func(name string) float64 { return s.value[name] - before.value[name] }
	cpu := s.cpu - before.cpu
	return []any{
		"cpu", cpu,
		"cpu_of_share", cpu.Seconds() / (s.at.Sub(before.at).Seconds() * share),
		"gc_cycles", delta(gcCycles),
		"gc_cpu_s", delta(gcCPU),
		"alloc_mb", delta(allocBytes) / mb,
		"allocs", delta(allocObjects),
		"heap_live_mb", s.value[heapLive] / mb,
		"heap_goal_mb", s.value[heapGoal] / mb,
		"stacks_mb", s.value[stackBytes] / mb,
		"held_mb", (s.value[totalBytes] - s.value[freedBytes]) / mb,
		"goroutines", s.value[goroutines],
	}
}
