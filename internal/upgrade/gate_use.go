package upgrade

// MarkGateUsed returns a copy of the record in which the gate is marked as used. It also raises
// Record.Fence, see raiseFence: a controller that doesn't register must not lead any more if its version
// doesn't support the gate. The caller must store this record before any data depends on the gate. term
// is the leader's term. MarkGateUsed returns a *GateClosedError if the gate isn't open.
func MarkGateUsed(r Record, name GateName, term uint64) (Record, error) {
	gate := r.Gate(name)
	if gate.Phase != GateOpen {
		return Record{}, &GateClosedError{Gate: name}
	}
	next := r.clone()
	gate.Used = true
	next.Gates[name] = gate
	next.Term = term
	next.raiseFence()
	return next, nil
}

// markGateWithDependents looks for a gate that isn't marked as used although it has dependents (stored
// objects that need the gate: see Usage), and marks the first such gate as used. The dependents were created
// by versions that don't register. These versions use the gate's feature without checking whether the gate
// is open.
func markGateWithDependents(s *Situation) Step {
	for _, gate := range s.KnownGates {
		state, present := s.Record.Gates[gate.Name]
		if !present || state.Used || s.Usage[gate.Name] <= 0 {
			continue
		}
		record, err := MarkGateUsed(s.Record, gate.Name, s.Term)
		if err != nil {
			continue // the gate is being withdrawn
		}
		return s.transitionTo(record, "gate %s is in use", gate.Name)
	}
	return Step{}
}

// releaseGate marks a gate as unused after the gate has had no dependents for Policy.ReleaseAfter, so that
// versions that don't support the gate may lead again. A release writes the cluster record, and so does the
// next use of the gate. The delay avoids these writes for a gate that is soon used again.
func releaseGate(s *Situation) Step {
	if s.Policy.ReleaseAfter == 0 || s.Usage == nil {
		return Step{}
	}
	for _, name := range s.Record.GateNames() {
		if !s.releasable(name) {
			continue
		}
		next := s.Record.clone()
		gate := next.Gates[name]
		gate.Used = false
		next.Gates[name] = gate
		next.recomputeFence()
		step := s.transitionTo(next, "gate %s is unused again", name)
		step.ReleasedGate = name
		return step
	}
	return Step{}
}

// releasable reports whether a gate has had no dependents for long enough to be marked as unused. It
// returns false for FencedTerm, because the Used field of FencedTerm is derived from the other gates. It
// also returns false for gates of finalized versions, because every version that isn't refused supports
// these gates.
func (s *Situation) releasable(name GateName) bool {
	gate := s.Record.Gates[name]
	if name == FencedTerm || !gate.Usable() || gate.Since <= s.Record.Minimum {
		return false
	}
	return s.Usage[name] <= 0 && s.Unused[name] >= s.Policy.ReleaseAfter
}
