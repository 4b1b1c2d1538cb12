package upgrade

import (
	"encoding/json"
	"fmt"
	"maps"
	"time"
)

// The model is a fleet of controllers beside a store with guarded transactions. A process
// does what coordination does with this package; whatever it doesn't know it can't use.

// modelGates are this program's gates and those of versions to come.
var modelGates = append(append(GateList{}, Gates...),
	Gate{Name: "test-three", Since: 3},
	Gate{Name: "test-four", Since: 4, DependsOn: []GateName{"test-three"}},
	Gate{Name: "test-five", Since: 5, DependsOn: []GateName{"test-four"}},
)

// process is one run of a controller.
type process struct {
	node      string
	session   string
	versions  Range
	registers bool // or it is of a version that knows nothing of registrations
	alive     bool
	ended     error // why it ended by itself
}

// known is the gates that the process knows.
func (p *process) known() GateList {
	if !p.registers {
		return nil
	}
	return modelGates.UpTo(p.versions.Max)
}

// stored is a value with the revision of its latest change; revision 0: it doesn't exist.
type stored struct {
	data     []byte
	revision int
}

// transaction is one that was sent, and may be carried out late.
type transaction struct {
	leadRevision int
	guards       map[string]int
	sets         map[string][]byte
}

// leaderView is what the leader believes.
type leaderView struct {
	process       *process
	term          uint64
	leadRevision  int
	record        Record
	recordGuard   int
	registrations map[string]stored
	told          map[string]Version // of processes that don't register, by their own word
	tentative     bool               // a release is on its way: a use must be stored anew
}

// world is the model's state.
type world struct {
	revision     int
	keys         map[string]stored
	lead         int // revision of the leadership key; 0: nobody leads
	nodes        []string
	processes    map[string]*process
	sessions     int
	leader       *leaderView // nil: none, or one that doesn't register
	legacyLeader *process
	late         []transaction
	dependants   map[GateName]int // what is stored that depends on a gate
	policy       Policy
	now          time.Time
	idle         time.Duration // for how long what nothing depends on has been unused
	// legacyTwo tells that a version 2 that doesn't register has been in the fleet. It
	// uses its gates unasked, and bars no version 1: see docs/rolling-upgrade.md.
	legacyTwo bool

	before Record // the record before the latest transaction
	faults []string
}

const (
	modelCluster      = "cluster"
	modelTerm         = "term"
	modelRegistration = "node/"
)

func newWorld(nodes int, policy Policy) *world {
	w := &world{keys: make(map[string]stored), processes: make(map[string]*process), dependants: make(map[GateName]int), policy: policy, now: time.UnixMilli(1e12)}
	for i := range nodes {
		w.nodes = append(w.nodes, fmt.Sprintf("n%d", i))
	}
	w.before = w.record()
	return w
}

func (w *world) fault(format string, args ...any) {
	w.faults = append(w.faults, fmt.Sprintf(format, args...))
}

// record is the cluster record as it is stored.
func (w *world) record() Record {
	item := w.keys[modelCluster]
	if item.revision == 0 {
		return Initial()
	}
	record, err := DecodeRecord(modelCluster, item.data)
	if err != nil {
		w.fault("the stored record can't be read: %v", err)
	}
	return record
}

// apply carries a transaction out, unless a guard bars it.
func (w *world) apply(tx transaction) bool {
	if tx.leadRevision != w.lead {
		return false
	}
	for key, revision := range tx.guards {
		if w.keys[key].revision != revision {
			return false
		}
	}
	w.before = w.record()
	w.revision++
	for key, data := range tx.sets {
		w.keys[key] = stored{data, w.revision}
	}
	w.checkStep()
	return true
}

// restart ends a node's process and begins another.
func (w *world) restart(node string, versions Range, registers bool) {
	w.kill(node)
	w.sessions++
	w.processes[node] = &process{node: node, session: fmt.Sprint(w.sessions), versions: versions, registers: registers, alive: true}
	w.legacyTwo = w.legacyTwo || !registers && versions.Max == Version2
}

func (w *world) kill(node string) {
	p := w.processes[node]
	if p == nil {
		return
	}
	p.alive = false
	if w.leader != nil && w.leader.process == p || w.legacyLeader == p {
		w.deposeLeader()
	}
}

func (w *world) deposeLeader() {
	w.leader, w.legacyLeader, w.lead = nil, nil, 0
	w.revision++
}

// registered tells whether a process's registration stands.
func (w *world) registered(p *process) bool {
	item := w.keys[modelRegistration+p.node]
	registration, err := DecodeRegistration("", p.node, item.data)
	return item.revision != 0 && err == nil && registration.Session == p.session
}

// register does what membership does.
func (w *world) register(node string) {
	p := w.processes[node]
	if p == nil || !p.alive || !p.registers || w.registered(p) {
		return
	}
	if err := Admit(w.record(), p.versions, w.policy); err != nil {
		p.ended = err
		w.kill(node)
		return
	}
	data, err := json.Marshal(NewRegistration(node, p.session, p.versions))
	if err != nil {
		w.fault("registration not encoded: %v", err)
	}
	w.revision++
	w.keys[modelRegistration+node] = stored{data, w.revision}
}

