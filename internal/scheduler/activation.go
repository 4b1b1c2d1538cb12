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

// managedService is a service that scales to zero. record is the leader's copy of the service's lifecycle record, which
// stores whether the service is idle, starting, ready, draining, stopping or failed.
type managedService struct {
	job           *cluster.Job
	record        activation.Record
	damaged       json.RawMessage // the stored record if it can't be decoded, else nil
	pendingWrites int             // number of changes to the record that aren't durable yet
	wokenAt       time.Time       // when a wake request of this term started the service; zero if none did or once it was ready
	waiters       []wakeWaiter    // wake requests whose responses are delayed while the service starts
	// routedUntil is the latest time until which a controller may route requests to the replica. Each response of a leader
	// permits a controller to do so for Settings.RoutingLease, even if the leader loses its leadership during that time.
	routedUntil time.Time
}

// Stored implements cluster.Lifecycle. It returns the lifecycle record as JSON, and a damaged record unchanged.
func (s *managedService) Stored() json.RawMessage {
	if s.damaged != nil {
		return s.damaged
	}
	raw, err := json.Marshal(s.record)
	if err != nil {
		return nil // encoding a Record never fails
	}
	return raw
}

// MayPlace implements cluster.Lifecycle. It reports whether a replica of the service may be placed now. The lifecycle
// record must be durable, and the action that the record requires next must be to reserve resources for a replica.
func (s *managedService) MayPlace(now time.Time) bool {
	return s.damaged == nil && s.pendingWrites == 0 && s.record.Pending(now) == activation.Reserve
}

// replica returns the attempt with the number record.Replica, or nil if the job has no such attempt.
func (s *managedService) replica() *cluster.Attempt {
	for _, a := range s.job.Attempts {
		if a.Number == s.record.Replica {
			return a
		}
	}
	return nil
}

// activationScheduler contains the operations of the scheduler that the activation controller uses.
type activationScheduler interface {
	// recordJob schedules a write of a job's record. Once the record's current value is durable, it calls done with nil.
	// If a commit fails before that, it calls done with the error.
	recordJob(j *cluster.Job, done func(error))
	// afterJobCommit calls done with nil once all scheduled writes of a job's record are durable. If a commit fails
	// before that, it calls done with the error.
	afterJobCommit(j *cluster.Job, done func(error))
	// stopAttempt stops an attempt. The attempt has a grace period of graceSeconds to save a checkpoint; 0 means none.
	stopAttempt(a *cluster.Attempt, graceSeconds float64)
	// sendJobStops sends stop commands for a job's stopping attempts directly to their workers.
	sendJobStops(j *cluster.Job)
	// requestPlacement requests a round of placement. The scheduler runs the round after it has handled the waiting
	// messages.
	requestPlacement()
	// mayUse reports whether new state may depend on a feature gate. If the gate is open but not yet marked as used,
	// mayUse requests the mark and returns false.
	mayUse(name upgrade.GateName) bool
}

// recordJob implements activationScheduler.
func (s *scheduler) recordJob(j *cluster.Job, done func(error)) {
	s.markJob(j)
	s.onJobCommit(j, done)
}

// afterJobCommit implements activationScheduler.
func (s *scheduler) afterJobCommit(j *cluster.Job, done func(error)) { s.onJobCommit(j, done) }

// requestPlacement implements activationScheduler.
func (s *scheduler) requestPlacement() { s.placementDue = true }

// activationController drives the lifecycles of the services that scale to zero. It acts on a change of a lifecycle record
// only after the change is durable. Its methods may be called only from the scheduler's goroutine.
type activationController struct {
	tuning     *config.Activation
	settings   *config.Settings
	scheduler  activationScheduler
	log        *slog.Logger
	gate       upgrade.GateState
	services   map[string]*managedService // by job ID
	active     map[string]*managedService // the services whose state may change as time passes
	usage      *activation.Usage
	startTimes activation.StartTimes
	// postponed holds the services that should scale to zero but have no lifecycle record, for example because they were
	// accepted while the activation gate was closed. They run all the time until the gate is open and marked as used.
	postponed       map[string]*cluster.Job
	pendingRemovals int  // number of lifecycle records whose removal isn't durable yet
	resumed         bool // set by resume; until then attemptReserved does nothing, because reconcile handles the stored attempts
}

func newActivationController(settings *config.Settings, gate upgrade.GateState, sched activationScheduler, log *slog.Logger) *activationController {
	return &activationController{
		tuning: &settings.Tuning.Activation, settings: settings, gate: gate, scheduler: sched, log: log,
		services: make(map[string]*managedService), postponed: make(map[string]*cluster.Job), active: make(map[string]*managedService),
		usage: activation.NewUsage(settings.ControllerNames(), maxSilentUsageIntervals*settings.UsageInterval()),
	}
}

