package scheduler

import (
	"fmt"
	"testing"
	"time"

	"sagevale/internal/cluster"
	"sagevale/internal/cluster/clustertest"
	"sagevale/internal/storage"
	"sagevale/internal/worker"
)

// The benchmarks measure the hot paths with a fleet of 2,000 machines and 12,000 attempts.

const (
	benchMachines = 2000
	benchServices = 1000 // of five tasks
	benchArrays   = 600  // of twelve tasks
)

// newBenchScheduler returns a scheduler whose fleet runs services and arrays.
func newBenchScheduler(b *testing.B) *scheduler {
	b.Helper()
	d := newTestScheduler(b, clustertest.Settings())
	for i := range benchMachines {
		kind := "cpu"
		if i%2 == 0 {
			kind = "gpu"
		}
		d.addReadyMachine(i+1, kind, []string{"a", "b"}[i/2%2], i%6 == 0)
	}
	for i := range benchServices {
		s := clustertest.Spread(fmt.Sprintf("%06d", i), 5)
		s.Image = fmt.Sprintf("img-%02d", i%16)
		d.addAcceptedJob(s)
	}
	for i := range benchArrays {
		d.addAcceptedJob(benchArray(100000+i, 12))
	}
	for d.placementDue = true; d.placementDue; {
		d.placeRound(time.Now())
	}
	for _, m := range d.state.Machines.InOrder() {
		for _, a := range m.Attempts {
			a.Durable, a.Reported, a.State, a.Started = true, true, worker.Running, time.Now()
		}
	}
	d.discardPending()
	d.state.Classes.FirstArrival = time.Now().Add(-3 * d.settings.WorkerLease)
	return d
}

// benchArray returns the specification of an array of GPU tasks with a deadline.
func benchArray(id, tasks int) storage.Spec {
	s := clustertest.Array(fmt.Sprintf("%06d", id), tasks)
	s.Resources, s.Spot, s.DeadlineS = storage.Resources{CPUs: 8, GPUs: 1, MemoryGB: 25}, true, 90
	s.Image, s.ImageGB = fmt.Sprintf("big-%d", id%4), 34
	return s
}

// BenchmarkHeartbeat measures the handling of a machine's heartbeat, with the response.
func BenchmarkHeartbeat(b *testing.B) {
	d := newBenchScheduler(b)
	m := d.state.Machines.InOrder()[1]
	r := &worker.Report{Machine: m.ID, Addr: m.Addr, Type: m.TypeName, Zone: m.Zone, Incarnation: 1, Token: d.term}
	for _, a := range m.SortedAttempts() {
		r.Tasks = append(r.Tasks, worker.TaskReport{ID: a.ID(), Attempt: a.Number, State: worker.Running})
	}
	b.ReportMetric(float64(len(r.Tasks)), "tasks")
	for b.Loop() {
		r.Seq++
		d.handleHeartbeat(r)
	}
}

// BenchmarkRoundInVain measures a round in which 200 jobs wait and none fits.
func BenchmarkRoundInVain(b *testing.B) {
	d := newBenchScheduler(b)
	for i := range 200 {
		s := clustertest.Spread(fmt.Sprintf("%06d", 200000+i), 6)
		s.Resources = storage.Resources{CPUs: 65}
		d.addAcceptedJob(s)
	}
	for b.Loop() {
		d.placeRound(time.Now())
	}
}

// BenchmarkRoundOfOne measures a round that places a service of one task while 200 arrays wait for GPUs.
func BenchmarkRoundOfOne(b *testing.B) {
	d := newBenchScheduler(b)
	for i := range 200 {
		d.addAcceptedJob(benchArray(200000+i, 40))
	}
	s := clustertest.Service("300000", 1)
	s.Resources = storage.Resources{CPUs: 0.1}
	for b.Loop() {
		j := d.addAcceptedJob(s)
		d.placeRound(time.Now())
		d.removeAttempt(j.Attempts[0], "placed")
		delete(d.state.Jobs.Open, s.ID)
	}
}

// BenchmarkFleetSnapshot measures a snapshot of the fleet while no job waits.
func BenchmarkFleetSnapshot(b *testing.B) {
	d := newBenchScheduler(b)
	for b.Loop() {
		d.snapshotFleet(time.Now())
	}
}

// BenchmarkFleetSnapshotBacklog measures a snapshot while 200 arrays of 40 tasks wait.
func BenchmarkFleetSnapshotBacklog(b *testing.B) {
	d := newBenchScheduler(b)
	for i := range 200 {
		d.addAcceptedJob(benchArray(200000+i, 40))
	}
	for b.Loop() {
		d.snapshotFleet(time.Now())
	}
}

// BenchmarkTick measures a tick without a snapshot or a round.
func BenchmarkTick(b *testing.B) {
	d := newBenchScheduler(b)
	d.nextSnapshot = time.Now().Add(time.Hour)
	for b.Loop() {
		d.tick()
		d.publishDelegation(time.Now())
	}
}

// BenchmarkLoad measures loading the records of the whole fleet.
func BenchmarkLoad(b *testing.B) {
	d := newBenchScheduler(b)
	var records []storage.Record
	add := func(key string, data any) {
		r, err := storage.NewRecord(key, data)
		if err != nil {
			b.Fatal(err)
		}
		records = append(records, r)
	}
	for _, m := range d.state.Machines.InOrder() {
		add(storage.MachineKey(m.ID), m.Record())
	}
	for id, j := range d.state.Jobs.Open {
		add(storage.JobKey(id), j.Record())
		add(storage.PageKey(id, 0), j.PageRecord(0))
	}
	for b.Loop() {
		if err := newTestScheduler(b, clustertest.Settings()).loadRecords(records); err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkIdleServices measures a tick of the activation controller with services at zero, which cost memory alone.
func BenchmarkIdleServices(b *testing.B) {
	for _, services := range []int{0, 1000, 100_000} {
		b.Run(fmt.Sprint(services), func(b *testing.B) {
			s := clustertest.Settings()
			s.Tuning.Activation.Classes = []string{coldClass}
			d := newTestScheduler(b, s)
			for i := range services {
				j := cluster.NewJob(modelSpec(fmt.Sprintf("%06d", i)), time.Now())
				d.state.Jobs.AddOpen(j)
				d.activation.track(j, time.Now())
			}
			for b.Loop() {
				d.activation.tick(time.Now())
			}
		})
	}
}
