package protocol

import (
	"strings"
	"testing"
	"time"

	"sagevale/internal/upgrade"
)

func TestUpgradeProperties(t *testing.T) {
	defaults, err := ParseSettings("s.toml", []byte(goodSettings))
	if err != nil {
		t.Fatal(err)
	}
	good := defaults.Tuning.Upgrade
	if p := good.Policy; p.Soak != 30*defaults.WorkerLease || p.ReleaseAfter != 30*defaults.WorkerLease || p.AutoFinalize || p.Hold || p.Target != 0 {
		t.Errorf("the default is %+v", p)
	}
	held, target, finalizing := good, good, good
	held.Policy.Hold = true
	target.Policy.Target = upgrade.Version2
	finalizing.Policy.AutoFinalize, finalizing.Policy.Soak = true, 15*time.Minute
	for _, c := range []struct {
		file  string
		want  upgrade.Settings
		fails string
	}{
		{"upgrade.target = latest\n", good, ""},
		{"upgrade.target = hold\n", held, ""},
		{"upgrade.target = 2\n", target, ""},
		{"upgrade.finalize = auto\nupgrade.soak = 15m\n", finalizing, ""},
		{"upgrade.test.cap = 1\n", good.CappedAt(upgrade.Version1), ""},
		{"upgrade.target = 9\n", good, `p: upgrade.target: "9" is no version that this program knows: 1 to 6`},
		{"upgrade.target = 0\n", good, "p: upgrade.target: "},
		{"upgrade.target = newest\n", good, "p: upgrade.target: "},
		{"upgrade.test.cap = 1\nupgrade.target = 2\n", good, "p: upgrade.target: version 2 is unknown here"},
		{"upgrade.finalize = yes\n", good, "p: upgrade.finalize: must be auto or hold"},
		{"upgrade.soak = -3s\n", good, "p: upgrade.soak: "},
		{"upgrade.soak = soon\n", good, "p: upgrade.soak: "},
	} {
		s, err := ParseSettings("s.toml", []byte(goodSettings))
		if err != nil {
			t.Fatal(err)
		}
		err = parseProperties("p", []byte(c.file), s)
		if c.fails != "" {
			if err == nil || !strings.HasPrefix(err.Error(), c.fails) || strings.Contains(err.Error(), "\n") {
				t.Errorf("%q: %v", c.file, err)
			}
			continue
		}
		got := s.Tuning.Upgrade
		if err != nil || got.Policy != c.want.Policy || got.Versions != c.want.Versions || len(got.Known) != len(c.want.Known) {
			t.Errorf("%q: %+v, %v", c.file, got, err)
		}
	}
}
