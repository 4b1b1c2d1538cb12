package upgrade

import (
	"encoding/json"
	"fmt"
	"time"
)

// The model is a fleet of controllers with a store of guarded transactions. Its processes use this
// package as the scheduler does: they register, acquire leadership, and store the steps of Next. A
// process can't use a gate that its version doesn't know. Restarts, lost and delayed transactions and
// changes of leadership occur at any moment. The invariants are in invariants_test.go.

// modelGates are this program's gates and some of later versions.
var modelGates = append(append(GateList{}, Gates...),
	Gate{Name: "test-three", Since: 3},
	Gate{Name: "test-four", Since: 4, DependsOn: []GateName{"test-three"}},
	Gate{Name: "test-five", Since: 5, DependsOn: []GateName{"test-four"}},
)

// The keys of the store.
const (
	clusterKey         = "cluster"
	termKey            = "term"
	registrationPrefix = "node/" // followed by the node's name
)

// item is a stored value with the revision of its latest change; revision 0: the key doesn't exist.
type item struct {
	data     []byte
	revision int
}

// transaction is a guarded write of a leader, which may be carried out late.
type transaction struct {
	leadership int            // the revision of the leadership key that it is guarded by
	guards     map[string]int // the revisions of other keys
	sets       map[string][]byte
}

// process is one process of a controller.
type process struct {
	node      string
	session   string
	versions  Range
	registers bool // false: it is of a version that knows nothing of registrations
	alive     bool
}

// known returns the gates that the process knows.
func (p *process) known() GateList {
	if !p.registers {
		return nil
	}
	return modelGates.UpTo(p.versions.Max)
}

// world is the state of the model.
type world struct {
	nodes     []string
	processes map[string]*process // by node
	sessions  int
	policy    Policy
	now       time.Time

	store      map[string]item
	revision   int           // of the latest change of the store
	leadership int           // the revision of the leadership key; 0: nobody leads
	delayed    []transaction // sent, and to be carried out later or never

	leader             *leader  // nil: nobody leads, or a process that doesn't register does
	unregisteredLeader *process // a leader that doesn't register
	// unregisteredVersion2 reports that a version 2 that doesn't register has been in the fleet.
	// It uses its gates without the leader's permission, and doesn't keep version 1 from
	// leading: see docs/rolling-upgrade.md.
	unregisteredVersion2 bool

	dependants map[GateName]int // what is stored that depends on each gate
	unusedFor  time.Duration    // how long gates without dependants have had none

	previousRecord Record // the record before the latest transaction
	faults         []string
}

func newWorld(nodes int, policy Policy) *world {
	w := &world{
		processes:  make(map[string]*process),
		policy:     policy,
		now:        time.UnixMilli(1e12),
		store:      make(map[string]item),
		dependants: make(map[GateName]int),
	}
	for i := range nodes {
		w.nodes = append(w.nodes, fmt.Sprintf("n%d", i))
	}
	w.previousRecord = w.record()
	return w
}

// fault records a violated invariant.
func (w *world) fault(format string, args ...any) {
	w.faults = append(w.faults, fmt.Sprintf(format, args...))
}

// encode encodes a value for the store.
func (w *world) encode(value any) []byte {
	data, err := json.Marshal(value)
	if err != nil {
		w.fault("%T not encoded: %v", value, err)
	}
	return data
}

// put stores a value without guards.
func (w *world) put(key string, data []byte) {
	w.revision++
	w.store[key] = item{data, w.revision}
}

// record returns the stored cluster record.
func (w *world) record() Record {
	stored := w.store[clusterKey]
	if stored.revision == 0 {
		return Initial()
	}
	record, err := DecodeRecord(clusterKey, stored.data)
	if err != nil {
		w.fault("the stored record can't be decoded: %v", err)
	}
	return record
}

// apply carries a transaction out, and reports whether its guards held.
func (w *world) apply(tx transaction) bool {
	if tx.leadership != w.leadership {
		return false
	}
	for key, revision := range tx.guards {
		if w.store[key].revision != revision {
			return false
		}
	}
	w.previousRecord = w.record()
	w.revision++
	for key, data := range tx.sets {
		w.store[key] = item{data, w.revision}
	}
	w.checkTransition()
	return true
}

// restart replaces a node's process.
func (w *world) restart(node string, versions Range, registers bool) {
	w.stop(node)
	w.sessions++
	w.processes[node] = &process{node: node, session: fmt.Sprint(w.sessions), versions: versions, registers: registers, alive: true}
	if !registers && versions.Max == Version2 {
		w.unregisteredVersion2 = true
	}
}

// stop ends a node's process, if it has one.
func (w *world) stop(node string) {
	p := w.processes[node]
	if p == nil {
		return
	}
	p.alive = false
	if w.leader != nil && w.leader.process == p || w.unregisteredLeader == p {
		w.endLeadership()
	}
}

// aliveProcess returns a node's process, or nil if it has none that is alive.
func (w *world) aliveProcess(node string) *process {
	p := w.processes[node]
	if p == nil || !p.alive {
		return nil
	}
	return p
}

// registered reports whether the stored registration is the process's.
func (w *world) registered(p *process) bool {
	stored := w.store[registrationPrefix+p.node]
	registration, err := DecodeRegistration("", p.node, stored.data)
	return stored.revision != 0 && err == nil && registration.Session == p.session
}

// register has a node's process store its registration, or end if it isn't admitted.
func (w *world) register(node string) {
	p := w.aliveProcess(node)
	if p == nil || !p.registers || w.registered(p) {
		return
	}
	if Admit(w.record(), p.versions, w.policy) != nil {
		w.stop(node)
		return
	}
	w.put(registrationPrefix+node, w.encode(NewRegistration(node, p.session, p.versions)))
}

// acquireLeadership has a node's process become the leader, if there is none and it may lead.
func (w *world) acquireLeadership(node string) {
	p := w.aliveProcess(node)
	switch {
	case p == nil || w.leadership != 0:
	case !p.registers:
		w.acquireLeadershipUnregistered(p)
	case w.registered(p):
		w.acquireLeadershipRegistered(p)
	}
}

func (w *world) acquireLeadershipRegistered(p *process) {
	record := w.record()
	if Admit(record, p.versions, Policy{}) != nil {
		w.stop(p.node)
		return
	}
	if MayLead(record, p.versions, p.known()) != nil {
		return
	}
	term := Term{Fence: record.Fence}
	if stored := w.store[termKey]; stored.revision != 0 {
		earlier, err := DecodeTerm(termKey, stored.data)
		if err != nil {
			w.fault("the term can't be decoded: %v", err)
		}
		term.Number = earlier.Number
	}
	term.Number++
	w.put(termKey, w.encode(term))
	w.leadership = w.revision
	w.leader = &leader{
		process: p, term: term.Number, leadership: w.leadership,
		record: record, recordRevision: w.store[clusterKey].revision, unregistered: make(map[string]Version),
	}
	w.refresh()
}

// acquireLeadershipUnregistered does what commits 3661d31 and af96c21 do: they don't lead unless the
// term is a bare number.
func (w *world) acquireLeadershipUnregistered(p *process) {
	var term uint64
	if stored := w.store[termKey]; stored.revision != 0 && json.Unmarshal(stored.data, &term) != nil {
		return
	}
	w.put(termKey, w.encode(Term{Number: term + 1}))
	w.leadership = w.revision
	w.unregisteredLeader = p
}

// endLeadership removes the leadership key.
func (w *world) endLeadership() {
	w.leader, w.unregisteredLeader, w.leadership = nil, nil, 0
	w.revision++
}
