// Package scheduler places the tasks of jobs on the machines of the fleet. The scheduler type is the actor that owns the
// cluster state during one term of leadership: it answers users and workers, places tasks, and commits each decision
// before the decision takes effect. The Node type is one controller, which is either the leader or a follower. A
// follower forwards the requests that only the leader may answer.
package scheduler

import (
	"context"
	"errors"
	"log/slog"
	"math/rand/v2"
	"slices"
	"sync/atomic"
	"time"

	"sagevale/internal/admission"
	"sagevale/internal/api"
	"sagevale/internal/archive"
	"sagevale/internal/autoscaling"
	"sagevale/internal/clock"
	"sagevale/internal/cluster"
	"sagevale/internal/config"
	"sagevale/internal/fencing"
	"sagevale/internal/groupcommit"
	"sagevale/internal/leadership"
	"sagevale/internal/placement"
	"sagevale/internal/storage"
	"sagevale/internal/upgrade"
	"sagevale/internal/worker"
)

const (
	// tickPerHeartbeat is the interval of the scheduler's periodic work, in heartbeat intervals.
	tickPerHeartbeat = 0.15
	// snapshotPerHeartbeat is the minimum pause between two snapshots of the fleet for the autoscaler, in heartbeat intervals.
	snapshotPerHeartbeat = 0.25
	// snapshotPauseFactor is another minimum pause between two fleet snapshots, as a multiple of the duration of the tick
	// that made the last snapshot. The longer of the two pauses applies.
	snapshotPauseFactor = 10
	// commitStallPerHeartbeat is the duration after which a commit counts as stalled, in heartbeat intervals. Users who wait
	// for a stalled commit get a response that asks them to retry.
	commitStallPerHeartbeat = 0.35
	// attemptNumbersPerToken is the number of attempt numbers that a term has for each of its fencing tokens. The first
	// attempt number of a term is the term's number (also its first token) times attemptNumbersPerToken, plus 1.
	attemptNumbersPerToken = 1 << 24
)

// scheduler is the actor that owns the cluster state during one term of leadership. Only its own goroutine may access the
// fields, unless a field's comment says otherwise. Other goroutines send it messages.
type scheduler struct {
	settings *config.Settings
	deps     Dependencies
	log      *slog.Logger

	mailbox    chan message
	closed     chan struct{}                                            // closed when the term has ended
	background func(timeout time.Duration, f func(ctx context.Context)) // runs calls to other systems, see backgroundCalls

	state      *cluster.State
	planner    *placement.Planner
	reviewer   *autoscaling.Reviewer
	autoscaler *autoscaling.Autoscaler
	activation *activationController

	termState
	gateState
	commitState
	archiveState
	fleetState
	commandState
	delegationState
	pacing
}

// termState holds the term of leadership and this controller's role in it.
type termState struct {
	term            uint64
	tokens          fencing.Tokens // the fencing tokens of this term
	termStarted     time.Time
	lastAttempt     uint64 // the attempt number that was assigned last
	role            leadership.Role
	resign          func(leadership.Resignation)
	resigned        bool
	leaseValidUntil atomic.Pointer[time.Time] // copy of role.LeaseValidUntil; any goroutine may read it
}

// gateState holds the feature gates in force.
type gateState struct {
	gates          upgrade.Record
	requestGateUse func(upgrade.GateName) // requests that a gate be marked as used
	gateWaiters    []gateWaiter           // submissions that wait until a gate is durably marked as used
}

// commitState holds the records to be committed and the users who wait for commits.
type commitState struct {
	journal          *storage.Journal
	queue            *groupcommit.Queue
	bulkPacer        *groupcommit.BulkPacer
	admission        *admission.Limiter
	commitStarted    time.Time // start of the commit in flight; zero: no commit is in flight
	acceptedInCommit int       // number of accepted jobs in the commit that has just ended
	waiters          []*waiter
}

// archiveState holds this term's state of the job archive.
type archiveState struct {
	archive         *archive.Archiver
	archiveInUse    bool // the archive may contain jobs
	archiveCompared bool // the open jobs have been compared with the archive in this term
	archiving       bool // a batch of finished jobs is being archived
}

// fleetState holds the state of the fleet that isn't part of the machine table.
type fleetState struct {
	openLaunches    map[string]storage.LaunchRecord // launch requests of earlier terms for which no response is recorded
	desired         int                             // the recorded desired size of the fleet, in machines
	machinesListed  bool                            // the cloud's machine list has been read in this term
	terminated      map[int]bool                    // machines whose termination the cloud has confirmed
	drainsRequested int                             // number of drains of surplus machines that the autoscaler has requested
}