// scalesToZero reports whether a job is a service that should scale to zero while there is no demand. Services with several
// tasks always run.
func (c *activationController) scalesToZero(spec *storage.Spec) bool {
	return spec.Service && !spec.Gang && spec.Tasks == 1 && slices.Contains(c.tuning.Classes, spec.Class)
}

// gateUseCount returns the number of lifecycle records, which depend on the activation gate. It includes removed records
// until their removal is durable.
func (c *activationController) gateUseCount() int { return len(c.services) + c.pendingRemovals }

// track adds a service that was just submitted. The service starts in the idle state, which is stored with the job's record.
func (c *activationController) track(j *cluster.Job, now time.Time) {
	c.addService(&managedService{job: j, record: activation.Record{State: activation.Idle, SinceMS: now.UnixMilli()}})
}

// postpone adds a job to the postponed services if it should scale to zero. The job runs all the time until
// adoptPostponed creates its lifecycle record.
func (c *activationController) postpone(j *cluster.Job) {
	if c.scalesToZero(&j.Spec) {
		c.postponed[j.Spec.ID] = j
	}
}

// adoptPostponed creates lifecycle records for the postponed services once the activation gate is open and marked as used.
// From then on they scale to zero like all other managed services.
func (c *activationController) adoptPostponed(now time.Time) {
	if len(c.postponed) == 0 || c.gate.Phase != upgrade.GateOpen || !c.scheduler.mayUse(upgrade.Activation) {
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
		c.addService(s)
		c.setRecord(s, next, "scale-to-zero enabled")
	}
}

// service returns the managed service of a job, or nil if the job has no lifecycle record.
func (c *activationController) service(j *cluster.Job) *managedService {
	s, _ := j.Lifecycle.(*managedService)
	return s
}

// addService adds a service to the managed services, and removes it from the postponed ones.
func (c *activationController) addService(s *managedService) {
	s.job.Lifecycle = s
	delete(c.postponed, s.job.Spec.ID)
	c.services[s.job.Spec.ID] = s
}

// load adds a service with its stored lifecycle record. A record that can't be decoded is kept unchanged.
func (c *activationController) load(j *cluster.Job, raw json.RawMessage) {
	record, err := activation.Decode(storage.JobKey(j.Spec.ID), raw)
	if err != nil {
		c.log.Error("lifecycle record damaged", "job", j.Spec.ID, "error", err)
		c.addService(&managedService{job: j, damaged: raw})
		return
	}
	c.addService(&managedService{job: j, record: record})
}

// reconcile reconciles the lifecycle records with the stored attempts at the start of a term.
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
		c.setRecord(s, next, "leader change")
	}
	c.removeIneligibleLifecycles()
}

// resume performs the actions that the lifecycle records require next. It is called once the term's actors run.
func (c *activationController) resume(now time.Time) {
	c.resumed = true
	for _, s := range c.services {
		if s.damaged == nil {
			c.performPendingAction(s, now)
		}
	}
}

// setGate updates the gate's state. If the gate isn't open, it removes all lifecycle records. The services are then started
// and run all the time.
func (c *activationController) setGate(gate upgrade.GateState) {
	c.gate = gate
	c.removeIneligibleLifecycles()
}

// removeIneligibleLifecycles removes the lifecycle records of the services that should no longer scale to zero, so that they
// always run.
func (c *activationController) removeIneligibleLifecycles() {
	for _, s := range c.services {
		if c.gate.Phase != upgrade.GateOpen || !c.scalesToZero(&s.job.Spec) {
			c.removeLifecycle(s)
		}
	}
}

// removeLifecycle removes a service's lifecycle record, so that the service runs all the time like any other service.
func (c *activationController) removeLifecycle(s *managedService) {
	c.log.Info("service lifecycle removed", "job", s.job.Spec.ID, "generation", s.record.Generation)
	c.untrack(s.job)
	c.postpone(s.job)
	c.pendingRemovals++
	c.scheduler.recordJob(s.job, func(err error) {
		if err == nil {
			c.pendingRemovals--
		}
	})
	c.scheduler.requestPlacement()
}

// untrack stops managing a service that has ended or that always runs from now on. It answers the service's waiting wake
// requests.
func (c *activationController) untrack(j *cluster.Job) {
	delete(c.services, j.Spec.ID)
	delete(c.postponed, j.Spec.ID)
	delete(c.active, j.Spec.ID)
	if s := c.service(j); s != nil {
		for _, w := range s.waiters {
			w.reply <- undecidedWakeResponse("it runs always, or no longer")
		}
	}
	j.Lifecycle = nil
}

