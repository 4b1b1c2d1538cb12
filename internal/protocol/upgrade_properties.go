package protocol

import (
	"fmt"
	"strconv"

	"sagevale/internal/upgrade"
)

// Names of the operators' properties for upgrades. After the active version is finalized, controllers can't be rolled back
// to versions that don't support it.
const (
	upgradeTargetProperty   = "upgrade.target"
	upgradeFinalizeProperty = "upgrade.finalize"
	upgradeSoakProperty     = "upgrade.soak"
	// upgradeVersionCapProperty is for tests. It limits the versions that this program supports to the given version and
	// those below it, so that the program behaves like an older release.
	upgradeVersionCapProperty = "upgrade.test.cap"
)

// addUpgrade adds the parsers of the properties for upgrades.
func (p propertyParsers) addUpgrade(v *validator, settings *upgrade.Settings) {
	policy := &settings.Policy
	p[upgradeTargetProperty] = func(key, value string) { parseUpgradeTarget(v, key, value, policy) }
	p[upgradeFinalizeProperty] = func(key, value string) {
		if value != "auto" && value != "hold" {
			v.fail(key, "must be auto or hold")
		}
		policy.AutoFinalize = value == "auto"
	}
	p[upgradeSoakProperty] = func(key, value string) { policy.Soak = v.parseDuration(key, value, "10m") }
	p[upgradeVersionCapProperty] = func(key, value string) { *settings = settings.CappedAt(parseVersion(v, key, value)) }
}

// parseUpgradeTarget parses the target of an upgrade into policy: "latest" (no limit), "hold" (activate no further
// version) or the highest version to activate.
func parseUpgradeTarget(v *validator, key, value string, policy *upgrade.Policy) {
	switch value {
	case "latest":
	case "hold":
		policy.Hold = true
	default:
		policy.Target = parseVersion(v, key, value)
	}
}

// parseVersion parses a version that this program supports. After an error, it returns the program's latest version.
func parseVersion(v *validator, key, value string) upgrade.Version {
	version, err := strconv.ParseUint(value, 10, 32)
	if err != nil || version < uint64(upgrade.Baseline) || version > uint64(upgrade.Current) {
		v.fail(key, fmt.Sprintf("%q is not a version that this program supports: %s", value, upgrade.Supported))
		return upgrade.Current
	}
	return upgrade.Version(version)
}

// checkUpgrade checks that the target version isn't above the highest version that this program supports, which the
// property upgrade.test.cap may have lowered.
func checkUpgrade(v *validator, settings *upgrade.Settings) {
	if target := settings.Policy.Target; target > settings.Versions.Max {
		v.fail(upgradeTargetProperty, fmt.Sprintf("version %d is not supported: this program supports versions %s", target, settings.Versions))
	}
}
