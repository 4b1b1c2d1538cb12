package scheduler

import (
	"sort"
	"time"

	"sagevale/internal/cloud"
	"sagevale/internal/cluster"
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
		if len(s.machine.Attempts) > 0 || len(s.packed) > 0 {
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
			out = append(out, surplusMachine{s.machine.ID, len(s.machine.Attempts)})
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
		if s.machine == nil || !s.machine.Ready(now, d.settings.ReportFreshness()) || s.machine.BrieflyIdle(now) {
			continue
		}
		price := s.machineType.Price
		if s.Spot {
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
		return out[a].machine.ID < out[b].machine.ID
	})
	return out
}

func (d *scheduler) reservedShare(m *cluster.Machine) float64 {
	used, all := m.Reserved, m.Type.Resources
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
	ready := func(o *candidate, _ *cluster.Job) bool { return o != s && o.machine != nil && !o.booting }
	undo, ok := d.tryMove(s.machine, p.candidates, true, now, func(o *candidate, j *cluster.Job) bool {
		if !ready(o, j) {
			return false
		}
		_, cached := o.machine.Images[j.Spec.Image]
		return cached || !j.Spec.Service
	})
	if !ok {
		undo()
		return false
	}
	for _, dm := range s.packed {
		if dm.opportunistic && !d.cheapFor(s.Offering, dm.job) {
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
func (s *candidate) take(j *cluster.Job, undo func()) func() {
	s.free = s.free.Sub(j.Spec.Resources)
	s.moved++
	return func() {
		s.free = s.free.Add(j.Spec.Resources)
		s.moved--
		undo()
	}
}

// tryMove tries to pack a machine's services into the candidates, and with saving
// also what would be stopped because it can save its progress. The rest may
// finish, or waits for room. undo gives the room back.
func (d *scheduler) tryMove(m *cluster.Machine, candidates []*candidate, saving bool, now time.Time, suits func(*candidate, *cluster.Job) bool) (undo func(), ok bool) {
	undo = func() {}
	for _, a := range m.SortedAttempts() {
		if !a.Job.Spec.Service && !(saving && a.Job.Spec.CheckpointS > 0 && !a.Job.Spec.Gang) {
			continue
		}
		if saving && d.settings.IsOpportunistic(&a.Job.Spec) && !d.cheapFor(cloud.Offering{Type: m.TypeName, Zone: m.Zone, Spot: m.Spot}, a.Job) {
			continue // it waits for cheaper room
		}
		if saving && d.lateByMove(a, now) {
			return undo, false
		}
		zones := newZoneCheck(a.Job)
		zones.add(m.Zone, -1)
		s := d.fullest(candidates, a.Job, &zones, suits)
		if s == nil {
			return undo, false
		}
		undo = s.take(a.Job, undo)
	}
	return undo, true
}

// moveMargin is how many times what a move costs a task must have left, for its
// run time is but a guess.
const moveMargin = 2

// lateByMove tells whether saving a task and fetching its image elsewhere may
// cost it a deadline that it would meet where it is.
func (d *scheduler) lateByMove(a *cluster.Attempt, now time.Time) bool {
	s := &a.Job.Spec
	if s.Service || s.DeadlineS <= 0 || a.Started.IsZero() {
		return false
	}
	left := max(0, d.state.Classes.RunSeconds(a.Job)-now.Sub(a.Started).Seconds())
	slack := a.Job.Deadline().Sub(now).Seconds() - left
	cost := s.SaveS
	if a.Machine.Type != nil && a.Machine.Type.FetchGBPS > 0 {
		cost += s.ImageGB / a.Machine.Type.FetchGBPS
	}
	return slack >= 0 && slack < moveMargin*cost
}
