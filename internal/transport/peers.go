package transport

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"sync"
	"time"

	"sagevale/internal/activation"
	"sagevale/internal/api"
	"sagevale/internal/config"
	"sagevale/internal/peer"
	"sagevale/internal/scheduler"
	wire "sagevale/internal/wire/coordination"
	"sagevale/internal/worker"
)

const (
	// peerTimeout is the longest that a controller waits for another controller's response.
	peerTimeout = time.Second
	// peerRetryDelay is how long a client waits before it tries to connect to a peer again, after a connection has failed
	// or couldn't be opened. The server waits as long after it has failed to accept a connection.
	peerRetryDelay = 250 * time.Millisecond
	// peerQueueLength is the capacity of two kinds of channels: those with the responses received from a peer, and those
	// with the responses to send on a connection. When a channel is full, the goroutine that adds a response waits.
	peerQueueLength = 256
	// A peer counts as unreachable once unreachableAfter has passed since its latest response. A peer that has never
	// responded counts as unreachable once firstContactTimeout has passed since the creation of its client.
	unreachableAfter    = 3 * peerTimeout / 2
	firstContactTimeout = peerTimeout / 2
)

// errPeerUnreachable is the error, possibly wrapped, of every request that gets no usable response.
var errPeerUnreachable = errors.New("peer unreachable")

// Peers sends requests to the other controllers. Its methods may be called from several goroutines.
type Peers struct {
	clients      map[string]*peerClient
	pingInterval time.Duration // all peers are pinged at the same time, so that the process wakes up once per interval
}

var _ scheduler.PeerLink = (*Peers)(nil)

// PeerPacing limits how often the peer clients use the CPU, and how many requests may wait to be sent.
type PeerPacing struct {
	BatchWindow  time.Duration // how long polls may be delayed to be sent in a batch
	PingInterval time.Duration // time between two pings of a peer
	QueueLength  int           // how many requests to one peer may wait to be sent
}

// NewPeers returns a Peers with one client for each other controller. It sends nothing before Run is called.
func NewPeers(self string, peers []config.Peer, pacing PeerPacing, log *slog.Logger) *Peers {
	p := &Peers{clients: make(map[string]*peerClient, len(peers)), pingInterval: pacing.PingInterval}
	for _, node := range peers {
		p.clients[node.Name] = newPeerClient(self, node, pacing, log)
	}
	return p
}

// Run maintains the connections to the peers until ctx ends.
func (p *Peers) Run(ctx context.Context) {
	var clients sync.WaitGroup
	defer clients.Wait()
	for _, c := range p.clients {
		clients.Go(func() { c.run(ctx) })
	}
	p.triggerPings(ctx)
}

// triggerPings makes all clients ping their peers at the same time, once per ping interval, until ctx ends.
func (p *Peers) triggerPings(ctx context.Context) {
	ticker := time.NewTicker(p.pingInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		for _, c := range p.clients {
			select {
			case c.pings <- struct{}{}:
			default: // the client has not sent the previous ping yet
			}
		}
	}
}

// Forward sends a user request to the named controller and returns its response.
func (p *Peers) Forward(ctx context.Context, node string, req api.Request) (api.Response, error) {
	r, err := p.send(ctx, node, peerRequest{message: peerAsk{Req: wire.FromRequest(&req)}})
	return r.Answer.Response(), err
}

// ForwardHeartbeats sends workers' heartbeats to the named controller and returns its responses in the same order. It
// returns an error if the controller doesn't handle the heartbeats, for example because it isn't the leader.
func (p *Peers) ForwardHeartbeats(ctx context.Context, node string, reports []*worker.Report) ([]worker.HeartbeatResponse, error) {
	r, err := p.send(ctx, node, peerRequest{message: peerAsk{Reports: wire.FromReports(reports)}})
	if err == nil && len(r.Beats) != len(reports) {
		err = fmt.Errorf("%w: it returned no responses to the heartbeats", errPeerUnreachable)
	}
	return wire.HeartbeatResponses(r.Beats), err
}

// Wake sends a wake request, which reports demand for a model, to the named controller and returns its response.
func (p *Peers) Wake(ctx context.Context, node string, req activation.WakeRequest) (activation.WakeResponse, error) {
	r, err := p.send(ctx, node, peerRequest{wake: &req})
	if err == nil && r.Wake == nil {
		err = fmt.Errorf("%w: its response is not a wake response", errPeerUnreachable)
	}
	if err != nil {
		return activation.WakeResponse{}, err
	}
	return *r.Wake, nil
}

// ReportUsage sends a usage report, which lists the models for which this controller has had requests, to the named
// controller and returns its response.
func (p *Peers) ReportUsage(ctx context.Context, node string, report activation.UsageReport) (activation.UsageResponse, error) {
	r, err := p.send(ctx, node, peerRequest{usage: &report})
	if err == nil && r.Usage == nil {
		err = fmt.Errorf("%w: its response is not a usage response", errPeerUnreachable)
	}
	if err != nil {
		return activation.UsageResponse{}, err
	}
	return *r.Usage, nil
}

// send queues a request for the named controller and waits at most peerTimeout for the response.
func (p *Peers) send(ctx context.Context, node string, req peerRequest) (receivedResponse, error) {
	c := p.clients[node]
	if c == nil {
		return receivedResponse{}, fmt.Errorf("%w: unknown node %q", errPeerUnreachable, node)
	}
	start := time.Now()
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	result := make(chan peerResult, 1)
	req.result = result
	select {
	case c.requests <- req:
	default:
		return receivedResponse{}, fmt.Errorf("%w: too many requests are queued", errPeerUnreachable)
	}
	select {
	case r := <-result:
		if r.err == nil && time.Since(start) > peerTimeout {
			// This process was paused, so the content of the response may be outdated.
			return receivedResponse{}, fmt.Errorf("%w: response too late", errPeerUnreachable)
		}
		return r.response, r.err
	case <-ctx.Done():
		return receivedResponse{}, fmt.Errorf("%w: no response in time", errPeerUnreachable)
	}
}

// Status returns the latest status that the named controller has sent. ok is false if it has sent none.
func (p *Peers) Status(node string) (status peer.ObservedStatus, ok bool) {
	c := p.clients[node]
	if c == nil {
		return peer.ObservedStatus{}, false
	}
	status, ok = c.status.Load().(peer.ObservedStatus)
	return status, ok
}

// UnreachableFor returns 0 if the named controller is reachable or unknown. If it is unreachable, UnreachableFor returns
// the time since its latest response or, if it has never responded, since the creation of its client.
func (p *Peers) UnreachableFor(node string) time.Duration {
	c := p.clients[node]
	if c == nil {
		return 0
	}
	lastContact, ok := c.lastContact.Load().(time.Time)
	if !ok {
		// The peer has never responded, possibly because of a network partition that began before this
		// process started.
		if d := time.Since(c.created); d > firstContactTimeout {
			return d
		}
		return 0
	}
	if d := time.Since(lastContact); d > unreachableAfter {
		return d
	}
	return 0
}

// KnownLeader returns the leader and the term from the latest statuses of the reachable peers. If these statuses name
// several leaders, it returns the leader with the highest term. If they name no leader, it returns "" and 0.
func (p *Peers) KnownLeader() (leader string, term uint64) {
	for name, c := range p.clients {
		if status, ok := c.status.Load().(peer.ObservedStatus); ok && status.Leader != "" && status.Term > term && p.UnreachableFor(name) == 0 {
			leader, term = status.Leader, status.Term
		}
	}
	return leader, term
}
