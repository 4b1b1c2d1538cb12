package upgrade

import "testing"

// Found by TestInvariantsHoldInRandomHistories: a node with an older registration counted by the version
// that its process reported, which doesn't register.
func TestMemberCountsByOlderOfRegistrationAndReport(t *testing.T) {
	registration := NewRegistration("n0", "1", Range{1, 1})
	m := Member{Node: "n0", Registration: &registration, UnregisteredVersion: Version2}
	if versions, ok := m.Versions(); !ok || versions.Max != Version1 {
		t.Errorf("got versions %s, known %v, want a maximum of %d", versions, ok, Version1)
	}
}
