package fencing

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"pgregory.net/rapid"
)

// The model is leaders, a network and workers. Tasks are started on workers again and again,
// mostly by direct commands, which may be held up without end and repeated; reports and their
// answers may be lost, and copies of reports come late. The fence is what the leader goes by.

type attempt struct {
	task   int
	number int
}

// command is a direct start on its way.
type command struct {
	worker         int
	token, session uint64
	attempt        attempt
}

type heartbeat struct {
	worker              int
	session, seq, token uint64
	live, ended         []attempt
}

// worker follows the protocol.
type worker struct {
	token, session, seq uint64
	tasks               map[attempt]bool // whether it runs; ended ones are kept until they are forgotten
	forgotten           map[attempt]bool
}

// place is what the leader knows of one worker.
type place struct {
	fence        *Fence[attempt]
	session, seq uint64
	heard        bool // has shown a token of this term
	booked       map[attempt]uint64
}

// fences makes a worker's fence; the tests of the model put in ones that are wrong.
type fences func(Tokens) *Fence[attempt]

type world struct {
	workers  []*worker
	places   []*place
	term     uint64 // the last number taken
	attempts int
	running  map[int]bool // tasks that the leader has booked
	commands []command    // all that were ever sent
	reports  []heartbeat  // all that were ever made
	window   int
	most     int // attempts that a worker may have had to remember
	faults   []string
	make     fences
}

func newWorld(workers, window int, make fences) *world {
	w := &world{window: window, make: make}
	for range workers {
		w.workers = append(w.workers, &worker{session: 1, tasks: map[attempt]bool{}, forgotten: map[attempt]bool{}})
	}
	w.lead()
	return w
}

// lead begins a term. The attempts of the one before are counted as lost: in this model a new
// leader waits for proof that all of them are gone, which sessions give.
func (w *world) lead() {
	tokens := TermTokens(w.term + 1)
	w.term = tokens.Last
	w.places, w.running = nil, make(map[int]bool)
	for _, worker := range w.workers {
		w.endSession(worker)
		w.places = append(w.places, &place{fence: w.make(tokens), booked: map[attempt]uint64{}})
	}
}

func (w *world) endSession(worker *worker) {
	worker.session++
	worker.seq = 0
	clear(worker.tasks)
}

// start books a task and commands its start, directly or with the answer to a report.
func (w *world) start(task, on int, direct bool) {
	p := w.places[on]
	if w.running[task] || !p.heard {
		return
	}
	w.running[task] = true
	w.attempts++
	a := attempt{task, w.attempts}
	if !direct || p.fence.Full() {
		p.booked[a] = 0
		return
	}
	p.booked[a] = p.fence.Token()
	w.commands = append(w.commands, command{on, p.fence.Token(), p.session, a})
}

// deliver carries out a direct command, however old, and returns the worker's report.
func (w *world) deliver(c command) {
	worker := w.workers[c.worker]
	if c.token < worker.token || c.session != worker.session {
		return
	}
	worker.token = c.token
	w.begin(worker, c.attempt)
}

func (w *world) begin(on *worker, a attempt) {
	if _, known := on.tasks[a]; known {
		return
	}
	if on.forgotten[a] {
		w.faults = append(w.faults, fmt.Sprintf("attempt %v runs after it was forgotten", a))
	}
	for _, other := range w.workers {
		for b, runs := range other.tasks {
			if runs && b.task == a.task {
				w.faults = append(w.faults, fmt.Sprintf("task %d is on two machines", a.task))
			}
		}
	}
	on.tasks[a] = true
}

// finish ends all tasks of a worker.
func (w *world) finish(on int) {
	for a := range w.workers[on].tasks {
		w.workers[on].tasks[a] = false
	}
}

func (w *world) report(on int) heartbeat {
	worker := w.workers[on]
	worker.seq++
	r := heartbeat{worker: on, session: worker.session, seq: worker.seq, token: worker.token}
	for a, runs := range worker.tasks {
		if runs {
			r.live = append(r.live, a)
		} else {
			r.ended = append(r.ended, a)
		}
	}
	w.reports = append(w.reports, r)
	return r
}

// receive has the leader take in a report; heard tells that its answer reaches the worker.
func (w *world) receive(r heartbeat, heard bool) {
	p, worker := w.places[r.worker], w.workers[r.worker]
	if r.session < p.session || r.session == p.session && r.seq <= p.seq {
		return // a late copy
	}
	if r.session > p.session {
		for a := range p.booked {
			w.release(p, a)
		}
		p.fence.IncarnationEnded()
	}
	p.session, p.seq = r.session, r.seq
	p.fence.ObserveToken(r.token)
	p.heard = p.heard || p.fence.tokens.Contains(r.token)
	for _, a := range r.ended {
		if _, booked := p.booked[a]; booked {
			if started := p.booked[a]; started != 0 {
				p.fence.Retain(a, started)
			}
			w.release(p, a)
		}
	}
	w.most = max(w.most, p.fence.Retained())
	p.fence.RaiseIfDue(w.window, false)
	if token := p.fence.Token(); heard && r.session == worker.session && token >= worker.token {
		worker.token = token
		w.carryOut(p, worker, r)
	}
}

