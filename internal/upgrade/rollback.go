package upgrade

import "slices"

// rollBack undoes activations step by step while some controller supports only versions below the
// active one. It first withdraws the gates that this controller lacks, each before the gates that it
// depends on, and then lowers the active version. The fence stays until removeFence removes it, after
// the gates that it protects are no longer in use.
func rollBack(s *Situation) Step {
	node, commonVersion := s.commonVersion()
	if commonVersion >= s.Record.Active {
		return Step{}
	}
	if names := s.withdrawalOrder(commonVersion); len(names) > 0 {
		return withdrawGate(s, names[0], node, commonVersion)
	}
	next := s.Record.clone()
	next.Phase = Withdrawing
	next.Active--
	if next.Active == commonVersion {
		next.Phase = next.phaseAfterWithdrawal()
	}
	return s.transitionTo(next, "version %d active again: node %s is of version %d", next.Active, node, commonVersion)
}

// withdrawGate stops new uses of a gate, and closes the gate once no uses are left. node is the
// controller that lacks the gate.
func withdrawGate(s *Situation, name GateName, node string, commonVersion Version) Step {
	next := s.Record.clone()
	next.Phase = Withdrawing
	gate := next.Gates[name]
	if gate.Phase == GateOpen {
		gate.Phase = GateWithdrawing
		next.Gates[name] = gate
		return s.transitionTo(next, "withdraw gate %s: node %s is of version %d", name, node, commonVersion)
	}
	uses := s.Usage[name]
	switch {
	case gate.Used && s.Usage == nil:
		return waitingStep("gate %s is being withdrawn for node %s; its uses aren't counted yet", name, node)
	case gate.Used && uses > 0 && s.Blocked != nil && s.Blocked.Gate == name:
		return waitingStep("gate %s can't be withdrawn for node %s: %s", name, node, s.Blocked.Reason)
	case gate.Used && uses > 0:
		return waitingStep("gate %s is being withdrawn for node %s; %d uses of it are left", name, node, uses)
	}
	delete(next.Gates, name)
	return s.transitionTo(next, "gate %s closed", name)
}

// withdrawalOrder returns the gates that a controller of the common version lacks, in the order in
// which they must be withdrawn: first the gates that aren't in KnownGates, which belong to later versions,
// and then the others in reverse order of KnownGates, so that each comes before the gates that it depends
// on.
func (s *Situation) withdrawalOrder(commonVersion Version) []GateName {
	var names []GateName
	for _, name := range s.Record.GateNames() {
		if s.Record.Gates[name].Since > commonVersion {
			names = append(names, name)
		}
	}
	position := func(name GateName) int {
		for i, g := range s.KnownGates {
			if g.Name == name {
				return i
			}
		}
		return len(s.KnownGates) // a gate that isn't listed was added by a later version
	}
	slices.SortStableFunc(names, func(a, b GateName) int { return position(b) - position(a) })
	return names
}

// cancelRollback ends a rollback that no controller needs any longer, and reopens the gates that were
// being withdrawn.
func cancelRollback(s *Situation) Step {
	if _, commonVersion := s.commonVersion(); s.Record.Phase != Withdrawing || commonVersion < s.Record.Active {
		return Step{}
	}
	next := s.Record.clone()
	next.Phase = next.phaseAfterWithdrawal()
	for name, gate := range next.Gates {
		gate.Phase = GateOpen
		next.Gates[name] = gate
	}
	return s.transitionTo(next, "withdrawal ended: every controller has version %d", next.Active)
}
