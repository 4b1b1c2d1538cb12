package scheduler

import (
	"time"

	"sagevale/internal/cluster"
	"sagevale/internal/storage"
	"sagevale/internal/worker"
)

const (
	// samples is the number of machines that a placement chooses between
	// (DESIGN: power of two choices).
	samples = 2
	// roundPause is how long placement rests after a round, in durations of
	// that round: what comes meanwhile widens the next.
	roundPause = 8
)

// round is one round of placement: the ready machines' room, and what has been
// learnt of it so far.
type round struct {
	now                time.Time
	candidates         []*candidate
	zones              []string
	exhausted          exhaustedShapes // shapes that found no free room
	unpreemptable      exhaustedShapes // shapes for which nothing can be stopped either
	reserved           []*cluster.Attempt
	gangHolds          bool                  // room is kept for a gang that found too little
	opportunisticShare int                   // how many tasks of one opportunistic job are placed
	headroomReserved   bool                  // the room that is kept for others is taken out of the candidates
	guaranteed         map[*cluster.Job]bool // the jobs within their team's guarantee; nil: not yet looked for
}

// placeRound reserves room for waiting tasks, the most urgent first, and starts
// them once the bookings are durable.
func (d *scheduler) placeRound(now time.Time) {
	d.placementDue = false
	if !d.leaseValid(now) || d.stalled(now) {
		return
	}
	waiting := d.waitingJobs(now)
	if len(waiting) == 0 {
		return
	}
	d.byUrgency(waiting, now)
	d.updatePerGPU(now)
	r := &round{now: now, candidates: d.readyCandidates(now), exhausted: make(exhaustedShapes), unpreemptable: make(exhaustedShapes)}
	r.zones = zonesOf(r.candidates)
	r.opportunisticShare = opportunisticShare(d.opportunisticWaiting(waiting))
	for _, j := range waiting {
		if len(r.reserved) >= maxPlacementsPerRound {
			d.placementDue = true // the rest in the next round
			break
		}
		switch {
		case j.Spec.Gang:
			d.placeGang(j, r)
		case d.settings.IsOpportunistic(&j.Spec):
			d.placeOpportunistic(j, r)
		default:
			d.placeJob(j, r)
		}
	}
	d.startWhenDurable(r.reserved)
}

// placeOpportunistic places a job's share of what is idle.
func (d *scheduler) placeOpportunistic(j *cluster.Job, r *round) {
	if !r.headroomReserved {
		r.headroomReserved = true
		d.reserveHeadroom(r)
	}
	before := len(r.reserved)
	d.placeTasks(j, min(r.opportunisticShare, j.Startable()), r)
	if j.Waiting > 0 && len(r.reserved)-before == r.opportunisticShare {
		d.placementDue = true // there may be more room
	}
}

// waitingJobs lists the open jobs with tasks to place.
func (d *scheduler) waitingJobs(now time.Time) []*cluster.Job {
	var waiting []*cluster.Job
	for _, j := range d.state.Jobs.Open {
		if j.Phase == storage.Open && j.Waiting > 0 && !now.Before(j.RetryAfter) && j.MayPlace(now) {
			waiting = append(waiting, j)
		}
	}
	return waiting
}

// placeJob places what it can of a job's tasks, or makes room for them.
func (d *scheduler) placeJob(j *cluster.Job, r *round) { d.placeTasks(j, j.Startable(), r) }

// placeTasks places up to so many of a job's tasks, or makes room for them.
func (d *scheduler) placeTasks(j *cluster.Job, tasks int, r *round) {
	zones := newZoneCheck(j)
	best := shortlist{job: j, round: r, zones: &zones}
	for n := tasks; n > 0 && len(r.reserved) < maxPlacementsPerRound; n-- {
		task, ok := j.NextWaiting()
		if !ok || !d.withinLimit(j) {
			return
		}
		if s := d.choose(&best); s != nil {
			r.reserved = append(r.reserved, d.reserveOn(j, task, s, r.now))
			zones.add(s.Zone, 1)
			d.noteReserved(&best, s)
			continue
		}
		zone, ok := d.preempt(j, r, &zones)
		if !ok {
			return
		}
		zones.add(zone, 1) // claimed there
	}
}

func (d *scheduler) withinLimit(j *cluster.Job) bool {
	team := d.settings.Team(j.Spec.Team)
	return team != nil && storage.WithinLimit(d.state.Reservations.Team(j.Spec.Team).Add(j.Spec.Resources), team.Limit)
}

