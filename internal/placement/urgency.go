package placement

import (
	"sort"
	"time"

	"sagevale/internal/clock"
	"sagevale/internal/cluster"
	"sagevale/internal/storage"
)

// The ranks of waiting work of one priority, first to last.
const (
	rankStartAtRisk   = iota // the objective of its class for the time until a start is nearly missed
	rankOnTime               // it can start as promptly as its team's guarantee has it, or be done by its deadline
	rankLate                 // it can be done within lateFactor of its deadline
	rankHopeless             // a lost deadline isn't made better by losing others
	rankOpportunistic        // nobody has stated when it should be done
)

const (
	// lateFactor is up to what multiple of its deadline late work is still worth hurrying.
	lateFactor = 1.5
	// startAtRiskShare is how much of its class's bound on waiting a job has left when it goes before
	// all others.
	startAtRiskShare = 1.0 / 8
)

// urgency is a waiting job's place among those of its priority.
type urgency struct {
	rank        int
	withinQuota bool      // its team's guarantee covers it
	startBy     time.Time // when it must start for what its rank is about
	allocated   int       // tasks that have or had a machine, of opportunistic work: jobs with few come first
}

// sortByUrgency sorts waiting jobs: by priority, then by what can still be in time for something, then the work
// within its team's guarantee, then by when it must start.
func (p *Planner) sortByUrgency(jobs []*cluster.Job, now time.Time) {
	urgencies := p.urgencies(jobs, now)
	sort.SliceStable(jobs, func(x, y int) bool {
		a, b := jobs[x], jobs[y]
		ua, ub := urgencies[a], urgencies[b]
		switch {
		case a.Spec.Priority != b.Spec.Priority:
			return a.Spec.Priority > b.Spec.Priority
		case ua.rank != ub.rank:
			return ua.rank < ub.rank
		case ua.withinQuota != ub.withinQuota:
			return ua.withinQuota
		case ua.allocated != ub.allocated:
			return ua.allocated < ub.allocated
		case !ua.startBy.Equal(ub.startBy):
			return ua.startBy.Before(ub.startBy)
		}
		return a.Spec.ID < b.Spec.ID
	})
}

// urgencies ranks the jobs. Jobs with a deadline are ranked by deadlineAdmission, each priority after the
// next higher one.
func (p *Planner) urgencies(jobs []*cluster.Job, now time.Time) map[*cluster.Job]urgency {
	urgencies := make(map[*cluster.Job]urgency, len(jobs))
	withinQuota := p.jobsWithinGuarantee()
	withDeadline := make(map[storage.Priority][]*cluster.Job)
	for _, j := range jobs {
		switch {
		case p.settings.IsOpportunistic(&j.Spec):
			urgencies[j] = urgency{rank: rankOpportunistic, startBy: j.Deadline(), allocated: j.Allocated()}
		case j.Spec.Service || j.Spec.DeadlineS <= 0:
			urgencies[j] = urgency{rank: rankOnTime, withinQuota: withinQuota[j], startBy: j.Deadline()}
		default:
			urgencies[j] = urgency{rank: rankHopeless, withinQuota: withinQuota[j], startBy: j.Deadline()}
			withDeadline[j.Spec.Priority] = append(withDeadline[j.Spec.Priority], j)
		}
	}
	admission := &deadlineAdmission{pace: p.batchPace(), now: now, urgencies: urgencies}
	for priority := storage.Production; priority >= storage.BestEffort; priority-- {
		left := withDeadline[priority]
		for rank := rankStartAtRisk; rank < rankHopeless; rank++ { //nolint:modernize // the first rank is named, whatever its value
			left = admission.admit(left, rank, func(j *cluster.Job) []time.Time {
				return p.startBounds(j, rank, urgencies[j].withinQuota, now)
			})
		}
	}
	return urgencies
}

// startBounds returns by when a job must start to be in time for what a rank is about, its chances in order;
// none if the rank doesn't concern it.
func (p *Planner) startBounds(j *cluster.Job, rank int, withinQuota bool, now time.Time) []time.Time {
	run := clock.Seconds(p.state.Classes.RunSeconds(j))
	switch rank {
	case rankStartAtRisk:
		objective := p.settings.StartObjective(j.Spec.Class)
		if startBy := j.Submitted.Add(objective); startBy.Sub(now) < clock.Scale(objective, startAtRiskShare) {
			return []time.Time{startBy}
		}
	case rankOnTime:
		byDeadline, prompt := j.Deadline().Add(-run), j.Submitted.Add(p.settings.GuaranteedStartObjective())
		switch {
		case !withinQuota:
			return []time.Time{byDeadline}
		case prompt.Before(byDeadline):
			return []time.Time{prompt, byDeadline}
		}
		return []time.Time{byDeadline, prompt}
	case rankLate:
		return []time.Time{j.Submitted.Add(clock.Seconds(j.Spec.DeadlineS * lateFactor)).Add(-run)}
	}
	return nil
}

// batchPace is how many machines' places the running work that ends frees in a second; 0: not known.
func (p *Planner) batchPace() float64 {
	places, runSeconds := 0, 0.0
	for _, j := range p.state.Jobs.Open {
		if n := len(j.Attempts); !j.Spec.Service && n > 0 && !p.settings.IsOpportunistic(&j.Spec) {
			places += n
			runSeconds += float64(n) * p.state.Classes.RunSeconds(j)
		}
	}
	if runSeconds <= 0 {
		return 0
	}
	return float64(places) * float64(places) / runSeconds
}

// jobsWithinGuarantee returns the open jobs that lie within their team's guarantee: they fit into it together
// with the team's earlier unfinished jobs.
func (p *Planner) jobsWithinGuarantee() map[*cluster.Job]bool {
	byTeam := make(map[string][]*cluster.Job)
	for _, j := range p.state.Jobs.Open {
		if t := p.settings.Team(j.Spec.Team); j.Phase == storage.Open && t != nil && t.Guarantee != (storage.Resources{}) {
			byTeam[t.Name] = append(byTeam[t.Name], j)
		}
	}
	within := make(map[*cluster.Job]bool)
	for name, jobs := range byTeam {
		sort.Slice(jobs, func(x, y int) bool { return jobs[x].Submitted.Before(jobs[y].Submitted) })
		guarantee := p.settings.Team(name).Guarantee
		var used storage.Resources
		for _, j := range jobs {
			used = used.Add(j.Spec.Resources.Mul(j.Spec.Tasks - j.Done))
			within[j] = storage.WithinLimit(used, guarantee)
		}
	}
	return within
}
