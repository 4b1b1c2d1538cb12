package config

import (
	"time"

	"sagevale/internal/clock"
)

const (
	// WorkerResponseTimeout is how long a worker waits for the response to a heartbeat, by the protocol.
	WorkerResponseTimeout = 4 * time.Second
	// WorkerRetryPause is how long a worker waits before it tries the next controller, by the protocol.
	WorkerRetryPause = time.Second
	// MaxLaunchMachines is the protocol's limit on the number of machines in one launch request.
	MaxLaunchMachines = 50
)

const (
	// storeCallShare is the timeout of one call to the key-value store, as a share of the leadership lease.
	storeCallShare = 0.4
	// renewalMargin is the time that RenewalGrace leaves to a worker for ending its tasks, in heartbeat
	// intervals. RenewalGrace is CancelTimeout minus WorkerLease, reduced by this margin and by the clock drift.
	renewalMargin = 1.0 / 8
	// leaseMarginDivisor determines the margin that LeaseBound adds to a worker's lease. The margin is the
	// heartbeat interval divided by leaseMarginDivisor.
	leaseMarginDivisor = 10
	// FreshIntervals is the number of heartbeat intervals for which a machine's last report counts as fresh.
	FreshIntervals = 3
)

// StoreCallTimeout returns the timeout of one call to the key-value store by the leadership, the registration of
// nodes, the upgrade gates and the archive.
func (s *Settings) StoreCallTimeout() time.Duration {
	return clock.Scale(s.Tuning.LeaderLease, storeCallShare)
}

// RenewalGrace returns how long after the expiry of its own lease a leader may still renew the leases of
// workers. A successor may acknowledge a cancellation as soon as the old leader's lease has expired. The
// tasks must then be gone within the cancel timeout, even if their workers reach only the old leader.
func (s *Settings) RenewalGrace() time.Duration {
	drift := clock.Scale(s.CancelTimeout, clock.DriftBound-1)
	margin := clock.Scale(s.HeartbeatInterval, renewalMargin)
	return max(0, s.CancelTimeout-s.WorkerLease-drift-margin)
}

// LeaseBound returns how long the tasks of a silent worker may still run after its last acknowledged heartbeat.
func (s *Settings) LeaseBound() time.Duration {
	return clock.Scale(s.WorkerLease, clock.DriftBound) + s.HeartbeatInterval/leaseMarginDivisor
}

// UnconfirmedLeaseBound returns how long after a failover the tasks of a worker that hasn't reported in the new term may
// still run. Until its RenewalGrace ended, the earlier leader may have renewed the worker's lease.
func (s *Settings) UnconfirmedLeaseBound() time.Duration {
	return clock.Scale(s.RenewalGrace(), clock.DriftBound) + s.LeaseBound()
}

// ReportFreshness returns how long a machine's last report counts as fresh.
func (s *Settings) ReportFreshness() time.Duration { return FreshIntervals * s.HeartbeatInterval }

const (
	// minBatchWindow and maxBatchWindow bound the time for which a follower batches reports for the
	// leader, in heartbeat intervals.
	minBatchWindow = 1.0 / 128
	maxBatchWindow = 1.0 / 16
	// ampleCPUShare is the CPU quota, as a share of one core, that is enough for minBatchWindow. With a smaller
	// quota the window is longer, because each batch wakes two processes.
	ampleCPUShare = 0.25
)

// BatchWindow returns how long a follower batches reports and polls before it sends them to the leader.
func (s *Settings) BatchWindow() time.Duration {
	window := minBatchWindow
	if s.CPUShare > 0 {
		window *= max(1, ampleCPUShare/s.CPUShare)
	}
	ofInterval := clock.Scale(s.HeartbeatInterval, min(window, maxBatchWindow))
	return min(ofInterval, clock.Scale(WorkerResponseTimeout, maxBatchWindow))
}

const (
	// minLinkTestInterval is the interval between two tests of a link between controllers if the CPU quota of the
	// controller is at least ampleCPUShare. With a smaller quota the interval is longer, up to maxLinkTestInterval.
	minLinkTestInterval = 250 * time.Millisecond
	maxLinkTestInterval = 2 * minLinkTestInterval
)

// LinkTestInterval returns the interval between tests of a link between controllers.
func (s *Settings) LinkTestInterval() time.Duration {
	if s.CPUShare <= 0 {
		return minLinkTestInterval
	}
	return min(maxLinkTestInterval, clock.Scale(minLinkTestInterval, max(1, ampleCPUShare/s.CPUShare)))
}

const (
	// minQueueSize is the least capacity of the queues of a controller's actors, in requests.
	minQueueSize = 2048
	// announcementSocketShare is the share of the sockets for announcements of a fencing token.
	announcementSocketShare = 1.0 / 16
	// CommitPerHeartbeat is how long one commit may take at the journal's rate of changes, in heartbeat
	// intervals. Records for the next commit have to wait for that long.
	CommitPerHeartbeat = 0.07
)

// QueueSize returns how many requests each queue of a controller's actors holds. Every accepted connection, and
// every exchange with a worker or a peer, takes one socket and has at most one request in a queue. A queue with
// a place for each socket therefore has room for all of these requests.
func (s *Settings) QueueSize() int { return max(minQueueSize, s.Sockets) }

// MaxTokenAnnouncements returns the maximum number of workers to which the fencing token is announced at the same time.
func (s *Settings) MaxTokenAnnouncements() int {
	return max(1, int(float64(s.Sockets)*announcementSocketShare))
}

// CommitBytes returns the size limit of one commit, in bytes of records.
func (s *Settings) CommitBytes() int {
	return s.State.BytesWithin(clock.Scale(s.HeartbeatInterval, CommitPerHeartbeat))
}

const (
	// waitingTaskBytes is the memory that a waiting task may take, including its share of records.
	waitingTaskBytes = 256
	// taskMemoryShare is the share of the memory quota for waiting tasks.
	taskMemoryShare = 0.5
)

// MaxOpenTasks returns how many tasks of unfinished jobs are accepted.
func (s *Settings) MaxOpenTasks() int {
	return int(s.memoryBytes() * taskMemoryShare / waitingTaskBytes)
}

// memoryBytes returns the memory quota in bytes.
func (s *Settings) memoryBytes() float64 { return s.MemoryMB * (1 << 20) }
