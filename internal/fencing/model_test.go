package fencing

import "fmt"

// The model consists of leaders, a network and workers. Leaders start tasks on workers repeatedly,
// mostly by direct commands, which may be delayed without bound and repeated. Heartbeats and their
// responses may be lost, and copies of heartbeats may arrive late. The fence under test decides on the
// tokens of commands and on the attempts that workers retain.

type attempt struct {
	task   int
	number int
}

// command is a direct command to start an attempt.
type command struct {
	worker             int
	token, incarnation uint64
	attempt            attempt
}

// heartbeat lists the attempts of a worker: live attempts run, and ended attempts are still retained.
type heartbeat struct {
	worker                  int
	incarnation, seq, token uint64
	live, ended             []attempt
}

// worker models a worker that follows the workers' protocol.
type worker struct {
	token, incarnation, seq uint64
	attempts                map[attempt]bool // true: the attempt runs; false: the attempt has ended, and the worker retains it
	forgotten               map[attempt]bool // attempts that the worker no longer retains; they must not start again
}

// workerView is the leader's state of one worker.
type workerView struct {
	fence            *Fence[attempt]
	incarnation, seq uint64
	tokenShown       bool               // a heartbeat has shown a token of this term
	reserved         map[attempt]uint64 // reserved attempts, with the token of their direct command; 0: no such command
}

// newFence returns a new fence for a worker. Tests of the model itself use functions that return faulty fences.
type newFence func(Tokens) *Fence[attempt]

// world is the state of the model.
type world struct {
	workers     []*worker
	views       []*workerView
	lastToken   uint64 // the last token of the current term
	attempts    int
	active      map[int]bool // tasks for which the leader has a reserved attempt
	commands    []command    // every command ever sent
	heartbeats  []heartbeat  // every heartbeat ever sent
	window      int          // the number of retained attempts at which the token is raised
	maxRetained int          // the largest number of attempts that a worker had to retain at a time
	violations  []string
	newFence    newFence
}

func newWorld(workers, window int, newFence newFence) *world {
	w := &world{window: window, newFence: newFence}
	for range workers {
		w.workers = append(w.workers, &worker{incarnation: 1, attempts: make(map[attempt]bool), forgotten: make(map[attempt]bool)})
	}
	w.changeLeader()
	return w
}

// addViolation records a violated invariant.
func (w *world) addViolation(format string, args ...any) {
	w.violations = append(w.violations, fmt.Sprintf(format, args...))
}

// changeLeader begins a term. The attempts of the previous term are lost: in this model every worker
// begins a new incarnation, which proves to the new leader that none of these attempts runs any more.
func (w *world) changeLeader() {
	tokens := TermTokens(w.lastToken + 1)
	w.lastToken = tokens.Last
	w.views, w.active = nil, make(map[int]bool)
	for _, worker := range w.workers {
		worker.restart()
		w.views = append(w.views, &workerView{fence: w.newFence(tokens), reserved: make(map[attempt]uint64)})
	}
}

// restart begins the worker's next incarnation.
func (worker *worker) restart() {
	worker.incarnation++
	worker.seq = 0
	clear(worker.attempts)
}

// reserveAttempt reserves an attempt of a task on a worker. If direct is set and the fence isn't full, a direct
// command starts the attempt. Otherwise the response to a heartbeat starts it.
func (w *world) reserveAttempt(task, workerIndex int, direct bool) {
	view := w.views[workerIndex]
	if w.active[task] || !view.tokenShown {
		return
	}
	w.active[task] = true
	w.attempts++
	a := attempt{task, w.attempts}
	if !direct || view.fence.Full() {
		view.reserved[a] = 0
		return
	}
	view.reserved[a] = view.fence.Token()
	w.commands = append(w.commands, command{workerIndex, view.fence.Token(), view.incarnation, a})
}

// deliver delivers a direct command of any age to its worker.
func (w *world) deliver(c command) {
	worker := w.workers[c.worker]
	if c.token < worker.token || c.incarnation != worker.incarnation {
		return
	}
	worker.token = c.token
	w.startAttempt(worker, c.attempt)
}

