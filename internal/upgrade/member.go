package upgrade

// Member is the leader's information about one controller of the fleet.
type Member struct {
	Node string
	// Registration is the controller's latest registration, or nil if none is known. The process
	// that stored it may have ended.
	Registration *Registration
	// Damaged reports that the stored registration can't be decoded.
	Damaged bool
	// UnregisteredVersion is the version that a process of the controller has reported to its peers, if
	// this process doesn't register. 0: no such process is known. Such a process doesn't replace a
	// registration that an earlier process of the controller stored, so Versions uses the lower of
	// UnregisteredVersion and the registration's maximum version.
	UnregisteredVersion Version
}

// Versions returns the compatibility range of the member, and whether the range is known. The range is
// derived from the latest registration and from UnregisteredVersion. The member need not be reachable.
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

// followsRecord reports whether the member uses only the gates that the cluster record permits. This
// holds for every version that registers.
func (m *Member) followsRecord() bool { return m.UnregisteredVersion == 0 && m.hasRegistration() }

// allFollowRecord reports whether every member follows the cluster record.
func allFollowRecord(members []Member) bool {
	for i := range members {
		if !members[i].followsRecord() {
			return false
		}
	}
	return true
}

// oldestMember returns the node whose maximum version is the lowest, and this maximum version. ok is
// false if the versions of all members are unknown.
func oldestMember(members []Member) (node string, version Version, ok bool) {
	for i := range members {
		versions, known := members[i].Versions()
		if known && (!ok || versions.Max < version) {
			node, version, ok = members[i].Node, versions.Max, true
		}
	}
	return node, version, ok
}

// nodeWithUnknownVersions returns the first node whose versions are unknown, or "" if there is none.
func nodeWithUnknownVersions(members []Member) (node string) {
	for i := range members {
		if _, ok := members[i].Versions(); !ok {
			return members[i].Node
		}
	}
	return ""
}
