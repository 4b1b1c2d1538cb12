package leadership

import (
	"context"
	"errors"
	"time"

	"sagevale/internal/clock"
	"sagevale/internal/storage"
)

// The reasons why a term ends, as they are logged.
const (
	reasonStopped     = "stopped"
	reasonResigned    = "resigned"
	reasonExpired     = "lease expired"
	reasonLaterLeader = "a peer reports a leader of a later term"
	reasonNoContact   = "key-value store unreachable for too long"
)

// holdLeadership renews the leadership lease until the term ends. A term ends if ctx ends, if the lease
// has expired, if this leader resigns, or if a peer reports a leader of a later term. It also ends if the
// key-value store is unreachable for so long that this leader may no longer renew workers' leases: see
// Role.RenewWorkersUntil.
func (e *Election) holdLeadership(ctx context.Context, held heldLease) {
	e.publish(e.roleOf(&held))
	reason := reasonStopped
	for ctx.Err() == nil {
		if ended := e.renewOnce(ctx, &held); ended != "" {
			reason = ended
			break
		}
	}
	e.log.Info("leadership lost", "term", held.term, "reason", reason)
	e.publish(Role{})
}

func (e *Election) roleOf(held *heldLease) Role {
	return held.role(e.settings.NodeName, e.settings.Tuning.LeaderLease, e.settings.RenewalGrace())
}

// renewOnce waits until the next renewal is due and renews the lease, or handles a resignation. It returns
// why the term ends, or "" if it goes on.
func (e *Election) renewOnce(ctx context.Context, held *heldLease) (reason string) {
	select {
	case r := <-e.resignations:
		if r.Term != held.term {
			return "" // the resignation is from an earlier term
		}
		e.handleResignation(ctx, held, r)
		return reasonResigned
	case <-ctx.Done():
	case <-time.After(e.settings.Tuning.LeaderLease / RenewalsPerLease):
	}
	sent := time.Now()
	callCtx, cancel := context.WithTimeout(ctx, e.settings.StoreCallTimeout())
	err := e.store.Renew(callCtx, held.id)
	cancel()
	if err != nil {
		return e.handleFailedRenewal(ctx, held, err)
	}
	e.markContact()
	held.renewedAt = sent
	e.publish(e.roleOf(held))
	return ""
}

// handleResignation revokes the lease, so that another controller can lead at once.
func (e *Election) handleResignation(ctx context.Context, held *heldLease, r Resignation) {
	if r.StandDown {
		e.standDownUntil = time.Now().Add(standDownLeases * e.settings.Tuning.LeaderLease)
	}
	if err := e.revokeLease(ctx, held.id); err != nil {
		e.log.Debug("lease revocation failed", "error", err)
	}
}

// handleFailedRenewal returns why the term ends after a failed renewal, or "" if it may go on. During an
// outage of the key-value store the term goes on for as long as all peers confirm that no other
// controller can have led.
func (e *Election) handleFailedRenewal(ctx context.Context, held *heldLease, err error) (reason string) {
	if errors.Is(err, storage.ErrNotFound) {
		return reasonExpired
	}
	if _, later := e.peers.KnownLeader(); later > held.term {
		return reasonLaterLeader
	}
	validUntil := held.validUntil(e.settings.Tuning.LeaderLease)
	if askedAt := time.Now(); askedAt.After(validUntil) && e.PeersConfirmNoLeader(ctx, held.term, validUntil) {
		held.confirmedAt = askedAt
		e.publish(e.roleOf(held))
	}
	if time.Now().After(e.roleOf(held).RenewWorkersUntil) {
		return reasonNoContact
	}
	return ""
}

// PeersConfirmNoLeader reports whether all peers confirm that they can't have led since expiry. expiry is
// the earliest time at which this controller's lease may have expired. A peer's status confirms this if
// three conditions hold:
//
//   - The peer's process started before expiry. A process that started after expiry doesn't have the state
//     of the peer's earlier process, so its status says nothing about that process.
//   - The key-value store hasn't answered the peer since expiry.
//   - The peer reports no term above the given one.
func (e *Election) PeersConfirmNoLeader(ctx context.Context, term uint64, expiry time.Time) bool {
	ctx, cancel := context.WithTimeout(ctx, e.settings.StoreCallTimeout())
	defer cancel()
	confirmations := make(chan bool, len(e.settings.Peers))
	for _, p := range e.settings.Peers {
		go func() {
			status, err := e.peers.Ping(ctx, p.Name)
			since := clock.Scale(time.Since(expiry), clock.DriftBound)
			confirmations <- err == nil && status.Term <= term && status.Uptime > since && status.SinceStoreContact > since
		}()
	}
	for range e.settings.Peers {
		if !<-confirmations {
			return false
		}
	}
	return true
}