// startAttempt starts an attempt on a worker, unless the worker has it already, and checks the invariants.
func (w *world) startAttempt(target *worker, a attempt) {
	if _, known := target.attempts[a]; known {
		return
	}
	if target.forgotten[a] {
		w.addViolation("attempt %v runs after it was forgotten", a)
	}
	for _, other := range w.workers {
		for b, runs := range other.attempts {
			if runs && b.task == a.task {
				w.addViolation("task %d is on two machines", a.task)
			}
		}
	}
	target.attempts[a] = true
}

// endAttempts ends all attempts on a worker.
func (w *world) endAttempts(workerIndex int) {
	for a := range w.workers[workerIndex].attempts {
		w.workers[workerIndex].attempts[a] = false
	}
}

// heartbeat returns a worker's next heartbeat. It also keeps the heartbeat in w.heartbeats, so that step can deliver late
// copies.
func (w *world) heartbeat(workerIndex int) heartbeat {
	worker := w.workers[workerIndex]
	worker.seq++
	h := heartbeat{worker: workerIndex, incarnation: worker.incarnation, seq: worker.seq, token: worker.token}
	for a, runs := range worker.attempts {
		if runs {
			h.live = append(h.live, a)
		} else {
			h.ended = append(h.ended, a)
		}
	}
	w.heartbeats = append(w.heartbeats, h)
	return h
}

// receive has the leader process a heartbeat. answered reports whether the response reaches the worker.
func (w *world) receive(h heartbeat, answered bool) {
	view, worker := w.views[h.worker], w.workers[h.worker]
	if h.incarnation < view.incarnation || h.incarnation == view.incarnation && h.seq <= view.seq {
		return // a late copy
	}
	if h.incarnation > view.incarnation {
		for a := range view.reserved {
			w.release(view, a)
		}
		view.fence.DropRetained()
	}
	view.incarnation, view.seq = h.incarnation, h.seq
	view.fence.ObserveToken(h.token)
	view.tokenShown = view.tokenShown || view.fence.tokens.Contains(h.token)
	for _, a := range h.ended {
		if startToken, reserved := view.reserved[a]; reserved {
			if startToken != 0 {
				view.fence.Retain(a, startToken)
			}
			w.release(view, a)
		}
	}
	w.maxRetained = max(w.maxRetained, view.fence.Retained())
	view.fence.RaiseIfDue(w.window, false)
	if token := view.fence.Token(); answered && h.incarnation == worker.incarnation && token >= worker.token {
		worker.token = token
		w.respond(view, worker, h)
	}
}

// respond has the worker carry out the response to a heartbeat. The worker starts the reserved attempts. Of
// the ended attempts that the heartbeat lists, it forgets those that it doesn't have to retain.
func (w *world) respond(view *workerView, worker *worker, h heartbeat) {
	for a := range view.reserved {
		w.startAttempt(worker, a)
	}
	for _, a := range h.ended {
		if _, reserved := view.reserved[a]; !reserved && !view.fence.MustRetain(a) {
			delete(worker.attempts, a)
			worker.forgotten[a] = true
		}
	}
}

// release drops the leader's reservation of an attempt.
func (w *world) release(view *workerView, a attempt) {
	delete(view.reserved, a)
	w.active[a.task] = false
}

// step takes one random step. choose returns a number from 0 to n-1.
func (w *world) step(choose func(n int) int) {
	workerIndex := choose(len(w.workers))
	switch choose(12) {
	case 0, 1, 2:
		w.reserveAttempt(choose(4), workerIndex, choose(4) > 0)
	case 3, 4:
		if len(w.commands) > 0 { // any command, delivered for the first time or again
			w.deliver(w.commands[choose(len(w.commands))])
		}
	case 5:
		if n := len(w.commands); n > 0 {
			w.deliver(w.commands[n-1])
		}
	case 6:
		w.endAttempts(workerIndex)
	case 7, 8, 9:
		w.receive(w.heartbeat(workerIndex), choose(4) > 0)
	case 10:
		if len(w.heartbeats) > 0 {
			w.receive(w.heartbeats[choose(len(w.heartbeats))], false)
		}
	case 11:
		switch choose(12) {
		case 0:
			w.workers[workerIndex].restart()
		case 1:
			w.changeLeader()
		}
	}
}
