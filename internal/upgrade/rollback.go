package upgrade

import "slices"

// rollBack undoes an activation, one step at a time, while a controller is older than the active
// version. First the gates that the controller lacks are withdrawn, the fence after those that it
// protects, and then the active version is lowered.
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
		next.Phase = next.settledPhase()
	}
	return s.change(next, "version %d active again: node %s is of version %d", next.Active, node, commonVersion)
}

// withdrawGate ends new uses of a gate, and closes it once no uses are left.
func withdrawGate(s *Situation, name GateName, node string, commonVersion Version) Step {
	next := s.Record.clone()
	next.Phase = Withdrawing
	gate := next.Gates[name]
	if gate.Phase == GateOpen {
		gate.Phase = GateWithdrawing
		next.Gates[name] = gate
		return s.change(next, "withdraw gate %s: node %s is of version %d", name, node, commonVersion)
	}
	uses := s.Usage[name]
	switch {
	case gate.Used && s.Usage == nil:
		return wait("gate %s is being withdrawn for node %s; its uses aren't counted yet", name, node)
	case gate.Used && uses > 0 && s.Blocked != nil && s.Blocked.Gate == name:
		return wait("gate %s can't be withdrawn for node %s: %s", name, node, s.Blocked.Reason)
	case gate.Used && uses > 0:
		return wait("gate %s is being withdrawn for node %s; %d uses of it are left", name, node, uses)
	}
	delete(next.Gates, name)
	return s.change(next, "gate %s closed", name)
}

// withdrawalOrder returns the gates that a controller of the common version lacks in the order in
// which they are to be withdrawn: dependants before the gates that they depend on, later versions
// first.
func (s *Situation) withdrawalOrder(commonVersion Version) []GateName {
	var names []GateName
	for _, name := range s.Record.GateNames() {
		if s.Record.Gates[name].Since > commonVersion {
			names = append(names, name)
		}
	}
	position := func(name GateName) int {
		for i, g := range s.Known {
			if g.Name == name {
				return i
			}
		}
		return len(s.Known) // a gate that isn't known is of a later version
	}
	slices.SortStableFunc(names, func(a, b GateName) int { return position(b) - position(a) })
	return names
}

// cancelRollback ends a rollback that no controller needs any longer, and opens the gates again that
// were being withdrawn.
func cancelRollback(s *Situation) Step {
	if _, commonVersion := s.commonVersion(); s.Record.Phase != Withdrawing || commonVersion < s.Record.Active {
		return Step{}
	}
	next := s.Record.clone()
	next.Phase = next.settledPhase()
	for name, gate := range next.Gates {
		gate.Phase = GateOpen
		next.Gates[name] = gate
	}
	return s.change(next, "withdrawal ended: every controller has version %d", next.Active)
}
