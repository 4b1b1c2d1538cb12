package transport

import (
	"context"
	"encoding/gob"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"sync/atomic"
	"time"

	"sagevale/internal/coordination"
	"sagevale/internal/storage"
)

// peerAsk and peerAnswer are the gob messages between nodes.
type peerAsk struct {
	Serial uint64
	Req    coordination.UserRequest
}

type peerAnswer struct {
	Serial uint64
	Answer coordination.Answer
}

const (
	// peerPatience is how long another node may take to answer.
	peerPatience = time.Second
	// peerPause is how long a peer that couldn't be reached is left alone.
	peerPause = 250 * time.Millisecond
	// peerQueue bounds the requests that wait for one peer.
	peerQueue = 256
	// pingPause is how often a link is tested, and pingMissed how long one
	// that hears nothing counts as in reach.
	pingPause  = 500 * time.Millisecond
	pingMissed = 3 * pingPause
)

var errPeer = errors.New("peer out of reach")

// Peers forwards users' requests to the other nodes. Each link is an actor
// that owns its connection.
type Peers struct {
	links map[string]*link
	log   *slog.Logger
}

var _ coordination.PeerLink = (*Peers)(nil)

// NewPeers makes the links; Run starts them.
func NewPeers(peers []coordination.Peer, log *slog.Logger) *Peers {
	p := &Peers{links: make(map[string]*link), log: log}
	for _, peer := range peers {
		l := &link{
			addr: peer.Addr, calls: make(chan call, peerQueue), events: make(chan any, peerQueue),
			log: log.With("peer", peer.Name), made: time.Now(),
		}
		p.links[peer.Name] = l
	}
	return p
}

// Run serves the links until ctx ends.
func (p *Peers) Run(ctx context.Context) {
	for _, l := range p.links {
		go l.run(ctx)
	}
	<-ctx.Done()
}

// Forward asks the named node.
func (p *Peers) Forward(ctx context.Context, node string, req coordination.UserRequest) (coordination.Answer, error) {
	l := p.links[node]
	if l == nil {
		return coordination.Answer{}, fmt.Errorf("%w: unknown node %q", errPeer, node)
	}
	ctx, cancel := context.WithTimeout(ctx, peerPatience)
	defer cancel()
	c := call{req: req, reply: make(chan result, 1)}
	select {
	case l.calls <- c:
	default:
		return coordination.Answer{}, fmt.Errorf("%w: too many requests wait for it", errPeer)
	}
	select {
	case r := <-c.reply:
		return r.answer, r.err
	case <-ctx.Done():
		return coordination.Answer{}, fmt.Errorf("%w: no answer", errPeer)
	}
}

// Unheard is for how long the named node has been out of reach.
func (p *Peers) Unheard(node string) time.Duration {
	l := p.links[node]
	if l == nil {
		return 0
	}
	heard, ok := l.heard.Load().(time.Time)
	if !ok {
		// Never heard, maybe because a cut is older than this process.
		if d := time.Since(l.made); d > pingPause {
			return d
		}
		return 0
	}
	if d := time.Since(heard); d > pingMissed {
		return d
	}
	return 0
}

// Known is the latest leader that a peer in reach has told of.
func (p *Peers) Known() (leader string, term uint64) {
	for name, l := range p.links {
		if st, ok := l.told.Load().(coordination.PeerState); ok && st.Leader != "" && st.Term > term && p.Unheard(name) == 0 {
			leader, term = st.Leader, st.Term
		}
	}
	return leader, term
}

type call struct {
	req   coordination.UserRequest
	reply chan result
}

type result struct {
	answer coordination.Answer
	err    error
}

type pendingCall struct {
	call
	at time.Time
}

// link is the actor of one peer's connection.
type link struct {
	addr   string
	made   time.Time
	calls  chan call
	events chan any
	log    *slog.Logger

	conn     net.Conn
	enc      *gob.Encoder
	pending  map[uint64]pendingCall
	serial   uint64
	downTill time.Time
	heard    atomic.Value // time.Time of the last answer, published for others
	told     atomic.Value // coordination.PeerState of the last answered ping, likewise
}

// brokenMsg tells that reading from a connection has ended.
type brokenMsg struct {
	conn net.Conn
	err  error
}

