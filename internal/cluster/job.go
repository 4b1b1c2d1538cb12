package cluster

import (
	"strings"
	"time"

	"sagevale/internal/clock"
	"sagevale/internal/failures"
	"sagevale/internal/storage"
	"sagevale/internal/worker"
)

// TaskState is the state of a task of a job.
type TaskState uint8

// The states of a task.
const (
	TaskWaiting TaskState = iota // for a machine
	TaskActive                   // there is an attempt
	TaskDone
)

// Job is a job with its tasks.
type Job struct {
	Spec         storage.Spec
	Phase        storage.Phase
	Submitted    time.Time
	Acknowledged bool // its acceptance is durable
	FinalDurable bool // its final phase is durable

	Tasks    []TaskState // nil once the job is final and no attempt is left
	Waiting  int         // tasks that wait
	Done     int         // tasks that are done
	Attempts map[int]*Attempt
	cursor   int // no task before it waits

	FeasibleTypes []string // machine types that a task may run on; nil: not yet known, see State.FeasibleTypes
	AllowedTypes  string   // the machine types that the user allows, in one string

	StoredPages []string // keys of the page records that a final job had when the term began

	Gang      Gang // of a job whose tasks run together
	Lifecycle Lifecycle

	Failures   failures.Job
	RetryAfter time.Time // no task is placed before
}

// NewJob returns a job whose tasks all wait.
func NewJob(spec storage.Spec, submitted time.Time) *Job {
	return &Job{
		Spec:         spec,
		Submitted:    submitted,
		AllowedTypes: strings.Join(spec.Types, ","),
		Tasks:        make([]TaskState, spec.Tasks),
		Waiting:      spec.Tasks,
		Attempts:     make(map[int]*Attempt),
	}
}

// NextWaiting returns the first task that waits; ok is false if there is none.
func (j *Job) NextWaiting() (task int, ok bool) {
	for i := j.cursor; i < len(j.Tasks); i++ {
		if j.Tasks[i] == TaskWaiting {
			j.cursor = i
			return i, true
		}
	}
	return 0, false
}

// Startable is how many of the waiting tasks may be started now: one at a time if the job seems to fail
// on every machine.
func (j *Job) Startable() int {
	if !j.Failures.AtFault() {
		return j.Waiting
	}
	return max(0, min(j.Waiting, 1-len(j.Attempts)))
}

// SetTask moves a task to another state. A task that is done stays done, and tasks that the job doesn't
// have are ignored.
func (j *Job) SetTask(task int, state TaskState) {
	if task < 0 || task >= len(j.Tasks) || j.Tasks[task] == state || j.Tasks[task] == TaskDone {
		return
	}
	if j.Tasks[task] == TaskWaiting {
		j.Waiting--
	}
	j.Tasks[task] = state
	switch state {
	case TaskWaiting:
		j.Waiting++
		j.cursor = min(j.cursor, task)
	case TaskDone:
		j.Done++
	case TaskActive:
	}
}

// RunningTasks is how many tasks run, by the reports of this term.
func (j *Job) RunningTasks() int {
	running := 0
	for _, a := range j.Attempts {
		if a.Reported && (a.State == worker.Running || a.State == worker.Saving) {
			running++
		}
	}
	return running
}

// Allocated is how many of the job's tasks have or had a machine.
func (j *Job) Allocated() int { return len(j.Attempts) + j.Done }

// Deadline is when the job should be complete. A job without a deadline ranks as if that had been its
// submission.
func (j *Job) Deadline() time.Time {
	if j.Spec.DeadlineS > 0 {
		return j.Submitted.Add(clock.Seconds(j.Spec.DeadlineS))
	}
	return j.Submitted
}

// Urgent reports whether the job's records must not wait behind those of others.
func (j *Job) Urgent() bool { return j.Spec.Priority >= storage.High }

// ZoneCounts returns how many of the job's tasks may be in each zone.
func (j *Job) ZoneCounts() map[string]int {
	counts := make(map[string]int, 2)
	for _, a := range j.Attempts {
		counts[a.Machine.Zone]++
	}
	return counts
}

// ZoneAllows reports whether one more task may start in a zone, with the others where counts says. A task
// whose zone isn't known excludes every choice that it could contradict.
func (j *Job) ZoneAllows(zone string, counts map[string]int) bool {
	spec := &j.Spec
	if spec.Zone != "" && spec.Zone != zone {
		return false
	}
	if spec.SameZone {
		for other, n := range counts {
			if n > 0 && other != zone {
				return false
			}
		}
	}
	return !spec.Spread || counts[zone]+counts[""]+1 <= (spec.Tasks+1)/2
}

// Record returns the job's own record. A final job without attempts keeps no specification.
func (j *Job) Record() *storage.JobRecord {
	record := &storage.JobRecord{Phase: j.Phase, Tasks: j.Spec.Tasks, SubmittedMS: j.Submitted.UnixMilli()}
	if j.Phase == storage.Open || len(j.Attempts) > 0 {
		record.Spec = &j.Spec
	}
	if j.Phase != storage.Open {
		record.DoneTasks = j.Done
	}
	if j.Phase == storage.Open && j.Lifecycle != nil {
		record.Activation = j.Lifecycle.Stored()
	}
	return record
}

// PageRecord returns the record of one page of the job's tasks, or nil if there is nothing to record.
func (j *Job) PageRecord(page int) *storage.PageRecord {
	record := &storage.PageRecord{}
	first, end := page*storage.PageTasks, min((page+1)*storage.PageTasks, len(j.Tasks))
	for task := first; task < end; task++ {
		if j.Tasks[task] == TaskDone {
			record.Done = appendToRanges(record.Done, task)
		}
	}
	for task := first; task < end; task++ {
		if a := j.Attempts[task]; a != nil {
			record.Attempts = append(record.Attempts, storage.AttemptRecord{
				Task: a.Task, Number: a.Number, Machine: a.Machine.ID, Incarnation: a.Incarnation,
			})
		}
	}
	if len(record.Done) == 0 && len(record.Attempts) == 0 {
		return nil
	}
	return record
}

// appendToRanges adds a number to ascending ranges, given by their first and last numbers.
func appendToRanges(ranges []int, n int) []int {
	if last := len(ranges) - 1; last >= 0 && ranges[last] == n-1 {
		ranges[last] = n
		return ranges
	}
	return append(ranges, n, n)
}
