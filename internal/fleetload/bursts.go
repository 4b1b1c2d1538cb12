package fleetload

import (
	"sync"
	"time"

	"sagevale/internal/loopbacktest"
)

// BurstFigures are the counts of bursts of submissions.
type BurstFigures struct {
	Refusals        int `json:"refusals"`  // refused requests
	Refused         int `json:"refused"`   // submissions that were refused at least once
	AcceptedOnRetry int `json:"at_return"` // of those, accepted by the first retry
	Abandoned       int `json:"abandoned"` // submissions that were never accepted
}

// burstStats are the measurements of bursts. users.mu guards them.
type burstStats struct {
	BurstFigures
	accepted   latencyHistogram // from the first request to acceptance
	retryAfter latencyHistogram // pauses that refusals ask for
}

// burst submits jobs of one task each at the same time, with retries as the refusals ask for, and waits
// for the last of them.
func (u *users) burst(jobs int) {
	var submissions sync.WaitGroup
	for range jobs {
		j := u.newJob(sweepShape, 1)
		submissions.Go(func() { u.submitInBurst(j) })
	}
	submissions.Wait()
}

// submitInBurst submits one job of a burst and records the outcome.
func (u *users) submitInBurst(j loopbacktest.Job) {
	began, refusals := time.Now(), 0
	err := u.fleet.SubmitWithBackoff(j, submitTimeout, func(s loopbacktest.JobStatus) {
		refusals++
		u.update(func() { u.bursts.retryAfter.record(s.RetryAfter) })
	})
	u.update(func() {
		u.bursts.Refusals += refusals
		if refusals > 0 {
			u.bursts.Refused++
		}
		if err != nil {
			u.bursts.Abandoned++
			return
		}
		if refusals == 1 {
			u.bursts.AcceptedOnRetry++
		}
		u.bursts.accepted.record(time.Since(began))
	})
}
