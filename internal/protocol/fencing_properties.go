package protocol

import (
	"strconv"

	"sagevale/internal/config"
	"sagevale/internal/fencing"
)

// The operators' properties on workers' tokens.
const (
	fencingEnabledProperty = "fencing.enabled"
	fencingWindowProperty  = "fencing.window"
)

// fencingProperties adds the properties on workers' tokens to those known.
func (c *checker) fencingProperties(known map[string]func(string, string), tuning *config.Fencing) {
	known[fencingEnabledProperty] = func(key, value string) { tuning.Enabled = c.parseBool(key, value) }
	known[fencingWindowProperty] = func(key, value string) { tuning.Window = c.parseCount(key, value, 1, fencing.MaxRetained/2) }
}

// parseBool reads a property that is either true or false.
func (c *checker) parseBool(field, v string) bool {
	b, err := strconv.ParseBool(v)
	if err != nil {
		c.fail(field, "must be true or false")
	}
	return b
}
