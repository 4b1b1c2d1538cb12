package scheduler

import (
	"cmp"
	"context"
	"fmt"
	"log/slog"
	"slices"
	"time"

	"golang.org/x/time/rate"

	"sagevale/internal/clock"
	"sagevale/internal/cloud"
	"sagevale/internal/config"
	"sagevale/internal/storage"
)

const (
	// cloudShare of the cloud's request budget is used.
	cloudShare = 0.8
	// listsPerLag is how often the machine list is read within its lag, as far as
	// listShare of the requests allows.
	listsPerLag = 2
	listShare   = 0.5
	// machineTypesLeases is how often the catalogue is read again.
	machineTypesLeases = 5
	// maxTerminate is how many machines one deletion names at the most, the
	// cloud's limit.
	maxTerminate = 100

	// listPage is the cloud's largest page.
	listPage = 500
)

// autoscaler is the actor that owns the fleet's desired size. It grows and
// shrinks in bounded steps and alone speaks to the cloud.
type autoscaler struct {
	settings  *config.Settings
	cloud     Cloud
	term      uint64
	scheduler *scheduler
	journal   *storage.Journal
	log       *slog.Logger
	mailbox   chan any
	limiter   *rate.Limiter
	ctx       context.Context

	began           time.Time
	desired         int
	launches        map[string]*launch // recorded, not yet answered
	lastLaunch      int
	recording       bool // a step is being recorded
	pressureSince   time.Time
	healthySince    time.Time
	cooldownUntil   time.Time
	backOffUntil    time.Time
	surplus         []surplusMachine // to be drained one after the other, as of the last snapshot
	drainCompleted  bool             // the last drain is over
	drainsRequested int              // how many were asked for
	size            int              // of the fleet, as of the last snapshot, less what was drained since
	toTerminate     []int            // to be asked of the cloud
	terminating     bool             // a deletion is on its way
	listing         bool
	lastList        time.Time
	listPages       int // that the last list took
	pricing         bool
	lastPrices      time.Time
}

type launch struct {
	storage.LaunchRecord
	durable bool
	asking  bool
	retryAt time.Time
}

// Messages to the capacity actor.
type (
	snapshotMsg  struct{ snapshot fleetSnapshot }
	terminateMsg struct{ machines []int }
	recordedMsg  struct {
		launches []string
		drain    *surplusMachine
		err      error
	}
	launchAnswer struct {
		name     string
		machines []int
		err      error
	}
	drainedMsg      struct{} // the last drain asked for is over
	terminateAnswer struct {
		machines []int
		err      error
	}
	listAnswer struct {
		machines []cloud.Machine
		pages    int
		err      error
	}
	typesAnswer struct {
		types []storage.MachineType
		err   error
	}
)

func newAutoscaler(s *config.Settings, deps Dependencies, term uint64, d *scheduler, journal *storage.Journal, log *slog.Logger) *autoscaler {
	c := &autoscaler{
		settings: s, cloud: deps.Cloud, term: term, scheduler: d, journal: journal, log: log,
		mailbox: make(chan any, 256),
		limiter: rate.NewLimiter(rate.Limit(s.CloudRPS*cloudShare), max(1, int(s.CloudRPS*cloudShare))),
		began:   time.Now(), desired: d.desired,
		launches: make(map[string]*launch), drainCompleted: true,
	}
	for name, h := range d.openLaunches {
		c.launches[name] = &launch{LaunchRecord: h, durable: true}
	}
	return c
}

func (c *autoscaler) post(m any) {
	select {
	case c.mailbox <- m:
	case <-c.scheduler.closed:
	case <-c.scheduler.lifetime.Done():
	}
}

func (c *autoscaler) run(ctx context.Context) error {
	tick := time.NewTicker(clock.Scale(c.settings.HeartbeatInterval, tickPerHeartbeat))
	defer tick.Stop()
	cool := time.NewTimer(0) // ends the pause after a drain
	defer cool.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case m := <-c.mailbox:
			c.handle(m)
		case <-tick.C:
		case <-cool.C:
		}
		now := time.Now()
		c.poll(now)
		c.sendLaunches(now)
		if c.scaleIn(now); len(c.surplus) > 0 && now.Before(c.cooldownUntil) {
			cool.Reset(c.cooldownUntil.Sub(now))
		}
	}
}

func (c *autoscaler) handle(m any) {
	now := time.Now()
	switch m := m.(type) {
	case snapshotMsg:
		c.reconcile(m.snapshot, now)
	case terminateMsg:
		c.terminate(m.machines)
	case recordedMsg:
		c.recorded(m, now)
	case launchAnswer:
		c.handleLaunch(m, now)
	case drainedMsg:
		c.drainCompleted = true
	case terminateAnswer:
		c.terminating = false
		if m.err != nil {
			c.backOff("return", m.err, now)
			return
		}
		c.scheduler.post(terminatedMsg{m.machines})
		c.terminate(nil)
	case listAnswer:
		c.listing, c.listPages = false, m.pages
		if m.err != nil {
			c.backOff("list", m.err, now)
			return
		}
		c.scheduler.post(listMsg{m.machines})
	case typesAnswer:
		c.pricing = false
		if m.err != nil {
			c.backOff("catalogue", m.err, now)
			c.lastPrices = now.Add(-machineTypesLeases*c.settings.WorkerLease + c.settings.HeartbeatInterval)
			return
		}
		c.scheduler.post(machineTypesMsg{m.types})
	default:
		c.log.Error("unknown message", "type", fmt.Sprintf("%T", m))
	}
}

