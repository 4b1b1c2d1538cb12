package coordination

import (
	"time"

	"sagevale/internal/storage"
)

const (
	// samples is the number of machines that a placement chooses between
	// (DESIGN: power of two choices).
	samples = 2
	// scanLimit bounds the tasks placed in one round, so that a flood of
	// tasks doesn't hold up the answers to workers.
	scanLimit = 512
)

// placeRound books room for waiting tasks, the most urgent first, and starts
// them once the bookings are durable.
func (d *dispatcher) placeRound() {
	d.place = false
	now := time.Now()
	if !d.certain(now) || d.stalled(now) {
		return
	}
	var waiting []*job
	for _, j := range d.open {
		if j.phase == storage.Open && j.waiting > 0 && !now.Before(j.pauseTill) {
			waiting = append(waiting, j)
		}
	}
	if len(waiting) == 0 {
		return
	}
	d.byUrgency(waiting, now)
	ready := make([]*machine, 0, len(d.machines))
	for _, m := range d.machines {
		if m.ready(now, d.settings.fresh()) {
			ready = append(ready, m)
		}
	}
	sortMachines(ready)
	var booked []*attempt
	for _, j := range waiting {
		if j.spec.Gang {
			booked = append(booked, d.placeGang(j, ready, now)...)
			continue
		}
		for n := j.tries(); n > 0 && len(booked) < scanLimit; n-- {
			task, ok := j.nextWaiting()
			if !ok || !d.withinLimit(j) {
				break
			}
			m := d.choose(j, ready, now)
			if m == nil {
				d.preempt(j, ready, now)
				break
			}
			booked = append(booked, d.book(j, task, m, now))
		}
	}
	if len(booked) > 0 {
		d.onCommit(func(err error) {
			if err == nil {
				d.start(booked)
			}
		})
	}
}

// placeGang books room for all tasks of a gang, or for none: it only goes when
// every task holds booked room.
func (d *dispatcher) placeGang(j *job, ready []*machine, now time.Time) []*attempt {
	if len(j.attempts) > 0 {
		return nil // an earlier gathering isn't over everywhere
	}
	var booked []*attempt
	for j.waiting > 0 {
		task, ok := j.nextWaiting()
		var m *machine
		if ok && d.withinLimit(j) {
			m = d.choose(j, ready, now)
		}
		if m == nil {
			for _, a := range booked {
				d.free(a, "no room for the whole gang")
			}
			return nil
		}
		booked = append(booked, d.book(j, task, m, now))
	}
	// The workers gather the tasks of one try.
	for _, a := range booked {
		a.try = d.nextTry
	}
	return booked
}

// regather stops what is left of a gang that has lost a task.
func (d *dispatcher) regather(j *job) {
	if !j.spec.Gang || j.waiting == 0 {
		return
	}
	for _, a := range j.attempts {
		if a.sent() {
			d.stop(a, j.spec.SaveS)
		}
	}
}

func (d *dispatcher) withinLimit(j *job) bool {
	team := d.settings.team(j.spec.Team)
	return team != nil && storage.Within(d.books.Team(j.spec.Team).Plus(j.spec.Room), team.Limit)
}

// book enters an attempt; it may start once its page is durable.
func (d *dispatcher) book(j *job, task int, m *machine, now time.Time) *attempt {
	d.nextTry++
	a := &attempt{job: j, task: task, try: d.nextTry, on: m, session: m.session, mine: true, booked: now}
	d.enter(a)
	d.markPage(j, task)
	return a
}

// start sends the durable attempts to their workers.
func (d *dispatcher) start(booked []*attempt) {
	now := time.Now()
	if !d.certain(now) {
		for _, a := range booked {
			a.durable = true
		}
		return
	}
	orders := make(map[*machine][]Order)
	starts := make(map[*machine][]*attempt)
	for _, a := range booked {
		if a.job.attempts[a.task] != a {
			continue
		}
		a.durable = true
		m := a.on
		if a.stop || m.returning || a.session != m.session || a.sent() {
			continue
		}
		orders[m] = append(orders[m], Order{Verb: Start, ID: a.id(), Try: a.try})
		starts[m] = append(starts[m], a)
	}
	for m, o := range orders {
		d.direct(m, o, starts[m])
	}
}

// eligible tells whether a task of the job may start on the machine now.
func (d *dispatcher) eligible(j *job, m *machine, counts map[string]int) bool {
	s := &j.spec
	return (!m.spot || s.Spot) && m.zone != "" && allowed(s.Types, m.kind) &&
		j.zoneAllows(m.zone, counts) && s.Room.Fits(m.typ.Room.Minus(d.books.Machine(m.id)))
}

// choose picks a machine by the power of two choices among the best kind of
// eligible machines.
func (d *dispatcher) choose(j *job, ready []*machine, now time.Time) *machine {
	counts := j.zoneCounts()
	best, tier := []*machine(nil), 0
	for _, m := range ready {
		if !d.eligible(j, m, counts) {
			continue
		}
		t := d.tier(j, m, now)
		switch {
		case best == nil || t < tier:
			best, tier = append(best[:0], m), t
		case t == tier:
			best = append(best, m)
		}
	}
	if len(best) == 0 {
		return nil
	}
	pick := best[d.rand.IntN(len(best))]
	for i := 1; i < samples; i++ {
		if o := best[d.rand.IntN(len(best))]; d.fuller(o, pick, j) {
			pick = o
		}
	}
	return pick
}

