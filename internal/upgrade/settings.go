package upgrade

import "time"

// Settings is what a process contributes to an upgrade: what its program supports, and its operators'
// policy.
type Settings struct {
	Versions Range    // the compatibility range
	Known    GateList // the gates that the program knows
	Policy   Policy
}

// DefaultSettings returns this program's settings, under which no version is finalized.
func DefaultSettings() Settings { return Settings{Versions: Supported, Known: Gates} }

// CappedAt returns the settings of an earlier program of that version that registers.
func (s Settings) CappedAt(version Version) Settings {
	s.Versions.Max = min(s.Versions.Max, version)
	s.Known = s.Known.UpTo(version)
	return s
}

// Policy is what the operators allow in an upgrade.
type Policy struct {
	Hold         bool          // activate no further version
	Target       Version       // activate no version beyond this one; 0: no limit
	AutoFinalize bool          // finalize the active version after the soak
	Soak         time.Duration // how long a version must be active before it is finalized
	// ReleaseAfter is how long nothing must have depended on a gate before it counts as unused
	// again. 0: it never does.
	ReleaseAfter time.Duration
}
