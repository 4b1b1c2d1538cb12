// Package telemetry logs the resource usage of the process: CPU time, memory, garbage
// collection and timer lag, which is how late timers fire.
package telemetry

import (
	"context"
	"log/slog"
	"runtime/metrics"
	"syscall"
	"time"
)

// lagProbesPerInterval is how many times the timer lag is measured between two log lines. The
// largest of these values is logged.
const lagProbesPerInterval = 20

// Reporter logs one line of resource usage per interval at level debug. If the logger drops
// messages of this level, Reporter measures nothing.
type Reporter struct {
	Log      *slog.Logger
	Interval time.Duration // time between two lines
	CPUShare float64       // number of CPU cores that the process may use, such as 0.5
	// Gauges returns further key-value pairs for the line, as arguments for slog.
	Gauges func() []any
}

// Run logs usage until ctx ends. It returns at once if the logger drops messages of level debug.
func (r *Reporter) Run(ctx context.Context) {
	if !r.Log.Enabled(ctx, slog.LevelDebug) {
		return
	}
	probeInterval := r.Interval / lagProbesPerInterval
	previous := readSample(time.Now())
	var lag time.Duration
	for {
		due := time.Now().Add(probeInterval)
		select {
		case <-ctx.Done():
			return
		case <-time.After(probeInterval):
		}
		now := time.Now()
		lag = max(lag, now.Sub(due))
		if now.Sub(previous.at) < r.Interval {
			continue
		}
		current := readSample(now)
		r.Log.Debug("usage", append(current.usageSince(previous, r.CPUShare), append(r.Gauges(), "timer_lag", lag)...)...)
		previous, lag = current, 0
	}
}

// Names of the Go runtime metrics from which the logged values are computed.
const (
	gcCycles      = "/gc/cycles/total:gc-cycles"
	gcCPU         = "/cpu/classes/gc/total:cpu-seconds"
	allocBytes    = "/gc/heap/allocs:bytes"
	allocObjects  = "/gc/heap/allocs:objects"
	heapLive      = "/gc/heap/live:bytes"
	heapGoal      = "/gc/heap/goal:bytes"
	stackBytes    = "/memory/classes/heap/stacks:bytes"
	totalBytes    = "/memory/classes/total:bytes"
	releasedBytes = "/memory/classes/heap/released:bytes"
	goroutines    = "/sched/goroutines:goroutines"
)

var metricNames = []string{
	gcCycles, gcCPU, allocBytes, allocObjects, heapLive, heapGoal, stackBytes, totalBytes, releasedBytes, goroutines,
}

// sample is the resource usage of the process at one time.
type sample struct {
	at     time.Time
	cpu    time.Duration      // user and system CPU time since the process started
	values map[string]float64 // values of the runtime metrics by name
}

// readSample reads the current usage. The CPU time is 0 if the operating system does not report it.
func readSample(now time.Time) sample {
	s := sample{at: now, values: make(map[string]float64, len(metricNames))}
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err == nil {
		s.cpu = time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
	}
	samples := make([]metrics.Sample, len(metricNames))
	for i, name := range metricNames {
		samples[i].Name = name
	}
	metrics.Read(samples)
	for _, m := range samples {
		switch m.Value.Kind() {
		case metrics.KindUint64:
			s.values[m.Name] = float64(m.Value.Uint64())
		case metrics.KindFloat64:
			s.values[m.Name] = m.Value.Float64()
		default: // histograms and unknown metrics are not logged
		}
	}
	return s
}

// usageSince returns the usage since an earlier sample as key-value pairs for slog.
// cpuShare is the number of CPU cores that the process may use.
func (s sample) usageSince(earlier sample, cpuShare float64) []any {
	const mb = 1 << 20
	delta := func(name string) float64 { return s.values[name] - earlier.values[name] }
	cpu := s.cpu - earlier.cpu
	return []any{
		"cpu", cpu,
		"cpu_of_share", cpu.Seconds() / (s.at.Sub(earlier.at).Seconds() * cpuShare),
		"gc_cycles", delta(gcCycles),
		"gc_cpu_s", delta(gcCPU),
		"alloc_mb", delta(allocBytes) / mb,
		"allocs", delta(allocObjects),
		"heap_live_mb", s.values[heapLive] / mb,
		"heap_goal_mb", s.values[heapGoal] / mb,
		"stacks_mb", s.values[stackBytes] / mb,
		"held_mb", (s.values[totalBytes] - s.values[releasedBytes]) / mb,
		"goroutines", s.values[goroutines],
	}
}
