package protocol

import (
	"fmt"
	"strings"
	"time"

	"sagevale/internal/activator"
	"sagevale/internal/config"
)

// Names of the properties for services that scale to zero. Operators set properties in the properties file.
const (
	activationClassesProperty       = "activation.classes"
	activationListenProperty        = "activation.listen"
	activationTargetProperty        = "activation.target"
	activationIdleWindowProperty    = "activation.idle.window"
	activationDrainTimeoutProperty  = "activation.drain.timeout"
	activationStartTimeoutProperty  = "activation.start.timeout"
	activationStartStableProperty   = "activation.start.stable"
	activationStartAttemptsProperty = "activation.start.attempts"
	activationStartBackoffProperty  = "activation.start.backoff"
	activationCooldownProperty      = "activation.cooldown"
	activationHoldTimeoutProperty   = "activation.hold"
	activationHoldRequestsProperty  = "activation.hold.requests"
	activationConcurrencyProperty   = "activation.concurrent"
	activationBodyBytesProperty     = "activation.body.bytes"
)

// Maximum values, inclusive, of the properties that are whole numbers.
const (
	maxStartAttempts      = 1000
	maxHeldRequests       = 1_000_000
	maxConcurrentRequests = 1_000_000
	maxModelBodyBytes     = 1 << 30
)

// addActivation adds the parsers of the properties for services that scale to zero.
func (p propertyParsers) addActivation(v *validator, s *config.Settings) {
	tuning := &s.Tuning.Activation
	policy := &tuning.Policy
	p.addDurations(v, map[string]*time.Duration{
		activationIdleWindowProperty:   &policy.IdleWindow,
		activationDrainTimeoutProperty: &policy.DrainTimeout,
		activationStartTimeoutProperty: &policy.StartTimeout,
		activationStartStableProperty:  &policy.StableAfter,
		activationStartBackoffProperty: &policy.Backoff,
		activationCooldownProperty:     &policy.Cooldown,
		activationHoldTimeoutProperty:  &tuning.HoldTimeout,
	})
	p[activationClassesProperty] = func(key, value string) { tuning.Classes = v.parseNames(key, value) }
	p[activationListenProperty] = func(key, value string) { tuning.Listen = v.parseListenAddress(key, value, s.Listen) }
	p[activationTargetProperty] = func(key, value string) { tuning.Target = parseModelTarget(v, key, value) }
	p[activationStartAttemptsProperty] = func(key, value string) { policy.MaxAttempts = v.parseCount(key, value, 1, maxStartAttempts) }
	p[activationHoldRequestsProperty] = func(key, value string) { tuning.MaxHeldRequests = v.parseCount(key, value, 1, maxHeldRequests) }
	p[activationConcurrencyProperty] = func(key, value string) {
		tuning.MaxConcurrentRequests = v.parseCount(key, value, 1, maxConcurrentRequests)
	}
	p[activationBodyBytesProperty] = func(key, value string) {
		tuning.MaxBodyBytes = int64(v.parseCount(key, value, 1, maxModelBodyBytes))
	}
}

// parseModelTarget checks a template from which the addresses of model servers are built, such as {host}:8000, and returns
// it unchanged. activator.Target describes the template.
func parseModelTarget(v *validator, key, value string) string {
	target, err := activator.Target(value, "127.0.0.1:1", "job-000001")
	if !strings.Contains(value, activator.TargetHost) || err != nil || target.Port() == "" {
		v.fail(key, fmt.Sprintf("must be an address with a port, with %s for the machine's host, such as %s:8000", activator.TargetHost, activator.TargetHost))
	}
	return value
}

// checkActivation checks that the properties for services that scale to zero are consistent with each other and with the
// settings.
func checkActivation(v *validator, s *config.Settings) {
	tuning := &s.Tuning.Activation
	policy := &tuning.Policy
	checkActivationClasses(v, s)
	switch {
	case policy.IdleWindow < s.HeartbeatInterval:
		v.fail(activationIdleWindowProperty, "must not be shorter than report_s")
	case policy.Cooldown <= s.RoutingLease():
		v.fail(activationCooldownProperty, fmt.Sprintf("must be longer than %v, the longest time for which a controller may use one response of the leader", s.RoutingLease()))
	case policy.StartTimeout < policy.Backoff:
		v.fail(activationStartTimeoutProperty, "must not be shorter than "+activationStartBackoffProperty)
	case tuning.MaxHeldRequests > s.MaxHeldRequests():
		v.fail(activationHoldRequestsProperty, fmt.Sprintf("must not be above %d, three quarters of the model connections that params.quota.sockets allows", s.MaxHeldRequests()))
	case tuning.Listen != "" && len(tuning.Classes) == 0:
		v.fail(activationListenProperty, "needs "+activationClassesProperty)
	case tuning.Listen == "" && len(tuning.Classes) > 0:
		v.fail(activationClassesProperty, "needs "+activationListenProperty+": without an address for requests, the services would stay scaled to zero")
	case tuning.Listen != "" && (tuning.Listen == s.Listen || tuning.Listen == s.PeerListen):
		v.fail(activationListenProperty, "is in use: it is the address of serve_on or peer_listen")
	}
}

// checkActivationClasses checks that each class in the property activation.classes has a service-level objective in the
// settings. It accepts any class if the settings have no objectives.
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
			v.fail(activationClassesProperty, fmt.Sprintf("class %q has no objective in the settings, so the class is unknown", class))
		}
	}
}
