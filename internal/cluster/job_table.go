package cluster

import (
	"maps"
	"slices"
	"time"

	"github.com/google/btree"

	"sagevale/internal/archive"
	"sagevale/internal/storage"
)

// JobTable is the jobs that the leader holds: the open ones, and the final ones that aren't archived.
type JobTable struct {
	byID       map[string]*Job
	Open       map[string]*Job // open jobs, and final ones with attempts left
	Cancelling map[string]*Job // cancelled jobs with attempts left
	OpenTasks  int             // tasks of the jobs in Open
	// finished are the final jobs that are durable and have no attempt left, in the order of the
	// archive.
	finished      *btree.BTreeG[finishedJob]
	archiveCursor archive.JobNumber // where NextFinished goes on
}

// finishedJob is a job that may be archived.
type finishedJob struct {
	number archive.JobNumber
	job    *Job
}

// finishedDegree is the degree of the tree: a node holds up to twice as many jobs.
const finishedDegree = 32

// NewJobTable returns an empty table.
func NewJobTable() *JobTable {
	return &JobTable{
		byID:       make(map[string]*Job),
		Open:       make(map[string]*Job),
		Cancelling: make(map[string]*Job),
		finished:   btree.NewG(finishedDegree, func(a, b finishedJob) bool { return a.number < b.number }),
	}
}

// Get returns a job, or nil.
func (t *JobTable) Get(id string) *Job { return t.byID[id] }

// Count is how many jobs there are.
func (t *JobTable) Count() int { return len(t.byID) }

// InOrder returns all jobs in the order of their submission.
func (t *JobTable) InOrder() []*Job {
	return slices.SortedFunc(maps.Values(t.byID), func(a, b *Job) int { return a.Submitted.Compare(b.Submitted) })
}

// Add enters a job without tracking it as open.
func (t *JobTable) Add(j *Job) { t.byID[j.Spec.ID] = j }

// AddOpen enters a job and tracks it as open.
func (t *JobTable) AddOpen(j *Job) {
	t.Add(j)
	t.TrackOpen(j)
}

// TrackOpen counts a job among those that are open or have attempts left.
func (t *JobTable) TrackOpen(j *Job) {
	t.Open[j.Spec.ID] = j
	t.OpenTasks += len(j.Tasks)
}

// ReleaseTasks frees the tasks of a final job that has no attempt left.
func (t *JobTable) ReleaseTasks(j *Job) {
	t.OpenTasks -= len(j.Tasks)
	j.Tasks, j.Waiting = nil, 0
	delete(t.Open, j.Spec.ID)
}

// TrackCancelling counts a job among the cancelled ones with attempts left.
func (t *JobTable) TrackCancelling(j *Job) { t.Cancelling[j.Spec.ID] = j }

// CurrentTasks is how many tasks of open jobs of a class run or wait, but for services that scale to zero.
func (t *JobTable) CurrentTasks(class string) int {
	tasks := 0
	for _, j := range t.Open {
		if j.Spec.Class == class && j.Phase == storage.Open && !j.ScalesToZero() {
			tasks += len(j.Attempts) + j.Waiting
		}
	}
	return tasks
}

// OpenGangs is how many gang jobs are open or have attempts left.
func (t *JobTable) OpenGangs() int {
	gangs := 0
	for _, j := range t.Open {
		if j.Spec.Gang {
			gangs++
		}
	}
	return gangs
}

// TrackFinished counts a job among those that may be archived.
func (t *JobTable) TrackFinished(j *Job) {
	if number, ok := archive.ParseJobNumber(j.Spec.ID); ok {
		t.finished.ReplaceOrInsert(finishedJob{number: number, job: j})
	}
}

// Finished is how many jobs may be archived.
func (t *JobTable) Finished() int { return t.finished.Len() }

// RemoveFinished removes a job that has been archived and returns it, or nil if it isn't here.
func (t *JobTable) RemoveFinished(number archive.JobNumber) *Job {
	f, found := t.finished.Delete(finishedJob{number: number})
	if !found {
		return nil
	}
	delete(t.byID, f.job.Spec.ID)
	return f.job
}

// NextFinished returns up to limit jobs that may be archived, in order, from where the last call ended;
// after the last one it begins anew.
func (t *JobTable) NextFinished(limit int) []archive.Entry {
	entries := make([]archive.Entry, 0, min(limit, t.finished.Len()))
	t.finished.AscendGreaterOrEqual(finishedJob{number: t.archiveCursor}, func(f finishedJob) bool {
		entries = append(entries, archive.Entry{Number: f.number, FinalState: archive.FinalStateOf(f.job.Phase, f.job.Done)})
		return len(entries) < limit
	})
	t.archiveCursor = 0
	if len(entries) == limit {
		t.archiveCursor = entries[limit-1].Number + 1
	}
	return entries
}

// RestoredJob returns a final job for an archived one. The archive doesn't tell when it was submitted.
func RestoredJob(e archive.Entry) *Job {
	j := NewJob(storage.Spec{ID: e.Number.ID()}, time.UnixMilli(0))
	j.Phase, j.Done, j.Acknowledged, j.FinalDurable = e.Phase(), e.Done, true, true
	j.Spec.Tasks, j.Tasks = e.Done, nil
	return j
}
