// Package scheduler decides what runs where. Its scheduler is the actor that owns the cluster state during a term of
// leadership: it answers users and workers, places tasks, and has decisions written before they take effect. Its Node
// is one controller: it follows or leads, and passes on what only the leader may answer.
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
	// tickPerHeartbeat is the scheduler's tick, in heartbeat intervals.
	tickPerHeartbeat = 0.15
	// snapshotPerHeartbeat is the pause between two reviews of the fleet, in heartbeat intervals.
	snapshotPerHeartbeat = 0.25
	// snapshotPause is the least pause between two reviews of the fleet, in durations of one.
	snapshotPause = 10
	// stallPerHeartbeat is how long a commit may take, in heartbeat intervals, before users who wait for it are told
	// to retry.
	stallPerHeartbeat = 0.35
	// attemptStride is how many attempts are numbered by each token of a term.
	attemptStride = 1 << 24
)

// scheduler is the actor that owns the cluster state during one term of leadership. All its fields are its own,
// but for those that say otherwise; others send it messages.
type scheduler struct {
	settings *config.Settings
	deps     Dependencies
	log      *slog.Logger

	mailbox    chan message
	closed     chan struct{}                                          // closed after the term
	background func(limit time.Duration, f func(ctx context.Context)) // runs calls to others, see backgroundCalls

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

// termState is the term and this controller's role in it.
type termState struct {
	term            uint64
	tokens          fencing.Tokens // under which workers are commanded in this term
	termStarted     time.Time
	lastAttempt     uint64 // the highest attempt number that is in use
	role            leadership.Role
	resign          func(leadership.Resignation)
	resigned        bool
	leaseValidUntil atomic.Pointer[time.Time] // of the role; read by any goroutine that passes responses on
}

// gateState is which feature gates are in force.
type gateState struct {
	gates          upgrade.Record
	requestGateUse func(upgrade.GateName) // asks for a gate to be marked as used
	gateWaiters    []gateWaiter           // submissions that wait for it
}

// commitState is what is to be committed, and who waits for it.
type commitState struct {
	journal          *storage.Journal
	queue            *groupcommit.Queue
	bulkPacer        *groupcommit.BulkPacer
	admission        *admission.Limiter
	commitStarted    time.Time // of the commit in flight; zero: none is
	acceptedInCommit int       // submissions that it commits
	waiters          []*waiter
}

// archiveState is this term's view of the archive.
type archiveState struct {
	archive         *archive.Archiver
	archiveInUse    bool // jobs may be archived
	archiveCompared bool // the open jobs have been compared with it
	archiving       bool // a batch of finished jobs is being archived
}

// fleetState is what is known of the fleet beside its machines.
type fleetState struct {
	openLaunches    map[string]storage.LaunchRecord // launch requests of earlier terms without an answer
	desired         int                             // the desired size that is recorded
	machinesListed  bool                            // the cloud's machine list has been read in this term
	terminated      map[int]bool                    // machines whose termination the cloud has confirmed
	drainsRequested int
}

// commandState is what is in flight to the workers.
type commandState struct {
	tokenPending    []*cluster.Machine   // known at the failover, to be sent this term's fencing token
	announcements   int                  // token announcements in flight
	commandsFailing map[int]bool         // machines that send heartbeats but execute no direct commands, since one last did
	sinceHeartbeat  func() time.Duration // since this controller last received a heartbeat
}

// delegationState is the renewal of workers' leases by peers.
type delegationState struct {
	delegator    *delegator
	peerRenewals []peerRenewals
}

// pacing limits how often the scheduler does expensive work.
type pacing struct {
	placementDue         bool // something has changed that may let a task be placed
	placementPausedUntil time.Time
	nextSnapshot         time.Time // of the fleet
}

// newScheduler rebuilds the cluster state from the journal at the start of a term. It fails if a record can't be
// decoded.
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
			lastAttempt: role.Term * attemptStride, resign: resign,
		},
		gateState: gateState{gates: role.Cluster.Record, requestGateUse: func(upgrade.GateName) {}},
		commitState: commitState{
			journal: journal, queue: groupcommit.New(),
			bulkPacer: groupcommit.NewBulkPacer(clock.Scale(settings.HeartbeatInterval, config.CommitPerHeartbeat)),
			admission: newAdmission(settings),
		},
		fleetState: fleetState{terminated: make(map[int]bool)},
		commandState: commandState{
			commandsFailing: make(map[int]bool),
			sinceHeartbeat:  func() time.Duration { return 0 },
		},
		delegationState: delegationState{delegator: newDelegator(settings)},
		pacing:          pacing{placementDue: true},
	}
	s.background, _ = backgroundCalls(context.Background())
	s.planner = placement.New(settings, s.state, s, random, log)
	s.reviewer = autoscaling.NewReviewer(settings, s.state, s.planner, log)
	s.setRole(role)
	s.activation = newActivationController(settings, s.gates.Gate(upgrade.Activation), s, log)
	s.useArchive()
	return s, s.load(journal.Records())
}

