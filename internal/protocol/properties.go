package protocol

import (
	"fmt"
	"strings"
	"time"

	"github.com/magiconair/properties"

	"sagevale/internal/config"
)

// Names of the operators' properties for the fleet and for leadership.
const (
	scaleOutWindowProperty = "fleet.up.window"
	scaleInWindowProperty  = "fleet.down.window"
	scaleOutStepProperty   = "fleet.grow.step"
	fleetCooldownProperty  = "fleet.cooldown"
	headroomProperty       = "fleet.headroom.deviations"
	leaderLeaseProperty    = "leader.lease"

	// deprecatedHeadroomProperty is the former name of headroomProperty. Existing properties files may still contain it.
	deprecatedHeadroomProperty = "fleet.reserve.luck"
)

// Inclusive bounds of the values of fleet.grow.step, fleet.headroom.deviations and leader.lease.
const (
	maxScaleOutStep       = 50
	maxHeadroomDeviations = 10
	minLeaderLease        = 100 * time.Millisecond
)

// propertyParser checks the value of a property and stores it. The key may be a deprecated name of the property.
type propertyParser func(key, value string)

// propertyParsers holds the parsers of all properties by name.
type propertyParsers map[string]propertyParser

// parseProperties checks the contents of a properties file and stores them in s. Every error that it returns is a
// *FieldError. After an error, s must not be used.
func parseProperties(file string, raw []byte, s *config.Settings) error {
	parsed, err := properties.Load(raw, properties.UTF8)
	if err != nil {
		return &FieldError{File: file, Reason: errorText(err)}
	}
	v := &validator{file: file}
	if _, deprecated := parsed.Get(deprecatedHeadroomProperty); deprecated {
		s.Warnings = append(s.Warnings, fmt.Sprintf("%s: %s: is deprecated, use %s", file, deprecatedHeadroomProperty, headroomProperty))
		if _, both := parsed.Get(headroomProperty); both {
			v.fail(deprecatedHeadroomProperty, "is the deprecated name of "+headroomProperty+", which is also set")
		}
	}
	parsers := newPropertyParsers(v, s)
	for _, key := range parsed.Keys() {
		parse, known := parsers[key]
		if !known {
			v.fail(key, "unknown property")
			continue
		}
		parse(key, strings.TrimSpace(parsed.GetString(key, "")))
	}
	if v.err == nil {
		checkFleet(v, s)
	}
	if v.err == nil {
		checkActivation(v, s)
	}
	if v.err != nil {
		return v.err
	}
	return nil
}

// newPropertyParsers returns the parsers of all properties. They store the values in s and report errors to v.
func newPropertyParsers(v *validator, s *config.Settings) propertyParsers {
	parsers := make(propertyParsers)
	parsers.addFleet(v, &s.Tuning)
	parsers.addUpgrade(v, &s.Tuning.Upgrade)
	parsers.addArchive(v, &s.Tuning.Archive)
	parsers.addFencing(v, &s.Tuning.Fencing)
	parsers.addActivation(v, s)
	return parsers
}

// addDurations adds the parsers of properties that are positive durations.
func (p propertyParsers) addDurations(v *validator, durations map[string]*time.Duration) {
	for name, duration := range durations {
		p[name] = func(key, value string) { *duration = v.parseDuration(key, value, "10s") }
	}
}

// addFleet adds the parsers of the properties for the fleet and for leadership.
func (p propertyParsers) addFleet(v *validator, tuning *config.Tuning) {
	p.addDurations(v, map[string]*time.Duration{
		scaleOutWindowProperty: &tuning.ScaleOutWindow,
		scaleInWindowProperty:  &tuning.ScaleInWindow,
		fleetCooldownProperty:  &tuning.Cooldown,
		leaderLeaseProperty:    &tuning.LeaderLease,
	})
	p[scaleOutStepProperty] = func(key, value string) { tuning.ScaleOutStep = v.parseCount(key, value, 1, maxScaleOutStep) }
	p[headroomProperty] = func(key, value string) {
		tuning.HeadroomDeviations = v.parseNumber(key, value, 0, maxHeadroomDeviations)
	}
	p[deprecatedHeadroomProperty] = p[headroomProperty]
}

// checkFleet checks that the properties for the fleet, leadership and upgrades are consistent with each other and with
// the settings.
func checkFleet(v *validator, s *config.Settings) {
	tuning := &s.Tuning
	if tuning.LeaderLease < minLeaderLease || tuning.LeaderLease > s.WorkerLease {
		v.fail(leaderLeaseProperty, "must be from 100ms to the workers' lease_s")
	}
	checkUpgrade(v, &tuning.Upgrade)
	if tuning.ScaleInWindow <= tuning.ScaleOutWindow {
		v.fail(scaleInWindowProperty, "must be longer than "+scaleOutWindowProperty)
	}
}
