package upgrade

// requiredFence returns the lowest version that may lead: the lowest one that isn't refused (see
// Record.Minimum) and that supports every gate that stored data may depend on.
func (r *Record) requiredFence() Version {
	required := max(r.Minimum, Baseline)
	for _, gate := range r.Gates {
		if gate.Used {
			required = max(required, gate.Since)
		}
	}
	return required
}

// raiseFence raises Record.Fence to at least requiredFence and marks the gate FencedTerm as used. It does
// nothing if FencedTerm is closed or if every version may lead.
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

// recomputeFence sets Record.Fence to requiredFence, or to 0 (no limit) if every version may lead. It does
// nothing if the gate FencedTerm is closed.
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

// removeFence closes the gate FencedTerm and sets Record.Fence to 0 if some controller doesn't register
// although its version can read all data that may depend on a gate. This controller may then lead. Once a
// version is finalized, the fence is never removed.
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
