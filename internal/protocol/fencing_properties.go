package protocol

import (
	"sagevale/internal/config"
	"sagevale/internal/fencing"
)

// Names of the operators' properties for the workers' fencing tokens.
const (
	fencingEnabledProperty = "fencing.enabled"
	fencingWindowProperty  = "fencing.window"
)

// maxFencingWindow is the largest value of fencing.window, the number of ended attempts that a worker must retain before
// its token is raised. The token is thus usually raised well before the worker must retain fencing.MaxRetained attempts.
// At that number, direct commands no longer start attempts.
const maxFencingWindow = fencing.MaxRetained / 2

// addFencing adds the parsers of the properties for the workers' fencing tokens.
func (p propertyParsers) addFencing(v *validator, settings *config.Fencing) {
	p[fencingEnabledProperty] = func(key, value string) { settings.Enabled = v.parseBool(key, value) }
	p[fencingWindowProperty] = func(key, value string) { settings.Window = v.parseCount(key, value, 1, maxFencingWindow) }
}
