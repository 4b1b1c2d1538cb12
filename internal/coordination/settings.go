// Package coordination decides: who leads, which job's task runs on which
// machine, how large the fleet is, and what is drained and returned.
package coordination

import (
	"time"

	"sagevale/internal/clock"
	"sagevale/internal/storage"
	"sagevale/internal/upgrade"
)

// Peer is another controller node.
type Peer struct {
	Name string
	Zone string
	Addr string
}

// Team is a team's guarantee and limit; 0 means none.
type Team struct {
	Name      string
	Guarantee storage.Room
	Limit     storage.Room
}

// Objective restates an aim at start or finish for a class of jobs.
type Objective struct {
	Kind   string
	Class  string
	Within time.Duration
	Share  float64
	Times  float64
}

// Settings is what the platform and the operators set, checked.
type Settings struct {
	NodeName, Zone     string
	Listen, PeerListen string
	Peers              []Peer
	CloudAddr          string
	StateAddr          string
	Zones              []string
	ClockError         time.Duration
	Teams              []Team
	Objectives         []Objective
	HeartbeatInterval  time.Duration // a worker's report interval
	WorkerLease        time.Duration // a worker's lease
	GangWait           time.Duration // how long a gang's tasks wait for each other; 0: not said
	GangStopWindow     time.Duration // how soon they notice that one is gone, or must all be told to stop
	CancelTimeout      time.Duration // how long a cancelled job's tasks may stay
	State              storage.Limits
	CloudRPS           float64
	ListLag            time.Duration
	CPUShare           float64
	MemoryMB           float64
	Sockets            int
	Tuning             Tuning
	Warnings           []string // what operators should change, though it is taken as it is
}

// Tuning holds the operators' own settings.
type Tuning struct {
	ScaleOutWindow     time.Duration // pressure must hold this long before growth
	ScaleInWindow      time.Duration // healthy time before a machine is returned
	Cooldown           time.Duration // after a return
	ScaleOutStep       int           // machines per growth step of a small fleet
	LeaderLease        time.Duration // life of the leadership grant
	HeadroomDeviations float64       // standard deviations of arrivals to keep room for
	Upgrade            upgrade.Settings
	Archive            ArchiveTuning
	Fencing            FencingTuning
	Activation         ActivationTuning
}

// maxScaleOut is the most machines that one step may rent: the operators' figure,
// or as many as the fleet has, so that a fleet of any size at most doubles.
func (t *Tuning) maxScaleOut(size int) int { return max(t.ScaleOutStep, size) }

// cooldownFleetSize is the fleet that the cooldown is meant for. A larger one returns
// its machines faster in proportion, still one at a time, so that a whole fleet
// of any size above takes as long to return.
const cooldownFleetSize = 16

// cooldown is the pause after a machine of a fleet of that size was drained.
func (t *Tuning) cooldown(size int) time.Duration {
	return clock.Scale(t.Cooldown, min(1, cooldownFleetSize/float64(max(size, 1))))
}

// Ratios of the tuning defaults to the settings' figures.
const (
	scaleOutWindowPerHeartbeat = 0.3 // DESIGN starts at 10 s
	scaleInWindowPerLease      = 1.0
	cooldownPerLeaseOfWorkers  = 0.25
	leaderLeasePerLease        = 0.08
	defaultScaleOutStep        = 4 * maxLaunch // DESIGN starts at 4
	headroomDefault            = 1.0
	soakPerLease               = 30
	releasePerLease            = 30
	fencingWindow              = 16

	// holdMargin is what a hold leaves of cancel_s - lease_s, in report
	// intervals, beside the drift of the clocks: a worker takes a moment to end
	// its tasks.
	holdMargin = 1.0 / 8
	// freshIntervals of reports make a machine's state fresh (DESIGN: three).
	freshIntervals = 3
)

