package activation

import (
	"encoding/json"
	"fmt"
	"slices"
	"time"
)

// The model is one service with its lifecycle record in a store with revisions, and beside it the stored
// attempt that may be on a machine. Leaders may end at any moment, and each of their writes to the two
// may be lost, unanswered or delayed, in either order. Starts may arrive late and repeatedly. Controllers
// pass requests on by a view of the record that may be out of date.

// write is a conditional write to the record or to the attempt.
type write struct {
	term, revision int
	record         *Record // nil: the attempt is written
	attempt        uint64
}

// replica is an attempt of a generation that may be on a machine.
type replica struct{ generation, attempt uint64 }

// controller passes requests on while its view of the record is valid and says that the model is ready.
type controller struct {
	view    Record
	readAt  time.Time
	drained uint64 // the latest drain that it has acknowledged
}

// viewLease is how long a controller's view is valid.
const viewLease = 10 * time.Second

func (c *controller) passesOn(now time.Time) bool {
	return now.Sub(c.readAt) < viewLease && c.view.State == Ready && c.view.Drain >= c.drained
}

func (c *controller) read(r Record, now time.Time) { c.view, c.readAt = r, now }

// transition is Record.Apply, or a faulty variant of it.
type transition func(Record, Event, *Policy, time.Time) (Record, Action)

type world struct {
	now    time.Time
	policy Policy

	// The store.
	record   Record
	revision int    // of the record
	attempt  uint64 // the attempt that may be on a machine
	term     int    // of the present leader
	delayed  []write

	// The leader's state.
	view         Record
	viewRevision int
	reservedAt   time.Time // of the leader's replica
	routedUntil  time.Time // until when some controller may pass requests on, as the leader knows it

	lastAttempt uint64 // the highest attempt number used
	live        map[replica]bool
	gone        map[uint64]bool // attempts proved gone: later starts of them have no effect
	starts      []replica       // starts ordered, which may arrive at any time and repeatedly
	controllers []*controller
	acks        map[uint64]map[int]bool // controllers that have acknowledged a drain
	events      []Event                 // every event so far, which may occur again
	faults      []string

	// Tests that the model is strict enough vary these.
	transition   transition
	unknownLease time.Duration // how long a new leader takes earlier views to be valid
	maxStrideMS  int           // bound of the time between two steps
}

func newWorld() *world {
	w := &world{
		now: time.UnixMilli(1e12),
		policy: Policy{
			IdleWindow:   10 * time.Second,
			StartTimeout: 20 * time.Second,
			StableAfter:  4 * time.Second,
			MaxAttempts:  3,
			Backoff:      time.Second,
			Cooldown:     30 * time.Second,
			DrainTimeout: 15 * time.Second,
		},
		live:         make(map[replica]bool),
		gone:         make(map[uint64]bool),
		acks:         make(map[uint64]map[int]bool),
		transition:   Record.Apply,
		unknownLease: viewLease,
		maxStrideMS:  4000,
	}
	for range 3 {
		w.controllers = append(w.controllers, &controller{})
	}
	w.changeLeader()
	return w
}

// fault records a violated invariant.
func (w *world) fault(format string, args ...any) {
	w.faults = append(w.faults, fmt.Sprintf(format, args...))
}

// changeLeader begins a term: the leader reads the store and continues with the outstanding action.
func (w *world) changeLeader() {
	w.term++
	w.viewRevision, w.reservedAt, w.routedUntil = w.revision, w.now, w.now.Add(w.unknownLease)
	var action Action
	w.view, action = w.record.Restore(w.attempt, &w.policy, w.now)
	if !w.view.SameStored(w.record) {
		w.store(write{term: w.term, revision: w.viewRevision, record: &w.view})
		w.viewRevision = w.revision
	}
	w.act(action)
}

