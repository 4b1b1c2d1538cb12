package scheduler

import (
	"container/heap"
	"sort"
	"time"

	"sagevale/internal/clock"
	"sagevale/internal/cluster"
	"sagevale/internal/storage"
)

// The ranks of waiting work of one priority, first to last.
const (
	rankStartAtRisk   = iota // its class's bound on waiting is nearly missed
	rankOnTime               // it can start as promptly as its team's guarantee has it, or be done by its deadline
	rankLate                 // it can be done within lateTimes its deadline
	rankHopeless             // a lost deadline isn't made better by losing others
	rankOpportunistic        // nobody has stated when it should be done
)

const (
	// lateTimes a deadline is how long late work is still worth hurrying.
	lateTimes = 1.5
	// startAtRiskShare is how much of its class's bound on waiting a job has left when
	// it is called before all others.
	startAtRiskShare = 1.0 / 8
)

// urgency is a waiting job's place among those of its priority.
type urgency struct {
	rank        int
	withinQuota bool      // its team's guarantee covers it
	startBy     time.Time // when it must start for what its rank is about
	allocated   int       // places it has or had, if it is opportunistic: jobs with few come first
}

// byUrgency sorts waiting jobs: priority first, then what can still be in time
// for something, then the work within its team's guarantee, then the earlier due.
func (d *scheduler) byUrgency(jobs []*cluster.Job, now time.Time) {
	keys := d.urgencies(jobs, now)
	sort.SliceStable(jobs, func(x, y int) bool {
		a, b := jobs[x], jobs[y]
		ka, kb := keys[a], keys[b]
		switch {
		case a.Spec.Priority != b.Spec.Priority:
			return a.Spec.Priority > b.Spec.Priority
		case ka.rank != kb.rank:
			return ka.rank < kb.rank
		case ka.withinQuota != kb.withinQuota:
			return ka.withinQuota
		case ka.allocated != kb.allocated:
			return ka.allocated < kb.allocated
		case !ka.startBy.Equal(kb.startBy):
			return ka.startBy.Before(kb.startBy)
		}
		return a.Spec.ID < b.Spec.ID
	})
}

// urgencies ranks the jobs. When more waits than can be in time, the most jobs
// are if the largest of those that stand in the others' way are let go: each
// rank takes its jobs by when they must start, as long as places come free fast
// enough, and lets go of the largest so far where they don't.
func (d *scheduler) urgencies(jobs []*cluster.Job, now time.Time) map[*cluster.Job]urgency {
	keys := make(map[*cluster.Job]urgency, len(jobs))
	within := d.jobsWithinGuarantee()
	groups := make(map[storage.Priority][]*cluster.Job)
	for _, j := range jobs {
		switch {
		case d.settings.IsOpportunistic(&j.Spec):
			keys[j] = urgency{rank: rankOpportunistic, startBy: j.Deadline(), allocated: j.Allocated()}
		case j.Spec.Service || j.Spec.DeadlineS <= 0:
			keys[j] = urgency{rank: rankOnTime, withinQuota: within[j], startBy: j.Deadline()}
		default:
			keys[j] = urgency{rank: rankHopeless, withinQuota: within[j], startBy: j.Deadline()}
			groups[j.Spec.Priority] = append(groups[j.Spec.Priority], j)
		}
	}
	f := &deadlineAdmission{pace: d.batchPace(now), now: now, keys: keys}
	for p := storage.Production; p >= storage.BestEffort; p-- {
		left := groups[p]
		for rank := rankStartAtRisk; rank < rankHopeless; rank++ {
			left = f.fill(left, rank, func(j *cluster.Job) []time.Time { return d.startBy(j, rank, keys[j].withinQuota, now) })
		}
	}
	return keys
}

// deadlineAdmission ranks jobs into the places that come free.
type deadlineAdmission struct {
	pace  float64 // places a second; 0: not known
	ahead int     // tasks ranked so far
	now   time.Time
	keys  map[*cluster.Job]urgency
}

// admissionCandidate is a job with the times by which it must start, the next one first.
type admissionCandidate struct {
	job     *cluster.Job
	startBy []time.Time
}

// fill ranks the jobs that can be in time and returns the others.
func (f *deadlineAdmission) fill(jobs []*cluster.Job, rank int, bounds func(*cluster.Job) []time.Time) (left []*cluster.Job) {
	var bids earliestFirst
	for _, j := range jobs {
		if b := (admissionCandidate{j, f.coming(bounds(j))}); len(b.startBy) > 0 {
			bids = append(bids, b)
		} else {
			left = append(left, j)
		}
	}
	heap.Init(&bids)
	var taken largestFirst
	for len(bids) > 0 {
		b := heap.Pop(&bids).(admissionCandidate)
		f.ahead += b.job.Startable()
		heap.Push(&taken, b)
		f.keys[b.job] = urgency{rank: rank, withinQuota: f.keys[b.job].withinQuota, startBy: b.startBy[0]}
		if f.pace == 0 || !f.now.Add(clock.Seconds(float64(f.ahead)/f.pace)).After(b.startBy[0]) {
			continue
		}
		out := heap.Pop(&taken).(admissionCandidate)
		f.ahead -= out.job.Startable()
		if out.startBy = out.startBy[1:]; len(out.startBy) > 0 {
			heap.Push(&bids, out) // it has a later chance
			continue
		}
		f.keys[out.job] = urgency{rank: rankHopeless, withinQuota: f.keys[out.job].withinQuota, startBy: out.job.Deadline()}
		left = append(left, out.job)
	}
	return left
}

