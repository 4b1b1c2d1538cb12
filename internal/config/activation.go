package config

import (
	"time"

	"sagevale/internal/activation"
	"sagevale/internal/clock"
)

// Activation holds the operators' settings for services that scale to zero.
type Activation struct {
	Classes               []string // job classes whose single-task services run only while there is demand
	Policy                activation.Policy
	Listen                string        // address that accepts requests for models; "": none
	Target                string        // template of a model server's address, see package activator; "": the default
	MaxBodyBytes          int64         // size limit of a request body that is forwarded, in bytes
	HoldTimeout           time.Duration // longest time that a request waits for a starting model; 0: requests don't wait
	MaxHeldRequests       int           // limit on the number of requests that wait at a time
	MaxConcurrentRequests int           // limit on the number of requests in flight to one model
}

// Ratios of the default settings to the worker lease.
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
	defaultBodyBytes     = 4 << 20
	defaultConcurrent    = 64
)

const (
	// heldRequestBytes is the approximate peak memory of a held request, which is a request that waits for a
	// starting model: the buffers of its connection, the stacks of its goroutines, and garbage that isn't collected
	// yet. See docs/cold-starts.md.
	heldRequestBytes = 64 << 10
	// heldMemoryShare is the share of the memory quota for held requests.
	heldMemoryShare = 1.0 / 16
	// modelSocketShare is the share of the sockets for requests to models. Each request takes two: the
	// client's connection and the connection to the model.
	modelSocketShare = 1.0 / 4
	// heldConnectionShare is the share of the clients' connections whose requests may be held. Requests on all other
	// connections are forwarded or rejected at once.
	heldConnectionShare = 3.0 / 4
	// wakesPerHeartbeat is how many times per heartbeat interval a controller asks the leader again about a
	// model that isn't ready yet.
	wakesPerHeartbeat = 8
)

// ModelConnections returns the maximum number of open connections that a controller accepts for requests to models.
func (s *Settings) ModelConnections() int {
	return max(2, int(float64(s.Sockets)*modelSocketShare/2))
}

// MaxHeldRequests returns how many requests to models a controller can hold at a time, given its ModelConnections.
func (s *Settings) MaxHeldRequests() int {
	return max(1, int(float64(s.ModelConnections())*heldConnectionShare))
}

// defaultHeldRequests returns the default of Activation.MaxHeldRequests, which memory and connections limit.
func (s *Settings) defaultHeldRequests() int {
	byMemory := int(s.memoryBytes() * heldMemoryShare / heldRequestBytes)
	return max(1, min(byMemory, s.MaxHeldRequests()))
}

// defaultActivation derives the defaults from the worker lease, the memory quota and the sockets.
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
		MaxBodyBytes:          defaultBodyBytes,
		MaxHeldRequests:       s.defaultHeldRequests(),
		MaxConcurrentRequests: defaultConcurrent,
	}
}

// RoutingLease returns how long a controller may forward requests based on one response of the leader.
func (s *Settings) RoutingLease() time.Duration { return s.HeartbeatInterval }

// WakeInterval returns how long a controller may use a response about a model that isn't ready. After that, it asks the
// leader again.
func (s *Settings) WakeInterval() time.Duration { return s.HeartbeatInterval / wakesPerHeartbeat }

// UsageInterval returns the interval at which a controller reports the use of models to the leader.
func (s *Settings) UsageInterval() time.Duration { return s.HeartbeatInterval }