// store carries a write out, and reports whether its conditions held. It checks that generations
// increase by one, and that records are decoded as they were encoded.
func (w *world) store(t write) bool {
	if t.term != w.term {
		return false
	}
	if t.record == nil {
		w.attempt = t.attempt
		return true
	}
	if t.revision != w.revision {
		return false
	}
	next := *t.record
	if next.Generation != w.record.Generation && next.Generation != w.record.Generation+1 {
		w.fault("generation %d follows generation %d", next.Generation, w.record.Generation)
	}
	raw, err := json.Marshal(next)
	if err != nil {
		w.fault("record not encoded: %v", err)
	}
	decoded, err := Decode("model", raw)
	if err != nil || !decoded.SameStored(next) {
		w.fault("%+v is decoded as %+v (error %v)", next, decoded, err)
	}
	w.record = decoded
	w.revision++
	return true
}

// outcome is what becomes of a write.
type outcome int

// The outcomes. After any but the first, the leader's term ends.
const (
	answered outcome = iota
	lost
	unanswered
	delayed
	outcomes
)

// apply has the leader apply an event and store the changes with that outcome. If both the record and
// the attempt change, the first write is always answered, and attemptFirst selects which it is.
func (w *world) apply(e Event, result outcome, attemptFirst bool) {
	w.events = append(w.events, e)
	next, action := w.transition(w.view, e, &w.policy, w.now)
	var writes []write
	if next.Replica != w.view.Replica {
		writes = append(writes, write{term: w.term, attempt: next.Replica})
		w.reservedAt = w.now
	}
	if !next.SameStored(w.view) {
		writes = append(writes, write{term: w.term, revision: w.viewRevision, record: &next})
	}
	if len(writes) == 2 && !attemptFirst {
		slices.Reverse(writes)
	}
	if len(writes) == 2 {
		w.store(writes[0])
		writes = writes[1:]
	}
	for _, t := range writes {
		switch result {
		case unanswered:
			w.store(t)
		case delayed:
			w.delayed = append(w.delayed, t)
		default: // nothing is stored yet
		}
		if result != answered || !w.store(t) {
			w.changeLeader() // a leader resigns if a write isn't answered
			return
		}
	}
	w.view, w.viewRevision = next, w.revision
	w.act(action)
}

// act carries an action out.
func (w *world) act(a Action) {
	r := &w.view
	if (a == Start || a == Stop) && r.Replica == NoReplica {
		w.fault("action %d without a reserved replica", a)
		return
	}
	switch a {
	case Start:
		w.starts = append(w.starts, replica{r.Generation, r.Replica})
	case Stop:
		w.remove(r.Replica)
	case Reserve, Drain, Nothing:
	}
}

// startArrives has a start reach its machine, perhaps not for the first time. It checks that there is
// at most one replica.
func (w *world) startArrives(r replica) {
	if w.gone[r.attempt] || w.running(r.attempt) {
		return
	}
	w.live[r] = true
	if len(w.live) > 1 {
		w.fault("two replicas at once: %v", w.live)
	}
}

// running reports whether an attempt is on its machine.
func (w *world) running(attempt uint64) bool {
	for r := range w.live {
		if r.attempt == attempt {
			return true
		}
	}
	return false
}

// remove ends an attempt on its machine.
func (w *world) remove(attempt uint64) {
	for r := range w.live {
		if r.attempt == attempt {
			delete(w.live, r)
		}
	}
}

// replicaGone ends the leader's replica and proves that it is gone.
func (w *world) replicaGone(result outcome, failed, attemptFirst bool) {
	if attempt := w.view.Replica; attempt != NoReplica {
		w.remove(attempt)
		w.gone[attempt] = true
		w.apply(ReplicaGone{w.view.Generation, attempt, failed}, result, attemptFirst)
	}
}

// reserve reserves resources for the next replica.
func (w *world) reserve(result outcome) {
	if w.view.Replica == NoReplica {
		w.lastAttempt++
		w.apply(Reserved{w.view.Generation, w.lastAttempt}, result, false)
	}
}

// replicaServes has a replica answer requests.
func (w *world) replicaServes(result outcome) {
	for r := range w.live {
		w.apply(Serving{r.generation, r.attempt}, result, false)
		return
	}
}

// request is a user's request at a controller, which passes it on or reports demand. It checks that
// requests are passed on only to the present generation, and not while that is being stopped.
func (w *world) request(c *controller, result outcome) {
	if !c.passesOn(w.now) {
		w.apply(Demand{c.view.Generation}, result, false)
		return
	}
	if r := w.record; r.State == Stopping || r.State == Idle || r.Generation != c.view.Generation {
		w.fault("a request is passed on to generation %d, and the record is %s", c.view.Generation, r)
	}
}

