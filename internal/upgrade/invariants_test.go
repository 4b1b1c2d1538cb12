package upgrade

// checkTransition checks the invariants of a single transaction on the record.
func (w *world) checkTransition() {
	before, after := w.previousRecord, w.record()
	if after.Active > before.Active+1 || after.Active+1 < before.Active {
		w.fault("the active version changed from %d to %d in one step", before.Active, after.Active)
	}
	if after.Minimum < before.Minimum {
		w.fault("the finalized version was lowered from %d to %d", before.Minimum, after.Minimum)
	}
	if after.Active > before.Active {
		w.checkRegistrationsSupport(after.Active)
	}
	for name, gate := range before.Gates {
		if _, present := after.Gates[name]; !present && gate.Used && w.dependants[name] > 0 && name != FencedTerm {
			w.fault("gate %s was closed with %d dependants", name, w.dependants[name])
		}
	}
}

// checkRegistrationsSupport checks that every stored registration supports a version that has just been
// activated.
func (w *world) checkRegistrationsSupport(activated Version) {
	for _, node := range w.nodes {
		stored := w.store[registrationPrefix+node]
		registration, err := DecodeRegistration("", node, stored.data)
		if stored.revision != 0 && err == nil && registration.Max < activated {
			w.fault("version %d was activated while node %s is registered with %s", activated, node, registration.Range)
		}
	}
}

// checkState checks the invariants that hold at all times.
func (w *world) checkState() {
	record := w.record()
	if reason := record.inconsistency(); reason != "" {
		w.fault("the record contradicts itself: %s", reason)
	}
	for name, n := range w.dependants {
		if n > 0 && !record.Gate(name).Used && !w.unregisteredVersion2 {
			w.fault("gate %s has %d dependants and isn't marked as used", name, n)
		}
		if n > 0 {
			w.checkLeaderReads(name)
		}
	}
	if l := w.leader; l != nil && l.process.versions.Max < record.Minimum {
		w.fault("node %s leads with version %d, which is below the finalized version %d", l.process.node, l.process.versions.Max, record.Minimum)
	}
	if p := w.unregisteredLeader; p != nil && record.Minimum > p.versions.Max {
		w.fault("node %s leads without registration below the finalized version %d", p.node, record.Minimum)
	}
}

// checkLeaderReads checks that the leader can read what depends on a gate.
func (w *world) checkLeaderReads(name GateName) {
	if w.unregisteredVersion2 {
		return
	}
	gate, _ := modelGates.find(name)
	if l := w.leader; l != nil && l.process.versions.Max < gate.Since {
		w.fault("node %s of version %d leads and can't read what depends on gate %s", l.process.node, l.process.versions.Max, name)
	}
	if p := w.unregisteredLeader; p != nil && p.versions.Max < gate.Since {
		w.fault("node %s of version %d leads without registration and can't read what depends on gate %s", p.node, p.versions.Max, name)
	}
}

// maxSettleSteps is more steps than any history needs to settle: each gate opens, is withdrawn and
// closes, and each version is activated or rolled back.
const maxSettleSteps = 60

// settle ends all faults, takes steps until nothing is left to do, and checks the final state.
func (w *world) settle() {
	for _, node := range w.nodes {
		w.register(node)
	}
	for _, node := range w.nodes {
		w.acquireLeadership(node)
	}
	if w.unregisteredLeader != nil {
		return // it takes no steps, and checkState checks that it reads everything
	}
	if w.leader == nil {
		w.checkNoneMayLead()
		return
	}
	w.refresh()
	for _, node := range w.nodes {
		w.exchangeVersions(node)
	}
	for range maxSettleSteps {
		w.now = w.now.Add(w.policy.Soak)
		step, stored := w.step(answered)
		w.checkState()
		if step.Changed && !stored {
			w.fault("a step failed though nothing else happened: %s", step.Description)
		}
		if step.Changed {
			continue
		}
		if !w.removeDependantsOfWithdrawnGates() {
			w.checkSettled(step)
			return
		}
	}
	w.fault("not settled after %d steps: %+v", maxSettleSteps, w.record())
}

// removeDependantsOfWithdrawnGates reports whether there were any.
func (w *world) removeDependantsOfWithdrawnGates() (removed bool) {
	for name, gate := range w.leader.record.Gates {
		if gate.Phase == GateWithdrawing && w.dependants[name] > 0 {
			w.dependants[name] = 0
			removed = true
		}
	}
	return removed
}

// checkSettled checks that the active version is the highest that every controller supports and the
// policy allows, unless the versions of a controller aren't known.
func (w *world) checkSettled(step Step) {
	members := w.members()
	record := w.record()
	_, lowestMax, ok := oldestMember(members)
	if ok && lowestMax < record.Active && record.Minimum < record.Active {
		w.fault("version %d stays active with a controller of version %d: %s", record.Active, lowestMax, step.Waiting)
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
			return // Admit refuses this controller
		}
	}
	if record.Active < min(want, w.leader.process.versions.Max) {
		w.fault("settled at version %d, though every controller has %d: %s", record.Active, want, step.Waiting)
	}
}

// checkNoneMayLead checks that no process that is alive may lead.
func (w *world) checkNoneMayLead() {
	record := w.record()
	for _, p := range w.processes {
		if p.alive && p.registers && w.registered(p) && MayLead(record, p.versions, p.known()) == nil {
			w.fault("node %s may lead and doesn't", p.node)
		}
		if p.alive && !p.registers && record.Fence == 0 {
			w.fault("node %s may lead without registration and doesn't", p.node)
		}
	}
}
