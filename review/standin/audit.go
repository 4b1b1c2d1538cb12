//go:build review

package standin

import (
	"fmt"
	"sync"
	"time"
)

// Audit records which task is on which machine, and checks rules of the protocol.
type Audit struct {
	f  *Fleet
	mu sync.Mutex

	on_       map[string]map[*task]*Worker           // tasks on machines, by name
	Starts    map[string]int                         // starts by job
	Commands  map[string]int                         // run commands by job
	DoneTasks map[string]map[string]bool             // completed tasks by job
	Broken    []string                               // broken rules
	OnStart   func(job Job, chore string, w *Worker) // called with each start
	LogTasks  bool                                   // whether each start and end goes to the record
}

func newAudit(f *Fleet) *Audit {
	return &Audit{f: f, on_: make(map[string]map[*task]*Worker), Starts: make(map[string]int), Commands: make(map[string]int), DoneTasks: make(map[string]map[string]bool)}
}

// Break records a broken rule.
func (a *Audit) Break(format string, args ...any) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.breakLocked(format, args...)
}

func (a *Audit) breakLocked(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	a.Broken = append(a.Broken, text)
	a.f.Logf("BROKEN %s", text)
}

// BrokenRules returns the broken rules.
func (a *Audit) BrokenRules() []string {
	a.mu.Lock()
	defer a.mu.Unlock()
	return append([]string(nil), a.Broken...)
}

func (a *Audit) commanded(t *task, w *Worker) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.Commands[t.job.ID]++
	if a.LogTasks {
		a.f.Logf("%s: run %s attempt %d", w.Name, t.key.name, t.key.try)
	}
}

// on records that a task has its image and starts.
func (a *Audit) on(t *task, w *Worker) {
	a.mu.Lock()
	defer a.mu.Unlock()
	name := t.key.name
	for o, m := range a.on_[name] {
		if m != w && time.Since(m.leaseStart) <= secs(a.f.Settings.LeaseS) {
			a.breakLocked("ran_twice: %s starts on %s (attempt %d) while it is on %s (attempt %d)", name, w.Name, t.key.try, m.Name, o.key.try)
		}
	}
	if a.on_[name] == nil {
		a.on_[name] = make(map[*task]*Worker)
	}
	a.on_[name][t] = w
	a.Starts[t.job.ID]++
	if a.LogTasks {
		a.f.Logf("%s: %s attempt %d starts (%s, zone %s)", w.Name, name, t.key.try, w.Type, w.Zone)
	}
	if a.OnStart != nil {
		a.OnStart(t.job, name, w)
	}
}

// off records that a task is no longer on its machine.
func (a *Audit) off(t *task, w *Worker) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if _, on := a.on_[t.key.name][t]; on {
		delete(a.on_[t.key.name], t)
		if a.LogTasks {
			a.f.Logf("%s: %s attempt %d is gone", w.Name, t.key.name, t.key.try)
		}
	}
}

func (a *Audit) done(t *task, w *Worker) {
	a.off(t, w)
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.DoneTasks[t.job.ID] == nil {
		a.DoneTasks[t.job.ID] = make(map[string]bool)
	}
	a.DoneTasks[t.job.ID][t.key.name] = true
}

// Counts returns the starts and the completed tasks of a job.
func (a *Audit) Counts(job string) (starts, done int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.Starts[job], len(a.DoneTasks[job])
}

// Present returns how many tasks of a job are on machines.
func (a *Audit) Present(job string) (n int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, on := range a.on_ {
		for t := range on {
			if t.job.ID == job {
				n++
			}
		}
	}
	return n
}
