package coordination

import (
	"maps"
	"slices"
	"time"

	"sagevale/internal/storage"
)

// A gang's tasks run at the same time or not at all. The workers find each other
// by the number of the attempt, so all tasks of one attempt share it. All hold
// booked room, durably, before any is started. Until they run, a task that is lost
// is replaced under the same number; from then on a loss ends the attempt, and the
// next one begins once every task of it is proved gone.

// gang is what is known of a gang's present attempt.
type gang struct {
	try  uint64       // its number; 0: there is none
	ran  bool         // its tasks have run
	over bool         // it can't be completed any more
	left map[int]bool // machines on which a task of it has ended: there it can't start again
}

// gatherShare of gang_wait_s is how long the others wait for a task before it is
// looked for elsewhere; it then has as long again, and more, to come.
const gatherShare = 0.4

// whole tells whether the present attempt may still be completed by what has
// waited to run: nothing of it has run, and nothing may have that isn't known.
func (j *job) whole() bool {
	if j.gang.over || j.gang.ran {
		return false
	}
	for _, a := range j.attempts {
		if a.stop || a.try != j.gang.try || !a.seen && !a.ownTerm || a.seen && a.state != Pulling && a.state != Gathering {
			return false
		}
	}
	return true
}

// noteGang takes in that an attempt was booked.
func (j *job) noteGang(a *attempt) {
	if j.gang.try != 0 && j.gang.try != a.try {
		j.gang.over = true // a record of two attempts: a leader ended between its commits
	}
	j.gang.try = max(j.gang.try, a.try)
}

// lost takes in that a task of a gang is gone, and why; what is left of an attempt
// that ran is stopped at once, for its progress since the last save is lost.
func (d *dispatcher) lost(a *attempt) {
	j := a.job
	if len(j.attempts) == 0 {
		j.gang = gang{}
		return
	}
	if a.seen && a.state == Ended {
		if j.gang.left == nil {
			j.gang.left = make(map[int]bool)
		}
		j.gang.left[a.on.id] = true
	}
	if j.gang.ran {
		j.gang.over = true
	}
	if j.gang.over && j.waiting > 0 {
		d.disband(j)
	}
}

// disband ends what is left of a gang's attempt.
func (d *dispatcher) disband(j *job) {
	for _, a := range j.gangAttempts() {
		if j.attempts[a.task] == a && (!a.stop || a.graceS > 0) {
			a.stopSent = false
			d.stop(a, 0)
		}
	}
	d.stopSeenOf(j)
}

// stopGang stops all tasks of a gang so that it saves its progress: all are told
// within gang_peer_s of the first, directly, and again with their reports.
func (d *dispatcher) stopGang(j *job) {
	for _, a := range j.gangAttempts() {
		if j.attempts[a.task] == a && !a.stop {
			d.stop(a, j.spec.SaveS)
		}
	}
	d.stopSeenOf(j)
}

// stopSeenOf tells the workers of a job's tasks directly what to stop.
func (d *dispatcher) stopSeenOf(j *job) {
	told := make(map[*machine]bool)
	for _, a := range j.gangAttempts() {
		if !told[a.on] {
			told[a.on] = true
			d.stopSeen(a.on)
		}
	}
}

// gangAttempts lists a job's attempts in the order of their tasks.
func (j *job) gangAttempts() []*attempt {
	return slices.SortedFunc(maps.Values(j.attempts), func(a, b *attempt) int { return a.task - b.task })
}

// gangDone makes all tasks of a gang done, for one of them is: they complete
// together.
func (d *dispatcher) gangDone(j *job) {
	for i := range j.tasks {
		j.setTask(i, taskDone)
		if i%storage.PageTasks == 0 {
			d.markPage(j, i)
		}
	}
}

// drainGang sees to a gang's task on a machine that is drained. It may finish,
// unless the machine is being taken: then it is replaced while its gang waits to
// run, and saves where there is time for that. Otherwise it goes on: another save
// point may be reached.
func (d *dispatcher) drainGang(a *attempt, now time.Time) {
	j, m := a.job, a.on
	if m.noticeAt.IsZero() {
		return
	}
	if !j.gang.ran {
		d.stop(a, 0)
		return
	}
	if j.spec.CheckpointS <= 0 {
		return
	}
	left := m.noticeAt.Sub(now)
	ends := seconds(d.runTime(j)) - now.Sub(a.started)
	if ends > left && seconds(j.spec.SaveS)+d.settings.Report/2 < left && d.gangReachable(j, now) {
		d.stopGang(j)
	}
}

// gangReachable tells whether all of a gang's tasks can be told to stop within
// gang_peer_s of each other, as far as is known. Where one can't, the others exit
// without it and the save fails.
func (d *dispatcher) gangReachable(j *job, now time.Time) bool {
	for _, a := range j.attempts {
		if !d.reachable(a.on, now) {
			return false
		}
	}
	return true
}

// reachableReports is how old a machine's last word may be, in report intervals,
// for a direct order to count on reaching it.
const reachableReports = 1.5

