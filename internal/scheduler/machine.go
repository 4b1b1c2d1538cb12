package scheduler

import (
	"sort"
	"time"

	"sagevale/internal/clock"
	"sagevale/internal/failures"
	"sagevale/internal/fencing"
	"sagevale/internal/storage"
	"sagevale/internal/worker"
)

// machine is one rented machine, as far as this term knows it. The dispatcher
// owns it.
type machine struct {
	id          int
	addr        string
	typeName    string
	zone        string
	spot        bool
	machineType *storage.MachineType

	incarnation, seq, token uint64
	lastContact             time.Time           // the last newer report, or answer to a direct command
	lastHeartbeat           time.Time           // the last newer report; until there is one, since when we know of it
	lastAcknowledged        time.Time           // the last report that was answered 200
	confirmed               bool                // has reported under this term's token
	expiredIncarnation      uint64              // a session that has surely ended
	exited                  []worker.TaskReport // exited tasks in the last report
	orphans                 []worker.TaskReport // live tasks without a booking
	recorded                bool                // its record is durable or on its way

	firstSeen            time.Time // first known of; the rental, if that was seen
	provisioningObserved bool      // that is the rental, and it isn't known yet what becomes of it
	listedAt             time.Time // last seen in the cloud's list
	failed               bool
	drainReason          string // why nothing more is placed here; "" if ready
	terminating          bool   // the cloud has been or will be told to take it
	preemptionAt         time.Time

	attempts  map[worker.TaskID]*attempt
	reserved  *storage.Resources                        // by all attempts, as reserved
	running   [storage.Production + 1]storage.Resources // by attempts of each priority that aren't being stopped
	stopping  storage.Resources                         // by those that are
	idleSince time.Time                                 // since when it has none
	fence     *fencing.Fence[attemptKey]                // its token, and the ended attempts that it must remember
	images    map[string]image

	inFlight         int // direct orders not yet answered
	failures         failures.Machine
	unresponsive     bool // didn't do as it was told when that was last looked at
	lostIncarnations int  // sessions lost while its reports came
	quarantinedUntil time.Time
}

// image is a cached image, as reckoned from what ran.
type image struct {
	sizeGB   float64
	lastUsed time.Time
}

func newMachine(id int, tokens fencing.Tokens, now time.Time) *machine {
	return &machine{
		id: id, firstSeen: now, idleSince: now, lastHeartbeat: now,
		attempts: make(map[worker.TaskID]*attempt),
		fence:    fencing.New[attemptKey](tokens),
		images:   make(map[string]image),
	}
}

// stale tells whether a report is a late copy of one already seen.
func (m *machine) stale(r *worker.Report) bool {
	return r.Incarnation < m.incarnation || r.Incarnation == m.incarnation && r.Seq <= m.seq
}

// ready tells whether tasks may be placed on the machine. Answers to direct
// commands alone don't make it so: where no report comes through, the lease runs
// out, however well the machine can be reached.
func (m *machine) ready(now time.Time, fresh time.Duration) bool {
	return m.confirmed && m.machineType != nil && m.drainReason == "" && !m.terminating && !m.failed &&
		now.Sub(m.lastContact) <= fresh && now.Sub(m.lastHeartbeat) <= fresh && !now.Before(m.quarantinedUntil)
}

// quarantined tells whether the machine is left alone because it fails tasks or
// doesn't hear: its room then helps nobody.
func (m *machine) quarantined(now time.Time) bool {
	return now.Before(m.quarantinedUntil) && (m.lostIncarnations > 0 || m.failures.Suspected() || m.unresponsive)
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
	if m.machineType == nil {
		return
	}
	sum := 0.0
	for _, im := range m.images {
		sum += im.sizeGB
	}
	for sum > m.machineType.CacheGB && len(m.images) > 1 {
		oldest := ""
		for n, im := range m.images {
			if n != name && (oldest == "" || im.lastUsed.Before(m.images[oldest].lastUsed)) {
				oldest = n
			}
		}
		sum -= m.images[oldest].sizeGB
		delete(m.images, oldest)
	}
}

// addUsage enters an attempt's room (1), or takes it out (-1).
func (m *machine) addUsage(a *attempt, times int) {
	sum := &m.stopping
	if !a.stopping {
		sum = &m.running[a.job.spec.Priority]
	}
	*sum = sum.Add(a.job.spec.Resources.Mul(times))
}

func (m *machine) record() *storage.MachineRecord {
	rec := &storage.MachineRecord{Addr: m.addr, Type: m.typeName, Zone: m.zone, Spot: m.spot, Incarnation: m.incarnation, Terminating: m.terminating}
	if len(m.images) > 0 {
		rec.Images = make(map[string]float64, len(m.images))
		for name, im := range m.images {
			rec.Images[name] = im.sizeGB
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
		return out[x].number < out[y].number || out[x].number == out[y].number && out[x].task < out[y].task
	})
	return out
}

// brieflyIdle tells whether the machine has had no tasks for a short time only.
func (m *machine) brieflyIdle(now time.Time) bool {
	return len(m.attempts) == 0 && now.Sub(m.idleSince) < clock.Seconds(idlePerBoot*m.machineType.BootS)
}

// idlePerBoot is how long a machine without tasks is kept, in times of its boot:
// one that is needed again boots, and is paid for, that long.
const idlePerBoot = 0.25

// clearFailures takes back what a job has failed on the machine, and ends the pause if it was for
// that.
func (m *machine) clearFailures(j *job) {
	paused := m.failures.AtFault()
	m.failures.Clear(j.spec.ID)
	if paused && !m.failures.AtFault() && m.lostIncarnations == 0 && !m.unresponsive {
		m.quarantinedUntil = time.Time{}
	}
}
