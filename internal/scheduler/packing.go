package scheduler

import (
	"math"
	"slices"
	"time"

	"sagevale/internal/cloud"
	"sagevale/internal/cluster"
	"sagevale/internal/config"
	"sagevale/internal/storage"
)

const (
	// hedgeShare of the machines that waiting services count on is rented for
	// once more, for some come late and some never; of many, chance evens out,
	// and their square root is enough.
	hedgeShare = 0.5
)

// packing is a trial packing of the demands into the machines' room.
type packing struct {
	candidates    []*candidate
	zones         []string
	exhausted     exhaustedShapes
	desired       []cloud.Offering // machines that would hold what found no candidate
	maxDesired    int              // the most that may be wanted
	opportunistic int              // of them for opportunistic work, the last
	sizes         map[string]int
}

// shortage packs the demands into the candidates and finds the offers that would
// hold what is left, cheapest for its share first. Work that ends needs no
// machine of its own when the places that it has will take it before a new
// machine were up.
func (d *scheduler) shortage(p *packing, demands []*demand, size int, now time.Time) {
	p.zones, p.maxDesired, p.sizes = zonesOf(p.candidates), desiredSteps*d.settings.Tuning.MaxScaleOut(size), make(map[string]int)
	for _, m := range d.state.Machines.InOrder() {
		p.sizes[m.Zone]++
	}
	e := &batchBacklog{places: d.batchPlaces(), expected: d.expectedBatchTasks(now)}
	late := make(map[string]*provisioningHedge)
	for i := 0; i < len(demands); i++ {
		dm := demands[i]
		coming := d.pack(p, dm, e, now)
		if !dm.job.Spec.Service || dm.headroom || coming == 0 {
			continue
		}
		l := late[dm.job.Spec.Class]
		if l == nil {
			l = &provisioningHedge{}
			late[dm.job.Spec.Class] = l
		}
		if extra := l.extra(coming, d.perMachine(dm.job)); extra > 0 {
			demands = append(demands, headroomDemand(dm.job, extra))
		}
	}
}

// nonOpportunistic is how many wanted machines are for other than opportunistic work.
func (p *packing) nonOpportunistic() int { return len(p.desired) - p.opportunistic }

// desiredSteps is for how many steps of growth a snapshot finds wanted machines: those that boot
// longest go first.
const desiredSteps = 4

// provisioningHedge reckons, class by class, for how many tasks to rent once more.
type provisioningHedge struct{ coming, hedged float64 }

func (l *provisioningHedge) extra(coming int, perMachine float64) int {
	l.coming += float64(coming)
	machines := l.coming / perMachine
	extra := int(perMachine*min(hedgeShare*machines, math.Sqrt(machines)) - l.hedged)
	l.hedged += float64(max(0, extra))
	return max(0, extra)
}

// perMachine is how many tasks of the job the best filled type holds.
func (d *scheduler) perMachine(j *cluster.Job) float64 {
	n := 1
	for _, name := range d.state.FeasibleTypes(j) {
		n = max(n, fitCount(d.state.Types.Get(name).Resources, j.Spec.Resources))
	}
	return float64(n)
}

// batchBacklog is what a packing knows of work that ends.
type batchBacklog struct {
	places   int     // that it holds or has been given
	expected float64 // that it usually takes
	behind   int     // tasks left over so far
}

// pack puts a demand's tasks into candidates, wanting new ones where it must, and
// returns how many count on machines that aren't up yet.
func (d *scheduler) pack(p *packing, dm *demand, e *batchBacklog, now time.Time) (coming int) {
	if s := &dm.job.Spec; s.Gang && s.SameZone && len(dm.job.Attempts) == 0 {
		if zone := gangZone(p.candidates, dm); zone != "" {
			dm.zones.add(zone, 1) // all of it there
		}
	}
	for dm.n > 0 {
		if s := d.bestCandidate(p, dm); s != nil {
			coming += s.put(dm, e)
			continue
		}
		if dm.runS > 0 && e.places > 0 && !dm.job.Spec.Gang {
			// What usually comes takes its places before the backlog does.
			left := max(float64(e.places)-e.expected, minBacklogShare*float64(e.places))
			if float64(e.behind+dm.n)*dm.runS/left < d.state.MinBootSeconds(dm.job) {
				break
			}
		}
		o, ok := d.bestOffering(p, dm, now)
		if !ok || len(p.desired) >= p.maxDesired {
			break
		}
		if dm.opportunistic {
			if p.opportunistic == config.MaxLaunchMachines {
				break // more at a time would hold up what others need
			}
			if !d.cheapFor(o, dm.job) {
				if !d.minimumAllocationDue(dm.job, now) {
					break
				}
				dm.n = 1
			}
		}
		typ := d.state.Types.Get(o.Type)
		if dm.job.Spec.Resources.GPUs == 0 && typ.Resources.GPUs > 0 {
			// Only the dear kind is left: first count on those that boot anyway.
			if s := d.fullest(p.candidates, dm.job, &dm.zones, anyCandidate); s != nil {
				coming += s.put(dm, e)
				continue
			}
		}
		p.desired = append(p.desired, o)
		if dm.opportunistic {
			p.opportunistic++
		}
		p.sizes[o.Zone]++
		p.candidates = append(p.candidates, &candidate{Offering: o, machineType: typ, free: typ.Resources, booting: true, forCPUOnly: dm.job.Spec.Resources.GPUs == 0})
		if !slices.Contains(p.zones, o.Zone) {
			p.zones = append(p.zones, o.Zone)
		}
	}
	if dm.runS > 0 {
		e.behind += dm.n
	}
	return coming
}

