package boots

import (
	"testing"
	"time"
)

const nominal = 15 * time.Second

func TestSlownessFollowsWhatBootsTake(t *testing.T) {
	now := time.Date(2026, 12, 2, 0, 0, 0, 0, time.UTC)
	for name, c := range map[string]struct {
		up, givenUp, late []float64
		slowness          float64
		failing           bool
	}{
		"nothing known":               {nil, nil, nil, 1, false},
		"ordinary boots":              {[]float64{0.6, 1, 1.5}, nil, []float64{1.4}, 1, false},
		"boots within a second":       {[]float64{0.05, 0.05}, nil, nil, 1, false},
		"one in four never comes":     {[]float64{0.9, 1, 1.1, 1, 1.2, 1}, []float64{2.4, 2.4}, []float64{1.7}, 1, false},
		"all are late":                {[]float64{1}, nil, []float64{2.2, 2.2, 2.2, 2.2}, 2.2, false},
		"all came late":               {[]float64{3.2, 3, 3.4, 3.2}, nil, nil, 3.2, false},
		"later than can be waited":    {nil, nil, []float64{9, 9, 9, 9}, slowest, false},
		"none comes from this source": {nil, []float64{2, 2}, nil, 1, true},
		"one never came":              {nil, []float64{2}, nil, 1, false},
		"three are late":              {nil, nil, []float64{2, 2, 2}, 1, false},
	} {
		var h History
		for _, times := range c.up {
			h.RecordProvisioned(now, times)
		}
		for _, times := range c.givenUp {
			h.RecordAbandoned(now, times)
		}
		if got := h.Slowness(now, nominal, c.late); got != c.slowness {
			t.Errorf("%s: slowness %v, not %v", name, got, c.slowness)
		}
		if got := h.Failing(now, nominal); got != c.failing {
			t.Errorf("%s: failing %v", name, got)
		}
		if later := now.Add(memory*nominal + time.Second); h.Slowness(later, nominal, nil) != 1 || h.Failing(later, nominal) {
			t.Errorf("%s: remembered for too long", name)
		}
	}
	var h History
	for range 1000 {
		h.RecordProvisioned(now, 1)
	}
	if len(h.boots) > kept {
		t.Errorf("%d boots are kept", len(h.boots))
	}
}
