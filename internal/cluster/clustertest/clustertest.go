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

// Types lists the machine types that tests use: a small one without GPUs and a large one with eight GPUs.
var Types = []storage.MachineType{
	{Name: "cpu", Resources: storage.Resources{CPUs: 8, MemoryGB: 32}, CacheGB: 60, FetchGBPS: 1, Price: 1, SpotPrice: 0.3, BootS: 15, Zones: []string{"a", "b"}},
	{Name: "gpu", Resources: storage.Resources{CPUs: 64, GPUs: 8, MemoryGB: 256}, CacheGB: 400, FetchGBPS: 4, Price: 20, SpotPrice: 7, BootS: 60, Zones: []string{"a", "b"}},
}

// Settings returns the settings of a large site.
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

// Array returns the specification of a job array of small tasks that run for 20 seconds.
func Array(id string, tasks int) storage.Spec {
	return storage.Spec{ID: id, Class: "sweep", Team: "team", Tasks: tasks, Priority: storage.PriorityNormal,
		Resources: storage.Resources{CPUs: 2, MemoryGB: 4}, Image: "img", ImageGB: 1, EstimateS: 20}
}

// Service returns the specification of a production service of small replicas.
func Service(id string, tasks int) storage.Spec {
	s := Array(id, tasks)
	s.Class, s.Service, s.Priority, s.EstimateS = "service", true, storage.PriorityProduction, 0
	return s
}

// Spread returns the specification of a service whose replicas are spread over zones.
func Spread(id string, tasks int) storage.Spec {
	s := Service(id, tasks)
	s.Spread = true
	return s
}

// Opportunistic returns the specification of an opportunistic job array, of which two tasks fit on a machine of type
// cpu.
func Opportunistic(id string, tasks int) storage.Spec {
	s := Array(id, tasks)
	s.Class, s.Priority, s.Spot, s.Resources.CPUs = "idle", storage.PriorityBestEffort, true, 4
	return s
}

// Fleet is a cluster state that tests fill by hand. It implements placement.Actions by changing the state at once.
type Fleet struct {
	Settings config.Settings
	State    *cluster.State

	lastAttempt uint64
}

// NewFleet returns a fleet without machines and jobs.
func NewFleet(settings config.Settings) *Fleet {
	f := &Fleet{Settings: settings, State: cluster.NewState(fencing.TermTokens(2))}
	f.State.SetTypes(Types)
	return f
}

// ReportMachine adds a machine whose worker has just sent a heartbeat. If the machine exists, its worker sends another one.
func (f *Fleet) ReportMachine(id int, typeName, zone string, spot bool) *cluster.Machine {
	now := time.Now()
	m := f.State.EnsureMachine(id, now)
	m.Addr, m.TypeName, m.Zone, m.Spot, m.Type = fmt.Sprint(id), typeName, zone, spot, f.State.Types.Get(typeName)
	m.Incarnation, m.Confirmed = 1, true
	m.Seq++
	m.LastContact, m.LastHeartbeat, m.LastAcknowledged = now, now, now
	return m
}

// AddJob adds a job whose acceptance is durable.
func (f *Fleet) AddJob(spec storage.Spec) *cluster.Job {
	j := cluster.NewJob(spec, time.Now())
	j.Acknowledged = true
	f.State.Jobs.AddOpen(j)
	f.State.Classes.RecordArrival(j)
	return j
}

// AddRunningAttempt adds an attempt that is running on a machine.
func (f *Fleet) AddRunningAttempt(j *cluster.Job, task int, m *cluster.Machine) *cluster.Attempt {
	a := f.Reserve(j, task, m, time.Now())
	a.Reported, a.State, a.Started = true, worker.Running, time.Now()
	return a
}

// Reserve implements placement.Actions.
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

// BeginGang implements placement.Actions.
func (f *Fleet) BeginGang(j *cluster.Job) {
	f.lastAttempt++
	j.Gang = cluster.Gang{Number: f.lastAttempt}
}

// AbortGang implements placement.Actions.
func (f *Fleet) AbortGang(j *cluster.Job) {
	for _, a := range j.GangAttempts() {
		f.State.MarkStopping(a, 0)
	}
}

// Preempt implements placement.Actions.
func (f *Fleet) Preempt(a *cluster.Attempt, _ time.Time) { f.State.MarkStopping(a, a.Job.Spec.SaveS) }

// CommandStops implements placement.Actions. It does nothing, because a Fleet has no workers.
func (f *Fleet) CommandStops(*cluster.Machine) {}

// GangReachable implements placement.Actions. All gangs are reachable.
func (f *Fleet) GangReachable(*cluster.Job, time.Time) bool { return true }
