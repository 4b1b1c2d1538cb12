package upgrade

import (
	"maps"
	"time"
)

// leader is the state of a leader that registers.
type leader struct {
	process        *process
	term           uint64
	leadership     int // the revision of its leadership key
	record         Record
	recordRevision int
	registrations  map[string]item    // by node
	unregistered   map[string]Version // of processes that don't register, as they report to their peers
	releasePending bool               // a release may yet be carried out: a use of a gate must be stored again
}

// refresh has the leader read the record and the registrations.
func (w *world) refresh() {
	l := w.leader
	if l == nil {
		return
	}
	revision := w.store[clusterKey].revision
	l.releasePending = l.releasePending && l.recordRevision == revision
	l.record, l.recordRevision = w.record(), revision
	l.registrations = make(map[string]item)
	for _, node := range w.nodes {
		l.registrations[node] = w.store[registrationPrefix+node]
	}
}

// exchangeVersions has a node's process report its version to the leader.
func (w *world) exchangeVersions(node string) {
	p := w.aliveProcess(node)
	if w.leader == nil || p == nil {
		return
	}
	delete(w.leader.unregistered, node)
	if !p.registers {
		w.leader.unregistered[node] = p.versions.Max
	}
}

// members returns what the leader knows of the fleet.
func (w *world) members() []Member {
	var members []Member
	for _, node := range w.nodes {
		m := Member{Node: node, UnregisteredVersion: w.leader.unregistered[node]}
		if stored := w.leader.registrations[node]; stored.revision != 0 {
			registration, err := DecodeRegistration("", node, stored.data)
			m.Damaged = err != nil
			if err == nil {
				m.Registration = &registration
			}
		}
		members = append(members, m)
	}
	return members
}

// next returns the leader's next step.
func (w *world) next() Step {
	p := w.leader.process
	unused := make(map[GateName]time.Duration)
	for _, gate := range modelGates {
		unused[gate.Name] = w.unusedFor
	}
	return Next(Situation{
		Record: w.leader.record, Members: w.members(), Versions: p.versions, Known: p.known(),
		Usage: maps.Clone(w.dependants), Unused: unused, Policy: w.policy, Now: w.now, Term: w.leader.term,
	})
}

// recordTransaction returns the leader's transaction that stores a record, and the term if the fence
// changes. guardMembers: it fails if a registration has changed.
func (w *world) recordTransaction(record Record, guardMembers bool) transaction {
	l := w.leader
	tx := transaction{
		leadership: l.leadership,
		guards:     map[string]int{clusterKey: l.recordRevision},
		sets:       map[string][]byte{clusterKey: w.encode(record)},
	}
	if guardMembers {
		for _, node := range w.nodes {
			tx.guards[registrationPrefix+node] = l.registrations[node].revision
		}
	}
	if record.Fence != l.record.Fence {
		tx.guards[termKey] = w.store[termKey].revision
		tx.sets[termKey] = w.encode(Term{Number: l.term, Fence: record.Fence})
	}
	return tx
}

// outcome is what becomes of a transaction that the leader sends.
type outcome int

const (
	answered     outcome = iota // it is carried out or rejected, and the leader learns which
	responseLost                // it is carried out or rejected, and the leader doesn't learn which
	delayed                     // it may be carried out later, and the leader learns nothing
)

// commit has the leader store a record, and reports whether it knows that it is stored. Otherwise the
// leader reads the store again.
func (w *world) commit(record Record, guardMembers bool, result outcome) bool {
	tx := w.recordTransaction(record, guardMembers)
	if result == delayed {
		w.delayed = append(w.delayed, tx)
		w.refresh()
		return false
	}
	stored := w.apply(tx)
	if !stored || result == responseLost {
		w.refresh()
		return false
	}
	w.leader.record, w.leader.recordRevision, w.leader.releasePending = record, w.revision, false
	return true
}

// step has the leader take its next step, if there is a leader and a step to take. It returns the step
// and whether the leader knows that it is stored.
func (w *world) step(result outcome) (Step, bool) {
	if w.leader == nil {
		return Step{}, false
	}
	step := w.next()
	if !step.Changed {
		return step, false
	}
	w.leader.releasePending = w.leader.releasePending || step.Releases != ""
	return step, w.commit(step.Record, true, result)
}

// addDependant has the leader store something that depends on a gate, if it may. The first time it
// marks the gate as used instead, as a transaction with that outcome.
func (w *world) addDependant(name GateName, result outcome) {
	if w.usesWithoutGate(name) {
		w.dependants[name]++
		return
	}
	if w.leader == nil {
		return
	}
	if _, known := w.leader.process.known().find(name); !known {
		return
	}
	if w.leader.record.Gate(name).Usable() && !w.leader.releasePending {
		if w.leadership == w.leader.leadership {
			w.dependants[name]++
		}
		return
	}
	if record, err := MarkGateUsed(w.leader.record, name, w.leader.term); err == nil {
		w.commit(record, false, result)
	}
}

// usesWithoutGate reports whether the leader is a version 2 that doesn't register, which uses its
// features without gates.
func (w *world) usesWithoutGate(name GateName) bool {
	p := w.unregisteredLeader
	return p != nil && p.versions.Max >= Version2 && (name == GangJobs || name == CompressedChunks)
}
