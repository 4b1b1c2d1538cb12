package loopbacktest

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// maxLatencyMicros is the largest latency that the histograms record, in microseconds. Longer ones are recorded as
// this value.
const maxLatencyMicros = int64(10 * time.Minute / time.Microsecond)

func newLatencyHistogram() *hdrhistogram.Histogram { return hdrhistogram.New(1, maxLatencyMicros, 3) }

// recordMicros records a latency in microseconds, clamped to the range of the histogram.
func recordMicros(h *hdrhistogram.Histogram, latency time.Duration) {
	_ = h.RecordValue(min(max(latency.Microseconds(), 1), maxLatencyMicros)) // never out of range
}

// Counts holds the current numbers of machines and running tasks, and the total numbers of started attempts and
// violations.
type Counts struct {
	Machines, Running, Starts, Violations int
}

// Counts returns the current counts.
func (w *Workers) Counts() Counts {
	w.mu.Lock()
	defer w.mu.Unlock()
	return Counts{Machines: len(w.byAddr), Running: len(w.audit.running), Starts: w.audit.starts, Violations: w.audit.violationCount}
}

// HeartbeatLatencies returns a copy of the histogram of heartbeat latencies. A latency is the time from sending a heartbeat
// to receiving its response, in microseconds.
func (w *Workers) HeartbeatLatencies() *hdrhistogram.Histogram {
	w.mu.Lock()
	defer w.mu.Unlock()
	return hdrhistogram.Import(w.heartbeatLatency.Export())
}

// StartLatencies returns a copy of each class's histogram of start latencies. Each task adds one latency: the time from the
// acceptance of its job to the first start of the task, in microseconds.
func (w *Workers) StartLatencies() map[Class]*hdrhistogram.Histogram {
	w.mu.Lock()
	defer w.mu.Unlock()
	out := make(map[Class]*hdrhistogram.Histogram)
	for class, h := range w.audit.startLatency {
		out[class] = hdrhistogram.Import(h.Export())
	}
	return out
}

// ResetLatencies discards all latencies recorded so far.
func (w *Workers) ResetLatencies() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.heartbeatLatency.Reset()
	clear(w.audit.startLatency)
}
