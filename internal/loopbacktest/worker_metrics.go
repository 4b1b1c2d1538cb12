package loopbacktest

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// maxLatencyMicros is the largest latency that histograms distinguish, in microseconds.
const maxLatencyMicros = int64(10 * time.Minute / time.Microsecond)

func newLatencyHistogram() *hdrhistogram.Histogram { return hdrhistogram.New(1, maxLatencyMicros, 3) }

// recordMicros records a latency in microseconds, limited to the range of the histogram.
func recordMicros(h *hdrhistogram.Histogram, latency time.Duration) {
	_ = h.RecordValue(min(max(latency.Microseconds(), 1), maxLatencyMicros)) // never out of range
}

// Counts are numbers of machines, running attempts, starts so far and broken rules so far.
type Counts struct {
	Machines, Running, Starts, Violations int
}

// Counts returns the current counts.
func (w *Workers) Counts() Counts {
	w.mu.Lock()
	defer w.mu.Unlock()
	return Counts{Machines: len(w.byAddr), Running: len(w.audit.running), Starts: w.audit.starts, Violations: w.audit.violationCount}
}

// HeartbeatLatencies returns a copy of the latencies from heartbeat to response, in microseconds.
func (w *Workers) HeartbeatLatencies() *hdrhistogram.Histogram {
	w.mu.Lock()
	defer w.mu.Unlock()
	return hdrhistogram.Import(w.heartbeatLatency.Export())
}

// StartLatencies returns a copy of the latencies from acceptance to start by class, in microseconds.
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
