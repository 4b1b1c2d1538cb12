package coordination

import (
	"fmt"
	"testing"
	"time"

	"sagevale/internal/storage"
)

// The hot paths at grown size, to be compared with earlier versions of our own.

// benchDesk is a desk with 400 machines that carry some 1,500 services.
func benchDesk(b *testing.B) *dispatcher {
	b.Helper()
	d := newDesk(b, grownSettings())
	for i := range 400 {
		kind := "cpu"
		if i%8 == 0 {
			kind = "gpu"
		}
		d.up(i+1, kind, []string{"a", "b"}[i%2], false)
	}
	for i := range 300 {
		d.accept(spread(fmt.Sprintf("%06d", i), 5))
	}
	for range 4 {
		d.placeRound(time.Now())
	}
	d.committed = nil
	clear(d.dirty)
	return d
}

// BenchmarkReport is a report of an ordinary machine and its answer.
func BenchmarkReport(b *testing.B) {
	d := benchDesk(b)
	m := d.order[1]
	r := &Report{Machine: m.id, Addr: m.addr, Type: m.kind, Zone: m.zone, Session: 1, Token: d.term}
	for _, a := range m.sortedAttempts() {
		r.Tasks = append(r.Tasks, TaskReport{ID: a.id(), Try: a.try, State: Running})
	}
	b.ReportMetric(float64(len(r.Tasks)), "tasks")
	for b.Loop() {
		r.Seq++
		d.handleBeat(r)
	}
}

// BenchmarkRoundInVain is a round in which 200 jobs wait and none finds room.
func BenchmarkRoundInVain(b *testing.B) {
	d := benchDesk(b)
	for i := range 200 {
		s := spread(fmt.Sprintf("%06d", 1000+i), 6)
		s.Room = storage.Room{CPUs: 65}
		d.accept(s)
	}
	for b.Loop() {
		d.placeRound(time.Now())
	}
}

// BenchmarkFleetView is a look at the fleet on a quiet moment.
func BenchmarkFleetView(b *testing.B) {
	d := benchDesk(b)
	d.firstJob = time.Now().Add(-3 * d.settings.Lease)
	for b.Loop() {
		d.fleetView(time.Now())
	}
}
