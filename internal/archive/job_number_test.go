package archive

import (
	"testing"

	"pgregory.net/rapid"
)

// edgeIDs are the first and last IDs, and IDs at which the number of digits changes.
var edgeIDs = []string{"000000", "000001", "999999", "0000000", "9999999", "000000000000000000", "999999999999999999"}

// drawID draws a valid ID, which is one of edgeIDs in a tenth of the cases.
func drawID(t *rapid.T, name string) string {
	if rapid.IntRange(0, 9).Draw(t, name+" edge") == 0 {
		return rapid.SampledFrom(edgeIDs).Draw(t, name)
	}
	return rapid.StringMatching(`[0-9]{6,18}`).Draw(t, name)
}

func TestJobNumberRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b := drawID(t, "a"), drawID(t, "b")
		numberA, _ := ParseJobNumber(a)
		numberB, _ := ParseJobNumber(b)
		if numberA.ID() != a || numberA < 1 || numberA > LastJobNumber {
			t.Fatalf("%s has number %d, which has id %s", a, numberA, numberA.ID())
		}
		if (numberA == numberB) != (a == b) || (pageKey(numberA) < pageKey(numberB)) != (numberA < numberB) {
			t.Fatalf("%s and %s have numbers %d and %d", a, b, numberA, numberB)
		}
	})
	if got, _ := ParseJobNumber("999999999999999999"); got != LastJobNumber {
		t.Errorf("the last id has number %d, want %d", got, LastJobNumber)
	}
}

func TestParseJobNumberRejectsOtherText(t *testing.T) {
	for _, id := range []string{"", "12345", "1234567890123456789", "12345x", "-12345", "１２３４５６"} {
		if number, ok := ParseJobNumber(id); ok {
			t.Errorf("%q has number %d, want none", id, number)
		}
	}
}
