package cloud

// Offering describes machines that can be launched: their type, their zone, and whether they are spot machines.
type Offering struct {
	Type string
	Zone string
	Spot bool
}
