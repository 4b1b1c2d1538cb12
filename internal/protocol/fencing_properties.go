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

// maxFencingWindow is the largest value of fencing.window. It ensures that a worker's token is raised well before the
// worker retains fencing.MaxRetained attempts. At that number, no attempt is started by a direct command.
const maxFencingWindow = fencing.MaxRetained / 2

// addFencing adds the parsers of the properties for the workers' fencing tokens.
func (p propertyParsers) addFencing(v *validator, settings *config.Fencing) {
	p[fencingEnabledProperty] = func(key, value string) { settings.Enabled = v.parseBool(key, value) }
	p[fencingWindowProperty] = func(key, value string) { settings.Window = v.parseCount(key, value, 1, maxFencingWindow) }
}
