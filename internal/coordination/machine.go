package coordination

import (
	"slices"
	"sort"
	"time"

	"sagevale/internal/failures"
	"sagevale/internal/fencing"
	"sagevale/internal/storage"
)

// machine is one rented machine, as far as this term knows it. The dispatcher
// owns it.
type machine struct {
	id   int
	addr string
	kind string
	zone string
	spot bool
	typ  *storage.MachineType

	session, seq, token uint64
	lastHeard           time.Time    // the last newer report, or answer to a direct command
	lastReport          time.Time    // the last newer report; until there is one, since when we know of it
	lastAnswered        time.Time    // the last report that was answered 200
	heard               bool         // has reported under this term's token
	lapsed              uint64       // a session that has surely ended
	ended               []TaskReport // exited tasks in the last report
	orphans             []TaskReport // live tasks without a booking
	recorded            bool         // its record is durable or on its way

	born      time.Time // first known of; the rental, if that was seen
	bornSeen  bool      // that is the rental, and it isn't known yet what becomes of it
	listedAt  time.Time // last seen in the cloud's list
	failed    bool
	draining  string // why nothing more is placed here; "" if ready
	returning bool   // the cloud has been or will be told to take it
	noticeAt  time.Time

	attempts  map[TaskID]*attempt
	booked    *storage.Room                        // by all attempts, as reserved
	live      [storage.Production + 1]storage.Room // by attempts of each priority that aren't being stopped
	stopping  storage.Room                         // by those that are
	idleSince time.Time                            // since when it has none
	fence     *fencing.Fence[taskTry]              // its token, and the ended attempts that it must remember
	images    map[string]image

	inFlight     int // direct orders not yet answered
	failures     failures.Machine
	unresponsive bool // didn't do as it was told when that was last looked at
	lapses       int  // sessions lost while its reports came
	pauseTill    time.Time
}

// image is a cached image, as reckoned from what ran.
type image struct {
	gb   float64
	used time.Time
}

func newMachine(id int, tokens fencing.Tokens, now time.Time) *machine {
	return &machine{
		id: id, born: now, idleSince: now, lastReport: now,
		attempts: make(map[TaskID]*attempt),
		fence:    fencing.New[taskTry](tokens),
		images:   make(map[string]image),
	}
}

// stale tells whether a report is a late copy of one already seen.
func (m *machine) stale(r *Report) bool {
	return r.Session < m.session || r.Session == m.session && r.Seq <= m.seq
}

// ready tells whether tasks may be placed on the machine. Answers to direct
// commands alone don't make it so: where no report comes through, the lease runs
// out, however well the machine can be reached.
func (m *machine) ready(now time.Time, fresh time.Duration) bool {
	return m.heard && m.typ != nil && m.draining == "" && !m.returning && !m.failed &&
		now.Sub(m.lastHeard) <= fresh && now.Sub(m.lastReport) <= fresh && !now.Before(m.pauseTill)
}

// inTrouble tells whether the machine is left alone because it fails tasks or
// doesn't hear: its room then helps nobody.
func (m *machine) inTrouble(now time.Time) bool {
	return now.Before(m.pauseTill) && (m.lapses > 0 || m.failures.Suspected() || m.unresponsive)
}

// useImage notes that an image is in use and forgets the least recently used
// ones beyond the cache. An image that is new here is to be recorded.
func (m *machine) useImage(name string, gb float64, now time.Time) {
	if name == "" {
		return
	}
	if _, ok := m.images[name]; !ok {
		m.recorded = false
	}
	m.images[name] = image{gb, now}
	if m.typ == nil {
		return
	}
	sum := 0.0
	for _, im := range m.images {
		sum += im.gb
	}
	for sum > m.typ.CacheGB && len(m.images) > 1 {
		oldest := ""
		for n, im := range m.images {
			if n != name && (oldest == "" || im.used.Before(m.images[oldest].used)) {
				oldest = n
			}
		}
		sum -= m.images[oldest].gb
		delete(m.images, oldest)
	}
}

// hold enters an attempt's room (1), or takes it out (-1).
func (m *machine) hold(a *attempt, times int) {
	sum := &m.stopping
	if !a.stop {
		sum = &m.live[a.job.spec.Priority]
	}
	*sum = sum.Plus(a.job.spec.Room.Times(times))
}

func (m *machine) record() *storage.MachineRecord {
	rec := &storage.MachineRecord{Addr: m.addr, Type: m.kind, Zone: m.zone, Spot: m.spot, Incarnation: m.session, Terminating: m.returning}
	if len(m.images) > 0 {
		rec.Images = make(map[string]float64, len(m.images))
		for name, im := range m.images {
			rec.Images[name] = im.gb
		}
	}
	return rec
}

// sortedAttempts returns the attempts in a steady order.
func (m *machine) sortedAttempts() []*attempt {
	out := make([]*attempt, 0, len(m.attempts))
	for _, a := range m.attempts {
		out = append(out, a)
	}
	sort.Slice(out, func(x, y int) bool {
		return out[x].try < out[y].try || out[x].try == out[y].try && out[x].task < out[y].task
	})
	return out
}

// machine returns the machine of that number, made known if need be.
func (d *dispatcher) machine(id int) *machine {
	m := d.machines[id]
	if m == nil {
		m = newMachine(id, d.tokens, time.Now())
		m.booked = d.reservations.Machine(id)
		d.machines[id] = m
		i, _ := d.position(id)
		d.order = slices.Insert(d.order, i, m)
	}
	return m
}

// dropMachine forgets a machine.
func (d *dispatcher) dropMachine(m *machine) {
	delete(d.machines, m.id)
	if i, ok := d.position(m.id); ok {
		d.order = slices.Delete(d.order, i, i+1)
	}
}

// position finds a machine in the order by number, or where it would stand.
func (d *dispatcher) position(id int) (int, bool) {
	return slices.BinarySearchFunc(d.order, id, func(m *machine, id int) int { return m.id - id })
}
