package transport

import (
	"context"
	"net"
	"sync"
	"sync/atomic"

	"sagevale/internal/protocol"
)

// maxShedShare limits how many idle worker connections are closed at a time to make room for new connections. It is a
// share of the maximum number of connections.
const maxShedShare = 1.0 / 8

// connLimiter is a listener that limits the number of its open connections. At the limit, Accept closes idle worker
// connections or, if there are none, waits until a connection is closed. Accept must not be called by two goroutines
// at once.
type connLimiter struct {
	net.Listener
	maxOpenConns, maxWorkerConns int64
	openConns, workerConns       atomic.Int64   // current numbers of connections
	conns                        []*limitedConn // in the order of acceptance, may include closed ones; used by Accept only
	connClosed                   chan struct{}  // wakes up a waiting Accept
	listenerClosed               chan struct{}
	closeOnce                    sync.Once
}

func newConnLimiter(l net.Listener, limits Limits) *connLimiter {
	return &connLimiter{
		Listener: l, maxOpenConns: int64(limits.connections()), maxWorkerConns: int64(limits.workerConnections()),
		connClosed: make(chan struct{}, 1), listenerClosed: make(chan struct{}),
	}
}

// Close closes the listener. An Accept that is waiting returns net.ErrClosed.
func (l *connLimiter) Close() error {
	l.closeOnce.Do(func() { close(l.listenerClosed) })
	return l.Listener.Close()
}

// Accept returns the next connection. While the maximum number of connections is open, it first closes idle worker
// connections or, if there are none, waits until a connection is closed.
func (l *connLimiter) Accept() (net.Conn, error) {
	for l.openConns.Load() >= l.maxOpenConns && !l.shedWorkerConns() {
		select {
		case <-l.connClosed:
		case <-l.listenerClosed:
			return nil, net.ErrClosed
		}
	}
	accepted, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &limitedConn{Conn: accepted, limiter: l}
	l.openConns.Add(1)
	l.conns = append(l.conns, c)
	if int64(len(l.conns)) > 2*l.openConns.Load() {
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

// shedWorkerConns closes idle worker connections, the oldest first. A worker connection is idle while no heartbeat from
// it is being handled. shedWorkerConns reports whether it has closed any connection.
func (l *connLimiter) shedWorkerConns() bool {
	l.removeClosed()
	maxShed := max(1, int(maxShedShare*float64(l.maxOpenConns)))
	shed := 0
	for _, c := range l.conns {
		if shed == maxShed {
			break
		}
		if c.isWorker.Load() && !c.busy.Load() {
			_ = c.Close() // even after an error, the connection no longer counts as open
			shed++
		}
	}
	return shed > 0
}

// limitedConn is a connection accepted by a connLimiter.
type limitedConn struct {
	net.Conn
	limiter      *connLimiter
	reportReader protocol.ReportReader // needs no lock: a connection serves one request at a time
	isWorker     atomic.Bool           // the client is a worker
	busy         atomic.Bool           // a worker's heartbeat is being handled
	closed       atomic.Bool
}

// Close closes the connection. Further calls return net.ErrClosed.
func (c *limitedConn) Close() error {
	if c.closed.Swap(true) {
		return net.ErrClosed
	}
	if c.isWorker.Load() {
		c.limiter.workerConns.Add(-1)
	}
	c.limiter.openConns.Add(-1)
	select {
	case c.limiter.connClosed <- struct{}{}:
	default:
	}
	return c.Conn.Close()
}

// markWorker records that the client is a worker. It returns false if more than maxWorkerConns worker connections are
// open, including this one. The connection must then be closed after the response.
func (c *limitedConn) markWorker() (mayStayOpen bool) {
	if !c.isWorker.Swap(true) {
		c.limiter.workerConns.Add(1)
	}
	return c.limiter.workerConns.Load() <= c.limiter.maxWorkerConns
}

// limitedConnKey is the context key of a request's *limitedConn.
type limitedConnKey struct{}

// withLimitedConn is the ConnContext function of an http.Server. It adds the connection to the context of its requests.
func withLimitedConn(ctx context.Context, conn net.Conn) context.Context {
	if c, ok := conn.(*limitedConn); ok {
		return context.WithValue(ctx, limitedConnKey{}, c)
	}
	return ctx
}

// limitedConnFrom returns the connection of the request with the context ctx. It returns nil if the connection wasn't
// accepted by a connLimiter.
func limitedConnFrom(ctx context.Context) *limitedConn {
	c, _ := ctx.Value(limitedConnKey{}).(*limitedConn)
	return c
}
