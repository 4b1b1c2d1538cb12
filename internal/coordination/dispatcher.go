package coordination

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
	"sagevale/internal/archive"
	"sagevale/internal/fencing"
	"sagevale/internal/groupcommit"
	"sagevale/internal/storage"
	"sagevale/internal/upgrade"
)

const (
	// tickPerReport is the dispatcher's clock, in report intervals.
	tickPerReport = 0.15
	// snapshotPerReport is how often the fleet is reviewed, in report intervals.
	snapshotPerReport = 0.25
	// snapshotRest is the least pause between two snapshots, in durations of one.
	snapshotRest = 10
	// stallPerReport is how long a commit may take, in report intervals,
	// before those who wait for it are told to come back.
	stallPerReport = 0.35
	// tryStride is how many attempts are numbered by each token of a term.
	tryStride = 1 << 24
)

// dispatcher is the actor for jobs, bookings and placement during one term of
// leadership. All its fields are its own; others speak to it by messages.
type dispatcher struct {
	settings    *Settings
	deps        Dependencies
	term        uint64
	tokens      fencing.Tokens // that workers are commanded under in this term
	role        Role
	gates       upgrade.Record            // what is in force
	requestGate func(upgrade.GateName)    // asks for a gate to be taken into use
	gateWaiters []gateWaiter              // submissions that wait for it
	resigned    bool                      // the lead has been given up
	certainTill atomic.Pointer[time.Time] // role.Certain, for those who pass answers on
	journal     *storage.Journal
	capacity    *capacity
	resign      chan<- resignation
	log         *slog.Logger
	rand        *rand.Rand

	mailbox chan any
	closed  chan struct{}
	ctx     context.Context

	began           time.Time
	types           map[string]*storage.MachineType
	typeNames       []string
	jobs            *jobTable
	archive         *archive.Archiver
	archiveUsed     bool // jobs may be archived
	archiveCompared bool // with the open jobs
	moving          bool // finished jobs are offered to the archive
	activation      *activationController
	machines        map[int]*machine
	order           []*machine // the same, by number
	reservations    *storage.Reservations
	classes         map[string]*class
	rentals         map[string]storage.LaunchRecord // open at the take-over
	desired         int
	nextTry         uint64
	refused         map[offer]time.Time
	boots           *bootTimes
	keptRoom        []*demand // what room is kept for, as of the last snapshot

	queue     *groupcommit.Queue // what is to become durable
	bulkPace  *groupcommit.BulkPacer
	admission *admission.Limiter
	accepted  int // submissions that the last commit made durable
	waiters   []*waiter
	commitAt  time.Time // when the commit under way began; zero: none
	place     bool      // something changed that placement should look at

	listed         bool         // the cloud's list has been seen in this term
	removed        map[int]bool // machines whose return the cloud has confirmed
	perGPU         storage.Room // what is taken with an accelerator at the most
	perGPUAt       time.Time
	firstJob       time.Time            // when the first job ever came
	unannounced    []*machine           // known at the take-over and not yet told our token
	announcing     int                  // workers being told now
	surplusFrom    int                  // where the search for a machine to return goes on
	drains         int                  // how many drains were asked for
	delegator      *delegator           // what the peers may do while they can't reach us
	peerRenewals   []peerRenewals       // what they may have done
	unreached      map[int]bool         // machines that report but take no direct orders, since one last did
	sinceHeartbeat func() time.Duration // since a worker last reported to this node
	roundAt        time.Time            // placement rests until then
	snapshotAt     time.Time            // the next snapshot of the fleet
}

