package protocol

import (
	"strings"
	"testing"
	"time"
)

func TestParseProperties(t *testing.T) {
	s := parseTestSettings(t)
	if err := parseProperties("p", []byte("# a comment\nfleet.cooldown = 7s\nfleet.grow.step: 2\n"), s); err != nil {
		t.Fatal(err)
	}
	if s.Tuning.Cooldown != 7*time.Second || s.Tuning.ScaleOutStep != 2 {
		t.Errorf("tuning is %+v", s.Tuning)
	}
}

func TestParsePropertiesErrors(t *testing.T) {
	for _, file := range []string{"fleet.colour = red", "fleet.cooldown = soon", "fleet.grow.step = 51", "leader.lease = 1h", "fleet.down.window = 1ms"} {
		t.Run(file, func(t *testing.T) {
			checkFieldError(t, parseProperties("p", []byte(file), parseTestSettings(t)), "p: "+strings.Fields(file)[0]+": ")
		})
	}
}

// The property fleet.headroom.deviations has a deprecated name, fleet.reserve.luck. The deprecated name must be accepted
// with a warning. A file that has both names must be rejected.
func TestParsePropertiesDeprecatedName(t *testing.T) {
	for _, tc := range []struct {
		file     string
		want     float64
		warnings int
		fails    bool
	}{
		{"fleet.headroom.deviations = 2.5\n", 2.5, 0, false},
		{"fleet.reserve.luck = 2.5\n", 2.5, 1, false},
		{"fleet.reserve.luck = 2.5\nfleet.headroom.deviations = 2.5\n", 0, 1, true},
		{"fleet.reserve.luck = much\n", 0, 1, true},
	} {
		t.Run(tc.file, func(t *testing.T) {
			s := parseTestSettings(t)
			err := parseProperties("p", []byte(tc.file), s)
			if got := len(s.Warnings); got != tc.warnings {
				t.Errorf("%d warnings, want %d: %v", got, tc.warnings, s.Warnings)
			}
			if tc.fails {
				checkFieldError(t, err, "p: fleet.reserve.luck: ")
				return
			}
			if got := s.Tuning.HeadroomDeviations; err != nil || got != tc.want {
				t.Errorf("headroom %v, %v; want %v", got, err, tc.want)
			}
		})
	}
}
