package upgrade

// MarkGateUsed returns the record with the gate marked as used and the fence raised accordingly. The
// result must be stored before anything depends on the gate. term is the leader's. MarkGateUsed
// returns a *GateClosedError if the gate isn't open.
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

// adoptGate marks a gate as used that has dependants already. They were made by versions that don't
// register, which use their features without a gate.
func adoptGate(s *Situation) Step {
	for _, gate := range s.Known {
		state, present := s.Record.Gates[gate.Name]
		if !present || state.Used || s.Usage[gate.Name] <= 0 {
			continue
		}
		record, err := MarkGateUsed(s.Record, gate.Name, s.Term)
		if err != nil {
			continue // the gate is being withdrawn
		}
		return s.change(record, "gate %s is in use", gate.Name)
	}
	return Step{}
}

// releaseGate marks a gate as unused that has had no dependants for long, so that versions without it
// may lead again. The delay avoids writes: the next use has to be stored first.
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
		step := s.change(next, "gate %s is unused again", name)
		step.Releases = name
		return step
	}
	return Step{}
}

// releasable reports whether a gate has been without dependants for long enough to count as unused.
// It never is for the fence's own gate, which follows the other gates, and for gates of finalized
// versions, which every version that isn't refused has.
func (s *Situation) releasable(name GateName) bool {
	gate := s.Record.Gates[name]
	if name == FencedTerm || !gate.Usable() || gate.Since <= s.Record.Minimum {
		return false
	}
	return s.Usage[name] <= 0 && s.Unused[name] >= s.Policy.ReleaseAfter
}
