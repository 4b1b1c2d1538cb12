package scheduler

import (
	"strings"
	"time"

	"sagevale/internal/clock"
	"sagevale/internal/failures"
	"sagevale/internal/storage"
	"sagevale/internal/worker"
)

type taskState uint8

const (
	taskWaiting taskState = iota
	taskActive
	taskDone
)

// job is a job with its tasks. The dispatcher owns it.
type job struct {
	spec         storage.Spec
	phase        storage.Phase
	submitted    time.Time
	acknowledged bool // its acceptance is durable
	finalDurable bool // its final phase is durable

	tasks         []taskState // nil once final and empty
	waiting       int
	done          int
	cursor        int // no task before it is waiting
	attempts      map[int]*attempt
	feasibleTypes []string // machine types that may hold a task; nil: not yet known
	allowedTypes  string   // the allowed types in one string

	storedPages []string // keys of page records that the term began with, of a final job

	gang gang // of a job whose tasks run together

	failures   failures.Job
	retryAfter time.Time

	lifecycle lifecycle // of a service that scales to zero; nil: it always runs
}

func newJob(spec storage.Spec, at time.Time) *job {
	return &job{
		spec: spec, submitted: at, allowedTypes: strings.Join(spec.Types, ","),
		tasks:   make([]taskState, spec.Tasks),
		waiting: spec.Tasks, attempts: make(map[int]*attempt),
	}
}

// nextWaiting returns the first waiting task.
func (j *job) nextWaiting() (int, bool) {
	for i := j.cursor; i < len(j.tasks); i++ {
		if j.tasks[i] == taskWaiting {
			j.cursor = i
			return i, true
		}
	}
	return 0, false
}

// startable is how many of the waiting tasks may start now: one at a time of a job
// that seems to fail everywhere.
func (j *job) startable() int {
	if !j.failures.AtFault() {
		return j.waiting
	}
	return max(0, min(j.waiting, 1-len(j.attempts)))
}

func (j *job) setTask(i int, s taskState) {
	if i < 0 || i >= len(j.tasks) || j.tasks[i] == s || j.tasks[i] == taskDone {
		return
	}
	if j.tasks[i] == taskWaiting {
		j.waiting--
	}
	j.tasks[i] = s
	switch s {
	case taskWaiting:
		j.waiting++
		j.cursor = min(j.cursor, i)
	case taskDone:
		j.done++
	}
}

func (j *job) runningTasks() int {
	n := 0
	for _, a := range j.attempts {
		if a.reported && (a.state == worker.Running || a.state == worker.Saving) {
			n++
		}
	}
	return n
}

// zoneCounts returns how many of the job's tasks may be in each zone.
func (j *job) zoneCounts() map[string]int {
	out := make(map[string]int, 2)
	for _, a := range j.attempts {
		out[a.machine.zone]++
	}
	return out
}

// zoneAllows tells whether one more task may start in zone, with the others
// where counts says. A task in a zone that isn't known bars every choice.
func (j *job) zoneAllows(zone string, counts map[string]int) bool {
	s := &j.spec
	if s.Zone != "" && s.Zone != zone {
		return false
	}
	if s.SameZone {
		for z, n := range counts {
			if n > 0 && z != zone {
				return false
			}
		}
	}
	if s.Spread && counts[zone]+counts[""]+1 > (s.Tasks+1)/2 {
		return false
	}
	return true
}

// page encodes one page of the tasks.
func (j *job) page(p int) *storage.PageRecord {
	rec := &storage.PageRecord{}
	lo, hi := p*storage.PageTasks, min((p+1)*storage.PageTasks, len(j.tasks))
	for i := lo; i < hi; i++ {
		if j.tasks[i] != taskDone {
			continue
		}
		if n := len(rec.Done); n > 0 && rec.Done[n-1] == i-1 {
			rec.Done[n-1] = i
			continue
		}
		rec.Done = append(rec.Done, i, i)
	}
	for i := lo; i < hi; i++ {
		if a := j.attempts[i]; a != nil {
			rec.Attempts = append(rec.Attempts, storage.AttemptRecord{Task: a.task, Number: a.number, Machine: a.machine.id, Incarnation: a.incarnation})
		}
	}
	if len(rec.Done) == 0 && len(rec.Attempts) == 0 {
		return nil
	}
	return rec
}

// record encodes the job itself. A final job without attempts keeps no spec.
func (j *job) record() *storage.JobRecord {
	rec := &storage.JobRecord{Phase: j.phase, Tasks: j.spec.Tasks, SubmittedMS: j.submitted.UnixMilli()}
	if j.phase == storage.Open || len(j.attempts) > 0 {
		rec.Spec = &j.spec
	}
	if j.phase != storage.Open {
		rec.DoneTasks = j.done
	}
	if j.phase == storage.Open && j.lifecycle != nil {
		rec.Activation = j.lifecycle.stored()
	}
	return rec
}

// allocated is how many of the job's tasks have or had a place.
func (j *job) allocated() int { return len(j.attempts) + j.done }

// deadline is when the job should be complete; jobs without a deadline come as if
// they had been deadline at once.
func (j *job) deadline() time.Time {
	if j.spec.DeadlineS > 0 {
		return j.submitted.Add(clock.Seconds(j.spec.DeadlineS))
	}
	return j.submitted
}

// urgent tells whether a job's records don't wait behind those of others.
func (j *job) urgent() bool { return j.spec.Priority >= storage.High }