// reserveOn enters an attempt and takes its room from the candidate.
func (d *scheduler) reserveOn(j *cluster.Job, task int, s *candidate, now time.Time) *cluster.Attempt {
	s.free = s.free.Sub(j.Spec.Resources)
	return d.reserve(j, task, s.machine, now)
}

// reserve enters an attempt; it may start once its page is durable.
func (d *scheduler) reserve(j *cluster.Job, task int, m *cluster.Machine, now time.Time) *cluster.Attempt {
	d.lastAttempt++
	a := &cluster.Attempt{Job: j, Task: task, Number: d.lastAttempt, Machine: m, Incarnation: m.Incarnation, ThisTerm: true, ReservedAt: now}
	d.addAttempt(a)
	d.markPage(j, task)
	return a
}

// startReserved sends the durable attempts to their workers.
func (d *scheduler) startReserved(booked []*cluster.Attempt) {
	now := time.Now()
	if !d.leaseValid(now) {
		for _, a := range booked {
			a.Durable = true
		}
		return
	}
	orders := make(map[*cluster.Machine][]worker.Command)
	starts := make(map[*cluster.Machine][]*cluster.Attempt)
	for _, a := range booked {
		if a.Job.Attempts[a.Task] != a {
			continue
		}
		a.Durable = true
		m := a.Machine
		// Its cancel may be on its way to being durable, and the order would
		// come after a user was told.
		if a.Job.Phase != storage.Open || a.Stopping || m.Terminating || a.Incarnation != m.Incarnation || a.MaybeDelivered() {
			continue
		}
		if !d.mayStartDirectly(m, a.Job) {
			continue // with the answer to a report
		}
		orders[m] = append(orders[m], worker.Command{Verb: worker.Start, ID: a.ID(), Attempt: a.Number})
		starts[m] = append(starts[m], a)
	}
	for m, o := range orders {
		d.sendCommands(m, o, starts[m])
	}
}

// admits tells whether the kind of machine and its zone suit a task of the job.
func (s *candidate) admits(j *cluster.Job, zones *zoneCheck) bool {
	return (!s.Spot || j.Spec.Spot) && s.Zone != "" && cluster.Allows(j.Spec.Types, s.Type) && zones.allows(s.Zone)
}

// sample returns the better of two random candidates: the fuller, to pack.
func (d *scheduler) sample(j *cluster.Job, candidates []*candidate) *candidate {
	pick := candidates[d.rand.IntN(len(candidates))]
	for i := 1; i < samples; i++ {
		if o := candidates[d.rand.IntN(len(candidates))]; o.freeShare(j) < pick.freeShare(j) {
			pick = o
		}
	}
	return pick
}

// The tiers of machines, as weights of what speaks against one.
const (
	tierCPUOnly         = 1 << iota // a task without accelerators where it keeps a machine busy that could be returned
	tierOnDemandForSpot             // a job that may use spot on an ordinary machine
	tierImageMissing                // the image must be fetched
	tierStrandsGPUs                 // leaves accelerators that nobody can use
	tierSuspected                   // tasks have failed here lately
)

func (d *scheduler) tier(j *cluster.Job, s *candidate) int {
	t := 0
	if j.Spec.Resources.GPUs == 0 && s.machineType.Resources.GPUs == 0 {
		t |= tierCPUOnly
	}
	if j.Spec.Spot && !s.Spot {
		t |= tierOnDemandForSpot
	}
	if _, ok := s.machine.Images[j.Spec.Image]; !ok {
		t |= tierImageMissing
	}
	if d.strandsGPUs(j, s) {
		t |= tierStrandsGPUs
	}
	if s.machine.Failures.Suspected() || s.machine.LostIncarnations > 0 {
		t |= tierSuspected
	}
	return t
}

// strandsGPUs tells whether a task without accelerators would leave too little of
// the rest for the tasks that need the machine's free ones.
func (d *scheduler) strandsGPUs(j *cluster.Job, s *candidate) bool {
	if j.Spec.Resources.GPUs > 0 || s.machineType.Resources.GPUs == 0 {
		return false
	}
	need := d.perGPU
	left := s.free.Sub(j.Spec.Resources)
	return left.CPUs < need.CPUs*s.free.GPUs || left.MemoryGB < need.MemoryGB*s.free.GPUs
}

// freeShare is how much of what matters to the job is free.
func (s *candidate) freeShare(j *cluster.Job) float64 {
	if j.Spec.Resources.GPUs > 0 && s.machineType.Resources.GPUs > 0 {
		return s.free.GPUs / s.machineType.Resources.GPUs
	}
	return s.free.CPUs / s.machineType.Resources.CPUs
}
