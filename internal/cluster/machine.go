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

// Machine holds what the leader has learned during this term about a machine of the fleet.
type Machine struct {
	ID       int
	Addr     string // address of the worker for direct commands
	TypeName string
	Zone     string
	Spot     bool
	Type     *storage.MachineType // nil if the type is unknown

	// The following fields come from the worker's reports. A worker begins a new incarnation when its lease expires.
	Incarnation, Seq, Token uint64              // incarnation and sequence number of the newest report; highest reported token
	LastContact             time.Time           // last new report, in a heartbeat or in the response to direct commands
	LastHeartbeat           time.Time           // last new heartbeat or, if none has arrived, when the machine was first seen
	LastAcknowledged        time.Time           // last accepted heartbeat, from which the worker's lease counts
	Confirmed               bool                // the worker has reported with a fencing token of this term
	ExpiredIncarnation      uint64              // an incarnation whose lease is proved to have expired
	Exited                  []worker.TaskReport // exited tasks in the last report
	Orphans                 []worker.TaskReport // reported live tasks that match no attempt of the leader
	PreemptionAt            time.Time           // when the cloud reclaims the spot machine; zero without a spot notice

	// The following fields come from the cloud and the autoscaler.
	FirstSeen            time.Time // when the machine was launched or, if the launch wasn't seen, first known
	ProvisioningObserved bool      // this leader has seen the launch, and the machine hasn't come up or been abandoned
	ListedAt             time.Time // when the cloud last listed the machine
	Failed               bool      // the cloud lists the machine as failed
	DrainReason          string    // why no more tasks are placed here; empty if the machine isn't draining
	Terminating          bool      // the machine's termination has been or will be requested from the cloud

	Attempts      map[worker.TaskID]*Attempt
	Reserved      *storage.Resources                                // resources of all attempts
	RunningUsage  [storage.PriorityProduction + 1]storage.Resources // resources of attempts that aren't being stopped, by priority
	StoppingUsage storage.Resources                                 // resources of attempts that are being stopped
	IdleSince     time.Time                                         // time since which the machine has had no attempts
	Fence         *fencing.Fence[AttemptKey]                        // fencing token, and the ended attempts that the worker must retain
	Images        map[string]Image                                  // cached images by name
	Recorded      bool                                              // the machine's record is durable or being written

	InFlight         int // number of direct requests that the worker hasn't answered yet
	Failures         failures.Machine
	Unresponsive     bool // heartbeats arrive, but the worker doesn't execute commands
	LostIncarnations int  // number of leases that expired although heartbeats arrived
	QuarantinedUntil time.Time
}

// Image describes an image that is assumed to be cached on a machine, because a task with it ran there.
type Image struct {
	SizeGB   float64
	LastUsed time.Time
}

// newMachine returns a machine that was first seen now and has no attempts.
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

// Offering returns the combination of type, zone and spot status that the machine was launched with.
func (m *Machine) Offering() cloud.Offering {
	return cloud.Offering{Type: m.TypeName, Zone: m.Zone, Spot: m.Spot}
}

// Stale reports whether a report is no newer than the newest report that was received from this machine.
func (m *Machine) Stale(r *worker.Report) bool {
	return r.Incarnation < m.Incarnation || r.Incarnation == m.Incarnation && r.Seq <= m.Seq
}

// Ready reports whether tasks may be placed on the machine. Its last report and its last heartbeat must not be older
// than fresh. Reports in responses to direct commands aren't enough, because the worker's lease expires without
// heartbeats, even if the worker can be reached.
func (m *Machine) Ready(now time.Time, fresh time.Duration) bool {
	return m.Confirmed && m.Type != nil && m.DrainReason == "" && !m.Terminating && !m.Failed &&
		now.Sub(m.LastContact) <= fresh && now.Sub(m.LastHeartbeat) <= fresh && !now.Before(m.QuarantinedUntil)
}

// Quarantined reports whether the machine is in quarantine, because tasks fail on it, it loses its leases or it doesn't
// execute commands. No tasks are placed on it until the quarantine ends, so its free resources can't be used.
func (m *Machine) Quarantined(now time.Time) bool {
	return now.Before(m.QuarantinedUntil) && (m.LostIncarnations > 0 || m.Failures.Suspected() || m.Unresponsive)
}

// BrieflyIdleBootTimes is how long a machine counts as briefly idle, in nominal boot times of its type. The unit is the
// boot time because a machine that is terminated too early must be replaced. The replacement takes one boot time to
// come up, and is paid for meanwhile.
const BrieflyIdleBootTimes = 0.25

// BrieflyIdle reports whether the machine has no attempts, but hasn't been idle for longer than BrieflyIdleBootTimes allows.
func (m *Machine) BrieflyIdle(now time.Time) bool {
	return len(m.Attempts) == 0 && now.Sub(m.IdleSince) < clock.Seconds(BrieflyIdleBootTimes*m.Type.BootS)
}

// ClearFailures drops a job's failures from the machine's record of failures. If these failures were the only reason
// for the machine's quarantine, ClearFailures ends the quarantine.
func (m *Machine) ClearFailures(j *Job) {
	wasAtFault := m.Failures.AtFault()
	m.Failures.Clear(j.Spec.ID)
	if wasAtFault && !m.Failures.AtFault() && m.LostIncarnations == 0 && !m.Unresponsive {
		m.QuarantinedUntil = time.Time{}
	}
}

// UseImage records that an image is in use on the machine. As long as the images together exceed the size of the
// machine's image cache, it drops the least recently used of the other images. If the image is new on the machine, the
// machine's record must be written again.
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

// leastRecentlyUsed returns the name of the least recently used image. It leaves out the image named excluded.
func (m *Machine) leastRecentlyUsed(excluded string) string {
	oldest := ""
	for name, image := range m.Images {
		if name != excluded && (oldest == "" || image.LastUsed.Before(m.Images[oldest].LastUsed)) {
			oldest = name
		}
	}
	return oldest
}

// addUsage adds an attempt's resources to the machine's usage if sign is 1, and subtracts them if it is -1.
func (m *Machine) addUsage(a *Attempt, sign int) {
	usage := &m.StoppingUsage
	if !a.Stopping {
		usage = &m.RunningUsage[a.Job.Spec.Priority]
	}
	*usage = usage.Add(a.Job.Spec.Resources.Mul(sign))
}

// SortedAttempts returns the machine's attempts, ordered by number and then by task.
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

// Record returns the record of the machine that is to be stored.
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
