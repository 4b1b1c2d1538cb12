package cluster

import (
	"fmt"
	"reflect"
	"testing"
	"time"

	"sagevale/internal/fencing"
	"sagevale/internal/storage"
	"sagevale/internal/worker"
)

var testTypes = []storage.MachineType{
	{Name: "cpu", Resources: storage.Resources{CPUs: 8, MemoryGB: 32}, CacheGB: 10, BootS: 15, Zones: []string{"a", "b"}},
	{Name: "gpu", Resources: storage.Resources{CPUs: 64, GPUs: 8, MemoryGB: 256}, CacheGB: 400, BootS: 60, Zones: []string{"a"}},
}

// newTestState returns a state with testTypes and the given number of machines of type cpu in zone a.
func newTestState(machines int, now time.Time) *State {
	s := NewState(fencing.TermTokens(2))
	s.SetTypes(testTypes)
	for id := range machines {
		m := s.EnsureMachine(id, now)
		m.TypeName, m.Zone, m.Addr, m.Incarnation, m.Type = "cpu", "a", fmt.Sprint(id), 1, s.Types.Get("cpu")
	}
	return s
}

// testSpec returns the specification of a job array whose tasks need 2 CPUs and 4 GB of memory each.
func testSpec(id string, tasks int) storage.Spec {
	return storage.Spec{ID: id, Class: "sweep", Team: "team", Tasks: tasks, Priority: storage.PriorityNormal,
		Resources: storage.Resources{CPUs: 2, MemoryGB: 4}, Image: "img", ImageGB: 1, EstimateS: 20}
}

// addAttempt adds an attempt of this term to run a job's task on a machine.
func addAttempt(s *State, j *Job, task, machine int, number uint64) *Attempt {
	a := &Attempt{Job: j, Task: task, Number: number, Machine: s.Machines.Get(machine), Incarnation: 1, ThisTerm: true}
	s.AddAttempt(a)
	return a
}

func TestAttemptsReserveAndReleaseResources(t *testing.T) {
	now := time.Now()
	s := newTestState(2, now)
	j := NewJob(testSpec("000001", 3), now)
	s.Jobs.AddOpen(j)
	first, second := addAttempt(s, j, 0, 0, 1), addAttempt(s, j, 1, 0, 2)
	want := j.Spec.Resources.Mul(2)
	m := s.Machines.Get(0)
	if *m.Reserved != want || s.Reservations.Team("team") != want || m.RunningUsage[storage.PriorityNormal] != want {
		t.Errorf("machine %+v, team %+v, running %+v, want %+v each", *m.Reserved, s.Reservations.Team("team"), m.RunningUsage[storage.PriorityNormal], want)
	}
	if j.Waiting != 1 || j.AllocatedTasks() != 2 {
		t.Errorf("%d tasks wait and %d are allocated, want 1 and 2", j.Waiting, j.AllocatedTasks())
	}

	s.MarkStopping(first, 5)
	s.MarkStopping(first, 9) // a longer grace period doesn't replace a shorter one
	if first.GraceSeconds != 5 || m.StoppingUsage != j.Spec.Resources || m.RunningUsage[storage.PriorityNormal] != j.Spec.Resources {
		t.Errorf("grace %v, stopping %+v, running %+v; want 5 and %+v each", first.GraceSeconds, m.StoppingUsage, m.RunningUsage[storage.PriorityNormal], j.Spec.Resources)
	}

	idle := now.Add(time.Minute)
	if !s.RemoveAttempt(first, now) || s.RemoveAttempt(first, now) || !s.RemoveAttempt(second, idle) {
		t.Error("RemoveAttempt() must return true exactly once for each attempt")
	}
	if *m.Reserved != (storage.Resources{}) || m.StoppingUsage != (storage.Resources{}) || m.RunningUsage[storage.PriorityNormal] != (storage.Resources{}) {
		t.Errorf("%+v reserved, %+v stopping, %+v running after all attempts are gone", *m.Reserved, m.StoppingUsage, m.RunningUsage[storage.PriorityNormal])
	}
	if j.Waiting != 3 || !m.IdleSince.Equal(idle) {
		t.Errorf("%d tasks wait, idle since %v, want 3 and %v", j.Waiting, m.IdleSince, idle)
	}
}

