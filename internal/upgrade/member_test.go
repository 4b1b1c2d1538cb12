package upgrade

import "testing"

// Found by TestInvariantsHoldInRandomHistories: a node had a registration of version 1, and its process
// of version 2, which didn't register, reported version 2. Versions then returned version 2, though the
// lower of the two versions must be used.
func TestMemberVersionIsOlderOfRegistrationAndReport(t *testing.T) {
	registration := NewRegistration("n0", "1", Range{1, 1})
	m := Member{Node: "n0", Registration: &registration, UnregisteredVersion: Version2}
	if versions, ok := m.Versions(); !ok || versions.Max != Version1 {
		t.Errorf("got versions %s, known %v, want a maximum of %d", versions, ok, Version1)
	}
}
