package upgrade

// Member is what the leader knows of one controller of the fleet.
type Member struct {
	Node string
	// Registered is the controller's latest registration, whose process may have ended. nil: none is
	// known.
	Registration *Registration
	// Damaged reports that the stored registration can't be decoded.
	Damaged bool
	// Unregistered is the version of a process that doesn't register, as it has reported to its
	// peers. 0: no such process is known. Such a process can't replace the registration, so the
	// older of the two versions counts.
	UnregisteredVersion Version
}

// Versions returns the compatibility range that counts for the member, and whether it is known. It
// doesn't depend on whether the member is reachable: its latest registration or report counts.
func (m *Member) Versions() (versions Range, ok bool) {
	switch {
	case m.UnregisteredVersion != 0 && m.hasRegistration():
		return Range{Min: Baseline, Max: min(m.UnregisteredVersion, m.Registration.Max)}, true
	case m.UnregisteredVersion != 0:
		return Range{Min: Baseline, Max: m.UnregisteredVersion}, true
	case m.hasRegistration():
		return m.Registration.Range, true
	}
	return Range{}, false
}

// hasRegistration reports whether there is a registration that can be decoded.
func (m *Member) hasRegistration() bool { return m.Registration != nil && !m.Damaged }

// obeysRecord reports whether the member is of a version that obeys the cluster record, which every
// version that registers does.
func (m *Member) obeysRecord() bool { return m.UnregisteredVersion == 0 && m.hasRegistration() }

// allObeyRecord reports whether every member obeys the cluster record.
func allObeyRecord(members []Member) bool {
	for i := range members {
		if !members[i].obeysRecord() {
			return false
		}
	}
	return true
}

// oldestMember returns the member with the lowest maximum version. ok is false if no member's
// versions are known.
func oldestMember(members []Member) (node string, version Version, ok bool) {
	for i := range members {
		versions, known := members[i].Versions()
		if known && (!ok || versions.Max < version) {
			node, version, ok = members[i].Node, versions.Max, true
		}
	}
	return node, version, ok
}

// undeterminedMember returns the first member whose versions aren't known. "": there is none.
func undeterminedMember(members []Member) (node string) {
	for i := range members {
		if _, ok := members[i].Versions(); !ok {
			return members[i].Node
		}
	}
	return ""
}