// commandState holds the state of the direct commands to workers.
type commandState struct {
	machinesAwaitingToken []*cluster.Machine   // machines known at the failover that must still be sent this term's token
	announcements         int                  // number of token announcements in flight
	unreachableMachines   map[int]bool         // machines that direct commands don't reach; cleared when a command reaches any machine
	sinceHeartbeat        func() time.Duration // returns the time since this controller last received a heartbeat
}

// delegationState holds the delegation of lease renewals to peers.
type delegationState struct {
	delegator    *delegator
	peerRenewals []peerRenewals
}

// pacing holds the state that determines when the scheduler next does expensive work.
type pacing struct {
	placementDue         bool // the state has changed in a way that may allow tasks to be placed
	placementPausedUntil time.Time
	nextSnapshot         time.Time // when the next fleet snapshot is due
}

// newScheduler returns the scheduler of a new term, with the cluster state that it rebuilds from the journal. It returns
// an error if a record can't be decoded.
func newScheduler(
	settings *config.Settings, deps Dependencies, role leadership.Role, journal *storage.Journal,
	resign func(leadership.Resignation), log *slog.Logger,
) (*scheduler, error) {
	random := rand.New(rand.NewPCG(deps.Rand.Uint64(), role.Term))
	tokens := fencing.TermTokens(role.Term)
	s := &scheduler{
		settings: settings,
		deps:     deps,
		log:      log,
		mailbox:  make(chan message, settings.QueueSize()),
		closed:   make(chan struct{}),
		state:    cluster.NewState(tokens),
		termState: termState{
			term: role.Term, tokens: tokens, termStarted: time.Now(),
			lastAttempt: role.Term * attemptNumbersPerToken, resign: resign,
		},
		gateState: gateState{gates: role.Cluster.Record, requestGateUse: func(upgrade.GateName) {}},
		commitState: commitState{
			journal: journal, queue: groupcommit.New(),
			bulkPacer: groupcommit.NewBulkPacer(clock.Scale(settings.HeartbeatInterval, config.CommitPerHeartbeat)),
			admission: newAdmission(settings),
		},
		fleetState: fleetState{terminated: make(map[int]bool)},
		commandState: commandState{
			unreachableMachines: make(map[int]bool),
			sinceHeartbeat:      func() time.Duration { return 0 },
		},
		delegationState: delegationState{delegator: newDelegator(settings)},
		pacing:          pacing{placementDue: true},
	}
	s.background, _ = backgroundCalls(context.Background())
	s.planner = placement.New(settings, s.state, s, random, log)
	s.reviewer = autoscaling.NewReviewer(settings, s.state, s.planner, log)
	s.setRole(role)
	s.activation = newActivationController(settings, s.gates.Gate(upgrade.Activation), s, log)
	s.updateArchiveInUse()
	return s, s.loadRecords(journal.Records())
}

// HandleUserRequest returns the response to a user's request. It may be called from any goroutine. If too many requests
// are waiting it returns at once, with a response that asks the user to retry.
func (s *scheduler) HandleUserRequest(ctx context.Context, req api.Request) api.Response {
	requestedAt := time.Now()
	busy := api.Response{Code: api.CodeBusy, ID: req.ID, Reason: errMailboxFull.Error(), RetrySeconds: busyRetrySeconds()}
	if !s.acceptsRequest(req.Op) {
		return busy
	}
	reply := make(chan api.Response, 1)
	response, err := call(ctx, s, userMessage{req: req, reply: reply}, reply)
	switch {
	case errors.Is(err, errMailboxFull):
		return busy
	case err != nil:
		return api.Unavailable(req.ID, err.Error())
	}
	return s.withValidity(response, requestedAt)
}

// withValidity limits how long a response may be forwarded to the user, counted from requestedAt. A response with a final
// job state has no such limit, because it can't become outdated. If the leadership lease may have expired, withValidity
// returns a response that asks the user to retry. The lease can expire because the process was paused after the scheduler
// had responded.
func (s *scheduler) withValidity(response api.Response, requestedAt time.Time) api.Response {
	if response.Final() || !response.HasResult() {
		return response
	}
	validUntil := s.leaseValidUntil.Load()
	if validUntil == nil || !time.Now().Before(*validUntil) {
		return api.Unavailable(response.ID, "leadership not certain")
	}
	response.ValidFor = validUntil.Sub(requestedAt)
	return response
}

