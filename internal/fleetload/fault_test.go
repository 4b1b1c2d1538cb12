package fleetload

import "testing"

func TestParseFault(t *testing.T) {
	for _, text := range []string{"leader@10s", "all@0s", "silent:0.1@10s+5s", "state-out@1m0s+5s", "state-slow:0.2@10s+5s", "zone@10s"} {
		t.Run(text, func(t *testing.T) {
			f, err := ParseFault(text)
			if err != nil {
				t.Fatal(err)
			}
			if got := f.String(); got != text {
				t.Errorf("got %q after parsing and formatting, want %q", got, text)
			}
		})
	}
}

func TestParseFaultRejectsInvalidText(t *testing.T) {
	for _, text := range []string{
		"", "leader", "quake@1s", "leader:2@1s", "leader@1s+1s", "silent@1s+1s", "silent:2@1s+1s", "state-out@1s", "zone@x", "leader@-1s",
		"state-slow:0@1s+1s",
	} {
		t.Run(text, func(t *testing.T) {
			_, err := ParseFault(text)
			checkFlagError(t, err, "fault")
		})
	}
}
