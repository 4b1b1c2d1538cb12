package storage

// Resources is an amount of CPUs, GPUs and memory.
type Resources struct {
	CPUs     float64 `json:"c,omitempty"`
	GPUs     float64 `json:"g,omitempty"`
	MemoryGB float64 `json:"m,omitempty"`
}

// roundingSlack is the tolerance when amounts are compared, in CPUs, GPUs or GB. It covers the
// rounding errors of sums of decimal fractions.
const roundingSlack = 1e-6

// Add returns the sum of two amounts.
func (r Resources) Add(o Resources) Resources {
	return Resources{r.CPUs + o.CPUs, r.GPUs + o.GPUs, r.MemoryGB + o.MemoryGB}
}

// Sub returns r minus o.
func (r Resources) Sub(o Resources) Resources {
	return Resources{r.CPUs - o.CPUs, r.GPUs - o.GPUs, r.MemoryGB - o.MemoryGB}
}

// Mul returns n times the amount.
func (r Resources) Mul(n int) Resources {
	f := float64(n)
	return Resources{r.CPUs * f, r.GPUs * f, r.MemoryGB * f}
}

// Fits reports whether the CPUs, the GPUs and the memory of r each fit into the free resources.
func (r Resources) Fits(free Resources) bool {
	return r.CPUs <= free.CPUs+roundingSlack && r.GPUs <= free.GPUs+roundingSlack && r.MemoryGB <= free.MemoryGB+roundingSlack
}
