// Package scheduler decides what runs where. Its scheduler is the actor that owns the cluster state during a term of
// leadership: it answers users and workers, places tasks, and has decisions written before they take effect. Its Node
// is one controller: it follows or leads, and passes on what only the leader may answer.
package scheduler

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"slices"
	"sync/atomic"
	"time"

	"sagevale/internal/admission"
	"sagevale/internal/api"
	"sagevale/internal/archive"
	"sagevale/internal/clock"
	"sagevale/internal/cloud"
	"sagevale/internal/cluster"
	"sagevale/internal/config"
	"sagevale/internal/fencing"
	"sagevale/internal/groupcommit"
	"sagevale/internal/leadership"
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

// scheduler is the actor for jobs, bookings and placement during one term of
// leadership. All its fields are its own; others speak to it by messages.
type scheduler struct {
	settings        *config.Settings
	deps            Dependencies
	term            uint64
	tokens          fencing.Tokens // that workers are commanded under in this term
	role            leadership.Role
	gates           upgrade.Record            // what is in force
	requestGate     func(upgrade.GateName)    // asks for a gate to be taken into use
	gateWaiters     []gateWaiter              // submissions that wait for it
	resigned        bool                      // the lead has been given up
	leaseValidUntil atomic.Pointer[time.Time] // role.Certain, for those who pass answers on
	journal         *storage.Journal
	autoscaler      *autoscaler
	resign          func(leadership.Resignation)
	log             *slog.Logger
	rand            *rand.Rand

	mailbox  chan any
	closed   chan struct{}
	lifetime context.Context

	termStarted       time.Time
	state             *cluster.State
	archive           *archive.Archiver
	archiveUsed       bool // jobs may be archived
	archiveCompared   bool // with the open jobs
	archiving         bool // finished jobs are offered to the archive
	activation        *activationController
	openLaunches      map[string]storage.LaunchRecord // open at the take-over
	desired           int
	lastAttempt       uint64
	rejectedOfferings map[cloud.Offering]time.Time
	provisioning      *provisioningHistory
	keptHeadroom      []*demand // what room is kept for, as of the last snapshot

	queue            *groupcommit.Queue // what is to become durable
	bulkPace         *groupcommit.BulkPacer
	admission        *admission.Limiter
	acceptedInCommit int // submissions that the last commit made durable
	waiters          []*waiter
	commitStarted    time.Time // when the commit under way began; zero: none
	placementDue     bool      // something changed that placement should look at

	machinesListed       bool              // the cloud's list has been seen in this term
	terminated           map[int]bool      // machines whose return the cloud has confirmed
	perGPU               storage.Resources // what is taken with an accelerator at the most
	perGPUAt             time.Time
	tokenPending         []*cluster.Machine   // known at the take-over and not yet told our token
	announcements        int                  // workers being told now
	surplusCursor        int                  // where the search for a machine to return goes on
	drainsRequested      int                  // how many drains were asked for
	delegator            *delegator           // what the peers may do while they can't reach us
	peerRenewals         []peerRenewals       // what they may have done
	commandsFailing      map[int]bool         // machines that report but take no direct orders, since one last did
	sinceHeartbeat       func() time.Duration // since a worker last reported to this node
	placementPausedUntil time.Time            // placement rests until then
	nextSnapshot         time.Time            // the next snapshot of the fleet
}

// Messages to the dispatcher.
type (
	roleMsg struct{ role leadership.Role }
	userMsg struct {
		req    api.Request
		reply  chan api.Response
		absent bool // the job is known not to be archived
	}
	heartbeatsMsg struct {
		reports []*worker.Report
		reply   chan []worker.HeartbeatResponse
	}
	deliveredMsg struct {
		machine      int
		announcement bool
		starts       []*cluster.Attempt
		outcome      worker.Outcome
		report       *worker.Report
	}
	gatesMsg struct {
		record upgrade.Record
		reply  chan gateUses
	}
	// gateUses is what the dispatcher knows to depend on gates.
	gateUses struct {
		openGangs int
		archive   bool // jobs may be archived: the archive itself is to be counted
		moving    bool // jobs are on their way there

		lifecycles int // records of services that may be at zero
	}
	committedMsg    struct{ err error }
	machineTypesMsg struct{ types []storage.MachineType }
	listMsg         struct{ machines []cloud.Machine }
	launchedMsg     struct {
		launch   storage.LaunchRecord
		machines []int
	}
	rejectedMsg   struct{ offering cloud.Offering }
	terminatedMsg struct{ machines []int }
	drainMsg      struct {
		surplus surplusMachine
		reason  string
	}
)

