package config

import (
	"time"

	"sagevale/internal/clock"
	"sagevale/internal/upgrade"
)

// Tuning holds the operators' own settings.
type Tuning struct {
	ScaleOutWindow     time.Duration // for which demand must exceed the fleet before it scales out
	ScaleInWindow      time.Duration // for which all machines must be healthy before the fleet scales in
	Cooldown           time.Duration // pause after a machine was drained
	ScaleOutStep       int           // machines per step of a small fleet
	LeaderLease        time.Duration // time to live of the leadership lease
	HeadroomDeviations float64       // standard deviations of arrivals that resources are kept for
	Upgrade            upgrade.Settings
	Archive            Archive
	Fencing            Fencing
	Activation         Activation
}

// Fencing is how workers' fencing tokens are raised within a term.
type Fencing struct {
	Enabled bool
	// Window is how many exited attempts a worker remembers before its token is raised. A worker
	// with more live tasks than that remembers as many.
	Window int
}

// Ratios of the defaults to the platform's figures.
const (
	scaleOutWindowPerHeartbeat = 0.3 // DESIGN starts at 10 s
	scaleInWindowPerLease      = 1.0
	scaleInCooldownPerLease    = 0.25
	leaderLeasePerLease        = 0.08
	soakPerLease               = 30
	releasePerLease            = 30
)

const (
	defaultScaleOutStep       = 4 * MaxLaunchMachines // DESIGN starts at 4
	defaultHeadroomDeviations = 1.0
	defaultFencingWindow      = 16
)

// MaxScaleOut is the most machines that one step may launch for a fleet of that size: the operators'
// figure, or as many as the fleet has, so that a fleet of any size at most doubles.
func (t *Tuning) MaxScaleOut(size int) int { return max(t.ScaleOutStep, size) }

// CooldownFleetSize is the size of the fleet that the cooldown is meant for. A larger one scales in
// faster in proportion, still one machine at a time, so that a whole fleet of any size above takes
// as long.
const CooldownFleetSize = 16

// CooldownFor is the pause after a machine of a fleet of that size was drained.
func (t *Tuning) CooldownFor(size int) time.Duration {
	return clock.Scale(t.Cooldown, min(1, CooldownFleetSize/float64(max(size, 1))))
}

// DefaultTuning derives the operators' defaults from the platform's figures.
func (s *Settings) DefaultTuning() Tuning {
	return Tuning{
		ScaleOutWindow:     clock.Scale(s.HeartbeatInterval, scaleOutWindowPerHeartbeat),
		ScaleInWindow:      clock.Scale(s.WorkerLease, scaleInWindowPerLease),
		Cooldown:           clock.Scale(s.WorkerLease, scaleInCooldownPerLease),
		ScaleOutStep:       defaultScaleOutStep,
		LeaderLease:        clock.Scale(s.WorkerLease, leaderLeasePerLease),
		HeadroomDeviations: defaultHeadroomDeviations,
		Upgrade:            s.defaultUpgrade(),
		Archive:            s.defaultArchive(),
		Fencing:            Fencing{Window: defaultFencingWindow},
		Activation:         s.defaultActivation(),
	}
}

// defaultUpgrade is the policy that finalizes nothing by itself.
func (s *Settings) defaultUpgrade() upgrade.Settings {
	settings := upgrade.DefaultSettings()
	settings.Policy.Soak = clock.Scale(s.WorkerLease, soakPerLease)
	settings.Policy.ReleaseAfter = clock.Scale(s.WorkerLease, releasePerLease)
	return settings
}
