package protocol

import (
	"fmt"
	"strconv"

	"sagevale/internal/upgrade"
)

// The operators' properties on upgrades.
const (
	targetProperty   = "upgrade.target"
	finalizeProperty = "upgrade.finalize"
	soakProperty     = "upgrade.soak"
	// capProperty has the program act as an earlier version. It is for tests.
	capProperty = "upgrade.test.cap"
)

// addUpgrade adds the properties on upgrades.
func (p propertyParsers) addUpgrade(v *validator, settings *upgrade.Settings) {
	policy := &settings.Policy
	p[targetProperty] = func(key, value string) { parseUpgradeTarget(v, key, value, policy) }
	p[finalizeProperty] = func(key, value string) {
		if value != "auto" && value != "hold" {
			v.fail(key, "must be auto or hold")
		}
		policy.AutoFinalize = value == "auto"
	}
	p[soakProperty] = func(key, value string) { policy.Soak = v.parseDuration(key, value, "10m") }
	p[capProperty] = func(key, value string) { *settings = settings.CappedAt(parseVersion(v, key, value)) }
}

// parseUpgradeTarget parses latest, hold or a version.
func parseUpgradeTarget(v *validator, key, value string, policy *upgrade.Policy) {
	switch value {
	case "latest":
	case "hold":
		policy.Hold = true
	default:
		policy.Target = parseVersion(v, key, value)
	}
}

// parseVersion parses a version that this program has.
func parseVersion(v *validator, key, value string) upgrade.Version {
	version, err := strconv.ParseUint(value, 10, 32)
	if err != nil || version < uint64(upgrade.Baseline) || version > uint64(upgrade.Current) {
		v.fail(key, fmt.Sprintf("%q is no version that this program knows: %s", value, upgrade.Supported))
		return upgrade.Current
	}
	return upgrade.Version(version)
}

// checkUpgrade checks the properties on upgrades against each other.
func checkUpgrade(v *validator, settings *upgrade.Settings) {
	if target := settings.Policy.Target; target > settings.Versions.Max {
		v.fail(targetProperty, fmt.Sprintf("version %d is unknown here: this program has versions %s", target, settings.Versions))
	}
}
