package main

import (
	"context"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net"
	"os"
	"runtime/debug"
	"strings"
	"time"

	"golang.org/x/sync/errgroup"

	"sagevale/internal/config"
	"sagevale/internal/scheduler"
	"sagevale/internal/telemetry"
	"sagevale/internal/transport"
)

const (
	// heapShare of the memory quota is the Go runtime's soft limit.
	heapShare = 0.7
	// smallHeapShare of the memory quota is what a small heap grows to before garbage is
	// collected: on a small share of a processor a collection holds up all else for
	// long.
	smallHeapShare = 1.0 / 3
	// minHeapMB is what the Go runtime lets a small heap grow to at 100 percent.
	minHeapMB = 4
)

// gcPercent is the collector's percentage for a process with so much memory.
func gcPercent(memoryMB float64) int {
	return max(100, int(100*memoryMB*smallHeapShare/minHeapMB))
}

// usageReports is how often the process logs what it uses, in report intervals.
const usageReports = 2.5

// began is when the program was started, but for loading it.
var began = time.Now()

// serve runs one controller until it fails.
func serve(ctx context.Context, s *config.Settings) error {
	debug.SetMemoryLimit(int64(s.MemoryMB * heapShare * (1 << 20)))
	debug.SetGCPercent(gcPercent(s.MemoryMB))
	log := newLogger().With("node", s.NodeName)
	slog.SetDefault(log) // for the layers that are handed none
	users, err := net.Listen("tcp", s.Listen)
	if err != nil {
		return fmt.Errorf("serve_on: %w", err)
	}
	peerListener, err := net.Listen("tcp", s.PeerListen)
	if err != nil {
		return fmt.Errorf("peer_listen: %w", err)
	}
	peers := transport.NewPeers(s.NodeName, s.Peers, transport.PeerPacing{BatchWindow: s.BatchWindow(), PingInterval: s.LinkTestInterval(), QueueLength: s.QueueSize()}, log)
	node := scheduler.NewNode(s, scheduler.Dependencies{
		State:   transport.NewKeyValueClient(s.StateAddr),
		Cloud:   transport.NewCloudClient(s.CloudAddr),
		Workers: transport.NewWorkerClient(s.Sockets, log),
		Peers:   peers,
		Log:     log,
		Rand:    rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
	})
	log.Info("serving", "users", s.Listen, "peers", s.PeerListen, "version", version, "after", time.Since(began))
	models, err := newModelEdge(s, node, log)
	if err != nil {
		return err
	}
	server := transport.NewServer(node, transport.Limits{Sockets: s.Sockets - models.sockets(), MemoryMB: s.MemoryMB}, log)
	usage := &telemetry.Reporter{
		Log: log, Interval: time.Duration(usageReports * float64(s.HeartbeatInterval)), CPUShare: s.CPUShare,
		Gauges: func() []any {
			return append([]any{"role", node.Role(), "connections", server.Connections()}, node.ArchiveGauges()...)
		},
	}
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return node.Run(ctx) })
	g.Go(func() error { return server.Serve(ctx, users) })
	g.Go(func() error { return transport.ServePeers(ctx, peerListener, node, log) })
	g.Go(func() error { peers.Run(ctx); return nil })
	g.Go(func() error { return models.serve(ctx) })
	g.Go(func() error { usage.Run(ctx); return nil })
	return g.Wait()
}

// newLogger logs to standard error as LOG_LEVEL says.
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
