package placement

import (
	"sort"
	"time"

	"sagevale/internal/clock"
	"sagevale/internal/cluster"
	"sagevale/internal/storage"
)

// The ranks of waiting jobs of one priority, most urgent first.
const (
	rankStartAtRisk        = iota // the job is close to missing the start objective of its class
	rankOnTime                    // the job can meet its deadline or the start objective for guaranteed work
	rankLate                      // the job didn't get rankOnTime, but can complete soon after its deadline, see lateFactor
	rankCannotMeetDeadline        // the job can't meet its deadline any more and must not make others miss theirs
	rankOpportunistic             // opportunistic work has no deadline and no objective
)

const (
	// lateFactor determines which jobs get rankLate: those that can complete within lateFactor times the time from
	// their submission to their deadline.
	lateFactor = 1.5
	// startAtRiskShare determines which jobs get rankStartAtRisk: those with less than this fraction of their
	// class's start objective left.
	startAtRiskShare = 1.0 / 8
)

// urgency determines the order of the waiting jobs of one priority.
type urgency struct {
	rank            int
	withinGuarantee bool      // the job is within its team's guarantee
	startBy         time.Time // time by which the job must start to get its rank; Job.Deadline if the rank implies no such time
	allocated       int       // number of an opportunistic job's tasks that have an attempt or are done
}

// sortByUrgency sorts waiting jobs, most urgent first. It compares two jobs by the following criteria. The first one in
// which they differ decides.
//
//   - The job with the higher priority goes first.
//   - The job with the lower rank goes first.
//   - A job within its team's guarantee goes first.
//   - The opportunistic job with fewer allocated tasks goes first.
//   - The job with the earlier startBy time goes first.
//   - The job with the smaller ID goes first.
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
		case ua.withinGuarantee != ub.withinGuarantee:
			return ua.withinGuarantee
		case ua.allocated != ub.allocated:
			return ua.allocated < ub.allocated
		case !ua.startBy.Equal(ub.startBy):
			return ua.startBy.Before(ub.startBy)
		}
		return a.Spec.ID < b.Spec.ID
	})
}

// urgencies returns the urgency of each job. deadlineAdmission ranks the batch jobs with a deadline, one priority after
// the other, beginning with the highest.
func (p *Planner) urgencies(jobs []*cluster.Job, now time.Time) map[*cluster.Job]urgency {
	urgencies := make(map[*cluster.Job]urgency, len(jobs))
	withinGuarantee := p.jobsWithinGuarantee()
	withDeadline := make(map[storage.Priority][]*cluster.Job)
	for _, j := range jobs {
		switch {
		case p.settings.IsOpportunistic(&j.Spec):
			urgencies[j] = urgency{rank: rankOpportunistic, startBy: j.Deadline(), allocated: j.AllocatedTasks()}
		case j.Spec.Service || j.Spec.DeadlineS <= 0:
			urgencies[j] = urgency{rank: rankOnTime, withinGuarantee: withinGuarantee[j], startBy: j.Deadline()}
		default:
			urgencies[j] = urgency{rank: rankCannotMeetDeadline, withinGuarantee: withinGuarantee[j], startBy: j.Deadline()}
			withDeadline[j.Spec.Priority] = append(withDeadline[j.Spec.Priority], j)
		}
	}
	admission := &deadlineAdmission{completionRate: p.batchCompletionRate(), now: now, urgencies: urgencies}
	for priority := storage.PriorityProduction; priority >= storage.PriorityBestEffort; priority-- {
		remaining := withDeadline[priority]
		for rank := rankStartAtRisk; rank < rankCannotMeetDeadline; rank++ { //nolint:modernize // the first rank need not be 0
			remaining = admission.admit(remaining, rank, func(j *cluster.Job) []time.Time {
				return p.startTimes(j, rank, urgencies[j].withinGuarantee, now)
			})
		}
	}
	return urgencies
}

// startTimes returns the times by which a job must start to get a rank, earliest first. For rankOnTime there may be
// two times, and a start by either of them suffices. If the rank doesn't apply to the job, the result is nil.
func (p *Planner) startTimes(j *cluster.Job, rank int, withinGuarantee bool, now time.Time) []time.Time {
	runTime := clock.Seconds(p.state.Classes.RunSeconds(j))
	switch rank {
	case rankStartAtRisk:
		objective := p.settings.StartObjective(j.Spec.Class)
		if startBy := j.Submitted.Add(objective); startBy.Sub(now) < clock.Scale(objective, startAtRiskShare) {
			return []time.Time{startBy}
		}
	case rankOnTime:
		forDeadline, forObjective := j.Deadline().Add(-runTime), j.Submitted.Add(p.settings.GuaranteedStartObjective())
		switch {
		case !withinGuarantee:
			return []time.Time{forDeadline}
		case forObjective.Before(forDeadline):
			return []time.Time{forObjective, forDeadline}
		}
		return []time.Time{forDeadline, forObjective}
	case rankLate:
		return []time.Time{j.Submitted.Add(clock.Seconds(j.Spec.DeadlineS * lateFactor)).Add(-runTime)}
	}
	return nil
}

// batchCompletionRate returns the rate, in tasks per second, at which the running tasks of batch jobs are expected to
// complete. Opportunistic jobs don't count. It returns 0 if the rate is unknown.
func (p *Planner) batchCompletionRate() float64 {
	tasks, runSeconds := 0, 0.0
	for _, j := range p.state.Jobs.Open {
		if n := len(j.Attempts); !j.Spec.Service && n > 0 && !p.settings.IsOpportunistic(&j.Spec) {
			tasks += n
			runSeconds += float64(n) * p.state.Classes.RunSeconds(j)
		}
	}
	if runSeconds <= 0 {
		return 0
	}
	return float64(tasks) * float64(tasks) / runSeconds
}

// jobsWithinGuarantee returns the open jobs that are within their team's guarantee. For each team it adds up the
// resources of the unfinished tasks, job by job in the order of submission. A job is within the guarantee if the sum up
// to and including this job doesn't exceed the guarantee.
func (p *Planner) jobsWithinGuarantee() map[*cluster.Job]bool {
	byTeam := make(map[string][]*cluster.Job)
	for _, j := range p.state.Jobs.Open {
		if t := p.settings.Team(j.Spec.Team); j.Phase == storage.PhaseOpen && t != nil && t.Guarantee != (storage.Resources{}) {
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
