package protocol

import (
	"fmt"
	"strconv"
	"time"

	"sagevale/internal/upgrade"
)

// The operators' properties on upgrades.
const (
	targetProperty   = "upgrade.target"
	finalizeProperty = "upgrade.finalize"
	soakProperty     = "upgrade.soak"
	// capProperty has the program act as an earlier version; it is for tests.
	capProperty = "upgrade.test.cap"
)

// upgradeProperties adds the properties on upgrades to those known.
func (c *checker) upgradeProperties(known map[string]func(string, string), settings *upgrade.Settings) {
	policy := &settings.Policy
	known[targetProperty] = func(key, value string) { c.parseTarget(key, value, policy) }
	known[finalizeProperty] = func(key, value string) {
		if value != "auto" && value != "hold" {
			c.fail(key, "must be auto or hold")
		}
		policy.AutoFinalize = value == "auto"
	}
	known[soakProperty] = func(key, value string) {
		soak, err := time.ParseDuration(value)
		if err != nil || soak <= 0 {
			c.fail(key, "must be a positive duration such as 10m")
			return
		}
		policy.Soak = soak
	}
	known[capProperty] = func(key, value string) {
		version := c.parseVersion(key, value)
		*settings = settings.CappedAt(version)
	}
}

// parseTarget reads latest, hold or a version.
func (c *checker) parseTarget(key, value string, policy *upgrade.Policy) {
	switch value {
	case "latest":
	case "hold":
		policy.Hold = true
	default:
		policy.Target = c.parseVersion(key, value)
	}
}

// parseVersion reads a version that this program knows.
func (c *checker) parseVersion(key, value string) upgrade.Version {
	version, err := strconv.ParseUint(value, 10, 32)
	if err != nil || version < uint64(upgrade.Baseline) || version > uint64(upgrade.Current) {
		c.fail(key, fmt.Sprintf("%q is no version that this program knows: %s", value, upgrade.Supported))
		return upgrade.Current
	}
	return upgrade.Version(version)
}
