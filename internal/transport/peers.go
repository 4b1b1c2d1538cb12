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
	// peerTimeout is the longest that another controller may take to respond.
	peerTimeout = time.Second
	// peerRetryDelay is the pause after a failed connection before the next attempt.
	peerRetryDelay = 250 * time.Millisecond
	// peerQueueLength is how many responses of a peer, or to a peer, are buffered. A sender that finds the
	// buffer full waits.
	peerQueueLength = 256
	// unreachableAfter is the time without a response after which a peer counts as unreachable, and
	// firstContactTimeout the same for one that has never responded.
	unreachableAfter    = 3 * peerTimeout / 2
	firstContactTimeout = peerTimeout / 2
)

// errPeerUnreachable is returned, wrapped, for every request that has no response.
var errPeerUnreachable = errors.New("peer out of reach")

// Peers sends requests to the other controllers. Its methods may be called from several goroutines.
type Peers struct {
	clients      map[string]*peerClient
	pingInterval time.Duration // all peers are pinged at the same moments, so that the process wakes once
}

var _ scheduler.PeerLink = (*Peers)(nil)

// PeerPacing bounds how often the connections to peers use the processor, and how much may queue for them.
type PeerPacing struct {
	BatchWindow  time.Duration // for how long requests that aren't urgent are gathered before they are sent
	PingInterval time.Duration // between two pings of a peer
	QueueLength  int           // requests that may wait for one peer
}

// NewPeers returns the clients of the other controllers. No request is sent before Run is called.
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

// triggerPings has all peers pinged at the same moments, until ctx ends.
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
			default: // the last ping is still to be sent
			}
		}
	}
}

// Forward sends a user request to the named controller and returns its response.
func (p *Peers) Forward(ctx context.Context, node string, req api.Request) (api.Response, error) {
	r, err := p.send(ctx, node, peerRequest{message: peerAsk{Req: wire.FromRequest(&req)}})
	return r.Answer.Response(), err
}

// ForwardHeartbeats sends workers' heartbeats to the named controller and returns its responses in the same
// order.
func (p *Peers) ForwardHeartbeats(ctx context.Context, node string, reports []*worker.Report) ([]worker.HeartbeatResponse, error) {
	r, err := p.send(ctx, node, peerRequest{message: peerAsk{Reports: wire.FromReports(reports)}})
	if err == nil && len(r.Beats) != len(reports) {
		err = fmt.Errorf("%w: it decides on no reports", errPeerUnreachable)
	}
	return wire.HeartbeatResponses(r.Beats), err
}

// Wake sends a wake request to the named controller and returns its response.
func (p *Peers) Wake(ctx context.Context, node string, req activation.WakeRequest) (activation.WakeResponse, error) {
	r, err := p.send(ctx, node, peerRequest{wake: &req})
	if err == nil && r.Wake == nil {
		err = fmt.Errorf("%w: it takes no demand", errPeerUnreachable)
	}
	if err != nil {
		return activation.WakeResponse{}, err
	}
	return *r.Wake, nil
}

// ReportUsage sends this controller's usage of models to the named controller and returns its response.
func (p *Peers) ReportUsage(ctx context.Context, node string, report activation.UsageReport) (activation.UsageResponse, error) {
	r, err := p.send(ctx, node, peerRequest{usage: &report})
	if err == nil && r.Usage == nil {
		err = fmt.Errorf("%w: it takes no usage", errPeerUnreachable)
	}
	if err != nil {
		return activation.UsageResponse{}, err
	}
	return *r.Usage, nil
}

// send queues a request for the named controller and waits for its response, for peerTimeout at most.
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
		return receivedResponse{}, fmt.Errorf("%w: too many requests wait for it", errPeerUnreachable)
	}
	select {
	case r := <-result:
		if r.err == nil && time.Since(start) > peerTimeout {
			// This process was paused: what the response says may be outdated.
			return receivedResponse{}, fmt.Errorf("%w: answered too late", errPeerUnreachable)
		}
		return r.response, r.err
	case <-ctx.Done():
		return receivedResponse{}, fmt.Errorf("%w: no answer", errPeerUnreachable)
	}
}

// Status returns the latest status of the named controller; ok is false if none was received.
func (p *Peers) Status(node string) (status peer.ObservedStatus, ok bool) {
	c := p.clients[node]
	if c == nil {
		return peer.ObservedStatus{}, false
	}
	status, ok = c.status.Load().(peer.ObservedStatus)
	return status, ok
}

// UnreachableFor returns for how long the named controller has been unreachable; 0 if it is reachable.
func (p *Peers) UnreachableFor(node string) time.Duration {
	c := p.clients[node]
	if c == nil {
		return 0
	}
	lastContact, ok := c.lastContact.Load().(time.Time)
	if !ok {
		// No contact ever, possibly because a network partition is older than this process.
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

// KnownLeader returns the leader of the highest term that a reachable peer's status names.
func (p *Peers) KnownLeader() (leader string, term uint64) {
	for name, c := range p.clients {
		if status, ok := c.status.Load().(peer.ObservedStatus); ok && status.Leader != "" && status.Term > term && p.UnreachableFor(name) == 0 {
			leader, term = status.Leader, status.Term
		}
	}
	return leader, term
}
