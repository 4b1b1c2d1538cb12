// Package autoscaling sizes the fleet. A Reviewer computes which machines the fleet needs and which are surplus.
// For this it makes a trial packing: it computes where the waiting tasks would fit, without placing them. A Reviewer
// runs in the scheduler's goroutine. An Autoscaler is an actor that owns the fleet's desired size and is the only
// caller of the cloud's interface. After sustained demand it scales out in bounded steps. It scales in one machine
// at a time.
//
// Every scaling step is recorded durably before it is carried out. One guarded commit, which succeeds only during the
// leader's term, holds the desired size, the term and the names of the launch requests. A repeated or delayed
// request therefore can't launch machines twice.
package autoscaling

import (
	"cmp"
	"context"
	"fmt"
	"log/slog"
	"slices"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"sagevale/internal/clock"
	"sagevale/internal/cloud"
	"sagevale/internal/config"
	"sagevale/internal/storage"
)

const (
	// mailboxSize is the maximum number of messages queued for the autoscaler.
	mailboxSize = 256
	// tickPerHeartbeat is the interval between two ticks of the autoscaler, in heartbeat intervals.
	tickPerHeartbeat = 0.15
	// cloudRequestShare is the share of the cloud's request rate limit that the autoscaler uses.
	cloudRequestShare = 0.8
)

// Cloud is the cloud provider's interface for listing, launching and terminating machines.
type Cloud interface {
	// MachineTypes returns the machine types with their current prices.
	MachineTypes(ctx context.Context) ([]storage.MachineType, error)
	// Launch launches machines and returns the numbers of those that were launched. The request is
	// idempotent by its name: repeating it launches no further machines.
	Launch(ctx context.Context, name string, launch storage.LaunchRecord) ([]int, error)
	// Terminate terminates machines. Once it returns without an error, they and their tasks no longer run.
	Terminate(ctx context.Context, machines []int) error
	// List returns the page of the machine list that follows the machine with the given number, at most limit
	// machines. If after is NoMachine, it returns the first page. more reports whether further pages follow.
	List(ctx context.Context, after int, limit int) (machines []cloud.Machine, more bool, err error)
}

// Journal writes records to durable storage. *storage.Journal implements it.
type Journal interface {
	Append(ctx context.Context, b storage.Batch)
}

// Scheduler receives the cloud's responses and the drain requests. Its methods queue a message, and return without
// waiting until the message is handled.
type Scheduler interface {
	HandleMachineTypes(types []storage.MachineType)
	HandleMachineList(machines []cloud.Machine)
	HandleLaunched(launch storage.LaunchRecord, machines []int)
	HandleRejected(o cloud.Offering)
	HandleTerminated(machines []int)
	// HandleSurplus requests that a machine be drained. The scheduler calls Autoscaler.DrainCompleted when the
	// drain is over.
	HandleSurplus(m SurplusMachine)
}

// Config holds the dependencies and the recorded state of a new Autoscaler.
type Config struct {
	Settings  *config.Settings
	Cloud     Cloud
	Journal   Journal
	Scheduler Scheduler
	Term      uint64
	Desired   int                             // the recorded desired size
	Launches  map[string]storage.LaunchRecord // recorded launch requests without a response, by name
	Done      <-chan struct{}                 // closed at the end of the term
	Log       *slog.Logger
}

// Autoscaler is the actor that owns the fleet's desired size.
type Autoscaler struct {
	settings   *config.Settings
	cloud      Cloud
	journal    Journal
	scheduler  Scheduler
	term       uint64
	log        *slog.Logger
	mailbox    chan message
	done       <-chan struct{}
	limiter    *rate.Limiter
	cloudCalls sync.WaitGroup // calls of the cloud in flight; Run waits for them before it returns
	started    time.Time

	// The desired size and the launch requests that work towards it.
	desired          int
	launches         map[string]*pendingLaunch // requests without a response, by name
	lastLaunchNumber int                       // number of the last launch request in this term
	commitInFlight   bool                      // the commit of a step is in flight

	// The conditions for scaling out and for scaling in.
	demandSince   time.Time // start of the current demand or, if later, the last scale-out; zero: there is no demand
	healthySince  time.Time // since when all machines have been healthy; zero: some machine isn't, or scaling is frozen
	cooldownUntil time.Time // no drain is requested before this time
	backOffUntil  time.Time // scaling is frozen until this time

	// Scaling in.
	surplus             []SurplusMachine // machines left to drain one after the other, from the last snapshot
	drainCompleted      bool             // the last requested drain is over
	drainsRequested     int
	size                int   // fleet size in the last snapshot, minus the drains requested since
	toTerminate         []int // machines not yet in a termination request
	terminationInFlight bool  // a termination request is in flight

	// Polling the cloud.
	listInFlight  bool // a read of the machine list is in flight
	lastListAt    time.Time
	lastListPages int  // pages of the last list
	typesInFlight bool // a read of the machine types is in flight
	lastTypesAt   time.Time
}

