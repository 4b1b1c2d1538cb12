package upgrade

// activateNext activates the version after the active one, once every controller supports the new version
// and the operators' policy allows the activation.
func activateNext(s *Situation) Step {
	next := s.Record.Active + 1
	switch {
	case next > s.Versions.Max:
		return Step{}
	case s.Policy.Hold:
		return waitingStep("version %d is held back by upgrade.target", next)
	case s.Policy.Target != 0 && next > s.Policy.Target:
		return waitingStep("version %d is beyond upgrade.target %d", next, s.Policy.Target)
	}
	if node := nodeWithUnknownVersions(s.Members); node != "" {
		return waitingStep("version %d: the versions of node %s are not known", next, node)
	}
	if node, commonVersion := s.commonVersion(); commonVersion < next {
		return waitingStep("version %d: node %s is of version %d", next, node, commonVersion)
	}
	for i := range s.Members {
		if versions, _ := s.Members[i].Versions(); !versions.Contains(next) {
			return waitingStep("version %d: node %s reads versions %s only", next, s.Members[i].Node, versions)
		}
	}
	record := s.Record.clone()
	record.Active, record.Phase, record.ActivatedMS = next, Soaking, s.Now.UnixMilli()
	s.openEligibleGates(&record)
	return s.transitionTo(record, "version %d active", next)
}

// openGates opens the gates that are eligible now but weren't yet when the active version was activated.
func openGates(s *Situation) Step {
	record := s.Record.clone()
	opened := s.openEligibleGates(&record)
	if len(opened) == 0 {
		return Step{}
	}
	return s.transitionTo(record, "gates %v open", opened)
}

// openEligibleGates opens the closed gates that are eligible in the record, raises the record's fence, and
// returns the names of the opened gates. If the versions of some member are unknown, it does nothing.
func (s *Situation) openEligibleGates(record *Record) (opened []GateName) {
	if nodeWithUnknownVersions(s.Members) != "" {
		return nil
	}
	for _, gate := range s.KnownGates {
		if !s.eligible(record, gate) {
			continue
		}
		record.Gates[gate.Name] = GateState{Since: gate.Since, Phase: GateOpen}
		opened = append(opened, gate.Name)
	}
	record.raiseFence()
	return opened
}

// eligible reports whether a gate may be opened in the record. The gate must be closed, the active
// version and every controller must support it, and the gates that it depends on must be open. The
// gate FencedTerm also requires that every controller registers: see followsRecord.
func (s *Situation) eligible(record *Record, gate Gate) bool {
	if _, present := record.Gates[gate.Name]; present {
		return false
	}
	_, commonVersion := s.commonVersion()
	if gate.Since > min(record.Active, commonVersion) || !dependenciesOpen(record, gate) {
		return false
	}
	return gate.Name != FencedTerm || allFollowRecord(s.Members)
}

// dependenciesOpen reports whether the gates that a gate depends on are open.
func dependenciesOpen(record *Record, gate Gate) bool {
	for _, name := range gate.DependsOn {
		if record.Gates[name].Phase != GateOpen {
			return false
		}
	}
	return true
}