// applyEvent applies an event to a service's lifecycle record.
func (c *activationController) applyEvent(s *managedService, e activation.Event, now time.Time) {
	if s.damaged != nil {
		return
	}
	next, _ := s.record.Apply(e, &c.tuning.Policy, now)
	c.setAndAct(s, next, activation.Cause(e), now)
}

// setAndAct sets a service's lifecycle record. Once the record is durable, the action that it requires next is performed.
func (c *activationController) setAndAct(s *managedService, next activation.Record, cause string, now time.Time) {
	if !c.setRecord(s, next, cause) {
		c.performPendingAction(s, now)
	}
}

// setRecord sets a service's lifecycle record. If its stored fields have changed, setRecord schedules a write and returns
// true. Once the write is durable, the controller performs the action that the record requires next.
func (c *activationController) setRecord(s *managedService, next activation.Record, cause string) (writes bool) {
	before := s.record
	s.record = next
	c.updateActive(s)
	if next.SameStored(before) {
		return false
	}
	c.log.Info("service lifecycle changed", "job", s.job.Spec.ID, "class", s.job.Spec.Class, "previous_state", before.State,
		"state", next.State, "cause", cause, "generation", next.Generation, "failures", next.Failures)
	s.pendingWrites++
	c.scheduler.recordJob(s.job, func(err error) {
		s.pendingWrites--
		if err == nil && c.service(s.job) == s {
			now := time.Now()
			c.performPendingAction(s, now)
			c.answerWaiters(s, now)
		}
	})
	return true
}

// updateActive adds a service to the active services, or removes it from them if its state doesn't change as time passes.
func (c *activationController) updateActive(s *managedService) {
	if s.record.State == activation.Idle || s.record.State == activation.Failed {
		delete(c.active, s.job.Spec.ID)
		return
	}
	c.active[s.job.Spec.ID] = s
}

// performPendingAction performs the action that a service's lifecycle record requires next, if the record is durable. Only
// requests for placement and stops need work here. Replicas are started like any other task, once placement has reserved
// resources for them.
func (c *activationController) performPendingAction(s *managedService, now time.Time) {
	if s.pendingWrites > 0 {
		return
	}
	switch s.record.Pending(now) {
	case activation.Reserve:
		c.scheduler.requestPlacement()
	case activation.Stop:
		if a := s.replica(); a != nil && !a.Stopping {
			c.scheduler.stopAttempt(a, 0)
			c.scheduler.sendJobStops(s.job)
		}
	case activation.NoAction, activation.Start, activation.Drain:
	}
}

// attemptReserved handles a new attempt, which was either reserved by placement or reported by a worker.
func (c *activationController) attemptReserved(a *cluster.Attempt, now time.Time) {
	if s := c.service(a.Job); s != nil && !a.Stopping && c.resumed {
		c.applyEvent(s, activation.Reserved{Generation: s.record.Generation, Attempt: a.Number}, now)
	}
}

// attemptRunning handles an attempt that has started to run. From then on the service answers requests.
func (c *activationController) attemptRunning(a *cluster.Attempt, now time.Time) {
	s := c.service(a.Job)
	if s == nil {
		return
	}
	starting := s.record.State == activation.Starting
	c.applyEvent(s, activation.Serving{Generation: s.record.Generation, Attempt: a.Number}, now)
	if starting && s.record.State == activation.Ready && !s.wokenAt.IsZero() {
		c.startTimes.Record(s.job.Spec.Class, now.Sub(s.wokenAt))
		s.wokenAt = time.Time{}
	}
}

// attemptRemoved handles the removal of an attempt, which is certainly not on its machine any more.
func (c *activationController) attemptRemoved(a *cluster.Attempt, now time.Time) {
	if s := c.service(a.Job); s != nil {
		c.applyEvent(s, activation.ReplicaGone{Generation: s.record.Generation, Attempt: a.Number, Failed: a.Failed}, now)
	}
}

// tick adopts postponed services and updates the active ones. Idle and failed services need no periodic work.
func (c *activationController) tick(now time.Time) {
	c.adoptPostponed(now)
	for _, s := range c.active {
		var reservedFor time.Duration
		if a := s.replica(); a != nil {
			reservedFor = now.Sub(a.ReservedAt)
		}
		c.applyEvent(s, activation.Tick{ReservedFor: reservedFor}, now)
		c.applyUsage(s, now)
		c.answerWaiters(s, now)
	}
}
