package cluster

import (
	"cmp"
	"slices"
	"time"

	"sagevale/internal/clock"
	"sagevale/internal/cloud"
	"sagevale/internal/failures"
	"sagevale/internal/fencing"
	"sagevale/internal/storage"
	"sagevale/internal/worker"
)

// Machine is a machine of the fleet, as far as this term knows it.
type Machine struct {
	ID       int
	Addr     string // of its worker, for commands
	TypeName string
	Zone     string
	Spot     bool
	Type     *storage.MachineType // nil: the type isn't known

	// What the worker's newest report tells.
	Incarnation, Seq, Token uint64
	LastContact             time.Time           // of the last newer report, with a heartbeat or as the answer to commands
	LastHeartbeat           time.Time           // of the last newer heartbeat; until there is one, when it was first known
	LastAcknowledged        time.Time           // of the last heartbeat that was accepted: its lease counts from there
	Confirmed               bool                // it has reported under a token of this term
	ExpiredIncarnation      uint64              // an incarnation whose lease is proved to have expired
	Exited                  []worker.TaskReport // exited tasks in the last report
	Orphans                 []worker.TaskReport // live tasks without an attempt
	PreemptionAt            time.Time           // when the cloud takes it, by its notice; zero: no notice

	// What the cloud and the autoscaler tell.
	FirstSeen            time.Time // when it was launched, if that was seen
	ProvisioningObserved bool      // its launch was seen, and it has neither come up nor been abandoned
	ListedAt             time.Time // when the cloud last listed it
	Failed               bool      // the cloud lists it as failed
	DrainReason          string    // why nothing more is placed here; "": not draining
	Terminating          bool      // the cloud has been, or will be, told to terminate it

	Attempts      map[worker.TaskID]*Attempt
	Reserved      *storage.Resources                        // by all attempts
	RunningUsage  [storage.Production + 1]storage.Resources // by attempts of each priority that aren't being stopped
	StoppingUsage storage.Resources                         // by attempts that are being stopped
	IdleSince     time.Time                                 // since when it has no attempts
	Fence         *fencing.Fence[AttemptKey]                // its fencing token, and the exited attempts that it must remember
	Images        map[string]Image
	Recorded      bool // its record is durable or on its way

	InFlight         int // commands that were sent directly and not yet answered
	Failures         failures.Machine
	Unresponsive     bool // its heartbeats come, but it doesn't execute commands
	LostIncarnations int  // leases that expired while its heartbeats came
	QuarantinedUntil time.Time
}

// Image is a cached image, by what ran on the machine.
type Image struct {
	SizeGB   float64
	LastUsed time.Time
}

func newMachine(id int, tokens fencing.Tokens, now time.Time) *Machine {
	return &Machine{
		ID:            id,
		FirstSeen:     now,
		IdleSince:     now,
		LastHeartbeat: now,
		Attempts:      make(map[worker.TaskID]*Attempt),
		Fence:         fencing.New[AttemptKey](tokens),
		Images:        make(map[string]Image),
	}
}

// Offering is what the machine was launched as.
func (m *Machine) Offering() cloud.Offering {
	return cloud.Offering{Type: m.TypeName, Zone: m.Zone, Spot: m.Spot}
}

// Stale reports whether a report is a late copy of one already seen.
func (m *Machine) Stale(r *worker.Report) bool {
	return r.Incarnation < m.Incarnation || r.Incarnation == m.Incarnation && r.Seq <= m.Seq
}

// Ready reports whether tasks may be placed on the machine; reports count for the time fresh. Answers to
// direct commands alone don't make it ready: where no heartbeat comes through, the lease expires,
// however well the machine can be reached.
func (m *Machine) Ready(now time.Time, fresh time.Duration) bool {
	return m.Confirmed && m.Type != nil && m.DrainReason == "" && !m.Terminating && !m.Failed &&
		now.Sub(m.LastContact) <= fresh && now.Sub(m.LastHeartbeat) <= fresh && !now.Before(m.QuarantinedUntil)
}

// Quarantined reports whether the machine is set aside because it fails tasks, loses its leases or doesn't
// execute commands: its free resources then help nobody.
func (m *Machine) Quarantined(now time.Time) bool {
	return now.Before(m.QuarantinedUntil) && (m.LostIncarnations > 0 || m.Failures.Suspected() || m.Unresponsive)
}

// IdlePerBoot is for how long a machine counts as briefly idle, in nominal boot times: one that is needed
// again boots, and is paid for, that long.
const IdlePerBoot = 0.25

// BrieflyIdle reports whether the machine has had no attempts for a short time only.
func (m *Machine) BrieflyIdle(now time.Time) bool {
	return len(m.Attempts) == 0 && now.Sub(m.IdleSince) < clock.Seconds(IdlePerBoot*m.Type.BootS)
}

// ClearFailures clears the machine of a job's failures, and ends the quarantine if it was for them.
func (m *Machine) ClearFailures(j *Job) {
	wasAtFault := m.Failures.AtFault()
	m.Failures.Clear(j.Spec.ID)
	if wasAtFault && !m.Failures.AtFault() && m.LostIncarnations == 0 && !m.Unresponsive {
		m.QuarantinedUntil = time.Time{}
	}
}

// UseImage notes that an image is in use, and evicts the least recently used ones beyond the cache. An
// image that is new here changes the machine's record.
func (m *Machine) UseImage(name string, sizeGB float64, now time.Time) {
	if name == "" {
		return
	}
	if _, ok := m.Images[name]; !ok {
		m.Recorded = false
	}
	m.Images[name] = Image{SizeGB: sizeGB, LastUsed: now}
	if m.Type == nil {
		return
	}
	cached := 0.0
	for _, image := range m.Images {
		cached += image.SizeGB
	}
	for cached > m.Type.CacheGB && len(m.Images) > 1 {
		oldest := m.leastRecentlyUsed(name)
		cached -= m.Images[oldest].SizeGB
		delete(m.Images, oldest)
	}
}

// leastRecentlyUsed returns the image that was used least recently, other than one.
func (m *Machine) leastRecentlyUsed(other string) string {
	oldest := ""
	for name, image := range m.Images {
		if name != other && (oldest == "" || image.LastUsed.Before(m.Images[oldest].LastUsed)) {
			oldest = name
		}
	}
	return oldest
}

// addUsage adds an attempt's resources to the machine's usage (sign 1), or takes them out (-1).
func (m *Machine) addUsage(a *Attempt, sign int) {
	usage := &m.StoppingUsage
	if !a.Stopping {
		usage = &m.RunningUsage[a.Job.Spec.Priority]
	}
	*usage = usage.Add(a.Job.Spec.Resources.Mul(sign))
}

// SortedAttempts returns the attempts by number, and by task within a number.
func (m *Machine) SortedAttempts() []*Attempt {
	attempts := make([]*Attempt, 0, len(m.Attempts))
	for _, a := range m.Attempts {
		attempts = append(attempts, a)
	}
	slices.SortFunc(attempts, func(a, b *Attempt) int {
		return cmp.Or(cmp.Compare(a.Number, b.Number), cmp.Compare(a.Task, b.Task))
	})
	return attempts
}

// Record returns the machine's record.
func (m *Machine) Record() *storage.MachineRecord {
	record := &storage.MachineRecord{
		Addr: m.Addr, Type: m.TypeName, Zone: m.Zone, Spot: m.Spot,
		Incarnation: m.Incarnation, Terminating: m.Terminating,
	}
	if len(m.Images) > 0 {
		record.Images = make(map[string]float64, len(m.Images))
		for name, image := range m.Images {
			record.Images[name] = image.SizeGB
		}
	}
	return record
}
