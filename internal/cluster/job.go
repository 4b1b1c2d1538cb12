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
	TaskWaiting TaskState = iota // the task waits to be placed on a machine
	TaskActive                   // the task has an attempt
	TaskDone                     // the task has completed
)

// Job holds a job's specification and the state of its tasks and attempts.
type Job struct {
	Spec         storage.Spec
	Phase        storage.Phase
	Submitted    time.Time
	Acknowledged bool // the record of the job's acceptance is durable
	FinalDurable bool // the record of the job's final phase, completed or cancelled, is durable

	Tasks    []TaskState      // states of the tasks; nil once the job is final and has no attempts left
	Waiting  int              // number of tasks in TaskWaiting
	Done     int              // number of tasks in TaskDone
	Attempts map[int]*Attempt // current attempts by task
	cursor   int              // index before which no task waits

	FeasibleTypes []string // cache of State.FeasibleTypes; nil if not computed yet
	AllowedTypes  string   // machine types that the specification allows, separated by commas

	StoredPages []string // keys of the task page records that a final job had when the term began

	Gang      Gang      // state of the current gang attempt if Spec.Gang is set
	Lifecycle Lifecycle // nil unless the job is a service that scales to zero

	Failures   failures.Job
	RetryAfter time.Time // no task may be placed before this time
}

// NewJob returns a job whose tasks all wait to be placed.
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

// NextWaiting returns the index of the first waiting task. ok is false if no task waits.
func (j *Job) NextWaiting() (task int, ok bool) {
	for i := j.cursor; i < len(j.Tasks); i++ {
		if j.Tasks[i] == TaskWaiting {
			j.cursor = i
			return i, true
		}
	}
	return 0, false
}

// Startable returns how many of the waiting tasks may be started now. A job that is assumed to fail on every machine may
// have only one attempt at a time.
func (j *Job) Startable() int {
	if !j.Failures.AtFault() {
		return j.Waiting
	}
	return max(0, min(j.Waiting, 1-len(j.Attempts)))
}

// SetTask changes the state of a task. A task that is done stays done. Task indexes outside of the job are ignored.
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

// RunningTasks returns the number of tasks that are running or saving a checkpoint, as reported in this term.
func (j *Job) RunningTasks() int {
	running := 0
	for _, a := range j.Attempts {
		if a.Reported && (a.State == worker.Running || a.State == worker.Saving) {
			running++
		}
	}
	return running
}

// AllocatedTasks returns how many of the job's tasks have an attempt or are done.
func (j *Job) AllocatedTasks() int { return len(j.Attempts) + j.Done }

// Deadline returns the time by which the job should be complete. If the specification has no deadline, it returns the
// time of submission.
func (j *Job) Deadline() time.Time {
	if j.Spec.DeadlineS > 0 {
		return j.Submitted.Add(clock.Seconds(j.Spec.DeadlineS))
	}
	return j.Submitted
}

// Urgent reports whether the job's records must not wait behind the records of less urgent jobs.
func (j *Job) Urgent() bool { return j.Spec.Priority >= storage.PriorityHigh }

// ZoneCounts returns the number of the job's attempts in each zone. Attempts whose zone is unknown are counted
// under the empty name.
func (j *Job) ZoneCounts() map[string]int {
	counts := make(map[string]int, 2)
	for _, a := range j.Attempts {
		counts[a.Machine.Zone]++
	}
	return counts
}

// ZoneAllows reports whether one more task may start in a zone. counts is the number of the job's tasks in each zone. A
// job that is spread over zones may have at most half of its tasks, rounded up, in one zone. If the zone of a task is
// unknown, the task is assumed to be in a zone that forbids the start.
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

// Record returns the job's record. The specification is left out once the job is final and has no attempts.
func (j *Job) Record() *storage.JobRecord {
	record := &storage.JobRecord{Phase: j.Phase, Tasks: j.Spec.Tasks, SubmittedMS: j.Submitted.UnixMilli()}
	if j.Phase == storage.PhaseOpen || len(j.Attempts) > 0 {
		record.Spec = &j.Spec
	}
	if j.Phase != storage.PhaseOpen {
		record.DoneTasks = j.Done
	}
	if j.Phase == storage.PhaseOpen && j.Lifecycle != nil {
		record.Activation = j.Lifecycle.Stored()
	}
	return record
}

// PageRecord returns the record of one page of the job's tasks, or nil if the page has neither done tasks nor
// attempts.
func (j *Job) PageRecord(page int) *storage.TaskPageRecord {
	record := &storage.TaskPageRecord{}
	first, end := page*storage.TasksPerPage, min((page+1)*storage.TasksPerPage, len(j.Tasks))
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

// appendToRanges adds a number to a list of ranges, each stored as its first and its last number. The number must be
// greater than all numbers in the ranges.
func appendToRanges(ranges []int, n int) []int {
	if last := len(ranges) - 1; last >= 0 && ranges[last] == n-1 {
		ranges[last] = n
		return ranges
	}
	return append(ranges, n, n)
}
