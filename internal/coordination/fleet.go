package coordination

import (
	"math"
	"sort"
	"time"

	"sagevale/internal/storage"
)

// offer is a kind of machine that the cloud may rent.
type offer struct {
	kind string
	zone string
	spot bool
}

// fleetView is what the capacity actor needs to know, once a second.
type fleetView struct {
	wants    []offer // machines that would cover the pressure, in order
	healthy  bool    // every machine's reports are fresh and nothing is unproved
	spare    int     // a machine that could be returned; 0: none
	emptied  []int   // drained machines without tasks, to be returned
	lost     []int   // failed, silent or never-up machines, to be returned
	draining bool    // a drain is still open
	size     int     // machines that are or may be ours
	settled  bool    // a cloud list has been seen in this term
}

// class keeps what arrivals and run times of a class of jobs look like.
type class struct {
	last     *job
	arrivals []arrival
	runS     float64 // mean run time of its tasks, as seen
}

type arrival struct {
	at    time.Time
	tasks int
}

const (
	// rateLeases is the window of the arrival rate, in worker leases.
	rateLeases = 8.0
	// bootPatience: a machine that is not up after this many times its boot
	// time no longer counts as coming; some take several times as long, some
	// never come. After deadPatience times it is returned: another comes sooner.
	bootPatience = 1.6
	deadPatience = 2.0
	// hedgeShare of the waiting services that a booting machine is to take is
	// rented for once more: some machines come late, some never.
	hedgeShare = 0.5
	// runWeight is the weight of the latest run time in a class's mean.
	runWeight = 0.05
)

// arrival notes a job of its class. What comes within a lease of the first job
// ever is the fleet's start, not a rate.
func (d *dispatcher) arrival(j *job) {
	c := d.classes[j.spec.Class]
	if c == nil {
		c = &class{}
		d.classes[j.spec.Class] = c
	}
	if d.firstJob.IsZero() || j.submitted.Before(d.firstJob) {
		d.firstJob = j.submitted
	}
	c.last = j
	if len(c.arrivals) >= arrivalsKept {
		c.arrivals = c.arrivals[1:]
	}
	c.arrivals = append(c.arrivals, arrival{j.submitted, j.spec.Tasks})
}

// arrivalsKept bounds what is kept of a class's arrivals.
const arrivalsKept = 512

// ran takes a finished task's run time into its class's mean.
func (d *dispatcher) ran(a *attempt, now time.Time) {
	c := d.classes[a.job.spec.Class]
	if c == nil || a.started.IsZero() {
		return
	}
	run := now.Sub(a.started).Seconds()
	if c.runS == 0 {
		c.runS = run
	}
	c.runS += runWeight * (run - c.runS)
}

// runTime is how long a task of the job runs, by what was seen of its class.
func (d *dispatcher) runTime(j *job) float64 {
	if c := d.classes[j.spec.Class]; c != nil && c.runS > 0 {
		return c.runS
	}
	return j.spec.EstimateS
}

// reserve is how many tasks of the class to keep room for. Of services, those
// expected to come while a machine boots, and some for luck. Of other work of
// some priority that may use spot machines, what its usual number of running
// tasks, and some for luck, exceeds the present one by.
func (d *dispatcher) reserve(c *class, now time.Time) int {
	s := &c.last.spec
	batch := !s.Service
	if s.Priority < storage.High && !(batch && s.Spot && s.Priority >= storage.Normal) {
		return 0
	}
	tasks, squares, window := d.rate(c, now)
	if window == 0 || d.present(s.Class) == 0 {
		return 0 // no rate yet, or a class that has ceased
	}
	luck := d.settings.Tuning.Reserve
	if batch {
		run := d.runTime(c.last) / window
		usual := tasks*run + luck*math.Sqrt(squares*run)
		return max(0, int(usual)-d.present(s.Class))
	}
	boot := d.leastBoot(s) / window
	return int(math.Ceil(tasks*boot + luck*math.Sqrt(squares*boot) - 0.5))
}

// rate counts a class's tasks, and the sum of their jobs' squares, that came
// within a window of so many seconds. The window is 0 until there is one.
func (d *dispatcher) rate(c *class, now time.Time) (tasks, squares, window float64) {
	since := now.Add(-scale(d.settings.Lease, rateLeases))
	if start := d.firstJob.Add(d.settings.Lease); start.After(since) {
		since = start
	}
	if now.Sub(since) < d.settings.Lease {
		return 0, 0, 0
	}
	for _, a := range c.arrivals {
		if a.at.After(since) {
			tasks += float64(a.tasks)
			squares += float64(a.tasks * a.tasks)
		}
	}
	return tasks, squares, now.Sub(since).Seconds()
}

