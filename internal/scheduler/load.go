package scheduler

import (
	"encoding/json"
	"fmt"
	"sort"
	"strings"
	"time"

	"sagevale/internal/storage"
)

// load rebuilds the state from the records: single ones first, then machines
// and jobs, then the pages that refer to both.
func (d *scheduler) load(records []storage.Record) error {
	order := func(key string) int { return strings.IndexByte("cfhmjp", key[0]) }
	sort.SliceStable(records, func(a, b int) bool { return order(records[a].Key) < order(records[b].Key) })
	for _, r := range records {
		if err := d.loadRecord(r); err != nil {
			return fmt.Errorf("record %s: %w", r.Key, err)
		}
	}
	for _, j := range d.jobs.inOrder() {
		if j.tasks != nil {
			d.noteArrival(j)
		}
		if j.phase == storage.Open && j.managed == nil {
			d.activation.postpone(j)
		}
		if j.phase == storage.Open || len(j.attempts) > 0 {
			d.jobs.trackOpen(j)
			// Its pages may have become durable and its own record not.
			if j.spec.Gang && j.done > 0 {
				d.completeGang(j) // an earlier version noted them one by one
			}
			d.finish(j)
		} else {
			j.tasks, j.waiting = nil, 0
			d.trackFinished(j)
		}
		if j.phase != storage.Open {
			d.jobs.trackCancelling(j)
			d.stopJob(j)
		}
	}
	d.activation.loaded(time.Now())
	return nil
}

func (d *scheduler) loadRecord(r storage.Record) error {
	rest := r.Key[1:]
	switch r.Key[0] {
	case storage.KindMachineTypes:
		var types []storage.MachineType
		if err := json.Unmarshal(r.Data, &types); err != nil {
			return err
		}
		d.setTypes(types)
	case storage.KindFleet:
		var f storage.FleetRecord
		if err := json.Unmarshal(r.Data, &f); err != nil {
			return err
		}
		d.desired = f.Desired
	case storage.KindLaunch:
		var h storage.LaunchRecord
		if err := json.Unmarshal(r.Data, &h); err != nil {
			return err
		}
		d.openLaunches[rest] = h
	case storage.KindMachine:
		var rec storage.MachineRecord
		if err := json.Unmarshal(r.Data, &rec); err != nil {
			return err
		}
		var id int
		if _, err := fmt.Sscan(rest, &id); err != nil {
			return err
		}
		m := d.machineFor(id)
		m.firstSeen = d.termStarted
		m.addr, m.typeName, m.zone, m.spot, m.incarnation = rec.Addr, rec.Type, rec.Zone, rec.Spot, rec.Incarnation
		for name, gb := range rec.Images {
			m.images[name] = image{gb, d.termStarted}
		}
		m.terminating, m.recorded, m.machineType = rec.Terminating, true, d.types[rec.Type]
	case storage.KindJob:
		var rec storage.JobRecord
		if err := json.Unmarshal(r.Data, &rec); err != nil {
			return err
		}
		d.loadJob(rest, rec)
	case storage.KindPage:
		var rec storage.PageRecord
		if err := json.Unmarshal(r.Data, &rec); err != nil {
			return err
		}
		id, _, _ := strings.Cut(rest, "/")
		d.loadPage(id, r.Key, rec)
	}
	return nil
}

func (d *scheduler) loadJob(id string, rec storage.JobRecord) {
	spec := storage.Spec{Tasks: rec.Tasks}
	if rec.Spec != nil {
		spec = *rec.Spec
	}
	spec.ID = id
	j := newJob(spec, time.UnixMilli(rec.SubmittedMS))
	j.phase, j.acknowledged, j.finalDurable = rec.Phase, true, rec.Phase != storage.Open
	if j.finalDurable {
		j.done = rec.DoneTasks
		if rec.Spec == nil {
			j.tasks, j.waiting = nil, 0
		}
	}
	if rec.Activation != nil && rec.Phase == storage.Open {
		d.activation.load(j, rec.Activation)
	}
	d.jobs.load(j)
}

func (d *scheduler) loadPage(id, key string, rec storage.PageRecord) {
	j := d.jobs.get(id)
	switch {
	case j == nil && d.archiveUsed:
		d.markRecord(key, removed) // its job was archived, and the removal cut short
	case j != nil && j.finalDurable:
		j.storedPages = append(j.storedPages, key)
	}
	if j == nil || j.tasks == nil {
		return
	}
	doneBefore := j.done
	for i := 0; i+1 < len(rec.Done); i += 2 {
		for t := rec.Done[i]; t <= rec.Done[i+1]; t++ {
			j.setTask(t, taskDone)
		}
	}
	if j.finalDurable {
		j.done = doneBefore
	}
	for _, ar := range rec.Attempts {
		m := d.machineFor(ar.Machine)
		a := &attempt{job: j, task: ar.Task, number: ar.Number, machine: m, incarnation: ar.Incarnation, durable: true, reservedAt: d.termStarted}
		d.addAttempt(a)
		m.incarnation = max(m.incarnation, ar.Incarnation)
	}
}

func (d *scheduler) setTypes(types []storage.MachineType) {
	d.types = make(map[string]*storage.MachineType, len(types))
	d.typeNames = d.typeNames[:0]
	for i := range types {
		t := types[i]
		d.types[t.Name] = &t
		d.typeNames = append(d.typeNames, t.Name)
	}
	for _, m := range d.machines {
		m.machineType = d.types[m.typeName]
	}
	for _, j := range d.jobs.all {
		j.feasibleTypes = nil
	}
}