// takeLead does what leadership does, or what versions did that don't register.
func (w *world) takeLead(node string) {
	p := w.processes[node]
	if w.lead != 0 || p == nil || !p.alive {
		return
	}
	if !p.registers {
		w.takeLegacyLead(p)
		return
	}
	record := w.record()
	if !w.registered(p) {
		return
	}
	if err := Admit(record, p.versions, Policy{}); err != nil {
		p.ended = err
		w.kill(node)
		return
	}
	if MayLead(record, p.versions, p.known()) != nil {
		return
	}
	term := Term{Fence: record.Fence}
	if item := w.keys[modelTerm]; item.revision != 0 {
		earlier, err := DecodeTerm(modelTerm, item.data)
		if err != nil {
			w.fault("the term can't be read: %v", err)
		}
		term.Number = earlier.Number
	}
	term.Number++
	w.writeTerm(term)
	w.lead = w.revision
	w.leader = &leaderView{process: p, term: term.Number, leadRevision: w.lead, record: record, recordGuard: w.keys[modelCluster].revision, told: make(map[string]Version)}
	w.refresh()
}

func (w *world) writeTerm(term Term) {
	data, err := json.Marshal(term)
	if err != nil {
		w.fault("term not encoded: %v", err)
	}
	w.revision++
	w.keys[modelTerm] = stored{data, w.revision}
}

// takeLegacyLead is how 3661d31 and af96c21 take the lead: they read a bare number.
func (w *world) takeLegacyLead(p *process) {
	var term uint64
	if item := w.keys[modelTerm]; item.revision != 0 && json.Unmarshal(item.data, &term) != nil {
		return
	}
	w.writeTerm(Term{Number: term + 1})
	w.lead = w.revision
	w.legacyLeader = p
}

// refresh has the leader read what is stored.
func (w *world) refresh() {
	if l := w.leader; l != nil {
		l.tentative = l.tentative && l.recordGuard == w.keys[modelCluster].revision
		l.record, l.recordGuard = w.record(), w.keys[modelCluster].revision
		l.registrations = make(map[string]stored)
		for _, node := range w.nodes {
			l.registrations[node] = w.keys[modelRegistration+node]
		}
	}
}

// hear has the leader hear a node's process.
func (w *world) hear(node string) {
	p := w.processes[node]
	if w.leader == nil || p == nil || !p.alive {
		return
	}
	delete(w.leader.told, node)
	if !p.registers {
		w.leader.told[node] = p.versions.Max
	}
}

// members is what the leader knows of the fleet.
func (w *world) members() []Member {
	var members []Member
	for _, node := range w.nodes {
		m := Member{Node: node, Unregistered: w.leader.told[node]}
		if item := w.leader.registrations[node]; item.revision != 0 {
			registration, err := DecodeRegistration("", node, item.data)
			m.Damaged = err != nil
			if err == nil {
				m.Registered = &registration
			}
		}
		members = append(members, m)
	}
	return members
}

// next is the leader's next step.
func (w *world) next() Step {
	p := w.leader.process
	return Next(Situation{
		Record: w.leader.record, Members: w.members(), Versions: p.versions, Known: p.known(),
		Usage: maps.Clone(w.dependants), Unused: w.unused(), Policy: w.policy, Now: w.now, Term: w.leader.term,
	})
}

// unused tells for how long nothing has depended on each gate, as an earlier count may have it.
func (w *world) unused() map[GateName]time.Duration {
	unused := make(map[GateName]time.Duration)
	for _, gate := range modelGates {
		unused[gate.Name] = w.idle
	}
	return unused
}

// transactionOf is how a leader stores a record.
func (w *world) transactionOf(record Record, withMembers bool) transaction {
	data, err := json.Marshal(record)
	if err != nil {
		w.fault("record not encoded: %v", err)
	}
	l := w.leader
	tx := transaction{leadRevision: l.leadRevision, guards: map[string]int{modelCluster: l.recordGuard}, sets: map[string][]byte{modelCluster: data}}
	if withMembers {
		for _, node := range w.nodes {
			tx.guards[modelRegistration+node] = l.registrations[node].revision
		}
	}
	if record.Fence != l.record.Fence {
		term, err := json.Marshal(Term{Number: l.term, Fence: record.Fence})
		if err != nil {
			w.fault("term not encoded: %v", err)
		}
		tx.guards[modelTerm] = w.keys[modelTerm].revision
		tx.sets[modelTerm] = term
	}
	return tx
}

// outcome is what becomes of a transaction.
type outcome int

const (
	answered outcome = iota
	answerLost
	lateOrNever
)

// send sends a record; the leader reads anew what it can't be sure of.
func (w *world) send(record Record, withMembers bool, fate outcome) bool {
	tx := w.transactionOf(record, withMembers)
	if fate == lateOrNever {
		w.late = append(w.late, tx)
		w.refresh()
		return false
	}
	done := w.apply(tx)
	if !done || fate == answerLost {
		w.refresh()
		return false
	}
	w.leader.record, w.leader.recordGuard, w.leader.tentative = record, w.revision, false
	return true
}

// step has the leader take its next step, if there is one.
func (w *world) step(fate outcome) (Step, bool) {
	if w.leader == nil {
		return Step{}, false
	}
	step := w.next()
	if !step.Changed {
		return step, false
	}
	w.leader.tentative = w.leader.tentative || step.Releases != ""
	return step, w.send(step.Record, true, fate)
}

// depend has the leader make something that depends on a gate, taking it into use first.
func (w *world) depend(name GateName, fate outcome) {
	switch {
	case w.legacyLeader != nil && w.legacyLeader.versions.Max >= Version2 && (name == GangJobs || name == CompressedChunks):
		w.dependants[name]++ // it asks no one
	case w.leader == nil:
	case w.leader.record.Gate(name).Usable() && !w.leader.tentative:
		if _, ok := w.leader.process.known().find(name); ok && w.lead == w.leader.leadRevision {
			w.dependants[name]++
		}
	default:
		if record, err := MarkGateUsed(w.leader.record, name, w.leader.term); err == nil {
			if _, ok := w.leader.process.known().find(name); ok {
				w.send(record, false, fate)
			}
		}
	}
}
