// Package clustertest builds settings, job specifications and cluster states for tests.
package clustertest

import (
	"fmt"
	"time"

	"sagevale/internal/cluster"
	"sagevale/internal/config"
	"sagevale/internal/fencing"
	"sagevale/internal/storage"
	"sagevale/internal/worker"
)

// Types are the machine types of the tests' cloud: a small one without GPUs, and a large one with eight.
var Types = []storage.MachineType{
	{Name: "cpu", Resources: storage.Resources{CPUs: 8, MemoryGB: 32}, CacheGB: 60, FetchGBPS: 1, Price: 1, SpotPrice: 0.3, BootS: 15, Zones: []string{"a", "b"}},
	{Name: "gpu", Resources: storage.Resources{CPUs: 64, GPUs: 8, MemoryGB: 256}, CacheGB: 400, FetchGBPS: 4, Price: 20, SpotPrice: 7, BootS: 60, Zones: []string{"a", "b"}},
}

// Settings are those of a large site.
func Settings() config.Settings {
	s := config.Settings{
		Zones: []string{"a", "b"}, HeartbeatInterval: 4 * time.Second, WorkerLease: 22 * time.Second, CancelTimeout: 52 * time.Second,
		Teams:    []config.Team{{Name: "team"}},
		State:    storage.Limits{RequestsPerS: 100, ChangesPerS: 40, ValueBytes: 8192, TxnOps: 32},
		CloudRPS: 6, ListLag: 4 * time.Second, MemoryMB: 98, Sockets: 1000,
	}
	s.Tuning = s.DefaultTuning()
	return s
}

// Array is a job array of small tasks that run for 20 seconds.
func Array(id string, tasks int) storage.Spec {
	return storage.Spec{ID: id, Class: "sweep", Team: "team", Tasks: tasks, Priority: storage.Normal,
		Resources: storage.Resources{CPUs: 2, MemoryGB: 4}, Image: "img", ImageGB: 1, EstimateS: 20}
}

// Service is a production service of small replicas.
func Service(id string, tasks int) storage.Spec {
	s := Array(id, tasks)
	s.Class, s.Service, s.Priority, s.EstimateS = "service", true, storage.Production, 0
	return s
}

// Spread is a service whose replicas are spread over zones.
func Spread(id string, tasks int) storage.Spec {
	s := Service(id, tasks)
	s.Spread = true
	return s
}

// Opportunistic is an array of opportunistic work; a task takes half of a machine of the type cpu.
func Opportunistic(id string, tasks int) storage.Spec {
	s := Array(id, tasks)
	s.Class, s.Priority, s.Spot, s.Resources.CPUs = "idle", storage.BestEffort, true, 4
	return s
}

// Fleet is a cluster state that tests fill by hand. It carries out the decisions of a planner at once.
type Fleet struct {
	Settings config.Settings
	State    *cluster.State

	lastAttempt uint64
}

// NewFleet returns an empty fleet.
func NewFleet(settings config.Settings) *Fleet {
	f := &Fleet{Settings: settings, State: cluster.NewState(fencing.TermTokens(2))}
	f.State.SetTypes(Types)
	return f
}

// Up enters a machine that has just reported, or has it report again.
func (f *Fleet) Up(id int, typeName, zone string, spot bool) *cluster.Machine {
	now := time.Now()
	m := f.State.EnsureMachine(id, now)
	m.Addr, m.TypeName, m.Zone, m.Spot, m.Type = fmt.Sprint(id), typeName, zone, spot, f.State.Types.Get(typeName)
	m.Incarnation, m.Confirmed = 1, true
	m.Seq++
	m.LastContact, m.LastHeartbeat, m.LastAcknowledged = now, now, now
	return m
}

// Accept enters a job as if its acceptance were durable.
func (f *Fleet) Accept(spec storage.Spec) *cluster.Job {
	j := cluster.NewJob(spec, time.Now())
	j.Acknowledged = true
	f.State.Jobs.AddOpen(j)
	f.State.Classes.NoteArrival(j)
	return j
}

// Run enters an attempt that runs on a machine.
func (f *Fleet) Run(j *cluster.Job, task int, m *cluster.Machine) *cluster.Attempt {
	a := f.Reserve(j, task, m, time.Now())
	a.Reported, a.State, a.Started = true, worker.Running, time.Now()
	return a
}

// Reserve is part of placement.Actions.
func (f *Fleet) Reserve(j *cluster.Job, task int, m *cluster.Machine, now time.Time) *cluster.Attempt {
	f.lastAttempt++
	number := f.lastAttempt
	if j.Spec.Gang && j.Gang.Number != 0 {
		number = j.Gang.Number
	}
	a := &cluster.Attempt{Job: j, Task: task, Number: number, Machine: m, Incarnation: m.Incarnation, ThisTerm: true, ReservedAt: now}
	f.State.AddAttempt(a)
	return a
}

// BeginGang is part of placement.Actions.
func (f *Fleet) BeginGang(j *cluster.Job) {
	f.lastAttempt++
	j.Gang = cluster.Gang{Number: f.lastAttempt}
}

// AbortGang is part of placement.Actions.
func (f *Fleet) AbortGang(j *cluster.Job) {
	for _, a := range j.GangAttempts() {
		f.State.MarkStopping(a, 0)
	}
}

// Preempt is part of placement.Actions.
func (f *Fleet) Preempt(a *cluster.Attempt, _ time.Time) { f.State.MarkStopping(a, a.Job.Spec.SaveS) }

// CommandStops is part of placement.Actions.
func (f *Fleet) CommandStops(*cluster.Machine) {}

// GangReachable is part of placement.Actions.
func (f *Fleet) GangReachable(*cluster.Job, time.Time) bool { return true }
