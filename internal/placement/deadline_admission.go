package placement

import (
	"container/heap"
	"time"

	"sagevale/internal/clock"
	"sagevale/internal/cluster"
)

// deadlineAdmission decides which jobs with deadlines can start in time. It assumes that tasks start at the rate at
// which running tasks complete and free their resources. Like the Moore-Hodgson algorithm, admit admits jobs in the
// order of the times by which they must start. Whenever a job would start late, admit drops the admitted job with the
// most startable tasks. This way, as many jobs as possible start in time if not all of them can.
type deadlineAdmission struct {
	completionRate float64 // tasks per second that complete and free their resources; 0 if unknown
	admittedTasks  int     // startable tasks of the jobs admitted so far
	now            time.Time
	urgencies      map[*cluster.Job]urgency
}

// admissionCandidate is a job with the alternative times by which it may start, earliest first. If the job can't start
// by the earliest time, admit tries the next one.
type admissionCandidate struct {
	job     *cluster.Job
	startBy []time.Time
}

// admit assigns the rank to the jobs that can start in time, and returns the other jobs. startTimes returns the times
// by which a job must start to get this rank; starting by any of them suffices.
func (d *deadlineAdmission) admit(jobs []*cluster.Job, rank int, startTimes func(*cluster.Job) []time.Time) (rejected []*cluster.Job) {
	var waiting earliestFirst
	for _, j := range jobs {
		if c := (admissionCandidate{j, d.upcoming(startTimes(j))}); len(c.startBy) > 0 {
			waiting = append(waiting, c)
		} else {
			rejected = append(rejected, j)
		}
	}
	heap.Init(&waiting)
	var admitted largestFirst
	for len(waiting) > 0 {
		next := heap.Pop(&waiting).(admissionCandidate)
		d.admittedTasks += next.job.Startable()
		heap.Push(&admitted, next)
		d.setRank(next.job, rank, next.startBy[0])
		if d.admittedCanStartBy(next.startBy[0]) {
			continue
		}
		dropped := heap.Pop(&admitted).(admissionCandidate)
		d.admittedTasks -= dropped.job.Startable()
		if dropped.startBy = dropped.startBy[1:]; len(dropped.startBy) > 0 {
			heap.Push(&waiting, dropped) // the job may still start by its next time
			continue
		}
		d.setRank(dropped.job, rankCannotMeetDeadline, dropped.job.Deadline())
		rejected = append(rejected, dropped.job)
	}
	return rejected
}

// admittedCanStartBy reports whether all admitted tasks can start by the given time. It returns true if the completion
// rate is unknown.
func (d *deadlineAdmission) admittedCanStartBy(startBy time.Time) bool {
	return d.completionRate == 0 || !d.now.Add(clock.Seconds(float64(d.admittedTasks)/d.completionRate)).After(startBy)
}

// setRank sets a job's rank and the time by which it must start. It doesn't change withinGuarantee.
func (d *deadlineAdmission) setRank(j *cluster.Job, rank int, startBy time.Time) {
	d.urgencies[j] = urgency{rank: rank, withinGuarantee: d.urgencies[j].withinGuarantee, startBy: startBy}
}

// upcoming returns the times that are after now. startBy must be sorted, earliest first.
func (d *deadlineAdmission) upcoming(startBy []time.Time) []time.Time {
	for len(startBy) > 0 && !startBy[0].After(d.now) {
		startBy = startBy[1:]
	}
	return startBy
}

// earliestFirst is a min-heap of candidates by the time by which they must start.
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

// largestFirst is a max-heap of candidates by their number of startable tasks.
type largestFirst []admissionCandidate

func (h largestFirst) Len() int           { return len(h) }
func (h largestFirst) Less(a, b int) bool { return h[a].job.Startable() > h[b].job.Startable() }
func (h largestFirst) Swap(a, b int)      { h[a], h[b] = h[b], h[a] }
func (h *largestFirst) Push(x any)        { *h = append(*h, x.(admissionCandidate)) }
func (h *largestFirst) Pop() any          { return popLast((*[]admissionCandidate)(h)) }

// popLast removes and returns the last element of a list.
func popLast(list *[]admissionCandidate) admissionCandidate {
	last := len(*list) - 1
	c := (*list)[last]
	*list = (*list)[:last]
	return c
}
