package activation

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// The model is one model's record in a store with revisions, beside it the record of the attempt
// that may be on a machine, leaders that may end at any moment and whose writes of the two may each be
// lost, unanswered or late and come in either order, machines that carry starts out late, and nodes
// that pass requests on by a view of the record that may be old.

// write is a conditional write on its way: of the record, or of the attempt's.
type write struct {
	term, revision int
	record         *Record
	attempt        uint64 // that may be on a machine, where record is nil
}

// instance is a replica on its machine.
type instance struct{ generation, attempt uint64 }

// node passes requests on while it believes that the model is ready.
type node struct {
	view    Record
	drained uint64 // the last drain that it has acknowledged
	read    time.Time
}

// nodeLease is for how long a node goes by what it has read.
const nodeLease = 10 * time.Second

func (n *node) passesOn(now time.Time) bool {
	return now.Sub(n.read) < nodeLease && n.view.State == Ready && n.view.Drain >= n.drained
}

func (n *node) readRecord(r Record, now time.Time) { n.view, n.read = r, now }

type world struct {
	now      time.Time
	policy   Policy
	record   Record
	placed   uint64 // the attempt that the store has on a machine
	revision int
	term     int
	view     Record // the leader's, with the revision that it was read at
	viewed   int
	bookedAt time.Time // of the leader's replica
	routed   time.Time // until when some node may go by what it has read, as the leader knows it
	attempts uint64    // numbers that were used
	late     []write
	live     map[instance]bool
	gone     map[uint64]bool // attempts proved gone: a start that comes late is void
	ordered  []instance      // starts on their way, again and again
	nodes    []*node
	acks     map[uint64]map[int]bool // who has acknowledged a drain
	observed []Event                 // all that was ever seen, which may be told again late
	starts   map[uint64]int          // replicas that answered, of each generation
	faults   []string
	// unknownLease is for how long a new leader counts on what nodes were told before it.
	unknownLease time.Duration
	strideMS     int // the longest time between two steps
	// transition is Apply; the tests of the model put in ones that are wrong.
	transition func(Record, Event, *Policy, time.Time) (Record, Action)
}

func newWorld() *world {
	w := &world{
		now:    time.UnixMilli(1e12),
		policy: Policy{IdleWindow: 10 * time.Second, StartWithin: 20 * time.Second, StableAfter: 4 * time.Second, Attempts: 3, Backoff: time.Second, Cooldown: 30 * time.Second, DrainTimeout: 15 * time.Second},
		live:   map[instance]bool{}, gone: map[uint64]bool{}, acks: map[uint64]map[int]bool{}, starts: map[uint64]int{},
		transition: Record.Apply, unknownLease: nodeLease, strideMS: 4000,
	}
	for range 3 {
		w.nodes = append(w.nodes, &node{})
	}
	w.lead()
	return w
}

func (w *world) fault(format string, args ...any) {
	w.faults = append(w.faults, fmt.Sprintf(format, args...))
}

// lead begins a term: the leader reads what is stored and goes on with what is pending.
func (w *world) lead() {
	w.term++
	w.viewed, w.bookedAt, w.routed = w.revision, w.now, w.now.Add(w.unknownLease)
	var action Action
	w.view, action = w.record.Restore(w.placed, &w.policy, w.now)
	if !w.view.SameStored(w.record) {
		w.store(write{term: w.term, revision: w.viewed, record: &w.view})
		w.viewed = w.revision
	}
	w.act(action)
}

// store carries a write out, if nothing bars it.
func (w *world) store(t write) bool {
	if t.term != w.term {
		return false
	}
	if t.record == nil {
		w.placed = t.attempt
		return true
	}
	if t.revision != w.revision {
		return false
	}
	next := *t.record
	if next.Generation != w.record.Generation && next.Generation != w.record.Generation+1 {
		w.fault("generation %d follows %d", next.Generation, w.record.Generation)
	}
	raw, err := json.Marshal(next)
	if err != nil {
		w.fault("not encoded: %v", err)
	}
	back, err := Decode("model", raw)
	if err != nil || !back.SameStored(next) {
		w.fault("%+v is read as %+v, %v", next, back, err)
	}
	w.record = back
	w.revision++
	return true
}

// The fates of a write.
const (
	answered = iota
	lost
	unanswered
	delayed
	fates
)

// happen has the leader take in an event, and its writes meet a fate. Where there are two, the first
// of them is carried out whatever becomes of the second: attemptFirst tells which.
func (w *world) happen(e Event, fate int, attemptFirst bool) {
	w.observed = append(w.observed, e)
	next, action := w.transition(w.view, e, &w.policy, w.now)
	var writes []write
	if next.Replica != w.view.Replica {
		writes = append(writes, write{term: w.term, attempt: next.Replica})
		w.bookedAt = w.now
	}
	if !next.SameStored(w.view) {
		writes = append(writes, write{term: w.term, revision: w.viewed, record: &next})
	}
	if len(writes) == 2 && !attemptFirst {
		slices.Reverse(writes)
	}
	if len(writes) == 2 {
		w.store(writes[0])
		writes = writes[1:]
	}
	for _, t := range writes {
		switch fate {
		case unanswered:
			w.store(t)
		case delayed:
			w.late = append(w.late, t)
		}
		if fate != answered || !w.store(t) {
			w.lead() // whose write isn't answered gives its lead up
			return
		}
	}
	w.view, w.viewed = next, w.revision
	w.act(action)
}

