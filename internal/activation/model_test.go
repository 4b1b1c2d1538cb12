package activation

import (
	"encoding/json"
	"fmt"
	"slices"
	"time"
)

// This file simulates one service. The store holds the lifecycle record of the service, with a revision, and
// the number of the attempt whose replica may be on a machine. A leader's term may end at any time. A leader's
// write to the record or to the attempt may be lost, unanswered or delayed. If an event changes both, they may
// be written in either order. Start commands may arrive late and repeatedly. Controllers forward requests
// according to a view of the record that may be out of date.

// write is a conditional write of either the record or the attempt.
type write struct {
	term, revision int
	record         *Record // nil: the attempt is written
	attempt        uint64
}

// replica identifies the replica of one attempt of a generation.
type replica struct{ generation, attempt uint64 }

// controller is a simulated controller. It forwards requests while its view of the record is valid and shows
// the state Ready, but not if it has acknowledged a later drain than the view shows.
type controller struct {
	view    Record
	readAt  time.Time
	drained uint64 // the number of the latest drain that the controller has acknowledged; 0: none
}

// viewLease is how long a controller's view is valid after the controller has read it.
const viewLease = 10 * time.Second

func (c *controller) forwards(now time.Time) bool {
	return now.Sub(c.readAt) < viewLease && c.view.State == Ready && c.view.Drain >= c.drained
}

func (c *controller) read(r Record, now time.Time) { c.view, c.readAt = r, now }

// transition is Record.Apply, or a faulty variant of it.
type transition func(Record, Event, *Policy, time.Time) (Record, Action)

type simulation struct {
	now    time.Time
	policy Policy

	// The store.
	record   Record
	revision int     // the revision of the record
	attempt  uint64  // the attempt whose replica may be on a machine
	term     int     // the number of the current leader's term
	delayed  []write // writes that may be carried out later, repeatedly or never

	// The leader's state.
	view          Record
	viewRevision  int
	reservedAt    time.Time // when the replica in the leader's view changed, or when the term began
	viewsExpireAt time.Time // when the views of all controllers will have expired, according to the leader

	lastAttempt   uint64 // the highest attempt number used
	liveReplicas  map[replica]bool
	provedGone    map[uint64]bool // attempts proved to be on no machine; start commands for them have no effect
	orderedStarts []replica       // start commands sent so far; each may arrive at any time and repeatedly
	controllers   []*controller
	acks          map[uint64]map[int]bool // by drain number: the controllers that have acknowledged the drain
	events        []Event                 // every event so far; each may occur again
	violations    []string

	// Tests that check whether the simulation detects faults change the following fields.
	transition        transition
	assumedViewLease  time.Duration // how long a new leader assumes that views of earlier terms stay valid
	maxStepIntervalMS int           // upper bound of the time between two steps
}

func newSimulation() *simulation {
	sim := &simulation{
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
		liveReplicas:      make(map[replica]bool),
		provedGone:        make(map[uint64]bool),
		acks:              make(map[uint64]map[int]bool),
		transition:        Record.Apply,
		assumedViewLease:  viewLease,
		maxStepIntervalMS: 4000,
	}
	for range 3 {
		sim.controllers = append(sim.controllers, &controller{})
	}
	sim.changeLeader()
	return sim
}

// addViolation records a violated invariant.
func (sim *simulation) addViolation(format string, args ...any) {
	sim.violations = append(sim.violations, fmt.Sprintf(format, args...))
}

// changeLeader begins a new term. The new leader reads the store and continues with the outstanding action.
func (sim *simulation) changeLeader() {
	sim.term++
	sim.viewRevision, sim.reservedAt, sim.viewsExpireAt = sim.revision, sim.now, sim.now.Add(sim.assumedViewLease)
	var action Action
	sim.view, action = sim.record.Restore(sim.attempt, &sim.policy, sim.now)
	if !sim.view.SameStored(sim.record) {
		sim.store(write{term: sim.term, revision: sim.viewRevision, record: &sim.view})
		sim.viewRevision = sim.revision
	}
	sim.perform(action)
}

// store carries out a write if its conditions hold, and reports whether they did. It checks that generations
// increase by one, and that records stay the same when they are encoded and decoded.
func (sim *simulation) store(w write) bool {
	if w.term != sim.term {
		return false
	}
	if w.record == nil {
		sim.attempt = w.attempt
		return true
	}
	if w.revision != sim.revision {
		return false
	}
	next := *w.record
	if next.Generation != sim.record.Generation && next.Generation != sim.record.Generation+1 {
		sim.addViolation("generation %d follows generation %d", next.Generation, sim.record.Generation)
	}
	raw, err := json.Marshal(next)
	if err != nil {
		sim.addViolation("record not encoded: %v", err)
	}
	decoded, err := Decode("model", raw)
	if err != nil || !decoded.SameStored(next) {
		sim.addViolation("%+v is decoded as %+v (error %v)", next, decoded, err)
	}
	sim.record = decoded
	sim.revision++
	return true
}

