// Package placement decides which waiting tasks run on which machines: it orders the jobs by urgency, chooses
// among candidate machines, plans gangs as a whole, and selects attempts to preempt.
//
// A Planner reads the cluster state and carries out its decisions through Actions, one at a time, because each
// decision changes the resources available to the next. It keeps only two things from one round to the next. One is the
// headroom: the resources that opportunistic work must leave free. The other is the largest amounts of CPUs and memory
// that jobs request per GPU. A Planner sends no messages, reads no clock and does no input or output.
package placement

import (
	"log/slog"
	"math/rand/v2"
	"slices"
	"time"

	"sagevale/internal/cluster"
	"sagevale/internal/config"
	"sagevale/internal/storage"
)

// MaxPlacementsPerRound limits the tasks placed in one round, so that a burst of tasks doesn't delay the responses
// to workers. It doesn't limit the placement rate: the pause between rounds is proportional to a round's
// duration, and longer rounds would only make urgent work wait longer for the next round.
const MaxPlacementsPerRound = 512

// Actions carries out the planner's decisions. Each action changes the cluster state before it returns.
type Actions interface {
	// Reserve reserves a machine's resources for a waiting task and returns the new attempt. An attempt of a
	// gang's task gets the number of the gang's current attempt, and any other attempt gets a new number. The
	// task is started once the reservation is durable.
	Reserve(j *cluster.Job, task int, m *cluster.Machine, now time.Time) *cluster.Attempt
	// BeginGang begins a new attempt of a gang, under a new number.
	BeginGang(j *cluster.Job)
	// AbortGang stops the remaining tasks of a gang's attempt immediately.
	AbortGang(j *cluster.Job)
	// Preempt stops an attempt in favor of another job's task. If its job is a gang, all tasks are stopped.
	Preempt(a *cluster.Attempt, now time.Time)
	// CommandStops sends the stop commands for a machine's attempts directly to its worker.
	CommandStops(m *cluster.Machine)
	// GangReachable reports whether direct stop commands are likely to reach all tasks of a gang at the same
	// time.
	GangReachable(j *cluster.Job, now time.Time) bool
}

// Headroom describes resources to keep free: enough for the given number of tasks like those of a job.
type Headroom struct {
	Job   *cluster.Job
	Tasks int
}

// Planner places waiting tasks. It is not safe for concurrent use.
type Planner struct {
	settings *config.Settings
	state    *cluster.State
	actions  Actions
	random   *rand.Rand
	log      *slog.Logger

	headroom []Headroom
	// maxPerGPU holds the largest amounts of CPUs and memory that a task of an open job requests per GPU.
	maxPerGPU          storage.Resources
	maxPerGPUUpdatedAt time.Time
}

// New returns a planner that places the waiting tasks of the state.
func New(settings *config.Settings, state *cluster.State, actions Actions, random *rand.Rand, log *slog.Logger) *Planner {
	return &Planner{settings: settings, state: state, actions: actions, random: random, log: log}
}

// SetHeadroom replaces the headroom that opportunistic work must leave free.
func (p *Planner) SetHeadroom(headroom []Headroom) { p.headroom = headroom }

// round is the state of one placement round.
type round struct {
	now                time.Time
	candidates         []*Candidate
	zones              []string        // zones of the candidates
	exhausted          ExhaustedShapes // shapes (see Shape) for which no candidate has enough free resources
	unpreemptable      ExhaustedShapes // shapes for which preemption can't make room
	reserved           []*cluster.Attempt
	heldForGang        bool                  // resources are withheld for a gang that doesn't fit yet
	opportunisticShare int                   // maximum number of tasks to place of each opportunistic job
	headroomReserved   bool                  // the headroom has been subtracted from the candidates
	withinGuarantee    map[*cluster.Job]bool // jobs within their team's guarantee; nil until first needed
	unfinished         bool                  // another round may place more tasks right away
}

// newRound returns a round with the candidates that are ready now.
func (p *Planner) newRound(now time.Time) *round {
	r := &round{
		now:           now,
		candidates:    p.ReadyCandidates(now),
		exhausted:     make(ExhaustedShapes),
		unpreemptable: make(ExhaustedShapes),
	}
	r.zones = ZonesOf(r.candidates)
	return r
}

// full reports whether the round has placed the maximum number of tasks.
func (r *round) full() bool { return len(r.reserved) >= MaxPlacementsPerRound }

