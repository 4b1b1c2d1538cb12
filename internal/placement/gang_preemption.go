package placement

import (
	"cmp"
	"slices"
	"time"

	"sagevale/internal/cluster"
	"sagevale/internal/storage"
	"sagevale/internal/worker"
)

// gangPreemption describes which attempts must be stopped on a candidate so that tasks of a gang fit there.
type gangPreemption struct {
	candidate *Candidate
	tasks     int // number of the gang's tasks that fit on the candidate once the victims have stopped
	victims   []*cluster.Attempt
	cost      float64 // preemption cost of the victims, in CPU seconds
}

// costPerTask returns the preemption cost on the candidate, divided by the number of the gang's tasks that fit there.
func (g *gangPreemption) costPerTask() float64 { return g.cost / float64(g.tasks) }

// preemptForGang preempts work of lower priority, cheapest first, so that all waiting tasks of a gang fit. If
// preemption can't make room for all of them, it preempts nothing and returns false.
func (p *Planner) preemptForGang(j *cluster.Job, r *round) bool {
	if j.Spec.Priority <= storage.PriorityBestEffort || j.Spec.Spread {
		return false
	}
	var best []gangPreemption
	bestCost := 0.0
	for _, group := range p.gangCandidates(j, r) {
		if plan, cost := p.planGangPreemption(j, group, r.now); plan != nil && (best == nil || cost < bestCost) {
			best, bestCost = plan, cost
		}
	}
	for _, g := range best {
		p.stopVictims(g.candidate, g.victims, j, r.now)
		g.candidate.withhold(j.Spec.Resources.Mul(g.tasks))
		p.actions.CommandStops(g.candidate.Machine)
	}
	return best != nil
}

// planGangPreemption chooses candidates for all waiting tasks of a gang, and selects the attempts to stop on each chosen
// candidate. group is one of the groups of gangCandidates. planGangPreemption returns nil if not all tasks would fit on the
// candidates of the group. cost is the total preemption cost.
func (p *Planner) planGangPreemption(j *cluster.Job, group []*Candidate, now time.Time) (plan []gangPreemption, cost float64) {
	rights := preemptionRights{priority: j.Spec.Priority}
	options, capacity := p.gangPreemptionOptions(j, group, rights, now)
	if capacity < j.Waiting {
		return nil, 0
	}
	slices.SortStableFunc(options, func(a, b gangPreemption) int { return cmp.Compare(a.costPerTask(), b.costPerTask()) })
	for left := j.Waiting; left > 0; {
		option := options[0]
		options = options[1:]
		if option.tasks > left {
			option.tasks = left
			option.victims, option.cost, _ = p.selectVictims(option.candidate, j.Spec.Resources.Mul(left), rights, now)
		}
		plan, left, cost = append(plan, option), left-option.tasks, cost+option.cost
	}
	return plan, cost
}

// gangPreemptionOptions returns an option for each candidate on which preemption can make room for tasks of a gang. An
// option holds the number of waiting tasks that would fit, and the attempts that must be stopped for them. capacity is
// the total number of tasks over all options.
func (p *Planner) gangPreemptionOptions(j *cluster.Job, group []*Candidate, rights preemptionRights, now time.Time) (options []gangPreemption, capacity int) {
	for _, c := range group {
		available := availableAfterPreemption(c, rights.priority)
		if !j.Spec.Resources.Fits(available) {
			continue
		}
		option := gangPreemption{candidate: c, tasks: min(j.Waiting, FitCount(available, j.Spec.Resources))}
		victims, cost, ok := p.selectVictims(c, j.Spec.Resources.Mul(option.tasks), rights, now)
		if !ok {
			continue
		}
		option.victims, option.cost = victims, cost
		options = append(options, option)
		capacity += option.tasks
	}
	return options, capacity
}

// waitsToRun reports whether a reported attempt hasn't started running: it pulls its image or waits for the other
// tasks of its gang.
func waitsToRun(a *cluster.Attempt) bool {
	return a.State == worker.Pulling || a.State == worker.Gathering
}
