package placement

import (
	"math"
	"slices"
	"time"

	"sagevale/internal/cloud"
	"sagevale/internal/cluster"
	"sagevale/internal/storage"
)

// Candidate is a machine on which tasks may be placed, in one placement round or in one trial packing. A trial packing
// only computes where tasks would fit. Each round and each packing creates its own candidates. The free resources of
// a candidate shrink as tasks are placed on it.
type Candidate struct {
	cloud.Offering
	Type         *storage.MachineType
	Machine      *cluster.Machine // nil if the machine isn't launched yet
	Free         storage.Resources
	Releasing    storage.Resources // resources of attempts that are being stopped
	Booting      bool              // the machine isn't launched yet, or isn't confirmed, see cluster.Machine.Confirmed
	ForCPUOnly   bool              // the machine would be launched for tasks without GPUs
	Packed       []*PackedTask     // tasks that a trial packing has placed here
	PlannedMoves int               // number of tasks that would move here from surplus machines
}

// PackedTask describes a task that a trial packing places on a candidate. All tasks of one demand share it.
type PackedTask struct {
	Job           *cluster.Job
	Opportunistic bool
}

// ReadyCandidates returns a candidate for each machine that tasks may be placed on, ordered by machine ID.
func (p *Planner) ReadyCandidates(now time.Time) []*Candidate {
	machines := p.state.Machines.InOrder()
	candidates := make([]*Candidate, 0, len(machines))
	values := make([]Candidate, len(machines)) // one allocation for all candidates
	fresh := p.settings.ReportFreshness()
	for i, m := range machines {
		if m.Ready(now, fresh) {
			values[i] = CandidateOf(m)
			candidates = append(candidates, &values[i])
		}
	}
	return candidates
}

// CandidateOf returns a candidate for a machine, whose type must be known.
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

// ZonesOf returns the distinct zones of the candidates.
func ZonesOf(candidates []*Candidate) []string {
	var zones []string
	for _, c := range candidates {
		if !slices.Contains(zones, c.Zone) {
			zones = append(zones, c.Zone)
		}
	}
	return zones
}

// Admits reports whether the job accepts the candidate's machine type, zone and spot status. It doesn't look at
// free resources.
func (c *Candidate) Admits(j *cluster.Job, zones *ZoneCheck) bool {
	return (!c.Spot || j.Spec.Spot) && c.Zone != "" && allows(j.Spec.Types, c.Offering.Type) && zones.Allows(c.Zone)
}

// Capacity returns how many tasks of the job fit on the candidate once the resources that are being released are free.
func (c *Candidate) Capacity(j *cluster.Job) int {
	if free := c.Free.Add(c.Releasing); j.Spec.Resources.Fits(free) {
		return FitCount(free, j.Spec.Resources)
	}
	return 0
}

// withhold makes resources unavailable for the rest of the round. The tasks that need them are placed in a later round,
// once the resources that are being released are free. withhold first takes the resources that are being released. It
// takes free resources only for the amount that is still missing.
func (c *Candidate) withhold(r storage.Resources) {
	left := c.Free.Add(c.Releasing).Sub(r)
	c.Free = storage.Resources{
		CPUs:     min(c.Free.CPUs, left.CPUs),
		GPUs:     min(c.Free.GPUs, left.GPUs),
		MemoryGB: min(c.Free.MemoryGB, left.MemoryGB),
	}
	c.Releasing = left.Sub(c.Free)
}

// freeShare returns the fraction of the machine's GPUs that is free. If the job needs no GPUs or the machine has none,
// it returns the fraction of the machine's CPUs that is free.
func (c *Candidate) freeShare(j *cluster.Job) float64 {
	if j.Spec.Resources.GPUs > 0 && c.Type.Resources.GPUs > 0 {
		return c.Free.GPUs / c.Type.Resources.GPUs
	}
	return c.Free.CPUs / c.Type.Resources.CPUs
}

const (
	// unboundedFit is the result of FitCount for tasks that need no resources.
	unboundedFit = 1 << 20
	// fitTolerance is added before FitCount rounds down, so that a floating-point error doesn't reduce the number of
	// tasks by one.
	fitTolerance = 1e-6
)

// FitCount returns how many tasks of the given size fit into a machine's resources. The result is at least one, even
// if the task is too large.
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
	return max(1, int(n+fitTolerance))
}

// onDemandPenalty makes BestFit prefer spot machines for a job that may use them. BestFit chooses the candidate with the
// least amount of free resources. For such a job, it first adds the penalty to the amounts of the on-demand machines.
const onDemandPenalty = 100

// BestFit returns the candidate with the least free resources among those on which a task of the job fits and for
// which suits returns true. It returns nil if there is none. The amount of free resources is the free fraction of the
// CPUs plus twice the number of free GPUs. A task without GPUs must leave enough CPUs and memory for the machine's free
// GPUs, unless the machine would be launched for tasks without GPUs.
func (p *Planner) BestFit(candidates []*Candidate, j *cluster.Job, zones *ZoneCheck, suits func(*Candidate, *cluster.Job) bool) *Candidate {
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

// AcceptAny is a filter for BestFit that accepts every candidate.
func AcceptAny(*Candidate, *cluster.Job) bool { return true }

// strandsGPUs reports whether a task of a job that needs no GPUs would leave too few CPUs or too little memory on the
// machine for other tasks to use its free GPUs.
func (p *Planner) strandsGPUs(j *cluster.Job, c *Candidate) bool {
	if j.Spec.Resources.GPUs > 0 || c.Type.Resources.GPUs == 0 {
		return false
	}
	left := c.Free.Sub(j.Spec.Resources)
	return left.CPUs < p.maxPerGPU.CPUs*c.Free.GPUs || left.MemoryGB < p.maxPerGPU.MemoryGB*c.Free.GPUs
}
