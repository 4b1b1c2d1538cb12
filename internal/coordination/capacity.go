package coordination

import (
	"cmp"
	"context"
	"fmt"
	"log/slog"
	"slices"
	"time"

	"golang.org/x/time/rate"

	"sagevale/internal/storage"
)

const (
	// cloudShare of the cloud's request budget is used.
	cloudShare = 0.8
	// listsPerLag is how often the machine list is read within its lag, as far as
	// listShare of the requests allows.
	listsPerLag = 2
	listShare   = 0.5
	// catalogueLeases is how often the catalogue is read again.
	catalogueLeases = 5
	// returnBatch is how many machines one deletion names at the most, the
	// cloud's limit.
	returnBatch = 100
	// maxRental is how many machines one rental names at the most, the cloud's limit.
	maxRental = 50
	// listPage is the cloud's largest page.
	listPage = 500
)

// capacity is the actor that owns the fleet's desired size. It grows and
// shrinks in bounded steps and alone speaks to the cloud.
type capacity struct {
	settings *Settings
	cloud    Cloud
	term     uint64
	dispatch *dispatcher
	journal  *storage.Journal
	log      *slog.Logger
	mailbox  chan any
	limiter  *rate.Limiter
	ctx      context.Context

	began        time.Time
	desired      int
	rentals      map[string]*rental // recorded, not yet answered
	nextRental   int
	recording    bool // a step is being recorded
	upSince      time.Time
	healthySince time.Time
	coolTill     time.Time
	frozenTill   time.Time
	surplus      []surplusMachine // to be drained one after the other, as of the last snapshot
	drained      bool             // the last drain is over
	drains       int              // how many were asked for
	size         int              // of the fleet, as of the last snapshot, less what was drained since
	toReturn     []int            // to be asked of the cloud
	returning    bool             // a deletion is on its way
	listing      bool
	lastList     time.Time
	listPages    int // that the last list took
	pricing      bool
	lastPrices   time.Time
}

type rental struct {
	storage.LaunchRecord
	durable bool
	asking  bool
	retryAt time.Time
}

// Messages to the capacity actor.
type (
	snapshotMsg struct{ snapshot fleetSnapshot }
	returnMsg   struct{ machines []int }
	recordedMsg struct {
		rentals []string
		drain   *surplusMachine
		err     error
	}
	rentalAnswer struct {
		name     string
		machines []int
		err      error
	}
	drainedMsg   struct{} // the last drain asked for is over
	returnAnswer struct {
		machines []int
		err      error
	}
	listAnswer struct {
		machines []ListedMachine
		pages    int
		err      error
	}
	pricesAnswer struct {
		types []storage.MachineType
		err   error
	}
)

func newCapacity(s *Settings, deps Dependencies, term uint64, d *dispatcher, journal *storage.Journal, log *slog.Logger) *capacity {
	c := &capacity{
		settings: s, cloud: deps.Cloud, term: term, dispatch: d, journal: journal, log: log,
		mailbox: make(chan any, 256),
		limiter: rate.NewLimiter(rate.Limit(s.CloudRPS*cloudShare), max(1, int(s.CloudRPS*cloudShare))),
		began:   time.Now(), desired: d.desired,
		rentals: make(map[string]*rental), drained: true,
	}
	for name, h := range d.rentals {
		c.rentals[name] = &rental{LaunchRecord: h, durable: true}
	}
	return c
}

func (c *capacity) post(m any) {
	select {
	case c.mailbox <- m:
	case <-c.dispatch.closed:
	case <-c.dispatch.ctx.Done():
	}
}

func (c *capacity) run(ctx context.Context) error {
	tick := time.NewTicker(scale(c.settings.HeartbeatInterval, tickPerReport))
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
		c.sendRentals(now)
		if c.shrink(now); len(c.surplus) > 0 && now.Before(c.coolTill) {
			cool.Reset(c.coolTill.Sub(now))
		}
	}
}

func (c *capacity) handle(m any) {
	now := time.Now()
	switch m := m.(type) {
	case snapshotMsg:
		c.reconcile(m.snapshot, now)
	case returnMsg:
		c.returnMachines(m.machines)
	case recordedMsg:
		c.recorded(m, now)
	case rentalAnswer:
		c.handleRental(m, now)
	case drainedMsg:
		c.drained = true
	case returnAnswer:
		c.returning = false
		if m.err != nil {
			c.freeze("return", m.err, now)
			return
		}
		c.dispatch.post(returnedMsg{m.machines})
		c.returnMachines(nil)
	case listAnswer:
		c.listing, c.listPages = false, m.pages
		if m.err != nil {
			c.freeze("list", m.err, now)
			return
		}
		c.dispatch.post(listMsg{m.machines})
	case pricesAnswer:
		c.pricing = false
		if m.err != nil {
			c.freeze("catalogue", m.err, now)
			c.lastPrices = now.Add(-catalogueLeases*c.settings.WorkerLease + c.settings.HeartbeatInterval)
			return
		}
		c.dispatch.post(catalogueMsg{m.types})
	default:
		c.log.Error("unknown message", "type", fmt.Sprintf("%T", m))
	}
}