// pendingLaunch is a launch request without a final response from the cloud.
type pendingLaunch struct {
	storage.LaunchRecord
	durable bool // the request's record is committed; the request must not be sent before that
	sending bool // a call with the request is in flight
	retryAt time.Time
}

// New returns an autoscaler for one term of leadership. Run starts it.
func New(c Config) *Autoscaler {
	a := &Autoscaler{
		settings:  c.Settings,
		cloud:     c.Cloud,
		journal:   c.Journal,
		scheduler: c.Scheduler,
		term:      c.Term,
		log:       c.Log,
		mailbox:   make(chan message, mailboxSize),
		done:      c.Done,
		limiter:   rate.NewLimiter(rate.Limit(c.Settings.CloudRPS*cloudRequestShare), max(1, int(c.Settings.CloudRPS*cloudRequestShare))),
		started:   time.Now(),

		desired:        c.Desired,
		launches:       make(map[string]*pendingLaunch),
		drainCompleted: true,
	}
	for name, record := range c.Launches {
		a.launches[name] = &pendingLaunch{LaunchRecord: record, durable: true}
	}
	return a
}

// message is a message to the autoscaler. Run calls its handler.
type message interface {
	handle(ctx context.Context, a *Autoscaler, now time.Time)
}

// post queues a message for Run. It blocks while the mailbox is full, and drops the message at the end of the term.
func (a *Autoscaler) post(m message) {
	select {
	case a.mailbox <- m:
	case <-a.done:
	}
}

// HandleSnapshot passes a snapshot of the fleet to the autoscaler. Like Terminate and DrainCompleted it may be
// called from any goroutine.
func (a *Autoscaler) HandleSnapshot(s Snapshot) { a.post(snapshotMessage{s}) }

// Terminate requests the termination of machines. Their records must already be durably marked as terminating.
func (a *Autoscaler) Terminate(machines []int) { a.post(terminateMessage{machines}) }

// DrainCompleted reports that the last requested drain is over.
func (a *Autoscaler) DrainCompleted() { a.post(drainCompletedMessage{}) }

// Run handles messages and polls the cloud until ctx ends.
func (a *Autoscaler) Run(ctx context.Context) error {
	tick := time.NewTicker(clock.Scale(a.settings.HeartbeatInterval, tickPerHeartbeat))
	defer tick.Stop()
	cooldown := time.NewTimer(0) // fires at the end of the cooldown, when the next machine may be drained
	defer cooldown.Stop()
	defer a.cloudCalls.Wait() // the calls end with ctx
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case m := <-a.mailbox:
			m.handle(ctx, a, time.Now())
		case <-tick.C:
		case <-cooldown.C:
		}
		now := time.Now()
		a.pollCloud(ctx, now)
		a.sendLaunches(ctx, now)
		a.scaleIn(ctx, now)
		if len(a.surplus) > 0 && now.Before(a.cooldownUntil) {
			cooldown.Reset(a.cooldownUntil.Sub(now))
		}
	}
}

type snapshotMessage struct{ snapshot Snapshot }

// handle scales out in bounded steps after sustained demand. After a window in which all machines were healthy it
// queues the surplus machines for scaling in, which drains them one at a time.
func (m snapshotMessage) handle(ctx context.Context, a *Autoscaler, now time.Time) {
	s := m.snapshot
	// After a failover the machines must first report to the new leader. In term 1 there are no machines to wait for.
	starting := a.term > 1 && now.Sub(a.started) < a.settings.HeartbeatInterval
	frozen := now.Before(a.backOffUntil) || starting || !s.MachinesListed
	a.updateWindows(&s, frozen, now)
	a.surplus, a.size = nil, s.Size
	if s.DrainsRequested == a.drainsRequested { // a snapshot from before the last drain request doesn't show that drain
		a.drainCompleted = !s.Draining
	}
	sustained := len(s.Desired) > 0 && now.Sub(a.demandSince) >= a.settings.Tuning.ScaleOutWindow
	healthy := !s.Draining && !a.healthySince.IsZero() && now.Sub(a.healthySince) >= a.settings.Tuning.ScaleInWindow
	switch {
	case frozen || a.commitInFlight || len(a.launches) > 0:
	case sustained && s.NonOpportunistic > 0:
		a.scaleOut(ctx, s, now)
		a.cooldownUntil = now.Add(a.settings.Tuning.Cooldown)
	case healthy && len(s.Surplus) > 0:
		a.surplus = s.Surplus
	case sustained:
		a.scaleOut(ctx, s, now)
	}
}

