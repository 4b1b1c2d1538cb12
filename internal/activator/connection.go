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
	// dialTimeout is the longest that a connection to a model's server may take.
	dialTimeout = 2 * time.Second
	// minRedialPause is the pause after the first failed connection to a model's server, doubled after each up to
	// maxRedialPause.
	minRedialPause = 50 * time.Millisecond
	maxRedialPause = time.Second
)

// errNotConnected is the error of a request without a connection: nothing was sent.
var errNotConnected = errors.New("no connection to the model's server")

// connection is an open connection to a model's server, for one request.
type connection struct {
	net.Conn
	target *url.URL
}

// connectionKey is the context key of a request's *connection.
type connectionKey struct{}

func withConnection(ctx context.Context, c *connection) context.Context {
	return context.WithValue(ctx, connectionKey{}, c)
}

// connectionFrom returns a request's connection; nil if there is none.
func connectionFrom(ctx context.Context) *connection {
	c, _ := ctx.Value(connectionKey{}).(*connection)
	return c
}

// dialRequest is the DialContext of an http.Transport that uses the connection of the request.
func dialRequest(ctx context.Context, _, _ string) (net.Conn, error) {
	if c := connectionFrom(ctx); c != nil {
		return c.Conn, nil
	}
	return nil, errNotConnected
}

// connect opens a connection for a request once it is granted, and tries again until the request's deadline: a server
// may not listen yet, or may have moved to another machine. Nothing is sent. The connection is nil unless the outcome
// is Granted.
func (h *Handler) connect(ctx context.Context, model, element string) (*connection, Decision) {
	deadline := h.tracker.Deadline()
	for pause := minRedialPause; ; pause = min(2*pause, maxRedialPause) {
		decision := h.tracker.AcquireBy(ctx, model, deadline)
		if decision.Outcome != Granted {
			return nil, decision
		}
		c, err := h.dial(ctx, decision.Response.Machine, element)
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
func (h *Handler) dial(ctx context.Context, machine, element string) (*connection, error) {
	target, err := Target(h.config.Target, machine, element)
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
