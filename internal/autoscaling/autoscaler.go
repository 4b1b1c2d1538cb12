// Package autoscaling sizes the fleet. A Reviewer finds, by trial packings of the cluster state, which machines
// the fleet lacks and which it can do without; it belongs to the scheduler's goroutine. An Autoscaler is the
// actor that owns the fleet's desired size and alone speaks to the cloud: it scales out after sustained
// demand in bounded steps, and scales in one machine at a time.
//
// Every step is durable before it is carried out: the desired size with the term and the names of the launch
// requests in one guarded commit, so that a repeated or late request launches nothing twice.
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
	// mailboxSize bounds the messages that wait for the autoscaler.
	mailboxSize = 256
	// tickPerHeartbeat is the autoscaler's clock, in heartbeat intervals.
	tickPerHeartbeat = 0.15
	// cloudShare of the cloud's request budget is used.
	cloudShare = 0.8
)

// Cloud is the interface to the cloud.
type Cloud interface {
	// MachineTypes returns the machine types with their present prices.
	MachineTypes(ctx context.Context) ([]storage.MachineType, error)
	// Launch launches machines under a request's name, and returns the numbers of those that were
	// launched. A repeated request launches nothing more.
	Launch(ctx context.Context, name string, launch storage.LaunchRecord) ([]int, error)
	// Terminate terminates machines; when it returns without an error, they are gone with all on them.
	Terminate(ctx context.Context, machines []int) error
	// List returns a page of the machines after one of that number, or with NoMachine from the first.
	List(ctx context.Context, after int, limit int) (machines []cloud.Machine, more bool, err error)
}

// Journal makes records durable. *storage.Journal is one.
type Journal interface {
	Append(ctx context.Context, b storage.Batch)
}

// Scheduler is told what the cloud has answered. Its methods don't wait for what follows from it.
type Scheduler interface {
	HandleMachineTypes(types []storage.MachineType)
	HandleMachineList(machines []cloud.Machine)
	HandleLaunched(launch storage.LaunchRecord, machines []int)
	HandleRejected(o cloud.Offering)
	HandleTerminated(machines []int)
	// HandleSurplus asks for a machine to be drained; DrainCompleted is called once that is over.
	HandleSurplus(m SurplusMachine)
}

// Config is what an Autoscaler is made of.
type Config struct {
	Settings  *config.Settings
	Cloud     Cloud
	Journal   Journal
	Scheduler Scheduler
	Term      uint64
	Desired   int                             // the desired size that is recorded
	Launches  map[string]storage.LaunchRecord // launch requests that are recorded and not yet answered
	Done      <-chan struct{}                 // closed when the term ends
	Log       *slog.Logger
}

// Autoscaler is the actor that owns the fleet's desired size.
type Autoscaler struct {
	settings  *config.Settings
	cloud     Cloud
	journal   Journal
	scheduler Scheduler
	term      uint64
	log       *slog.Logger
	mailbox   chan message
	done      <-chan struct{}
	limiter   *rate.Limiter
	calls     sync.WaitGroup // calls of the cloud in flight, which Run awaits
	started   time.Time

	// The desired size and the steps towards it.
	desired    int
	launches   map[string]*launch // requests that aren't answered yet
	lastLaunch int
	recording  bool // a step is being recorded

	// What steps wait for.
	demandSince   time.Time
	healthySince  time.Time
	cooldownUntil time.Time
	backOffUntil  time.Time

	// Scaling in.
	surplus         []SurplusMachine // to be drained one after the other, as of the last snapshot
	drainCompleted  bool             // the last drain is over
	drainsRequested int
	size            int // of the fleet, as of the last snapshot, less what was drained since
	toTerminate     []int
	terminating     bool // a termination request is under way

	// Polling the cloud.
	listing      bool
	lastList     time.Time
	listPages    int // that the last list took
	readingTypes bool
	lastTypes    time.Time
}

// launch is a launch request.
type launch struct {
	storage.LaunchRecord
	durable bool
	sending bool
	retryAt time.Time
}

// New makes an autoscaler for a term; Run starts it.
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
		limiter:   rate.NewLimiter(rate.Limit(c.Settings.CloudRPS*cloudShare), max(1, int(c.Settings.CloudRPS*cloudShare))),
		started:   time.Now(),

		desired:        c.Desired,
		launches:       make(map[string]*launch),
		drainCompleted: true,
	}
	for name, record := range c.Launches {
		a.launches[name] = &launch{LaunchRecord: record, durable: true}
	}
	return a
}

// message is what the autoscaler is told. Each has one handler.
type message interface {
	handle(ctx context.Context, a *Autoscaler, now time.Time)
}

// post sends a message, unless the term ends.
func (a *Autoscaler) post(m message) {
	select {
	case a.mailbox <- m:
	case <-a.done:
	}
}

// HandleSnapshot hands the autoscaler a snapshot of the fleet. It may be called from any goroutine, like the
// other methods that tell it something.
func (a *Autoscaler) HandleSnapshot(s Snapshot) { a.post(snapshotMessage{s}) }

// Terminate has machines terminated, which must be recorded as terminating.
func (a *Autoscaler) Terminate(machines []int) { a.post(terminateMessage{machines}) }

