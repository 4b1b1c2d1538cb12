package cluster

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"sagevale/internal/archive"
	"sagevale/internal/storage"
)

// After any sequence of changes:
//
//   - The table holds exactly the jobs that haven't been removed.
//   - OpenTasks is the number of tasks of all open jobs.
//   - Repeated calls of NextFinished list every finished job, each call in order of the job numbers.
func TestJobTable(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table := NewJobTable()
		tasks := make(map[string]int) // number of tasks of each open job
		finished := make(map[string]bool)
		for i := range rapid.IntRange(1, 60).Draw(t, "steps") {
			id := fmt.Sprintf("%06d", rapid.IntRange(0, 20).Draw(t, "id"))
			number, _ := archive.ParseJobNumber(id) // the IDs are valid
			j := table.Get(id)
			switch step := rapid.IntRange(0, 3).Draw(t, "step"); {
			case j == nil:
				j = NewJob(storage.Spec{ID: id, Tasks: 1 + i%4}, time.Now())
				table.AddOpen(j)
				tasks[id] = j.Spec.Tasks
			case step < 2 && tasks[id] > 0:
				table.ReleaseTasks(j)
				j.Phase = storage.PhaseDone
				delete(tasks, id)
				table.TrackFinished(j)
				finished[id] = true
			case step == 2:
				removed := table.RemoveFinished(number)
				if (removed != nil) != finished[id] || removed != nil && removed != j {
					t.Fatalf("RemoveFinished(%s) = %v, want the job if it is finished: %v", id, removed, finished[id])
				}
				delete(finished, id)
			}
		}
		open := 0
		for _, n := range tasks {
			open += n
		}
		if table.OpenTasks != open || len(table.Open) != len(tasks) || table.Count() != len(tasks)+len(finished) || table.FinishedCount() != len(finished) {
			t.Fatalf("%d tasks of %d open jobs, %d jobs, %d finished; want %d, %d, %d, %d", table.OpenTasks, len(table.Open), table.Count(), table.FinishedCount(),
				open, len(tasks), len(tasks)+len(finished), len(finished))
		}
		checkNextFinished(t, table, finished)
	})
}

// checkNextFinished calls NextFinished with a small limit until it reaches the end of the table, and checks that these
// calls list every finished job.
func checkNextFinished(t *rapid.T, table *JobTable, finished map[string]bool) {
	limit := rapid.IntRange(1, 7).Draw(t, "most")
	listed := make(map[string]bool)
	table.archiveCursor = 0
	for range len(finished)/limit + 1 {
		before := archive.JobNumber(0)
		for _, e := range table.NextFinished(limit) {
			if e.Number <= before || !finished[e.Number.ID()] {
				t.Fatalf("%s is listed out of order, or isn't finished", e.Number.ID())
			}
			before = e.Number
			listed[e.Number.ID()] = true
		}
	}
	if len(listed) != len(finished) {
		t.Fatalf("%d finished jobs are listed, want %d", len(listed), len(finished))
	}
}
