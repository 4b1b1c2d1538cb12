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
	// tickPerHeartbeat is the dispatcher's clock, in report intervals.
	tickPerHeartbeat = 0.15
	// snapshotPerHeartbeat is how often the fleet is reviewed, in report intervals.
	snapshotPerHeartbeat = 0.25
	// snapshotPause is the least pause between two snapshots, in durations of one.
	snapshotPause = 10
	// stallPerHeartbeat is how long a commit may take, in report intervals,
	// before those who wait for it are told to come back.
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

// termState is the term and our role in it.
type termState struct {
	term            uint64
	tokens          fencing.Tokens // under which workers are commanded in this term
	termStarted     time.Time
	lastAttempt     uint64 // the highest attempt number that is in use
	role            leadership.Role
	resign          func(leadership.Resignation)
	resigned        bool
	leaseValidUntil atomic.Pointer[time.Time] // of the role, for those who pass answers on; read by any goroutine
}

// gateState is which feature gates are in force.
type gateState struct {
	gates       upgrade.Record
	requestGate func(upgrade.GateName) // asks for a gate to be marked as used
	gateWaiters []gateWaiter           // submissions that wait for it
}

// commitState is what is to become durable, and who waits for it.
type commitState struct {
	journal          *storage.Journal
	queue            *groupcommit.Queue
	bulkPace         *groupcommit.BulkPacer
	admission        *admission.Limiter
	commitStarted    time.Time // of the commit under way; zero: none is
	acceptedInCommit int       // submissions that it makes durable
	waiters          []*waiter
}

// archiveState is what has become of the archive in this term.
type archiveState struct {
	archive         *archive.Archiver
	archiveUsed     bool // jobs may be archived
	archiveCompared bool // the open jobs have been compared with it
	archiving       bool // finished jobs are on their way to it
}

// fleetState is what is known of the fleet beside its machines.
type fleetState struct {
	openLaunches    map[string]storage.LaunchRecord // launch requests of earlier terms without an answer
	desired         int                             // the desired size that is recorded
	machinesListed  bool                            // the cloud's machine list has been read in this term
	terminated      map[int]bool                    // machines whose termination the cloud has confirmed
	drainsRequested int
}

// commandState is what is under way to the workers.
type commandState struct {
	tokenPending    []*cluster.Machine   // known at the failover and not yet told our fencing token
	announcements   int                  // workers that are being told it
	commandsFailing map[int]bool         // machines that report but execute no direct commands, since one last did
	sinceHeartbeat  func() time.Duration // since a worker last reported to this controller
}

// delegationState is the renewal of workers' leases by peers.
type delegationState struct {
	delegator    *delegator
	peerRenewals []peerRenewals
}

// pacing is when the scheduler does what costs much.
type pacing struct {
	placementDue         bool // something has changed that placement should look at
	placementPausedUntil time.Time
	nextSnapshot         time.Time // of the fleet
}

func newScheduler(s *config.Settings, deps Dependencies, role leadership.Role, journal *storage.Journal, resign func(leadership.Resignation), log *slog.Logger) (*scheduler, error) {
	random := rand.New(rand.NewPCG(deps.Rand.Uint64(), role.Term))
	tokens := fencing.TermTokens(role.Term)
	d := &scheduler{
		settings: s,
		deps:     deps,
		log:      log,
		mailbox:  make(chan message, s.QueueSize()),
		closed:   make(chan struct{}),
		state:    cluster.NewState(tokens),
		termState: termState{
			term: role.Term, tokens: tokens, termStarted: time.Now(),
			lastAttempt: role.Term * attemptStride, resign: resign,
		},
		gateState: gateState{gates: role.Cluster.Record, requestGate: func(upgrade.GateName) {}},
		commitState: commitState{
			journal: journal, queue: groupcommit.New(),
			bulkPace:  groupcommit.NewBulkPacer(clock.Scale(s.HeartbeatInterval, config.CommitPerHeartbeat)),
			admission: newAdmission(s),
		},
		fleetState: fleetState{terminated: make(map[int]bool)},
		commandState: commandState{
			commandsFailing: make(map[int]bool),
			sinceHeartbeat:  func() time.Duration { return 0 },
		},
		delegationState: delegationState{delegator: newDelegator(s)},
		pacing:          pacing{placementDue: true},
	}
	d.background, _ = backgroundCalls(context.Background())
	d.planner = placement.New(s, d.state, d, random, log)
	d.reviewer = autoscaling.NewReviewer(s, d.state, d.planner, log)
	d.setRole(role)
	d.activation = newActivationController(s, d.gates.Gate(upgrade.Activation), d, log)
	d.useArchive()
	return d, d.load(journal.Records())
}

