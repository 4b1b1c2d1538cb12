package main

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"os"
	"strings"
	"time"

	"golang.org/x/sync/errgroup"

	"sagevale/internal/config"
	"sagevale/internal/scheduler"
	"sagevale/internal/telemetry"
	"sagevale/internal/transport"
)

// usageLogHeartbeats is the time between two log lines about the process's resource usage, in heartbeat intervals.
const usageLogHeartbeats = 2.5

// startTime is when the program started to run. The startup time that is logged therefore doesn't include the time that
// the operating system took to load the program.
var startTime = time.Now()

// serve runs one controller until one of its components fails, and returns the error of that component.
func serve(ctx context.Context, s *config.Settings) error {
	limitMemory(s.MemoryMB)
	log := newLogger().With("node", s.NodeName)
	slog.SetDefault(log) // for packages that receive no logger
	userListener, err := net.Listen("tcp", s.Listen)
	if err != nil {
		return fmt.Errorf("serve_on: %w", err)
	}
	defer userListener.Close()
	peerListener, err := net.Listen("tcp", s.PeerListen)
	if err != nil {
		return fmt.Errorf("peer_listen: %w", err)
	}
	defer peerListener.Close()
	peers := newPeers(s, log)
	node := newNode(s, peers, log)
	log.Info("serving", "users_address", s.Listen, "peers_address", s.PeerListen, "version", version, "startup", time.Since(startTime))
	gateway, err := newModelGateway(s, node, log)
	if err != nil {
		return err
	}
	server := transport.NewServer(node, transport.Limits{Sockets: s.Sockets - gateway.maxSockets(), MemoryMB: s.MemoryMB}, log)
	usage := newUsageReporter(s, node, server, log)
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return node.Run(ctx) })
	g.Go(func() error { return server.Serve(ctx, userListener) })
	g.Go(func() error { return transport.ServePeers(ctx, peerListener, node, log) })
	g.Go(func() error { peers.Run(ctx); return nil })
	g.Go(func() error { return gateway.serve(ctx) })
	g.Go(func() error { usage.Run(ctx); return nil })
	return g.Wait()
}

// newPeers returns the clients of the other controllers.
func newPeers(s *config.Settings, log *slog.Logger) *transport.Peers {
	pacing := transport.PeerPacing{BatchWindow: s.BatchWindow(), PingInterval: s.LinkTestInterval(), QueueLength: s.QueueSize()}
	return transport.NewPeers(s.NodeName, s.Peers, pacing, log)
}

// newNode returns the controller with the clients that it uses.
func newNode(s *config.Settings, peers *transport.Peers, log *slog.Logger) *scheduler.Node {
	return scheduler.NewNode(s, scheduler.Dependencies{
		State:   transport.NewKeyValueClient(s.StateAddr),
		Cloud:   transport.NewCloudClient(s.CloudAddr),
		Workers: transport.NewWorkerClient(s.Sockets, log),
		Peers:   peers,
		Log:     log,
		Rand:    newRand(),
	})
}

// newUsageReporter returns the reporter that logs the process's resource usage.
func newUsageReporter(s *config.Settings, node *scheduler.Node, server *transport.Server, log *slog.Logger) *telemetry.Reporter {
	return &telemetry.Reporter{
		Log: log, Interval: time.Duration(usageLogHeartbeats * float64(s.HeartbeatInterval)), CPUShare: s.CPUShare,
		Gauges: func() []any {
			return append([]any{"role", node.Role(), "connections", server.Connections()}, node.ArchiveGauges()...)
		},
	}
}

// newLogger returns a logger that writes to standard error. The environment variable LOG_LEVEL sets the level to debug or
// info. With any other value, the level is error.
func newLogger() *slog.Logger {
	level := slog.LevelError
	switch strings.ToLower(os.Getenv("LOG_LEVEL")) {
	case "debug":
		level = slog.LevelDebug
	case "info":
		level = slog.LevelInfo
	}
	return slog.New(slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: level}))
}
