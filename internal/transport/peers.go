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
	Serial  uint64
	Req     coordination.UserRequest
	Reports []*coordination.Report // if there are any, they are what is asked about
}

type peerAnswer struct {
	Serial uint64
	Answer coordination.Answer
	Beats  []coordination.BeatAnswer
}

const (
	// peerPatience is how long another node may take to answer.
	peerTimeout = time.Second
	// peerPause is how long a peer that couldn't be reached is left alone.
	peerPause = 250 * time.Millisecond
	// peerQueue bounds the requests that wait for one peer.
	peerQueue = 256
	// pingPause is how often a link is tested, and pingMissed how long one
	// that hears nothing counts as in reach.
	pingPause  = 250 * time.Millisecond
	pingMissed = 6 * pingPause
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
func NewPeers(self string, peers []coordination.Peer, log *slog.Logger) *Peers {
	p := &Peers{links: make(map[string]*link), log: log}
	for _, peer := range peers {
		l := &link{
			self: self, addr: peer.Addr, calls: make(chan call, peerQueue), events: make(chan any, peerQueue),
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
	a, err := p.ask(ctx, node, peerAsk{Req: req})
	return a.Answer, err
}

// Beats hands reports to the named node.
func (p *Peers) Heartbeats(ctx context.Context, node string, reports []*coordination.Report) ([]coordination.HeartbeatResponse, error) {
	a, err := p.ask(ctx, node, peerAsk{Reports: reports})
	if err == nil && len(a.Beats) != len(reports) {
		err = fmt.Errorf("%w: it decides on no reports", errPeer)
	}
	return coordination.ResponsesFromWire(a.Beats), err
}

func (p *Peers) ask(ctx context.Context, node string, ask peerAsk) (peerAnswer, error) {
	l := p.links[node]
	if l == nil {
		return peerAnswer{}, fmt.Errorf("%w: unknown node %q", errPeer, node)
	}
	began := time.Now()
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	c := call{ask: ask, reply: make(chan result, 1)}
	select {
	case l.calls <- c:
	default:
		return peerAnswer{}, fmt.Errorf("%w: too many requests wait for it", errPeer)
	}
	select {
	case r := <-c.reply:
		if r.err == nil && time.Since(began) > peerTimeout {
			// This process stood still: what was true then may not be now.
			return peerAnswer{}, fmt.Errorf("%w: answered too late", errPeer)
		}
		return r.answer, r.err
	case <-ctx.Done():
		return peerAnswer{}, fmt.Errorf("%w: no answer", errPeer)
	}
}

// Told is the named node's latest word of itself.
func (p *Peers) Status(node string) (coordination.PeerReport, bool) {
	l := p.links[node]
	if l == nil {
		return coordination.PeerReport{}, false
	}
	w, ok := l.status.Load().(coordination.PeerReport)
	return w, ok
}

// Unheard is for how long the named node has been out of reach.
func (p *Peers) SilentFor(node string) time.Duration {
	l := p.links[node]
	if l == nil {
		return 0
	}
	heard, ok := l.lastHeard.Load().(time.Time)
	if !ok {
		// Never heard, maybe because a cut is older than this process.
		if d := time.Since(l.made); d > 2*pingPause {
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
func (p *Peers) KnownLeader() (leader string, term uint64) {
	for name, l := range p.links {
		if st, ok := l.status.Load().(coordination.PeerReport); ok && st.Leader != "" && st.Term > term && p.SilentFor(name) == 0 {
			leader, term = st.Leader, st.Term
		}
	}
	return leader, term
}

type call struct {
	ask   peerAsk
	reply chan result
}

type result struct {
	answer peerAnswer
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
	events chan any
	log    *slog.Logger

	conn      net.Conn
	enc       *gob.Encoder
	pending   map[uint64]pendingCall
	serial    uint64
	downTill  time.Time
	lastHeard atomic.Value // time.Time of the last answer, published for others
	status    atomic.Value // coordination.PeerWord of the last answered ping, likewise
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
				l.lastHeard.Store(time.Now())
				if p, ok := l.pending[e.Serial]; ok {
					if p.ask.Req.Op == coordination.OpPing && p.ask.Reports == nil {
						l.status.Store(coordination.PeerReport{PeerStatus: e.Answer.Peer.Status(), Sent: p.at, Got: time.Now()})
					}
					delete(l.pending, e.Serial)
					p.reply <- result{answer: e}
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
	l.send(ctx, call{ask: peerAsk{Req: coordination.UserRequest{Op: coordination.OpPing, ID: l.self}}, reply: make(chan result, 1)})
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
		l.conn, l.enc = conn, gob.NewEncoder(conn)
		go read(ctx, conn, l.events)
	}
	l.serial++
	l.pending[l.serial] = pendingCall{c, time.Now()}
	if err := l.conn.SetWriteDeadline(time.Now().Add(peerTimeout)); err != nil {
		l.drop(err)
		return
	}
	c.ask.Serial = l.serial
	if err := l.enc.Encode(c.ask); err != nil {
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
		l.conn, l.enc = nil, nil
		l.downTill = time.Now().Add(peerPause)
	}
	for serial, p := range l.pending {
		delete(l.pending, serial)
		p.reply <- result{err: errPeer}
	}
}

// Local is what answers the other nodes.
type Local interface {
	Local(ctx context.Context, req coordination.UserRequest) coordination.Answer
	LocalHeartbeats(ctx context.Context, reports []*coordination.Report) []coordination.HeartbeatResponse
}

// ServePeers answers the other nodes' requests on l until ctx ends.
func ServePeers(ctx context.Context, l net.Listener, local Local, log *slog.Logger) error {
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

func servePeer(ctx context.Context, conn net.Conn, local Local, log *slog.Logger) {
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
				if err := conn.SetWriteDeadline(time.Now().Add(2 * peerTimeout)); err != nil {
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
			actx, done := context.WithTimeout(ctx, peerTimeout)
			defer done()
			a := peerAnswer{Serial: ask.Serial}
			if ask.Reports != nil {
				a.Beats = coordination.WireResponses(local.LocalHeartbeats(actx, ask.Reports))
			} else {
				a.Answer = local.Local(actx, ask.Req)
			}
			select {
			case answers <- a:
			case <-ctx.Done():
			}
		}()
	}
}
