package coordination

import (
	"slices"
	"time"

	"sagevale/internal/storage"
)

// offer is a kind of machine that the cloud may rent.
type offer struct {
	kind string
	zone string
	spot bool
}

// fleetSnapshot is what the capacity actor needs to know, once a second.
type fleetSnapshot struct {
	wanted   []offer            // machines that would cover the pressure, in order
	hurried  int                // how many of them are for other than opportunistic work; they come first
	healthy  bool               // every machine's reports are fresh and nothing is unproved
	surplus  []surplusMachine   // machines that could be returned, one after the other
	emptied  []int              // drained machines without tasks, to be returned
	lost     []int              // failed, silent or never-up machines, to be returned
	drains   int                // how many drains had been asked for
	draining bool               // a drain is still open
	size     int                // machines that are or may be ours
	settled  bool               // a cloud list has been seen in this term
	boots    map[string]float64 // how long the types boot, in seconds
}

// snapshotFleet reckons the pressure: the waiting tasks' requested room minus the
// free room on ready and booting machines, by a trial packing.
func (d *dispatcher) snapshotFleet(now time.Time) fleetSnapshot {
	v := fleetSnapshot{healthy: true, settled: d.listed, drains: d.drains}
	p := &packing{exhausted: make(exhaustedShapes)}
	d.learnSlowness(now)
	fresh := d.settings.fresh()
	for _, m := range d.order {
		silent := now.Sub(m.lastHeard) > fresh
		switch {
		case m.returning, m.failed:
			v.lost = append(v.lost, m.id)
			continue
		case !m.heard && len(m.attempts) == 0 && m.typ != nil && d.givenUp(m, now):
			d.noteGivenUp(m, now)
			v.lost = append(v.lost, m.id)
			v.size++
			continue
		}
		v.size++
		if m.draining != "" {
			if len(m.attempts) == 0 {
				v.emptied = append(v.emptied, m.id)
			} else {
				v.draining = true
			}
			continue
		}
		if m.heard && silent {
			v.healthy = false
			continue
		}
		if m.typ == nil || m.inTrouble(now) || (!m.heard && d.bootOverdue(m, now)) {
			continue
		}
		s := candidateOf(m)
		p.candidates = append(p.candidates, &s)
	}
	if d.certain(now) {
		d.learnPerGPU(now)
		d.shortage(p, d.demands(now), v.size, now)
		v.wanted, v.hurried, v.boots = p.wanted, p.hurried(), make(map[string]float64, len(d.types))
		for name, t := range d.types {
			v.boots[name] = t.BootS
		}
		if v.hurried == 0 && v.healthy && !v.draining {
			v.surplus = d.findSurplus(p, now)
		}
	}
	return v
}

// drain has nothing more placed on a machine and moves its tasks: services and
// what can save its progress restart elsewhere, others may finish unless the
// machine is being taken.
func (d *dispatcher) drain(m *machine, reason string) {
	if m.draining != "" || m.returning {
		return
	}
	m.draining = reason
	d.log.Info("drain", "machine", m.id, "type", m.kind, "spot", m.spot, "reason", reason, "tasks", len(m.attempts))
	now := time.Now()
	for _, a := range m.sortedAttempts() {
		s := &a.job.spec
		switch {
		case s.Gang:
			d.drainGang(a, now)
		case s.Service:
			d.stop(a, 0)
		case s.CheckpointS > 0:
			d.stop(a, s.SaveS) // goes on elsewhere from where it was
		case m.noticeAt.IsZero():
		case !a.seen || a.state == Pulling || seconds(s.EstimateS)-now.Sub(a.started) > m.noticeAt.Sub(now):
			d.stop(a, 0)
		}
	}
	d.stopSeen(m)
	d.place = true
}

// drainSurplus drains a machine that the fleet can do without, unless it has got
// work since that was found. An empty one is returned at once.
func (d *dispatcher) drainSurplus(msg drainMsg) {
	d.drains++
	m := d.machines[msg.surplus.machine]
	if m == nil || len(m.attempts) > msg.surplus.attempts {
		d.capacity.post(drainedMsg{})
		return
	}
	d.drain(m, msg.reason)
	if len(m.attempts) == 0 {
		d.returnMachines([]int{m.id})
		d.capacity.post(drainedMsg{})
	}
}

// handleList takes in what the cloud lists. Absence from a list proves
// nothing; a machine is only let go once its lease has surely ended too.
func (d *dispatcher) handleList(machines []ListedMachine) {
	now := time.Now()
	d.listed = true
	seen := make(map[int]bool, len(machines))
	for _, l := range machines {
		seen[l.Machine] = true
		m, known := d.machines[l.Machine]
		if !known {
			if d.removed[l.Machine] {
				continue
			}
			m = d.machine(l.Machine)
			m.born, m.bornSeen = now.Add(-seconds(l.AgeS)), true
			d.log.Info("unexpected machine", "machine", l.Machine, "type", l.Type, "zone", l.Zone, "spot", l.Spot)
		}
		if m.kind == "" {
			m.kind, m.zone, m.spot, m.typ = l.Type, l.Zone, l.Spot, d.types[l.Type]
		}
		if m.addr == "" {
			m.addr = l.Addr
		}
		m.listedAt = now
		m.failed = l.State == Failed
	}
	for _, m := range slices.Clone(d.order) {
		silent := now.Sub(m.lastHeard) > d.settings.WorkerLease && now.Sub(m.born) > d.settings.WorkerLease+4*d.settings.ListLag
		if !seen[m.id] && !m.returning && silent && now.Sub(m.listedAt) > 4*d.settings.ListLag && now.After(d.emptyBy(m)) {
			d.removeMachine(m.id, "no longer listed")
		}
	}
}

// removeMachine forgets a machine that the cloud has surely taken.
func (d *dispatcher) removeMachine(id int, why string) {
	m := d.machines[id]
	if m == nil {
		return
	}
	for _, a := range m.sortedAttempts() {
		d.free(a, "its machine is gone")
	}
	d.dropMachine(m)
	d.mark(storage.MachineKey(id), removed)
	d.log.Info("machine gone", "machine", id, "why", why)
	d.place = true
}

func (d *dispatcher) handleRented(msg rentedMsg) {
	now := time.Now()
	for _, id := range msg.machines {
		m, known := d.machines[id]
		if !known {
			if d.removed[id] {
				continue
			}
			m = d.machine(id)
			m.born, m.bornSeen, m.listedAt = now, true, now
		}
		if m.kind == "" {
			m.kind, m.zone, m.spot, m.typ = msg.rental.Type, msg.rental.Zone, msg.rental.Spot, d.types[msg.rental.Type]
		}
	}
	d.place = true
}

// returnMachines has machines returned, once it is durable that they will be. The
// cloud may carry out a deletion late, so there is no way back from here.
func (d *dispatcher) returnMachines(ids []int) {
	if len(ids) == 0 {
		return
	}
	for _, id := range ids {
		if m := d.machines[id]; !m.returning {
			d.log.Info("return", "machine", id, "type", m.kind, "spot", m.spot, "draining", m.draining, "failed", m.failed, "age", time.Since(m.born))
			m.returning = true
			d.markMachine(m)
		}
	}
	d.onCommit(func(err error) {
		if err == nil {
			d.capacity.post(returnMsg{ids})
		}
	})
}
