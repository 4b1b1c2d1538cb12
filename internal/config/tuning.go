package config

import (
	"time"

	"sagevale/internal/clock"
	"sagevale/internal/upgrade"
)

// Tuning holds the settings that operators may change. DefaultTuning returns their defaults.
type Tuning struct {
	ScaleOutWindow     time.Duration // how long demand must exceed the fleet before the fleet scales out
	ScaleInWindow      time.Duration // how long all machines must be healthy before the fleet scales in
	Cooldown           time.Duration // pause after a drain request or a scale-out step before the next drain
	ScaleOutStep       int           // maximum number of machines per scale-out step of a small fleet, see MaxScaleOut
	LeaderLease        time.Duration // time to live of the leadership lease
	HeadroomDeviations float64       // margin of the headroom, in standard deviations of the arrivals
	Upgrade            upgrade.Settings
	Archive            Archive
	Fencing            Fencing
	Activation         Activation
}

// Fencing holds the operators' settings for raising workers' fencing tokens within a term.
type Fencing struct {
	Enabled bool
	// Window is how many exited attempts a worker remembers before its token is raised. If a worker has more
	// live tasks than that, the number of its live tasks is used instead.
	Window int
}

// Ratios of the default settings to the platform's settings.
const (
	scaleOutWindowPerHeartbeat = 0.3 // DESIGN gives 10 s as the initial value
	scaleInWindowPerLease      = 1.0
	scaleInCooldownPerLease    = 0.25
	leaderLeasePerLease        = 0.08
	soakPerLease               = 30
	releasePerLease            = 30
)

const (
	defaultScaleOutStep       = 4 * MaxLaunchMachines // DESIGN gives 4 as the initial value
	defaultHeadroomDeviations = 1.0
	defaultFencingWindow      = 16
)

// MaxScaleOut returns the most machines that one scale-out step may launch for a fleet of the given size:
// ScaleOutStep or the size of the fleet, whichever is larger. A fleet larger than ScaleOutStep thus at most
// doubles in one step.
func (t *Tuning) MaxScaleOut(size int) int { return max(t.ScaleOutStep, size) }

// CooldownFleetSize is the largest fleet size to which the full cooldown applies. In a larger fleet, machines are
// still drained one at a time, but the cooldown is shorter in proportion to the fleet's size. Scaling in by a given
// share of the fleet therefore takes equally long at any larger size.
const CooldownFleetSize = 16

// CooldownFor returns the cooldown after a drain request in a fleet of the given size.
func (t *Tuning) CooldownFor(size int) time.Duration {
	return clock.Scale(t.Cooldown, min(1, CooldownFleetSize/float64(max(size, 1))))
}

// DefaultTuning derives the defaults of the operators' settings from the platform's settings.
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

// defaultUpgrade returns upgrade settings that finalize no version automatically.
func (s *Settings) defaultUpgrade() upgrade.Settings {
	settings := upgrade.DefaultSettings()
	settings.Policy.Soak = clock.Scale(s.WorkerLease, soakPerLease)
	settings.Policy.ReleaseAfter = clock.Scale(s.WorkerLease, releasePerLease)
	return settings
}
