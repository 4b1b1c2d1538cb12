package coordination

import (
	"container/heap"
	"sort"
	"time"

	"sagevale/internal/storage"
)

// due is when the job should be complete; jobs without a deadline come as if
// they had been due at once.
func (j *job) due() time.Time {
	if j.spec.DeadlineS > 0 {
		return j.submitted.Add(seconds(j.spec.DeadlineS))
	}
	return j.submitted
}

// The ranks of waiting work of one priority, first to last.
const (
	rankLastCall      = iota // its class's bound on waiting is nearly missed
	rankTimely               // it can start as promptly as its team's guarantee has it, or be done by its deadline
	rankLate                 // it can be done within lateTimes its deadline
	rankRest                 // a lost deadline isn't made better by losing others
	rankOpportunistic        // nobody has stated when it should be done
)

const (
	// lateTimes a deadline is how long late work is still worth hurrying.
	lateTimes = 1.5
	// lastCall is how much of its class's bound on waiting a job has left when
	// it is called before all others.
	lastCall = 1.0 / 8
)

// urgency is a waiting job's place among those of its priority.
type urgency struct {
	rank   int
	within bool      // its team's guarantee covers it
	by     time.Time // when it must start for what its rank is about
	held   int       // places it has or had, if it is opportunistic: jobs with few come first
}

// byUrgency sorts waiting jobs: priority first, then what can still be in time
// for something, then the work within its team's guarantee, then the earlier due.
func (d *dispatcher) byUrgency(jobs []*job, now time.Time) {
	keys := d.urgencies(jobs, now)
	sort.SliceStable(jobs, func(x, y int) bool {
		a, b := jobs[x], jobs[y]
		ka, kb := keys[a], keys[b]
		switch {
		case a.spec.Priority != b.spec.Priority:
			return a.spec.Priority > b.spec.Priority
		case ka.rank != kb.rank:
			return ka.rank < kb.rank
		case ka.within != kb.within:
			return ka.within
		case ka.held != kb.held:
			return ka.held < kb.held
		case !ka.by.Equal(kb.by):
			return ka.by.Before(kb.by)
		}
		return a.spec.ID < b.spec.ID
	})
}

// urgencies ranks the jobs. When more waits than can be in time, the most jobs
// are if the largest of those that stand in the others' way are let go: each
// rank takes its jobs by when they must start, as long as places come free fast
// enough, and lets go of the largest so far where they don't.
func (d *dispatcher) urgencies(jobs []*job, now time.Time) map[*job]urgency {
	keys := make(map[*job]urgency, len(jobs))
	within := d.guaranteed()
	groups := make(map[storage.Priority][]*job)
	for _, j := range jobs {
		switch {
		case d.settings.opportunistic(&j.spec):
			keys[j] = urgency{rank: rankOpportunistic, by: j.due(), held: j.held()}
		case j.spec.Service || j.spec.DeadlineS <= 0:
			keys[j] = urgency{rank: rankTimely, within: within[j], by: j.due()}
		default:
			keys[j] = urgency{rank: rankRest, within: within[j], by: j.due()}
			groups[j.spec.Priority] = append(groups[j.spec.Priority], j)
		}
	}
	f := &deadlineAdmission{pace: d.batchPace(now), now: now, keys: keys}
	for p := storage.Production; p >= storage.BestEffort; p-- {
		left := groups[p]
		for rank := rankLastCall; rank < rankRest; rank++ {
			left = f.fill(left, rank, func(j *job) []time.Time { return d.startBy(j, rank, keys[j].within, now) })
		}
	}
	return keys
}

// deadlineAdmission ranks jobs into the places that come free.
type deadlineAdmission struct {
	pace  float64 // places a second; 0: not known
	ahead int     // tasks ranked so far
	now   time.Time
	keys  map[*job]urgency
}

// bid is a job with the times by which it must start, the next one first.
type bid struct {
	j  *job
	by []time.Time
}