// reachable tells whether a direct order is likely to reach a machine at once.
func (d *dispatcher) reachable(m *machine, now time.Time) bool {
	return m.addr != "" && m.inFlight < directMost && !m.unresponsive && !d.unreached[m.id] &&
		now.Sub(m.lastHeard) <= scale(d.settings.Report, reachableReports)
}

// tendGangs looks for tasks that keep the others of their gang waiting, on
// machines that hang or fetch for too long, and has them start elsewhere.
func (d *dispatcher) tendGangs(now time.Time) {
	patience := scale(d.settings.GangWait, gatherShare)
	for _, j := range d.open {
		if !j.spec.Gang || j.phase != storage.Open || patience <= 0 || !j.whole() || j.gatherTime(now) < patience {
			continue
		}
		for _, a := range j.gangAttempts() {
			if j.attempts[a.task] == a && a.state != Gathering && now.Sub(a.booked) > patience {
				d.log.Info("a gang's task doesn't come", "job", j.spec.ID, "task", a.task, "machine", a.on.id)
				d.stop(a, 0)
			}
		}
		d.orderStops(j)
	}
}

// gatherTime is for how long the first of a gang's tasks has waited for the others.
func (j *job) gatherTime(now time.Time) time.Duration {
	var longest time.Duration
	for _, a := range j.attempts {
		if a.seen && a.state == Gathering && !a.gatheringSince.IsZero() {
			longest = max(longest, now.Sub(a.gatheringSince))
		}
	}
	return longest
}

// placeGang books room for all waiting tasks of a gang in one decision, or for
// none: they are all of its tasks, or what is to be replaced of an attempt that
// hasn't run.
func (d *dispatcher) placeGang(j *job, r *round) {
	if len(j.attempts) > 0 && !j.whole() {
		if j.gang.over {
			d.disband(j)
		}
		return // the earlier attempt isn't over everywhere
	}
	if !d.gangWithinLimit(j) {
		return
	}
	plan := d.planGang(j, r)
	if plan == nil {
		if !d.preemptGang(j, r) {
			d.holdForGang(j, r)
		}
		return
	}
	if len(j.attempts) == 0 {
		d.nextTry++
		j.gang = gang{try: d.nextTry}
	}
	try := j.gang.try
	for _, s := range plan {
		task, ok := j.nextWaiting()
		if !ok {
			return
		}
		d.nextTry++
		a := &attempt{job: j, task: task, try: try, on: s.on, session: s.on.session, ownTerm: true, booked: r.now}
		d.enter(a)
		d.markPage(j, task)
		r.booked = append(r.booked, a)
	}
}

// gangWithinLimit tells whether the team may hold all that waits of a gang.
func (d *dispatcher) gangWithinLimit(j *job) bool {
	team := d.settings.team(j.spec.Team)
	return team != nil && storage.Within(d.reservations.Team(j.spec.Team).Plus(j.spec.Room.Times(j.waiting)), team.Limit)
}

// planGang finds a slot for each waiting task of a gang and takes the room there,
// or takes none. Among several zones that would do it takes the one where the
// tasks start soonest.
func (d *dispatcher) planGang(j *job, r *round) []*candidate {
	var best []*candidate
	bestTiers := 0
	for _, group := range d.gangCandidates(j, r) {
		plan, tiers := d.planIn(j, group)
		if plan != nil && (best == nil || tiers < bestTiers) {
			best, bestTiers = plan, tiers
		}
	}
	for _, s := range best {
		s.free = s.free.Minus(j.spec.Room)
	}
	return best
}

// gangSlots lists the slots that a gang may use, by zone if all its tasks must be
// in one.
func (d *dispatcher) gangCandidates(j *job, r *round) [][]*candidate {
	zones := newZoneCheck(j)
	var groups [][]*candidate
	for _, zone := range r.zones {
		var group []*candidate
		for _, s := range r.candidates {
			if s.zone == zone && s.admits(j, &zones) && !j.gang.left[s.on.id] {
				group = append(group, s)
			}
		}
		switch {
		case len(group) == 0:
		case j.spec.SameZone || len(groups) == 0:
			groups = append(groups, group)
		default:
			groups[0] = append(groups[0], group...)
		}
	}
	return groups
}

// planIn finds slots for all waiting tasks among some, each the better of two
// samples of the best tier, without taking the room for good.
func (d *dispatcher) planIn(j *job, group []*candidate) (plan []*candidate, tiers int) {
	room := 0
	for _, s := range group {
		if j.spec.Room.Fits(s.free) {
			room += fitCount(s.free, j.spec.Room)
		}
	}
	if room < j.waiting {
		return nil, 0
	}
	zones := newZoneCheck(j)
	defer func() {
		for _, s := range plan {
			s.free = s.free.Plus(j.spec.Room)
		}
		if len(plan) < j.waiting {
			plan = nil
		}
	}()
	for range j.waiting {
		var best []*candidate
		tier := 0
		for _, s := range group {
			if !j.spec.Room.Fits(s.free) || !zones.allows(s.zone) {
				continue
			}
			if t := d.tier(j, s); best == nil || t < tier {
				best, tier = append(best[:0], s), t
			} else if t == tier {
				best = append(best, s)
			}
		}
		if len(best) == 0 {
			return plan, tiers
		}
		pick := d.sample(j, best)
		pick.free = pick.free.Minus(j.spec.Room)
		zones.add(pick.zone, 1)
		plan, tiers = append(plan, pick), tiers+tier
	}
	return plan, tiers
}

