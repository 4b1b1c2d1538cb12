package scheduler

import (
	"sort"
	"time"

	"sagevale/internal/storage"
)

const (
	// maxSurplusAttempts bounds how many machines with tasks one snapshot tries to do
	// without; the next snapshot goes on where it stopped.
	maxSurplusAttempts = 8
	// surplusPerSnapshot is the share of the fleet that one snapshot may find surplus.
	surplusPerSnapshot = 1.0 / 32
)

// noMachine stands for none: the cloud numbers its machines from 0.
const noMachine = -1

// surplusMachine is a machine that the fleet can do without, and how many attempts it
// had when that was found.
type surplusMachine struct{ machine, attempts int }

// findSurplus finds machines without which all that waits, all that is to be kept
// and what runs would still fit, trying first those that waste the most money.
// The packing has just shown what fits with them. They are drained and returned
// one after the other.
func (d *scheduler) findSurplus(p *packing, now time.Time) []surplusMachine {
	most := max(1, int(surplusPerSnapshot*float64(len(p.candidates))))
	var out []surplusMachine
	busy, skip := 0, d.surplusCursor // machines with tasks seen, and those tried at the last snapshot
	d.surplusCursor = 0
	for _, s := range d.byWaste(p, now) {
		if len(out) == most {
			break
		}
		if s.moved > 0 {
			continue // takes what leaves another
		}
		if len(s.machine.attempts) > 0 || len(s.packed) > 0 {
			if busy++; busy <= skip {
				continue
			}
			if busy > skip+maxSurplusAttempts {
				d.surplusCursor = busy - 1
				break
			}
		}
		if d.canRemove(p, s, now) {
			s.free = storage.Resources{CPUs: -1}
			out = append(out, surplusMachine{s.machine.id, len(s.machine.attempts)})
		}
	}
	return out
}

// byWaste lists the candidates of the ready machines, those that waste the most
// money first.
func (d *scheduler) byWaste(p *packing, now time.Time) []*candidate {
	waste := make(map[*candidate]float64)
	var out []*candidate
	for _, s := range p.candidates {
		if s.machine == nil || !s.machine.ready(now, d.settings.ReportFreshness()) || s.machine.brieflyIdle(now) {
			continue
		}
		price := s.machineType.Price
		if s.spot {
			price = s.machineType.SpotPrice
		}
		if w := price * (1 - d.reservedShare(s.machine)); w > 0 {
			waste[s] = w
			out = append(out, s)
		}
	}
	sort.Slice(out, func(a, b int) bool {
		if waste[out[a]] != waste[out[b]] {
			return waste[out[a]] > waste[out[b]]
		}
		return out[a].machine.id < out[b].machine.id
	})
	return out
}

func (d *scheduler) reservedShare(m *machine) float64 {
	used, all := m.reserved, m.machineType.Resources
	share := used.CPUs / all.CPUs
	if all.GPUs > 0 {
		share = max(share, used.GPUs/all.GPUs)
	}
	return share
}

// canRemove tries to move what runs in a candidate, and what the packing has put
// there, into the room that the packing has left elsewhere. Replicas must find
// their images where they go.
func (d *scheduler) canRemove(p *packing, s *candidate, now time.Time) bool {
	ready := func(o *candidate, _ *job) bool { return o != s && o.machine != nil && !o.booting }
	undo, ok := d.tryMove(s.machine, p.candidates, true, now, func(o *candidate, j *job) bool {
		if !ready(o, j) {
			return false
		}
		_, cached := o.machine.images[j.spec.Image]
		return cached || !j.spec.Service
	})
	if !ok {
		undo()
		return false
	}
	for _, dm := range s.packed {
		if dm.opportunistic && !d.cheapFor(s.offering, dm.job) {
			continue // it waits for cheaper room
		}
		zones := newZoneCheck(dm.job)
		o := d.fullest(p.candidates, dm.job, &zones, ready)
		if o == nil {
			undo()
			return false
		}
		undo = o.take(dm.job, undo)
	}
	return true
}

// take uses room of the candidate; the returned function gives it back, after undo.
func (s *candidate) take(j *job, undo func()) func() {
	s.free = s.free.Sub(j.spec.Resources)
	s.moved++
	return func() {
		s.free = s.free.Add(j.spec.Resources)
		s.moved--
		undo()
	}
}

// tryMove tries to pack a machine's services into the candidates, and with saving
// also what would be stopped because it can save its progress. The rest may
// finish, or waits for room. undo gives the room back.
func (d *scheduler) tryMove(m *machine, candidates []*candidate, saving bool, now time.Time, suits func(*candidate, *job) bool) (undo func(), ok bool) {
	undo = func() {}
	for _, a := range m.sortedAttempts() {
		if !a.job.spec.Service && !(saving && a.job.spec.CheckpointS > 0 && !a.job.spec.Gang) {
			continue
		}
		if saving && d.settings.IsOpportunistic(&a.job.spec) && !d.cheapFor(offering{m.typeName, m.zone, m.spot}, a.job) {
			continue // it waits for cheaper room
		}
		if saving && d.lateByMove(a, now) {
			return undo, false
		}
		zones := newZoneCheck(a.job)
		zones.add(m.zone, -1)
		s := d.fullest(candidates, a.job, &zones, suits)
		if s == nil {
			return undo, false
		}
		undo = s.take(a.job, undo)
	}
	return undo, true
}

// moveMargin is how many times what a move costs a task must have left, for its
// run time is but a guess.
const moveMargin = 2

// lateByMove tells whether saving a task and fetching its image elsewhere may
// cost it a deadline that it would meet where it is.
func (d *scheduler) lateByMove(a *attempt, now time.Time) bool {
	s := &a.job.spec
	if s.Service || s.DeadlineS <= 0 || a.started.IsZero() {
		return false
	}
	left := max(0, d.state.classes.runSeconds(a.job)-now.Sub(a.started).Seconds())
	slack := a.job.deadline().Sub(now).Seconds() - left
	cost := s.SaveS
	if a.machine.machineType != nil && a.machine.machineType.FetchGBPS > 0 {
		cost += s.ImageGB / a.machine.machineType.FetchGBPS
	}
	return slack >= 0 && slack < moveMargin*cost
}
