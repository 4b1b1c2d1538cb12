package scheduler

import (
	"encoding/json"
	"log/slog"
	"slices"
	"time"

	"sagevale/internal/activation"
	"sagevale/internal/clock"
	"sagevale/internal/cluster"
	"sagevale/internal/config"
	"sagevale/internal/storage"
	"sagevale/internal/upgrade"
)

// Ratios of the defaults to the workers' lease.

// managedService is a service that may be at zero, as the leader holds it.
type managedService struct {
	job       *cluster.Job
	record    activation.Record
	damaged   json.RawMessage // what is stored, if it can't be understood
	unwritten int             // moves of the record that aren't durable yet
	wokenAt   time.Time       // when the present wake began, if that was in this term
	watchers  []wakeWatcher   // nodes that wait for it to start
	// routedUntil is until when some node may pass requests on by an answer of this term or the one before.
	routedUntil time.Time
}

// Stored is the record as it goes into the job's.
func (s *managedService) Stored() json.RawMessage {
	if s.damaged != nil {
		return s.damaged
	}
	raw, err := json.Marshal(s.record)
	if err != nil {
		return nil // no value of the type fails
	}
	return raw
}

// MayPlace reports whether the service's replica may be placed: its wake is durable, and nothing else is to
// be awaited.
func (s *managedService) MayPlace(now time.Time) bool {
	return s.damaged == nil && s.unwritten == 0 && s.record.Pending(now) == activation.Reserve
}

// replica returns the attempt that the record is about, or nil.
func (s *managedService) replica() *cluster.Attempt {
	for _, a := range s.job.Attempts {
		if a.Number == s.record.Replica {
			return a
		}
	}
	return nil
}

// activationHost is what the activation controller needs of the scheduler.
type activationHost interface {
	// recordJob has a job's record written, and calls then once it is durable as it is now.
	recordJob(j *cluster.Job, then func(error))
	// afterJobCommit calls then once a job's record is durable as it is marked now.
	afterJobCommit(j *cluster.Job, then func(error))
	// stopAttempt has an attempt stopped.
	stopAttempt(a *cluster.Attempt, graceSeconds float64)
	// commandJobStops tells the workers of a job's stopped attempts directly.
	commandJobStops(j *cluster.Job)
	// placeSoon has placement look at the jobs.
	placeSoon()
	// mayUse tells whether something new may depend on a gate, and asks for its use.
	mayUse(name upgrade.GateName) bool
}

// recordJob is part of activationHost.
func (d *scheduler) recordJob(j *cluster.Job, then func(error)) {
	d.markJob(j)
	d.onJobCommit(j, then)
}

// afterJobCommit is part of activationHost.
func (d *scheduler) afterJobCommit(j *cluster.Job, then func(error)) { d.onJobCommit(j, then) }

// placeSoon is part of activationHost.
func (d *scheduler) placeSoon() { d.placementDue = true }

// activationController moves the lifecycles of the services that may be at zero. Each move is
// durable before anything rests on it. It belongs to the dispatcher's goroutine.
type activationController struct {
	tuning   *config.Activation
	settings *config.Settings
	host     activationHost
	log      *slog.Logger
	gate     upgrade.GateState
	services map[string]*managedService // by job
	awake    map[string]*managedService // those of them that aren't at zero
	usage    *activation.Usage
	starts   activation.StartTimes
	// postponed are services that the operators want at zero and that have no record: they were accepted
	// while the gate was closed, and run.
	postponed map[string]*cluster.Job
	removing  int  // records whose removal isn't durable yet
	resumed   bool // the term's actors run; attempts that were found before are known by loaded
}

func newActivationController(settings *config.Settings, gate upgrade.GateState, host activationHost, log *slog.Logger) *activationController {
	return &activationController{
		tuning: &settings.Tuning.Activation, settings: settings, gate: gate, host: host, log: log,
		services: make(map[string]*managedService), postponed: make(map[string]*cluster.Job), awake: make(map[string]*managedService),
		usage: activation.NewUsage(settings.ControllerNames(), usageIntervals*settings.UsageInterval()),
	}
}

// applies tells whether the operators want a service at zero while there is no demand. Services of
// several tasks always run.
func (c *activationController) applies(spec *storage.Spec) bool {
	return spec.Service && !spec.Gang && spec.Tasks == 1 && slices.Contains(c.tuning.Classes, spec.Class)
}

