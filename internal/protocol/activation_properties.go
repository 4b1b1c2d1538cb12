package protocol

import (
	"fmt"
	"strings"
	"time"

	"sagevale/internal/activator"
	"sagevale/internal/config"
)

// The operators' properties on services that scale to zero.
const (
	activationClassesProperty     = "activation.classes"
	activationListenProperty      = "activation.listen"
	activationTargetProperty      = "activation.target"
	activationIdleProperty        = "activation.idle.window"
	activationDrainProperty       = "activation.drain.timeout"
	activationStartProperty       = "activation.start.timeout"
	activationStableProperty      = "activation.start.stable"
	activationAttemptsProperty    = "activation.start.attempts"
	activationBackoffProperty     = "activation.start.backoff"
	activationCooldownProperty    = "activation.cooldown"
	activationHoldProperty        = "activation.hold"
	activationHeldProperty        = "activation.hold.requests"
	activationConcurrencyProperty = "activation.concurrent"
	activationBodyProperty        = "activation.body.bytes"
)

// Limits of these properties.
const (
	maxStartAttempts      = 1000
	maxHeldRequests       = 1_000_000
	maxConcurrentRequests = 1_000_000
	maxModelBodyBytes     = 1 << 30
)

// addActivation adds the properties on services that scale to zero.
func (p propertyParsers) addActivation(v *validator, s *config.Settings) {
	tuning := &s.Tuning.Activation
	policy := &tuning.Policy
	p.addDurations(v, map[string]*time.Duration{
		activationIdleProperty:     &policy.IdleWindow,
		activationDrainProperty:    &policy.DrainTimeout,
		activationStartProperty:    &policy.StartTimeout,
		activationStableProperty:   &policy.StableAfter,
		activationBackoffProperty:  &policy.Backoff,
		activationCooldownProperty: &policy.Cooldown,
		activationHoldProperty:     &tuning.HoldTimeout,
	})
	p[activationClassesProperty] = func(key, value string) { tuning.Classes = v.parseNames(key, value) }
	p[activationListenProperty] = func(key, value string) { tuning.Listen = v.parseListenAddress(key, value, s.Listen) }
	p[activationTargetProperty] = func(key, value string) { tuning.Target = parseModelTarget(v, key, value) }
	p[activationAttemptsProperty] = func(key, value string) { policy.MaxAttempts = v.parseCount(key, value, 1, maxStartAttempts) }
	p[activationHeldProperty] = func(key, value string) { tuning.MaxHeldRequests = v.parseCount(key, value, 1, maxHeldRequests) }
	p[activationConcurrencyProperty] = func(key, value string) {
		tuning.MaxConcurrentRequests = v.parseCount(key, value, 1, maxConcurrentRequests)
	}
	p[activationBodyProperty] = func(key, value string) {
		tuning.MaxBodyBytes = int64(v.parseCount(key, value, 1, maxModelBodyBytes))
	}
}

// parseModelTarget parses the template of the addresses of models' servers: see activator.Target.
func parseModelTarget(v *validator, key, value string) string {
	target, err := activator.Target(value, "127.0.0.1:1", "job-000001")
	if !strings.Contains(value, activator.TargetHost) || err != nil || target.Port() == "" {
		v.fail(key, fmt.Sprintf("must be an address with a port, with %s for the machine's host, such as %s:8000", activator.TargetHost, activator.TargetHost))
	}
	return value
}

// checkActivation checks the properties on services that scale to zero against each other and the settings.
func checkActivation(v *validator, s *config.Settings) {
	tuning := &s.Tuning.Activation
	policy := &tuning.Policy
	checkActivationClasses(v, s)
	switch {
	case policy.IdleWindow < s.HeartbeatInterval:
		v.fail(activationIdleProperty, "must not be shorter than report_s")
	case policy.Cooldown <= s.RoutingLease():
		v.fail(activationCooldownProperty, fmt.Sprintf("must be longer than a controller may go by an earlier answer, %v", s.RoutingLease()))
	case policy.StartTimeout < policy.Backoff:
		v.fail(activationStartProperty, "must not be shorter than "+activationBackoffProperty)
	case tuning.MaxHeldRequests > s.MaxHeldRequests():
		v.fail(activationHeldProperty, fmt.Sprintf("must not be above %d, three quarters of the connections that sockets allows for models", s.MaxHeldRequests()))
	case tuning.Listen != "" && len(tuning.Classes) == 0:
		v.fail(activationListenProperty, "needs "+activationClassesProperty)
	case tuning.Listen == "" && len(tuning.Classes) > 0:
		v.fail(activationClassesProperty, "needs "+activationListenProperty+": without it no demand comes, and they would stay at zero")
	case tuning.Listen != "" && (tuning.Listen == s.Listen || tuning.Listen == s.PeerListen):
		v.fail(activationListenProperty, "is in use: it is the address of serve_on or peer_listen")
	}
}

// checkActivationClasses checks that the classes are known, as far as the settings name any.
func checkActivationClasses(v *validator, s *config.Settings) {
	known := make(map[string]bool)
	for _, objective := range s.Objectives {
		known[objective.Class] = true
	}
	if len(known) == 0 {
		return
	}
	for _, class := range s.Tuning.Activation.Classes {
		if !known[class] {
			v.fail(activationClassesProperty, fmt.Sprintf("class %q has no objective in the settings: no such class is known", class))
		}
	}
}