// userRequest asks the dispatcher on behalf of a userRequest. A full mailbox is answered at
// once.
func (d *scheduler) HandleUserRequest(ctx context.Context, req api.Request) api.Response {
	asked := time.Now()
	busy := api.Response{Code: api.CodeBusy, ID: req.ID, Reason: errMailboxFull.Error(), RetrySeconds: busyRetryS()}
	if !d.admits(req.Op) {
		return busy
	}
	reply := make(chan api.Response, 1)
	a, err := call(ctx, d, userMessage{req: req, reply: reply}, reply)
	switch {
	case errors.Is(err, errMailboxFull):
		return busy
	case err != nil:
		return api.Unavailable(req.ID, err.Error())
	}
	return d.withValidity(a, asked)
}

// withValidity bounds for how long an answer may be told that isn't final. This
// process may have stood still since it was given.
func (d *scheduler) withValidity(a api.Response, asked time.Time) api.Response {
	if a.Final() || !a.Decided() {
		return a
	}
	certain := d.leaseValidUntil.Load()
	if certain == nil || !time.Now().Before(*certain) {
		return api.Unavailable(a.ID, "leadership not certain")
	}
	a.ValidFor = certain.Sub(asked)
	return a
}

// setRole takes in a change of our role.
func (d *scheduler) setRole(r leadership.Role) {
	d.role = r
	d.leaseValidUntil.Store(&r.LeaseValidUntil)
}

// heartbeats hands workers' reports to the dispatcher; nil means that it doesn't
// decide on them.
func (d *scheduler) HandleHeartbeats(ctx context.Context, reports []*worker.Report) []worker.HeartbeatResponse {
	reply := make(chan []worker.HeartbeatResponse, 1)
	answers, err := call(ctx, d, heartbeatsMessage{reports, reply}, reply)
	if err != nil {
		return nil
	}
	return answers
}

// run works in rounds: it takes what has arrived, decides once for all of it,
// and writes in one group what must be durable. The more arrives, the wider
// the rounds.
func (d *scheduler) run(ctx context.Context) error {
	d.tokenPending = slices.Clone(d.state.Machines.InOrder())
	d.announceTokens()
	d.activation.resume(time.Now())
	tick := time.NewTicker(clock.Scale(d.settings.HeartbeatInterval, tickPerHeartbeat))
	defer tick.Stop()
	rest := time.NewTimer(0) // ends placement's rest
	defer rest.Stop()
	bulk := time.NewTimer(0) // ends the time for which bulk is held back
	defer bulk.Stop()
	for {
		select {
		case <-ctx.Done():
			d.failWaiters(api.Unavailable("", "leader is stepping down"))
			return ctx.Err()
		case m := <-d.mailbox:
			m.handle(d)
			for n := len(d.mailbox); n > 0; n-- {
				(<-d.mailbox).handle(d)
			}
		case <-tick.C:
			d.tick()
		case <-rest.C:
		case <-bulk.C:
		}
		d.publishDelegation(time.Now())
		if d.placementDue {
			d.placeIfDue(rest)
		}
		d.flush(ctx)
		if again, held := d.bulkHeld(time.Now()); held {
			bulk.Reset(again)
		}
	}
}

// placeIfDue holds a round of placement, unless the last one cost so much that
// placement still rests; then the timer wakes it.
func (d *scheduler) placeIfDue(rest *time.Timer) {
	now := time.Now()
	if now.Before(d.placementPausedUntil) {
		rest.Reset(d.placementPausedUntil.Sub(now))
		return
	}
	d.placeRound(now)
	end := time.Now()
	d.placementPausedUntil = end.Add(roundPause * end.Sub(now))
	if d.placementDue {
		rest.Reset(d.placementPausedUntil.Sub(end))
	}
}

// leaseValid tells whether this node surely leads now.
func (d *scheduler) leaseValid(now time.Time) bool { return now.Before(d.role.LeaseValidUntil) }

// snapshotFleet reviews the fleet for the autoscaler.
func (d *scheduler) snapshotFleet(now time.Time) autoscaling.Snapshot {
	return d.reviewer.Snapshot(now, autoscaling.Conditions{
		LeaseValid: d.leaseValid(now), MachinesListed: d.machinesListed, DrainsRequested: d.drainsRequested,
	})
}

// tick does what the clock asks for.
func (d *scheduler) tick() {
	now := time.Now()
	if d.stalled(now) || !d.leaseValid(now) {
		d.failWaiters(api.Unavailable("", "state service slow or out of reach"))
	}
	d.failGateWaiters(now)
	d.compareArchive()
	d.archiveFinished(now)
	d.updatePeerRenewals()
	d.expireLeases(now)
	d.replaceStalledGangTasks(now)
	d.activation.tick(now)
	d.resignToForget(now)
	d.placementDue = true
	if !now.Before(d.nextSnapshot) {
		snapshot := d.snapshotFleet(now)
		d.terminateMachines(slices.Concat(snapshot.Emptied, snapshot.Lost, d.abandonUnconfirmed(now)))
		d.autoscaler.HandleSnapshot(snapshot)
		d.nextSnapshot = now.Add(max(clock.Scale(d.settings.HeartbeatInterval, snapshotPerHeartbeat), snapshotPause*time.Since(now)))
	}
}
