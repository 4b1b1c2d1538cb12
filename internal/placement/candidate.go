package placement

import (
	"math"
	"slices"
	"time"

	"sagevale/internal/cloud"
	"sagevale/internal/cluster"
	"sagevale/internal/storage"
)

// Candidate is a machine that tasks may be placed on, with its free resources, in a round of placement or in
// a trial packing. Its owner makes it once; what is reserved is taken from it.
type Candidate struct {
	cloud.Offering
	Type       *storage.MachineType
	Machine    *cluster.Machine // nil: not yet launched
	Free       storage.Resources
	Releasing  storage.Resources // held by attempts that are being stopped
	Booting    bool              // it isn't up yet
	ForCPUOnly bool              // it is to be launched for tasks without GPUs
	Packed     []*PackedTask     // what a trial packing has put here
	Moved      int               // tasks that the search for surplus machines has moved here
}

// PackedTask stands for the tasks of one demand that a trial packing puts on candidates.
type PackedTask struct {
	Job           *cluster.Job
	Opportunistic bool
}

// ReadyCandidates returns the candidates of the ready machines, in their order.
func (p *Planner) ReadyCandidates(now time.Time) []*Candidate {
	machines := p.state.Machines.InOrder()
	candidates := make([]*Candidate, 0, len(machines))
	values := make([]Candidate, len(machines)) // in one allocation
	fresh := p.settings.ReportFreshness()
	for i, m := range machines {
		if m.Ready(now, fresh) {
			values[i] = CandidateOf(m)
			candidates = append(candidates, &values[i])
		}
	}
	return candidates
}

// CandidateOf returns the candidate of a machine whose type is known.
func CandidateOf(m *cluster.Machine) Candidate {
	return Candidate{
		Offering:  m.Offering(),
		Type:      m.Type,
		Machine:   m,
		Free:      m.Type.Resources.Sub(*m.Reserved),
		Releasing: m.StoppingUsage,
		Booting:   !m.Confirmed,
	}
}

// ZonesOf returns the zones of the candidates.
func ZonesOf(candidates []*Candidate) []string {
	var zones []string
	for _, c := range candidates {
		if !slices.Contains(zones, c.Zone) {
			zones = append(zones, c.Zone)
		}
	}
	return zones
}

// Admits reports whether a task of the job may run on a machine of that offering.
func (c *Candidate) Admits(j *cluster.Job, zones *ZoneCheck) bool {
	return (!c.Spot || j.Spec.Spot) && c.Zone != "" && allows(j.Spec.Types, c.Offering.Type) && zones.Allows(c.Zone)
}

// Capacity is how many tasks of the job fit into what is free and what is being released.
func (c *Candidate) Capacity(j *cluster.Job) int {
	if free := c.Free.Add(c.Releasing); j.Spec.Resources.Fits(free) {
		return FitCount(free, j.Spec.Resources)
	}
	return 0
}

// takeReleasing takes resources from what is free and what is being released.
func (c *Candidate) takeReleasing(r storage.Resources) {
	left := c.Free.Add(c.Releasing).Sub(r)
	c.Free = storage.Resources{
		CPUs:     min(c.Free.CPUs, left.CPUs),
		GPUs:     min(c.Free.GPUs, left.GPUs),
		MemoryGB: min(c.Free.MemoryGB, left.MemoryGB),
	}
	c.Releasing = left.Sub(c.Free)
}

// freeShare is the free share of the resource that matters most to the job.
func (c *Candidate) freeShare(j *cluster.Job) float64 {
	if j.Spec.Resources.GPUs > 0 && c.Type.Resources.GPUs > 0 {
		return c.Free.GPUs / c.Type.Resources.GPUs
	}
	return c.Free.CPUs / c.Type.Resources.CPUs
}

const (
	// unboundedFit stands for the count of tasks that take no resources.
	unboundedFit = 1 << 20
	// fitSlack forgives the rounding of quotients.
	fitSlack = 1e-6
)

// FitCount is how many tasks of that size a machine holds, at least one.
func FitCount(machine, task storage.Resources) int {
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
		return unboundedFit
	}
	return max(1, int(n+fitSlack))
}

// onDemandPenalty ranks on-demand machines behind all spot machines for a job that may use those.
const onDemandPenalty = 100

// Fullest returns the candidate with the least free that takes a task of the job, among those that suit, or
// nil. A task without GPUs must leave enough beside free GPUs, but on a machine that is launched for such
// tasks.
func (p *Planner) Fullest(candidates []*Candidate, j *cluster.Job, zones *ZoneCheck, suits func(*Candidate, *cluster.Job) bool) *Candidate {
	need := j.Spec.Resources
	var best *Candidate
	leastFree := 0.0
	for _, c := range candidates {
		if !need.Fits(c.Free) || !c.Admits(j, zones) || !suits(c, j) || !c.ForCPUOnly && p.strandsGPUs(j, c) {
			continue
		}
		free := c.Free.CPUs/c.Type.Resources.CPUs + 2*c.Free.GPUs
		if j.Spec.Spot && !c.Spot {
			free += onDemandPenalty
		}
		if best == nil || free < leastFree {
			best, leastFree = c, free
		}
	}
	return best
}

// AnyCandidate suits any candidate.
func AnyCandidate(*Candidate, *cluster.Job) bool { return true }

// strandsGPUs reports whether a task without GPUs would leave too little beside the machine's free GPUs for
// the tasks that need them.
func (p *Planner) strandsGPUs(j *cluster.Job, c *Candidate) bool {
	if j.Spec.Resources.GPUs > 0 || c.Type.Resources.GPUs == 0 {
		return false
	}
	left := c.Free.Sub(j.Spec.Resources)
	return left.CPUs < p.perGPU.CPUs*c.Free.GPUs || left.MemoryGB < p.perGPU.MemoryGB*c.Free.GPUs
}
