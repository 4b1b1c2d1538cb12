package scheduler

import (
	"slices"
	"time"

	"sagevale/internal/clock"
	"sagevale/internal/cluster"
	"sagevale/internal/storage"
)

// gangReachable tells whether all of a gang's tasks can be told to stop within
// gang_peer_s of each other, as far as is known. Where one can't, the others exit
// without it and the save fails.
func (d *scheduler) gangReachable(j *cluster.Job, now time.Time) bool {
	for _, a := range j.Attempts {
		if !d.reachable(a.Machine, now) {
			return false
		}
	}
	return true
}

// reachableReports is how old a machine's last report may be, in report intervals,
// for a direct order to count on reaching it.
const reachableReports = 1.5

// reachable tells whether a direct order is likely to reach a machine at once.
func (d *scheduler) reachable(m *cluster.Machine, now time.Time) bool {
	return m.Addr != "" && m.InFlight < maxInFlightCommands && !m.Unresponsive && !d.commandsFailing[m.ID] &&
		now.Sub(m.LastContact) <= clock.Scale(d.settings.HeartbeatInterval, reachableReports)
}

// gangPreemption is a candidate that a gang may take once some of its tasks are stopped.
type gangPreemption struct {
	candidate *candidate
	tasks     int
	victims   []*cluster.Attempt
	cost      float64
}

// preemptGang makes room for all waiting tasks of a gang by stopping work of lower
// priority, the least worth for its room first, or stops nothing.
func (d *scheduler) preemptGang(j *cluster.Job, r *round) bool {
	if j.Spec.Priority <= storage.BestEffort || j.Spec.Spread {
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
			d.log.Debug("preempt", "job", v.Job.Spec.ID, "task", v.Task, "machine", v.Machine.ID, "for", j.Spec.ID)
			c.candidate.releasing = c.candidate.releasing.Add(v.Job.Spec.Resources)
			d.preemptOne(v, r.now)
		}
		c.candidate.takeReleasing(j.Spec.Resources.Mul(c.tasks))
		d.commandStops(c.candidate.machine)
	}
	return best != nil
}

// planGangPreemption finds candidates for all waiting tasks of a gang, with what must be stopped
// there.
func (d *scheduler) planGangPreemption(j *cluster.Job, group []*candidate, now time.Time) (plan []gangPreemption, cost float64) {
	var all []gangPreemption
	room := 0
	for _, s := range group {
		most := s.free.Add(s.releasing)
		for _, live := range s.machine.RunningUsage[:j.Spec.Priority] {
			most = most.Add(live)
		}
		if !j.Spec.Resources.Fits(most) {
			continue
		}
		c := gangPreemption{candidate: s, tasks: min(j.Waiting, fitCount(most, j.Spec.Resources))}
		if victims, cost, ok := d.victims(s, j.Spec.Resources.Mul(c.tasks), preemptor{priority: j.Spec.Priority}, now); ok {
			c.victims, c.cost = victims, cost
			all = append(all, c)
			room += c.tasks
		}
	}
	if room < j.Waiting {
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
	for left := j.Waiting; left > 0; {
		c := all[0]
		all = all[1:]
		if c.tasks > left {
			c.tasks = left
			c.victims, c.cost, _ = d.victims(c.candidate, j.Spec.Resources.Mul(left), preemptor{priority: j.Spec.Priority}, now)
		}
		plan, left, cost = append(plan, c), left-c.tasks, cost+c.cost
	}
	return plan, cost
}

// preemptOne stops a task for a more urgent one; with a gang's, the gang: in order,
// or at once where its progress can't be saved all the same.
func (d *scheduler) preemptOne(v *cluster.Attempt, now time.Time) {
	switch {
	case !v.Job.Spec.Gang || !v.Job.Gang.Started:
		d.stopAttempt(v, v.Job.Spec.SaveS)
	case d.gangReachable(v.Job, now):
		d.stopGang(v.Job)
	default:
		d.abortGang(v.Job)
	}
}