// uses counts what depends on the gate.
func (c *activationController) uses() int { return len(c.services) + c.removing }

// track takes in a service that was just submitted. It is idle; the job's record tells so.
func (c *activationController) track(j *cluster.Job, now time.Time) {
	c.hold(&managedService{job: j, record: activation.Record{State: activation.Idle, SinceMS: now.UnixMilli()}})
}

// postpone notes that a service would be at zero, if lifecycles were in force. It runs.
func (c *activationController) postpone(j *cluster.Job) {
	if c.applies(&j.Spec) {
		c.postponed[j.Spec.ID] = j
	}
}

// adoptPostponed gives records to services that have run without, once the gate is in use: from here on they
// go to zero as any other.
func (c *activationController) adoptPostponed(now time.Time) {
	if len(c.postponed) == 0 || c.gate.Phase != upgrade.GateOpen || !c.host.mayUse(upgrade.Activation) {
		return
	}
	for _, j := range c.postponed {
		if !j.Acknowledged {
			continue
		}
		next := activation.Record{State: activation.Starting, Generation: 1, SinceMS: now.UnixMilli()}
		for _, a := range j.Attempts {
			next.Replica = a.Number
			if a.Serving() {
				next.State = activation.Ready
			}
		}
		s := &managedService{job: j, routedUntil: now.Add(clock.Scale(c.settings.RoutingLease(), clock.DriftBound))}
		c.hold(s)
		c.set(s, next, "its class is listed")
	}
}

// service returns the lifecycle of a job, or nil if it has none.
func (c *activationController) service(j *cluster.Job) *managedService {
	s, _ := j.Lifecycle.(*managedService)
	return s
}

func (c *activationController) hold(s *managedService) {
	s.job.Lifecycle = s
	delete(c.postponed, s.job.Spec.ID)
	c.services[s.job.Spec.ID] = s
}

// load takes in what a job's record holds. A record that can't be understood stays as it is.
func (c *activationController) load(j *cluster.Job, raw json.RawMessage) {
	record, err := activation.Decode(storage.JobKey(j.Spec.ID), raw)
	if err != nil {
		c.log.Error("service neither started nor stopped", "job", j.Spec.ID, "err", err)
		c.hold(&managedService{job: j, damaged: raw})
		return
	}
	c.hold(&managedService{job: j, record: record})
}

// loaded brings the records of a new term together with its attempts.
func (c *activationController) loaded(now time.Time) {
	for _, s := range c.services {
		if s.damaged != nil {
			continue
		}
		replica := activation.NoReplica
		for _, a := range s.job.Attempts {
			replica = a.Number
		}
		next, _ := s.record.Restore(replica, &c.tuning.Policy, now)
		s.routedUntil = now.Add(clock.Scale(c.settings.RoutingLease(), clock.DriftBound))
		c.set(s, next, "another leader")
	}
	c.bringUpUnlisted()
}

// resume acts on the records of a new term, once its actors run.
func (c *activationController) resume(now time.Time) {
	c.resumed = true
	for _, s := range c.services {
		if s.damaged == nil {
			c.act(s, now)
		}
	}
}

// setGate takes in whether lifecycles may be in use. While they may not, every service comes up.
func (c *activationController) setGate(gate upgrade.GateState) {
	c.gate = gate
	c.bringUpUnlisted()
}

// bringUpUnlisted has those services run always that are no longer to be at zero.
func (c *activationController) bringUpUnlisted() {
	for _, s := range c.services {
		if c.gate.Phase != upgrade.GateOpen || !c.applies(&s.job.Spec) {
			c.bringUp(s)
		}
	}
}

// bringUp removes a service's record: it runs like any other.
func (c *activationController) bringUp(s *managedService) {
	c.log.Info("activation", "job", s.job.Spec.ID, "step", "runs always from now on", "generation", s.record.Generation)
	c.release(s.job)
	c.postpone(s.job)
	c.removing++
	c.host.recordJob(s.job, func(err error) {
		if err == nil {
			c.removing--
		}
	})
	c.host.placeSoon()
}

