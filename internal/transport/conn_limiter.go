package transport

import (
	"context"
	"net"
	"sync"
	"sync/atomic"

	"sagevale/internal/protocol"
)

// shedShare of the accepted connections is closed at a time, at most, to accept others.
const shedShare = 1.0 / 8

// connLimiter is a listener that bounds its open connections. At the limit it closes idle connections of
// workers, or waits until a connection is closed. Accept must not be called by two goroutines at once.
type connLimiter struct {
	net.Listener
	maxOpen, maxWorkers int64
	open, workers       atomic.Int64   // connections now
	conns               []*limitedConn // in the order of Accept, which owns it; some may be closed
	connClosed          chan struct{}  // wakes an Accept that waits
	closed              chan struct{}
	closeOnce           sync.Once
}

func newConnLimiter(l net.Listener, limits Limits) *connLimiter {
	return &connLimiter{
		Listener: l, maxOpen: int64(limits.connections()), maxWorkers: int64(limits.workerConnections()),
		connClosed: make(chan struct{}, 1), closed: make(chan struct{}),
	}
}

// Close closes the listener; a waiting Accept returns.
func (l *connLimiter) Close() error {
	l.closeOnce.Do(func() { close(l.closed) })
	return l.Listener.Close()
}

// Accept returns the next connection, once fewer than the maximum are open.
func (l *connLimiter) Accept() (net.Conn, error) {
	for l.open.Load() >= l.maxOpen && !l.shedWorkers() {
		select {
		case <-l.connClosed:
		case <-l.closed:
			return nil, net.ErrClosed
		}
	}
	accepted, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &limitedConn{Conn: accepted, limiter: l}
	l.open.Add(1)
	l.conns = append(l.conns, c)
	if int64(len(l.conns)) > 2*l.open.Load() {
		l.removeClosed()
	}
	return c, nil
}

// removeClosed removes the closed connections from conns.
func (l *connLimiter) removeClosed() {
	open := l.conns[:0]
	for _, c := range l.conns {
		if !c.closed.Load() {
			open = append(open, c)
		}
	}
	clear(l.conns[len(open):])
	l.conns = open
}

// shedWorkers closes some of the workers' connections that wait for the next heartbeat, the oldest first. It
// reports whether it has closed any.
func (l *connLimiter) shedWorkers() bool {
	l.removeClosed()
	limit := max(1, int(shedShare*float64(l.maxOpen)))
	shed := 0
	for _, c := range l.conns {
		if shed == limit {
			break
		}
		if c.worker.Load() && !c.busy.Load() {
			_ = c.Close() // it is closed to free its slot, and nothing is lost with it
			shed++
		}
	}
	return shed > 0
}

// limitedConn is a connection that a connLimiter has accepted.
type limitedConn struct {
	net.Conn
	limiter    *connLimiter
	heartbeats protocol.ReportReader // used by the one request that the connection serves at a time
	worker     atomic.Bool           // the client is a worker
	busy       atomic.Bool           // a worker's heartbeat is being handled
	closed     atomic.Bool
}

// Close closes the connection; a second call returns net.ErrClosed.
func (c *limitedConn) Close() error {
	if c.closed.Swap(true) {
		return net.ErrClosed
	}
	if c.worker.Load() {
		c.limiter.workers.Add(-1)
	}
	c.limiter.open.Add(-1)
	select {
	case c.limiter.connClosed <- struct{}{}:
	default:
	}
	return c.Conn.Close()
}

// markWorker marks the client as a worker and reports whether the connection may stay open after the
// response.
func (c *limitedConn) markWorker() (stays bool) {
	if !c.worker.Swap(true) {
		c.limiter.workers.Add(1)
	}
	return c.limiter.workers.Load() <= c.limiter.maxWorkers
}

// limitedConnKey is the context key of a request's *limitedConn.
type limitedConnKey struct{}

// withLimitedConn is an http.Server's ConnContext that makes the connection available to its requests.
func withLimitedConn(ctx context.Context, conn net.Conn) context.Context {
	if c, ok := conn.(*limitedConn); ok {
		return context.WithValue(ctx, limitedConnKey{}, c)
	}
	return ctx
}

// limitedConnFrom returns the connection of a request; nil if no connLimiter has accepted it.
func limitedConnFrom(ctx context.Context) *limitedConn {
	c, _ := ctx.Value(limitedConnKey{}).(*limitedConn)
	return c
}