// act carries an action out: starts and stops go through the ordinary path, which
// starts nothing that was proved gone.
func (w *world) act(a Action) {
	r := &w.view
	if (a == Start || a == Stop) && r.Replica == NoReplica {
		w.fault("nothing is booked, and it is to start or stop")
		return
	}
	switch a {
	case Start:
		w.ordered = append(w.ordered, instance{r.Generation, r.Replica})
	case Stop:
		w.remove(r.Replica)
	case Reserve, Drain, Nothing:
	}
}

// arrive has a start that was ordered reach its machine, maybe not for the first time.
func (w *world) arrive(i instance) {
	if w.gone[i.attempt] || w.running(i.attempt) {
		return
	}
	w.live[i] = true
	if len(w.live) > 1 {
		w.fault("two replicas at once: %v", w.live)
	}
}

// running tells whether an attempt is on its machine.
func (w *world) running(attempt uint64) bool {
	for i := range w.live {
		if i.attempt == attempt {
			return true
		}
	}
	return false
}

// remove ends an attempt on its machine.
func (w *world) remove(attempt uint64) {
	for i := range w.live {
		if i.attempt == attempt {
			delete(w.live, i)
		}
	}
}

// prove has the place of the leader's replica be proved empty; then no start of it counts.
func (w *world) prove(fate int, failed, attemptFirst bool) {
	if r := w.view.Replica; r != NoReplica {
		w.remove(r)
		w.gone[r] = true
		w.happen(ReplicaGone{w.view.Generation, r, failed}, fate, attemptFirst)
	}
}

// book has room reserved for the next replica.
func (w *world) book(fate int) {
	if w.view.Replica == NoReplica {
		w.attempts++
		w.happen(Reserved{w.view.Generation, w.attempts}, fate, false)
	}
}

func (w *world) answer(fate int) {
	for i := range w.live {
		w.happen(Serving{i.generation, i.attempt}, fate, false)
		return
	}
}

// request is a user's request at a node.
func (w *world) request(n *node, fate int) {
	if !n.passesOn(w.now) {
		w.happen(Demand{n.view.Generation}, fate, false)
		return
	}
	if r := w.record; r.State == Stopping || r.Generation != n.view.Generation || r.State == Idle {
		w.fault("a request is passed on to generation %d, and the record is %s", n.view.Generation, r)
	}
}

// tell has the leader answer a node, if it holds what is stored.
func (w *world) tell(n *node) {
	if w.viewed == w.revision {
		n.readRecord(w.record, w.now)
		w.routed = w.now.Add(nodeLease)
	}
}

// outlast ends a drain whose nodes are silent, once what they were told has run out.
func (w *world) outlast() {
	if !w.now.Before(w.routed) {
		w.happen(Drained{w.view.Drain}, answered, false)
	}
}

// acknowledge has a node stop passing requests on, and say so.
func (w *world) acknowledge(i int) {
	n := w.nodes[i]
	if w.record.State == Draining {
		n.readRecord(w.record, w.now)
		n.drained = w.record.Drain
	}
	if n.drained == 0 {
		return
	}
	if w.acks[n.drained] == nil {
		w.acks[n.drained] = map[int]bool{}
	}
	w.acks[n.drained][i] = true
	if len(w.acks[n.drained]) == len(w.nodes) {
		w.happen(Drained{n.drained}, answered, false)
	}
}

// step takes one step, drawn by choose, which returns a number below n.
func (w *world) step(choose func(n int) int) {
	fate := answered
	if choose(6) == 0 {
		fate = choose(fates)
	}
	w.now = w.now.Add(time.Duration(choose(w.strideMS)) * time.Millisecond)
	i := choose(len(w.nodes))
	switch choose(14) {
	case 0, 1:
		w.request(w.nodes[i], fate)
	case 2:
		w.tell(w.nodes[i])
	case 3:
		w.book(fate)
	case 4, 5:
		if len(w.ordered) > 0 {
			w.arrive(w.ordered[choose(len(w.ordered))])
		}
	case 6, 7:
		w.answer(fate)
	case 8:
		if w.view.Abandoned || w.view.State == Stopping || choose(4) == 0 {
			w.prove(fate, choose(2) == 0, choose(2) == 0)
		}
	case 9:
		w.happen(Quiet{w.view.Generation, w.now.Add(-w.policy.IdleWindow)}, fate, false)
	case 10:
		if choose(4) == 0 {
			w.outlast()
			return
		}
		w.acknowledge(i)
	case 11:
		w.happen(Tick{w.now.Sub(w.bookedAt)}, fate, false)
	case 12:
		if len(w.late) > 0 {
			w.store(w.late[choose(len(w.late))])
		}
	case 13:
		switch choose(6) {
		case 0:
			w.lead()
		case 1:
			if len(w.observed) > 0 {
				w.happen(w.observed[choose(len(w.observed))], fate, choose(2) == 0)
			}
		}
	}
}

