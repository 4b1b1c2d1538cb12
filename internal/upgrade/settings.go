package upgrade

// Settings is what a process brings to an upgrade: what it knows, and what its operators
// want.
type Settings struct {
	Versions Range
	Known    GateList
	Policy   Policy
}

// DefaultSettings are this program's, which finalizes nothing by itself.
func DefaultSettings() Settings { return Settings{Versions: Supported, Known: Gates} }

// CappedAt returns the settings of a program of an earlier version that registers.
func (s Settings) CappedAt(version Version) Settings {
	s.Versions.Max = min(s.Versions.Max, version)
	s.Known = s.Known.UpTo(version)
	return s
}
