package activator

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"time"

	"golang.org/x/net/netutil"
)

const (
	// headerTimeout is the longest that a request's header may take.
	headerTimeout = 5 * time.Second
	// maxHeaderBytes is the largest header.
	maxHeaderBytes = 16 << 10
)

// Serve runs a tracker and serves requests for models on l until ctx ends; it then returns nil. At most connections are
// open at a time; others wait to be accepted.
func Serve(ctx context.Context, l net.Listener, connections int, tracker *Tracker, handler http.Handler, log *slog.Logger) error {
	var trackers sync.WaitGroup
	defer trackers.Wait()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	trackers.Go(func() { tracker.Run(ctx) })
	server := &http.Server{
		Handler: handler, ReadHeaderTimeout: headerTimeout, MaxHeaderBytes: maxHeaderBytes,
		ErrorLog: slog.NewLogLogger(log.Handler(), slog.LevelDebug),
	}
	// Idle connections would keep others from being accepted.
	server.SetKeepAlivesEnabled(false)
	stop := context.AfterFunc(ctx, func() { server.Close() })
	defer stop()
	if err := server.Serve(netutil.LimitListener(l, connections)); !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("serve models: %w", err)
	}
	return nil
}
