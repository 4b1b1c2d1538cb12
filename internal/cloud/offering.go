package cloud

// Offering is a kind of machine that the cloud may launch.
type Offering struct {
	Type string
	Zone string
	Spot bool
}