// A worker must retain a removed attempt whose start command was sent directly, because a late copy of the command may
// still arrive.
func TestRemovedAttemptStaysFenced(t *testing.T) {
	now := time.Now()
	s := newTestState(1, now)
	j := NewJob(testSpec("000001", 2), now)
	s.Jobs.AddOpen(j)
	direct, byHeartbeat := addAttempt(s, j, 0, 0, 1), addAttempt(s, j, 1, 0, 2)
	direct.Delivery, direct.DeliveryToken = DeliverySettled, s.tokens.First
	s.RemoveAttempt(direct, now)
	s.RemoveAttempt(byHeartbeat, now)
	fence := s.Machines.Get(0).Fence
	if !fence.MustRetain(direct.Key()) || fence.MustRetain(byHeartbeat.Key()) {
		t.Errorf("retained: direct start %v, start by heartbeat %v, want true and false", fence.MustRetain(direct.Key()), fence.MustRetain(byHeartbeat.Key()))
	}
}

// recordsOf returns the records of a state's machines, jobs and pages, and of testTypes.
func recordsOf(t *testing.T, s *State) []storage.Record {
	t.Helper()
	var records []storage.Record
	add := func(key string, data any) {
		r, err := storage.NewRecord(key, data)
		if err != nil {
			t.Fatal(err)
		}
		records = append(records, r)
	}
	for _, m := range s.Machines.InOrder() {
		add(storage.MachineKey(m.ID), m.Record())
	}
	for _, j := range s.Jobs.InOrder() {
		add(storage.JobKey(j.Spec.ID), j.Record())
		for page := 0; page*storage.TasksPerPage < len(j.Tasks); page++ {
			if r := j.PageRecord(page); r != nil {
				add(storage.TaskPageKey(j.Spec.ID, page), r)
			}
		}
	}
	add(storage.MachineTypesKey, testTypes)
	return records
}

func TestLoadRestoresRecordedState(t *testing.T) {
	now := time.UnixMilli(1_700_000_000_000)
	s := newTestState(3, now)
	s.Machines.Get(1).UseImage("img", 1, now)
	open := NewJob(testSpec("000001", storage.TasksPerPage+6), now)
	s.Jobs.AddOpen(open)
	for task := range 10 {
		open.SetTask(task, TaskDone)
	}
	addAttempt(s, open, 20, 0, 7)
	addAttempt(s, open, storage.TasksPerPage+1, 2, 8)
	cancelled := NewJob(testSpec("000002", 2), now.Add(time.Second))
	s.Jobs.AddOpen(cancelled)
	addAttempt(s, cancelled, 1, 1, 9)
	cancelled.Phase = storage.PhaseCancelled

	restored := NewState(fencing.TermTokens(3))
	loaded, err := restored.Load(recordsOf(t, s), now)
	if err != nil {
		t.Fatal(err)
	}
	if len(loaded.OrphanPages) != 0 || len(loaded.Lifecycles) != 0 {
		t.Errorf("loaded %+v, want nothing beside the state", loaded)
	}
	if got, want := recordsOf(t, restored), recordsOf(t, s); !reflect.DeepEqual(got, want) {
		t.Errorf("restored records %v, want %v", got, want)
	}
	if got, want := restored.Reservations.Team("team"), s.Reservations.Team("team"); got != want {
		t.Errorf("restored reservations %+v, want %+v", got, want)
	}
	j := restored.Jobs.Get("000001")
	if j.Done != 10 || j.Waiting != storage.TasksPerPage+6-12 || !j.Acknowledged || j.FinalDurable {
		t.Errorf("restored job: %d done, %d wait, acknowledged %v, final %v", j.Done, j.Waiting, j.Acknowledged, j.FinalDurable)
	}
	if restored.Jobs.Cancelling["000002"] == nil {
		t.Error("a cancelled job with an attempt left isn't tracked")
	}
}

func TestLoadRejectsDamagedRecords(t *testing.T) {
	for _, key := range []string{
		storage.JobKey("000001"), storage.TaskPageKey("000001", 0), storage.MachineKey(1),
		storage.LaunchKey("r-1-1"), storage.FleetKey, storage.MachineTypesKey,
	} {
		t.Run(key, func(t *testing.T) {
			records := []storage.Record{{Key: key, Data: []byte(`"damaged"`)}}
			if _, err := NewState(fencing.TermTokens(2)).Load(records, time.Now()); err == nil {
				t.Error("Load() accepts a damaged record")
			}
		})
	}
}

