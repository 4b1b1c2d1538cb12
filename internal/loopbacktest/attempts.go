package loopbacktest

import (
	"fmt"
	"strings"
	"time"
)

// gangChecksPerHeartbeat is how many times per heartbeat interval a machine checks the gangs of its tasks. A gang is a job
// whose tasks run only together: they start when all of them are ready, and they all end if one of them is lost.
const gangChecksPerHeartbeat = 10

// attemptID identifies an attempt of a task.
type attemptID struct {
	task   string
	number uint64
}

// attempt is one attempt of a task on a machine, simulated by timers.
type attempt struct {
	id         attemptID
	job        string
	state      string // one of the states on the wire
	cause      string // cause of the end, one of the causes on the wire; empty before the end
	stateSince time.Time
	running    bool // the image is fetched and the attempt has not ended
	restarted  bool // another attempt of the task ran before this one
	team       string
	cpus       float64
}

// jobOfTask returns the job ID from a task's name. The name has the form JOB/INDEX.
func jobOfTask(task string) string {
	id, _, _ := strings.Cut(task, "/")
	return id
}

// startAttempt executes a start command. The attempt ends at once if the job was not added to the workers, or if the
// machine holds another attempt of the task that has not ended.
func (w *Workers) startAttempt(m *machine, id attemptID, now time.Time) {
	a := &attempt{id: id, job: jobOfTask(id.task), state: statePulling, stateSince: now}
	if _, known := w.jobs[a.job]; !known {
		a.state, a.cause = stateEnded, causeUnknown
	}
	for otherID, other := range m.attempts {
		if otherID.task == id.task && other.state != stateEnded {
			a.state, a.cause = stateEnded, causeBusy
		}
	}
	m.attempts[id] = a
	w.audit.addAttempt(m, a)
}

// endAttempt ends an attempt with a cause. It does nothing if the attempt has ended already.
func (w *Workers) endAttempt(a *attempt, cause string) {
	if a.state != stateEnded {
		a.state, a.cause, a.running = stateEnded, cause, false
		w.audit.recordEnd(a)
	}
}

// expireLease removes all attempts of a machine, as a worker kills its tasks when its lease expires. It starts a new
// incarnation of the worker, with a new lease.
func (w *Workers) expireLease(m *machine, now time.Time) {
	for _, a := range m.attempts {
		a.running = false
		w.audit.removeAttempt(a)
	}
	m.attempts = make(map[attemptID]*attempt)
	m.incarnation++
	m.leaseRenewedAt = now
}

// advanceMachine updates the simulated state of a machine to the time now. It handles an expired lease, fetched images,
// completed tasks, and gangs that can start or have lost a task. It reports whether anything has changed. w.mu must be
// held.
func (w *Workers) advanceMachine(m *machine, now time.Time) (changed bool) {
	if m.deleted {
		return false
	}
	if now.Sub(m.leaseRenewedAt) > w.timing.Lease {
		w.expireLease(m, now)
		return true
	}
	for id, a := range m.attempts {
		j := w.jobs[a.job]
		switch {
		case a.state == statePulling && now.Sub(a.stateSince) >= w.timing.ImageFetch:
			w.runAttempt(m, a, now)
			changed = true
		case a.state == stateGathering:
			changed = w.startGang(a.job, id.number, now) || changed
		case a.state == stateRunning && !j.isService() && now.Sub(a.stateSince) >= j.RunTime:
			w.endAttempt(a, causeDone)
			w.audit.completedTasks[id.task] = true
			changed = true
		case a.state == stateRunning && j.isGang() && w.gangIncomplete(a.job, id.number):
			w.endAttempt(a, causePeers)
			changed = true
		}
	}
	return changed
}

// nextAttemptChange returns the next time at which advanceMachine must be called to update an attempt of the machine. It
// returns the zero time if no attempt is going to change on its own.
func (w *Workers) nextAttemptChange(m *machine) time.Time {
	var next time.Time
	candidate := func(at time.Time) {
		if next.IsZero() || at.Before(next) {
			next = at
		}
	}
	for _, a := range m.attempts {
		j := w.jobs[a.job]
		switch {
		case a.state == statePulling:
			candidate(a.stateSince.Add(w.timing.ImageFetch))
		case a.state == stateGathering, a.state == stateRunning && j.isGang():
			candidate(time.Now().Add(w.timing.Heartbeat / gangChecksPerHeartbeat))
		case a.state == stateRunning && !j.isService():
			candidate(a.stateSince.Add(j.RunTime))
		}
	}
	return next
}

// runAttempt starts an attempt whose image has been fetched. The attempt of a gang's task is in the state gathering until
// the whole gang starts. The audit log checks that the start violates no rule.
func (w *Workers) runAttempt(m *machine, a *attempt, now time.Time) {
	j := w.jobs[a.job]
	a.restarted = w.startedTasks[a.id.task]
	w.startedTasks[a.id.task] = true
	w.audit.recordStart(m, a, j, w.timing.Lease, now)
	a.running, a.stateSince, a.state = true, now, stateRunning
	if j.isGang() {
		a.state = stateGathering
	}
	if j.isService() {
		w.recordReplicaStart(a.job)
	}
}

// startGang starts a gang if all its tasks are in the state gathering, that is, if their images are fetched. It reports
// whether it has started the gang.
func (w *Workers) startGang(job string, attemptNumber uint64, now time.Time) bool {
	var gathering []*attempt
	for a, m := range w.audit.attemptsByJob[job] {
		if a.id.number == attemptNumber && a.state == stateGathering && !m.deleted {
			gathering = append(gathering, a)
		}
	}
	if len(gathering) < w.jobs[job].Tasks {
		return false
	}
	for _, a := range gathering {
		a.state, a.stateSince = stateRunning, now
	}
	return true
}

// gangIncomplete reports whether a task of a running gang neither runs nor has completed.
func (w *Workers) gangIncomplete(job string, attemptNumber uint64) bool {
	present := 0
	for a, m := range w.audit.attemptsByJob[job] {
		if a.id.number == attemptNumber && !m.deleted && (a.state == stateRunning || a.cause == causeDone) {
			present++
		}
	}
	return present < w.jobs[job].Tasks
}

// Running returns the running tasks of a job. The result maps the name of each task to its number of running attempts.
func (w *Workers) Running(id string) map[string]int {
	w.mu.Lock()
	defer w.mu.Unlock()
	running := make(map[string]int)
	for a, m := range w.audit.attemptsByJob[id] {
		if a.running && !m.deleted {
			running[a.id.task]++
		}
	}
	return running
}

// JobDone reports whether all tasks of a job have completed. For a gang, one completed task is enough.
func (w *Workers) JobDone(id string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	completed := 0
	for i := range w.jobs[id].Tasks {
		if w.audit.completedTasks[fmt.Sprintf("%s/%d", id, i)] {
			completed++
		}
	}
	return completed == w.jobs[id].Tasks || w.jobs[id].isGang() && completed > 0
}