// outcome is the result of a write.
type outcome int

// The outcomes. The leader's term ends after any outcome but answered. It also ends if the write is rejected.
const (
	answered     outcome = iota // the write is carried out or rejected, and the leader receives the response
	lost                        // the write is never carried out, and the leader receives no response
	unanswered                  // the write is carried out or rejected, and the leader receives no response
	delayed                     // the write may be carried out later, and the leader receives no response
	outcomeCount                // the number of outcomes
)

// apply makes the leader apply an event and store the changes. If both the record and the attempt change, there
// are two writes, and attemptFirst selects whether the attempt is written first. The first of two writes is
// always answered. The last write has the given outcome.
func (sim *simulation) apply(e Event, result outcome, attemptFirst bool) {
	sim.events = append(sim.events, e)
	next, action := sim.transition(sim.view, e, &sim.policy, sim.now)
	var writes []write
	if next.Replica != sim.view.Replica {
		writes = append(writes, write{term: sim.term, attempt: next.Replica})
		sim.reservedAt = sim.now
	}
	if !next.SameStored(sim.view) {
		writes = append(writes, write{term: sim.term, revision: sim.viewRevision, record: &next})
	}
	if len(writes) == 2 && !attemptFirst {
		slices.Reverse(writes)
	}
	if len(writes) == 2 {
		sim.store(writes[0])
		writes = writes[1:]
	}
	for _, w := range writes {
		switch result {
		case unanswered:
			sim.store(w)
		case delayed:
			sim.delayed = append(sim.delayed, w)
		default: // answered is stored below, and lost is never stored
		}
		if result != answered || !sim.store(w) {
			sim.changeLeader() // a leader resigns if a write isn't answered
			return
		}
	}
	sim.view, sim.viewRevision = next, sim.revision
	sim.perform(action)
}

// perform carries out an action.
func (sim *simulation) perform(a Action) {
	r := &sim.view
	if (a == Start || a == Stop) && r.Replica == NoReplica {
		sim.addViolation("action %d without a reserved replica", a)
		return
	}
	switch a {
	case Start:
		sim.orderedStarts = append(sim.orderedStarts, replica{r.Generation, r.Replica})
	case Stop:
		sim.remove(r.Replica)
	case Reserve, Drain, NoAction:
	}
}

// startArrives delivers a start command to its machine. The same command may have arrived before. startArrives
// checks that there is at most one replica.
func (sim *simulation) startArrives(r replica) {
	if sim.provedGone[r.attempt] || sim.isRunning(r.attempt) {
		return
	}
	sim.liveReplicas[r] = true
	if len(sim.liveReplicas) > 1 {
		sim.addViolation("two replicas at once: %v", sim.liveReplicas)
	}
}

// isRunning reports whether an attempt is on its machine.
func (sim *simulation) isRunning(attempt uint64) bool {
	for r := range sim.liveReplicas {
		if r.attempt == attempt {
			return true
		}
	}
	return false
}

// remove ends an attempt on its machine.
func (sim *simulation) remove(attempt uint64) {
	for r := range sim.liveReplicas {
		if r.attempt == attempt {
			delete(sim.liveReplicas, r)
		}
	}
}

// replicaGone ends the replica in the leader's view, and reports to the leader that the replica is on no machine.
func (sim *simulation) replicaGone(result outcome, failed, attemptFirst bool) {
	if attempt := sim.view.Replica; attempt != NoReplica {
		sim.remove(attempt)
		sim.provedGone[attempt] = true
		sim.apply(ReplicaGone{sim.view.Generation, attempt, failed}, result, attemptFirst)
	}
}

// reserve reserves resources for the next replica.
func (sim *simulation) reserve(result outcome) {
	if sim.view.Replica == NoReplica {
		sim.lastAttempt++
		sim.apply(Reserved{sim.view.Generation, sim.lastAttempt}, result, false)
	}
}

// replicaServes reports to the leader that a live replica answers requests.
func (sim *simulation) replicaServes(result outcome) {
	for r := range sim.liveReplicas {
		sim.apply(Serving{r.generation, r.attempt}, result, false)
		return
	}
}

// request sends a user's request to a controller. The controller forwards the request, or reports demand to the
// leader if it may not forward requests. request checks that requests are forwarded only to the current
// generation, and not while this generation is stopped or being stopped.
func (sim *simulation) request(c *controller, result outcome) {
	if !c.forwards(sim.now) {
		sim.apply(Demand{c.view.Generation}, result, false)
		return
	}
	if r := sim.record; r.State == Stopping || r.State == Idle || r.Generation != c.view.Generation {
		sim.addViolation("a request is forwarded to generation %d, and the record is %s", c.view.Generation, r)
	}
}

