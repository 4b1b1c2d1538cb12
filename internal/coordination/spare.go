package coordination

import (
	"sort"
	"time"
)

// spareTries bounds how many machines one look tries to do without; the next
// look goes on where it stopped.
const spareTries = 8

// noMachine stands for none: the cloud numbers its machines from 0.
const noMachine = -1

// spare finds a machine without which all that waits, all that is to be kept
// and what runs would still fit, trying first those that waste the most money.
// The packing has just shown what fits with it.
func (d *dispatcher) spare(p *packing, now time.Time) int {
	type candidate struct {
		s     *slot
		waste float64
	}
	var cs []candidate
	for _, s := range p.slots {
		if s.on == nil || !s.on.ready(now, d.settings.fresh()) {
			continue
		}
		price := s.typ.Price
		if s.spot {
			price = s.typ.SpotPrice
		}
		if waste := price * (1 - d.bookedShare(s.on)); waste > 0 {
			cs = append(cs, candidate{s, waste})
		}
	}
	sort.Slice(cs, func(a, b int) bool {
		if cs[a].waste != cs[b].waste {
			return cs[a].waste > cs[b].waste
		}
		return cs[a].s.on.id < cs[b].s.on.id
	})
	if d.spareFrom >= len(cs) {
		d.spareFrom = 0
	}
	for _, c := range cs[d.spareFrom:min(len(cs), d.spareFrom+spareTries)] {
		if d.canSpare(p, c.s, now) {
			d.spareFrom = 0
			return c.s.on.id
		}
	}
	d.spareFrom += spareTries
	return noMachine
}

func (d *dispatcher) bookedShare(m *machine) float64 {
	used, all := d.books.Machine(m.id), m.typ.Room
	share := used.CPUs / all.CPUs
	if all.GPUs > 0 {
		share = max(share, used.GPUs/all.GPUs)
	}
	return share
}

// canSpare tries to move what runs in a slot, and what the packing has put
// there, into the room that the packing has left elsewhere. Replicas must find
// their images where they go.
func (d *dispatcher) canSpare(p *packing, s *slot, now time.Time) bool {
	ready := func(o *slot, _ *job) bool { return o != s && o.on != nil && !o.booting }
	undo, ok := d.tryMove(s.on, p.slots, true, now, func(o *slot, j *job) bool {
		if !ready(o, j) {
			return false
		}
		_, cached := o.on.images[j.spec.Image]
		return cached || !j.spec.Service
	})
	defer func() { undo() }()
	if !ok {
		return false
	}
	for _, dm := range s.packed {
		zones := newZoneCheck(dm.job)
		o := d.fullest(p.slots, dm.job, &zones, ready)
		if o == nil {
			return false
		}
		undo = o.take(dm.job, undo)
	}
	return true
}

// take uses room of the slot; the returned function gives it back, after undo.
func (s *slot) take(j *job, undo func()) func() {
	free := s.free
	s.free = free.Minus(j.spec.Room)
	return func() {
		s.free = s.free.Plus(j.spec.Room)
		undo()
	}
}

// tryMove tries to pack a machine's services into the slots, and with saving
// also what would be stopped because it can save its progress. The rest may
// finish, or waits for room. undo gives the room back.
func (d *dispatcher) tryMove(m *machine, slots []*slot, saving bool, now time.Time, suits func(*slot, *job) bool) (undo func(), ok bool) {
	undo = func() {}
	for _, a := range m.sortedAttempts() {
		if !a.job.spec.Service && !(saving && a.job.spec.CheckpointS > 0) {
			continue
		}
		if saving && d.lateByMove(a, now) {
			return undo, false
		}
		zones := newZoneCheck(a.job)
		zones.add(m.zone, -1)
		s := d.fullest(slots, a.job, &zones, suits)
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
func (d *dispatcher) lateByMove(a *attempt, now time.Time) bool {
	s := &a.job.spec
	if s.Service || s.DeadlineS <= 0 || a.started.IsZero() {
		return false
	}
	left := max(0, d.runTime(a.job)-now.Sub(a.started).Seconds())
	slack := a.job.due().Sub(now).Seconds() - left
	cost := s.SaveS
	if a.on.typ != nil && a.on.typ.FetchGBPS > 0 {
		cost += s.ImageGB / a.on.typ.FetchGBPS
	}
	return slack >= 0 && slack < moveMargin*cost
}

const (
	// strangerLease is how much of a lease after a take-over a machine may
	// stay unheard before it counts as lost.
	strangerLease = 0.5
	// strangerShare of the machines may be lost at a time; if more are silent,
	// the trouble is ours or a zone's.
	strangerShare = 0.25
)

// lostStrangers finds machines that carry services and have not been heard
// since the take-over, while nearly all others have. Their lease bound must
// cover an earlier leader's hold and so is long; a deletion's 200 proves them
// empty sooner. That is done only where their services find room elsewhere: a
// machine that comes back has its images.
func (d *dispatcher) lostStrangers(now time.Time) []int {
	if !d.certain(now) || now.Sub(d.began) < max(scale(d.settings.Lease, strangerLease), d.settings.fresh()) {
		return nil
	}
	var silent []*machine
	carrying := 0
	for _, m := range d.order {
		if len(m.attempts) == 0 || m.returning {
			continue
		}
		carrying++
		if !m.heard && m.lastBeat.IsZero() && m.typ != nil {
			silent = append(silent, m)
		}
	}
	if float64(len(silent)) > max(1, strangerShare*float64(carrying)) {
		return nil
	}
	var lost []int
	slots := d.readySlots(now)
	d.learnPerGPU(now)
	for _, m := range silent {
		undo, ok := d.tryMove(m, slots, false, now, lastResort)
		if ok {
			d.log.Info("unheard since the take-over", "machine", m.id, "attempts", len(m.attempts))
			lost = append(lost, m.id)
		} else {
			undo()
		}
	}
	return lost
}