// holdForGang keeps what room there is for a gang that finds too little, from work
// that is less urgent; only for one gang in a round, so that two never hold parts of
// the room that each lacks.
func (d *dispatcher) holdForGang(j *job, r *round) {
	if r.held || r.now.Sub(j.submitted) < d.settings.Report {
		return
	}
	var best []*candidate
	most := 0
	for _, group := range d.gangCandidates(j, r) {
		n := 0
		for _, s := range group {
			n += s.tasksOf(j)
		}
		if n > most {
			best, most = group, n
		}
	}
	r.held = most > 0
	left := j.waiting
	for _, s := range best {
		n := min(left, s.tasksOf(j))
		s.claim(j.spec.Room.Times(n))
		left -= n
	}
}

// tasksOf is how many tasks of a job fit into what is free in the slot and what is
// being freed.
func (s *candidate) tasksOf(j *job) int {
	if free := s.free.Plus(s.freeing); j.spec.Room.Fits(free) {
		return fitCount(free, j.spec.Room)
	}
	return 0
}

// claimed is a slot that a gang may take once some of its tasks are stopped.
type claimed struct {
	s       *candidate
	tasks   int
	victims []*attempt
	cost    float64
}

// preemptGang makes room for all waiting tasks of a gang by stopping work of lower
// priority, the least worth for its room first, or stops nothing.
func (d *dispatcher) preemptGang(j *job, r *round) bool {
	if j.spec.Priority <= storage.BestEffort || j.spec.Spread {
		return false
	}
	var best []claimed
	bestCost := 0.0
	for _, group := range d.gangCandidates(j, r) {
		if plan, cost := d.gangClaims(j, group, r.now); plan != nil && (best == nil || cost < bestCost) {
			best, bestCost = plan, cost
		}
	}
	for _, c := range best {
		for _, v := range c.victims {
			d.log.Debug("preempt", "job", v.job.spec.ID, "task", v.task, "machine", v.on.id, "for", j.spec.ID)
			c.s.freeing = c.s.freeing.Plus(v.job.spec.Room)
			d.preemptOne(v, r.now)
		}
		c.s.claim(j.spec.Room.Times(c.tasks))
		d.stopSeen(c.s.on)
	}
	return best != nil
}

// gangClaims finds slots for all waiting tasks of a gang, with what must be stopped
// there.
func (d *dispatcher) gangClaims(j *job, group []*candidate, now time.Time) (plan []claimed, cost float64) {
	var all []claimed
	room := 0
	for _, s := range group {
		most := s.free.Plus(s.freeing)
		for _, live := range s.on.live[:j.spec.Priority] {
			most = most.Plus(live)
		}
		if !j.spec.Room.Fits(most) {
			continue
		}
		c := claimed{s: s, tasks: min(j.waiting, fitCount(most, j.spec.Room))}
		if victims, cost, ok := d.victims(s, j.spec.Room.Times(c.tasks), j.spec.Priority, now); ok {
			c.victims, c.cost = victims, cost
			all = append(all, c)
			room += c.tasks
		}
	}
	if room < j.waiting {
		return nil, 0
	}
	slices.SortStableFunc(all, func(a, b claimed) int {
		switch x, y := a.cost/float64(a.tasks), b.cost/float64(b.tasks); {
		case x < y:
			return -1
		case x > y:
			return 1
		}
		return 0
	})
	for left := j.waiting; left > 0; {
		c := all[0]
		all = all[1:]
		if c.tasks > left {
			c.tasks = left
			c.victims, c.cost, _ = d.victims(c.s, j.spec.Room.Times(left), j.spec.Priority, now)
		}
		plan, left, cost = append(plan, c), left-c.tasks, cost+c.cost
	}
	return plan, cost
}

// preemptOne stops a task for a more urgent one; with a gang's, the gang: in order,
// or at once where its progress can't be saved all the same.
func (d *dispatcher) preemptOne(v *attempt, now time.Time) {
	switch {
	case !v.job.spec.Gang || !v.job.gang.ran:
		d.stop(v, v.job.spec.SaveS)
	case d.gangReachable(v.job, now):
		d.stopGang(v.job)
	default:
		d.disband(v.job)
	}
}

// gangZone is where most tasks of a gang fit that must all be in one zone.
func gangZone(candidates []*candidate, dm *demand) string {
	room := make(map[string]int)
	best := ""
	for _, s := range candidates {
		if !dm.job.spec.Room.Fits(s.free) || !s.admits(dm.job, &dm.zones) {
			continue
		}
		room[s.zone] += fitCount(s.free, dm.job.spec.Room)
		if best == "" || room[s.zone] > room[best] || room[s.zone] == room[best] && s.zone < best {
			best = s.zone
		}
	}
	return best
}
