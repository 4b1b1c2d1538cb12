package cluster

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"time"

	"sagevale/internal/storage"
)

// LoadResult holds the contents of the records that aren't part of State.
type LoadResult struct {
	Desired      int                             // desired number of machines
	OpenLaunches map[string]storage.LaunchRecord // launch requests that the cloud hasn't answered, by request ID
	Lifecycles   map[*Job]json.RawMessage        // stored lifecycle states of open services that scale to zero
	OrphanPages  []string                        // keys of task page records whose job has no record
}

// loadOrder lists the kinds of records in the order in which Load applies them. Kinds with a single record come
// first, then launches, machines and jobs. Pages come last because they refer to machines and jobs.
var loadOrder = string([]byte{
	storage.KindMachineTypes, storage.KindFleet, storage.KindLaunch,
	storage.KindMachine, storage.KindJob, storage.KindTaskPage,
})

// Load rebuilds the state from the journal's records. All machines count as first seen at the time now.
func (s *State) Load(records []storage.Record, now time.Time) (LoadResult, error) {
	result := LoadResult{OpenLaunches: make(map[string]storage.LaunchRecord), Lifecycles: make(map[*Job]json.RawMessage)}
	slices.SortStableFunc(records, func(a, b storage.Record) int {
		return strings.IndexByte(loadOrder, a.Key[0]) - strings.IndexByte(loadOrder, b.Key[0])
	})
	for _, r := range records {
		if err := s.loadRecord(r, now, &result); err != nil {
			return LoadResult{}, fmt.Errorf("record %s: %w", r.Key, err)
		}
	}
	return result, nil
}

// loadRecord applies one record to the state or to result. The first byte of its key is the kind of the record.
func (s *State) loadRecord(r storage.Record, now time.Time, result *LoadResult) error {
	name := r.Key[1:]
	switch r.Key[0] {
	case storage.KindMachineTypes:
		types, err := decode[[]storage.MachineType](r)
		if err != nil {
			return err
		}
		s.SetTypes(types)
	case storage.KindFleet:
		fleet, err := decode[storage.FleetRecord](r)
		if err != nil {
			return err
		}
		result.Desired = fleet.Desired
	case storage.KindLaunch:
		launch, err := decode[storage.LaunchRecord](r)
		if err != nil {
			return err
		}
		result.OpenLaunches[name] = launch
	case storage.KindMachine:
		record, err := decode[storage.MachineRecord](r)
		if err != nil {
			return err
		}
		return s.loadMachine(name, &record, now)
	case storage.KindJob:
		record, err := decode[storage.JobRecord](r)
		if err != nil {
			return err
		}
		s.loadJob(name, &record, result)
	case storage.KindTaskPage:
		record, err := decode[storage.TaskPageRecord](r)
		if err != nil {
			return err
		}
		id, _, _ := strings.Cut(name, "/")
		s.loadPage(id, r.Key, &record, now, result)
	}
	return nil
}

// decode parses the JSON data of a record.
func decode[T any](r storage.Record) (v T, err error) {
	err = json.Unmarshal(r.Data, &v)
	return v, err
}

// loadMachine adds a machine from its record. name is the machine's ID in decimal.
func (s *State) loadMachine(name string, record *storage.MachineRecord, now time.Time) error {
	var id int
	if _, err := fmt.Sscan(name, &id); err != nil {
		return err
	}
	m := s.EnsureMachine(id, now)
	m.FirstSeen = now
	m.Addr, m.TypeName, m.Zone, m.Spot = record.Addr, record.Type, record.Zone, record.Spot
	m.Incarnation = record.Incarnation
	for name, sizeGB := range record.Images {
		m.Images[name] = Image{sizeGB, now}
	}
	m.Terminating, m.Recorded, m.Type = record.Terminating, true, s.Types.Get(record.Type)
	return nil
}

// loadJob adds a job from its record. The states of its tasks come from its pages, see loadPage.
func (s *State) loadJob(id string, record *storage.JobRecord, result *LoadResult) {
	spec := storage.Spec{Tasks: record.Tasks}
	if record.Spec != nil {
		spec = *record.Spec
	}
	spec.ID = id
	j := NewJob(spec, time.UnixMilli(record.SubmittedMS))
	j.Phase, j.Acknowledged, j.FinalDurable = record.Phase, true, record.Phase != storage.PhaseOpen
	if j.FinalDurable {
		j.Done = record.DoneTasks
		if record.Spec == nil {
			j.Tasks, j.Waiting = nil, 0
		}
	}
	if record.Activation != nil && record.Phase == storage.PhaseOpen {
		result.Lifecycles[j] = record.Activation
	}
	s.Jobs.Add(j)
}

// loadPage applies the done tasks and the attempts of one page to its job. A page without a job is added to
// result.OrphanPages.
func (s *State) loadPage(id, key string, record *storage.TaskPageRecord, now time.Time, result *LoadResult) {
	j := s.Jobs.Get(id)
	switch {
	case j == nil:
		result.OrphanPages = append(result.OrphanPages, key)
	case j.FinalDurable:
		j.StoredPages = append(j.StoredPages, key)
	}
	if j == nil || j.Tasks == nil {
		return
	}
	doneBefore := j.Done
	for i := 0; i+1 < len(record.Done); i += 2 {
		for t := record.Done[i]; t <= record.Done[i+1]; t++ {
			j.SetTask(t, TaskDone)
		}
	}
	if j.FinalDurable {
		j.Done = doneBefore
	}
	for _, r := range record.Attempts {
		m := s.EnsureMachine(r.Machine, now)
		s.AddAttempt(&Attempt{
			Job: j, Task: r.Task, Number: r.Number, Machine: m, Incarnation: r.Incarnation,
			Durable: true, ReservedAt: now,
		})
		m.Incarnation = max(m.Incarnation, r.Incarnation)
	}
}
