// Package provisioning keeps statistics on how long machines take to come up, as a ratio to the nominal boot time of
// their type. They help to decide whether an overdue machine will never come up, in which case a replacement helps,
// or whether all machines of its type currently boot slowly, in which case it doesn't.
//
// The package does no input or output.
package provisioning

import (
	"slices"
	"time"
)

const (
	// maxSamples is the maximum number of samples in a history.
	maxSamples = 32
	// retentionBootTimes is the age beyond which a sample is dropped, in nominal boot times.
	retentionBootTimes = 20
	// slowThreshold is the least median ratio at which boots count as slow. In ordinary operation no boot takes
	// longer than 1.5 nominal boot times.
	slowThreshold = 1.5
	// minSamples is the number of samples needed to consider boots slow, because one or two may be late by chance.
	minSamples = 4
	// maxSlowness is the largest factor that Slowness returns.
	maxSlowness = 4.0
	// minAbandoned is the least number of abandoned machines for which Failing may return true.
	minAbandoned = 2
)

// sample is the outcome of provisioning one machine.
type sample struct {
	at     time.Time
	ratio  float64 // time to the outcome, in nominal boot times
	cameUp bool    // true if the machine came up, false if it was abandoned
}

// History holds the recent provisioning outcomes of one kind of machine, such as one machine type or one offering.
// The zero value is empty. It is not safe for concurrent use.
type History struct{ samples []sample }

// RecordProvisioned records that a machine came up after ratio nominal boot times.
func (h *History) RecordProvisioned(now time.Time, ratio float64) {
	h.add(sample{at: now, ratio: ratio, cameUp: true})
}

// RecordAbandoned records that a machine was abandoned after ratio nominal boot times.
func (h *History) RecordAbandoned(now time.Time, ratio float64) {
	h.add(sample{at: now, ratio: ratio, cameUp: false})
}

// add appends a sample, in place of the oldest one if the history is full.
func (h *History) add(s sample) {
	if len(h.samples) == maxSamples {
		h.samples = slices.Delete(h.samples, 0, 1)
	}
	h.samples = append(h.samples, s)
}

// expire drops samples older than the retention.
func (h *History) expire(now time.Time, nominal time.Duration) {
	h.samples = slices.DeleteFunc(h.samples, func(s sample) bool { return now.Sub(s.at) > retentionBootTimes*nominal })
}

// Slowness returns the factor by which machines boot slower than nominal. The factor is the median ratio of the recent
// samples and the currently overdue machines, at most maxSlowness. It is 1 if boots aren't slow or if there are too few
// ratios. overdue holds the ratios that the overdue machines have reached so far, which are lower bounds of their
// final ratios. nominal is the nominal boot time.
func (h *History) Slowness(now time.Time, nominal time.Duration, overdue []float64) float64 {
	h.expire(now, nominal)
	ratios := slices.Clone(overdue)
	for _, s := range h.samples {
		ratios = append(ratios, s.ratio)
	}
	if len(ratios) < minSamples {
		return 1
	}
	slices.Sort(ratios)
	median := ratios[(len(ratios)-1)/2]
	if median < slowThreshold {
		return 1
	}
	return min(maxSlowness, median)
}

// Failing reports whether at least minAbandoned machines were abandoned recently, and whether more machines were
// abandoned than came up. nominal is the nominal boot time.
func (h *History) Failing(now time.Time, nominal time.Duration) bool {
	h.expire(now, nominal)
	up := 0
	for _, s := range h.samples {
		if s.cameUp {
			up++
		}
	}
	abandoned := len(h.samples) - up
	return abandoned >= minAbandoned && abandoned > up
}
