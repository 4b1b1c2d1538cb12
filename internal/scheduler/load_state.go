package scheduler

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"time"

	"sagevale/internal/storage"
)

// loaded is what the records tell beside the state.
type loaded struct {
	desired      int                             // the desired size of the fleet
	openLaunches map[string]storage.LaunchRecord // launch requests without an answer
	lifecycles   map[*job]json.RawMessage        // of open services that scale to zero
	orphanPages  []string                        // keys of page records without a job
}

// loadOrder is the order in which kinds of records are loaded: single ones first, then launches, machines
// and jobs, then the pages that refer to both.
var loadOrder = string([]byte{
	storage.KindMachineTypes, storage.KindFleet, storage.KindLaunch,
	storage.KindMachine, storage.KindJob, storage.KindPage,
})

// load rebuilds the state from the journal's records. Machines count as known since now.
func (s *state) load(records []storage.Record, now time.Time) (loaded, error) {
	result := loaded{openLaunches: make(map[string]storage.LaunchRecord), lifecycles: make(map[*job]json.RawMessage)}
	slices.SortStableFunc(records, func(a, b storage.Record) int {
		return strings.IndexByte(loadOrder, a.Key[0]) - strings.IndexByte(loadOrder, b.Key[0])
	})
	for _, r := range records {
		if err := s.loadRecord(r, now, &result); err != nil {
			return loaded{}, fmt.Errorf("record %s: %w", r.Key, err)
		}
	}
	return result, nil
}

func (s *state) loadRecord(r storage.Record, now time.Time, result *loaded) error {
	name := r.Key[1:]
	switch r.Key[0] {
	case storage.KindMachineTypes:
		types, err := decode[[]storage.MachineType](r)
		if err != nil {
			return err
		}
		s.setTypes(types)
	case storage.KindFleet:
		fleet, err := decode[storage.FleetRecord](r)
		if err != nil {
			return err
		}
		result.desired = fleet.Desired
	case storage.KindLaunch:
		launch, err := decode[storage.LaunchRecord](r)
		if err != nil {
			return err
		}
		result.openLaunches[name] = launch
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
	case storage.KindPage:
		record, err := decode[storage.PageRecord](r)
		if err != nil {
			return err
		}
		id, _, _ := strings.Cut(name, "/")
		s.loadPage(id, r.Key, &record, now, result)
	}
	return nil
}

func decode[T any](r storage.Record) (v T, err error) {
	err = json.Unmarshal(r.Data, &v)
	return v, err
}

func (s *state) loadMachine(name string, record *storage.MachineRecord, now time.Time) error {
	var id int
	if _, err := fmt.Sscan(name, &id); err != nil {
		return err
	}
	m := s.ensureMachine(id, now)
	m.firstSeen = now
	m.addr, m.typeName, m.zone, m.spot = record.Addr, record.Type, record.Zone, record.Spot
	m.incarnation = record.Incarnation
	for name, sizeGB := range record.Images {
		m.images[name] = image{sizeGB, now}
	}
	m.terminating, m.recorded, m.machineType = record.Terminating, true, s.types.get(record.Type)
	return nil
}

func (s *state) loadJob(id string, record *storage.JobRecord, result *loaded) {
	spec := storage.Spec{Tasks: record.Tasks}
	if record.Spec != nil {
		spec = *record.Spec
	}
	spec.ID = id
	j := newJob(spec, time.UnixMilli(record.SubmittedMS))
	j.phase, j.acknowledged, j.finalDurable = record.Phase, true, record.Phase != storage.Open
	if j.finalDurable {
		j.done = record.DoneTasks
		if record.Spec == nil {
			j.tasks, j.waiting = nil, 0
		}
	}
	if record.Activation != nil && record.Phase == storage.Open {
		result.lifecycles[j] = record.Activation
	}
	s.jobs.load(j)
}

func (s *state) loadPage(id, key string, record *storage.PageRecord, now time.Time, result *loaded) {
	j := s.jobs.get(id)
	switch {
	case j == nil:
		result.orphanPages = append(result.orphanPages, key)
	case j.finalDurable:
		j.storedPages = append(j.storedPages, key)
	}
	if j == nil || j.tasks == nil {
		return
	}
	doneBefore := j.done
	for i := 0; i+1 < len(record.Done); i += 2 {
		for t := record.Done[i]; t <= record.Done[i+1]; t++ {
			j.setTask(t, taskDone)
		}
	}
	if j.finalDurable {
		j.done = doneBefore
	}
	for _, r := range record.Attempts {
		m := s.ensureMachine(r.Machine, now)
		s.addAttempt(&attempt{
			job: j, task: r.Task, number: r.Number, machine: m, incarnation: r.Incarnation,
			durable: true, reservedAt: now,
		})
		m.incarnation = max(m.incarnation, r.Incarnation)
	}
}
