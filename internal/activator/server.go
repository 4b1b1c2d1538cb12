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
	// headerTimeout is the timeout for reading a request's headers.
	headerTimeout = 5 * time.Second
	// maxHeaderBytes is the maximum size of a request's headers.
	maxHeaderBytes = 16 << 10
)

// Serve runs a tracker and serves requests for models on the listener until ctx ends, and then returns nil. At most
// maxConnections connections are open at a time; further connections wait to be accepted.
func Serve(ctx context.Context, listener net.Listener, maxConnections int, tracker *Tracker, handler http.Handler,
	log *slog.Logger) error {
	var trackerRun sync.WaitGroup
	defer trackerRun.Wait()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	trackerRun.Go(func() { tracker.Run(ctx) })
	server := &http.Server{
		Handler: handler, ReadHeaderTimeout: headerTimeout, MaxHeaderBytes: maxHeaderBytes,
		ErrorLog: slog.NewLogLogger(log.Handler(), slog.LevelDebug),
	}
	// Keep-alives are disabled because idle connections count against maxConnections.
	server.SetKeepAlivesEnabled(false)
	stop := context.AfterFunc(ctx, func() { server.Close() })
	defer stop()
	if err := server.Serve(netutil.LimitListener(listener, maxConnections)); !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("serve models: %w", err)
	}
	return nil
}