// onFullest counts by class the services on the machine whose loss would cost
// the most room: there should be room for them elsewhere.
func (d *dispatcher) onFullest() map[string]int {
	var fullest *machine
	most := 0.0
	for _, m := range d.sortedMachines() {
		if m.typ == nil || !m.heard {
			continue
		}
		room := storage.Room{}
		for _, a := range m.attempts {
			if a.job.spec.Service {
				room = room.Plus(a.job.spec.Room)
			}
		}
		if room.GPUs > most {
			fullest, most = m, room.GPUs
		}
	}
	out := make(map[string]int)
	if fullest != nil {
		for _, a := range fullest.attempts {
			if a.job.spec.Service && a.job.spec.Room.GPUs > 0 {
				out[a.job.spec.Class]++
			}
		}
	}
	return out
}

// present counts a class's booked and waiting tasks.
func (d *dispatcher) present(class string) int {
	n := 0
	for _, j := range d.open {
		if j.spec.Class == class && j.phase == storage.Open {
			n += len(j.attempts) + j.waiting
		}
	}
	return n
}

// leastBoot is the least boot time of the types that hold a task.
func (d *dispatcher) leastBoot(s *storage.Spec) float64 {
	boot := 0.0
	for _, name := range d.fitting(s) {
		if b := d.types[name].BootS; boot == 0 || b < boot {
			boot = b
		}
	}
	return boot
}

// perGPU is the most CPUs and memory that open jobs take with an accelerator.
func (d *dispatcher) perGPU() storage.Room {
	if d.gpuNeedAt.IsZero() || time.Since(d.gpuNeedAt) > d.settings.Report {
		d.gpuNeedAt = time.Now()
		var need storage.Room
		for _, j := range d.open {
			if g := j.spec.Room.GPUs; g > 0 {
				need.CPUs = max(need.CPUs, j.spec.Room.CPUs/g)
				need.MemoryGB = max(need.MemoryGB, j.spec.Room.MemoryGB/g)
			}
		}
		d.gpuNeed = need
	}
	return d.gpuNeed
}

// slot is a machine's free room in a trial packing.
type slot struct {
	offer
	typ     *storage.MachineType
	free    storage.Room
	booting bool
	images  map[string]image // cached ones; nil where they don't matter
	on      *machine         // nil: not yet rented
}