// carryOut executes the orders of an answer.
func (w *world) carryOut(p *place, worker *worker, r heartbeat) {
	for a := range p.booked {
		w.begin(worker, a)
	}
	for _, a := range r.ended {
		if _, booked := p.booked[a]; !booked && !p.fence.MustRetain(a) {
			delete(worker.tasks, a)
			worker.forgotten[a] = true
		}
	}
}

func (w *world) release(p *place, a attempt) {
	delete(p.booked, a)
	w.running[a.task] = false
}

// step takes one step of the world, drawn by choose, which returns a number below n.
func (w *world) step(choose func(n int) int) {
	on := choose(len(w.workers))
	switch choose(12) {
	case 0, 1, 2:
		w.start(choose(4), on, choose(4) > 0)
	case 3, 4:
		if len(w.commands) > 0 { // any that was ever sent, again or for the first time
			w.deliver(w.commands[choose(len(w.commands))])
		}
	case 5:
		if n := len(w.commands); n > 0 {
			w.deliver(w.commands[n-1])
		}
	case 6:
		w.finish(on)
	case 7, 8, 9:
		w.receive(w.report(on), choose(4) > 0)
	case 10:
		if len(w.reports) > 0 {
			w.receive(w.reports[choose(len(w.reports))], false)
		}
	case 11:
		switch choose(12) {
		case 0:
			w.endSession(w.workers[on])
		case 1:
			w.lead()
		}
	}
}

func TestNoAttemptRunsAfterItWasForgotten(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(rapid.IntRange(1, 3).Draw(t, "workers"), rapid.IntRange(1, 4).Draw(t, "window"), New[attempt])
		t.Repeat(map[string]func(*rapid.T){
			"step": func(t *rapid.T) {
				w.step(func(n int) int { return rapid.IntRange(0, n-1).Draw(t, "choice") })
			},
			"": func(t *rapid.T) {
				if len(w.faults) > 0 {
					t.Fatal(w.faults[0])
				}
			},
		})
	})
}

// history plays one long history of the model.
func history(seed uint64, make fences) *world {
	random := rand.New(rand.NewPCG(seed, 1))
	w := newWorld(2, 3, make)
	for range 3000 {
		w.step(random.IntN)
	}
	return w
}

// The model finds the fault of a fence that lets a worker forget too early, and none of the
// right one, which keeps what a worker remembers small.
func TestTheModelFindsAFenceThatForgetsTooEarly(t *testing.T) {
	heedless := func(tokens Tokens) *Fence[attempt] {
		f := New[attempt](tokens)
		f.shown = tokens.Last // as if every command were dead already
		return f
	}
	faults := 0
	for seed := range uint64(50) {
		faults += len(history(seed, heedless).faults)
		w := history(seed, New[attempt])
		if len(w.faults) > 0 {
			t.Fatalf("seed %d: %s", seed, w.faults[0])
		}
		if w.most > MaxRetained/2 {
			t.Errorf("seed %d: a worker remembers %d attempts", seed, w.most)
		}
	}
	if faults == 0 {
		t.Error("the model finds no fault")
	}
}

func TestAFenceRaisesOnlyWhatTheWorkerHasShown(t *testing.T) {
	f := New[int](Tokens{First: 10, Last: 12})
	retain := func(n int) {
		for i := range n {
			f.Retain(100*int(f.Token())+i, f.Token())
		}
	}
	retain(4)
	if f.RaiseIfDue(4, false) {
		t.Error("raised before the worker has shown the token")
	}
	f.ObserveToken(10)
	if f.RaiseIfDue(5, false) || f.RaiseIfDue(4, true) || !f.RaiseIfDue(4, false) || f.Token() != 11 {
		t.Errorf("raised to %d", f.Token())
	}
	retain(4)
	if f.ObserveToken(11); f.Retained() != 4 || f.MustRetain(1000) || !f.MustRetain(1100) {
		t.Errorf("%d remembered", f.Retained())
	}
	f.ObserveToken(12) // a faulty worker takes one that it was never given
	if retain(MaxRetained); f.Token() != 12 || !f.Exhausted() || f.RaiseIfDue(1, false) || !f.Full() {
		t.Errorf("token %d, %d remembered", f.Token(), f.Retained())
	}
	if f.IncarnationEnded(); f.Full() || f.Retained() != 0 {
		t.Error("remembered over sessions")
	}
}
