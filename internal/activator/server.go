package activator

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"time"

	"golang.org/x/net/netutil"
)

const (
	// headerTimeout is the longest that a request's header may take.
	headerTimeout = 5 * time.Second
	// headerBytes is the largest header.
	headerBytes = 16 << 10
)

// Serve runs a tracker and answers requests for models on l until ctx ends. So many connections may be
// open at a time; more wait to be accepted.
func Serve(ctx context.Context, l net.Listener, connections int, tracker *Tracker, handler http.Handler, log *slog.Logger) error {
	go tracker.Run(ctx)
	server := &http.Server{
		Handler: handler, ReadHeaderTimeout: headerTimeout, MaxHeaderBytes: headerBytes,
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
