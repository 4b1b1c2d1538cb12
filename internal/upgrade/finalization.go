package upgrade

import "time"

// finalize makes the active version the minimum version, once the soak time (Policy.Soak) has passed since
// the activation and the operators' policy allows it. Controllers of lower versions are refused from then on.
func finalize(s *Situation) Step {
	active := s.Record.Active
	if s.Record.Phase != Soaking || active <= s.Record.Minimum {
		return Step{}
	}
	if !s.Policy.AutoFinalize || s.Policy.Hold {
		return waitingStep("finalization of version %d is held back by upgrade.finalize", active)
	}
	if _, known := s.KnownGates.find(FencedTerm); known && s.Record.Gate(FencedTerm).Phase != GateOpen {
		return waitingStep("finalization of version %d: gate %s must be open first", active, FencedTerm)
	}
	if node := nodeWithUnknownVersions(s.Members); node != "" {
		return waitingStep("finalization of version %d: the versions of node %s are not known", active, node)
	}
	soaked := s.Now.Sub(time.UnixMilli(s.Record.ActivatedMS))
	if left := s.Policy.Soak - soaked; left > 0 {
		return waitingStep("finalization of version %d: it soaks until %s", active, s.Now.Add(left).UTC().Format(time.RFC3339))
	}
	record := s.Record.clone()
	record.Minimum, record.Phase = active, Finalized
	record.raiseFence()
	return s.transitionTo(record, "version %d finalized", active)
}