// put packs one task of a demand here and returns 1 if it counts on a machine
// that isn't up yet.
func (s *candidate) put(dm *demand, e *batchBacklog) int {
	s.free = s.free.Sub(dm.job.Spec.Resources)
	s.packed = append(s.packed, dm)
	dm.zones.add(s.Zone, 1)
	dm.n--
	if dm.runS > 0 {
		e.places++
	}
	if s.booting {
		return 1
	}
	return 0
}

// minBacklogShare is the share of its places that a backlog gets at the least.
const minBacklogShare = 0.2

// expectedBatchTasks is how many places ending work usually takes. While that can't be
// told yet, more may come than there are places.
func (d *scheduler) expectedBatchTasks(now time.Time) float64 {
	n := 0.0
	for _, c := range d.state.Classes.All() {
		if c.Latest.Spec.Service || d.settings.IsOpportunistic(&c.Latest.Spec) {
			continue
		}
		rate := d.state.Classes.ArrivalRate(c, d.settings.WorkerLease, now)
		if rate.WindowS == 0 {
			return math.Inf(1)
		}
		n += rate.Expected(c.TypicalRunSeconds(), 0)
	}
	return n
}

// batchPlaces counts the places that ending work holds now.
func (d *scheduler) batchPlaces() int {
	n := 0
	for _, j := range d.state.Jobs.Open {
		if !j.Spec.Service && !d.settings.IsOpportunistic(&j.Spec) {
			n += len(j.Attempts)
		}
	}
	return n
}

// bestCandidate finds the fullest candidate that takes one more task of the demand.
func (d *scheduler) bestCandidate(p *packing, dm *demand) *candidate {
	sh := d.shapeOf(dm.job)
	from := p.exhausted.from(sh, &dm.zones, p.zones)
	if from >= len(p.candidates) {
		return nil
	}
	best := d.fullest(p.candidates[from:], dm.job, &dm.zones, d.mayAwaitMachine)
	if best == nil {
		p.exhausted.note(sh, &dm.zones, p.zones, len(p.candidates))
	}
	return best
}

// mayAwaitMachine tells whether a task without accelerators may count on the candidate's
// machine if it has some: smaller machines come sooner and cost little.
func (d *scheduler) mayAwaitMachine(s *candidate, j *cluster.Job) bool {
	return !s.booting || !j.Spec.Service || j.Spec.Resources.GPUs > 0 || s.machineType.Resources.GPUs == 0
}

// anyCandidate takes any candidate that has the room.
func anyCandidate(*candidate, *cluster.Job) bool { return true }

// fullest finds the fullest candidate for a task of the job, among those that suit.
// A task without accelerators must leave enough of the rest for those that are
// free, but on a machine that is rented for such tasks.
func (d *scheduler) fullest(candidates []*candidate, j *cluster.Job, zones *zoneCheck, suits func(*candidate, *cluster.Job) bool) *candidate {
	room := j.Spec.Resources
	var best *candidate
	bestFree := 0.0
	for _, s := range candidates {
		if !room.Fits(s.free) || !s.admits(j, zones) || !suits(s, j) || !s.forCPUOnly && d.strandsGPUs(j, s) {
			continue
		}
		f := s.free.CPUs/s.machineType.Resources.CPUs + 2*s.free.GPUs
		if j.Spec.Spot && !s.Spot {
			f += 100
		}
		if best == nil || f < bestFree {
			best, bestFree = s, f
		}
	}
	return best
}

// bestOffering finds the machine that holds what is left of a demand at the least
// price a task, among those that the cloud hasn't refused lately. Those that were rented and
// didn't come up are taken if there are no others.
func (d *scheduler) bestOffering(p *packing, dm *demand, now time.Time) (cloud.Offering, bool) {
	best, ok := d.cheapestOffering(p, dm, now, func(o cloud.Offering) bool { return !d.failsToProvision(o, now) })
	if !ok {
		best, ok = d.cheapestOffering(p, dm, now, func(cloud.Offering) bool { return true })
	}
	return best, ok
}

// cheapestOffering is the cheapest of the offers that suit.
func (d *scheduler) cheapestOffering(p *packing, dm *demand, now time.Time, suits func(cloud.Offering) bool) (cloud.Offering, bool) {
	s := &dm.job.Spec
	var best cloud.Offering
	bestCost := math.Inf(1)
	for _, name := range d.state.FeasibleTypes(dm.job) {
		t := d.state.Types.Get(name)
		fit := fitCount(t.Resources, s.Resources)
		for _, zone := range t.Zones {
			if !dm.zones.allows(zone) {
				continue
			}
			for _, spot := range []bool{true, false} {
				if spot && (!s.Spot || t.SpotPrice <= 0) || !spot && dm.headroom && s.Spot {
					continue
				}
				o := cloud.Offering{Type: name, Zone: zone, Spot: spot}
				if at, ok := d.rejectedOfferings[o]; ok && now.Sub(at) < d.settings.WorkerLease || !suits(o) {
					continue
				}
				price := t.Price
				if spot {
					price = t.SpotPrice
				}
				cost := price / float64(min(fit, dm.n))
				cost *= 1 + 0.02*float64(p.sizes[zone])/float64(1+d.state.Machines.Count())
				if cost < bestCost {
					best, bestCost = o, cost
				}
			}
		}
	}
	return best, !math.IsInf(bestCost, 1)
}

// fitCount is how many tasks of that room a machine holds.
func fitCount(machine, task storage.Resources) int {
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
