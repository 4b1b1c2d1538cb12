package protocol

import (
	"sagevale/internal/config"
	"sagevale/internal/fencing"
)

// The operators' properties on workers' fencing tokens.
const (
	fencingEnabledProperty = "fencing.enabled"
	fencingWindowProperty  = "fencing.window"
)

// maxFencingWindow has a worker's token raised well before fencing.MaxRetained, at which commands are no longer sent directly.
const maxFencingWindow = fencing.MaxRetained / 2

// addFencing adds the properties on workers' fencing tokens.
func (p propertyParsers) addFencing(v *validator, settings *config.Fencing) {
	p[fencingEnabledProperty] = func(key, value string) { settings.Enabled = v.parseBool(key, value) }
	p[fencingWindowProperty] = func(key, value string) { settings.Window = v.parseCount(key, value, 1, maxFencingWindow) }
}
