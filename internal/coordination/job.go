package coordination

import (
	"strings"
	"time"

	"sagevale/internal/failures"
	"sagevale/internal/storage"
)

type taskState uint8

const (
	taskWaiting taskState = iota
	taskActive
	taskDone
)

// job is a job with its tasks. The dispatcher owns it.
type job struct {
	spec      storage.Spec
	phase     storage.Phase
	submitted time.Time
	known     bool // its acceptance is durable
	settled   bool // its final phase is durable

	tasks    []taskState // nil once final and empty
	waiting  int
	done     int
	cursor   int // no task before it is waiting
	attempts map[int]*attempt
	fits     []string // machine types that may hold a task; nil: not yet known
	types    string   // the allowed types in one string

	storedPages []string // keys of page records that the term began with, of a final job

	gang gang // of a job whose tasks run together

	failures  failures.Job
	pauseTill time.Time

	managed *managedService // of a service that may be at zero; nil: it always runs
}

// attempt is one booked try of a task on a machine. It stays until its place
// is proved empty.
type attempt struct {
	job     *job
	task    int
	try     uint64
	on      *machine
	session uint64
	ownTerm bool // booked or ordered in this term
	durable bool
	booked  time.Time

	seen           bool
	failed         bool // it ended by itself, and not as it should
	state          TaskState
	started        time.Time
	gatheringSince time.Time // since when it waits for the others of its gang

	stop     bool // to be stopped
	stopSent bool // has been told so directly
	graceS   float64

	orderedSeq  uint64 // the report whose answer last carried its start; 0: none
	direct      directState
	directToken uint64 // under which its start was sent straight to the worker
}

// directState tells what is known of a start sent straight to the worker.
type directState uint8

const (
	directNone       directState = iota
	directInFlight               // no answer yet
	directUnresolved             // no answer came: it may be executed minutes late
	directSettled                // answered
)

func (a *attempt) id() TaskID { return TaskID{a.job.spec.ID, a.task} }

// sent tells whether a start may have reached the worker.
func (a *attempt) sent() bool {
	return !a.ownTerm || a.seen || a.orderedSeq != 0 || a.direct != directNone
}

// orderedIn notes that the answer to a report carries the start. One that an
// earlier leader booked is ours from here on: a report that the worker makes
// before that answer comes proves nothing of it, even under our token.
func (a *attempt) orderedIn(r *Report) { a.orderedSeq, a.ownTerm = r.Seq, true }

// startUnresolved tells whether a direct start may still be executed.
func (a *attempt) startUnresolved() bool {
	return a.direct == directInFlight || a.direct == directUnresolved
}

func newJob(spec storage.Spec, at time.Time) *job {
	return &job{
		spec: spec, submitted: at, types: strings.Join(spec.Types, ","),
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

// tries is how many of the waiting tasks may start now: one at a time of a job
// that seems to fail everywhere.
func (j *job) tries() int {
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
		if a.seen && (a.state == Running || a.state == Saving) {
			n++
		}
	}
	return n
}

// zoneCounts returns how many of the job's tasks may be in each zone.
func (j *job) zoneCounts() map[string]int {
	out := make(map[string]int, 2)
	for _, a := range j.attempts {
		out[a.on.zone]++
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
			rec.Attempts = append(rec.Attempts, storage.AttemptRecord{Task: a.task, Number: a.try, Machine: a.on.id, Incarnation: a.session})
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
	if j.phase == storage.Open && j.managed != nil {
		rec.Activation = j.managed.stored()
	}
	return rec
}

// state is what users see; only durable facts count as final.
func (j *job) state() JobState {
	switch {
	case j.settled && j.phase == storage.Done:
		return StateDone
	case j.settled && j.phase == storage.Cancelled:
		return StateCancelled
	case j.runningTasks() > 0:
		return StateRunning
	}
	return StatePending
}

func (j *job) answer(code Code) Answer {
	a := Answer{Code: code, ID: j.spec.ID, State: j.state(), Done: j.done}
	switch a.State {
	case StateDone, StateCancelled:
	default:
		a.Running = j.runningTasks()
	}
	return a
}