// reconcile follows the design: growth after sustained pressure in bounded
// steps, one drained machine at a time after a healthy window and a cooldown.
func (c *capacity) reconcile(v fleetSnapshot, now time.Time) {
	// A new leader first hears the machines; the very first has none to hear.
	fresh := c.term > 1 && now.Sub(c.began) < c.settings.HeartbeatInterval
	frozen := now.Before(c.frozenTill) || fresh || !v.settled
	if len(v.wanted) == 0 {
		c.upSince = time.Time{}
	} else if c.upSince.IsZero() {
		c.upSince = now
	}
	// Pressure bars a shrink while it lasts, and for a cooldown after a step, but that of
	// opportunistic work doesn't; the window is one of healthy reports.
	if !v.healthy || frozen {
		c.healthySince = time.Time{}
	} else if c.healthySince.IsZero() {
		c.healthySince = now
	}
	c.surplus, c.size = nil, v.size
	if v.drains == c.drains { // an older snapshot doesn't know of the last drain
		c.drained = !v.draining
	}
	pressed := len(v.wanted) > 0 && now.Sub(c.upSince) >= c.settings.Tuning.ScaleOutWindow
	healthy := !v.draining && !c.healthySince.IsZero() && now.Sub(c.healthySince) >= c.settings.Tuning.ScaleInWindow
	switch {
	case frozen || c.recording || len(c.rentals) > 0:
	case pressed && v.hurried > 0:
		c.grow(v, now)
		c.coolTill = now.Add(c.settings.Tuning.Cooldown)
	case healthy && len(v.surplus) > 0:
		c.surplus = v.surplus
	case pressed:
		c.grow(v, now)
	}
}

// grow records the new size with the term and the names of the rentals in one
// conditional write, and asks the cloud after that.
func (c *capacity) grow(v fleetSnapshot, now time.Time) {
	n := min(len(v.wanted), c.settings.Tuning.growBound(v.size))
	// What boots longest is needed first.
	slices.SortStableFunc(v.wanted, func(a, b offer) int { return cmp.Compare(v.boots[b.kind], v.boots[a.kind]) })
	c.desired = v.size + n
	var names []string
	records := []storage.Record{c.fleetRecord()}
	for _, h := range rentalsFor(v.wanted[:n]) {
		c.nextRental++
		name := fmt.Sprintf("r-%d-%d", c.term, c.nextRental)
		rec, err := storage.NewRecord(storage.LaunchKey(name), h)
		if err != nil {
			c.log.Error("rental not encoded", "err", err)
			continue
		}
		c.rentals[name] = &rental{LaunchRecord: h}
		names = append(names, name)
		records = append(records, rec)
		c.log.Info("grow", "rental", name, "type", h.Type, "zone", h.Zone, "spot", h.Spot, "count", h.Count, "desired", c.desired)
	}
	c.upSince = now // what is still missing must hold for another window
	c.record(records, recordedMsg{rentals: names})
}

// shrink has the next surplus machine drained, once the one before it is. Each
// step is one machine and one conditional write of size and term.
func (c *capacity) shrink(now time.Time) {
	if len(c.surplus) == 0 || !c.drained || c.recording || now.Before(c.coolTill) {
		return
	}
	next := c.surplus[0]
	c.surplus = c.surplus[1:]
	c.drained = false
	c.coolTill = now.Add(c.settings.Tuning.cooldown(c.size))
	c.size--
	c.desired = c.size
	c.log.Info("shrink", "machine", next.machine, "desired", c.desired)
	c.record([]storage.Record{c.fleetRecord()}, recordedMsg{drain: &next})
}

func (c *capacity) fleetRecord() storage.Record {
	rec, err := storage.NewRecord(storage.FleetKey, storage.FleetRecord{Desired: c.desired, Term: c.term})
	if err != nil {
		c.log.Error("fleet not encoded", "err", err)
	}
	return rec
}

func (c *capacity) record(records []storage.Record, then recordedMsg) {
	c.recording = true
	c.journal.Append(c.ctx, storage.Batch{Records: records, Ack: func(err error) {
		then.err = err
		c.post(then)
	}})
}

func (c *capacity) recorded(m recordedMsg, now time.Time) {
	c.recording = false
	if m.err != nil {
		c.drained = true
		return
	}
	for _, name := range m.rentals {
		if h := c.rentals[name]; h != nil {
			h.durable = true
		}
	}
	if m.drain != nil {
		c.drains++
		c.dispatch.post(drainMsg{*m.drain, "spare"})
	}
}
