package activator

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/url"
	"time"
)

const (
	// dialTimeout is the timeout for opening a connection to a model's server.
	dialTimeout = 2 * time.Second
	// minRedialPause is the pause after the first failed attempt to connect to a model's server. It is doubled after
	// each further failure, up to maxRedialPause.
	minRedialPause = 50 * time.Millisecond
	maxRedialPause = time.Second
)

// errNotConnected is the error of a request whose context has no connection. No part of the request was sent.
var errNotConnected = errors.New("no connection to the model's server")

// connection is an open connection to a model's server that is used for one request.
type connection struct {
	net.Conn
	target *url.URL
}

// connectionKey is the context key of a request's *connection.
type connectionKey struct{}

// withConnection returns a context with a request's connection.
func withConnection(ctx context.Context, c *connection) context.Context {
	return context.WithValue(ctx, connectionKey{}, c)
}

// connectionFrom returns the connection in a request's context, or nil if there is none.
func connectionFrom(ctx context.Context) *connection {
	c, _ := ctx.Value(connectionKey{}).(*connection)
	return c
}

// requestConnection is the DialContext of the handler's http.Transport. It opens no connection, but returns the one in
// the request's context.
func requestConnection(ctx context.Context, _, _ string) (net.Conn, error) {
	if c := connectionFrom(ctx); c != nil {
		return c.Conn, nil
	}
	return nil, errNotConnected
}

// connectGranted waits until the tracker grants a request, which allows the request to be forwarded, and then connects to
// the model's server. It sends no data. If connecting fails, it waits until the request is granted again and retries. It
// does so until the request's deadline, because the server may not listen yet or may have moved to another machine. The
// connection is nil unless the outcome is Granted. pathElement is the part of the request's path that names the model.
func (h *Handler) connectGranted(ctx context.Context, model, pathElement string) (*connection, Decision) {
	deadline := h.tracker.Deadline()
	for pause := minRedialPause; ; pause = min(2*pause, maxRedialPause) {
		decision := h.tracker.AcquireBy(ctx, model, deadline)
		if decision.Outcome != Granted {
			return nil, decision
		}
		c, err := h.dial(ctx, decision.Response.Machine, pathElement)
		if err == nil {
			return c, decision
		}
		h.tracker.Release(model)
		h.log.Debug("model connection failed", "job", model, "address", decision.Response.Machine, "error", err)
		unreachable := Decision{Response: decision.Response, Reason: "the model can't be reached; nothing was sent to it"}
		if !time.Now().Add(pause).Before(deadline) {
			return nil, unreachable
		}
		select {
		case <-time.After(pause):
		case <-ctx.Done():
			return nil, unreachable
		}
	}
}

// dial connects to a model's server on a machine.
func (h *Handler) dial(ctx context.Context, machine, pathElement string) (*connection, error) {
	target, err := Target(h.config.Target, machine, pathElement)
	if err != nil {
		return nil, fmt.Errorf("target of the model: %w", err)
	}
	dialer := net.Dialer{Timeout: dialTimeout}
	conn, err := dialer.DialContext(ctx, "tcp", target.Host)
	if err != nil {
		return nil, fmt.Errorf("connect to the model: %w", err)
	}
	return &connection{conn, target}, nil
}
