package protocol

import (
	"fmt"
	"net"
	"slices"
	"strings"
	"time"

	"sagevale/internal/activator"
	"sagevale/internal/config"
)

// The operators' properties on services that may be at zero.
const (
	activationClasses    = "activation.classes"
	activationListen     = "activation.listen"
	activationTarget     = "activation.target"
	activationIdle       = "activation.idle.window"
	activationDrain      = "activation.drain.timeout"
	activationStart      = "activation.start.timeout"
	activationStable     = "activation.start.stable"
	activationAttempts   = "activation.start.attempts"
	activationBackoff    = "activation.start.backoff"
	activationCooldown   = "activation.cooldown"
	activationHold       = "activation.hold"
	activationHeld       = "activation.hold.requests"
	activationConcurrent = "activation.concurrent"
	activationBody       = "activation.body.bytes"
)

const (
	mostAttempts   = 1000
	mostHeld       = 1_000_000
	mostConcurrent = 1_000_000
	mostBodyBytes  = 1 << 30
)

// activationProperties adds the properties on services that may be at zero to those known.
func (c *checker) activationProperties(known map[string]func(string, string), s *config.Settings) {
	tuning := &s.Tuning.Activation
	policy := &tuning.Policy
	spans := map[string]*time.Duration{
		activationIdle: &policy.IdleWindow, activationDrain: &policy.DrainTimeout, activationStart: &policy.StartWithin,
		activationStable: &policy.StableAfter, activationBackoff: &policy.Backoff, activationCooldown: &policy.Cooldown,
		activationHold: &tuning.Hold,
	}
	for name, span := range spans {
		known[name] = func(key, value string) { *span = c.parseSpan(key, value) }
	}
	known[activationClasses] = func(key, value string) { tuning.Classes = c.parseNames(key, value) }
	known[activationListen] = func(key, value string) { tuning.Listen = c.parseListen(key, value, s.Listen) }
	known[activationTarget] = func(key, value string) { tuning.Target = c.parseTargetTemplate(key, value) }
	known[activationAttempts] = func(key, value string) { policy.Attempts = c.parseCount(key, value, 1, mostAttempts) }
	known[activationHeld] = func(key, value string) { tuning.Held = c.parseCount(key, value, 1, mostHeld) }
	known[activationConcurrent] = func(key, value string) { tuning.Concurrent = c.parseCount(key, value, 1, mostConcurrent) }
	known[activationBody] = func(key, value string) { tuning.Body = int64(c.parseCount(key, value, 1, mostBodyBytes)) }
}

// parseSpan reads a positive duration.
func (c *checker) parseSpan(key, value string) time.Duration {
	d, err := time.ParseDuration(value)
	if err != nil || d <= 0 {
		c.fail(key, "must be a positive duration such as 10s")
	}
	return d
}

// parseListen reads an address; one of a port alone is on the host of another.
func (c *checker) parseListen(key, value, other string) string {
	if host, _, err := net.SplitHostPort(other); err == nil && strings.HasPrefix(value, ":") {
		value = host + value
	}
	return c.addr(key, value)
}

// parseNames reads names that are separated by commas.
func (c *checker) parseNames(key, value string) []string {
	var names []string
	for name := range strings.SplitSeq(value, ",") {
		name = strings.TrimSpace(name)
		if name == "" || slices.Contains(names, name) {
			c.fail(key, "must be names, each once, separated by commas")
			return nil
		}
		names = append(names, name)
	}
	return names
}

// parseTargetTemplate reads the address of models' servers.
func (c *checker) parseTargetTemplate(key, value string) string {
	target, err := activator.Target(value, "127.0.0.1:1", "job-000001")
	if !strings.Contains(value, activator.TargetHost) || err != nil || target.Port() == "" {
		c.fail(key, fmt.Sprintf("must be an address with a port, with %s for the machine's host, such as %s:8000", activator.TargetHost, activator.TargetHost))
	}
	return value
}

// checkActivation tells what contradicts itself in the properties on services that may be at zero.
func (c *checker) checkActivation(s *config.Settings) {
	tuning := &s.Tuning.Activation
	policy := &tuning.Policy
	known := make(map[string]bool)
	for _, o := range s.Objectives {
		known[o.Class] = true
	}
	for _, class := range tuning.Classes {
		if len(known) > 0 && !known[class] {
			c.fail(activationClasses, fmt.Sprintf("class %q has no objective in the settings: no such class is known", class))
		}
	}
	switch {
	case policy.IdleWindow < s.HeartbeatInterval:
		c.fail(activationIdle, "must not be shorter than report_s")
	case policy.Cooldown <= s.RoutingLease():
		c.fail(activationCooldown, fmt.Sprintf("must be longer than a controller may go by an earlier answer, %v", s.RoutingLease()))
	case policy.StartWithin < policy.Backoff:
		c.fail(activationStart, "must not be shorter than "+activationBackoff)
	case tuning.Held > s.MaxHeldRequests():
		c.fail(activationHeld, fmt.Sprintf("must not be above %d, three quarters of the connections that sockets allows for models", s.MaxHeldRequests()))
	case tuning.Listen != "" && len(tuning.Classes) == 0:
		c.fail(activationListen, "needs "+activationClasses)
	case tuning.Listen == "" && len(tuning.Classes) > 0:
		c.fail(activationClasses, "needs "+activationListen+": without it no demand comes, and they would stay at zero")
	case tuning.Listen != "" && (tuning.Listen == s.Listen || tuning.Listen == s.PeerListen):
		c.fail(activationListen, "is in use: it is the address of serve_on or peer_listen")
	}
}
