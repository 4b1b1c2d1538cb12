package loopbacktest

import (
	"fmt"
	"time"
)

// Class is a kind of job whose latencies are told apart.
type Class string

// The classes.
const (
	Urgent Class = "urgent"
	Other  Class = "other"
)

// Job is a job to be submitted, and what the workers fetch of it by themselves.
type Job struct {
	ID     string
	Shape  string // sweep, service or group
	Tasks  int
	Run    time.Duration
	Team   string  // "": the fleet's first
	CPUs   float64 // of a task; 0: one
	Urgent bool

	accepted time.Time // when its user was told so
}

// Class tells a job's class.
func (j Job) Class() Class {
	if j.Urgent {
		return Urgent
	}
	return Other
}

func (j Job) service() bool { return j.Shape == "service" }
func (j Job) gang() bool    { return j.Shape == "group" }

// taskName is a task and its attempt on a machine.
type taskName struct {
	task string
	try  uint64
}

// task is an attempt on a machine.
type task struct {
	name      taskName
	job       string
	state     string // as reported
	cause     string
	since     time.Time
	running   bool // it has started and hasn't ended
	restarted bool // another attempt of it has been on a machine before
	team      string
	cpus      float64
}

// begin takes in a start.
func (w *Workers) begin(m *machine, name taskName, now time.Time) {
	t := &task{name: name, job: jobOf(name.task), state: "pulling", since: now}
	if _, known := w.jobs[t.job]; !known {
		t.state, t.cause = "ended", "unknown"
	}
	for other, o := range m.tasks {
		if other.task == name.task && o.state != "ended" {
			t.state, t.cause = "ended", "busy"
		}
	}
	m.tasks[name] = t
	w.ledger.know(m, t)
}

// end ends a task, if it hasn't ended.
func (w *Workers) end(t *task, cause string) {
	if t.state != "ended" {
		t.state, t.cause, t.running = "ended", cause, false
		w.ledger.leave(t)
	}
}

// expire ends a machine's session: its tasks are killed and forgotten.
func (w *Workers) expire(m *machine, now time.Time) {
	for _, t := range m.tasks {
		t.running = false
		w.ledger.forget(t)
	}
	m.tasks = make(map[taskName]*task)
	m.session++
	m.lastRenewed = now
}

// settle brings a machine up to the present: leases, fetches, runs and gangs. It tells
// whether anything has changed.
func (w *Workers) settle(m *machine, now time.Time) (changed bool) {
	if m.deleted {
		return false
	}
	if now.Sub(m.lastRenewed) > w.timing.Lease {
		w.expire(m, now)
		return true
	}
	for name, t := range m.tasks {
		j := w.jobs[t.job]
		switch {
		case t.state == "pulling" && now.Sub(t.since) >= w.timing.Fetch:
			w.present(m, t, now)
			changed = true
		case t.state == "gathering":
			changed = w.gather(name.try, t.job, now) || changed
		case t.state == "running" && !j.service() && now.Sub(t.since) >= j.Run:
			w.end(t, "done")
			w.ledger.done[name.task] = true
			changed = true
		case t.state == "running" && j.gang() && w.broken(name.try, t.job):
			w.end(t, "peers")
			changed = true
		}
	}
	return changed
}

// nextChange is when a machine's tasks change next by themselves; zero: not of their own.
func (w *Workers) nextChange(m *machine) time.Time {
	var next time.Time
	soonest := func(at time.Time) {
		if next.IsZero() || at.Before(next) {
			next = at
		}
	}
	for _, t := range m.tasks {
		j := w.jobs[t.job]
		switch {
		case t.state == "pulling":
			soonest(t.since.Add(w.timing.Fetch))
		case t.state == "gathering", t.state == "running" && j.gang():
			soonest(time.Now().Add(w.timing.Report / gangLooks))
		case t.state == "running" && !j.service():
			soonest(t.since.Add(j.Run))
		}
	}
	return next
}

// gangLooks is how often within a report interval a gang's task looks for the others.
const gangLooks = 10

// present has a task be on its machine from now on. That is where a duplicate shows.
func (w *Workers) present(m *machine, t *task, now time.Time) {
	j := w.jobs[t.job]
	t.restarted = w.startedBefore[t.name.task]
	w.startedBefore[t.name.task] = true
	w.ledger.enter(m, t, j, w.timing.Lease, now)
	t.running, t.since, t.state = true, now, "running"
	if j.gang() {
		t.state = "gathering"
	}
	if j.service() {
		w.modelStarted(t.job, now)
	}
}

// gather starts a gang once all its tasks wait.
func (w *Workers) gather(try uint64, id string, now time.Time) bool {
	var waiting []*task
	for t, m := range w.ledger.byJob[id] {
		if t.name.try == try && t.state == "gathering" && !m.deleted {
			waiting = append(waiting, t)
		}
	}
	if len(waiting) < w.jobs[id].Tasks {
		return false
	}
	for _, t := range waiting {
		t.state, t.since = "running", now
	}
	return true
}

// broken tells whether a running gang has lost a task.
func (w *Workers) broken(try uint64, id string) bool {
	whole := 0
	for t, m := range w.ledger.byJob[id] {
		if t.name.try == try && !m.deleted && (t.state == "running" || t.cause == "done") {
			whole++
		}
	}
	return whole < w.jobs[id].Tasks
}

// Running counts where each task of a job runs now.
func (w *Workers) Running(id string) map[string]int {
	w.mu.Lock()
	defer w.mu.Unlock()
	running := make(map[string]int)
	for t, m := range w.ledger.byJob[id] {
		if t.running && !m.deleted {
			running[t.name.task]++
		}
	}
	return running
}

// Done tells whether all tasks of a job have completed somewhere; of a gang, one is enough.
func (w *Workers) Done(id string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	completed := 0
	for i := range w.jobs[id].Tasks {
		if w.ledger.done[fmt.Sprintf("%s/%d", id, i)] {
			completed++
		}
	}
	return completed == w.jobs[id].Tasks || w.jobs[id].gang() && completed > 0
}
