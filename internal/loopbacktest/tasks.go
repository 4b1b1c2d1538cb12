package loopbacktest

import (
	"fmt"
	"strings"
	"time"
)

// begin takes in a start.
func (w *Workers) begin(m *machine, name taskName) {
	id, _, _ := strings.Cut(name.task, "/")
	t := &task{job: id, state: "pulling", since: time.Now()}
	if _, known := w.jobs[id]; !known {
		t.state, t.cause = "ended", "unknown"
	}
	for other, o := range m.tasks {
		if other.task == name.task && o.state != "ended" {
			t.state, t.cause = "ended", "busy"
		}
	}
	m.tasks[name] = t
}

// end ends a task, if it hasn't ended.
func (w *Workers) end(t *task, cause string) {
	if t.state != "ended" {
		t.state, t.cause, t.running = "ended", cause, false
	}
}

// settle brings a machine up to the present: leases, fetches, runs and gangs. It tells
// whether anything has changed.
func (w *Workers) settle(m *machine, now time.Time) (changed bool) {
	if m.deleted {
		return false
	}
	if now.Sub(m.lastRenewed) > w.timing.Lease {
		m.tasks = make(map[taskName]*task)
		m.session++
		m.lastRenewed = now
		return true
	}
	for name, t := range m.tasks {
		j := w.jobs[t.job]
		switch {
		case t.state == "pulling" && now.Sub(t.since) >= w.timing.Fetch:
			w.present(m, name, t, now)
			changed = true
		case t.state == "gathering":
			changed = w.gather(name.try, t.job, now) || changed
		case t.state == "running" && !j.service && now.Sub(t.since) >= j.run:
			w.end(t, "done")
			w.done[name.task] = true
			changed = true
		case t.state == "running" && j.gang && w.broken(name.try, t.job):
			w.end(t, "peers")
			changed = true
		}
	}
	return changed
}

// present has a task be on its machine from now on. That is where a duplicate shows.
func (w *Workers) present(m *machine, name taskName, t *task, now time.Time) {
	for _, other := range w.machines {
		if other.deleted {
			continue
		}
		// A machine whose lease is over has ended its tasks, though it hasn't noted it.
		if now.Sub(other.lastRenewed) > w.timing.Lease {
			continue
		}
		for otherName, o := range other.tasks {
			if otherName.task == name.task && o != t && o.running {
				w.faults = append(w.faults, fmt.Sprintf("duplicate: %s started on %s (attempt %d) while on %s (attempt %d)", name.task, m.name, name.try, other.name, otherName.try))
			}
		}
	}
	w.starts++
	t.running, t.since, t.state = true, now, "running"
	if w.jobs[t.job].gang {
		t.state = "gathering"
	}
}

// gather starts a gang once all its tasks wait.
func (w *Workers) gather(try uint64, id string, now time.Time) bool {
	var waiting []*task
	for _, m := range w.machines {
		for name, t := range m.tasks {
			if name.try == try && t.job == id && t.state == "gathering" && !m.deleted {
				waiting = append(waiting, t)
			}
		}
	}
	if len(waiting) < w.jobs[id].tasks {
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
	for _, m := range w.machines {
		for name, t := range m.tasks {
			if name.try == try && t.job == id && !m.deleted && (t.state == "running" || t.cause == "done") {
				whole++
			}
		}
	}
	return whole < w.jobs[id].tasks
}
