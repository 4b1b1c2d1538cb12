package upgrade

import (
	"errors"
	"fmt"
	"strings"
	"testing"
)

// A process that must not join the fleet is refused with a one-line error that states the cause or the
// version to install.
func TestAdmit(t *testing.T) {
	const laterVersion = Current + 1
	finalized := Record{Schema: 1, Active: laterVersion, Minimum: laterVersion, Phase: Finalized}
	active := Record{Schema: 1, Active: 3, Phase: Soaking}
	for _, c := range []struct {
		name     string
		record   Record
		versions Range
		policy   Policy
		want     string // part of the error; "": admitted
	}{
		{"below the finalized version", finalized, Supported, Policy{}, fmt.Sprintf("version %d or later is needed", laterVersion)},
		{"a version skipped", Initial(), Range{3, 5}, Policy{}, "upgrade to version 3 first"},
		{"target below the active version", active, Supported, Policy{Target: 2}, "upgrade.target: version 2 is below version 3"},
		{"below the active version, none finalized", active, Range{1, 2}, Policy{}, ""},
		{"target is the active version", active, Supported, Policy{Target: 3}, ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			err := Admit(c.record, c.versions, c.policy)
			if c.want == "" {
				if err != nil {
					t.Errorf("got error %v, want none", err)
				}
				return
			}
			if err == nil || !strings.Contains(err.Error(), c.want) || strings.Contains(err.Error(), "\n") {
				t.Errorf("got error %v, want one line with %q", err, c.want)
			}
			if !IsRefusal(err) {
				t.Errorf("IsRefusal(%v): got false, want true", err)
			}
		})
	}
}

func TestUnknownGateBarsLeadershipOnlyWhileUsed(t *testing.T) {
	const laterGate GateName = "from-the-future"
	r := Initial()
	r.Gates = map[GateName]GateState{laterGate: {Since: 1, Phase: GateOpen}}
	if err := MayLead(r, Supported, Gates); err != nil {
		t.Errorf("gate not in use: got error %v, want none", err)
	}
	r.Gates[laterGate] = GateState{Since: 1, Phase: GateWithdrawing, Used: true}
	var unreadable *UnreadableGateError
	if err := MayLead(r, Supported, Gates); !errors.As(err, &unreadable) || unreadable.Gate != laterGate {
		t.Errorf("gate in use: got error %v, want an UnreadableGateError for %s", err, laterGate)
	}
}