// reconcile follows the design: growth after sustained pressure in bounded
// steps, one drained machine at a time after a healthy window and a cooldown.
func (c *autoscaler) reconcile(v fleetSnapshot, now time.Time) {
	// A new leader first hears the machines; the very first has none to hear.
	fresh := c.term > 1 && now.Sub(c.began) < c.settings.HeartbeatInterval
	frozen := now.Before(c.backOffUntil) || fresh || !v.settled
	if len(v.desired) == 0 {
		c.pressureSince = time.Time{}
	} else if c.pressureSince.IsZero() {
		c.pressureSince = now
	}
	// Pressure bars a shrink while it lasts, and for a cooldown after a step, but that of
	// opportunistic work doesn't; the window is one of healthy reports.
	if !v.healthy || frozen {
		c.healthySince = time.Time{}
	} else if c.healthySince.IsZero() {
		c.healthySince = now
	}
	c.surplus, c.size = nil, v.size
	if v.drains == c.drainsRequested { // an older snapshot doesn't know of the last drain
		c.drainCompleted = !v.draining
	}
	pressed := len(v.desired) > 0 && now.Sub(c.pressureSince) >= c.settings.Tuning.ScaleOutWindow
	healthy := !v.draining && !c.healthySince.IsZero() && now.Sub(c.healthySince) >= c.settings.Tuning.ScaleInWindow
	switch {
	case frozen || c.recording || len(c.launches) > 0:
	case pressed && v.nonOpportunistic > 0:
		c.scaleOut(v, now)
		c.cooldownUntil = now.Add(c.settings.Tuning.Cooldown)
	case healthy && len(v.surplus) > 0:
		c.surplus = v.surplus
	case pressed:
		c.scaleOut(v, now)
	}
}

// scaleOut records the new size with the term and the names of the rentals in one
// conditional write, and asks the cloud after that.
func (c *autoscaler) scaleOut(v fleetSnapshot, now time.Time) {
	n := min(len(v.desired), c.settings.Tuning.MaxScaleOut(v.size))
	// What boots longest is needed first.
	slices.SortStableFunc(v.desired, func(a, b cloud.Offering) int {
		return cmp.Compare(v.bootSeconds[b.Type], v.bootSeconds[a.Type])
	})
	c.desired = v.size + n
	var names []string
	records := []storage.Record{c.fleetRecord()}
	for _, h := range launchesFor(v.desired[:n]) {
		c.lastLaunch++
		name := fmt.Sprintf("r-%d-%d", c.term, c.lastLaunch)
		rec, err := storage.NewRecord(storage.LaunchKey(name), h)
		if err != nil {
			c.log.Error("rental not encoded", "err", err)
			continue
		}
		c.launches[name] = &launch{LaunchRecord: h}
		names = append(names, name)
		records = append(records, rec)
		c.log.Info("grow", "rental", name, "type", h.Type, "zone", h.Zone, "spot", h.Spot, "count", h.Count, "desired", c.desired)
	}
	c.pressureSince = now // what is still missing must hold for another window
	c.record(records, recordedMsg{launches: names})
}

// scaleIn has the next surplus machine drained, once the one before it is. Each
// step is one machine and one conditional write of size and term.
func (c *autoscaler) scaleIn(now time.Time) {
	if len(c.surplus) == 0 || !c.drainCompleted || c.recording || now.Before(c.cooldownUntil) {
		return
	}
	next := c.surplus[0]
	c.surplus = c.surplus[1:]
	c.drainCompleted = false
	c.cooldownUntil = now.Add(c.settings.Tuning.CooldownFor(c.size))
	c.size--
	c.desired = c.size
	c.log.Info("shrink", "machine", next.machine, "desired", c.desired)
	c.record([]storage.Record{c.fleetRecord()}, recordedMsg{drain: &next})
}

func (c *autoscaler) fleetRecord() storage.Record {
	rec, err := storage.NewRecord(storage.FleetKey, storage.FleetRecord{Desired: c.desired, Term: c.term})
	if err != nil {
		c.log.Error("fleet not encoded", "err", err)
	}
	return rec
}

func (c *autoscaler) record(records []storage.Record, then recordedMsg) {
	c.recording = true
	c.journal.Append(c.ctx, storage.Batch{Records: records, Ack: func(err error) {
		then.err = err
		c.post(then)
	}})
}

func (c *autoscaler) recorded(m recordedMsg, now time.Time) {
	c.recording = false
	if m.err != nil {
		c.drainCompleted = true
		return
	}
	for _, name := range m.launches {
		if h := c.launches[name]; h != nil {
			h.durable = true
		}
	}
	if m.drain != nil {
		c.drainsRequested++
		c.scheduler.post(drainMsg{*m.drain, "spare"})
	}
}