// The tiers of machines, as weights of what speaks against one.
const (
	tierSmall           = 1 << iota // a task without accelerators where it keeps a machine busy that could be returned
	tierOrdinaryForSpot             // a job that may use spot on an ordinary machine
	tierImage                       // the image must be fetched
	tierStrands                     // leaves accelerators that nobody can use
	tierTrouble                     // tasks have failed here lately
)

func (d *dispatcher) tier(j *job, m *machine, now time.Time) int {
	t := 0
	if j.spec.Room.GPUs == 0 && m.typ.Room.GPUs == 0 {
		t |= tierSmall
	}
	if j.spec.Spot && !m.spot {
		t |= tierOrdinaryForSpot
	}
	if _, ok := m.images[j.spec.Image]; !ok {
		t |= tierImage
	}
	if d.strands(j, m) {
		t |= tierStrands
	}
	if m.failures > 0 || m.lapses > 0 {
		t |= tierTrouble
	}
	return t
}

// strands tells whether a task without accelerators would leave too little of
// the rest for the tasks that need the machine's free ones.
func (d *dispatcher) strands(j *job, m *machine) bool {
	if j.spec.Room.GPUs > 0 || m.typ.Room.GPUs == 0 {
		return false
	}
	free := m.typ.Room.Minus(d.books.Machine(m.id))
	need := d.perGPU()
	left := free.Minus(j.spec.Room)
	return left.CPUs < need.CPUs*free.GPUs || left.MemoryGB < need.MemoryGB*free.GPUs
}

// fuller prefers the machine with less room left, to pack.
func (d *dispatcher) fuller(a, b *machine, j *job) bool {
	return d.freeShare(a, j) < d.freeShare(b, j)
}

func (d *dispatcher) freeShare(m *machine, j *job) float64 {
	free := m.typ.Room.Minus(d.books.Machine(m.id))
	if j.spec.Room.GPUs > 0 && m.typ.Room.GPUs > 0 {
		return free.GPUs / m.typ.Room.GPUs
	}
	return free.CPUs / m.typ.Room.CPUs
}

// preempt makes room for a task by stopping work of lower priority on the
// machine where that costs least. The task is placed once that is gone.
func (d *dispatcher) preempt(j *job, ready []*machine, now time.Time) {
	if j.spec.Priority <= storage.BestEffort {
		return
	}
	counts := j.zoneCounts()
	var best []*attempt
	bestCost := 0.0
	for _, m := range ready {
		s := &j.spec
		if (m.spot && !s.Spot) || !allowed(s.Types, m.kind) || !j.zoneAllows(m.zone, counts) || !s.Room.Fits(m.typ.Room) {
			continue
		}
		victims, cost, ok := d.victims(j, m, now)
		if ok && (best == nil || cost < bestCost) {
			best, bestCost = victims, cost
		}
	}
	for _, v := range best {
		d.log.Debug("preempt", "job", v.job.spec.ID, "task", v.task, "machine", v.on.id, "for", j.spec.ID)
		d.stop(v, v.job.spec.SaveS)
	}
	if len(best) > 0 {
		d.stopSeen(best[0].on)
	}
}

// victims chooses tasks of lower priority on m whose end makes room for a task
// of j, the cheapest to lose first. Room that is being freed already counts:
// then there is nothing to stop.
func (d *dispatcher) victims(j *job, m *machine, now time.Time) ([]*attempt, float64, bool) {
	free := m.typ.Room.Minus(d.books.Machine(m.id))
	var lower []*attempt
	for _, a := range m.sortedAttempts() {
		switch {
		case a.stop:
			free = free.Plus(a.job.spec.Room)
		case a.job.spec.Priority < j.spec.Priority:
			lower = append(lower, a)
		}
	}
	if j.spec.Room.Fits(free) {
		return nil, 0, true
	}
	var out []*attempt
	cost := 0.0
	for len(lower) > 0 && !j.spec.Room.Fits(free) {
		k := 0
		for i := range lower {
			if lossOf(lower[i], now) < lossOf(lower[k], now) {
				k = i
			}
		}
		a := lower[k]
		lower = append(lower[:k], lower[k+1:]...)
		out = append(out, a)
		cost += lossOf(a, now)
		free = free.Plus(a.job.spec.Room)
	}
	return out, cost, j.spec.Room.Fits(free)
}

// lossOf is the work lost if an attempt is stopped, in machine seconds.
func lossOf(a *attempt, now time.Time) float64 {
	size := max(a.job.spec.Room.CPUs, 1) + 16*a.job.spec.Room.GPUs
	if !a.seen || a.state == Pulling {
		return size
	}
	ran := now.Sub(a.started).Seconds()
	if a.job.spec.CheckpointS > 0 {
		ran = min(ran, a.job.spec.SaveS)
	}
	return size * (1 + ran)
}

// failed weighs a task's failure between its job and its machine: a job that
// fails on several machines waits longer each time and leaves them alone; a
// machine on which several jobs fail is left alone for a while.
func (d *dispatcher) failed(j *job, m *machine, now time.Time) {
	const faulty = 2
	if j.failures >= mistaken {
		m.failures = max(0, m.failures-1)
		j.pauseTill = now.Add(scale(d.settings.Report, float64(int(1)<<min(j.failures-mistaken, 4))))
		d.log.Info("job fails on several machines", "job", j.spec.ID, "failures", j.failures)
	}
	if m.failures >= faulty {
		pause := scale(d.settings.Lease, float64(int(1)<<min(m.failures-faulty, 3)))
		m.pauseTill = now.Add(pause)
		d.log.Info("machine fails several jobs", "machine", m.id, "failures", m.failures, "pause", pause)
	}
}