// fill ranks the jobs that can be in time and returns the others.
func (f *deadlineAdmission) fill(jobs []*job, rank int, bounds func(*job) []time.Time) (left []*job) {
	var bids earliest
	for _, j := range jobs {
		if b := (bid{j, f.coming(bounds(j))}); len(b.by) > 0 {
			bids = append(bids, b)
		} else {
			left = append(left, j)
		}
	}
	heap.Init(&bids)
	var taken largest
	for len(bids) > 0 {
		b := heap.Pop(&bids).(bid)
		f.ahead += b.j.tries()
		heap.Push(&taken, b)
		f.keys[b.j] = urgency{rank: rank, within: f.keys[b.j].within, by: b.by[0]}
		if f.pace == 0 || !f.now.Add(seconds(float64(f.ahead)/f.pace)).After(b.by[0]) {
			continue
		}
		out := heap.Pop(&taken).(bid)
		f.ahead -= out.j.tries()
		if out.by = out.by[1:]; len(out.by) > 0 {
			heap.Push(&bids, out) // it has a later chance
			continue
		}
		f.keys[out.j] = urgency{rank: rankRest, within: f.keys[out.j].within, by: out.j.due()}
		left = append(left, out.j)
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
func (d *dispatcher) startBy(j *job, rank int, within bool, now time.Time) []time.Time {
	run := seconds(d.runTime(j))
	switch rank {
	case rankLastCall:
		bound := d.settings.startWithin(j.spec.Class)
		if by := j.submitted.Add(bound); by.Sub(now) < scale(bound, lastCall) {
			return []time.Time{by}
		}
	case rankTimely:
		due, prompt := j.due().Add(-run), j.submitted.Add(d.settings.promptStart())
		switch {
		case !within:
			return []time.Time{due}
		case prompt.Before(due):
			return []time.Time{prompt, due}
		}
		return []time.Time{due, prompt}
	case rankLate:
		return []time.Time{j.submitted.Add(seconds(j.spec.DeadlineS * lateTimes)).Add(-run)}
	}
	return nil
}

// batchPace is how many places ending work gives free in a second; 0: not known.
func (d *dispatcher) batchPace(now time.Time) float64 {
	places, runS := 0, 0.0
	for _, j := range d.jobs.open {
		if n := len(j.attempts); !j.spec.Service && n > 0 && !d.settings.opportunistic(&j.spec) {
			places += n
			runS += float64(n) * d.runTime(j)
		}
	}
	if runS <= 0 {
		return 0
	}
	return float64(places) * float64(places) / runS
}

// earliest is a heap of bids, those that must start first on top.
type earliest []bid

func (h earliest) Len() int { return len(h) }
func (h earliest) Less(a, b int) bool {
	if !h[a].by[0].Equal(h[b].by[0]) {
		return h[a].by[0].Before(h[b].by[0])
	}
	return h[a].j.spec.ID < h[b].j.spec.ID
}
func (h earliest) Swap(a, b int) { h[a], h[b] = h[b], h[a] }
func (h *earliest) Push(x any)   { *h = append(*h, x.(bid)) }
func (h *earliest) Pop() any     { return pop((*[]bid)(h)) }

// largest is a heap of bids, the one with the most tasks on top.
type largest []bid

func (h largest) Len() int           { return len(h) }
func (h largest) Less(a, b int) bool { return h[a].j.tries() > h[b].j.tries() }
func (h largest) Swap(a, b int)      { h[a], h[b] = h[b], h[a] }
func (h *largest) Push(x any)        { *h = append(*h, x.(bid)) }
func (h *largest) Pop() any          { return pop((*[]bid)(h)) }

func pop(list *[]bid) bid {
	n := len(*list) - 1
	b := (*list)[n]
	*list = (*list)[:n]
	return b
}

// guaranteed finds the open jobs that lie within their team's guarantee: they
// fit into it together with the team's earlier unfinished jobs.
func (d *dispatcher) guaranteed() map[*job]bool {
	byTeam := make(map[string][]*job)
	for _, j := range d.jobs.open {
		if t := d.settings.team(j.spec.Team); j.phase == storage.Open && t != nil && t.Guarantee != (storage.Room{}) {
			byTeam[t.Name] = append(byTeam[t.Name], j)
		}
	}
	out := make(map[*job]bool)
	for name, jobs := range byTeam {
		sort.Slice(jobs, func(x, y int) bool { return jobs[x].submitted.Before(jobs[y].submitted) })
		guarantee := d.settings.team(name).Guarantee
		var used storage.Room
		for _, j := range jobs {
			used = used.Plus(j.spec.Room.Times(j.spec.Tasks - j.done))
			out[j] = storage.WithinLimit(used, guarantee)
		}
	}
	return out
}