// Messages to the dispatcher.
type (
	roleMsg struct{ role Role }
	userMsg struct {
		req    UserRequest
		reply  chan Answer
		absent bool // the job is known not to be archived
	}
	heartbeatsMsg struct {
		reports []*Report
		reply   chan []HeartbeatResponse
	}
	directMsg struct {
		machine      int
		announcement bool
		starts       []*attempt
		outcome      Outcome
		report       *Report
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
	committedMsg struct{ err error }
	catalogueMsg struct{ types []storage.MachineType }
	listMsg      struct{ machines []ListedMachine }
	rentedMsg    struct {
		rental   storage.LaunchRecord
		machines []int
	}
	refusedMsg  struct{ offer offer }
	returnedMsg struct{ machines []int }
	drainMsg    struct {
		surplus surplusMachine
		reason  string
	}
)

func newDispatcher(s *Settings, deps Dependencies, role Role, journal *storage.Journal, resign chan<- resignation, log *slog.Logger) (*dispatcher, error) {
	d := &dispatcher{
		settings: s, deps: deps, term: role.Term, tokens: fencing.TermTokens(role.Term), role: role, journal: journal, resign: resign, log: log,
		rand:    rand.New(rand.NewPCG(deps.Rand.Uint64(), role.Term)),
		mailbox: make(chan any, s.QueueSize()), closed: make(chan struct{}), ctx: context.Background(),
		began: time.Now(), types: make(map[string]*storage.MachineType),
		jobs: newJobTable(), machines: make(map[int]*machine),
		reservations: storage.NewReservations(), classes: make(map[string]*class), rentals: make(map[string]storage.LaunchRecord),
		nextTry: role.Term * tryStride, boots: newBootTimes(), refused: make(map[offer]time.Time),
		queue: groupcommit.New(), bulkPace: groupcommit.NewBulkPacer(scale(s.HeartbeatInterval, commitPerReport)), removed: make(map[int]bool), place: true,
		delegator: newDelegator(s), unreached: make(map[int]bool), sinceHeartbeat: func() time.Duration { return 0 },
		gates: role.cluster.record, requestGate: func(upgrade.GateName) {},
	}
	d.admission = d.newAdmission()
	d.setRole(role)
	d.activation = newActivationController(s, d.gates.Gate(upgrade.Activation), d, log)
	d.useArchive()
	return d, d.load(journal.Records())
}

// post sends a message that must not be lost; the mailbox is large, and an
// ended dispatcher takes nothing.
func (d *dispatcher) post(m any) {
	select {
	case d.mailbox <- m:
	case <-d.closed:
	}
}

func (d *dispatcher) close() { close(d.closed) }

// user asks the dispatcher on behalf of a user. A full mailbox is answered at
// once.
func (d *dispatcher) user(ctx context.Context, req UserRequest) Answer {
	asked := time.Now()
	busy := Answer{Code: CodeBusy, ID: req.ID, Reason: errMailboxFull.Error(), RetryS: busyRetryS()}
	if !d.admits(req.Op) {
		return busy
	}
	reply := make(chan Answer, 1)
	a, err := ask(ctx, d, userMsg{req: req, reply: reply}, reply)
	switch {
	case errors.Is(err, errMailboxFull):
		return busy
	case err != nil:
		return Unavailable(req.ID, err.Error())
	}
	return d.withValidity(a, asked)
}

// withValidity bounds for how long an answer may be told that isn't final. This
// process may have stood still since it was given.
func (d *dispatcher) withValidity(a Answer, asked time.Time) Answer {
	if a.final() || !a.decided() {
		return a
	}
	certain := d.certainTill.Load()
	if certain == nil || !time.Now().Before(*certain) {
		return Unavailable(a.ID, "leadership not certain")
	}
	a.Holds = certain.Sub(asked)
	return a
}

// setRole takes in a change of our role.
func (d *dispatcher) setRole(r Role) {
	d.role = r
	d.certainTill.Store(&r.Certain)
}

// heartbeats hands workers' reports to the dispatcher; nil means that it doesn't
// decide on them.
func (d *dispatcher) heartbeats(ctx context.Context, reports []*Report) []HeartbeatResponse {
	reply := make(chan []HeartbeatResponse, 1)
	answers, err := ask(ctx, d, heartbeatsMsg{reports, reply}, reply)
	if err != nil {
		return nil
	}
	return answers
}

// run works in rounds: it takes what has arrived, decides once for all of it,
// and writes in one group what must be durable. The more arrives, the wider
// the rounds.
func (d *dispatcher) run(ctx context.Context) error {
	d.unannounced = slices.Clone(d.order)
	d.announceTokens()
	d.activation.resume(time.Now())
	tick := time.NewTicker(scale(d.settings.HeartbeatInterval, tickPerReport))
	defer tick.Stop()
	rest := time.NewTimer(0) // ends placement's rest
	defer rest.Stop()
	bulk := time.NewTimer(0) // ends the time for which bulk is held back
	defer bulk.Stop()
	for {
		select {
		case <-ctx.Done():
			d.failWaiting(Unavailable("", "leader is stepping down"))
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
		if d.place {
			d.paceRound(rest)
		}
		d.flush()
		if again, held := d.bulkHeld(time.Now()); held {
			bulk.Reset(again)
		}
	}
}

// paceRound holds a round of placement, unless the last one cost so much that
// placement still rests; then the timer wakes it.
func (d *dispatcher) paceRound(rest *time.Timer) {
	now := time.Now()
	if now.Before(d.roundAt) {
		rest.Reset(d.roundAt.Sub(now))
		return
	}
	d.placeRound(now)
	end := time.Now()
	d.roundAt = end.Add(roundRest * end.Sub(now))
	if d.place {
		rest.Reset(d.roundAt.Sub(end))
	}
}

func (d *dispatcher) handle(m any) {
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
		answers := make([]HeartbeatResponse, 0, len(m.reports))
		for _, r := range m.reports {
			answers = append(answers, d.handleHeartbeat(r))
		}
		m.reply <- answers
	case archiveReadMsg:
		d.handleArchiveRead(m)
	case movedMsg:
		d.handleMoved(m)
	case restoreMsg:
		d.restore(m)
	case directMsg:
		d.handleDirect(m)
	case committedMsg:
		d.handleCommitted(m.err)
	case gatesMsg:
		d.setGates(m.record)
		m.reply <- gateUses{d.jobs.openGangs(), d.archiveUsed, d.moving, d.activation.uses()}
	case catalogueMsg:
		d.setTypes(m.types)
		d.mark(storage.MachineTypesKey, func() any { return m.types })
		d.place = true
	case listMsg:
		d.handleList(m.machines)
	case rentedMsg:
		d.handleRented(m)
	case refusedMsg:
		d.refused[m.offer] = time.Now()
	case returnedMsg:
		for _, id := range m.machines {
			d.removeMachine(id, "returned")
			d.removed[id] = true
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

// certain tells whether this node surely leads now.
func (d *dispatcher) certain(now time.Time) bool { return now.Before(d.role.Certain) }

// tick does what the clock asks for.
func (d *dispatcher) tick() {
	now := time.Now()
	if d.stalled(now) || !d.certain(now) {
		d.failWaiting(Unavailable("", "state service slow or out of reach"))
	}
	d.failGateWaiters(now)
	d.compareArchive()
	d.moveFinished(now)
	d.updatePeerRenewals()
	d.expire(now)
	d.tendGangs(now)
	d.activation.tick(now)
	d.resignToForget(now)
	d.place = true
	if !now.Before(d.snapshotAt) {
		v := d.snapshotFleet(now)
		d.returnMachines(append(append(v.emptied, v.lost...), d.lostUnconfirmed(now)...))
		d.capacity.post(snapshotMsg{v})
		d.snapshotAt = now.Add(max(scale(d.settings.HeartbeatInterval, snapshotPerReport), snapshotRest*time.Since(now)))
	}
}