// updateWindows records since when there has been demand, and since when all machines have been healthy. While there
// is demand other than that of opportunistic work, the fleet doesn't scale in, because the snapshot then lists no
// surplus machines. After a scale-out step for such demand, the fleet doesn't scale in for a cooldown either.
func (a *Autoscaler) updateWindows(s *Snapshot, frozen bool, now time.Time) {
	switch {
	case len(s.Desired) == 0:
		a.demandSince = time.Time{}
	case a.demandSince.IsZero():
		a.demandSince = now
	}
	switch {
	case !s.Healthy || frozen:
		a.healthySince = time.Time{}
	case a.healthySince.IsZero():
		a.healthySince = now
	}
}

// scaleOut records the new size, the term and the launch requests in one guarded commit. The launch requests are sent
// after the commit.
func (a *Autoscaler) scaleOut(ctx context.Context, s Snapshot, now time.Time) {
	n := min(len(s.Desired), a.settings.Tuning.MaxScaleOut(s.Size))
	// Machines that take longest to boot are launched first.
	slices.SortStableFunc(s.Desired, func(x, y cloud.Offering) int {
		return cmp.Compare(s.BootSeconds[y.Type], s.BootSeconds[x.Type])
	})
	a.desired = s.Size + n
	var names []string
	records := a.fleetRecords()
	for _, request := range launchesFor(s.Desired[:n]) {
		a.lastLaunchNumber++
		name := fmt.Sprintf("r-%d-%d", a.term, a.lastLaunchNumber)
		record, err := storage.NewRecord(storage.LaunchKey(name), request)
		if err != nil {
			a.log.Error("record encoding failed", "key", storage.LaunchKey(name), "error", err)
			continue
		}
		a.launches[name] = &pendingLaunch{LaunchRecord: request}
		names = append(names, name)
		records = append(records, record)
		a.log.Info("scale-out requested", "launch", name, "type", request.Type, "zone", request.Zone, "spot", request.Spot, "count", request.Count, "desired", a.desired)
	}
	a.demandSince = now // the remaining demand must last for another window
	a.commitStep(ctx, records, stepResult{launches: names})
}

// launchesFor groups the desired machines into launch requests, in the order in which the offerings first appear.
// A request for more machines than the cloud accepts is split.
func launchesFor(desired []cloud.Offering) []storage.LaunchRecord {
	var launches []storage.LaunchRecord
	last := make(map[cloud.Offering]int)
	for _, o := range desired {
		i, ok := last[o]
		if !ok || launches[i].Count == config.MaxLaunchMachines {
			i = len(launches)
			last[o] = i
			launches = append(launches, storage.LaunchRecord{Type: o.Type, Zone: o.Zone, Spot: o.Spot})
		}
		launches[i].Count++
	}
	return launches
}

// scaleIn requests the drain of the next surplus machine once the previous drain is over and the cooldown has
// passed. Each step drains one machine and records the size and the term in one guarded commit.
func (a *Autoscaler) scaleIn(ctx context.Context, now time.Time) {
	if len(a.surplus) == 0 || !a.drainCompleted || a.commitInFlight || now.Before(a.cooldownUntil) {
		return
	}
	next := a.surplus[0]
	a.surplus = a.surplus[1:]
	a.drainCompleted = false
	a.cooldownUntil = now.Add(a.settings.Tuning.CooldownFor(a.size))
	a.size--
	a.desired = a.size
	a.log.Info("scale-in requested", "machine", next.Machine, "desired", a.desired)
	a.commitStep(ctx, a.fleetRecords(), stepResult{drain: &next})
}

// fleetRecords returns the record of the desired size and the term.
func (a *Autoscaler) fleetRecords() []storage.Record {
	record, err := storage.NewRecord(storage.FleetKey, storage.FleetRecord{Desired: a.desired, Term: a.term})
	if err != nil {
		a.log.Error("record encoding failed", "key", storage.FleetKey, "error", err)
	}
	return []storage.Record{record}
}

// commitStep commits the records of a step, and then posts the result to the autoscaler.
func (a *Autoscaler) commitStep(ctx context.Context, records []storage.Record, result stepResult) {
	a.commitInFlight = true
	a.journal.Append(ctx, storage.Batch{Records: records, Ack: func(err error) {
		result.err = err
		a.post(result)
	}})
}

// stepResult is the result of the commit of a step.
type stepResult struct {
	launches []string        // names of the launch requests in the commit
	drain    *SurplusMachine // machine to drain after the commit; nil: none
	err      error
}

func (m stepResult) handle(_ context.Context, a *Autoscaler, _ time.Time) {
	a.commitInFlight = false
	if m.err != nil {
		a.drainCompleted = true
		return
	}
	for _, name := range m.launches {
		if l := a.launches[name]; l != nil {
			l.durable = true
		}
	}
	if m.drain != nil {
		a.drainsRequested++
		a.scheduler.HandleSurplus(*m.drain)
	}
}

type drainCompletedMessage struct{}

func (drainCompletedMessage) handle(_ context.Context, a *Autoscaler, _ time.Time) {
	a.drainCompleted = true
}
