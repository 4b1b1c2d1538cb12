package fleetload

import (
	"fmt"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// maxLatencyMicros is the largest latency that histograms record, in microseconds. Longer latencies are recorded as
// this value.
const maxLatencyMicros = int64(10 * time.Minute / time.Microsecond)

// latencyHistogram is a histogram of latencies in microseconds.
type latencyHistogram struct{ *hdrhistogram.Histogram }

func newLatencyHistogram() latencyHistogram {
	return latencyHistogram{hdrhistogram.New(1, maxLatencyMicros, 3)}
}

// record adds a latency, limited to the range of the histogram.
func (h latencyHistogram) record(latency time.Duration) {
	_ = h.RecordValue(min(max(latency.Microseconds(), 1), maxLatencyMicros)) // never out of range
}

func (h latencyHistogram) quantiles() Quantiles { return quantiles(h.Histogram) }

// Quantiles holds the mean, the quantiles and the maximum of a latency, in milliseconds.
type Quantiles struct {
	Count  int64   `json:"count"` // number of recorded latencies
	MeanMS float64 `json:"mean_ms"`
	P50MS  float64 `json:"p50_ms"`
	P90MS  float64 `json:"p90_ms"`
	P99MS  float64 `json:"p99_ms"`
	MaxMS  float64 `json:"most_ms"`
}

// quantiles returns the Quantiles, in milliseconds, of a histogram that holds microseconds.
func quantiles(h *hdrhistogram.Histogram) Quantiles {
	ms := func(us int64) float64 { return float64(us) / 1000 }
	return Quantiles{
		Count: h.TotalCount(), MeanMS: h.Mean() / 1000, P50MS: ms(h.ValueAtQuantile(50)), P90MS: ms(h.ValueAtQuantile(90)),
		P99MS: ms(h.ValueAtQuantile(99)), MaxMS: ms(h.Max()),
	}
}

// summary returns the quantiles as one line of text.
func (q Quantiles) summary() string {
	return fmt.Sprintf("p50 %.0f ms, p90 %.0f ms, p99 %.0f ms, max %.0f ms, count %d", q.P50MS, q.P90MS, q.P99MS, q.MaxMS, q.Count)
}
