package upgrade

// requiredFence returns the lowest version that can read everything that may depend on a gate, and that
// isn't refused.
func (r *Record) requiredFence() Version {
	required := max(r.Minimum, Baseline)
	for _, gate := range r.Gates {
		if gate.Used {
			required = max(required, gate.Since)
		}
	}
	return required
}

// raiseFence raises the fence to the required one, if its gate is open and there are versions that must
// not lead. It marks the gate as used then.
func (r *Record) raiseFence() {
	gate, open := r.Gates[FencedTerm]
	required := r.requiredFence()
	if !open || required <= Baseline {
		return
	}
	r.Fence = max(r.Fence, required)
	gate.Used = true
	r.Gates[FencedTerm] = gate
}

// recomputeFence lowers the fence to the required one, if its gate is open.
func (r *Record) recomputeFence() {
	gate, open := r.Gates[FencedTerm]
	if !open {
		return
	}
	gate.Used = false
	r.Gates[FencedTerm] = gate
	r.Fence = 0
	r.raiseFence()
}

// removeFence closes the fence's gate while a controller that doesn't register can read everything
// that may depend on a gate, so that the controller may lead. A finalized version keeps its fence.
func removeFence(s *Situation) Step {
	if _, open := s.Record.Gates[FencedTerm]; !open || s.Record.Minimum != 0 {
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
		return s.change(next, "term not fenced: node %s doesn't register", s.Members[i].Node)
	}
	return Step{}
}
