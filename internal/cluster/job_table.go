package cluster

import (
	"maps"
	"slices"
	"time"

	"github.com/google/btree"

	"sagevale/internal/archive"
	"sagevale/internal/storage"
)

// JobTable holds all jobs that the leader keeps in memory: the open jobs, and the final jobs that aren't archived.
type JobTable struct {
	byID       map[string]*Job
	Open       map[string]*Job // open jobs, and final jobs that still have attempts, by ID
	Cancelling map[string]*Job // cancelled jobs that still have attempts, by ID
	OpenTasks  int             // number of tasks of the jobs in Open
	// finished holds the final jobs whose final record is durable and that have no attempts left, ordered by
	// job number as in the archive.
	finished      *btree.BTreeG[finishedJob]
	archiveCursor archive.JobNumber // smallest job number that the next call of NextFinished may return
}

// finishedJob is a job in JobTable.finished, which may be archived.
type finishedJob struct {
	number archive.JobNumber
	job    *Job
}

// finishedDegree is the degree of the B-tree of finished jobs. A node holds at most 2*finishedDegree-1 jobs.
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

// Get returns the job with the given ID, or nil.
func (t *JobTable) Get(id string) *Job { return t.byID[id] }

// Count returns the number of jobs in the table.
func (t *JobTable) Count() int { return len(t.byID) }

// InOrder returns all jobs, ordered by the time of their submission.
func (t *JobTable) InOrder() []*Job {
	return slices.SortedFunc(maps.Values(t.byID), func(a, b *Job) int { return a.Submitted.Compare(b.Submitted) })
}

// Add adds a job without tracking it as open.
func (t *JobTable) Add(j *Job) { t.byID[j.Spec.ID] = j }

// AddOpen adds a job and tracks it as open.
func (t *JobTable) AddOpen(j *Job) {
	t.Add(j)
	t.TrackOpen(j)
}

// TrackOpen adds a job to Open. The job must be in the table, and must be open or still have attempts.
func (t *JobTable) TrackOpen(j *Job) {
	t.Open[j.Spec.ID] = j
	t.OpenTasks += len(j.Tasks)
}

// ReleaseTasks drops the task states of a final job that has no attempts left, and removes the job from Open.
func (t *JobTable) ReleaseTasks(j *Job) {
	t.OpenTasks -= len(j.Tasks)
	j.Tasks, j.Waiting = nil, 0
	delete(t.Open, j.Spec.ID)
}

// TrackCancelling adds a cancelled job that still has attempts to Cancelling.
func (t *JobTable) TrackCancelling(j *Job) { t.Cancelling[j.Spec.ID] = j }

// CurrentTasks returns the number of tasks of a class's open jobs that have attempts or wait. Services that scale to
// zero aren't counted.
func (t *JobTable) CurrentTasks(class string) int {
	tasks := 0
	for _, j := range t.Open {
		if j.Spec.Class == class && j.Phase == storage.PhaseOpen && !j.ScalesToZero() {
			tasks += len(j.Attempts) + j.Waiting
		}
	}
	return tasks
}

// OpenGangs returns the number of gang jobs that are open or still have attempts.
func (t *JobTable) OpenGangs() int {
	gangs := 0
	for _, j := range t.Open {
		if j.Spec.Gang {
			gangs++
		}
	}
	return gangs
}

// TrackFinished adds a job to those that may be archived. A job whose ID isn't a job number is ignored.
func (t *JobTable) TrackFinished(j *Job) {
	if number, ok := archive.ParseJobNumber(j.Spec.ID); ok {
		t.finished.ReplaceOrInsert(finishedJob{number: number, job: j})
	}
}

// FinishedCount returns the number of jobs that may be archived.
func (t *JobTable) FinishedCount() int { return t.finished.Len() }

// RemoveFinished removes a job that has been archived from the table and returns it. It returns nil if the job
// isn't among those that may be archived.
func (t *JobTable) RemoveFinished(number archive.JobNumber) *Job {
	f, found := t.finished.Delete(finishedJob{number: number})
	if !found {
		return nil
	}
	delete(t.byID, f.job.Spec.ID)
	return f.job
}

// NextFinished returns up to limit jobs that may be archived, ordered by job number. Each call continues after the
// last job of the previous call. If the previous call has reached the end, the next call starts over.
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

// RestoredJob returns a final job with the state that the archive has stored. Its submission time is the Unix epoch,
// because the archive doesn't store the time.
func RestoredJob(e archive.Entry) *Job {
	j := NewJob(storage.Spec{ID: e.Number.ID()}, time.UnixMilli(0))
	j.Phase, j.Done, j.Acknowledged, j.FinalDurable = e.Phase(), e.Done, true, true
	j.Spec.Tasks, j.Tasks = e.Done, nil
	return j
}
