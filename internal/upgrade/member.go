package upgrade

// Member is what the leader knows of one controller.
type Member struct {
	Node string
	// Registered is its latest registration, of a process that may have ended long
	// ago; nil: none is known.
	Registered *Registration
	// Damaged tells that its registration can't be understood.
	Damaged bool
	// Unregistered is the version of a process that doesn't register, as it told
	// its peers; 0: no such process was heard of. Such a process can't replace the
	// registration, so the older of the two counts.
	Unregistered Version
}

// Versions is the range that a member counts by; ok is false where it isn't known.
// Silence changes nothing: a member counts by what it said last.
func (m *Member) Versions() (versions Range, ok bool) {
	switch {
	case m.Unregistered != 0 && m.registered():
		return Range{Min: Baseline, Max: min(m.Unregistered, m.Registered.Max)}, true
	case m.Unregistered != 0:
		return Range{Min: Baseline, Max: m.Unregistered}, true
	case m.registered():
		return m.Registered.Range, true
	}
	return Range{}, false
}

// registered tells whether there is a registration that can be read.
func (m *Member) registered() bool { return m.Registered != nil && !m.Damaged }

// registers tells whether the member obeys the cluster record.
func (m *Member) registers() bool { return m.Unregistered == 0 && m.registered() }

// lowest finds the member with the lowest newest version.
func lowest(members []Member) (node string, version Version, ok bool) {
	for i := range members {
		versions, known := members[i].Versions()
		if known && (!ok || versions.Max < version) {
			node, version, ok = members[i].Node, versions.Max, true
		}
	}
	return node, version, ok
}

// unknown finds a member whose versions aren't known; "": there is none.
func unknown(members []Member) string {
	for i := range members {
		if _, ok := members[i].Versions(); !ok {
			return members[i].Node
		}
	}
	return ""
}
