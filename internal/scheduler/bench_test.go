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

// The benchmarks measure the hot paths of the scheduler with a fleet of 2,000 machines and about 12,000 attempts.

const (
	benchMachines = 2000
	benchServices = 1000 // services with five tasks each
	benchArrays   = 600  // job arrays with twelve tasks each
)

// newBenchScheduler returns a scheduler whose fleet runs services and job arrays.
func newBenchScheduler(b *testing.B) *scheduler {
	b.Helper()
	sched := newTestScheduler(b, clustertest.Settings())
	for i := range benchMachines {
		typeName := "cpu"
		if i%2 == 0 {
			typeName = "gpu"
		}
		sched.addReadyMachine(i+1, typeName, []string{"a", "b"}[i/2%2], i%6 == 0)
	}
	for i := range benchServices {
		spec := clustertest.Spread(fmt.Sprintf("%06d", i), 5)
		spec.Image = fmt.Sprintf("img-%02d", i%16)
		sched.addAcceptedJob(spec)
	}
	for i := range benchArrays {
		sched.addAcceptedJob(benchArray(100000+i, 12))
	}
	for sched.placementDue = true; sched.placementDue; {
		sched.placeRound(time.Now())
	}
	for _, m := range sched.state.Machines.InOrder() {
		for _, a := range m.Attempts {
			a.Durable, a.Reported, a.State, a.Started = true, true, worker.Running, time.Now()
		}
	}
	sched.discardPending()
	sched.state.Classes.FirstArrival = time.Now().Add(-3 * sched.settings.WorkerLease)
	return sched
}

// benchArray returns the specification of a job array of GPU tasks with a deadline.
func benchArray(id, tasks int) storage.Spec {
	spec := clustertest.Array(fmt.Sprintf("%06d", id), tasks)
	spec.Resources, spec.Spot, spec.DeadlineS = storage.Resources{CPUs: 8, GPUs: 1, MemoryGB: 25}, true, 90
	spec.Image, spec.ImageGB = fmt.Sprintf("big-%d", id%4), 34
	return spec
}

// BenchmarkHeartbeat measures the handling of one worker's heartbeat, including the response.
func BenchmarkHeartbeat(b *testing.B) {
	sched := newBenchScheduler(b)
	m := sched.state.Machines.InOrder()[1]
	r := &worker.Report{Machine: m.ID, Addr: m.Addr, Type: m.TypeName, Zone: m.Zone, Incarnation: 1, Token: sched.term}
	for _, a := range m.SortedAttempts() {
		r.Tasks = append(r.Tasks, worker.TaskReport{ID: a.ID(), Attempt: a.Number, State: worker.Running})
	}
	b.ReportMetric(float64(len(r.Tasks)), "tasks")
	for b.Loop() {
		r.Seq++
		sched.handleHeartbeat(r)
	}
}

// BenchmarkRoundInVain measures a placement round in which 200 jobs wait and none of their tasks fits on any machine.
func BenchmarkRoundInVain(b *testing.B) {
	sched := newBenchScheduler(b)
	for i := range 200 {
		spec := clustertest.Spread(fmt.Sprintf("%06d", 200000+i), 6)
		spec.Resources = storage.Resources{CPUs: 65}
		sched.addAcceptedJob(spec)
	}
	for b.Loop() {
		sched.placeRound(time.Now())
	}
}

// BenchmarkRoundOfOne measures a placement round that places a service of one task while 200 job arrays wait for
// GPUs.
func BenchmarkRoundOfOne(b *testing.B) {
	sched := newBenchScheduler(b)
	for i := range 200 {
		sched.addAcceptedJob(benchArray(200000+i, 40))
	}
	spec := clustertest.Service("300000", 1)
	spec.Resources = storage.Resources{CPUs: 0.1}
	for b.Loop() {
		j := sched.addAcceptedJob(spec)
		sched.placeRound(time.Now())
		sched.removeAttempt(j.Attempts[0], "placed")
		delete(sched.state.Jobs.Open, spec.ID)
	}
}

// BenchmarkFleetSnapshot measures a snapshot of the fleet for the autoscaler while no job waits.
func BenchmarkFleetSnapshot(b *testing.B) {
	sched := newBenchScheduler(b)
	for b.Loop() {
		sched.snapshotFleet(time.Now())
	}
}

// BenchmarkFleetSnapshotBacklog measures a snapshot of the fleet while 200 job arrays of 40 tasks wait.
func BenchmarkFleetSnapshotBacklog(b *testing.B) {
	sched := newBenchScheduler(b)
	for i := range 200 {
		sched.addAcceptedJob(benchArray(200000+i, 40))
	}
	for b.Loop() {
		sched.snapshotFleet(time.Now())
	}
}

// BenchmarkTick measures a tick of the scheduler and the publication of its delegation terms. The tick takes no fleet snapshot
// and runs no placement round.
func BenchmarkTick(b *testing.B) {
	sched := newBenchScheduler(b)
	sched.nextSnapshot = time.Now().Add(time.Hour)
	for b.Loop() {
		sched.tick()
		sched.publishDelegation(time.Now())
	}
}

// BenchmarkLoad measures loading the records of all machines and open jobs into a new scheduler.
func BenchmarkLoad(b *testing.B) {
	sched := newBenchScheduler(b)
	var records []storage.Record
	add := func(key string, data any) {
		r, err := storage.NewRecord(key, data)
		if err != nil {
			b.Fatal(err)
		}
		records = append(records, r)
	}
	for _, m := range sched.state.Machines.InOrder() {
		add(storage.MachineKey(m.ID), m.Record())
	}
	for id, j := range sched.state.Jobs.Open {
		add(storage.JobKey(id), j.Record())
		add(storage.TaskPageKey(id, 0), j.PageRecord(0))
	}
	for b.Loop() {
		if err := newTestScheduler(b, clustertest.Settings()).loadRecords(records); err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkIdleServices measures a tick of the activation controller with services that are scaled to zero. Such
// services may take memory, but must not make a tick slower.
func BenchmarkIdleServices(b *testing.B) {
	for _, services := range []int{0, 1000, 100_000} {
		b.Run(fmt.Sprint(services), func(b *testing.B) {
			settings := clustertest.Settings()
			settings.Tuning.Activation.Classes = []string{modelClass}
			sched := newTestScheduler(b, settings)
			for i := range services {
				j := cluster.NewJob(modelSpec(fmt.Sprintf("%06d", i)), time.Now())
				sched.state.Jobs.AddOpen(j)
				sched.activation.track(j, time.Now())
			}
			for b.Loop() {
				sched.activation.tick(time.Now())
			}
		})
	}
}
