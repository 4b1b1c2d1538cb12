package main

import (
	"context"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net"

	"sagevale/internal/activator"
	"sagevale/internal/config"
	"sagevale/internal/protocol"
	"sagevale/internal/scheduler"
)

// socketsPerModelConnection is the number of sockets that the gateway uses for each client connection: one for the
// client's connection and one for the connection to the model's server.
const socketsPerModelConnection = 2

// modelGateway accepts requests for models and forwards them to the models' servers. A nil *modelGateway serves no requests.
type modelGateway struct {
	listener       net.Listener
	maxConnections int // maximum number of client connections that are open at a time
	tracker        *activator.Tracker
	handler        *activator.Handler
	log            *slog.Logger
}

// newModelGateway returns a gateway that listens on the address in the property activation.listen. It returns nil if the
// property isn't set.
func newModelGateway(s *config.Settings, node *scheduler.Node, log *slog.Logger) (*modelGateway, error) {
	tuning := &s.Tuning.Activation
	if tuning.Listen == "" {
		return nil, nil
	}
	listener, err := net.Listen("tcp", tuning.Listen)
	if err != nil {
		return nil, fmt.Errorf("activation.listen: %w", err)
	}
	timing := activator.Timing{
		RetryPause: s.WakeInterval(), RequestTimeout: s.UsageInterval(), MaxResponseDelay: s.WakeInterval(), UsageInterval: s.UsageInterval(),
		RepeatDemandFor: s.WorkerLease, ReportUnusedFor: 2 * tuning.Policy.IdleWindow,
	}
	limits := activator.Limits{HoldTimeout: tuning.HoldTimeout, MaxHeld: tuning.MaxHeldRequests, MaxConcurrent: tuning.MaxConcurrentRequests}
	tracker := activator.NewTracker(node, timing, limits, newRand())
	handlerConfig := activator.Config{Target: tuning.Target, MaxBodyBytes: tuning.MaxBodyBytes, ModelOf: protocol.ParseJobID}
	return &modelGateway{
		listener: listener, maxConnections: s.ModelConnections(),
		tracker: tracker, handler: activator.NewHandler(tracker, handlerConfig, log), log: log,
	}, nil
}

// maxSockets returns the maximum number of sockets that the gateway uses.
func (g *modelGateway) maxSockets() int {
	if g == nil {
		return 0
	}
	return socketsPerModelConnection * g.maxConnections
}

// serve serves requests for models until ctx ends.
func (g *modelGateway) serve(ctx context.Context) error {
	if g == nil {
		return nil
	}
	return activator.Serve(ctx, g.listener, g.maxConnections, g.tracker, g.handler, g.log)
}

// newRand returns a random number generator with a random seed.
func newRand() *rand.Rand { return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())) }