func TestLoadReportsPagesWithoutAJob(t *testing.T) {
	key := storage.TaskPageKey("000001", 0)
	records := []storage.Record{{Key: key, Data: []byte(`{"d":[0,1]}`)}}
	loaded, err := NewState(fencing.TermTokens(2)).Load(records, time.Now())
	if err != nil {
		t.Fatal(err)
	}
	if !reflect.DeepEqual(loaded.OrphanPages, []string{key}) {
		t.Errorf("OrphanPages = %v, want [%s]", loaded.OrphanPages, key)
	}
}

func TestUseImageEvictsTheLeastRecentlyUsed(t *testing.T) {
	now := time.Now()
	s := newTestState(1, now)
	m := s.Machines.Get(0) // its image cache holds 10 GB
	for i, name := range []string{"old", "middle", "new"} {
		m.UseImage(name, 4, now.Add(time.Duration(i)*time.Second))
	}
	if _, ok := m.Images["old"]; ok || len(m.Images) != 2 {
		t.Errorf("cached images %v, want middle and new", m.Images)
	}
	m.Recorded = true
	if m.UseImage("new", 4, now); !m.Recorded {
		t.Error("an image that was already cached makes the machine's record due to be written")
	}
}

func TestGangCompletable(t *testing.T) {
	for _, c := range []struct {
		name   string
		change func(g *Gang, a *Attempt)
		want   bool
	}{
		{"all wait", func(*Gang, *Attempt) {}, true},
		{"one is not yet reported", func(_ *Gang, a *Attempt) { a.Reported = false }, true},
		{"one of an earlier term is not yet reported", func(_ *Gang, a *Attempt) { a.Reported, a.ThisTerm = false, false }, false},
		{"one is being stopped", func(_ *Gang, a *Attempt) { a.Stopping = true }, false},
		{"one runs", func(_ *Gang, a *Attempt) { a.State = worker.Running }, false},
		{"one has a different attempt number", func(_ *Gang, a *Attempt) { a.Number++ }, false},
		{"the gang has run", func(g *Gang, _ *Attempt) { g.Started = true }, false},
		{"the gang has failed", func(g *Gang, _ *Attempt) { g.Failed = true }, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			now := time.Now()
			s := newTestState(2, now)
			spec := testSpec("000001", 2)
			spec.Gang = true
			j := NewJob(spec, now)
			s.Jobs.AddOpen(j)
			for task := range 2 {
				a := addAttempt(s, j, task, task, 5)
				a.Reported, a.State = true, worker.Gathering
			}
			c.change(&j.Gang, j.Attempts[1])
			if got := j.GangCompletable(); got != c.want {
				t.Errorf("GangCompletable() = %v, want %v", got, c.want)
			}
		})
	}
}

func TestZoneAllows(t *testing.T) {
	for _, c := range []struct {
		name   string
		spec   storage.Spec
		counts map[string]int
		zone   string
		want   bool
	}{
		{"any zone", storage.Spec{Tasks: 3}, map[string]int{"b": 2}, "a", true},
		{"the job's zone", storage.Spec{Tasks: 3, Zone: "a"}, nil, "a", true},
		{"not the job's zone", storage.Spec{Tasks: 3, Zone: "a"}, nil, "b", false},
		{"same zone", storage.Spec{Tasks: 3, SameZone: true}, map[string]int{"a": 1}, "a", true},
		{"another zone", storage.Spec{Tasks: 3, SameZone: true}, map[string]int{"a": 1}, "b", false},
		{"another zone has had tasks but none are left", storage.Spec{Tasks: 3, SameZone: true}, map[string]int{"a": 0}, "b", true},
		{"half of five, rounded up", storage.Spec{Tasks: 5, Spread: true}, map[string]int{"a": 2}, "a", true},
		{"more than half", storage.Spec{Tasks: 5, Spread: true}, map[string]int{"a": 3}, "a", false},
		{"a task in an unknown zone counts in each zone", storage.Spec{Tasks: 5, Spread: true}, map[string]int{"a": 2, "": 1}, "a", false},
	} {
		t.Run(c.name, func(t *testing.T) {
			j := NewJob(c.spec, time.Now())
			if got := j.ZoneAllows(c.zone, c.counts); got != c.want {
				t.Errorf("ZoneAllows(%q, %v) = %v, want %v", c.zone, c.counts, got, c.want)
			}
		})
	}
}
