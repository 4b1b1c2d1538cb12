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
	// pollInterval is the interval at which a user polls an unfinished job, as the protocol specifies.
	pollInterval = 5 * time.Second
	// submitTimeout limits how long a user retries a submission or a cancellation, as the protocol specifies.
	submitTimeout = time.Minute
	// maxInFlight limits the concurrent submissions of short jobs. Jobs beyond the limit are skipped.
	maxInFlight = 512
)

// Shapes of jobs in the protocol.
const (
	serviceShape = "service"
	sweepShape   = "sweep"
)

// doneState is the state of a completed job in responses.
const doneState = "done"

// users simulates the users of an experiment, and records latencies, counts and rule violations.
type users struct {
	fleet      *loopbacktest.Fleet
	config     *Config
	random     *rand.Rand     // used only by submitShortJobs
	inFlight   chan struct{}  // holds one element per concurrent submission of a short job
	background sync.WaitGroup // one goroutine per short job

	mu                     sync.Mutex // guards the fields below
	nextJob                int        // number of the next job to submit
	submitLatency          latencyHistogram
	pollLatency            latencyHistogram
	finishedJobPollLatency latencyHistogram // latency of polls for finished jobs that were stored before the controllers started
	acceptedJobs           int
	skippedJobs            int
	failedRequests         int
	doneJobs               int
	cancelledJobs          int
	violations             []string // responses that break a rule
	bursts                 burstStats
}

func newUsers(f *loopbacktest.Fleet, c *Config) *users {
	return &users{
		fleet: f, config: c, random: rand.New(rand.NewPCG(c.Seed, 1)), nextJob: firstSubmittedJob, inFlight: make(chan struct{}, maxInFlight),
		submitLatency: newLatencyHistogram(), pollLatency: newLatencyHistogram(), finishedJobPollLatency: newLatencyHistogram(),
		bursts: burstStats{acceptLatency: newLatencyHistogram(), retryAfter: newLatencyHistogram()},
	}
}

// update calls f with mu held.
func (u *users) update(f func()) {
	u.mu.Lock()
	defer u.mu.Unlock()
	f()
}

// addViolation records a response that breaks a rule.
func (u *users) addViolation(format string, args ...any) {
	u.update(func() { u.violations = append(u.violations, fmt.Sprintf(format, args...)) })
}

// addFailedRequest counts a request that failed after its retries.
func (u *users) addFailedRequest() { u.update(func() { u.failedRequests++ }) }

// newJob returns the next job to submit. It assigns the jobs to the teams in round-robin order.
func (u *users) newJob(shape string, tasks int) loopbacktest.Job {
	u.mu.Lock()
	defer u.mu.Unlock()
	id := "job-" + submittedID(u.nextJob)
	team := teamName(u.nextJob % u.config.Teams)
	u.nextJob++
	return loopbacktest.Job{ID: id, Shape: shape, Tasks: tasks, RunTime: u.config.TaskTime, Team: team, CPUs: 1}
}

func teamName(i int) string { return fmt.Sprintf("team-%03d", i) }

// submitStandingJobs submits the jobs whose tasks run for the whole experiment.
func (u *users) submitStandingJobs(ctx context.Context) error {
	for remaining := u.config.standingTasks(); remaining > 0; remaining -= u.config.TasksPerStandingJob {
		j := u.newJob(serviceShape, min(remaining, u.config.TasksPerStandingJob))
		if err := u.fleet.Submit(j, submitTimeout); err != nil {
			return fmt.Errorf("submit a standing job: %w", err)
		}
		if ctx.Err() != nil {
			return ctx.Err()
		}
	}
	return nil
}

// submitShortJobs submits short jobs at the configured rate until ctx ends. For each job, a goroutine of u.background
// submits it, and polls or cancels it.
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
			u.update(func() { u.skippedJobs++ })
		}
	}
}

// runShortJob submits a job. If cancelAfter is negative, it polls the job until the job is done or ctx ends. Otherwise it
// cancels the job after cancelAfter, or when ctx ends.
func (u *users) runShortJob(ctx context.Context, j loopbacktest.Job, cancelAfter time.Duration) {
	began := time.Now()
	err := u.fleet.Submit(j, submitTimeout)
	<-u.inFlight
	if err != nil {
		u.addFailedRequest()
		return
	}
	u.update(func() {
		u.acceptedJobs++
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

// cancel cancels an accepted job.
func (u *users) cancel(j loopbacktest.Job) {
	s, err := u.fleet.Cancel(j.ID, submitTimeout)
	switch {
	case err != nil:
		u.addFailedRequest()
	case s.Code == http.StatusNotFound:
		u.addViolation("forgotten: the cancellation of the accepted %s returned status 404", j.ID)
	default:
		u.update(func() { u.cancelledJobs++ })
	}
}

// poll polls an accepted job once. It returns true if the job needs no further polls.
func (u *users) poll(j loopbacktest.Job) (finished bool) {
	began := time.Now()
	s, err := u.fleet.Poll(j.ID)
	switch {
	case err != nil:
		u.addFailedRequest()
		return false
	case s.Code == http.StatusNotFound:
		u.addViolation("forgotten: a poll of the accepted %s returned status 404", j.ID)
		return true
	}
	u.update(func() { u.pollLatency.record(time.Since(began)) })
	if s.State != doneState {
		return false
	}
	if !u.fleet.Workers.JobDone(j.ID) {
		u.addViolation("not_done: a poll returned that %s is done, but not all of its tasks have completed", j.ID)
	}
	u.update(func() { u.doneJobs++ })
	return true
}

// pollFinishedJobs polls finished jobs that were stored before the controllers started, until ctx ends. About one poll in
// eleven is for a job that does not exist; the share is larger if few jobs are stored.
func (u *users) pollFinishedJobs(ctx context.Context) {
	stored := u.config.FinishedJobs + u.config.ArchivedJobs
	if stored == 0 || u.config.FinishedJobPollsPerS == 0 {
		return
	}
	random := rand.New(rand.NewPCG(u.config.Seed, 2))
	for sleep(ctx, time.Duration(float64(time.Second)/u.config.FinishedJobPollsPerS)) {
		index := random.IntN(stored + stored/10 + 1)
		began := time.Now()
		s, err := u.fleet.Poll("job-" + finishedID(index))
		switch exists := index < stored; {
		case err != nil:
			u.addFailedRequest()
		case exists && s.State != doneState:
			u.addViolation("went_back: a poll of the finished job-%s returned status %d, state %q", finishedID(index), s.Code, s.State)
		case !exists && s.Code != http.StatusNotFound:
			u.addViolation("invented: a poll of job-%s, which does not exist, returned status %d, state %q", finishedID(index), s.Code, s.State)
		default:
			u.update(func() { u.finishedJobPollLatency.record(time.Since(began)) })
		}
	}
}
