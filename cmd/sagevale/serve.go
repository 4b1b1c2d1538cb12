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

	"golang.org/x/sync/errgroup"

	"sagevale/internal/coordination"
	"sagevale/internal/transport"
)

// heapShare of the memory quota is the Go runtime's soft limit.
const heapShare = 0.7

// serve runs one controller until it fails.
func serve(ctx context.Context, s *coordination.Settings) error {
	debug.SetMemoryLimit(int64(s.MemoryMB * heapShare * (1 << 20)))
	log := newLogger().With("node", s.Node)
	slog.SetDefault(log) // for the layers that are handed none
	users, err := net.Listen("tcp", s.Listen)
	if err != nil {
		return fmt.Errorf("serve_on: %w", err)
	}
	peerListener, err := net.Listen("tcp", s.PeerListen)
	if err != nil {
		return fmt.Errorf("peer_listen: %w", err)
	}
	peers := transport.NewPeers(s.Node, s.Peers, log)
	node := coordination.NewNode(s, coordination.Deps{
		State:   transport.NewStateClient(s.StateAddr),
		Cloud:   transport.NewCloudClient(s.CloudAddr),
		Workers: transport.NewWorkerClient(s.Sockets, log),
		Peers:   peers,
		Log:     log,
		Rand:    rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
	})
	log.Info("serving", "users", s.Listen, "peers", s.PeerListen, "version", version)
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return node.Run(ctx) })
	g.Go(func() error { return transport.NewServer(node, s.Sockets, log).Serve(ctx, users) })
	g.Go(func() error { return transport.ServePeers(ctx, peerListener, node, log) })
	g.Go(func() error { peers.Run(ctx); return nil })
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
