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

// managedService is a service that scales to zero, with the leader's copy of its lifecycle record.
type managedService struct {
	job       *cluster.Job
	record    activation.Record
	damaged   json.RawMessage // what is stored, if it can't be decoded
	unwritten int             // changes of the record that aren't durable yet
	wokenAt   time.Time       // when the service was last woken, if that was in this term
	watchers  []wakeWatcher   // controllers that wait for it to start
	// routedUntil is until when a controller may route requests to the replica by a response of this term or the one
	// before.
	routedUntil time.Time
}

// Stored returns the lifecycle record as it is stored within the job's record.
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

// MayPlace reports whether the service's replica may be placed: its wake is durable, and nothing else has to be waited
// for.
func (s *managedService) MayPlace(now time.Time) bool {
	return s.damaged == nil && s.unwritten == 0 && s.record.Pending(now) == activation.Reserve
}

// replica returns the attempt that the record names, or nil.
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
	// recordJob has a job's record written, and calls then once its present value is durable.
	recordJob(j *cluster.Job, then func(error))
	// afterJobCommit calls then once the marked value of a job's record is durable.
	afterJobCommit(j *cluster.Job, then func(error))
	// stopAttempt has an attempt stopped.
	stopAttempt(a *cluster.Attempt, graceSeconds float64)
	// sendJobStops sends the workers of a job's stopped attempts their stops directly.
	sendJobStops(j *cluster.Job)
	// placeSoon requests a round of placement.
	placeSoon()
	// mayUse reports whether something new may depend on a gate, and requests its use.
	mayUse(name upgrade.GateName) bool
}

// recordJob is part of activationHost.
func (s *scheduler) recordJob(j *cluster.Job, then func(error)) {
	s.markJob(j)
	s.onJobCommit(j, then)
}

// afterJobCommit is part of activationHost.
func (s *scheduler) afterJobCommit(j *cluster.Job, then func(error)) { s.onJobCommit(j, then) }

// placeSoon is part of activationHost.
func (s *scheduler) placeSoon() { s.placementDue = true }

// activationController drives the lifecycles of the services that scale to zero. Each change is durable before anything is
// done because of it. It belongs to the scheduler's goroutine.
type activationController struct {
	tuning   *config.Activation
	settings *config.Settings
	host     activationHost
	log      *slog.Logger
	gate     upgrade.GateState
	services map[string]*managedService // by job
	active   map[string]*managedService // those of them whose state changes with time
	usage    *activation.Usage
	starts   activation.StartTimes
	// postponed are services that are to scale to zero and have no record, because they were accepted while the gate was
	// closed. They run.
	postponed map[string]*cluster.Job
	removing  int  // records whose removal isn't durable yet
	resumed   bool // the term's actors run; earlier attempts are handled by loaded
}

func newActivationController(settings *config.Settings, gate upgrade.GateState, host activationHost, log *slog.Logger) *activationController {
	return &activationController{
		tuning: &settings.Tuning.Activation, settings: settings, gate: gate, host: host, log: log,
		services: make(map[string]*managedService), postponed: make(map[string]*cluster.Job), active: make(map[string]*managedService),
		usage: activation.NewUsage(settings.ControllerNames(), usageIntervals*settings.UsageInterval()),
	}
}

// scalesToZero reports whether a job is a service that is to scale to zero while there is no demand. Services of several tasks
// always run.
func (c *activationController) scalesToZero(spec *storage.Spec) bool {
	return spec.Service && !spec.Gang && spec.Tasks == 1 && slices.Contains(c.tuning.Classes, spec.Class)
}

// uses counts what depends on the gate.
func (c *activationController) uses() int { return len(c.services) + c.removing }

// track adds a service that was just submitted. It begins idle, which is stored with the job's record.
func (c *activationController) track(j *cluster.Job, now time.Time) {
	c.add(&managedService{job: j, record: activation.Record{State: activation.Idle, SinceMS: now.UnixMilli()}})
}

// postpone adds a service that is to scale to zero once the gate is in use. Until then it runs.
func (c *activationController) postpone(j *cluster.Job) {
	if c.scalesToZero(&j.Spec) {
		c.postponed[j.Spec.ID] = j
	}
}

// adoptPostponed creates records for postponed services once the gate is in use. From then on they scale to zero like any
// other.
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
		c.add(s)
		c.set(s, next, "its class is listed")
	}
}

// service returns the lifecycle of a job, or nil if it has none.
func (c *activationController) service(j *cluster.Job) *managedService {
	s, _ := j.Lifecycle.(*managedService)
	return s
}

// add adds a service.
func (c *activationController) add(s *managedService) {
	s.job.Lifecycle = s
	delete(c.postponed, s.job.Spec.ID)
	c.services[s.job.Spec.ID] = s
}

