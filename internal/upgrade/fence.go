package upgrade

// requiredFence returns the lowest version that may lead. Such a version isn't refused, and can read all
// data that may depend on a gate.
func (r *Record) requiredFence() Version {
	required := max(r.Minimum, Baseline)
	for _, gate := range r.Gates {
		if gate.Used {
			required = max(required, gate.Since)
		}
	}
	return required
}

// raiseFence raises the fence to requiredFence and marks FencedTerm as used. It does nothing if
// FencedTerm is closed or if every version may lead.
func (r *Record) raiseFence() {
	gate, present := r.Gates[FencedTerm]
	required := r.requiredFence()
	if !present || required <= Baseline {
		return
	}
	r.Fence = max(r.Fence, required)
	gate.Used = true
	r.Gates[FencedTerm] = gate
}

// recomputeFence lowers the fence to requiredFence, or removes the fence if every version may lead. It
// does nothing if FencedTerm is closed.
func (r *Record) recomputeFence() {
	gate, present := r.Gates[FencedTerm]
	if !present {
		return
	}
	gate.Used = false
	r.Gates[FencedTerm] = gate
	r.Fence = 0
	r.raiseFence()
}

// removeFence allows a controller that doesn't register to lead if its version can read all data that
// may depend on a gate: it closes FencedTerm and removes the fence. Once a version is finalized, the
// fence is never removed.
func removeFence(s *Situation) Step {
	if _, present := s.Record.Gates[FencedTerm]; !present || s.Record.Minimum != 0 {
		return Step{}
	}
	for i := range s.Members {
		version := s.Members[i].UnregisteredVersion
		if version == 0 || version < s.Record.requiredFence() {
			continue
		}
		next := s.Record.clone()
		delete(next.Gates, FencedTerm)
		next.Fence = 0
		return s.transitionTo(next, "fence removed: node %s doesn't register", s.Members[i].Node)
	}
	return Step{}
}
