package upgrade

import (
	"maps"
	"time"
)

// leader is the state of a leader that registers.
type leader struct {
	process        *process
	term           uint64
	leadership     int // the revision of the leadership key that this leader created
	record         Record
	recordRevision int
	registrations  map[string]item    // by node
	unregistered   map[string]Version // by node: the version that a process that doesn't register has reported
	// releasePending reports that the release of a gate may still be committed. A gate must then be
	// marked as used again before its next use.
	releasePending bool
}

// refresh makes the leader read the record and the registrations from the store.
func (sim *simulation) refresh() {
	l := sim.leader
	if l == nil {
		return
	}
	revision := sim.store[clusterKey].revision
	l.releasePending = l.releasePending && l.recordRevision == revision
	l.record, l.recordRevision = sim.record(), revision
	l.registrations = make(map[string]item)
	for _, node := range sim.nodes {
		l.registrations[node] = sim.store[registrationPrefix+node]
	}
}

// exchangeVersions makes a node's process report to the leader whether it registers, and its version if it
// doesn't.
func (sim *simulation) exchangeVersions(node string) {
	p := sim.aliveProcess(node)
	if sim.leader == nil || p == nil {
		return
	}
	delete(sim.leader.unregistered, node)
	if !p.registers {
		sim.leader.unregistered[node] = p.versions.Max
	}
}

// members returns the leader's information about the controllers of the fleet.
func (sim *simulation) members() []Member {
	var members []Member
	for _, node := range sim.nodes {
		m := Member{Node: node, UnregisteredVersion: sim.leader.unregistered[node]}
		if stored := sim.leader.registrations[node]; stored.revision != 0 {
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

// nextStep returns the leader's next step.
func (sim *simulation) nextStep() Step {
	p := sim.leader.process
	unused := make(map[GateName]time.Duration)
	for _, gate := range simulatedGates {
		unused[gate.Name] = sim.unusedFor
	}
	return NextStep(Situation{
		Record: sim.leader.record, Members: sim.members(), Versions: p.versions, KnownGates: p.knownGates(),
		Usage: maps.Clone(sim.dependents), Unused: unused, Policy: sim.policy, Now: sim.now, Term: sim.leader.term,
	})
}

// recordTransaction returns a transaction of the leader that stores a record. If the fence changes, the
// transaction also stores the term with the new fence. If guardMembers is true, the transaction is
// rejected if a registration has changed since the leader read it.
func (sim *simulation) recordTransaction(record Record, guardMembers bool) transaction {
	l := sim.leader
	tx := transaction{
		leadership: l.leadership,
		guards:     map[string]int{clusterKey: l.recordRevision},
		sets:       map[string][]byte{clusterKey: sim.encode(record)},
	}
	if guardMembers {
		for _, node := range sim.nodes {
			tx.guards[registrationPrefix+node] = l.registrations[node].revision
		}
	}
	if record.Fence != l.record.Fence {
		tx.guards[termKey] = sim.store[termKey].revision
		tx.sets[termKey] = sim.encode(Term{Number: l.term, Fence: record.Fence})
	}
	return tx
}

// outcome is the result of a transaction that the leader sends.
type outcome int

const (
	answered     outcome = iota // the transaction is committed or rejected, and the leader receives the response
	responseLost                // the transaction is committed or rejected, and the response is lost
	delayed                     // the transaction may be committed later, and the leader receives no response
)

// commit makes the leader store a record, and reports whether the leader has received a response that
// confirms the write. If not, the leader reads the store again.
func (sim *simulation) commit(record Record, guardMembers bool, result outcome) bool {
	tx := sim.recordTransaction(record, guardMembers)
	if result == delayed {
		sim.delayed = append(sim.delayed, tx)
		sim.refresh()
		return false
	}
	stored := sim.apply(tx)
	if !stored || result == responseLost {
		sim.refresh()
		return false
	}
	sim.leader.record, sim.leader.recordRevision, sim.leader.releasePending = record, sim.revision, false
	return true
}

// step makes the leader take its next step, if there is a leader and a step to take. It returns the step
// and whether the leader has received a response that confirms that the step is stored.
func (sim *simulation) step(result outcome) (Step, bool) {
	if sim.leader == nil {
		return Step{}, false
	}
	step := sim.nextStep()
	if !step.Changed {
		return step, false
	}
	sim.leader.releasePending = sim.leader.releasePending || step.ReleasedGate != ""
	return step, sim.commit(step.Record, true, result)
}

// addDependent makes the leader store an object that depends on a gate, if the leader supports the gate
// and the gate is open. If the gate isn't marked as used, or a release is pending, the leader only marks
// the gate as used, by a transaction with the given outcome. A further call then stores the object.
func (sim *simulation) addDependent(name GateName, result outcome) {
	if sim.usesWithoutGate(name) {
		sim.dependents[name]++
		return
	}
	if sim.leader == nil {
		return
	}
	if _, known := sim.leader.process.knownGates().find(name); !known {
		return
	}
	if sim.leader.record.Gate(name).Usable() && !sim.leader.releasePending {
		if sim.leadership == sim.leader.leadership {
			sim.dependents[name]++
		}
		return
	}
	if record, err := MarkGateUsed(sim.leader.record, name, sim.leader.term); err == nil {
		sim.commit(record, false, result)
	}
}

// usesWithoutGate reports whether the leader uses the feature of a gate without checking the gate. A
// process that doesn't register does so if it is of version 2 or later and the gate belongs to version 2.
func (sim *simulation) usesWithoutGate(name GateName) bool {
	p := sim.unregisteredLeader
	return p != nil && p.versions.Max >= Version2 && (name == GangJobs || name == CompressedChunks)
}