// release lets go of a service, which is cancelled or runs always from now on.
func (c *activationController) release(j *cluster.Job) {
	delete(c.services, j.Spec.ID)
	delete(c.postponed, j.Spec.ID)
	delete(c.awake, j.Spec.ID)
	if s := c.service(j); s != nil {
		for _, w := range s.watchers {
			w.reply <- undecided("it runs always, or no longer")
		}
	}
	j.Lifecycle = nil
}

// apply moves a service's record by an event.
func (c *activationController) apply(s *managedService, e activation.Event, now time.Time) {
	if s.damaged != nil {
		return
	}
	next, _ := s.record.Apply(e, &c.tuning.Policy, now)
	c.move(s, next, activation.Cause(e), now)
}

// move takes a record as it was moved, and goes on once that is durable.
func (c *activationController) move(s *managedService, next activation.Record, cause string, now time.Time) {
	if !c.set(s, next, cause) {
		c.act(s, now)
	}
}

// set takes a record as it was moved, and has it written if it is stored otherwise now. It tells whether it
// is; then the service goes on once that is durable.
func (c *activationController) set(s *managedService, next activation.Record, cause string) (writes bool) {
	before := s.record
	s.record = next
	c.noteAwake(s)
	if next.SameStored(before) {
		return false
	}
	c.log.Info("activation", "job", s.job.Spec.ID, "class", s.job.Spec.Class, "state", next.State, "generation", next.Generation, "failures", next.Failures, "before", before.State, "cause", cause)
	s.unwritten++
	c.host.recordJob(s.job, func(err error) {
		s.unwritten--
		if err == nil && c.service(s.job) == s {
			now := time.Now()
			c.act(s, now)
			c.answerWatchers(s, now)
		}
	})
	return true
}

// noteAwake keeps the set of services that time moves.
func (c *activationController) noteAwake(s *managedService) {
	if s.record.State == activation.Idle || s.record.State == activation.Failed {
		delete(c.awake, s.job.Spec.ID)
		return
	}
	c.awake[s.job.Spec.ID] = s
}

// act carries out what the record asks for, if it is durable. Starts go by the ordinary path of any
// task, once placement has booked room for them.
func (c *activationController) act(s *managedService, now time.Time) {
	if s.unwritten > 0 {
		return
	}
	switch s.record.Pending(now) {
	case activation.Reserve:
		c.host.placeSoon()
	case activation.Stop:
		if a := s.replica(); a != nil && !a.Stopping {
			c.host.stopAttempt(a, 0)
			c.host.commandJobStops(s.job)
		}
	case activation.Nothing, activation.Start, activation.Drain:
	}
}

// attemptReserved takes in an attempt that was attemptReserved, or found on a machine.
func (c *activationController) attemptReserved(a *cluster.Attempt, now time.Time) {
	if s := c.service(a.Job); s != nil && !a.Stopping && c.resumed {
		c.apply(s, activation.Reserved{Generation: s.record.Generation, Attempt: a.Number}, now)
	}
}

// attemptRunning takes in that an attempt runs: its model answers.
func (c *activationController) attemptRunning(a *cluster.Attempt, now time.Time) {
	s := c.service(a.Job)
	if s == nil {
		return
	}
	starting := s.record.State == activation.Starting
	c.apply(s, activation.Serving{Generation: s.record.Generation, Attempt: a.Number}, now)
	if starting && s.record.State == activation.Ready && !s.wokenAt.IsZero() {
		c.starts.Record(s.job.Spec.Class, now.Sub(s.wokenAt))
		s.wokenAt = time.Time{}
	}
}

// attemptRemoved takes in that an attempt's place is proved empty.
func (c *activationController) attemptRemoved(a *cluster.Attempt, now time.Time) {
	if s := c.service(a.Job); s != nil {
		c.apply(s, activation.ReplicaGone{Generation: s.record.Generation, Attempt: a.Number, Failed: a.Failed}, now)
	}
}

// tick does what the clock asks for. Idle services cost nothing.
func (c *activationController) tick(now time.Time) {
	c.adoptPostponed(now)
	for _, s := range c.awake {
		var booked time.Duration
		if a := s.replica(); a != nil {
			booked = now.Sub(a.ReservedAt)
		}
		c.apply(s, activation.Tick{ReservedFor: booked}, now)
		c.checkUsage(s, now)
		c.answerWatchers(s, now)
	}
}
