package config

import (
	"time"

	"sagevale/internal/activation"
	"sagevale/internal/clock"
)

// Activation is the operators' part of services that scale to zero.
type Activation struct {
	Classes    []string // whose services of one task run only while there is demand
	Policy     activation.Policy
	Listen     string        // address where requests for the models are taken; "": nowhere
	Target     string        // template of a model server's address, see package activator; "": its default
	Body       int64         // largest request that is passed on, in bytes
	Hold       time.Duration // longest that a request waits for a model that starts; 0: none waits
	Held       int           // how many requests may wait at a time
	Concurrent int           // how many requests are passed on to one model at a time
}

// Ratios of the defaults to the workers' lease.
const (
	startPerLease    = 10.0
	stablePerLease   = 1.0
	backoffPerLease  = 0.1
	cooldownPerLease = 4.0
	idlePerLease     = 30.0
	drainPerLease    = 2.0
)

const (
	defaultStartAttempts = 5
	defaultBody          = 4 << 20
	defaultConcurrent    = 64
)

const (
	// heldBytes is about what a held request takes at its peak: its connection's buffers, its
	// goroutines' stacks, and garbage (measured on the loopback, docs/cold-starts.md).
	heldBytes = 64 << 10
	// heldMemoryShare of the memory quota may go to held requests.
	heldMemoryShare = 1.0 / 16
	// modelSocketShare of the sockets go to requests for models, each of which takes two: its
	// client's connection, and the one to the model.
	modelSocketShare = 1.0 / 4
	// heldShare of the connections may be held; the others are passed on, or rejected at once.
	heldShare = 3.0 / 4
	// wakeIntervals is how many times within a heartbeat interval a controller asks again for a model
	// that doesn't answer yet.
	wakeIntervals = 8
)

// ModelConnections is how many connections of clients of models a controller takes at a time.
func (s *Settings) ModelConnections() int {
	return max(2, int(float64(s.Sockets)*modelSocketShare/2))
}

// MaxHeldRequests is how many requests for models its connections allow a controller to hold.
func (s *Settings) MaxHeldRequests() int {
	return max(1, int(float64(s.ModelConnections())*heldShare))
}

// defaultHeld is how many requests may be held at a time.
func (s *Settings) defaultHeld() int {
	byMemory := int(s.memoryBytes() * heldMemoryShare / heldBytes)
	return max(1, min(byMemory, s.MaxHeldRequests()))
}

func (s *Settings) defaultActivation() Activation {
	return Activation{
		Policy: activation.Policy{
			IdleWindow:   clock.Scale(s.WorkerLease, idlePerLease),
			DrainTimeout: clock.Scale(s.WorkerLease, drainPerLease),
			StartTimeout: clock.Scale(s.WorkerLease, startPerLease),
			StableAfter:  clock.Scale(s.WorkerLease, stablePerLease),
			MaxAttempts:  defaultStartAttempts,
			Backoff:      clock.Scale(s.WorkerLease, backoffPerLease),
			Cooldown:     clock.Scale(s.WorkerLease, cooldownPerLease),
		},
		Body:       defaultBody,
		Held:       s.defaultHeld(),
		Concurrent: defaultConcurrent,
	}
}

// RoutingLease is the longest that a controller may pass requests on by one answer of the leader.
func (s *Settings) RoutingLease() time.Duration { return s.HeartbeatInterval }

// WakeInterval is for how long a controller goes by an answer that a model isn't ready.
func (s *Settings) WakeInterval() time.Duration { return s.HeartbeatInterval / wakeIntervals }

// UsageInterval is how often a controller tells the leader how models are used.
func (s *Settings) UsageInterval() time.Duration { return s.HeartbeatInterval }