// DefaultTuning derives the operators' defaults from the platform's figures.
func (s *Settings) DefaultTuning() Tuning {
	return Tuning{
		ScaleOutWindow:     clock.Scale(s.HeartbeatInterval, scaleOutWindowPerHeartbeat),
		ScaleInWindow:      clock.Scale(s.WorkerLease, scaleInWindowPerLease),
		Cooldown:           clock.Scale(s.WorkerLease, cooldownPerLeaseOfWorkers),
		ScaleOutStep:       defaultScaleOutStep,
		LeaderLease:        clock.Scale(s.WorkerLease, leaderLeasePerLease),
		HeadroomDeviations: headroomDefault,
		Upgrade:            s.defaultUpgrade(),
		Archive:            s.defaultArchive(),
		Fencing:            FencingTuning{Window: fencingWindow},
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

// callTime is the longest that one call of the leadership may take.
func (s *Settings) callTime() time.Duration { return clock.Scale(s.Tuning.LeaderLease, callShare) }

// renewalGrace is how long after the end of its own grant a leader may still renew
// the leases of workers: a successor that acknowledges a cancel the moment the
// grant ends must see the tasks gone within cancel_s, even where the workers
// hear only the old leader.
func (s *Settings) renewalGrace() time.Duration {
	return max(0, s.CancelTimeout-s.WorkerLease-clock.Scale(s.CancelTimeout, clock.DriftBound-1)-clock.Scale(s.HeartbeatInterval, holdMargin))
}

// leaseBound is how long after an answered report a silent worker's tasks may
// still be there.
func (s *Settings) leaseBound() time.Duration {
	return clock.Scale(s.WorkerLease, clock.DriftBound) + s.HeartbeatInterval/10
}

// unconfirmedBound is the same for a worker that this term hasn't heard of,
// counted from the take-over: an earlier leader may have renewed its lease
// until the end of its hold.
func (s *Settings) unconfirmedBound() time.Duration {
	return clock.Scale(s.renewalGrace(), clock.DriftBound) + s.leaseBound()
}

// fresh is how long a machine's last report counts.
func (s *Settings) fresh() time.Duration { return freshIntervals * s.HeartbeatInterval }

const (
	// minBatchWindow and maxBatchWindow are the shortest and the longest time that
	// reports gather for the leader, in report intervals.
	minBatchWindow = 1.0 / 128
	maxBatchWindow = 1.0 / 16
	// ampleCPUShare is the share of a processor that affords the shortest window. Each
	// batch wakes two processes, so the window widens as the share falls.
	ampleCPUShare = 0.25
)

// BatchWindow is how long a follower gathers reports, and polls, for the leader.
func (s *Settings) BatchWindow() time.Duration {
	window := minBatchWindow
	if s.CPUShare > 0 {
		window *= max(1, ampleCPUShare/s.CPUShare)
	}
	return min(clock.Scale(s.HeartbeatInterval, min(window, maxBatchWindow)), clock.Scale(workerTimeout, maxBatchWindow))
}

// fastLinkTests and slowLinkTests are how often the links between nodes are tested with
// an ample share of a processor and with little.
const (
	fastLinkTests = 250 * time.Millisecond
	slowLinkTests = 2 * fastLinkTests
)

// LinkTestInterval is how often the links between nodes are tested.
func (s *Settings) LinkTestInterval() time.Duration {
	if s.CPUShare <= 0 {
		return fastLinkTests
	}
	return min(slowLinkTests, clock.Scale(fastLinkTests, max(1, ampleCPUShare/s.CPUShare)))
}

// announceSockets is the share of the sockets that spreading a token may take.
const announceSockets = 1.0 / 16

// maxAnnouncements is how many workers may be told our token at a time.
func (s *Settings) maxAnnouncements() int { return max(1, int(float64(s.Sockets)*announceSockets)) }

func (s *Settings) team(name string) *Team {
	for i := range s.Teams {
		if s.Teams[i].Name == name {
			return &s.Teams[i]
		}
	}
	return nil
}

// startWithin is within what time the tasks of a class are to start; 0: not said.
func (s *Settings) startWithin(class string) time.Duration {
	for _, o := range s.Objectives {
		if o.Kind == "wait" && o.Class == class {
			return o.Within
		}
	}
	return 0
}

// promptStart is how soon work within a guarantee is to start; 0: not said.
func (s *Settings) promptStart() time.Duration {
	for _, o := range s.Objectives {
		if o.Kind == "guarantee" {
			return o.Within
		}
	}
	return 0
}