// load decodes a service's stored record. A record that can't be decoded is kept unchanged.
func (c *activationController) load(j *cluster.Job, raw json.RawMessage) {
	record, err := activation.Decode(storage.JobKey(j.Spec.ID), raw)
	if err != nil {
		c.log.Error("lifecycle record damaged", "job", j.Spec.ID, "error", err)
		c.add(&managedService{job: j, damaged: raw})
		return
	}
	c.add(&managedService{job: j, record: record})
}

// reconcile reconciles the records with the attempts at the start of a term.
func (c *activationController) reconcile(now time.Time) {
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
	c.runUnlisted()
}

// resume acts on the records once the actors of a term run.
func (c *activationController) resume(now time.Time) {
	c.resumed = true
	for _, s := range c.services {
		if s.damaged == nil {
			c.act(s, now)
		}
	}
}

// setGate updates the gate. Unless it is open, every service is started and runs always.
func (c *activationController) setGate(gate upgrade.GateState) {
	c.gate = gate
	c.runUnlisted()
}

// runUnlisted makes the services that are no longer to scale to zero run always.
func (c *activationController) runUnlisted() {
	for _, s := range c.services {
		if c.gate.Phase != upgrade.GateOpen || !c.scalesToZero(&s.job.Spec) {
			c.runAlways(s)
		}
	}
}

// runAlways removes a service's lifecycle record, so that it runs like any other service.
func (c *activationController) runAlways(s *managedService) {
	c.log.Info("service lifecycle removed", "job", s.job.Spec.ID, "generation", s.record.Generation)
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

// release removes a service that is cancelled or runs always from now on.
func (c *activationController) release(j *cluster.Job) {
	delete(c.services, j.Spec.ID)
	delete(c.postponed, j.Spec.ID)
	delete(c.active, j.Spec.ID)
	if s := c.service(j); s != nil {
		for _, w := range s.watchers {
			w.reply <- undecided("it runs always, or no longer")
		}
	}
	j.Lifecycle = nil
}

// apply changes a service's record by an event.
func (c *activationController) apply(s *managedService, e activation.Event, now time.Time) {
	if s.damaged != nil {
		return
	}
	next, _ := s.record.Apply(e, &c.tuning.Policy, now)
	c.move(s, next, activation.Cause(e), now)
}

// move sets a service's record, and acts on it once it is durable.
func (c *activationController) move(s *managedService, next activation.Record, cause string, now time.Time) {
	if !c.set(s, next, cause) {
		c.act(s, now)
	}
}

// set sets a service's record, and has it written if it differs from what is stored. It reports whether it does; then the
// controller acts on it once it is durable.
func (c *activationController) set(s *managedService, next activation.Record, cause string) (writes bool) {
	before := s.record
	s.record = next
	c.updateActive(s)
	if next.SameStored(before) {
		return false
	}
	c.log.Info("service lifecycle changed", "job", s.job.Spec.ID, "class", s.job.Spec.Class, "previous_state", before.State,
		"state", next.State, "cause", cause, "generation", next.Generation, "failures", next.Failures)
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

// updateActive updates the set of services whose state changes with time.
func (c *activationController) updateActive(s *managedService) {
	if s.record.State == activation.Idle || s.record.State == activation.Failed {
		delete(c.active, s.job.Spec.ID)
		return
	}
	c.active[s.job.Spec.ID] = s
}

// act does what the record requires, if it is durable. Replicas are started like any other task, once placement has
// reserved resources for them.
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
			c.host.sendJobStops(s.job)
		}
	case activation.Nothing, activation.Start, activation.Drain:
	}
}

// attemptReserved handles a new attempt: a reservation, or a task found on a machine.
func (c *activationController) attemptReserved(a *cluster.Attempt, now time.Time) {
	if s := c.service(a.Job); s != nil && !a.Stopping && c.resumed {
		c.apply(s, activation.Reserved{Generation: s.record.Generation, Attempt: a.Number}, now)
	}
}

// attemptRunning handles that an attempt runs, so its model answers.
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

// attemptRemoved handles that an attempt is proved to be gone.
func (c *activationController) attemptRemoved(a *cluster.Attempt, now time.Time) {
	if s := c.service(a.Job); s != nil {
		c.apply(s, activation.ReplicaGone{Generation: s.record.Generation, Attempt: a.Number, Failed: a.Failed}, now)
	}
}

// tick does the periodic work. Idle services cost nothing.
func (c *activationController) tick(now time.Time) {
	c.adoptPostponed(now)
	for _, s := range c.active {
		var reservedFor time.Duration
		if a := s.replica(); a != nil {
			reservedFor = now.Sub(a.ReservedAt)
		}
		c.apply(s, activation.Tick{ReservedFor: reservedFor}, now)
		c.checkUsage(s, now)
		c.answerWatchers(s, now)
	}
}
