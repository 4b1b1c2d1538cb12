package scheduler

import (
	"slices"
	"time"

	"sagevale/internal/clock"
	"sagevale/internal/storage"
)

// gangReachable tells whether all of a gang's tasks can be told to stop within
// gang_peer_s of each other, as far as is known. Where one can't, the others exit
// without it and the save fails.
func (d *scheduler) gangReachable(j *job, now time.Time) bool {
	for _, a := range j.attempts {
		if !d.reachable(a.machine, now) {
			return false
		}
	}
	return true
}

// reachableReports is how old a machine's last report may be, in report intervals,
// for a direct order to count on reaching it.
const reachableReports = 1.5

// reachable tells whether a direct order is likely to reach a machine at once.
func (d *scheduler) reachable(m *machine, now time.Time) bool {
	return m.addr != "" && m.inFlight < maxInFlightCommands && !m.unresponsive && !d.commandsFailing[m.id] &&
		now.Sub(m.lastContact) <= clock.Scale(d.settings.HeartbeatInterval, reachableReports)
}

// gangPreemption is a candidate that a gang may take once some of its tasks are stopped.
type gangPreemption struct {
	candidate *candidate
	tasks     int
	victims   []*attempt
	cost      float64
}

// preemptGang makes room for all waiting tasks of a gang by stopping work of lower
// priority, the least worth for its room first, or stops nothing.
func (d *scheduler) preemptGang(j *job, r *round) bool {
	if j.spec.Priority <= storage.BestEffort || j.spec.Spread {
		return false
	}
	var best []gangPreemption
	bestCost := 0.0
	for _, group := range d.gangCandidates(j, r) {
		if plan, cost := d.planGangPreemption(j, group, r.now); plan != nil && (best == nil || cost < bestCost) {
			best, bestCost = plan, cost
		}
	}
	for _, c := range best {
		for _, v := range c.victims {
			d.log.Debug("preempt", "job", v.job.spec.ID, "task", v.task, "machine", v.machine.id, "for", j.spec.ID)
			c.candidate.releasing = c.candidate.releasing.Add(v.job.spec.Resources)
			d.preemptOne(v, r.now)
		}
		c.candidate.takeReleasing(j.spec.Resources.Mul(c.tasks))
		d.commandStops(c.candidate.machine)
	}
	return best != nil
}

// planGangPreemption finds candidates for all waiting tasks of a gang, with what must be stopped
// there.
func (d *scheduler) planGangPreemption(j *job, group []*candidate, now time.Time) (plan []gangPreemption, cost float64) {
	var all []gangPreemption
	room := 0
	for _, s := range group {
		most := s.free.Add(s.releasing)
		for _, live := range s.machine.running[:j.spec.Priority] {
			most = most.Add(live)
		}
		if !j.spec.Resources.Fits(most) {
			continue
		}
		c := gangPreemption{candidate: s, tasks: min(j.waiting, fitCount(most, j.spec.Resources))}
		if victims, cost, ok := d.victims(s, j.spec.Resources.Mul(c.tasks), preemptor{priority: j.spec.Priority}, now); ok {
			c.victims, c.cost = victims, cost
			all = append(all, c)
			room += c.tasks
		}
	}
	if room < j.waiting {
		return nil, 0
	}
	slices.SortStableFunc(all, func(a, b gangPreemption) int {
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
			c.victims, c.cost, _ = d.victims(c.candidate, j.spec.Resources.Mul(left), preemptor{priority: j.spec.Priority}, now)
		}
		plan, left, cost = append(plan, c), left-c.tasks, cost+c.cost
	}
	return plan, cost
}

// preemptOne stops a task for a more urgent one; with a gang's, the gang: in order,
// or at once where its progress can't be saved all the same.
func (d *scheduler) preemptOne(v *attempt, now time.Time) {
	switch {
	case !v.job.spec.Gang || !v.job.gang.started:
		d.stopAttempt(v, v.job.spec.SaveS)
	case d.gangReachable(v.job, now):
		d.stopGang(v.job)
	default:
		d.abortGang(v.job)
	}
}
