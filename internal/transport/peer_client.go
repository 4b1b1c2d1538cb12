package transport

import (
	"bufio"
	"context"
	"encoding/gob"
	"log/slog"
	"net"
	"sync/atomic"
	"time"

	"sagevale/internal/activation"
	"sagevale/internal/api"
	"sagevale/internal/peer"
	wire "sagevale/internal/wire/coordination"
)

type call struct {
	ask   peerAsk
	wake  *activation.WakeRequest // if not nil, what is asked
	usage *activation.UsageReport // likewise
	reply chan result
}

// message is what is sent for a call.
func (c *call) message(serial uint64) any {
	switch {
	case c.wake != nil:
		return wakeAsk{serial, c.wake}
	case c.usage != nil:
		return usageAsk{serial, c.usage}
	}
	c.ask.Serial = serial
	return c.ask
}

// asksUser tells whether a user's request, or a ping, is what is asked.
func (c *call) asksUser() bool { return c.wake == nil && c.usage == nil && c.ask.Reports == nil }

// isPing tells whether a call asks for the peer's status.
func (c *call) isPing() bool {
	return c.asksUser() && c.ask.Req.Op == api.OpPing
}

type result struct {
	answer receivedAnswer
	err    error
}

type pendingCall struct {
	call
	at time.Time
}

// link is the actor of one peer's connection.
type link struct {
	self   string // this node
	addr   string
	made   time.Time
	calls  chan call
	test   chan struct{} // asks for a ping
	events chan any
	log    *slog.Logger

	conn      net.Conn
	out       *bufio.Writer
	enc       *gob.Encoder
	window    time.Duration    // for which what can wait is gathered
	flushDue  <-chan time.Time // when that is over; nil: nothing waits
	pending   map[uint64]pendingCall
	serial    uint64
	downTill  time.Time
	lastHeard atomic.Value // time.Time of the last answer, published for others
	status    atomic.Value // coordination.ObservedStatus of the last answered ping, likewise
}

// brokenMsg tells that reading from a connection has ended.
type brokenMsg struct {
	conn net.Conn
	err  error
}

func (l *link) run(ctx context.Context) {
	l.pending = make(map[uint64]pendingCall)
	l.ping(ctx)
	for {
		select {
		case <-ctx.Done():
			l.drop(ctx.Err())
			return
		case c := <-l.calls:
			l.send(ctx, c)
		case e := <-l.events:
			switch e := e.(type) {
			case receivedAnswer:
				l.lastHeard.Store(time.Now())
				if p, ok := l.pending[e.Serial]; ok {
					if p.isPing() {
						l.status.Store(peer.ObservedStatus{Status: e.Answer.Peer.Status(), Sent: p.at, Received: time.Now()})
					}
					delete(l.pending, e.Serial)
					p.reply <- result{answer: e}
				}
			case brokenMsg:
				if e.conn == l.conn {
					l.drop(e.err)
				}
			}
		case <-l.flushDue:
			l.flush()
		case <-l.test:
			l.expire(time.Now())
			l.ping(ctx)
		}
	}
}

// ping tests the link.
func (l *link) ping(ctx context.Context) {
	l.send(ctx, call{ask: peerAsk{Req: wire.UserRequest{Op: api.OpPing, ID: l.self}}, reply: make(chan result, 1)})
}

func (l *link) send(ctx context.Context, c call) {
	if l.conn == nil {
		if time.Now().Before(l.downTill) {
			c.reply <- result{err: errPeer}
			return
		}
		d := net.Dialer{Timeout: peerTimeout / 2}
		conn, err := d.DialContext(ctx, "tcp", l.addr)
		if err != nil {
			l.log.Debug("peer not reached", "err", err)
			l.downTill = time.Now().Add(peerPause)
			c.reply <- result{err: errPeer}
			return
		}
		l.use(conn)
		go read(ctx, conn, l.events)
	}
	l.serial++
	l.pending[l.serial] = pendingCall{c, time.Now()}
	err := l.conn.SetWriteDeadline(time.Now().Add(peerTimeout + l.window))
	if err == nil {
		err = l.enc.Encode(c.message(l.serial))
	}
	switch {
	case err != nil:
		l.drop(err)
	case !c.mayWait():
		l.flush()
	case l.flushDue == nil:
		l.flushDue = time.After(l.window)
	}
}

// use takes up a connection.
func (l *link) use(conn net.Conn) {
	l.conn, l.out = conn, bufio.NewWriter(conn)
	l.enc = gob.NewEncoder(l.out)
}

// mayWait tells whether a request may be gathered with others: polls are many and not
// urgent, and each message by itself would wake the peer.
func (c *call) mayWait() bool {
	return c.asksUser() && c.ask.Req.Op == api.OpPoll
}

// flush sends what has gathered.
func (l *link) flush() {
	l.flushDue = nil
	if l.conn == nil {
		return
	}
	if err := l.out.Flush(); err != nil {
		l.drop(err)
	}
}

func read(ctx context.Context, conn net.Conn, events chan<- any) {
	dec := gob.NewDecoder(conn)
	for {
		var a receivedAnswer
		if err := dec.Decode(&a); err != nil {
			select {
			case events <- brokenMsg{conn, err}:
			case <-ctx.Done():
			}
			return
		}
		select {
		case events <- a:
		case <-ctx.Done():
			return
		}
	}
}

// expire gives up on a connection that has left a request unanswered: behind
// a cut it would only hang.
func (l *link) expire(now time.Time) {
	for _, p := range l.pending {
		if now.Sub(p.at) > 2*peerTimeout {
			l.drop(errPeer)
			return
		}
	}
}

func (l *link) drop(err error) {
	if l.conn != nil {
		l.log.Debug("peer connection dropped", "err", err)
		l.conn.Close()
		l.conn, l.out, l.enc, l.flushDue = nil, nil, nil, nil
		l.downTill = time.Now().Add(peerPause)
	}
	for serial, p := range l.pending {
		delete(l.pending, serial)
		p.reply <- result{err: errPeer}
	}
}
