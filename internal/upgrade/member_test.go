package upgrade

import "testing"

// Found by TestInvariantsHoldInRandomHistories: for a node with a registration of an older version, the
// version that a process without registration reported was used instead of the older one.
func TestMemberVersionIsOlderOfRegistrationAndReport(t *testing.T) {
	registration := NewRegistration("n0", "1", Range{1, 1})
	m := Member{Node: "n0", Registration: &registration, UnregisteredVersion: Version2}
	if versions, ok := m.Versions(); !ok || versions.Max != Version1 {
		t.Errorf("got versions %s, known %v, want a maximum of %d", versions, ok, Version1)
	}
}