// RunRound runs one placement round: it reserves resources for waiting tasks, most urgent first, and preempts other
// work for them. It returns the new attempts, which may be started once their reservations are durable.
// unfinished is true if another round may place more tasks right away.
func (p *Planner) RunRound(now time.Time) (reserved []*cluster.Attempt, unfinished bool) {
	waiting := p.WaitingByUrgency(now)
	if len(waiting) == 0 {
		return nil, false
	}
	p.UpdateMaxPerGPU(now)
	r := p.newRound(now)
	r.opportunisticShare = opportunisticShare(p.countOpportunistic(waiting))
	for _, j := range waiting {
		if r.full() {
			r.unfinished = true
			break
		}
		switch {
		case j.Spec.Gang:
			p.placeGang(j, r)
		case p.settings.IsOpportunistic(&j.Spec):
			p.placeOpportunistic(j, r)
		default:
			p.placeTasks(j, j.Startable(), r)
		}
	}
	return r.reserved, r.unfinished
}

// WaitingByUrgency returns the jobs that have waiting tasks which may be placed now, most urgent first.
func (p *Planner) WaitingByUrgency(now time.Time) []*cluster.Job {
	var waiting []*cluster.Job
	for _, j := range p.state.Jobs.Open {
		if j.Phase == storage.PhaseOpen && j.Waiting > 0 && !now.Before(j.RetryAfter) && j.MayPlace(now) {
			waiting = append(waiting, j)
		}
	}
	if len(waiting) > 0 {
		p.sortByUrgency(waiting, now)
	}
	return waiting
}

// placeTasks places up to the given number of a job's waiting tasks. For a task that doesn't fit it tries to
// preempt other work, so that the task can be placed in a later round.
func (p *Planner) placeTasks(j *cluster.Job, tasks int, r *round) {
	zones := NewZoneCheck(j)
	list := shortlist{job: j, round: r, zones: &zones}
	for n := tasks; n > 0 && !r.full(); n-- {
		task, ok := j.NextWaiting()
		if !ok || !p.withinLimit(j, 1) {
			return
		}
		if c := p.chooseCandidate(&list); c != nil {
			p.reserveOn(c, j, task, r)
			zones.Add(c.Zone, 1)
			p.updateShortlist(&list, c)
			continue
		}
		zone, ok := p.preempt(j, r, &zones)
		if !ok {
			return
		}
		zones.Add(zone, 1) // counts the task in the zone where resources are being released for it
	}
}

// withinLimit reports whether the job's team stays within its limit if the given number of the job's tasks is
// added.
func (p *Planner) withinLimit(j *cluster.Job, tasks int) bool {
	team := p.settings.Team(j.Spec.Team)
	if team == nil {
		return false
	}
	used := p.state.Reservations.Team(j.Spec.Team).Add(j.Spec.Resources.Mul(tasks))
	return storage.WithinLimit(used, team.Limit)
}

// reserveOn reserves a candidate's resources for a task and adds the new attempt to the round.
func (p *Planner) reserveOn(c *Candidate, j *cluster.Job, task int, r *round) {
	c.Free = c.Free.Sub(j.Spec.Resources)
	r.reserved = append(r.reserved, p.actions.Reserve(j, task, c.Machine, r.now))
}

// UpdateMaxPerGPU computes the largest amounts of CPUs and memory that open jobs request per GPU. It does so at most
// once per heartbeat interval. RunRound calls it. Other callers of BestFit must call it first.
func (p *Planner) UpdateMaxPerGPU(now time.Time) {
	if !p.maxPerGPUUpdatedAt.IsZero() && now.Sub(p.maxPerGPUUpdatedAt) <= p.settings.HeartbeatInterval {
		return
	}
	p.maxPerGPUUpdatedAt = now
	p.maxPerGPU = storage.Resources{}
	for _, j := range p.state.Jobs.Open {
		if gpus := j.Spec.Resources.GPUs; gpus > 0 {
			p.maxPerGPU.CPUs = max(p.maxPerGPU.CPUs, j.Spec.Resources.CPUs/gpus)
			p.maxPerGPU.MemoryGB = max(p.maxPerGPU.MemoryGB, j.Spec.Resources.MemoryGB/gpus)
		}
	}
}

// allows reports whether the list contains the name. An empty list allows every name.
func allows(list []string, name string) bool { return len(list) == 0 || slices.Contains(list, name) }
