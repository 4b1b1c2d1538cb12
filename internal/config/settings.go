// Package config holds the checked settings of a controller: what the platform hands over, what the
// operators tune, and the bounds that are derived from both. Package protocol reads the files; all
// others only read the values, which never change while the process runs.
package config

import (
	"time"

	"sagevale/internal/storage"
)

// Peer is another controller.
type Peer struct {
	Name string
	Zone string
	Addr string
}

// Team is a team's guaranteed quota and its limit. A zero amount means none.
type Team struct {
	Name      string
	Guarantee storage.Resources
	Limit     storage.Resources
}

// The kinds of objectives that scheduling goes by.
const (
	// ObjectiveWait is a bound on the time until the tasks of a class start.
	ObjectiveWait = "wait"
	// ObjectiveGuarantee is a bound on the time until work within its team's guarantee starts.
	ObjectiveGuarantee = "guarantee"
)

// Objective is a service-level objective for a class of jobs, as the platform states it.
type Objective struct {
	Kind   string
	Class  string
	Within time.Duration
	Share  float64
	Times  float64
}

// Settings are the checked settings of one controller.
type Settings struct {
	NodeName, Zone     string // this controller
	Listen, PeerListen string // addresses for users and workers, and for other controllers
	Peers              []Peer
	CloudAddr          string
	StateAddr          string // of the key-value store
	Zones              []string
	ClockError         time.Duration // bound on the error of the time of day
	Teams              []Team
	Objectives         []Objective
	HeartbeatInterval  time.Duration // between two heartbeats of a worker
	WorkerLease        time.Duration // after which a worker without an answer ends its tasks
	GangWait           time.Duration // for which the tasks of a gang wait for each other; 0: not stated
	GangStopWindow     time.Duration // within which all tasks of a gang must be told to stop, to save together
	CancelTimeout      time.Duration // within which the tasks of a cancelled job must be gone
	State              storage.Limits
	CloudRPS           float64       // requests a second that the cloud accepts
	ListLag            time.Duration // by which the cloud's machine list is late
	CPUShare           float64       // of one core
	MemoryMB           float64
	Sockets            int
	Tuning             Tuning
	Warnings           []string // of deprecated settings, for operators
}

// Team returns the team of that name, or nil.
func (s *Settings) Team(name string) *Team {
	for i := range s.Teams {
		if s.Teams[i].Name == name {
			return &s.Teams[i]
		}
	}
	return nil
}

// StartObjective returns within what time the tasks of a class are to start, or 0 if that is not
// stated.
func (s *Settings) StartObjective(class string) time.Duration {
	for _, o := range s.Objectives {
		if o.Kind == ObjectiveWait && o.Class == class {
			return o.Within
		}
	}
	return 0
}

// GuaranteedStartObjective returns within what time work within its team's guarantee is to start,
// or 0 if that is not stated.
func (s *Settings) GuaranteedStartObjective() time.Duration {
	for _, o := range s.Objectives {
		if o.Kind == ObjectiveGuarantee {
			return o.Within
		}
	}
	return 0
}

// ControllerNames lists all controllers, this one first.
func (s *Settings) ControllerNames() []string {
	names := []string{s.NodeName}
	for _, p := range s.Peers {
		names = append(names, p.Name)
	}
	return names
}

// IsOpportunistic reports whether a job is opportunistic work: best-effort work of a team without a
// guarantee that no objective is stated for.
func (s *Settings) IsOpportunistic(spec *storage.Spec) bool {
	if spec.Priority > storage.BestEffort || spec.DeadlineS > 0 || spec.Service || spec.Gang {
		return false
	}
	if team := s.Team(spec.Team); team != nil && team.Guarantee != (storage.Resources{}) {
		return false
	}
	for i := range s.Objectives {
		if s.Objectives[i].Class == spec.Class {
			return false
		}
	}
	return true
}
