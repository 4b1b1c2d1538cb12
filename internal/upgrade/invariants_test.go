package upgrade

// checkTransition checks the invariants that compare the record before and after a single transaction.
func (sim *simulation) checkTransition() {
	before, after := sim.previousRecord, sim.record()
	if after.Active > before.Active+1 || after.Active+1 < before.Active {
		sim.addViolation("the active version changed from %d to %d in one step", before.Active, after.Active)
	}
	if after.Minimum < before.Minimum {
		sim.addViolation("the finalized version was lowered from %d to %d", before.Minimum, after.Minimum)
	}
	if after.Active > before.Active {
		sim.checkRegistrationsSupport(after.Active)
	}
	for name, gate := range before.Gates {
		if _, present := after.Gates[name]; !present && gate.Used && sim.dependents[name] > 0 && name != FencedTerm {
			sim.addViolation("gate %s was closed with %d dependents", name, sim.dependents[name])
		}
	}
}

// checkRegistrationsSupport checks that every stored registration that can be decoded supports the
// version that was just activated.
func (sim *simulation) checkRegistrationsSupport(activated Version) {
	for _, node := range sim.nodes {
		stored := sim.store[registrationPrefix+node]
		registration, err := DecodeRegistration("", node, stored.data)
		if stored.revision != 0 && err == nil && registration.Max < activated {
			sim.addViolation("version %d was activated while node %s is registered with %s", activated, node, registration.Range)
		}
	}
}

// checkState checks the invariants that must hold at all times.
func (sim *simulation) checkState() {
	record := sim.record()
	if reason := record.inconsistency(); reason != "" {
		sim.addViolation("the record is inconsistent: %s", reason)
	}
	for name, n := range sim.dependents {
		if n > 0 && !record.Gate(name).Used && !sim.unregisteredVersion2 {
			sim.addViolation("gate %s has %d dependents and isn't marked as used", name, n)
		}
		if n > 0 {
			sim.checkLeaderReads(name)
		}
	}
	if l := sim.leader; l != nil && l.process.versions.Max < record.Minimum {
		sim.addViolation("node %s leads with version %d, which is below the finalized version %d",
			l.process.node, l.process.versions.Max, record.Minimum)
	}
	if p := sim.unregisteredLeader; p != nil && record.Minimum > p.versions.Max {
		sim.addViolation("node %s leads without registration below the finalized version %d", p.node, record.Minimum)
	}
}

// checkLeaderReads checks that the leader can read the data that depends on a gate.
func (sim *simulation) checkLeaderReads(name GateName) {
	if sim.unregisteredVersion2 {
		return
	}
	gate, _ := simulatedGates.find(name)
	if l := sim.leader; l != nil && l.process.versions.Max < gate.Since {
		sim.addViolation("node %s of version %d leads and can't read the dependents of gate %s",
			l.process.node, l.process.versions.Max, name)
	}
	if p := sim.unregisteredLeader; p != nil && p.versions.Max < gate.Since {
		sim.addViolation("node %s of version %d leads without registration and can't read the dependents of gate %s",
			p.node, p.versions.Max, name)
	}
}

// maxSettleSteps is the number of steps after which settle gives up. No history needs that many, even if
// each gate is opened, withdrawn and closed, and each version is activated or rolled back.
const maxSettleSteps = 60

// settle runs without further faults until the leader has no steps left, and checks the final state.
func (sim *simulation) settle() {
	for _, node := range sim.nodes {
		sim.register(node)
	}
	for _, node := range sim.nodes {
		sim.acquireLeadership(node)
	}
	if sim.unregisteredLeader != nil {
		return // such a leader takes no steps; checkState checks that this leader can read all data
	}
	if sim.leader == nil {
		sim.checkNoneMayLead()
		return
	}
	sim.refresh()
	for _, node := range sim.nodes {
		sim.exchangeVersions(node)
	}
	for range maxSettleSteps {
		sim.now = sim.now.Add(sim.policy.Soak)
		step, stored := sim.step(answered)
		sim.checkState()
		if step.Changed && !stored {
			sim.addViolation("a step failed though nothing else happened: %s", step.Description)
		}
		if step.Changed {
			continue
		}
		if !sim.removeDependentsOfWithdrawnGates() {
			sim.checkSettled(step)
			return
		}
	}
	sim.addViolation("not settled after %d steps: %+v", maxSettleSteps, sim.record())
}

// removeDependentsOfWithdrawnGates removes the dependents of all gates that are being withdrawn, and
// reports whether there were any.
func (sim *simulation) removeDependentsOfWithdrawnGates() (removed bool) {
	for name, gate := range sim.leader.record.Gates {
		if gate.Phase == GateWithdrawing && sim.dependents[name] > 0 {
			sim.dependents[name] = 0
			removed = true
		}
	}
	return removed
}

// checkSettled checks the active version after the last step:
//
//   - If the active version isn't finalized, every controller whose versions are known supports it.
//   - The active version isn't below the highest version that every controller supports and the policy
//     allows. This isn't checked if the policy holds activations, if the versions of a controller are
//     unknown, or if a controller is too new for the next version.
func (sim *simulation) checkSettled(step Step) {
	members := sim.members()
	record := sim.record()
	_, lowestMax, ok := oldestMember(members)
	if ok && lowestMax < record.Active && record.Minimum < record.Active {
		sim.addViolation("version %d stays active with a controller of version %d: %s", record.Active, lowestMax, step.Waiting)
	}
	if nodeWithUnknownVersions(members) != "" || sim.policy.Hold {
		return
	}
	want := lowestMax
	if sim.policy.Target != 0 {
		want = min(want, max(sim.policy.Target, record.Active))
	}
	for i := range members {
		if versions, _ := members[i].Versions(); versions.Min > record.Active+1 {
			return // the controller doesn't support the next version, and Admit refuses the controller
		}
	}
	if record.Active < min(want, sim.leader.process.versions.Max) {
		sim.addViolation("settled at version %d, though every controller supports %d: %s", record.Active, want, step.Waiting)
	}
}

// checkNoneMayLead checks that no live process may lead. It is called when no process could acquire
// leadership.
func (sim *simulation) checkNoneMayLead() {
	record := sim.record()
	for _, p := range sim.processes {
		if p.alive && p.registers && sim.registered(p) && MayLead(record, p.versions, p.knownGates()) == nil {
			sim.addViolation("node %s may lead and doesn't", p.node)
		}
		if p.alive && !p.registers && record.Fence == 0 {
			sim.addViolation("node %s may lead without registration and doesn't", p.node)
		}
	}
}
