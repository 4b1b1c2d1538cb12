package fleetload

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"sagevale/internal/loopbacktest"
)

const (
	// pollEvery is how often users ask for a job that isn't over, by the protocol.
	pollEvery = 5 * time.Second
	// submitWithin is for how long a user repeats a request, by the protocol.
	submitWithin = time.Minute
	// mostUsers bounds requests under way; beyond it jobs aren't offered.
	mostUsers = 512
	// mostLatency is the longest latency that is told apart, in microseconds.
	mostLatency = int64(10 * time.Minute / time.Microsecond)
)

// load is the users of an experiment.
type load struct {
	fleet  *loopbacktest.Fleet
	config *Config
	random *rand.Rand
	next   int
	users  chan struct{}
	wait   sync.WaitGroup

	mu            sync.Mutex
	submitTime    *hdrhistogram.Histogram
	pollTime      *hdrhistogram.Histogram
	finalPollTime *hdrhistogram.Histogram // for jobs that were over before the start
	submitted     int
	notOffered    int
	failed        int
	doneJobs      int
	cancelled     int
	broken        []string // answers that break a rule
	bursts        burstFigures
}

func newLoad(f *loopbacktest.Fleet, c *Config) *load {
	return &load{
		fleet: f, config: c, random: rand.New(rand.NewPCG(c.Seed, 1)), next: firstJob, users: make(chan struct{}, mostUsers),
		submitTime: hdrhistogram.New(1, mostLatency, 3), pollTime: hdrhistogram.New(1, mostLatency, 3), finalPollTime: hdrhistogram.New(1, mostLatency, 3),
		bursts: burstFigures{accepted: hdrhistogram.New(1, mostLatency, 3), told: hdrhistogram.New(1, mostLatency, 3)},
	}
}

// firstArrival numbers the first job that is submitted.
const firstJob = 1

func (l *load) newJob(shape string, tasks int) loopbacktest.Job {
	l.mu.Lock()
	defer l.mu.Unlock()
	id := "job-" + submittedID(l.next)
	team := teamName(l.next % l.config.Teams)
	l.next++
	return loopbacktest.Job{ID: id, Shape: shape, Tasks: tasks, Run: l.config.TaskTime, Team: team, CPUs: 1}
}

func teamName(i int) string { return fmt.Sprintf("team-%03d", i) }

// stand submits the standing tasks.
func (l *load) stand(ctx context.Context) error {
	for left := l.config.standing(); left > 0; left -= l.config.PerStanding {
		j := l.newJob("service", min(left, l.config.PerStanding))
		if err := l.fleet.Submit(j, submitWithin); err != nil {
			return fmt.Errorf("standing job: %w", err)
		}
		if ctx.Err() != nil {
			return ctx.Err()
		}
	}
	return nil
}

// churn submits short jobs at the rate asked for until ctx ends.
func (l *load) churn(ctx context.Context) {
	if l.config.StartsPerS == 0 {
		<-ctx.Done()
		return
	}
	pause := time.Duration(float64(l.config.TasksPerJob) / l.config.StartsPerS * float64(time.Second))
	tick := time.NewTicker(pause)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		j := l.newJob("sweep", l.config.TasksPerJob)
		j.Urgent = l.random.Float64() < l.config.UrgentShare
		cancelAfter := time.Duration(-1)
		if l.random.Float64() < l.config.CancelShare {
			cancelAfter = time.Duration(l.random.Float64() * float64(2*l.config.TaskTime))
		}
		select {
		case l.users <- struct{}{}:
			l.wait.Add(1)
			go l.user(ctx, j, cancelAfter)
		default:
			l.note(func() { l.notOffered++ })
		}
	}
}

// burstFigures is what the users of bursts have seen.
type burstFigures struct {
	accepted  *hdrhistogram.Histogram // from the first attempt to acceptance, in microseconds
	told      *hdrhistogram.Histogram // when those who were refused were told to return, in microseconds
	refusals  int                     // requests that were refused
	refused   int                     // submissions that were refused at least once
	atReturn  int                     // of those, accepted when they returned for the first time
	abandoned int                     // never accepted
}