// coming leaves out what is past.
func (f *deadlineAdmission) coming(by []time.Time) []time.Time {
	for len(by) > 0 && !by[0].After(f.now) {
		by = by[1:]
	}
	return by
}

// startBy is when a job must start to be in time for what a rank is about, its
// chances in order; none if that doesn't concern it.
func (d *scheduler) startBy(j *cluster.Job, rank int, within bool, now time.Time) []time.Time {
	run := clock.Seconds(d.state.Classes.RunSeconds(j))
	switch rank {
	case rankStartAtRisk:
		bound := d.settings.StartObjective(j.Spec.Class)
		if by := j.Submitted.Add(bound); by.Sub(now) < clock.Scale(bound, startAtRiskShare) {
			return []time.Time{by}
		}
	case rankOnTime:
		due, prompt := j.Deadline().Add(-run), j.Submitted.Add(d.settings.GuaranteedStartObjective())
		switch {
		case !within:
			return []time.Time{due}
		case prompt.Before(due):
			return []time.Time{prompt, due}
		}
		return []time.Time{due, prompt}
	case rankLate:
		return []time.Time{j.Submitted.Add(clock.Seconds(j.Spec.DeadlineS * lateTimes)).Add(-run)}
	}
	return nil
}

// batchPace is how many places ending work gives free in a second; 0: not known.
func (d *scheduler) batchPace(now time.Time) float64 {
	places, runS := 0, 0.0
	for _, j := range d.state.Jobs.Open {
		if n := len(j.Attempts); !j.Spec.Service && n > 0 && !d.settings.IsOpportunistic(&j.Spec) {
			places += n
			runS += float64(n) * d.state.Classes.RunSeconds(j)
		}
	}
	if runS <= 0 {
		return 0
	}
	return float64(places) * float64(places) / runS
}

// earliestFirst is a heap of bids, those that must start first on top.
type earliestFirst []admissionCandidate

func (h earliestFirst) Len() int { return len(h) }
func (h earliestFirst) Less(a, b int) bool {
	if !h[a].startBy[0].Equal(h[b].startBy[0]) {
		return h[a].startBy[0].Before(h[b].startBy[0])
	}
	return h[a].job.Spec.ID < h[b].job.Spec.ID
}
func (h earliestFirst) Swap(a, b int) { h[a], h[b] = h[b], h[a] }
func (h *earliestFirst) Push(x any)   { *h = append(*h, x.(admissionCandidate)) }
func (h *earliestFirst) Pop() any     { return pop((*[]admissionCandidate)(h)) }

// largestFirst is a heap of bids, the one with the most tasks on top.
type largestFirst []admissionCandidate

func (h largestFirst) Len() int           { return len(h) }
func (h largestFirst) Less(a, b int) bool { return h[a].job.Startable() > h[b].job.Startable() }
func (h largestFirst) Swap(a, b int)      { h[a], h[b] = h[b], h[a] }
func (h *largestFirst) Push(x any)        { *h = append(*h, x.(admissionCandidate)) }
func (h *largestFirst) Pop() any          { return pop((*[]admissionCandidate)(h)) }

func pop(list *[]admissionCandidate) admissionCandidate {
	n := len(*list) - 1
	b := (*list)[n]
	*list = (*list)[:n]
	return b
}

// jobsWithinGuarantee finds the open jobs that lie within their team's guarantee: they
// fit into it together with the team's earlier unfinished jobs.
func (d *scheduler) jobsWithinGuarantee() map[*cluster.Job]bool {
	byTeam := make(map[string][]*cluster.Job)
	for _, j := range d.state.Jobs.Open {
		if t := d.settings.Team(j.Spec.Team); j.Phase == storage.Open && t != nil && t.Guarantee != (storage.Resources{}) {
			byTeam[t.Name] = append(byTeam[t.Name], j)
		}
	}
	out := make(map[*cluster.Job]bool)
	for name, jobs := range byTeam {
		sort.Slice(jobs, func(x, y int) bool { return jobs[x].Submitted.Before(jobs[y].Submitted) })
		guarantee := d.settings.Team(name).Guarantee
		var used storage.Resources
		for _, j := range jobs {
			used = used.Add(j.Spec.Resources.Mul(j.Spec.Tasks - j.Done))
			out[j] = storage.WithinLimit(used, guarantee)
		}
	}
	return out
}
