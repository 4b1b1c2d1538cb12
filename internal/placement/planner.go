// Package placement decides which waiting tasks go on which machines: the order of the jobs, the choice
// among the candidates, the plans of gangs, and what is preempted.
//
// A Planner reads the cluster state and takes its decisions through Actions, one after the other, since each
// changes what the next may count on. It owns nothing but what it learns within a round and the resources
// that are kept free for others. It sends no messages, knows no clock and does no input or output.
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

// MaxPlacementsPerRound bounds the tasks placed in one round, so that a flood of tasks doesn't hold up the
// answers to workers. It bounds no rate: placement pauses in proportion to a round, and a larger one would
// only make urgent work wait longer for the next.
const MaxPlacementsPerRound = 512

// Actions carries out the planner's decisions. Each takes effect on the cluster state at once.
type Actions interface {
	// Reserve reserves a machine's resources for a waiting task, under a new number or, for a task of
	// a gang, that of the gang's attempt. The task is started once the reservation is durable.
	Reserve(j *cluster.Job, task int, m *cluster.Machine, now time.Time) *cluster.Attempt
	// BeginGang numbers a new attempt of a gang.
	BeginGang(j *cluster.Job)
	// AbortGang stops what is left of a gang's attempt at once.
	AbortGang(j *cluster.Job)
	// Preempt stops an attempt in favour of another job's task; of a gang, all its tasks.
	Preempt(a *cluster.Attempt, now time.Time)
	// CommandStops tells a machine directly what is to be stopped there.
	CommandStops(m *cluster.Machine)
	// GangReachable reports whether all tasks of a gang can be told to stop at the same time.
	GangReachable(j *cluster.Job, now time.Time) bool
}

// Headroom is resources that are kept free: for so many tasks like those of a job.
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
	// perGPU is the most CPUs and memory that open jobs take with a GPU.
	perGPU          storage.Resources
	perGPUUpdatedAt time.Time
}

// New returns a planner of a cluster's tasks.
func New(settings *config.Settings, state *cluster.State, actions Actions, random *rand.Rand, log *slog.Logger) *Planner {
	return &Planner{settings: settings, state: state, actions: actions, random: random, log: log}
}

// SetHeadroom replaces the resources that opportunistic work must leave free.
func (p *Planner) SetHeadroom(headroom []Headroom) { p.headroom = headroom }

// round is what one round of placement has learnt.
type round struct {
	now              time.Time
	candidates       []*Candidate
	zones            []string
	exhausted        ExhaustedShapes // shapes that find no free resources
	unpreemptable    ExhaustedShapes // shapes for which nothing can be preempted either
	reserved         []*cluster.Attempt
	gangHolds        bool                  // resources are held for a gang that found too little
	tasksPerJob      int                   // how many tasks of one opportunistic job are placed
	headroomReserved bool                  // the headroom is taken out of the candidates
	guaranteed       map[*cluster.Job]bool // the jobs within their team's guarantee; nil: not yet computed
	unfinished       bool                  // another round may place more
}

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

// full reports whether the round has placed as many tasks as it may.
func (r *round) full() bool { return len(r.reserved) >= MaxPlacementsPerRound }

// Round reserves resources for waiting tasks, the most urgent first, and preempts others for them. It returns
// the attempts, which may be started once their reservations are durable, and whether another round may
// place more at once.
func (p *Planner) Round(now time.Time) (reserved []*cluster.Attempt, unfinished bool) {
	waiting := p.WaitingByUrgency(now)
	if len(waiting) == 0 {
		return nil, false
	}
	p.UpdatePerGPU(now)
	r := p.newRound(now)
	r.tasksPerJob = opportunisticShare(p.countOpportunistic(waiting))
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

// WaitingByUrgency returns the jobs with tasks to place, the most urgent first.
func (p *Planner) WaitingByUrgency(now time.Time) []*cluster.Job {
	var waiting []*cluster.Job
	for _, j := range p.state.Jobs.Open {
		if j.Phase == storage.Open && j.Waiting > 0 && !now.Before(j.RetryAfter) && j.MayPlace(now) {
			waiting = append(waiting, j)
		}
	}
	if len(waiting) > 0 {
		p.sortByUrgency(waiting, now)
	}
	return waiting
}

// placeTasks places up to so many of a job's tasks, or preempts others for them.
func (p *Planner) placeTasks(j *cluster.Job, tasks int, r *round) {
	zones := NewZoneCheck(j)
	list := shortlist{job: j, round: r, zones: &zones}
	for n := tasks; n > 0 && !r.full(); n-- {
		task, ok := j.NextWaiting()
		if !ok || !p.withinLimit(j, 1) {
			return
		}
		if c := p.choose(&list); c != nil {
			p.reserveOn(c, j, task, r)
			zones.Add(c.Zone, 1)
			p.noteReserved(&list, c)
			continue
		}
		zone, ok := p.preempt(j, r, &zones)
		if !ok {
			return
		}
		zones.Add(zone, 1) // its resources are being released there
	}
}

// withinLimit reports whether so many more tasks of a job stay within its team's limit.
func (p *Planner) withinLimit(j *cluster.Job, tasks int) bool {
	team := p.settings.Team(j.Spec.Team)
	if team == nil {
		return false
	}
	used := p.state.Reservations.Team(j.Spec.Team).Add(j.Spec.Resources.Mul(tasks))
	return storage.WithinLimit(used, team.Limit)
}

// reserveOn reserves a candidate's resources for a task.
func (p *Planner) reserveOn(c *Candidate, j *cluster.Job, task int, r *round) {
	c.Free = c.Free.Sub(j.Spec.Resources)
	r.reserved = append(r.reserved, p.actions.Reserve(j, task, c.Machine, r.now))
}

// UpdatePerGPU computes, once a heartbeat interval, the most CPUs and memory that open jobs take with a GPU.
// Rounds begin with it, and so does whoever uses Fullest.
func (p *Planner) UpdatePerGPU(now time.Time) {
	if !p.perGPUUpdatedAt.IsZero() && now.Sub(p.perGPUUpdatedAt) <= p.settings.HeartbeatInterval {
		return
	}
	p.perGPUUpdatedAt = now
	p.perGPU = storage.Resources{}
	for _, j := range p.state.Jobs.Open {
		if gpus := j.Spec.Resources.GPUs; gpus > 0 {
			p.perGPU.CPUs = max(p.perGPU.CPUs, j.Spec.Resources.CPUs/gpus)
			p.perGPU.MemoryGB = max(p.perGPU.MemoryGB, j.Spec.Resources.MemoryGB/gpus)
		}
	}
}

// allows reports whether a list of names allows one; an empty list allows all.
func allows(list []string, name string) bool { return len(list) == 0 || slices.Contains(list, name) }