// HandleUserRequest answers a user's request. It may be called from any goroutine. If too many requests wait it responds
// at once that the user has to retry.
func (s *scheduler) HandleUserRequest(ctx context.Context, req api.Request) api.Response {
	asked := time.Now()
	busy := api.Response{Code: api.CodeBusy, ID: req.ID, Reason: errMailboxFull.Error(), RetrySeconds: busyRetrySeconds()}
	if !s.acceptsRequest(req.Op) {
		return busy
	}
	reply := make(chan api.Response, 1)
	a, err := call(ctx, s, userMessage{req: req, reply: reply}, reply)
	switch {
	case errors.Is(err, errMailboxFull):
		return busy
	case err != nil:
		return api.Unavailable(req.ID, err.Error())
	}
	return s.withValidity(a, asked)
}

// withValidity limits for how long a response that isn't final may be passed on. This process may have been paused since
// it was decided.
func (s *scheduler) withValidity(a api.Response, asked time.Time) api.Response {
	if a.Final() || !a.Decided() {
		return a
	}
	certain := s.leaseValidUntil.Load()
	if certain == nil || !time.Now().Before(*certain) {
		return api.Unavailable(a.ID, "leadership not certain")
	}
	a.ValidFor = certain.Sub(asked)
	return a
}

// setRole updates this controller's role.
func (s *scheduler) setRole(r leadership.Role) {
	s.role = r
	s.leaseValidUntil.Store(&r.LeaseValidUntil)
}

// HandleHeartbeats answers workers' heartbeats. It may be called from any goroutine, and returns nil if nothing was
// decided.
func (s *scheduler) HandleHeartbeats(ctx context.Context, reports []*worker.Report) []worker.HeartbeatResponse {
	reply := make(chan []worker.HeartbeatResponse, 1)
	responses, err := call(ctx, s, heartbeatsMessage{reports, reply}, reply)
	if err != nil {
		return nil
	}
	return responses
}

// run works in rounds until ctx ends: it handles all messages that have arrived, decides once for all of them, and
// commits the results as a group. Under load the rounds get larger, not more.
func (s *scheduler) run(ctx context.Context) error {
	s.tokenPending = slices.Clone(s.state.Machines.InOrder())
	s.announceTokens()
	s.activation.resume(time.Now())
	tick := time.NewTicker(clock.Scale(s.settings.HeartbeatInterval, tickPerHeartbeat))
	defer tick.Stop()
	placementTimer := time.NewTimer(0) // ends the pause of placement
	defer placementTimer.Stop()
	bulk := time.NewTimer(0) // ends the throttling of the bulk lane
	defer bulk.Stop()
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
		case <-bulk.C:
		}
		s.publishDelegation(time.Now())
		if s.placementDue {
			s.placeIfDue(placementTimer)
		}
		s.flush(ctx)
		if retryAfter, held := s.bulkThrottled(time.Now()); held {
			bulk.Reset(retryAfter)
		}
	}
}

// placeIfDue runs a round of placement, unless placement pauses after an expensive round. Then the timer ends the pause.
func (s *scheduler) placeIfDue(timer *time.Timer) {
	now := time.Now()
	if now.Before(s.placementPausedUntil) {
		timer.Reset(s.placementPausedUntil.Sub(now))
		return
	}
	s.placeRound(now)
	end := time.Now()
	s.placementPausedUntil = end.Add(roundPause * end.Sub(now))
	if s.placementDue {
		timer.Reset(s.placementPausedUntil.Sub(end))
	}
}

// leaseValid reports whether this controller certainly is the leader now.
func (s *scheduler) leaseValid(now time.Time) bool { return now.Before(s.role.LeaseValidUntil) }

// snapshotFleet reviews the fleet for the autoscaler.
func (s *scheduler) snapshotFleet(now time.Time) autoscaling.Snapshot {
	return s.reviewer.Snapshot(now, autoscaling.Conditions{
		LeaseValid: s.leaseValid(now), MachinesListed: s.machinesListed, DrainsRequested: s.drainsRequested,
	})
}

// tick does the periodic work.
func (s *scheduler) tick() {
	now := time.Now()
	if s.commitStalled(now) || !s.leaseValid(now) {
		s.failWaiters(api.Unavailable("", "state service slow or out of reach"))
	}
	s.failGateWaiters(now)
	s.compareArchive()
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
		s.nextSnapshot = now.Add(max(clock.Scale(s.settings.HeartbeatInterval, snapshotPerHeartbeat), snapshotPause*time.Since(now)))
	}
}
