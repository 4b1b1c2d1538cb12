package fleetload

import "testing"

func TestJobIDsAreUnique(t *testing.T) {
	seen := make(map[string]bool)
	for i := range 200_000 {
		for _, id := range []string{finishedID(i), submittedID(i)} {
			if len(id) != 9 {
				t.Fatalf("got ID %q of number %d, want 9 digits", id, i)
			}
			if seen[id] {
				t.Fatalf("got ID %q of number %d a second time", id, i)
			}
			seen[id] = true
		}
	}
}
