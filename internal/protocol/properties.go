package protocol

import (
	"fmt"
	"strings"
	"time"

	"github.com/magiconair/properties"

	"sagevale/internal/config"
)

// headroomProperty was called otherwise first; operators' files may still say so.
const (
	headroomProperty           = "fleet.headroom.deviations"
	deprecatedHeadroomProperty = "fleet.reserve.luck"
)

// parseProperties checks the operators' own settings.
func parseProperties(file string, raw []byte, s *config.Settings) error {
	p, err := properties.Load(raw, properties.UTF8)
	if err != nil {
		return &FieldError{File: file, Reason: reason(err)}
	}
	c := checker{file: file}
	t := &s.Tuning
	span := func(d *time.Duration) func(string, string) {
		return func(key, v string) { *d = c.parseSpan(key, v) }
	}
	known := map[string]func(string, string){
		"fleet.up.window":   span(&t.ScaleOutWindow),
		"fleet.down.window": span(&t.ScaleInWindow),
		"fleet.cooldown":    span(&t.Cooldown),
		"leader.lease":      span(&t.LeaderLease),
		"fleet.grow.step":   func(k, v string) { t.ScaleOutStep = c.parseCount(k, v, 1, 50) },

		headroomProperty: func(k, v string) { t.HeadroomDeviations = c.parseAmount(k, v, 0, 10) },
	}
	c.upgradeProperties(known, &t.Upgrade)
	c.archiveProperties(known, &t.Archive)
	c.fencingProperties(known, &t.Fencing)
	c.activationProperties(known, s)
	known[deprecatedHeadroomProperty] = known[headroomProperty]
	if _, old := p.Get(deprecatedHeadroomProperty); old {
		s.Warnings = append(s.Warnings, fmt.Sprintf("%s: %s: is deprecated, use %s", file, deprecatedHeadroomProperty, headroomProperty))
		if _, both := p.Get(headroomProperty); both {
			c.fail(deprecatedHeadroomProperty, "is the deprecated name of "+headroomProperty+", which is given too")
		}
	}
	for _, key := range p.Keys() {
		set := known[key]
		if set == nil {
			c.fail(key, "unknown property")
			continue
		}
		set(key, strings.TrimSpace(p.GetString(key, "")))
	}
	if c.err == nil && (t.LeaderLease < 100*time.Millisecond || t.LeaderLease > s.WorkerLease) {
		c.fail("leader.lease", "must be from 100ms to the workers' lease_s")
	}
	if policy := &t.Upgrade.Policy; c.err == nil && policy.Target > t.Upgrade.Versions.Max {
		c.fail(targetProperty, fmt.Sprintf("version %d is unknown here: this program has versions %s", policy.Target, t.Upgrade.Versions))
	}
	if c.err == nil && t.ScaleInWindow <= t.ScaleOutWindow {
		c.fail("fleet.down.window", "must be longer than fleet.up.window")
	}
	if c.err == nil {
		c.checkActivation(s)
	}
	if c.err != nil {
		return c.err
	}
	return nil
}
