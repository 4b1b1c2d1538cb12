package autoscaling

import (
	"math"
	"slices"
	"time"

	"sagevale/internal/cloud"
	"sagevale/internal/cluster"
	"sagevale/internal/config"
	"sagevale/internal/placement"
	"sagevale/internal/storage"
)

const (
	// maxDesiredSteps is the maximum number of desired machines in a snapshot, in scale-out steps of full size.
	// It is more than one, so that each step can choose among the desired machines and first launch those that
	// take longest to boot.
	maxDesiredSteps = 4
	// hedgeShare is the number of extra machines that are launched per booting machine on which waiting service
	// tasks were packed. Extra machines are needed because some machines boot late and some never come up. The
	// number of extra machines is at most the square root of the number of these booting machines. This is enough
	// because, with many machines, chance evens out.
	hedgeShare = 0.5
	// minBacklogShare is the least share of the batch slots that is assumed to be available to waiting batch
	// tasks. A slot is room for one batch task on a machine, see batchBacklog.
	minBacklogShare = 0.2
	// zoneBalanceWeight is the surcharge on the cost of an offering whose zone holds all machines of the fleet,
	// as a fraction of the cost. The surcharge is proportional to the zone's share of the machines.
	zoneBalanceWeight = 0.02
)

// packing is a trial packing of the demands into the machines' free resources.
type packing struct {
	candidates    []*placement.Candidate
	zones         []string
	exhausted     placement.ExhaustedShapes
	desired       []cloud.Offering // machines to launch for tasks that fit on no candidate
	maxDesired    int
	opportunistic int            // number of desired machines for opportunistic work
	zoneSizes     map[string]int // number of machines by zone, including the desired machines
}

// nonOpportunistic returns how many desired machines are for work that isn't opportunistic.
func (p *packing) nonOpportunistic() int { return len(p.desired) - p.opportunistic }

// addDesired adds a machine for a demand to the desired machines and to the candidates.
func (p *packing) addDesired(o cloud.Offering, t *storage.MachineType, d *demand) {
	p.desired = append(p.desired, o)
	if d.opportunistic {
		p.opportunistic++
	}
	p.zoneSizes[o.Zone]++
	p.candidates = append(p.candidates, &placement.Candidate{
		Offering: o, Type: t, Free: t.Resources, Booting: true, ForCPUOnly: d.job.Spec.Resources.GPUs == 0,
	})
	if !slices.Contains(p.zones, o.Zone) {
		p.zones = append(p.zones, o.Zone)
	}
}

// batchBacklog counts the slots for batch work in a packing, and the waiting batch tasks without a slot. A slot is room
// for one batch task on a machine. Opportunistic work isn't counted.
type batchBacklog struct {
	slots         int     // number of slots that batch tasks occupy or were packed into
	expectedSlots float64 // number of slots that batch work typically occupies
	unpackedTasks int     // number of waiting batch tasks that the packing has left unpacked so far
}

// packTask packs one task of a demand on a candidate. It returns 1 if the candidate is booting, and 0 if it isn't.
func packTask(c *placement.Candidate, d *demand, backlog *batchBacklog) int {
	c.Free = c.Free.Sub(d.job.Spec.Resources)
	c.Packed = append(c.Packed, d.packedTask())
	d.zones.Add(c.Zone, 1)
	d.tasks--
	if d.runSeconds > 0 {
		backlog.slots++
	}
	if c.Booting {
		return 1
	}
	return 0
}

// packDemands packs the demands into the candidates. For tasks that don't fit it adds desired machines of the cheapest
// offerings. It adds no machine for batch tasks that can start in existing slots before a new machine would be up.
func (r *Reviewer) packDemands(p *packing, demands []*demand, size int, now time.Time) {
	p.zones = placement.ZonesOf(p.candidates)
	p.maxDesired = maxDesiredSteps * r.settings.Tuning.MaxScaleOut(size)
	p.zoneSizes = make(map[string]int)
	for _, m := range r.state.Machines.InOrder() {
		p.zoneSizes[m.Zone]++
	}
	backlog := &batchBacklog{slots: r.occupiedBatchSlots(), expectedSlots: r.expectedBatchSlots(now)}
	hedges := make(map[string]*provisioningHedge) // by class
	for i := 0; i < len(demands); i++ {
		d := demands[i]
		booting := r.packDemand(p, d, backlog, now)
		if !d.job.Spec.Service || d.headroom || booting == 0 {
			continue
		}
		hedge := hedges[d.job.Spec.Class]
		if hedge == nil {
			hedge = &provisioningHedge{}
			hedges[d.job.Spec.Class] = hedge
		}
		if extra := hedge.extraTasks(booting, r.tasksPerMachine(d.job)); extra > 0 {
			demands = append(demands, newHeadroomDemand(d.job, extra))
		}
	}
}

