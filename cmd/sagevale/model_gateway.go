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

// modelEdge takes requests for models, where the operators want it; nil: nowhere.
type modelEdge struct {
	listener    net.Listener
	connections int
	tracker     *activator.Tracker
	handler     *activator.Handler
	log         *slog.Logger
}

// newModelEdge listens where the settings say.
func newModelEdge(s *config.Settings, node *scheduler.Node, log *slog.Logger) (*modelEdge, error) {
	tuning := &s.Tuning.Activation
	if tuning.Listen == "" {
		return nil, nil
	}
	listener, err := net.Listen("tcp", tuning.Listen)
	if err != nil {
		return nil, fmt.Errorf("activation.listen: %w", err)
	}
	pace := activator.Pace{
		Retry: s.WakeInterval(), Timeout: s.UsageInterval(), Wait: s.WakeInterval(), Usage: s.UsageInterval(),
		Repeat: s.WorkerLease, Remember: 2 * tuning.Policy.IdleWindow,
	}
	limits := activator.Limits{Hold: tuning.Hold, Held: tuning.Held, Concurrent: tuning.Concurrent}
	tracker := activator.NewTracker(node, pace, limits, rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())))
	config := activator.Config{Target: tuning.Target, Body: tuning.Body, ModelOf: protocol.JobID}
	return &modelEdge{
		listener: listener, connections: s.ModelConnections(),
		tracker: tracker, handler: activator.NewHandler(tracker, config, log), log: log,
	}, nil
}

// sockets is how many sockets the edge may use.
func (e *modelEdge) sockets() int {
	if e == nil {
		return 0
	}
	return 2 * e.connections
}

// serve answers requests for models until ctx ends.
func (e *modelEdge) serve(ctx context.Context) error {
	if e == nil {
		return nil
	}
	return activator.Serve(ctx, e.listener, e.connections, e.tracker, e.handler, e.log)
}