func (l *link) run(ctx context.Context) {
	l.pending = make(map[uint64]pendingCall)
	tick := time.NewTicker(pingPause)
	defer tick.Stop()
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
			case peerAnswer:
				l.heard.Store(time.Now())
				if p, ok := l.pending[e.Serial]; ok {
					if p.req.Op == coordination.OpPing {
						l.told.Store(e.Answer.Peer)
					}
					delete(l.pending, e.Serial)
					p.reply <- result{answer: e.Answer}
				}
			case brokenMsg:
				if e.conn == l.conn {
					l.drop(e.err)
				}
			}
		case <-tick.C:
			l.expire(time.Now())
			l.ping(ctx)
		}
	}
}

// ping tests the link.
func (l *link) ping(ctx context.Context) {
	l.send(ctx, call{req: coordination.UserRequest{Op: coordination.OpPing}, reply: make(chan result, 1)})
}

func (l *link) send(ctx context.Context, c call) {
	if l.conn == nil {
		if time.Now().Before(l.downTill) {
			c.reply <- result{err: errPeer}
			return
		}
		d := net.Dialer{Timeout: peerPatience / 2}
		conn, err := d.DialContext(ctx, "tcp", l.addr)
		if err != nil {
			l.log.Debug("peer not reached", "err", err)
			l.downTill = time.Now().Add(peerPause)
			c.reply <- result{err: errPeer}
			return
		}
		l.conn, l.enc = conn, gob.NewEncoder(conn)
		go read(ctx, conn, l.events)
	}
	l.serial++
	l.pending[l.serial] = pendingCall{c, time.Now()}
	if err := l.conn.SetWriteDeadline(time.Now().Add(peerPatience)); err != nil {
		l.drop(err)
		return
	}
	if err := l.enc.Encode(peerAsk{l.serial, c.req}); err != nil {
		l.drop(err)
	}
}

func read(ctx context.Context, conn net.Conn, events chan<- any) {
	dec := gob.NewDecoder(conn)
	for {
		var a peerAnswer
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
		if now.Sub(p.at) > 2*peerPatience {
			l.drop(errPeer)
			return
		}
	}
}

func (l *link) drop(err error) {
	if l.conn != nil {
		l.log.Debug("peer connection dropped", "err", err)
		l.conn.Close()
		l.conn, l.enc = nil, nil
		l.downTill = time.Now().Add(peerPause)
	}
	for serial, p := range l.pending {
		delete(l.pending, serial)
		p.reply <- result{err: errPeer}
	}
}

// ServePeers answers the other nodes' requests on l until ctx ends.
func ServePeers(ctx context.Context, l net.Listener, local func(context.Context, coordination.UserRequest) coordination.Answer, log *slog.Logger) error {
	stop := context.AfterFunc(ctx, func() { l.Close() })
	defer stop()
	for {
		conn, err := l.Accept()
		if err != nil {
			if ctx.Err() != nil {
				return nil
			}
			log.Error("peer not accepted", "err", err)
			if !storage.Sleep(ctx, peerPause) {
				return nil
			}
			continue
		}
		go servePeer(ctx, conn, local, log)
	}
}

func servePeer(ctx context.Context, conn net.Conn, local func(context.Context, coordination.UserRequest) coordination.Answer, log *slog.Logger) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stop := context.AfterFunc(ctx, func() { conn.Close() })
	defer stop()
	answers := make(chan peerAnswer, peerQueue)
	go func() {
		defer cancel()
		enc := gob.NewEncoder(conn)
		for {
			select {
			case <-ctx.Done():
				return
			case a := <-answers:
				if err := conn.SetWriteDeadline(time.Now().Add(2 * peerPatience)); err != nil {
					return
				}
				if err := enc.Encode(a); err != nil {
					return
				}
			}
		}
	}()
	dec := gob.NewDecoder(conn)
	for {
		var ask peerAsk
		if err := dec.Decode(&ask); err != nil {
			log.Debug("peer has gone", "err", err)
			return
		}
		go func() {
			actx, done := context.WithTimeout(ctx, peerPatience)
			defer done()
			a := local(actx, ask.Req)
			select {
			case answers <- peerAnswer{ask.Serial, a}:
			case <-ctx.Done():
			}
		}()
	}
}
