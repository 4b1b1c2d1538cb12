package loopbacktest

import "github.com/HdrHistogram/hdrhistogram-go"

// Counts tells how much is on the machines.
type Counts struct {
	Machines, Present, Starts, Faults int
}

// Counts counts machines, tasks on them now, starts ever and broken rules.
func (w *Workers) Counts() Counts {
	w.mu.Lock()
	defer w.mu.Unlock()
	return Counts{Machines: len(w.byAddr), Present: len(w.ledger.present), Starts: w.ledger.starts, Faults: w.ledger.faultCount}
}

// ReportDelays are the times from a report to its answer, in microseconds.
func (w *Workers) ReportDelays() *hdrhistogram.Histogram {
	w.mu.Lock()
	defer w.mu.Unlock()
	return hdrhistogram.Import(w.reportDelay.Export())
}

// StartDelays are the times from acceptance to start by class, in microseconds.
func (w *Workers) StartDelays() map[Class]*hdrhistogram.Histogram {
	w.mu.Lock()
	defer w.mu.Unlock()
	out := make(map[Class]*hdrhistogram.Histogram)
	for class, h := range w.ledger.startDelay {
		out[class] = hdrhistogram.Import(h.Export())
	}
	return out
}

// ResetDelays forgets the latencies so far.
func (w *Workers) ResetDelays() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.reportDelay.Reset()
	clear(w.ledger.startDelay)
}
