package upgrade

import "time"

// Settings holds a process's parameters for upgrades: the versions and gates that its program
// supports, and the operators' policy.
type Settings struct {
	Versions   Range    // the versions that the program can read and write
	KnownGates GateList // the gates that the program supports
	Policy     Policy
}

// DefaultSettings returns this program's settings with a policy that finalizes no version.
func DefaultSettings() Settings { return Settings{Versions: Supported, KnownGates: Gates} }

// CappedAt returns the settings limited to a maximum version. The process then behaves like a program of
// that version, except that it registers even if that version doesn't.
func (s Settings) CappedAt(version Version) Settings {
	s.Versions.Max = min(s.Versions.Max, version)
	s.KnownGates = s.KnownGates.UpTo(version)
	return s
}

// Policy holds the operators' settings for upgrades.
type Policy struct {
	Hold         bool          // activate and finalize no further version
	Target       Version       // the highest version to activate; 0: no limit
	AutoFinalize bool          // finalize the active version after the soak time
	Soak         time.Duration // how long a version must be active before it is finalized
	// ReleaseAfter is how long a gate must have had no dependents before it is marked as unused.
	// 0: it is never marked as unused.
	ReleaseAfter time.Duration
}
