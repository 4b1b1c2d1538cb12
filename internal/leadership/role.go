package leadership

import (
	"time"

	"sagevale/internal/clock"
	"sagevale/internal/storage"
)

// Role is what a controller knows of who leads. The zero Role knows of no leader.
type Role struct {
	Leading bool
	Leader  string // name of the leader, if known
	Term    uint64
	// Guard must stand among the conditions of every transaction of this leader: a deposed leader's
	// transactions fail by it.
	Guard storage.Guard
	// LeaseValidUntil is when this controller's own lease may first expire, on a clock that drifts.
	LeaseValidUntil time.Time
	// RenewUntil is until when this leader may renew workers' leases.
	RenewUntil time.Time
	// Cluster is the cluster record that the failover was guarded by.
	Cluster ClusterRecord
}

// Resignation ends a term. With StandDown another controller is to lead next.
type Resignation struct {
	Term      uint64
	StandDown bool
}

// heldLease is the leadership lease that this controller holds.
type heldLease struct {
	id        uint64
	term      uint64
	guard     storage.Guard
	cluster   ClusterRecord
	renewedAt time.Time // when the last renewal that was answered had been sent
	// confirmedAt is when all peers last confirmed that nobody can have led since the lease may have
	// expired; zero: never.
	confirmedAt time.Time
}

// validUntil is when the lease may first expire.
func (h *heldLease) validUntil(timeToLive time.Duration) time.Time {
	return h.renewedAt.Add(clock.Scale(timeToLive, 1/clock.DriftBound))
}

// role is the role of the lease's holder.
func (h *heldLease) role(node string, timeToLive, renewalGrace time.Duration) Role {
	validUntil := h.validUntil(timeToLive)
	noLeaderBefore := validUntil
	if h.confirmedAt.After(noLeaderBefore) {
		noLeaderBefore = h.confirmedAt
	}
	return Role{
		Leading:         true,
		Leader:          node,
		Term:            h.term,
		Guard:           h.guard,
		LeaseValidUntil: validUntil,
		RenewUntil:      noLeaderBefore.Add(renewalGrace),
		Cluster:         h.cluster,
	}
}