// setRole updates this controller's role.
func (s *scheduler) setRole(r leadership.Role) {
	s.role = r
	s.leaseValidUntil.Store(&r.LeaseValidUntil)
}

// HandleHeartbeats returns the responses to workers' heartbeats, or nil if the scheduler didn't handle them. It may be
// called from any goroutine.
func (s *scheduler) HandleHeartbeats(ctx context.Context, reports []*worker.Report) []worker.HeartbeatResponse {
	reply := make(chan []worker.HeartbeatResponse, 1)
	responses, err := call(ctx, s, heartbeatsMessage{reports, reply}, reply)
	if err != nil {
		return nil
	}
	return responses
}

// run is the scheduler's main loop, which runs until ctx ends. Each iteration handles all messages that are waiting, does
// at most one round of placement for all of them, and commits the resulting changes as a group. Under higher load, each
// iteration therefore handles more messages, while the number of placement rounds and commits doesn't grow.
func (s *scheduler) run(ctx context.Context) error {
	s.machinesAwaitingToken = slices.Clone(s.state.Machines.InOrder())
	s.announceTokens()
	s.activation.resume(time.Now())
	tick := time.NewTicker(clock.Scale(s.settings.HeartbeatInterval, tickPerHeartbeat))
	defer tick.Stop()
	placementTimer := time.NewTimer(0) // fires when placement is no longer paused
	defer placementTimer.Stop()
	bulkTimer := time.NewTimer(0) // fires when the bulk lane may be written again
	defer bulkTimer.Stop()
	for {
		select {
		case <-ctx.Done():
			s.failWaiters(api.Unavailable("", "leader is stepping down"))
			return ctx.Err()
		case m := <-s.mailbox:
			m.handle(s)
			for n := len(s.mailbox); n > 0; n-- {
				(<-s.mailbox).handle(s)
			}
		case <-tick.C:
			s.tick()
		case <-placementTimer.C:
		case <-bulkTimer.C:
		}
		s.publishDelegation(time.Now())
		if s.placementDue {
			s.placeIfDue(placementTimer)
		}
		s.flush(ctx)
		if retryAfter, throttled := s.bulkThrottled(time.Now()); throttled {
			bulkTimer.Reset(retryAfter)
		}
	}
}

// placeIfDue runs a round of placement. While placement is paused after an earlier round it only sets the timer to the
// end of the pause.
func (s *scheduler) placeIfDue(timer *time.Timer) {
	now := time.Now()
	if now.Before(s.placementPausedUntil) {
		timer.Reset(s.placementPausedUntil.Sub(now))
		return
	}
	s.placeRound(now)
	end := time.Now()
	s.placementPausedUntil = end.Add(placementPauseFactor * end.Sub(now))
	if s.placementDue {
		timer.Reset(s.placementPausedUntil.Sub(end))
	}
}

// leaseValid reports whether this controller's leadership lease is certainly valid now.
func (s *scheduler) leaseValid(now time.Time) bool { return now.Before(s.role.LeaseValidUntil) }

// snapshotFleet returns a snapshot of the fleet for the autoscaler.
func (s *scheduler) snapshotFleet(now time.Time) autoscaling.Snapshot {
	return s.reviewer.Snapshot(now, autoscaling.Conditions{
		LeaseValid: s.leaseValid(now), MachinesListed: s.machinesListed, DrainsRequested: s.drainsRequested,
	})
}

// tick does the scheduler's periodic work, such as timeouts, archiving, lease expiry and fleet snapshots.
func (s *scheduler) tick() {
	now := time.Now()
	if s.commitStalled(now) || !s.leaseValid(now) {
		s.failWaiters(api.Unavailable("", "state service slow or out of reach"))
	}
	s.failGateWaiters(now)
	s.finalizeArchivedJobs()
	s.archiveFinished(now)
	s.updatePeerRenewals()
	s.expireLeases(now)
	s.replaceStalledGangTasks(now)
	s.activation.tick(now)
	s.resignIfFencesFull(now)
	s.placementDue = true
	if !now.Before(s.nextSnapshot) {
		snapshot := s.snapshotFleet(now)
		s.terminateMachines(slices.Concat(snapshot.Emptied, snapshot.Lost, s.lostSinceFailover(now)))
		s.autoscaler.HandleSnapshot(snapshot)
		s.nextSnapshot = now.Add(max(clock.Scale(s.settings.HeartbeatInterval, snapshotPerHeartbeat), snapshotPauseFactor*time.Since(now)))
	}
}
