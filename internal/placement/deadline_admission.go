package placement

import (
	"container/heap"
	"time"

	"sagevale/internal/clock"
	"sagevale/internal/cluster"
)

// deadlineAdmission ranks jobs with deadlines into the places that become free. When more waits than can be
// in time, the most jobs are if the largest of those that stand in the others' way are passed over: each
// rank admits its jobs by when they must start, as long as places become free fast enough, and passes
// over the largest so far where they don't.
type deadlineAdmission struct {
	pace      float64 // places a second; 0: not known
	ahead     int     // tasks admitted so far
	now       time.Time
	urgencies map[*cluster.Job]urgency
}

// admissionCandidate is a job with the times by which it must start, the next one first.
type admissionCandidate struct {
	job     *cluster.Job
	startBy []time.Time
}

// admit ranks the jobs that can be in time and returns the others.
func (d *deadlineAdmission) admit(jobs []*cluster.Job, rank int, bounds func(*cluster.Job) []time.Time) (left []*cluster.Job) {
	var waiting earliestFirst
	for _, j := range jobs {
		if c := (admissionCandidate{j, d.upcoming(bounds(j))}); len(c.startBy) > 0 {
			waiting = append(waiting, c)
		} else {
			left = append(left, j)
		}
	}
	heap.Init(&waiting)
	var admitted largestFirst
	for len(waiting) > 0 {
		next := heap.Pop(&waiting).(admissionCandidate)
		d.ahead += next.job.Startable()
		heap.Push(&admitted, next)
		d.rank(next.job, rank, next.startBy[0])
		if d.inTime(next.startBy[0]) {
			continue
		}
		passed := heap.Pop(&admitted).(admissionCandidate)
		d.ahead -= passed.job.Startable()
		if passed.startBy = passed.startBy[1:]; len(passed.startBy) > 0 {
			heap.Push(&waiting, passed) // it has a later chance
			continue
		}
		d.rank(passed.job, rankHopeless, passed.job.Deadline())
		left = append(left, passed.job)
	}
	return left
}

// inTime reports whether all that is admitted has a place by then.
func (d *deadlineAdmission) inTime(startBy time.Time) bool {
	return d.pace == 0 || !d.now.Add(clock.Seconds(float64(d.ahead)/d.pace)).After(startBy)
}

func (d *deadlineAdmission) rank(j *cluster.Job, rank int, startBy time.Time) {
	d.urgencies[j] = urgency{rank: rank, withinQuota: d.urgencies[j].withinQuota, startBy: startBy}
}

// upcoming leaves out the times that have passed.
func (d *deadlineAdmission) upcoming(startBy []time.Time) []time.Time {
	for len(startBy) > 0 && !startBy[0].After(d.now) {
		startBy = startBy[1:]
	}
	return startBy
}

// earliestFirst is a heap of candidates, the one that must start first on top.
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
func (h *earliestFirst) Pop() any     { return popLast((*[]admissionCandidate)(h)) }

// largestFirst is a heap of candidates, the one with the most tasks on top.
type largestFirst []admissionCandidate

func (h largestFirst) Len() int           { return len(h) }
func (h largestFirst) Less(a, b int) bool { return h[a].job.Startable() > h[b].job.Startable() }
func (h largestFirst) Swap(a, b int)      { h[a], h[b] = h[b], h[a] }
func (h *largestFirst) Push(x any)        { *h = append(*h, x.(admissionCandidate)) }
func (h *largestFirst) Pop() any          { return popLast((*[]admissionCandidate)(h)) }

func popLast(list *[]admissionCandidate) admissionCandidate {
	last := len(*list) - 1
	c := (*list)[last]
	*list = (*list)[:last]
	return c
}
