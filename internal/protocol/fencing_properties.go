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

// maxFencingWindow is the largest value of fencing.window. An attempt is one execution of a task, and a worker must retain
// some attempts after they have ended. Once it must retain fencing.window of them, its fencing token is raised. The maximum
// is half of fencing.MaxRetained, so that the token is usually raised well before the worker must retain MaxRetained
// attempts. While it must retain that many, no attempt is started by a direct command, which is a command that isn't sent
// in the response to a heartbeat.
const maxFencingWindow = fencing.MaxRetained / 2

// addFencing adds the parsers of the properties for the workers' fencing tokens.
func (p propertyParsers) addFencing(v *validator, settings *config.Fencing) {
	p[fencingEnabledProperty] = func(key, value string) { settings.Enabled = v.parseBool(key, value) }
	p[fencingWindowProperty] = func(key, value string) { settings.Window = v.parseCount(key, value, 1, maxFencingWindow) }
}
