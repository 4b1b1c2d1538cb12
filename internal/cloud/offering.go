package cloud

// Offering is a combination of machine type, zone and market (spot or on-demand) in which machines are launched.
type Offering struct {
	Type string
	Zone string
	Spot bool
}
