package scheduler

import (
	"context"

	"sagevale/internal/api"
	"sagevale/internal/peer"
)

// peerPinger is the election's view of the links to the other controllers.
type peerPinger struct{ PeerLink }

// Ping asks the named controller for its status.
func (p peerPinger) Ping(ctx context.Context, name string) (peer.Status, error) {
	response, err := p.Forward(ctx, name, api.Request{Op: api.OpPing})
	return response.Peer, err
}
