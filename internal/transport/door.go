package transport

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
)

// Shares of the node's sockets. A fleet's workers keep their connections open,
// and may be more than a node has sockets for: what they hold must leave room
// for users, health checks, and what the node itself opens.
const (
	// workerSockets may stay open between two reports; beyond that a worker's
	// connection is closed with its answer.
	workerSockets = 1.0 / 2
	// doorSockets may be open in all; then idle workers' connections are closed
	// to let others in.
	doorSockets = 2.0 / 3
	// shedShare of the idle workers' connections is closed at a time.
	shedShare = 1.0 / 8
	// orderSockets may be held by direct orders, idleSockets by connections kept
	// for the next ones.
	orderSockets = 1.0 / 6
	idleSockets  = 1.0 / 12
)

func socketShare(sockets int, share float64) int { return max(1, int(float64(sockets)*share)) }

// door is a listener that keeps its guests within the node's sockets. What it
// keeps of them belongs to the goroutine that accepts; guests only publish.
type door struct {
	net.Listener
	most, mostWorkers int64
	open, workers     atomic.Int64
	guests            []*guest
	left              chan struct{} // wakes an Accept that waits for room
	shut              chan struct{}
	once              sync.Once
}

// guest is one accepted connection.
type guest struct {
	net.Conn
	door   *door
	worker atomic.Bool // has reported
	busy   atomic.Bool // is being answered
	closed atomic.Bool
}

func newDoor(l net.Listener, sockets int) *door {
	return &door{
		Listener: l, most: int64(socketShare(sockets, doorSockets)), mostWorkers: int64(socketShare(sockets, workerSockets)),
		left: make(chan struct{}, 1), shut: make(chan struct{}),
	}
}

// Close ends accepting.
func (d *door) Close() error {
	d.once.Do(func() { close(d.shut) })
	return d.Listener.Close()
}

// Accept takes the next connection, once there is room for it.
func (d *door) Accept() (net.Conn, error) {
	for d.open.Load() >= d.most && !d.shed() {
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
	g := &guest{Conn: c, door: d}
	d.open.Add(1)
	d.guests = append(d.guests, g)
	if int64(len(d.guests)) > 2*d.open.Load() {
		d.sweep()
	}
	return g, nil
}

// sweep forgets the guests that have left.
func (d *door) sweep() {
	kept := d.guests[:0]
	for _, g := range d.guests {
		if !g.closed.Load() {
			kept = append(kept, g)
		}
	}
	clear(d.guests[len(kept):])
	d.guests = kept
}

// shed closes some of the workers' connections that wait for the next report,
// those that have been open the longest.
func (d *door) shed() bool {
	d.sweep()
	most := max(1, int(shedShare*float64(d.most)))
	n := 0
	for _, g := range d.guests {
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
func (g *guest) Close() error {
	if g.closed.Swap(true) {
		return net.ErrClosed
	}
	if g.worker.Load() {
		g.door.workers.Add(-1)
	}
	g.door.open.Add(-1)
	select {
	case g.door.left <- struct{}{}:
	default:
	}
	return g.Conn.Close()
}

// reports notes that the guest is a worker and tells whether its connection may
// stay open.
func (g *guest) reports() (stays bool) {
	if !g.worker.Swap(true) {
		g.door.workers.Add(1)
	}
	return g.door.workers.Load() <= g.door.mostWorkers
}

type guestKey struct{}

// withGuest lets requests know their guest.
func withGuest(ctx context.Context, c net.Conn) context.Context {
	if g, ok := c.(*guest); ok {
		return context.WithValue(ctx, guestKey{}, g)
	}
	return ctx
}

func guestOf(ctx context.Context) *guest {
	g, _ := ctx.Value(guestKey{}).(*guest)
	return g
}
