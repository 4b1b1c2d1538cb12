package protocol

import (
	"testing"
	"time"

	"sagevale/internal/upgrade"
)

func TestUpgradeProperties(t *testing.T) {
	settings := parseTestSettings(t)
	defaults := settings.Tuning.Upgrade
	if p := defaults.Policy; p.Soak != 30*settings.WorkerLease || p.ReleaseAfter != 30*settings.WorkerLease || p.AutoFinalize || p.Hold || p.Target != 0 {
		t.Errorf("the default policy is %+v", p)
	}
	held, target, finalizing := defaults, defaults, defaults
	held.Policy.Hold = true
	target.Policy.Target = upgrade.Version2
	finalizing.Policy.AutoFinalize, finalizing.Policy.Soak = true, 15*time.Minute
	for _, tc := range []struct {
		file      string
		want      upgrade.Settings
		wantError string
	}{
		{"upgrade.target = latest\n", defaults, ""},
		{"upgrade.target = hold\n", held, ""},
		{"upgrade.target = 2\n", target, ""},
		{"upgrade.finalize = auto\nupgrade.soak = 15m\n", finalizing, ""},
		{"upgrade.test.cap = 1\n", defaults.CappedAt(upgrade.Version1), ""},
		{"upgrade.target = 9\n", defaults, `p: upgrade.target: "9" is not a version that this program supports: 1 to 6`},
		{"upgrade.target = 0\n", defaults, "p: upgrade.target: "},
		{"upgrade.target = newest\n", defaults, "p: upgrade.target: "},
		{"upgrade.test.cap = 1\nupgrade.target = 2\n", defaults, "p: upgrade.target: version 2 is not supported: this program supports versions 1"},
		{"upgrade.finalize = yes\n", defaults, "p: upgrade.finalize: must be auto or hold"},
		{"upgrade.soak = -3s\n", defaults, "p: upgrade.soak: "},
		{"upgrade.soak = soon\n", defaults, "p: upgrade.soak: "},
	} {
		t.Run(tc.file, func(t *testing.T) {
			s := parseTestSettings(t)
			err := parseProperties("p", []byte(tc.file), s)
			if tc.wantError != "" {
				checkFieldError(t, err, tc.wantError)
				return
			}
			got := s.Tuning.Upgrade
			if err != nil || got.Policy != tc.want.Policy || got.Versions != tc.want.Versions || len(got.KnownGates) != len(tc.want.KnownGates) {
				t.Errorf("settings are %+v, %v; want %+v", got, err, tc.want)
			}
		})
	}
}