// provisioningHedge computes the number of tasks of one class for which extra machines are launched, see hedgeShare.
// bootingTasks is the number of tasks that were packed on booting machines. hedgedTasks is the number of tasks for which
// extra machines were already requested.
type provisioningHedge struct{ bootingTasks, hedgedTasks float64 }

// extraTasks adds booting, a number of tasks that were packed on booting machines, to bootingTasks. It returns the number
// of further tasks for which extra machines are to be requested.
func (h *provisioningHedge) extraTasks(booting int, tasksPerMachine float64) int {
	h.bootingTasks += float64(booting)
	machines := h.bootingTasks / tasksPerMachine
	extra := int(tasksPerMachine*min(hedgeShare*machines, math.Sqrt(machines)) - h.hedgedTasks)
	h.hedgedTasks += float64(max(0, extra))
	return max(0, extra)
}

// tasksPerMachine returns how many tasks of the job fit on one machine. Of the feasible machine types, it considers the
// type on which the most tasks fit.
func (r *Reviewer) tasksPerMachine(j *cluster.Job) float64 {
	most := 1
	for _, name := range r.state.FeasibleTypes(j) {
		most = max(most, placement.FitCount(r.state.Types.Get(name).Resources, j.Spec.Resources))
	}
	return float64(most)
}

// packDemand packs a demand's tasks on candidates, and adds desired machines as needed. It returns the number of
// tasks packed on machines that aren't up yet.
func (r *Reviewer) packDemand(p *packing, d *demand, backlog *batchBacklog, now time.Time) (booting int) {
	if spec := &d.job.Spec; spec.Gang && spec.SameZone && len(d.job.Attempts) == 0 {
		if zone := zoneWithMostCapacity(p.candidates, d); zone != "" {
			d.zones.Add(zone, 1) // all tasks of the gang must then be packed in this zone
		}
	}
	for d.tasks > 0 {
		if c := r.bestCandidate(p, d); c != nil {
			booting += packTask(c, d, backlog)
			continue
		}
		if r.batchSlotsSuffice(d, backlog) {
			break
		}
		o, ok := r.bestOffering(p, d, now)
		if !ok || len(p.desired) >= p.maxDesired {
			break
		}
		if d.opportunistic && !r.mayLaunchOpportunistic(p, o, d, now) {
			break
		}
		t := r.state.Types.Get(o.Type)
		if d.job.Spec.Resources.GPUs == 0 && t.Resources.GPUs > 0 {
			// The best offering for this CPU-only task has GPUs. A GPU machine that is already booting is preferred.
			if c := r.planner.BestFit(p.candidates, d.job, &d.zones, placement.AcceptAny); c != nil {
				booting += packTask(c, d, backlog)
				continue
			}
		}
		p.addDesired(o, t, d)
	}
	if d.runSeconds > 0 {
		backlog.unpackedTasks += d.tasks
	}
	return booting
}

// batchSlotsSuffice reports whether the remaining tasks of a demand can start in slots for batch work before a new
// machine would be up. The available slots are those that batch work doesn't typically occupy, but at least
// minBacklogShare of all slots. The result is false for gangs, services, headroom and opportunistic work, and if there
// are no slots.
func (r *Reviewer) batchSlotsSuffice(d *demand, backlog *batchBacklog) bool {
	if d.runSeconds <= 0 || backlog.slots == 0 || d.job.Spec.Gang {
		return false
	}
	availableSlots := max(float64(backlog.slots)-backlog.expectedSlots, minBacklogShare*float64(backlog.slots))
	return float64(backlog.unpackedTasks+d.tasks)*d.runSeconds/availableSlots < r.state.MinBootSeconds(d.job)
}

// mayLaunchOpportunistic reports whether a machine may be launched for opportunistic work. A machine that isn't
// affordable, see affordable, is launched only for a job that has waited too long for its first task to get a machine.
// In this case, the demand is reduced to this one task.
func (r *Reviewer) mayLaunchOpportunistic(p *packing, o cloud.Offering, d *demand, now time.Time) bool {
	if p.opportunistic == config.MaxLaunchMachines {
		return false // more at a time would delay launches for other work
	}
	if r.affordable(o, d.job) {
		return true
	}
	if !r.minimumAllocationDue(d.job, now) {
		return false
	}
	d.tasks = 1
	return true
}

// expectedBatchSlots returns how many slots batch work typically occupies. As long as the arrival rate of any batch
// class is unknown, it returns infinity, because more tasks may arrive than there are slots.
func (r *Reviewer) expectedBatchSlots(now time.Time) float64 {
	slots := 0.0
	for _, c := range r.state.Classes.All() {
		if c.Latest.Spec.Service || r.settings.IsOpportunistic(&c.Latest.Spec) {
			continue
		}
		rate := r.state.Classes.ArrivalRate(c, r.settings.WorkerLease, now)
		if rate.WindowS == 0 {
			return math.Inf(1)
		}
		slots += rate.Expected(c.TypicalRunSeconds(), 0)
	}
	return slots
}