// burst submits so many jobs of one task at once, by users who return when they are told to, and
// waits for the last of them.
func (l *load) burst(jobs int) {
	var users sync.WaitGroup
	for range jobs {
		j := l.newJob("sweep", 1)
		users.Add(1)
		go func() {
			defer users.Done()
			l.burstUser(j)
		}()
	}
	users.Wait()
}

func (l *load) burstUser(j loopbacktest.Job) {
	began, refusals := time.Now(), 0
	err := l.fleet.SubmitAsUser(j, submitWithin, func(s loopbacktest.Standing) {
		refusals++
		l.note(func() { _ = l.bursts.told.RecordValue(min(max(s.RetryAfter.Microseconds(), 1), mostLatency)) })
	})
	l.note(func() {
		l.bursts.refusals += refusals
		if refusals > 0 {
			l.bursts.refused++
		}
		if err != nil {
			l.bursts.abandoned++
			return
		}
		if refusals == 1 {
			l.bursts.atReturn++
		}
		_ = l.bursts.accepted.RecordValue(min(max(time.Since(began).Microseconds(), 1), mostLatency))
	})
}

func (l *load) note(f func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	f()
}

// user submits one job, and asks for it until it is over.
func (l *load) user(ctx context.Context, j loopbacktest.Job, cancelAfter time.Duration) {
	defer l.wait.Done()
	began := time.Now()
	err := l.fleet.Submit(j, submitWithin)
	<-l.users
	if err != nil {
		l.note(func() { l.failed++ })
		return
	}
	l.note(func() {
		l.submitted++
		_ = l.submitTime.RecordValue(min(max(time.Since(began).Microseconds(), 1), mostLatency))
	})
	if cancelAfter >= 0 {
		sleep(ctx, cancelAfter)
		l.cancel(j)
		return
	}
	for sleep(ctx, pollEvery) {
		if l.poll(j) {
			return
		}
	}
}

func (l *load) cancel(j loopbacktest.Job) {
	s, err := l.fleet.Cancel(j.ID, submitWithin)
	switch {
	case err != nil:
		l.note(func() { l.failed++ })
	case s.Status == http.StatusNotFound:
		l.breaks("forgotten: %s is answered 404 to its cancel", j.ID)
	default:
		l.note(func() { l.cancelled++ })
	}
}

// poll asks for a job once, and tells whether it is over.
func (l *load) poll(j loopbacktest.Job) bool {
	began := time.Now()
	s, err := l.fleet.Poll(j.ID)
	switch {
	case err != nil:
		l.note(func() { l.failed++ })
		return false
	case s.Status == http.StatusNotFound:
		l.breaks("forgotten: %s is answered 404", j.ID)
		return true
	}
	l.note(func() { _ = l.pollTime.RecordValue(min(max(time.Since(began).Microseconds(), 1), mostLatency)) })
	if s.Standing != "done" {
		return false
	}
	if !l.fleet.Workers.Done(j.ID) {
		l.breaks("not_done: %s is called done", j.ID)
	}
	l.note(func() { l.doneJobs++ })
	return true
}

// pollFinished asks for jobs that were over before the start, and for one that nobody submitted now and then.
func (l *load) pollFinished(ctx context.Context) {
	stored := l.config.Finished + l.config.Archived
	if stored == 0 || l.config.FinalPollsPerS == 0 {
		return
	}
	random := rand.New(rand.NewPCG(l.config.Seed, 2))
	for sleep(ctx, time.Duration(float64(time.Second)/l.config.FinalPollsPerS)) {
		i := random.IntN(stored + stored/10 + 1)
		began := time.Now()
		s, err := l.fleet.Poll("job-" + finishedID(i))
		switch known := i < stored; {
		case err != nil:
			l.note(func() { l.failed++ })
		case known && s.Standing != "done":
			l.breaks("went_back: job-%s, which was done, is answered %d %q", finishedID(i), s.Status, s.Standing)
		case !known && s.Status != http.StatusNotFound:
			l.breaks("invented: job-%s is answered %d %q", finishedID(i), s.Status, s.Standing)
		default:
			l.note(func() { _ = l.finalPollTime.RecordValue(min(max(time.Since(began).Microseconds(), 1), mostLatency)) })
		}
	}
}

func (l *load) breaks(format string, args ...any) {
	l.note(func() { l.broken = append(l.broken, fmt.Sprintf(format, args...)) })
}

// sleep waits, and tells whether it wasn't interrupted.
func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}
