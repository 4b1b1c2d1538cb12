package transport

import (
	"context"
	"net"
	"sync"
	"sync/atomic"

	"sagevale/internal/protocol"
)

// Shares of the node's sockets. A fleet's workers keep their connections open,
// and may be more than a node has sockets for: what they hold must leave room
// for users, health checks, and what the node itself opens.
const (
	// workerShare may stay open between two reports; beyond that a worker's
	// connection is closed with its answer.
	workerShare = 1.0 / 2
	// acceptedShare may be open in all; then idle workers' connections are closed
	// to let others in.
	acceptedShare = 2.0 / 3
	// shedShare of the idle workers' connections is closed at a time.
	shedShare = 1.0 / 8
	// directOrderShare may be held by direct orders, idleOrderShare by connections kept
	// for the next ones.
	directOrderShare = 1.0 / 6
	idleOrderShare   = 1.0 / 12
)

func socketShare(sockets int, share float64) int { return max(1, int(float64(sockets)*share)) }

// connLimiter is a listener that keeps its connections within the node's sockets. What it
// keeps of them belongs to the goroutine that accepts; connections only publish.
type connLimiter struct {
	net.Listener
	maxOpen, maxWorkers int64
	open, workers       atomic.Int64
	conns               []*limitedConn
	left                chan struct{} // wakes an Accept that waits for room
	shut                chan struct{}
	once                sync.Once
}

// limitedConn is one accepted connection.
type limitedConn struct {
	net.Conn
	limiter *connLimiter
	worker  atomic.Bool           // has reported
	reports protocol.ReportReader // of the request under way, one at a time
	busy    atomic.Bool           // is being answered
	closed  atomic.Bool
}

func newConnLimiter(l net.Listener, bounds Bounds) *connLimiter {
	return &connLimiter{
		Listener: l, maxOpen: int64(bounds.connections()), maxWorkers: int64(bounds.workers()),
		left: make(chan struct{}, 1), shut: make(chan struct{}),
	}
}

// Close ends accepting.
func (d *connLimiter) Close() error {
	d.once.Do(func() { close(d.shut) })
	return d.Listener.Close()
}

// Accept takes the next connection, once there is room for it.
func (d *connLimiter) Accept() (net.Conn, error) {
	for d.open.Load() >= d.maxOpen && !d.shed() {
		select {
		case <-d.left:
		case <-d.shut:
			return nil, net.ErrClosed
		}
	}
	c, err := d.Listener.Accept()
	if err != nil {
		return nil, err
	}
	g := &limitedConn{Conn: c, limiter: d}
	d.open.Add(1)
	d.conns = append(d.conns, g)
	if int64(len(d.conns)) > 2*d.open.Load() {
		d.sweep()
	}
	return g, nil
}

// sweep forgets the connections that have left.
func (d *connLimiter) sweep() {
	kept := d.conns[:0]
	for _, g := range d.conns {
		if !g.closed.Load() {
			kept = append(kept, g)
		}
	}
	clear(d.conns[len(kept):])
	d.conns = kept
}

// shed closes some of the workers' connections that wait for the next report,
// those that have been open the longest.
func (d *connLimiter) shed() bool {
	d.sweep()
	most := max(1, int(shedShare*float64(d.maxOpen)))
	n := 0
	for _, g := range d.conns {
		if n == most {
			break
		}
		if g.worker.Load() && !g.busy.Load() {
			g.Close()
			n++
		}
	}
	return n > 0
}

// Close ends the connection, once.
func (g *limitedConn) Close() error {
	if g.closed.Swap(true) {
		return net.ErrClosed
	}
	if g.worker.Load() {
		g.limiter.workers.Add(-1)
	}
	g.limiter.open.Add(-1)
	select {
	case g.limiter.left <- struct{}{}:
	default:
	}
	return g.Conn.Close()
}

// markWorker notes that the connection is a worker and tells whether its connection may
// stay open.
func (g *limitedConn) markWorker() (stays bool) {
	if !g.worker.Swap(true) {
		g.limiter.workers.Add(1)
	}
	return g.limiter.workers.Load() <= g.limiter.maxWorkers
}

type limitedConnKey struct{}

// withLimitedConn lets requests know their connection.
func withLimitedConn(ctx context.Context, c net.Conn) context.Context {
	if g, ok := c.(*limitedConn); ok {
		return context.WithValue(ctx, limitedConnKey{}, g)
	}
	return ctx
}

func limitedConnOf(ctx context.Context) *limitedConn {
	g, _ := ctx.Value(limitedConnKey{}).(*limitedConn)
	return g
}
