package coordination

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
func (d *dispatcher) load(records []storage.Record) error {
	order := func(key string) int { return strings.IndexByte("cfhmjp", key[0]) }
	sort.SliceStable(records, func(a, b int) bool { return order(records[a].Key) < order(records[b].Key) })
	for _, r := range records {
		if err := d.loadRecord(r); err != nil {
			return fmt.Errorf("record %s: %w", r.Key, err)
		}
	}
	for _, j := range d.jobs.inOrder() {
		if j.tasks != nil {
			d.arrival(j)
		}
		if j.phase == storage.Open && j.managed == nil {
			d.activation.postpone(j)
		}
		if j.phase == storage.Open || len(j.attempts) > 0 {
			d.jobs.hold(j)
			// Its pages may have become durable and its own record not.
			if j.spec.Gang && j.done > 0 {
				d.gangDone(j) // an earlier version noted them one by one
			}
			d.finish(j)
		} else {
			j.tasks, j.waiting = nil, 0
			d.finished(j)
		}
		if j.phase != storage.Open {
			d.jobs.cancel(j)
			d.stopAll(j)
		}
	}
	d.activation.loaded(time.Now())
	return nil
}

func (d *dispatcher) loadRecord(r storage.Record) error {
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
		d.rentals[rest] = h
	case storage.KindMachine:
		var rec storage.MachineRecord
		if err := json.Unmarshal(r.Data, &rec); err != nil {
			return err
		}
		var id int
		if _, err := fmt.Sscan(rest, &id); err != nil {
			return err
		}
		m := d.machine(id)
		m.born = d.began
		m.addr, m.kind, m.zone, m.spot, m.session = rec.Addr, rec.Type, rec.Zone, rec.Spot, rec.Incarnation
		for name, gb := range rec.Images {
			m.images[name] = image{gb, d.began}
		}
		m.returning, m.recorded, m.typ = rec.Terminating, true, d.types[rec.Type]
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

func (d *dispatcher) loadJob(id string, rec storage.JobRecord) {
	spec := storage.Spec{Tasks: rec.Tasks}
	if rec.Spec != nil {
		spec = *rec.Spec
	}
	spec.ID = id
	j := newJob(spec, time.UnixMilli(rec.SubmittedMS))
	j.phase, j.known, j.settled = rec.Phase, true, rec.Phase != storage.Open
	if j.settled {
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

func (d *dispatcher) loadPage(id, key string, rec storage.PageRecord) {
	j := d.jobs.get(id)
	switch {
	case j == nil && d.archiveUsed:
		d.mark(key, removed) // its job was archived, and the removal cut short
	case j != nil && j.settled:
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
	if j.settled {
		j.done = doneBefore
	}
	for _, ar := range rec.Attempts {
		m := d.machine(ar.Machine)
		a := &attempt{job: j, task: ar.Task, try: ar.Number, on: m, session: ar.Incarnation, durable: true, booked: d.began}
		d.enter(a)
		m.session = max(m.session, ar.Incarnation)
	}
}

func (d *dispatcher) setTypes(types []storage.MachineType) {
	d.types = make(map[string]*storage.MachineType, len(types))
	d.typeNames = d.typeNames[:0]
	for i := range types {
		t := types[i]
		d.types[t.Name] = &t
		d.typeNames = append(d.typeNames, t.Name)
	}
	for _, m := range d.machines {
		m.typ = d.types[m.kind]
	}
	for _, j := range d.jobs.all {
		j.fits = nil
	}
}
