//go:build review

package standin

import (
	"sync"
	"time"
)

// gangs tells the tasks of gangs of each other. Tasks find each other by the attempt.
type gangs struct {
	mu    sync.Mutex
	byKey map[gangKey]*gang
}

type gangKey struct {
	job string
	try uint64
}

// gang is one attempt of a gang.
type gang struct {
	waiting   map[string]bool // tasks that wait for the others
	startedAt time.Time       // zero: not yet
	stoppedAt time.Time       // first stop with enough leeway
	lostAt    time.Time       // when a task of the running gang was gone first
}

func (g *gangs) get(t *task) *gang {
	key := gangKey{t.job.ID, t.key.try}
	if g.byKey[key] == nil {
		g.byKey[key] = &gang{waiting: make(map[string]bool)}
	}
	return g.byKey[key]
}

// gather tells that a task has its image and waits.
func (g *gangs) gather(t *task) {
	g.mu.Lock()
	defer g.mu.Unlock()
	x := g.get(t)
	x.waiting[t.key.name] = true
	if len(x.waiting) == t.job.Tasks && x.startedAt.IsZero() {
		x.startedAt = time.Now()
	}
}

// leave tells that a task is gone or has ended.
func (g *gangs) leave(t *task) {
	g.mu.Lock()
	defer g.mu.Unlock()
	x := g.get(t)
	delete(x.waiting, t.key.name)
	if !x.startedAt.IsZero() && x.lostAt.IsZero() && t.cause != "done" && !t.stored {
		x.lostAt = time.Now()
	}
}

// orderly tells of a stop with time to save.
func (g *gangs) orderly(t *task) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if x := g.get(t); x.stoppedAt.IsZero() {
		x.stoppedAt = time.Now()
	}
}

// state returns when the gang started, and whether its tasks end because one of them is gone.
func (g *gangs) state(t *task, peer time.Duration, now time.Time) (startedAt time.Time, broken bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	x := g.get(t)
	late := !x.stoppedAt.IsZero() && now.Sub(x.stoppedAt) > peer
	return x.startedAt, !x.lostAt.IsZero() && now.Sub(x.lostAt) > peer/2 || late
}