// respond makes the leader send the record to a controller, if the leader's view is up to date.
func (sim *simulation) respond(c *controller) {
	if sim.viewRevision == sim.revision {
		c.read(sim.record, sim.now)
		sim.viewsExpireAt = sim.now.Add(viewLease)
	}
}

// expireViews reports to the leader that the current drain is complete, if the views of all controllers have
// expired.
func (sim *simulation) expireViews() {
	if !sim.now.Before(sim.viewsExpireAt) {
		sim.apply(Drained{sim.view.Drain}, answered, false)
	}
}

// acknowledgeDrain makes a controller stop forwarding requests and acknowledge the current drain. If there is no
// current drain, the controller repeats its latest acknowledgment, if any. Once every controller has acknowledged
// the drain, acknowledgeDrain reports to the leader that this drain is complete.
func (sim *simulation) acknowledgeDrain(i int) {
	c := sim.controllers[i]
	if sim.record.State == Draining {
		c.read(sim.record, sim.now)
		c.drained = sim.record.Drain
	}
	if c.drained == 0 {
		return
	}
	if sim.acks[c.drained] == nil {
		sim.acks[c.drained] = make(map[int]bool)
	}
	sim.acks[c.drained][i] = true
	if len(sim.acks[c.drained]) == len(sim.controllers) {
		sim.apply(Drained{c.drained}, answered, false)
	}
}

// quiet reports to the leader that no controller has had requests for the idle window.
func (sim *simulation) quiet(result outcome) {
	sim.apply(Quiet{sim.view.Generation, sim.now.Add(-sim.policy.IdleWindow)}, result, false)
}

// tick reports to the leader that time has passed.
func (sim *simulation) tick(result outcome) {
	sim.apply(Tick{sim.now.Sub(sim.reservedAt)}, result, false)
}

// step takes one random step. choose returns a number from 0 to n-1.
func (sim *simulation) step(choose func(n int) int) {
	result := answered
	if choose(6) == 0 {
		result = outcome(choose(int(outcomeCount)))
	}
	sim.now = sim.now.Add(time.Duration(choose(sim.maxStepIntervalMS)) * time.Millisecond)
	i := choose(len(sim.controllers))
	switch choose(14) {
	case 0, 1:
		sim.request(sim.controllers[i], result)
	case 2:
		sim.respond(sim.controllers[i])
	case 3:
		sim.reserve(result)
	case 4, 5:
		if len(sim.orderedStarts) > 0 {
			sim.startArrives(sim.orderedStarts[choose(len(sim.orderedStarts))])
		}
	case 6, 7:
		sim.replicaServes(result)
	case 8:
		if sim.view.Abandoned || sim.view.State == Stopping || choose(4) == 0 {
			sim.replicaGone(result, choose(2) == 0, choose(2) == 0)
		}
	case 9:
		sim.quiet(result)
	case 10:
		if choose(4) == 0 {
			sim.expireViews()
			return
		}
		sim.acknowledgeDrain(i)
	case 11:
		sim.tick(result)
	case 12:
		if len(sim.delayed) > 0 {
			sim.store(sim.delayed[choose(len(sim.delayed))])
		}
	case 13:
		switch choose(6) {
		case 0:
			sim.changeLeader()
		case 1:
			if len(sim.events) > 0 {
				sim.apply(sim.events[choose(len(sim.events))], result, choose(2) == 0)
			}
		}
	}
}

// settle runs without further requests and faults, and checks that the service is scaled to zero or that its
// wake fails.
func (sim *simulation) settle() {
	sim.delayed = nil
	for range 60 {
		sim.now = sim.now.Add(15 * time.Second)
		switch sim.view.State {
		case Starting:
			sim.settleStart()
		case Ready:
			sim.quiet(answered)
		case Draining:
			for i := range sim.controllers {
				sim.acknowledgeDrain(i)
			}
		case Stopping:
			sim.replicaGone(answered, false, false)
		case Idle, Failed, "":
			if sim.view.Replica == NoReplica {
				return
			}
			sim.replicaGone(answered, false, false)
		}
	}
	sim.addViolation("not settled: %s", sim.record)
}

// settleStart takes the next step of the current start. It reports an abandoned replica as gone, reserves
// resources for a replica, or makes the reserved replica answer requests.
func (sim *simulation) settleStart() {
	sim.tick(answered)
	switch {
	case sim.view.Abandoned:
		sim.replicaGone(answered, false, false)
	case sim.view.Replica == NoReplica:
		sim.reserve(answered)
	default:
		sim.startArrives(replica{sim.view.Generation, sim.view.Replica})
		sim.replicaServes(answered)
	}
}
