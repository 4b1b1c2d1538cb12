package placement

import "sagevale/internal/cluster"

// Opportunistic work is best-effort work of a team without a guarantee, for which neither a deadline nor another
// objective is set. It runs on idle resources: it uses neither the headroom that is reserved for other work nor
// the CPUs and memory that free GPUs need. Work of higher priority and work within its team's guarantee may preempt
// it. Opportunistic jobs share the idle resources evenly, so that large jobs start too.

// opportunisticShare returns the maximum number of tasks that one round places of each opportunistic job. jobs is the
// number of opportunistic jobs with waiting tasks. The result is at least 1.
func opportunisticShare(jobs int) int { return max(1, MaxPlacementsPerRound/max(1, jobs)) }

// countOpportunistic returns the number of opportunistic jobs among the waiting jobs.
func (p *Planner) countOpportunistic(waiting []*cluster.Job) int {
	n := 0
	for _, j := range waiting {
		if p.settings.IsOpportunistic(&j.Spec) {
			n++
		}
	}
	return n
}

// placeOpportunistic places waiting tasks of an opportunistic job, at most r.opportunisticShare of them. Before it
// places the first opportunistic job of a round, it subtracts the headroom from the free resources.
func (p *Planner) placeOpportunistic(j *cluster.Job, r *round) {
	if !r.headroomReserved {
		r.headroomReserved = true
		p.reserveHeadroom(r)
	}
	before := len(r.reserved)
	p.placeTasks(j, min(r.opportunisticShare, j.Startable()), r)
	if j.Waiting > 0 && len(r.reserved)-before == r.opportunisticShare {
		r.unfinished = true // there may be more idle resources
	}
}

// reserveHeadroom subtracts the headroom, as far as it fits, from the free resources of the round's candidates.
func (p *Planner) reserveHeadroom(r *round) {
	for _, headroom := range p.headroom {
		zones := NewZoneCheck(headroom.Job)
		for n := headroom.Tasks; n > 0; n-- {
			c := p.BestFit(r.candidates, headroom.Job, &zones, AcceptAny)
			if c == nil {
				break
			}
			c.Free = c.Free.Sub(headroom.Job.Spec.Resources)
			zones.Add(c.Zone, 1)
		}
	}
}