func newScheduler(s *config.Settings, deps Dependencies, role leadership.Role, journal *storage.Journal, resign func(leadership.Resignation), log *slog.Logger) (*scheduler, error) {
	d := &scheduler{
		settings: s, deps: deps, term: role.Term, tokens: fencing.TermTokens(role.Term), role: role, journal: journal, resign: resign, log: log,
		rand:    rand.New(rand.NewPCG(deps.Rand.Uint64(), role.Term)),
		mailbox: make(chan any, s.QueueSize()), closed: make(chan struct{}), lifetime: context.Background(),
		termStarted: time.Now(), state: cluster.NewState(fencing.TermTokens(role.Term)),
		openLaunches: make(map[string]storage.LaunchRecord),
		lastAttempt:  role.Term * attemptStride, provisioning: newProvisioningHistory(), rejectedOfferings: make(map[cloud.Offering]time.Time),
		queue: groupcommit.New(), bulkPace: groupcommit.NewBulkPacer(clock.Scale(s.HeartbeatInterval, config.CommitPerHeartbeat)), terminated: make(map[int]bool), placementDue: true,
		delegator: newDelegator(s), commandsFailing: make(map[int]bool), sinceHeartbeat: func() time.Duration { return 0 },
		gates: role.Cluster.Record, requestGate: func(upgrade.GateName) {},
	}
	d.admission = d.newAdmission()
	d.setRole(role)
	d.activation = newActivationController(s, d.gates.Gate(upgrade.Activation), d, log)
	d.useArchive()
	return d, d.load(journal.Records())
}

// post sends a message that must not be lost; the mailbox is large, and an
// ended dispatcher takes nothing.
func (d *scheduler) post(m any) {
	select {
	case d.mailbox <- m:
	case <-d.closed:
	}
}

func (d *scheduler) close() { close(d.closed) }

// userRequest asks the dispatcher on behalf of a userRequest. A full mailbox is answered at
// once.
func (d *scheduler) userRequest(ctx context.Context, req api.Request) api.Response {
	asked := time.Now()
	busy := api.Response{Code: api.CodeBusy, ID: req.ID, Reason: errMailboxFull.Error(), RetrySeconds: busyRetryS()}
	if !d.admits(req.Op) {
		return busy
	}
	reply := make(chan api.Response, 1)
	a, err := call(ctx, d, userMsg{req: req, reply: reply}, reply)
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
func (d *scheduler) heartbeats(ctx context.Context, reports []*worker.Report) []worker.HeartbeatResponse {
	reply := make(chan []worker.HeartbeatResponse, 1)
	answers, err := call(ctx, d, heartbeatsMsg{reports, reply}, reply)
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
			d.handle(m)
			for n := len(d.mailbox); n > 0; n-- {
				d.handle(<-d.mailbox)
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
		d.flush()
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

func (d *scheduler) handle(m any) {
	switch m := m.(type) {
	case roleMsg:
		// A renewal that was under way when we resigned comes too late: the
		// grant may be ended at any moment now.
		if !d.resigned {
			d.setRole(m.role)
		}
	case userMsg:
		d.handleUser(m)
	case heartbeatsMsg:
		answers := make([]worker.HeartbeatResponse, 0, len(m.reports))
		for _, r := range m.reports {
			answers = append(answers, d.handleHeartbeat(r))
		}
		m.reply <- answers
	case archiveReadMsg:
		d.handleArchiveRead(m)
	case archivedMsg:
		d.handleArchived(m)
	case restoreMsg:
		d.restoreArchived(m)
	case deliveredMsg:
		d.handleDelivered(m)
	case committedMsg:
		d.handleCommitted(m.err)
	case gatesMsg:
		d.setGates(m.record)
		m.reply <- gateUses{d.state.Jobs.OpenGangs(), d.archiveUsed, d.archiving, d.activation.uses()}
	case machineTypesMsg:
		d.state.SetTypes(m.types)
		d.markRecord(storage.MachineTypesKey, func() any { return m.types })
		d.placementDue = true
	case listMsg:
		d.handleList(m.machines)
	case launchedMsg:
		d.handleLaunched(m)
	case rejectedMsg:
		d.rejectedOfferings[m.offering] = time.Now()
	case terminatedMsg:
		for _, id := range m.machines {
			d.removeMachine(id, "returned")
			d.terminated[id] = true
		}
	case drainMsg:
		d.drainSurplus(m)
	case wakeMsg:
		d.handleWake(m)
	case usageReportMsg:
		d.handleUsage(m)
	default:
		d.log.Error("unknown message", "type", fmt.Sprintf("%T", m))
	}
}

// leaseValid tells whether this node surely leads now.
func (d *scheduler) leaseValid(now time.Time) bool { return now.Before(d.role.LeaseValidUntil) }

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
		v := d.snapshotFleet(now)
		d.terminateMachines(append(append(v.emptied, v.lost...), d.abandonUnconfirmed(now)...))
		d.autoscaler.post(snapshotMsg{v})
		d.nextSnapshot = now.Add(max(clock.Scale(d.settings.HeartbeatInterval, snapshotPerHeartbeat), snapshotPause*time.Since(now)))
	}
}
