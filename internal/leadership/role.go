package leadership

import (
	"time"

	"sagevale/internal/clock"
	"sagevale/internal/storage"
)

// Role is a controller's view of the leadership. The zero Role means that no leader is known.
type Role struct {
	Leading bool
	Leader  string // name of the leader, if known
	Term    uint64
	// Guard must be among the guards of every transaction of this leader, so that the transactions of a
	// deposed leader fail.
	Guard storage.Guard
	// LeaseValidUntil is the earliest time at which this leader's own lease may expire, given the drift
	// of the clocks.
	LeaseValidUntil time.Time
	// RenewWorkersUntil is the time until which this leader may renew workers' leases. It is a grace period,
	// config.Settings.RenewalGrace, after LeaseValidUntil or after the time at which all peers were last
	// asked and confirmed that they can't have led meanwhile, whichever is later: see
	// Election.PeersConfirmNoLeader.
	RenewWorkersUntil time.Time
	// Cluster is the cluster record whose version guarded the transaction that acquired leadership.
	Cluster ClusterRecord
}

// Resignation is a request to end a term.
type Resignation struct {
	Term      uint64
	StandDown bool // wait before competing again, so that another controller leads next
}

// heldLease is the leadership lease that this controller holds.
type heldLease struct {
	id        uint64
	term      uint64
	guard     storage.Guard
	cluster   ClusterRecord
	renewedAt time.Time // when the last successful renewal was sent; before the first renewal: when the grant was sent
	// confirmedAt is when this controller sent the latest request that all peers answered with a
	// confirmation. A peer confirms that it can't have led since the earliest time at which this lease may
	// have expired: see PeersConfirmNoLeader. If confirmedAt is zero, no request was confirmed by all peers.
	confirmedAt time.Time
}

// validUntil returns the earliest time at which the lease may expire, given the drift of the clocks.
func (h *heldLease) validUntil(timeToLive time.Duration) time.Time {
	return h.renewedAt.Add(clock.Scale(timeToLive, 1/clock.DriftBound))
}

// role returns the role of the controller that holds the lease.
func (h *heldLease) role(node string, timeToLive, renewalGrace time.Duration) Role {
	validUntil := h.validUntil(timeToLive)
	noLeaderBefore := validUntil
	if h.confirmedAt.After(noLeaderBefore) {
		noLeaderBefore = h.confirmedAt
	}
	return Role{
		Leading:           true,
		Leader:            node,
		Term:              h.term,
		Guard:             h.guard,
		LeaseValidUntil:   validUntil,
		RenewWorkersUntil: noLeaderBefore.Add(renewalGrace),
		Cluster:           h.cluster,
	}
}
