// Package boots learns how long machines take to boot, as a multiple of what the catalogue says. A
// machine that is late may be one that never comes, or one of many that boot slowly: only where
// others come in time another one comes sooner.
//
// The types do no input or output and aren't safe for concurrent use.
package boots

import (
	"slices"
	"time"
)

const (
	// kept is how many boots are remembered of each kind.
	kept = 32
	// memory is for how long, in nominal boot times.
	memory = 20
	// slowFrom is the typical multiple of the nominal time from which boots count as slow: in
	// ordinary times none takes longer than one and a half.
	slowFrom = 1.5
	// enough boots tell whether boots are slow: one or two may be late by chance.
	enough = 4
	// slowest bounds how slow boots are taken to be.
	slowest = 4.0
	// failed is how many machines must have been given up for a source to be avoided.
	failed = 2
)

// boot is what became of a machine.
type boot struct {
	at    time.Time
	times float64 // how many nominal boot times it took, or had been waited for
	up    bool
}

// History is the recent boots of machines of one kind: of a type, or from one source. The zero value
// has none.
type History struct{ boots []boot }

// RecordProvisioned takes in that a machine has come up after so many nominal boot times.
func (h *History) RecordProvisioned(now time.Time, times float64) { h.add(boot{now, times, true}) }

// RecordAbandoned takes in that a machine was waited for in vain for so many nominal boot times.
func (h *History) RecordAbandoned(now time.Time, times float64) { h.add(boot{now, times, false}) }

func (h *History) add(b boot) {
	if len(h.boots) == kept {
		h.boots = slices.Delete(h.boots, 0, 1)
	}
	h.boots = append(h.boots, b)
}

// forget drops what is too old to tell anything.
func (h *History) forget(now time.Time, nominal time.Duration) {
	h.boots = slices.DeleteFunc(h.boots, func(b boot) bool { return now.Sub(b.at) > memory*nominal })
}

// Slowness is by what factor boots are slower than usual, from 1: the median of the recent boots
// and of those that are late now, given as multiples of the nominal time that they have taken so
// far. Those tell the least that they will take.
func (h *History) Slowness(now time.Time, nominal time.Duration, late []float64) float64 {
	h.forget(now, nominal)
	times := slices.Clone(late)
	for _, b := range h.boots {
		times = append(times, b.times)
	}
	if len(times) < enough {
		return 1
	}
	slices.Sort(times)
	median := times[(len(times)-1)/2]
	if median < slowFrom {
		return 1
	}
	return min(slowest, median)
}

// Failing tells whether more machines have been given up of late than have come up, and several.
func (h *History) Failing(now time.Time, nominal time.Duration) bool {
	h.forget(now, nominal)
	up := 0
	for _, b := range h.boots {
		if b.up {
			up++
		}
	}
	lost := len(h.boots) - up
	return lost >= failed && lost > up
}
