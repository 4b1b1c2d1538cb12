// Package config holds the validated settings of a controller: the platform's settings, the operators'
// tuning, and the bounds derived from both. Package protocol reads the files. All other packages only
// read the values, which never change while the process runs.
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

// Team is a team with its guaranteed quota and its resource limit. If all amounts of Guarantee are zero, the team has
// no guarantee. If an amount of Limit is zero, that resource isn't limited.
type Team struct {
	Name      string
	Guarantee storage.Resources
	Limit     storage.Resources
}

// The kinds of objectives that affect scheduling.
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

// Settings holds the validated settings of one controller.
type Settings struct {
	NodeName, Zone     string // this controller
	Listen, PeerListen string // addresses for users and workers, and for other controllers
	Peers              []Peer
	CloudAddr          string
	StateAddr          string // address of the key-value store
	Zones              []string
	ClockError         time.Duration // bound on the error of the wall clock
	Teams              []Team
	Objectives         []Objective
	HeartbeatInterval  time.Duration // between two heartbeats of a worker
	WorkerLease        time.Duration // time without an acknowledged heartbeat after which a worker ends its tasks
	GangWait           time.Duration // how long the tasks of a gang wait for each other; 0: not stated
	GangStopWindow     time.Duration // time within which all tasks of a gang must receive the stop command, to save together
	CancelTimeout      time.Duration // time after a cancellation within which the tasks of the job must be gone
	State              storage.Limits
	CloudRPS           float64       // requests per second that the cloud accepts
	ListLag            time.Duration // how far the cloud's machine list lags behind
	CPUShare           float64       // CPU quota of this controller, as a share of one core
	MemoryMB           float64       // memory quota of this controller
	Sockets            int           // maximum number of sockets of this controller
	Tuning             Tuning
	Warnings           []string // warnings to operators about deprecated settings
}

// Team returns the team with the given name, or nil.
func (s *Settings) Team(name string) *Team {
	for i := range s.Teams {
		if s.Teams[i].Name == name {
			return &s.Teams[i]
		}
	}
	return nil
}

// StartObjective returns the time within which the tasks of a class should start, or 0 if no objective
// states one.
func (s *Settings) StartObjective(class string) time.Duration {
	for _, o := range s.Objectives {
		if o.Kind == ObjectiveWait && o.Class == class {
			return o.Within
		}
	}
	return 0
}

// GuaranteedStartObjective returns the time within which work within its team's guarantee should start,
// or 0 if no objective states one.
func (s *Settings) GuaranteedStartObjective() time.Duration {
	for _, o := range s.Objectives {
		if o.Kind == ObjectiveGuarantee {
			return o.Within
		}
	}
	return 0
}

// ControllerNames returns the names of all controllers, this one first.
func (s *Settings) ControllerNames() []string {
	names := []string{s.NodeName}
	for _, p := range s.Peers {
		names = append(names, p.Name)
	}
	return names
}

// IsOpportunistic reports whether a job is opportunistic work: best-effort batch work, without a deadline and
// not in a gang, of a team without a guarantee and of a class without an objective.
func (s *Settings) IsOpportunistic(spec *storage.Spec) bool {
	if spec.Priority > storage.PriorityBestEffort || spec.DeadlineS > 0 || spec.Service || spec.Gang {
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
