package placement

import "sagevale/internal/cluster"

// Opportunistic work is best-effort work for which nobody has stated when it should be done, of a team
// without a guarantee. It runs on idle resources: it takes neither the headroom that is kept for others nor
// what belongs to GPUs, and makes way for guaranteed work. Its jobs share what there is evenly, so that
// the largest ones begin too.

// opportunisticShare is how many tasks of one opportunistic job a round places at the most, with so many
// such jobs waiting.
func opportunisticShare(jobs int) int { return max(1, MaxPlacementsPerRound/max(1, jobs)) }

// countOpportunistic counts the opportunistic jobs among those that wait.
func (p *Planner) countOpportunistic(waiting []*cluster.Job) int {
	n := 0
	for _, j := range waiting {
		if p.settings.IsOpportunistic(&j.Spec) {
			n++
		}
	}
	return n
}

// placeOpportunistic places a job's share of what is idle.
func (p *Planner) placeOpportunistic(j *cluster.Job, r *round) {
	if !r.headroomReserved {
		r.headroomReserved = true
		p.reserveHeadroom(r)
	}
	before := len(r.reserved)
	p.placeTasks(j, min(r.tasksPerJob, j.Startable()), r)
	if j.Waiting > 0 && len(r.reserved)-before == r.tasksPerJob {
		r.unfinished = true // more may be idle
	}
}

// reserveHeadroom takes the headroom out of a round's candidates.
func (p *Planner) reserveHeadroom(r *round) {
	for _, kept := range p.headroom {
		zones := NewZoneCheck(kept.Job)
		for n := kept.Tasks; n > 0; n-- {
			c := p.Fullest(r.candidates, kept.Job, &zones, AnyCandidate)
			if c == nil {
				break
			}
			c.Free = c.Free.Sub(kept.Job.Spec.Resources)
			zones.Add(c.Zone, 1)
		}
	}
}