// respond has the leader send a controller the record, if the leader's view is up to date.
func (w *world) respond(c *controller) {
	if w.viewRevision == w.revision {
		c.read(w.record, w.now)
		w.routedUntil = w.now.Add(viewLease)
	}
}

// expireViews ends a drain once the views of all controllers have expired.
func (w *world) expireViews() {
	if !w.now.Before(w.routedUntil) {
		w.apply(Drained{w.view.Drain}, answered, false)
	}
}

// acknowledgeDrain has a controller stop passing requests on and report so.
func (w *world) acknowledgeDrain(i int) {
	c := w.controllers[i]
	if w.record.State == Draining {
		c.read(w.record, w.now)
		c.drained = w.record.Drain
	}
	if c.drained == 0 {
		return
	}
	if w.acks[c.drained] == nil {
		w.acks[c.drained] = make(map[int]bool)
	}
	w.acks[c.drained][i] = true
	if len(w.acks[c.drained]) == len(w.controllers) {
		w.apply(Drained{c.drained}, answered, false)
	}
}

// quiet reports that no controller has had requests for the idle window.
func (w *world) quiet(result outcome) {
	w.apply(Quiet{w.view.Generation, w.now.Add(-w.policy.IdleWindow)}, result, false)
}

// tick reports the passage of time.
func (w *world) tick(result outcome) {
	w.apply(Tick{w.now.Sub(w.reservedAt)}, result, false)
}

// step takes one random step. choose returns a number from 0 to n-1.
func (w *world) step(choose func(n int) int) {
	result := answered
	if choose(6) == 0 {
		result = outcome(choose(int(outcomes)))
	}
	w.now = w.now.Add(time.Duration(choose(w.maxStrideMS)) * time.Millisecond)
	i := choose(len(w.controllers))
	switch choose(14) {
	case 0, 1:
		w.request(w.controllers[i], result)
	case 2:
		w.respond(w.controllers[i])
	case 3:
		w.reserve(result)
	case 4, 5:
		if len(w.starts) > 0 {
			w.startArrives(w.starts[choose(len(w.starts))])
		}
	case 6, 7:
		w.replicaServes(result)
	case 8:
		if w.view.Abandoned || w.view.State == Stopping || choose(4) == 0 {
			w.replicaGone(result, choose(2) == 0, choose(2) == 0)
		}
	case 9:
		w.quiet(result)
	case 10:
		if choose(4) == 0 {
			w.expireViews()
			return
		}
		w.acknowledgeDrain(i)
	case 11:
		w.tick(result)
	case 12:
		if len(w.delayed) > 0 {
			w.store(w.delayed[choose(len(w.delayed))])
		}
	case 13:
		switch choose(6) {
		case 0:
			w.changeLeader()
		case 1:
			if len(w.events) > 0 {
				w.apply(w.events[choose(len(w.events))], result, choose(2) == 0)
			}
		}
	}
}

// settle ends all requests and faults, and checks that the model scales to zero.
func (w *world) settle() {
	w.delayed = nil
	for range 60 {
		w.now = w.now.Add(15 * time.Second)
		switch w.view.State {
		case Starting:
			w.settleStart()
		case Ready:
			w.quiet(answered)
		case Draining:
			for i := range w.controllers {
				w.acknowledgeDrain(i)
			}
		case Stopping:
			w.replicaGone(answered, false, false)
		case Idle, Failed, "":
			if w.view.Replica == NoReplica {
				return
			}
			w.replicaGone(answered, false, false)
		}
	}
	w.fault("not settled: %s", w.record)
}

// settleStart has the present start succeed, or be repeated if it was abandoned.
func (w *world) settleStart() {
	w.tick(answered)
	switch {
	case w.view.Abandoned:
		w.replicaGone(answered, false, false)
	case w.view.Replica == NoReplica:
		w.reserve(answered)
	default:
		w.startArrives(replica{w.view.Generation, w.view.Replica})
		w.replicaServes(answered)
	}
}
