package upgrade

import (
	"encoding/json"
	"fmt"
	"time"
)

// This file simulates a fleet of controllers and a store with guarded transactions. The simulated processes
// use this package as the scheduler does: they register, acquire leadership, and store the records of the
// steps that NextStep returns. A process can't use a gate that its version doesn't support. Restarts, lost
// responses, delayed transactions and changes of leadership may occur at any time. The invariants are in
// invariants_test.go.

// simulatedGates lists this program's gates and gates that exist only in the simulation.
var simulatedGates = append(append(GateList{}, Gates...),
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

// item is a stored value with the revision of its latest change. Revision 0 means that the key doesn't
// exist.
type item struct {
	data     []byte
	revision int
}

// transaction is a guarded write of a leader, which may be committed late.
type transaction struct {
	leadership int            // the required revision of the leadership key
	guards     map[string]int // the required revisions of other keys
	sets       map[string][]byte
}

// process is one process of a controller.
type process struct {
	node      string
	session   string
	versions  Range
	registers bool // false: its version doesn't support registrations
	alive     bool
}

// knownGates returns the gates that the process supports.
func (p *process) knownGates() GateList {
	if !p.registers {
		return nil
	}
	return simulatedGates.UpTo(p.versions.Max)
}

// simulation is the state of the simulated fleet and store.
type simulation struct {
	nodes     []string
	processes map[string]*process // by node
	sessions  int
	policy    Policy
	now       time.Time

	store      map[string]item
	revision   int           // the revision of the latest change of the store
	leadership int           // the revision of the leadership key; 0: there is no leader
	delayed    []transaction // sent transactions that may be committed later or never

	leader             *leader  // nil: there is no leader, or the leader doesn't register
	unregisteredLeader *process // the leader, if it doesn't register
	// unregisteredVersion2 is true once a process of version 2 that doesn't register has been in the
	// fleet. Such a process uses the features of version 2 without checking gates, and doesn't prevent
	// version 1 from leading: see docs/rolling-upgrade.md.
	unregisteredVersion2 bool

	dependents map[GateName]int // the number of stored objects that depend on each gate
	unusedFor  time.Duration    // how long each gate has had no dependents, as passed to NextStep

	previousRecord Record // the record before the latest transaction
	violations     []string
}

func newSimulation(nodes int, policy Policy) *simulation {
	sim := &simulation{
		processes:  make(map[string]*process),
		policy:     policy,
		now:        time.UnixMilli(1e12),
		store:      make(map[string]item),
		dependents: make(map[GateName]int),
	}
	for i := range nodes {
		sim.nodes = append(sim.nodes, fmt.Sprintf("n%d", i))
	}
	sim.previousRecord = sim.record()
	return sim
}

// addViolation records a violated invariant.
func (sim *simulation) addViolation(format string, args ...any) {
	sim.violations = append(sim.violations, fmt.Sprintf(format, args...))
}

// encode encodes a value for the store.
func (sim *simulation) encode(value any) []byte {
	data, err := json.Marshal(value)
	if err != nil {
		sim.addViolation("%T not encoded: %v", value, err)
	}
	return data
}

// put stores a value unconditionally.
func (sim *simulation) put(key string, data []byte) {
	sim.revision++
	sim.store[key] = item{data, sim.revision}
}

// record returns the stored cluster record.
func (sim *simulation) record() Record {
	stored := sim.store[clusterKey]
	if stored.revision == 0 {
		return Initial()
	}
	record, err := DecodeRecord(clusterKey, stored.data)
	if err != nil {
		sim.addViolation("the stored record can't be decoded: %v", err)
	}
	return record
}

// apply commits a transaction if its guards hold, and reports whether they did.
func (sim *simulation) apply(tx transaction) bool {
	if tx.leadership != sim.leadership {
		return false
	}
	for key, revision := range tx.guards {
		if sim.store[key].revision != revision {
			return false
		}
	}
	sim.previousRecord = sim.record()
	sim.revision++
	for key, data := range tx.sets {
		sim.store[key] = item{data, sim.revision}
	}
	sim.checkTransition()
	return true
}

// restart replaces a node's process by a new one.
func (sim *simulation) restart(node string, versions Range, registers bool) {
	sim.stop(node)
	sim.sessions++
	sim.processes[node] = &process{node: node, session: fmt.Sprint(sim.sessions), versions: versions,
		registers: registers, alive: true}
	if !registers && versions.Max == Version2 {
		sim.unregisteredVersion2 = true
	}
}

// stop ends a node's process, if it has one.
func (sim *simulation) stop(node string) {
	p := sim.processes[node]
	if p == nil {
		return
	}
	p.alive = false
	if sim.leader != nil && sim.leader.process == p || sim.unregisteredLeader == p {
		sim.endLeadership()
	}
}

// aliveProcess returns a node's live process, or nil if it has none.
func (sim *simulation) aliveProcess(node string) *process {
	p := sim.processes[node]
	if p == nil || !p.alive {
		return nil
	}
	return p
}

// registered reports whether the stored registration of the node was written by this process.
func (sim *simulation) registered(p *process) bool {
	stored := sim.store[registrationPrefix+p.node]
	registration, err := DecodeRegistration("", p.node, stored.data)
	return stored.revision != 0 && err == nil && registration.Session == p.session
}

// register makes a node's process store its registration, or exit if it isn't admitted.
func (sim *simulation) register(node string) {
	p := sim.aliveProcess(node)
	if p == nil || !p.registers || sim.registered(p) {
		return
	}
	if Admit(sim.record(), p.versions, sim.policy) != nil {
		sim.stop(node)
		return
	}
	sim.put(registrationPrefix+node, sim.encode(NewRegistration(node, p.session, p.versions)))
}

// acquireLeadership makes a node's process the leader, if there is no leader and the process may lead.
func (sim *simulation) acquireLeadership(node string) {
	p := sim.aliveProcess(node)
	switch {
	case p == nil || sim.leadership != 0:
	case !p.registers:
		sim.acquireLeadershipUnregistered(p)
	case sim.registered(p):
		sim.acquireLeadershipRegistered(p)
	}
}

func (sim *simulation) acquireLeadershipRegistered(p *process) {
	record := sim.record()
	if Admit(record, p.versions, Policy{}) != nil {
		sim.stop(p.node)
		return
	}
	if MayLead(record, p.versions, p.knownGates()) != nil {
		return
	}
	term := Term{Fence: record.Fence}
	if stored := sim.store[termKey]; stored.revision != 0 {
		earlier, err := DecodeTerm(termKey, stored.data)
		if err != nil {
			sim.addViolation("the term can't be decoded: %v", err)
		}
		term.Number = earlier.Number
	}
	term.Number++
	sim.put(termKey, sim.encode(term))
	sim.leadership = sim.revision
	sim.leader = &leader{
		process: p, term: term.Number, leadership: sim.leadership,
		record: record, recordRevision: sim.store[clusterKey].revision, unregistered: make(map[string]Version),
	}
	sim.refresh()
}

// acquireLeadershipUnregistered makes a process that doesn't register the leader. It behaves like the
// program at commits 3661d31 and af96c21: if a term is stored that isn't a bare number, the process doesn't
// become the leader.
func (sim *simulation) acquireLeadershipUnregistered(p *process) {
	var term uint64
	if stored := sim.store[termKey]; stored.revision != 0 && json.Unmarshal(stored.data, &term) != nil {
		return
	}
	sim.put(termKey, sim.encode(Term{Number: term + 1}))
	sim.leadership = sim.revision
	sim.unregisteredLeader = p
}

// endLeadership ends the current leadership by removing the leadership key.
func (sim *simulation) endLeadership() {
	sim.leader, sim.unregisteredLeader, sim.leadership = nil, nil, 0
	sim.revision++
}
