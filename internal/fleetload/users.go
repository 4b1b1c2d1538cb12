package fleetload

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"sagevale/internal/loopbacktest"
)

const (
	// pollInterval is the interval between polls of a job that is not over, by the protocol.
	pollInterval = 5 * time.Second
	// submitTimeout bounds the retries of a request, by the protocol.
	submitTimeout = time.Minute
	// maxInFlight bounds concurrent submissions. Jobs beyond it are skipped.
	maxInFlight = 512
)

// Shapes of jobs, by the protocol.
const (
	serviceShape = "service"
	sweepShape   = "sweep"
)

// doneState is the state of a completed job in responses.
const doneState = "done"

// users simulates the users of an experiment and records what they see.
type users struct {
	fleet      *loopbacktest.Fleet
	config     *Config
	random     *rand.Rand
	inFlight   chan struct{} // holds one element per concurrent submission
	background sync.WaitGroup

	mu               sync.Mutex
	nextJob          int // number
	submitLatency    latencyHistogram
	pollLatency      latencyHistogram
	finalPollLatency latencyHistogram // of jobs that were stored before the start
	submitted        int
	skipped          int
	failed           int
	doneJobs         int
	cancelled        int
	violations       []string // responses that break a rule
	bursts           burstStats
}

func newUsers(f *loopbacktest.Fleet, c *Config) *users {
	return &users{
		fleet: f, config: c, random: rand.New(rand.NewPCG(c.Seed, 1)), nextJob: firstJob, inFlight: make(chan struct{}, maxInFlight),
		submitLatency: newLatencyHistogram(), pollLatency: newLatencyHistogram(), finalPollLatency: newLatencyHistogram(),
		bursts: burstStats{accepted: newLatencyHistogram(), retryAfter: newLatencyHistogram()},
	}
}

// update calls f with the lock held.
func (u *users) update(f func()) {
	u.mu.Lock()
	defer u.mu.Unlock()
	f()
}

// addViolation records a response that breaks a rule.
func (u *users) addViolation(format string, args ...any) {
	u.update(func() { u.violations = append(u.violations, fmt.Sprintf(format, args...)) })
}

func (u *users) addFailure() { u.update(func() { u.failed++ }) }

// newJob returns the next job to submit.
func (u *users) newJob(shape string, tasks int) loopbacktest.Job {
	u.mu.Lock()
	defer u.mu.Unlock()
	id := "job-" + submittedID(u.nextJob)
	team := teamName(u.nextJob % u.config.Teams)
	u.nextJob++
	return loopbacktest.Job{ID: id, Shape: shape, Tasks: tasks, Run: u.config.TaskTime, Team: team, CPUs: 1}
}

func teamName(i int) string { return fmt.Sprintf("team-%03d", i) }

// submitStanding submits the jobs whose tasks run throughout the experiment.
func (u *users) submitStanding(ctx context.Context) error {
	for remaining := u.config.standingTasks(); remaining > 0; remaining -= u.config.TasksPerStandingJob {
		j := u.newJob(serviceShape, min(remaining, u.config.TasksPerStandingJob))
		if err := u.fleet.Submit(j, submitTimeout); err != nil {
			return fmt.Errorf("standing job: %w", err)
		}
		if ctx.Err() != nil {
			return ctx.Err()
		}
	}
	return nil
}

// submitShortJobs submits short jobs at the configured rate until ctx ends. The users that poll and cancel them
// run in u.background.
func (u *users) submitShortJobs(ctx context.Context) {
	if u.config.StartsPerS == 0 {
		<-ctx.Done()
		return
	}
	interval := time.Duration(float64(u.config.TasksPerJob) / u.config.StartsPerS * float64(time.Second))
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		j := u.newJob(sweepShape, u.config.TasksPerJob)
		j.Urgent = u.random.Float64() < u.config.UrgentShare
		cancelAfter := time.Duration(-1)
		if u.random.Float64() < u.config.CancelShare {
			cancelAfter = time.Duration(u.random.Float64() * float64(2*u.config.TaskTime))
		}
		select {
		case u.inFlight <- struct{}{}:
			u.background.Go(func() { u.runShortJob(ctx, j, cancelAfter) })
		default:
			u.update(func() { u.skipped++ })
		}
	}
}

// runShortJob submits a job and polls it until it is done, or cancels it. A negative cancelAfter means that it is
// not cancelled.
func (u *users) runShortJob(ctx context.Context, j loopbacktest.Job, cancelAfter time.Duration) {
	began := time.Now()
	err := u.fleet.Submit(j, submitTimeout)
	<-u.inFlight
	if err != nil {
		u.addFailure()
		return
	}
	u.update(func() {
		u.submitted++
		u.submitLatency.record(time.Since(began))
	})
	if cancelAfter >= 0 {
		sleep(ctx, cancelAfter)
		u.cancel(j)
		return
	}
	for sleep(ctx, pollInterval) {
		if u.poll(j) {
			return
		}
	}
}

func (u *users) cancel(j loopbacktest.Job) {
	s, err := u.fleet.Cancel(j.ID, submitTimeout)
	switch {
	case err != nil:
		u.addFailure()
	case s.Code == http.StatusNotFound:
		u.addViolation("forgotten: %s is answered 404 to its cancel", j.ID)
	default:
		u.update(func() { u.cancelled++ })
	}
}

// poll polls a job once and reports whether it needs no more polls.
func (u *users) poll(j loopbacktest.Job) (over bool) {
	began := time.Now()
	s, err := u.fleet.Poll(j.ID)
	switch {
	case err != nil:
		u.addFailure()
		return false
	case s.Code == http.StatusNotFound:
		u.addViolation("forgotten: %s is answered 404", j.ID)
		return true
	}
	u.update(func() { u.pollLatency.record(time.Since(began)) })
	if s.State != doneState {
		return false
	}
	if !u.fleet.Workers.Done(j.ID) {
		u.addViolation("not_done: %s is called done", j.ID)
	}
	u.update(func() { u.doneJobs++ })
	return true
}

// pollFinished polls jobs that were stored as finished before the start, and now and then one that does not
// exist, until ctx ends.
func (u *users) pollFinished(ctx context.Context) {
	stored := u.config.Finished + u.config.Archived
	if stored == 0 || u.config.FinalPollsPerS == 0 {
		return
	}
	random := rand.New(rand.NewPCG(u.config.Seed, 2))
	for sleep(ctx, time.Duration(float64(time.Second)/u.config.FinalPollsPerS)) {
		i := random.IntN(stored + stored/10 + 1)
		began := time.Now()
		s, err := u.fleet.Poll("job-" + finishedID(i))
		switch exists := i < stored; {
		case err != nil:
			u.addFailure()
		case exists && s.State != doneState:
			u.addViolation("went_back: job-%s, which was done, is answered %d %q", finishedID(i), s.Code, s.State)
		case !exists && s.Code != http.StatusNotFound:
			u.addViolation("invented: job-%s is answered %d %q", finishedID(i), s.Code, s.State)
		default:
			u.update(func() { u.finalPollLatency.record(time.Since(began)) })
		}
	}
}
