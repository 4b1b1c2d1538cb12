package scheduler

import (
	"maps"
	"slices"
	"time"

	"github.com/google/btree"

	"sagevale/internal/archive"
	"sagevale/internal/storage"
)

// jobTable is the jobs that the leader holds: the open ones, and the final ones that aren't archived. The
// dispatcher owns it.
type jobTable struct {
	all        map[string]*job
	open       map[string]*job // open jobs, or final ones with attempts left
	cancelling map[string]*job // cancelled jobs with attempts left
	openTasks  int             // tasks kept in memory
	// finished are the final jobs that are durable and have no attempt anywhere, in the order
	// of the archive.
	finished      *btree.BTreeG[finishedJob]
	archiveCursor archive.JobNumber // where the next look at the finished ones begins
}

// finishedJob is a job that may be archived.
type finishedJob struct {
	number archive.JobNumber
	job    *job
}

// finishedDegree is the tree's: a node holds up to twice as many jobs.
const finishedDegree = 32

func newJobTable() *jobTable {
	return &jobTable{
		all: make(map[string]*job), open: make(map[string]*job), cancelling: make(map[string]*job),
		finished: btree.NewG(finishedDegree, func(a, b finishedJob) bool { return a.number < b.number }),
	}
}

// get returns a job, or nil.
func (t *jobTable) get(id string) *job { return t.all[id] }

// count is how many jobs are held.
func (t *jobTable) count() int { return len(t.all) }

// insert takes in a job that was just submitted.
func (t *jobTable) insert(j *job) {
	t.all[j.spec.ID] = j
	t.trackOpen(j)
}

// load takes in a job from its record.
func (t *jobTable) load(j *job) { t.all[j.spec.ID] = j }

// trackOpen counts a job among those that are open or have attempts left.
func (t *jobTable) trackOpen(j *job) {
	t.open[j.spec.ID] = j
	t.openTasks += len(j.tasks)
}

// releaseTasks lets go of a final job's tasks, none of which can be anywhere.
func (t *jobTable) releaseTasks(j *job) {
	t.openTasks -= len(j.tasks)
	j.tasks, j.waiting = nil, 0
	delete(t.open, j.spec.ID)
}

// trackCancelling counts a job among the cancelled ones with attempts left.
func (t *jobTable) trackCancelling(j *job) { t.cancelling[j.spec.ID] = j }

// trackFinished counts a job among those that may be archived.
func (t *jobTable) trackFinished(j *job) {
	if rank, ok := archive.ParseJobNumber(j.spec.ID); ok {
		t.finished.ReplaceOrInsert(finishedJob{rank, j})
	}
}

// removeFinished forgets a job that is archived, and returns it; nil: it isn't held.
func (t *jobTable) removeFinished(rank archive.JobNumber) *job {
	f, held := t.finished.Delete(finishedJob{number: rank})
	if !held {
		return nil
	}
	delete(t.all, f.job.spec.ID)
	return f.job
}

// nextFinished lists up to so many finished jobs, in order, from where the last list ended; after
// the last one it begins anew.
func (t *jobTable) nextFinished(most int) []archive.Entry {
	entries := make([]archive.Entry, 0, min(most, t.finished.Len()))
	t.finished.AscendGreaterOrEqual(finishedJob{number: t.archiveCursor}, func(f finishedJob) bool {
		entries = append(entries, archive.Entry{Number: f.number, FinalState: archive.FinalStateOf(f.job.phase, f.job.done)})
		return len(entries) < most
	})
	t.archiveCursor = 0
	if len(entries) == most {
		t.archiveCursor = entries[most-1].Number + 1
	}
	return entries
}

// inOrder lists all jobs in the order of their submission.
func (t *jobTable) inOrder() []*job {
	return slices.SortedFunc(maps.Values(t.all), func(a, b *job) int { return a.submitted.Compare(b.submitted) })
}

// openGangs counts the gang jobs that aren't over, or still have tasks somewhere.
func (t *jobTable) openGangs() int {
	gangs := 0
	for _, j := range t.open {
		if j.spec.Gang {
			gangs++
		}
	}
	return gangs
}

// unknownTime is when a job was submitted whose archive entry doesn't tell.
var unknownTime = time.UnixMilli(0)

// restoredJob makes a final job of an archived one.
func restoredJob(e archive.Entry) *job {
	j := newJob(storage.Spec{ID: e.Number.ID()}, unknownTime)
	j.phase, j.done, j.acknowledged, j.finalDurable = e.Phase(), e.Done, true, true
	j.spec.Tasks, j.tasks = e.Done, nil
	return j
}
