package upgrade

// The invariants of every history, in one place.

// checkStep holds of each single transaction on the record.
func (w *world) checkStep() {
	before, after := w.before, w.record()
	if after.Active > before.Active+1 || after.Active+1 < before.Active {
		w.fault("the active version moved from %d to %d at once", before.Active, after.Active)
	}
	if after.Minimum < before.Minimum {
		w.fault("the finalized version fell from %d to %d", before.Minimum, after.Minimum)
	}
	if after.Active > before.Active {
		for _, node := range w.nodes {
			item := w.keys[modelRegistration+node]
			if registration, err := DecodeRegistration("", node, item.data); err == nil && item.revision != 0 && registration.Max < after.Active {
				w.fault("version %d was activated beside node %s, registered with %s", after.Active, node, registration.Range)
			}
		}
	}
	for name, gate := range before.Gates {
		if _, still := after.Gates[name]; !still && gate.Used && w.dependants[name] > 0 && name != FencedTerm {
			w.fault("gate %s was closed with %d dependants", name, w.dependants[name])
		}
	}
}

// checkState holds at all times.
func (w *world) checkState() {
	record := w.record()
	if reason := record.inconsistency(); reason != "" {
		w.fault("the record contradicts itself: %s", reason)
	}
	for name, n := range w.dependants {
		if n > 0 && !record.Gate(name).Used && !w.legacyTwo {
			w.fault("%d dependants of gate %s, which isn't noted as in use", n, name)
		}
		w.checkReader(name, n)
	}
	if l := w.leader; l != nil && l.process.versions.Max < record.Minimum {
		w.fault("node %s leads with version %d below the finalized %d", l.process.node, l.process.versions.Max, record.Minimum)
	}
	if p := w.legacyLeader; p != nil && record.Minimum > p.versions.Max {
		w.fault("node %s leads unregistered below the finalized version %d", p.node, record.Minimum)
	}
}

// checkReader: whoever leads reads all that is stored.
func (w *world) checkReader(name GateName, dependants int) {
	if dependants == 0 {
		return
	}
	gate, _ := modelGates.find(name)
	if l := w.leader; l != nil && l.process.versions.Max < gate.Since && !w.legacyTwo {
		w.fault("node %s of version %d leads what depends on gate %s", l.process.node, l.process.versions.Max, name)
	}
	if p := w.legacyLeader; p != nil && p.versions.Max < gate.Since && !w.legacyTwo {
		w.fault("node %s, unregistered, of version %d leads what depends on gate %s", p.node, p.versions.Max, name)
	}
}

// settleSteps is more steps than any settled history needs: each gate opens, is withdrawn
// and closes, and each version goes up or down.
const settleSteps = 60

// settle lets a history quiet down and checks where it comes to rest.
func (w *world) settle() {
	for _, node := range w.nodes {
		w.register(node)
	}
	for _, node := range w.nodes {
		w.takeLead(node)
	}
	if w.legacyLeader != nil {
		return // it moves nothing, and reads all: checkState
	}
	if w.leader == nil {
		w.checkNobodyLeads()
		return
	}
	w.refresh()
	for _, node := range w.nodes {
		w.hear(node)
	}
	for range settleSteps {
		w.now = w.now.Add(w.policy.Soak)
		step, moved := w.step(answered)
		w.checkState()
		if step.Changed && !moved {
			w.fault("a step of a quiet fleet failed: %s", step.What)
		}
		if step.Changed {
			continue
		}
		if !w.drainDependants() {
			w.checkSettled(step)
			return
		}
	}
	w.fault("not settled after %d steps: %+v", settleSteps, w.record())
}

// drainDependants has what depends on gates that are withdrawn come to its end.
func (w *world) drainDependants() (drained bool) {
	for name, gate := range w.leader.record.Gates {
		if gate.Phase == GateWithdrawing && w.dependants[name] > 0 {
			w.dependants[name] = 0
			drained = true
		}
	}
	return drained
}

// checkSettled: the active version is the newest that every controller has and the
// operators allow, unless some controller has never been heard of.
func (w *world) checkSettled(step Step) {
	members := w.members()
	record := w.record()
	_, lowestMax, ok := oldestMember(members)
	if ok && lowestMax < record.Active && record.Minimum < record.Active {
		w.fault("version %d stays active beside version %d: %s", record.Active, lowestMax, step.Waiting)
	}
	if undeterminedMember(members) != "" || w.policy.Hold {
		return
	}
	want := lowestMax
	if w.policy.Target != 0 {
		want = min(want, max(w.policy.Target, record.Active))
	}
	for i := range members {
		if versions, _ := members[i].Versions(); versions.Min > record.Active+1 {
			return // it must not be there: Admit refuses it
		}
	}
	if record.Active < min(want, w.leader.process.versions.Max) {
		w.fault("settled at version %d, though every controller has %d: %s", record.Active, want, step.Waiting)
	}
}

// checkNobodyLeads: that is right only where no process lives that reads what is in use.
func (w *world) checkNobodyLeads() {
	record := w.record()
	for _, p := range w.processes {
		if p.alive && p.registers && w.registered(p) && MayLead(record, p.versions, p.known()) == nil {
			w.fault("node %s could lead and doesn't", p.node)
		}
		if p.alive && !p.registers && record.Fence == 0 {
			w.fault("node %s could lead unregistered and doesn't", p.node)
		}
	}
}
