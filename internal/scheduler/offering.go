package scheduler

// offering is a kind of machine that the cloud may launch.
type offering struct {
	typeName string
	zone     string
	spot     bool
}
