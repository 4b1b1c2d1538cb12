package config

import (
	"time"

	"sagevale/internal/clock"
)

const (
	// WorkerResponseTimeout is how long a worker waits for the answer to a heartbeat, by the protocol.
	WorkerResponseTimeout = 4 * time.Second
	// WorkerRetryPause is how long a worker waits before it tries the next controller, by the protocol.
	WorkerRetryPause = time.Second
	// MaxLaunchMachines is how many machines one launch request may ask for, by the protocol.
	MaxLaunchMachines = 50
)

const (
	// callShare of the leadership lease is the longest that one call to the key-value store may take.
	callShare = 0.4
	// renewalMargin is what RenewalGrace leaves of cancel_s - lease_s, in heartbeat intervals, beside
	// the drift of the clocks: a worker takes a moment to end its tasks.
	renewalMargin = 1.0 / 8
	// leaseMarginDivisor gives what LeaseBound adds to a worker's lease: that part of a heartbeat
	// interval.
	leaseMarginDivisor = 10
	// FreshIntervals is for how many heartbeat intervals a machine's last report counts.
	FreshIntervals = 3
)

// CallTimeout is the longest that one call of the leadership to the key-value store may take.
func (s *Settings) CallTimeout() time.Duration { return clock.Scale(s.Tuning.LeaderLease, callShare) }

// RenewalGrace is how long after the expiry of its own lease a leader may still renew the leases of
// workers. A successor may acknowledge a cancellation the moment that lease ends, and the tasks
// must be gone within the cancel timeout, even where the workers hear only the old leader.
func (s *Settings) RenewalGrace() time.Duration {
	drift := clock.Scale(s.CancelTimeout, clock.DriftBound-1)
	margin := clock.Scale(s.HeartbeatInterval, renewalMargin)
	return max(0, s.CancelTimeout-s.WorkerLease-drift-margin)
}

// LeaseBound is how long after an answered heartbeat the tasks of a silent worker may still run.
func (s *Settings) LeaseBound() time.Duration {
	return clock.Scale(s.WorkerLease, clock.DriftBound) + s.HeartbeatInterval/leaseMarginDivisor
}

// UnconfirmedLeaseBound is the same for a worker that has not reported in this term, counted from
// the failover: an earlier leader may have renewed its lease until the end of its renewal grace.
func (s *Settings) UnconfirmedLeaseBound() time.Duration {
	return clock.Scale(s.RenewalGrace(), clock.DriftBound) + s.LeaseBound()
}

// ReportFreshness is for how long a machine's last report counts.
func (s *Settings) ReportFreshness() time.Duration { return FreshIntervals * s.HeartbeatInterval }

const (
	// minBatchWindow and maxBatchWindow bound the time that reports gather for the leader, in
	// heartbeat intervals.
	minBatchWindow = 1.0 / 128
	maxBatchWindow = 1.0 / 16
	// ampleCPUShare is the share of a core that affords the shortest window. Each batch wakes two
	// processes, so the window widens as the share falls.
	ampleCPUShare = 0.25
)

// BatchWindow is how long a follower gathers reports, and polls, for the leader.
func (s *Settings) BatchWindow() time.Duration {
	window := minBatchWindow
	if s.CPUShare > 0 {
		window *= max(1, ampleCPUShare/s.CPUShare)
	}
	ofInterval := clock.Scale(s.HeartbeatInterval, min(window, maxBatchWindow))
	return min(ofInterval, clock.Scale(WorkerResponseTimeout, maxBatchWindow))
}

const (
	// minLinkTestInterval is how often the links between controllers are tested with an ample share
	// of a core, maxLinkTestInterval with little.
	minLinkTestInterval = 250 * time.Millisecond
	maxLinkTestInterval = 2 * minLinkTestInterval
)

// LinkTestInterval is how often the links between controllers are tested.
func (s *Settings) LinkTestInterval() time.Duration {
	if s.CPUShare <= 0 {
		return minLinkTestInterval
	}
	return min(maxLinkTestInterval, clock.Scale(minLinkTestInterval, max(1, ampleCPUShare/s.CPUShare)))
}

const (
	// minQueueSize is the least that the queues of a controller's actors hold.
	minQueueSize = 2048
	// announcementSocketShare of the sockets may be taken by announcing a fencing token.
	announcementSocketShare = 1.0 / 16
	// CommitPerHeartbeat is how long one commit may take at the journal's pace, in heartbeat
	// intervals: what waits behind it waits as long.
	CommitPerHeartbeat = 0.07
)

// QueueSize is how many requests the queues of a controller's actors hold. Every accepted connection
// brings one request at a time, and so does every exchange with a worker or a peer, each of which
// has a socket: a queue of as many can't overflow by them.
func (s *Settings) QueueSize() int { return max(minQueueSize, s.Sockets) }

// MaxTokenAnnouncements is how many workers may be told the fencing token at a time.
func (s *Settings) MaxTokenAnnouncements() int {
	return max(1, int(float64(s.Sockets)*announcementSocketShare))
}

// CommitBytes is how many bytes of records one commit holds.
func (s *Settings) CommitBytes() int {
	return s.State.BytesWithin(clock.Scale(s.HeartbeatInterval, CommitPerHeartbeat))
}

const (
	// taskBytes is what a waiting task may cost in memory, with its share of records.
	taskBytes = 256
	// taskMemoryShare of the memory quota may go to waiting tasks.
	taskMemoryShare = 0.5
)

// MaxOpenTasks is how many tasks of unfinished jobs are accepted.
func (s *Settings) MaxOpenTasks() int {
	return int(s.memoryBytes() * taskMemoryShare / taskBytes)
}

// memoryBytes is the memory quota.
func (s *Settings) memoryBytes() float64 { return s.MemoryMB * (1 << 20) }
