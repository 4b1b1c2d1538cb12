package upgrade

import (
	"testing"
	"time"
)

func TestGateIsReleasedOnceUnusedForLongEnough(t *testing.T) {
	const releaseAfter = time.Minute
	for _, c := range []struct {
		name         string
		usage        Usage
		unused       time.Duration
		wantReleases GateName
	}{
		{"unused for long enough", Usage{}, releaseAfter, GangJobs},
		{"unused too recently", Usage{}, releaseAfter - 1, ""},
		{"with dependents", Usage{GangJobs: 1}, releaseAfter, ""},
		{"dependents not counted", nil, releaseAfter, ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := singleMember(Record{
				Schema: 1, Active: 2, Phase: Soaking,
				Gates: map[GateName]GateState{GangJobs: {Since: 2, Phase: GateOpen, Used: true}},
			}, Supported)
			s.KnownGates = GateList{{Name: GangJobs, Since: Version2}}
			s.Policy = Policy{ReleaseAfter: releaseAfter, Hold: true}
			s.Usage, s.Unused = c.usage, map[GateName]time.Duration{GangJobs: c.unused}
			step := NextStep(s)
			if step.ReleasedGate != c.wantReleases {
				t.Errorf("releases: got %q by step %q, want %q", step.ReleasedGate, step.Description, c.wantReleases)
			}
			if got, want := step.Changed, c.wantReleases != ""; got != want {
				t.Errorf("changed: got %v, want %v", got, want)
			}
		})
	}
}
