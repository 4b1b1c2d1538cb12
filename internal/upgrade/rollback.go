package upgrade

import "slices"

// rollBack returns the next step of a rollback, which is necessary while some controller supports only
// versions below the active one. The rollback first withdraws the gates that this controller lacks, each
// gate before the gates that it depends on. Then it lowers the active version by one in each step. It
// doesn't change Record.Fence.
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

// withdrawGate returns the next step to withdraw a gate: it stops new uses of the gate, and closes the
// gate once no uses are left. node is the controller that lacks the gate.
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

// withdrawalOrder returns the gates that a controller of the common version (see Situation.commonVersion)
// lacks, in the order in which they must be withdrawn. The gates that aren't in KnownGates come first,
// because they belong to versions above the leader's. The other gates follow in the reverse order of
// KnownGates, so that each gate comes before the gates that it depends on.
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
		return len(s.KnownGates) // the gate was added by a version above the leader's
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
