package provisioning

import (
	"testing"
	"time"
)

const nominalBoot = 15 * time.Second

var now = time.Date(2026, 12, 2, 0, 0, 0, 0, time.UTC)

func TestHistoryDetectsSlowAndFailingBoots(t *testing.T) {
	for name, c := range map[string]struct {
		up, abandoned, overdue []float64 // boot times, divided by nominalBoot
		wantSlowness           float64
		wantFailing            bool
	}{
		"no samples":                      {nil, nil, nil, 1, false},
		"ordinary boots":                  {[]float64{0.6, 1, 1.5}, nil, []float64{1.4}, 1, false},
		"boots within a second":           {[]float64{0.05, 0.05}, nil, nil, 1, false},
		"one in four never comes up":      {[]float64{0.9, 1, 1.1, 1, 1.2, 1}, []float64{2.4, 2.4}, []float64{1.7}, 1, false},
		"all are overdue":                 {[]float64{1}, nil, []float64{2.2, 2.2, 2.2, 2.2}, 2.2, false},
		"all came up late":                {[]float64{3.2, 3, 3.4, 3.2}, nil, nil, 3.2, false},
		"slower than the bound":           {nil, nil, []float64{9, 9, 9, 9}, maxSlowness, false},
		"two abandoned and none came up":  {nil, []float64{2, 2}, nil, 1, true},
		"one abandoned":                   {nil, []float64{2}, nil, 1, false},
		"three overdue, one sample short": {nil, nil, []float64{2, 2, 2}, 1, false},
	} {
		t.Run(name, func(t *testing.T) {
			var h History
			for _, ratio := range c.up {
				h.RecordProvisioned(now, ratio)
			}
			for _, ratio := range c.abandoned {
				h.RecordAbandoned(now, ratio)
			}
			if got := h.Slowness(now, nominalBoot, c.overdue); got != c.wantSlowness {
				t.Errorf("slowness: got %v, want %v", got, c.wantSlowness)
			}
			if got := h.Failing(now, nominalBoot); got != c.wantFailing {
				t.Errorf("failing: got %v, want %v", got, c.wantFailing)
			}
			expired := now.Add(retentionBootTimes*nominalBoot + time.Second)
			if got := h.Slowness(expired, nominalBoot, nil); got != 1 {
				t.Errorf("slowness after the retention: got %v, want 1", got)
			}
			if h.Failing(expired, nominalBoot) {
				t.Error("failing after the retention: got true, want false")
			}
		})
	}
}

func TestHistoryIsBounded(t *testing.T) {
	var h History
	for range 1000 {
		h.RecordProvisioned(now, 1)
	}
	if len(h.samples) > maxSamples {
		t.Errorf("after 1000 boots: got %d samples, want at most %d", len(h.samples), maxSamples)
	}
}
