package transport

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"time"

	"sagevale/internal/activation"
	"sagevale/internal/api"
	"sagevale/internal/config"
	"sagevale/internal/peer"
	"sagevale/internal/scheduler"
	wire "sagevale/internal/wire/coordination"
	"sagevale/internal/worker"
)

// The gob messages between nodes. gob sends the fields of a type before the first message of it, so
// what is new is sent as a type of its own: the bytes of the others stay as they were. Whoever reads
// takes all of them as one type.

// peerAsk asks for a user's answer, or for those to reports.
type peerAsk struct {
	Serial  uint64
	Req     wire.UserRequest
	Reports []*wire.Report // if there are any, they are what is asked about
}

// peerAnswer answers a peerAsk.
type peerAnswer struct {
	Serial uint64
	Answer wire.Answer
	Beats  []wire.BeatAnswer
}

// wakeAsk tells of demand for a model. Only peers that say that they take it are sent it.
type wakeAsk struct {
	Serial uint64
	Wake   *activation.WakeRequest
}

// wakeAnswer answers a wakeAsk.
type wakeAnswer struct {
	Serial uint64
	Wake   *activation.WakeResponse
}

// usageAsk tells how models are used. Only peers that say that they take it are sent it.
type usageAsk struct {
	Serial uint64
	Usage  *activation.UsageReport
}

// usageAnswer answers a usageAsk.
type usageAnswer struct {
	Serial uint64
	Usage  *activation.UsageResponse
}

// receivedAsk is any message that asks.
type receivedAsk struct {
	Serial  uint64
	Req     wire.UserRequest
	Reports []*wire.Report
	Wake    *activation.WakeRequest
	Usage   *activation.UsageReport
}

// receivedAnswer is any message that answers.
type receivedAnswer struct {
	Serial uint64
	Answer wire.Answer
	Beats  []wire.BeatAnswer
	Wake   *activation.WakeResponse
	Usage  *activation.UsageResponse
}

const (
	// peerTimeout is how long another node may take to answer.
	peerTimeout = time.Second
	// peerPause is how long a peer that couldn't be reached is left alone.
	peerPause = 250 * time.Millisecond
	// answerQueue smooths the answers to one peer; whoever finds it full waits.
	answerQueue = 256
	// pingMissed is how long a link that hears nothing counts as in reach, and
	// firstAnswer how long one that has never been heard.
	pingMissed  = 3 * peerTimeout / 2
	firstAnswer = peerTimeout / 2
)

var errPeer = errors.New("peer out of reach")

// Peers forwards users' requests to the other nodes. Each link is an actor
// that owns its connection.
type Peers struct {
	links map[string]*link
	pings time.Duration // how often they are tested, all at once: the process wakes once
	log   *slog.Logger
}

var _ scheduler.PeerLink = (*Peers)(nil)

// Pace is how the links spare the processor.
type Pace struct {
	Window time.Duration // for which what can wait is gathered
	Pings  time.Duration // how often all links are tested
	Queue  int           // how many requests may wait for one peer
}

// NewPeers makes the links; Run starts them.
func NewPeers(self string, peers []config.Peer, pace Pace, log *slog.Logger) *Peers {
	p := &Peers{links: make(map[string]*link), pings: pace.Pings, log: log}
	for _, peer := range peers {
		l := &link{
			self: self, addr: peer.Addr, window: pace.Window, calls: make(chan call, max(1, pace.Queue)), test: make(chan struct{}, 1), events: make(chan any, answerQueue),
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
	p.testLinks(ctx)
}

// testLinks has all links tested at the same moments.
func (p *Peers) testLinks(ctx context.Context) {
	tick := time.NewTicker(p.pings)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		for _, l := range p.links {
			select {
			case l.test <- struct{}{}:
			default: // it is behind, and will be
			}
		}
	}
}

// Forward asks the named node.
func (p *Peers) Forward(ctx context.Context, node string, req api.Request) (api.Response, error) {
	a, err := p.ask(ctx, node, call{ask: peerAsk{Req: wire.FromRequest(&req)}})
	return a.Answer.Response(), err
}

// ForwardHeartbeats hands reports to the named node.
func (p *Peers) ForwardHeartbeats(ctx context.Context, node string, reports []*worker.Report) ([]worker.HeartbeatResponse, error) {
	a, err := p.ask(ctx, node, call{ask: peerAsk{Reports: wire.FromReports(reports)}})
	if err == nil && len(a.Beats) != len(reports) {
		err = fmt.Errorf("%w: it decides on no reports", errPeer)
	}
	return wire.HeartbeatResponses(a.Beats), err
}

// Wake tells the named node of demand for a model.
func (p *Peers) Wake(ctx context.Context, node string, req activation.WakeRequest) (activation.WakeResponse, error) {
	a, err := p.ask(ctx, node, call{wake: &req})
	if err == nil && a.Wake == nil {
		err = fmt.Errorf("%w: it takes no demand", errPeer)
	}
	if err != nil {
		return activation.WakeResponse{}, err
	}
	return *a.Wake, nil
}

// ReportUsage tells the named node how models are used here.
func (p *Peers) ReportUsage(ctx context.Context, node string, report activation.UsageReport) (activation.UsageResponse, error) {
	a, err := p.ask(ctx, node, call{usage: &report})
	if err == nil && a.Usage == nil {
		err = fmt.Errorf("%w: it takes no usage", errPeer)
	}
	if err != nil {
		return activation.UsageResponse{}, err
	}
	return *a.Usage, nil
}

func (p *Peers) ask(ctx context.Context, node string, c call) (receivedAnswer, error) {
	l := p.links[node]
	if l == nil {
		return receivedAnswer{}, fmt.Errorf("%w: unknown node %q", errPeer, node)
	}
	began := time.Now()
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	c.reply = make(chan result, 1)
	select {
	case l.calls <- c:
	default:
		return receivedAnswer{}, fmt.Errorf("%w: too many requests wait for it", errPeer)
	}
	select {
	case r := <-c.reply:
		if r.err == nil && time.Since(began) > peerTimeout {
			// This process stood still: what was true then may not be now.
			return receivedAnswer{}, fmt.Errorf("%w: answered too late", errPeer)
		}
		return r.answer, r.err
	case <-ctx.Done():
		return receivedAnswer{}, fmt.Errorf("%w: no answer", errPeer)
	}
}

// Status is the named node's latest status.
func (p *Peers) Status(node string) (peer.ObservedStatus, bool) {
	l := p.links[node]
	if l == nil {
		return peer.ObservedStatus{}, false
	}
	w, ok := l.status.Load().(peer.ObservedStatus)
	return w, ok
}

// UnreachableFor is for how long the named node has been out of reach.
func (p *Peers) UnreachableFor(node string) time.Duration {
	l := p.links[node]
	if l == nil {
		return 0
	}
	heard, ok := l.lastHeard.Load().(time.Time)
	if !ok {
		// Never heard, maybe because a cut is older than this process.
		if d := time.Since(l.made); d > firstAnswer {
			return d
		}
		return 0
	}
	if d := time.Since(heard); d > pingMissed {
		return d
	}
	return 0
}

// KnownLeader is the latest leader that a peer in reach has told of.
func (p *Peers) KnownLeader() (leader string, term uint64) {
	for name, l := range p.links {
		if st, ok := l.status.Load().(peer.ObservedStatus); ok && st.Leader != "" && st.Term > term && p.UnreachableFor(name) == 0 {
			leader, term = st.Leader, st.Term
		}
	}
	return leader, term
}