// rest lets the model come to rest: nobody asks any more, and everything goes well.
func (w *world) rest() {
	w.late = nil
	for range 60 {
		w.now = w.now.Add(15 * time.Second)
		switch w.view.State {
		case Starting:
			if w.happen(Tick{w.now.Sub(w.bookedAt)}, answered, false); w.view.Abandoned {
				w.prove(answered, false, false)
			} else if w.view.Replica == NoReplica {
				w.book(answered)
			} else {
				w.arrive(instance{w.view.Generation, w.view.Replica})
				w.answer(answered)
			}
		case Ready:
			w.happen(Quiet{w.view.Generation, w.now.Add(-w.policy.IdleWindow)}, answered, false)
		case Draining:
			for i := range w.nodes {
				w.acknowledge(i)
			}
		case Stopping:
			w.prove(answered, false, false)
		case Idle, Failed, "":
			if w.view.Replica == NoReplica {
				return
			}
			w.prove(answered, false, false)
		}
	}
	w.fault("never at rest: %s", w.record)
}

// Whatever happens in whichever order: at most one replica at a time, generations grow by one, no
// request goes to what is being stopped, every record is read as it was written, and the
// model comes to rest.
func TestOneReplicaWhateverHappens(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld()
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
		if w.rest(); len(w.faults) > 0 {
			t.Fatal(w.faults[0])
		}
	})
}

// history plays a long history, with the transitions changed.
func history(seed uint64, change func(Record, Event, *Policy, time.Time) (Record, Action)) *world {
	return historyOf(seed, func(w *world) { w.transition = change })
}

// historyOf plays a long history in a world that is changed.
func historyOf(seed uint64, change func(w *world)) *world {
	random := rand.New(rand.NewPCG(seed, 2))
	w := newWorld()
	change(w)
	for range 4000 {
		if w.step(random.IntN); len(w.faults) > 0 {
			break
		}
	}
	return w
}

// The model finds the faults of lifecycles that lack a guard.
func TestTheModelFindsWhatLacksAGuard(t *testing.T) {
	for name, wrong := range map[string]func(r Record, e Event, p *Policy, now time.Time) (Record, Action){
		"another replica before the old one is proved gone": func(r Record, e Event, p *Policy, now time.Time) (Record, Action) {
			if next, action := r.Apply(e, p, now); !next.Abandoned {
				return next, action
			}
			r.Replica = NoReplica
			return r.enter(Starting, now), Reserve
		},
		"demand for an earlier generation wakes": func(r Record, e Event, p *Policy, now time.Time) (Record, Action) {
			if _, demand := e.(Demand); demand && r.State == Stopping {
				r.Replica = NoReplica
				return r.wake(now)
			}
			return r.Apply(e, p, now)
		},
		"the word on an earlier drain counts": func(r Record, e Event, p *Policy, now time.Time) (Record, Action) {
			if _, drained := e.(Drained); drained && r.State == Draining {
				return r.enter(Stopping, now), Stop
			}
			return r.Apply(e, p, now)
		},
		"it stops without asking the nodes": func(r Record, e Event, p *Policy, now time.Time) (Record, Action) {
			if next, action := r.Apply(e, p, now); next.State != Draining {
				return next, action
			}
			return r.enter(Stopping, now), Stop
		},
		"the word on an earlier replica counts": func(r Record, e Event, p *Policy, now time.Time) (Record, Action) {
			if gone, ok := e.(ReplicaGone); ok && r.Replica != NoReplica {
				gone.Generation, gone.Attempt = r.Generation, r.Replica
				e = gone
			}
			return r.Apply(e, p, now)
		},
	} {
		found := 0
		for seed := range uint64(60) {
			found += len(history(seed, wrong).faults)
		}
		if found == 0 {
			t.Errorf("not found: %s", name)
		}
	}
	forgetful := 0
	for seed := range uint64(60) {
		forgetful += len(historyOf(seed, func(w *world) { w.unknownLease, w.strideMS = 0, 500 }).faults)
	}
	if forgetful == 0 {
		t.Error("not found: a new leader counts on no lease of the term before")
	}
	wakes := uint64(0)
	for seed := range uint64(60) {
		w := historyOf(seed, func(w *world) { w.strideMS = []int{4000, 500}[seed%2] })
		if len(w.faults) > 0 {
			t.Errorf("seed %d: %s", seed, w.faults[0])
		}
		wakes += w.record.Generation
	}
	if wakes < 200 {
		t.Errorf("only %d wakes in all: too few to show anything", wakes)
	}
}