// DrainCompleted tells that the last drain asked for is over.
func (a *Autoscaler) DrainCompleted() { a.post(drainCompletedMessage{}) }

// Run serves until ctx ends.
func (a *Autoscaler) Run(ctx context.Context) error {
	tick := time.NewTicker(clock.Scale(a.settings.HeartbeatInterval, tickPerHeartbeat))
	defer tick.Stop()
	cooldown := time.NewTimer(0) // ends the pause after a drain
	defer cooldown.Stop()
	defer a.calls.Wait() // ctx ends them
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

// handle scales out after sustained demand in bounded steps, and scales in one drained machine at a time after a
// healthy window and a cooldown.
func (m snapshotMessage) handle(ctx context.Context, a *Autoscaler, now time.Time) {
	s := m.snapshot
	// The machines must first report to a new leader; the very first leader has none to wait for.
	starting := a.term > 1 && now.Sub(a.started) < a.settings.HeartbeatInterval
	frozen := now.Before(a.backOffUntil) || starting || !s.MachinesListed
	a.updateWindows(&s, frozen, now)
	a.surplus, a.size = nil, s.Size
	if s.DrainsRequested == a.drainsRequested { // an older snapshot doesn't know of the last drain
		a.drainCompleted = !s.Draining
	}
	sustained := len(s.Desired) > 0 && now.Sub(a.demandSince) >= a.settings.Tuning.ScaleOutWindow
	healthy := !s.Draining && !a.healthySince.IsZero() && now.Sub(a.healthySince) >= a.settings.Tuning.ScaleInWindow
	switch {
	case frozen || a.recording || len(a.launches) > 0:
	case sustained && s.NonOpportunistic > 0:
		a.scaleOut(ctx, s, now)
		a.cooldownUntil = now.Add(a.settings.Tuning.Cooldown)
	case healthy && len(s.Surplus) > 0:
		a.surplus = s.Surplus
	case sustained:
		a.scaleOut(ctx, s, now)
	}
}

// updateWindows notes since when there has been demand, and since when all machines have been healthy. Demand bars
// scaling in while it lasts, and for a cooldown after a step, unless it is of opportunistic work alone.
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

// scaleOut records the new size with the term and the launch requests in one guarded commit; the requests are
// sent after that.
func (a *Autoscaler) scaleOut(ctx context.Context, s Snapshot, now time.Time) {
	n := min(len(s.Desired), a.settings.Tuning.MaxScaleOut(s.Size))
	// What boots longest is needed first.
	slices.SortStableFunc(s.Desired, func(x, y cloud.Offering) int {
		return cmp.Compare(s.BootSeconds[y.Type], s.BootSeconds[x.Type])
	})
	a.desired = s.Size + n
	var names []string
	records := a.fleetRecords()
	for _, request := range launchesFor(s.Desired[:n]) {
		a.lastLaunch++
		name := fmt.Sprintf("r-%d-%d", a.term, a.lastLaunch)
		record, err := storage.NewRecord(storage.LaunchKey(name), request)
		if err != nil {
			a.log.Error("record encoding failed", "key", storage.LaunchKey(name), "error", err)
			continue
		}
		a.launches[name] = &launch{LaunchRecord: request}
		names = append(names, name)
		records = append(records, record)
		a.log.Info("scale-out requested", "launch", name, "type", request.Type, "zone", request.Zone, "spot", request.Spot, "count", request.Count, "desired", a.desired)
	}
	a.demandSince = now // what is still missing must last for another window
	a.record(ctx, records, recordedMessage{launches: names})
}

// launchesFor gathers the desired machines into launch requests, in the order of their first mention, none larger
// than the cloud takes.
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

// scaleIn has the next surplus machine drained, once the one before it is. Each step is one machine and one
// guarded commit of size and term.
func (a *Autoscaler) scaleIn(ctx context.Context, now time.Time) {
	if len(a.surplus) == 0 || !a.drainCompleted || a.recording || now.Before(a.cooldownUntil) {
		return
	}
	next := a.surplus[0]
	a.surplus = a.surplus[1:]
	a.drainCompleted = false
	a.cooldownUntil = now.Add(a.settings.Tuning.CooldownFor(a.size))
	a.size--
	a.desired = a.size
	a.log.Info("scale-in requested", "machine", next.Machine, "desired", a.desired)
	a.record(ctx, a.fleetRecords(), recordedMessage{drain: &next})
}

// fleetRecords is the record of the desired size.
func (a *Autoscaler) fleetRecords() []storage.Record {
	record, err := storage.NewRecord(storage.FleetKey, storage.FleetRecord{Desired: a.desired, Term: a.term})
	if err != nil {
		a.log.Error("record encoding failed", "key", storage.FleetKey, "error", err)
	}
	return []storage.Record{record}
}

// record makes a step durable, and then brings a message back.
func (a *Autoscaler) record(ctx context.Context, records []storage.Record, then recordedMessage) {
	a.recording = true
	a.journal.Append(ctx, storage.Batch{Records: records, Ack: func(err error) {
		then.err = err
		a.post(then)
	}})
}

// recordedMessage tells that a step is durable, or that its commit failed.
type recordedMessage struct {
	launches []string
	drain    *SurplusMachine
	err      error
}

func (m recordedMessage) handle(_ context.Context, a *Autoscaler, _ time.Time) {
	a.recording = false
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