// fleetView reckons the pressure: the waiting tasks' requested room minus the
// free room on ready and booting machines, by a trial packing.
func (d *dispatcher) fleetView(now time.Time) fleetView {
	v := fleetView{healthy: true, settled: d.listed}
	var slots []*slot
	for _, m := range d.sortedMachines() {
		silent := now.Sub(m.lastBeat) > d.settings.fresh()
		switch {
		case m.returning:
			v.lost = append(v.lost, m.id)
			continue
		case m.failed:
			v.lost = append(v.lost, m.id)
			continue
		case !m.heard && len(m.attempts) == 0 && m.bootOverdue(now, deadPatience):
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
		if m.typ == nil || m.troubled(now) || (!m.heard && m.bootOverdue(now, bootPatience)) {
			continue
		}
		slots = append(slots, &slot{offer: offer{m.kind, m.zone, m.spot}, typ: m.typ, free: m.typ.Room.Minus(d.books.Machine(m.id)), booting: !m.heard})
	}
	if d.certain(now) {
		v.wants = d.shortage(slots, now)
		if len(v.wants) == 0 && v.healthy && !v.draining && now.Sub(d.lastSpare) >= d.settings.Report/2 {
			d.lastSpare = now
			d.spareNow = d.spare(now)
		}
		if len(v.wants) == 0 {
			v.spare = d.spareNow
		}
	}
	return v
}

func (m *machine) bootOverdue(now time.Time, times float64) bool {
	return m.typ != nil && now.Sub(m.born) > seconds(m.typ.BootS*times+5)
}

// demand is a group of alike tasks in a trial packing.
type demand struct {
	job    *job
	counts map[string]int
	n      int
	kept   bool    // room to keep, not a task
	runS   float64 // run time of a task of other work than services
}

// demands lists the waiting tasks, most urgent first, then the room to keep.
func (d *dispatcher) demands(now time.Time) []*demand {
	var waiting []*job
	for _, j := range d.open {
		if j.phase == storage.Open && j.waiting > 0 && !now.Before(j.pauseTill) {
			waiting = append(waiting, j)
		}
	}
	d.byUrgency(waiting, now)
	var out []*demand
	teams := make(map[string]storage.Room)
	for _, j := range waiting {
		team := d.settings.team(j.spec.Team)
		if team == nil {
			continue
		}
		n := 0
		for ; n < j.tries(); n++ {
			used := d.books.Team(j.spec.Team).Plus(teams[j.spec.Team]).Plus(j.spec.Room)
			if !storage.Within(used, team.Limit) {
				break
			}
			teams[j.spec.Team] = teams[j.spec.Team].Plus(j.spec.Room)
		}
		if n > 0 {
			dm := &demand{job: j, counts: j.zoneCounts(), n: n}
			if !j.spec.Service {
				dm.runS = d.runTime(j)
			}
			out = append(out, dm)
		}
	}
	names := make([]string, 0, len(d.classes))
	for n := range d.classes {
		names = append(names, n)
	}
	sort.Strings(names)
	fullest := d.onFullest()
	for _, n := range names {
		c := d.classes[n]
		if k := max(d.reserve(c, now), fullest[n]); k > 0 {
			out = append(out, &demand{job: modelOf(c.last), counts: map[string]int{}, n: k, kept: true})
		}
	}
	return out
}

// modelOf returns a job like j whose tasks may be in any of its zones.
func modelOf(j *job) *job {
	model := &job{spec: j.spec}
	model.spec.Spread, model.spec.SameZone = false, false
	return model
}

// shortage packs the demands into the slots and returns the offers that would
// hold what is left, cheapest for its share first. Work that ends needs no
// machine of its own when the places that it has will take it before a new
// machine were up.
func (d *dispatcher) shortage(slots []*slot, now time.Time) []offer {
	var wants []offer
	places := d.batchPlaces()
	usual := d.usualBatch(now)
	hedges := make(map[string]float64)
	demands := d.demands(now)
	for i := 0; i < len(demands); i++ {
		dm := demands[i]
		coming := 0
		for dm.n > 0 {
			if s := d.bestSlot(dm, slots); s != nil {
				s.free = s.free.Minus(dm.job.spec.Room)
				dm.counts[s.zone]++
				dm.n--
				if dm.runS > 0 {
					places++
				}
				if s.booting {
					coming++
				}
				continue
			}
			if dm.runS > 0 && places > 0 {
				// What usually comes takes its places before the backlog does.
				left := max(float64(places)-usual, leastLeft*float64(places))
				if float64(d.backlog(dm))*dm.runS/left < d.leastBoot(&dm.job.spec) {
					break
				}
			}
			o, ok := d.bestOffer(dm, now)
			if !ok || len(wants) >= d.settings.Tuning.GrowStep {
				break
			}
			wants = append(wants, o)
			typ := d.types[o.kind]
			slots = append(slots, &slot{offer: o, typ: typ, free: typ.Room, booting: true})
		}
		if dm.runS > 0 {
			d.behind += dm.n
		}
		if dm.job.spec.Service && !dm.kept {
			hedges[dm.job.spec.Class] += hedgeShare * float64(coming)
			if extra := int(hedges[dm.job.spec.Class]); extra > 0 {
				hedges[dm.job.spec.Class] -= float64(extra)
				demands = append(demands, &demand{job: modelOf(dm.job), counts: map[string]int{}, n: extra, kept: true})
			}
		}
	}
	d.behind = 0
	return wants
}

// leastLeft is the share of its places that a backlog gets at the least.
const leastLeft = 0.2

// usualBatch is how many places ending work usually takes.
func (d *dispatcher) usualBatch(now time.Time) float64 {
	n := 0.0
	for _, c := range d.classes {
		if !c.last.spec.Service {
			if tasks, _, window := d.rate(c, now); window > 0 {
				n += tasks / window * d.runTime(c.last)
			}
		}
	}
	return n
}

// backlog is how many tasks of ending work would wait up to this demand.
func (d *dispatcher) backlog(dm *demand) int { return d.behind + dm.n }

// batchPlaces counts the places that ending work holds now.
func (d *dispatcher) batchPlaces() int {
	n := 0
	for _, j := range d.open {
		if !j.spec.Service {
			n += len(j.attempts)
		}
	}
	return n
}

// bestSlot finds the fullest slot that takes one more task of the demand.
func (d *dispatcher) bestSlot(dm *demand, slots []*slot) *slot {
	s := &dm.job.spec
	var best *slot
	bestFree := 0.0
	for _, sl := range slots {
		if (sl.spot && !s.Spot) || !allowed(s.Types, sl.kind) || !s.Room.Fits(sl.free) || !dm.job.zoneAllows(sl.zone, dm.counts) {
			continue
		}
		if _, ok := sl.images[s.Image]; sl.images != nil && !dm.kept && s.Service && !ok {
			continue // a replica isn't moved to where it would wait for its image
		}
		if s.Room.GPUs == 0 && sl.typ.Room.GPUs > 0 {
			if sl.booting && s.Service {
				continue // smaller machines come sooner and cost little
			}
			need, left := d.perGPU(), sl.free.Minus(s.Room)
			if left.CPUs < need.CPUs*sl.free.GPUs || left.MemoryGB < need.MemoryGB*sl.free.GPUs {
				continue
			}
		}
		f := sl.free.CPUs/sl.typ.Room.CPUs + 2*sl.free.GPUs
		if s.Spot && !sl.spot {
			f += 100
		}
		if best == nil || f < bestFree {
			best, bestFree = sl, f
		}
	}
	return best
}

// bestOffer finds the machine that holds what is left of a demand at the least
// price a task, among those that the cloud hasn't refused lately.
func (d *dispatcher) bestOffer(dm *demand, now time.Time) (offer, bool) {
	s := &dm.job.spec
	var best offer
	bestCost := math.Inf(1)
	for _, name := range d.fitting(s) {
		t := d.types[name]
		fit := fitCount(t.Room, s.Room)
		for _, zone := range t.Zones {
			if !dm.job.zoneAllows(zone, dm.counts) {
				continue
			}
			for _, spot := range []bool{true, false} {
				if spot && (!s.Spot || t.SpotPrice <= 0) || !spot && dm.kept && s.Spot {
					continue
				}
				o := offer{name, zone, spot}
				if at, ok := d.refused[o]; ok && now.Sub(at) < d.settings.Lease {
					continue
				}
				price := t.Price
				if spot {
					price = t.SpotPrice
				}
				cost := price / float64(min(fit, dm.n))
				cost *= 1 + 0.02*float64(d.countOf(zone))/float64(1+len(d.machines))
				if cost < bestCost {
					best, bestCost = o, cost
				}
			}
		}
	}
	return best, !math.IsInf(bestCost, 1)
}

// countOf is how many machines are in a zone; ties go to the emptier one.
func (d *dispatcher) countOf(zone string) int {
	n := 0
	for _, m := range d.machines {
		if m.zone == zone {
			n++
		}
	}
	return n
}

// fitCount is how many tasks of that room a machine holds.
func fitCount(machine, task storage.Room) int {
	n := math.Inf(1)
	if task.CPUs > 0 {
		n = min(n, machine.CPUs/task.CPUs)
	}
	if task.GPUs > 0 {
		n = min(n, machine.GPUs/task.GPUs)
	}
	if task.MemoryGB > 0 {
		n = min(n, machine.MemoryGB/task.MemoryGB)
	}
	if math.IsInf(n, 1) {
		return 1 << 20
	}
	return max(1, int(n+1e-6))
}

// spare finds, of the machines without which all that waits, all that is to be
// kept and what runs would still fit, the one that wastes the most money.
func (d *dispatcher) spare(now time.Time) int {
	best, bestWaste := 0, 0.0
	for _, m := range d.sortedMachines() {
		if !m.ready(now, d.settings.fresh()) {
			continue
		}
		price := m.typ.Price
		if m.spot {
			price = m.typ.SpotPrice
		}
		if waste := price * (1 - d.bookedShare(m)); waste > bestWaste && d.canSpare(m, now) {
			best, bestWaste = m.id, waste
		}
	}
	return best
}

func (d *dispatcher) bookedShare(m *machine) float64 {
	used, all := d.books.Machine(m.id), m.typ.Room
	share := used.CPUs / all.CPUs
	if all.GPUs > 0 {
		share = max(share, used.GPUs/all.GPUs)
	}
	return share
}

// canSpare tries a packing of everything without the machine. Its replicas
// must find their images where they go.
func (d *dispatcher) canSpare(m *machine, now time.Time) bool {
	slots := d.readySlots(m, now)
	for _, s := range slots {
		s.images = s.on.images
	}
	if !d.canMove(m, slots, true) {
		return false
	}
	for _, s := range slots {
		s.images = nil
	}
	return len(d.shortage(slots, now)) == 0
}

func (d *dispatcher) sortedMachines() []*machine {
	out := make([]*machine, 0, len(d.machines))
	for _, m := range d.machines {
		out = append(out, m)
	}
	sortMachines(out)
	return out
}

func sortMachines(ms []*machine) {
	sort.Slice(ms, func(a, b int) bool { return ms[a].id < ms[b].id })
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

// handleList takes in what the cloud lists. Absence from a list proves
// nothing; a machine is only let go once its lease has surely ended too.
func (d *dispatcher) handleList(machines []Listed) {
	now := time.Now()
	d.listed = true
	seen := make(map[int]bool, len(machines))
	for _, l := range machines {
		seen[l.Machine] = true
		m, known := d.machines[l.Machine]
		if !known {
			if d.goneBefore[l.Machine] {
				continue
			}
			m = d.machine(l.Machine)
			m.born = now.Add(-seconds(l.AgeS))
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
	for _, m := range d.sortedMachines() {
		silent := now.Sub(m.lastBeat) > d.settings.Lease && now.Sub(m.born) > d.settings.Lease+4*d.settings.ListLag
		if !seen[m.id] && !m.returning && silent && now.Sub(m.listedAt) > 4*d.settings.ListLag && now.After(d.emptyBy(m)) {
			d.gone(m.id, "no longer listed")
		}
	}
}

// gone forgets a machine that the cloud has surely taken.
func (d *dispatcher) gone(id int, why string) {
	m := d.machines[id]
	if m == nil {
		return
	}
	for _, a := range m.sortedAttempts() {
		d.free(a, "its machine is gone")
	}
	delete(d.machines, id)
	d.mark(storage.MachineKey(id), func() any { return nil })
	d.log.Info("machine gone", "machine", id, "why", why)
	d.place = true
}

func (d *dispatcher) handleHired(msg hiredMsg) {
	now := time.Now()
	for _, id := range msg.machines {
		m, known := d.machines[id]
		if !known {
			if d.goneBefore[id] {
				continue
			}
			m = d.machine(id)
			m.born, m.listedAt = now, now
		}
		if m.kind == "" {
			m.kind, m.zone, m.spot, m.typ = msg.hire.Type, msg.hire.Zone, msg.hire.Spot, d.types[msg.hire.Type]
		}
	}
	d.place = true
}

// giveBack has machines returned, once it is durable that they will be. The
// cloud may carry out a deletion late, so there is no way back from here.
func (d *dispatcher) giveBack(ids []int) {
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
	for _, m := range d.sortedMachines() {
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
	slots := d.readySlots(nil, now)
	for _, m := range silent {
		if d.canMove(m, slots, false) {
			d.log.Info("unheard since the take-over", "machine", m.id, "attempts", len(m.attempts))
			lost = append(lost, m.id)
		}
	}
	return lost
}

// canMove tries to pack a machine's services into the slots, and with saving
// also what would be stopped because it can save its progress. The rest may
// finish, or waits for room.
func (d *dispatcher) canMove(m *machine, slots []*slot, saving bool) bool {
	for _, a := range m.sortedAttempts() {
		if !a.job.spec.Service && !(saving && a.job.spec.CheckpointS > 0) {
			continue
		}
		counts := a.job.zoneCounts()
		counts[m.zone]--
		s := d.bestSlot(&demand{job: a.job, counts: counts, n: 1}, slots)
		if s == nil {
			return false
		}
		s.free = s.free.Minus(a.job.spec.Room)
	}
	return true
}

// readySlots returns the free room on ready machines other than without.
func (d *dispatcher) readySlots(without *machine, now time.Time) []*slot {
	var slots []*slot
	for _, o := range d.sortedMachines() {
		if o != without && o.ready(now, d.settings.fresh()) {
			slots = append(slots, &slot{offer: offer{o.kind, o.zone, o.spot}, typ: o.typ, free: o.typ.Room.Minus(d.books.Machine(o.id)), on: o})
		}
	}
	return slots
}