// occupiedBatchSlots returns how many slots batch work occupies now.
func (r *Reviewer) occupiedBatchSlots() int {
	slots := 0
	for _, j := range r.state.Jobs.Open {
		if !j.Spec.Service && !r.settings.IsOpportunistic(&j.Spec) {
			slots += len(j.Attempts)
		}
	}
	return slots
}

// bestCandidate returns the fullest candidate with room for one more task of the demand, or nil.
func (r *Reviewer) bestCandidate(p *packing, d *demand) *placement.Candidate {
	shape := r.planner.ShapeOf(d.job)
	from := p.exhausted.FirstUnsearched(shape, &d.zones, p.zones)
	if from >= len(p.candidates) {
		return nil
	}
	best := r.planner.BestFit(p.candidates[from:], d.job, &d.zones, mayPackOn)
	if best == nil {
		p.exhausted.MarkExhausted(shape, &d.zones, p.zones, len(p.candidates))
	}
	return best
}

// mayPackOn reports whether a task may be packed on a candidate. Services without GPUs aren't packed on booting GPU
// machines, because smaller machines boot sooner and cost little.
func mayPackOn(c *placement.Candidate, j *cluster.Job) bool {
	return !c.Booting || !j.Spec.Service || j.Spec.Resources.GPUs > 0 || c.Type.Resources.GPUs == 0
}

// zoneWithMostCapacity returns the zone in which the most tasks of a single-zone gang fit, or "" if no task fits in any
// zone. If several zones have the same capacity, it returns the first of them by name.
func zoneWithMostCapacity(candidates []*placement.Candidate, d *demand) string {
	capacity := make(map[string]int)
	best := ""
	for _, c := range candidates {
		if !d.job.Spec.Resources.Fits(c.Free) || !c.Admits(d.job, &d.zones) {
			continue
		}
		capacity[c.Zone] += placement.FitCount(c.Free, d.job.Spec.Resources)
		if best == "" || capacity[c.Zone] > capacity[best] || capacity[c.Zone] == capacity[best] && c.Zone < best {
			best = c.Zone
		}
	}
	return best
}

// bestOffering returns the offering with the least cost per task for the remaining tasks of a demand. It leaves out
// offerings that the cloud has rejected recently. If the recent machines of an offering mostly didn't come up, the
// offering is returned only if no other offering is left.
func (r *Reviewer) bestOffering(p *packing, d *demand, now time.Time) (cloud.Offering, bool) {
	best, ok := r.cheapestOffering(p, d, now, func(o cloud.Offering) bool { return !r.failsToProvision(o, now) })
	if !ok {
		best, ok = r.cheapestOffering(p, d, now, func(cloud.Offering) bool { return true })
	}
	return best, ok
}

// cheapestOffering returns the offering with the least cost per task among those for which suits returns true. The cost
// includes a surcharge for zones with many machines, see zoneBalanceWeight.
func (r *Reviewer) cheapestOffering(p *packing, d *demand, now time.Time, suits func(cloud.Offering) bool) (best cloud.Offering, ok bool) {
	spec := &d.job.Spec
	bestCost := math.Inf(1)
	for _, name := range r.state.FeasibleTypes(d.job) {
		t := r.state.Types.Get(name)
		fit := placement.FitCount(t.Resources, spec.Resources)
		for _, zone := range t.Zones {
			if !d.zones.Allows(zone) {
				continue
			}
			for _, spot := range []bool{true, false} {
				o := cloud.Offering{Type: name, Zone: zone, Spot: spot}
				if !mayUseMarket(t, d, spot) || r.recentlyRejected(o, now) || !suits(o) {
					continue
				}
				cost := hourlyPrice(t, spot) / float64(min(fit, d.tasks))
				cost *= 1 + zoneBalanceWeight*float64(p.zoneSizes[zone])/float64(1+r.state.Machines.Count())
				if cost < bestCost {
					best, bestCost = o, cost
				}
			}
		}
	}
	return best, !math.IsInf(bestCost, 1)
}

// mayUseMarket reports whether a demand may use spot machines of a type or, if spot is false, on-demand machines of the
// type. Headroom for work that may use spot machines is launched only on spot machines.
func mayUseMarket(t *storage.MachineType, d *demand, spot bool) bool {
	if spot {
		return d.job.Spec.Spot && t.SpotPrice > 0
	}
	return !d.headroom || !d.job.Spec.Spot
}
