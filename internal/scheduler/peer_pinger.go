package scheduler

import (
	"context"

	"sagevale/internal/api"
	"sagevale/internal/peer"
)

// peerPinger implements leadership.Peers with a PeerLink.
type peerPinger struct{ PeerLink }

// Ping requests the status of the named controller.
func (p peerPinger) Ping(ctx context.Context, name string) (peer.Status, error) {
	response, err := p.Forward(ctx, name, api.Request{Op: api.OpPing})
	return response.Peer, err
}
