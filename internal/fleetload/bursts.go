package fleetload

import (
	"sync"
	"time"

	"sagevale/internal/loopbacktest"
)

// BurstFigures counts the submissions of all bursts by their outcomes. A request is refused if the controller asks the
// user to retry, or if no response arrives.
type BurstFigures struct {
	Refusals        int `json:"refusals"`  // refused requests that were retried
	Refused         int `json:"refused"`   // submissions with at least one retry
	AcceptedOnRetry int `json:"at_return"` // submissions that were accepted on the first retry
	Abandoned       int `json:"abandoned"` // submissions that were never accepted
}

// burstStats holds the measurements of all bursts. users.mu guards it.
type burstStats struct {
	BurstFigures
	acceptLatency latencyHistogram // from the first request to acceptance
	retryAfter    latencyHistogram // pauses that refusals asked for before the retries; 0 if a refusal asked for none
}

// submitBurst submits jobs of one task each at the same time, and waits until each of them is accepted or abandoned. A
// refused submission is retried as the protocol requires: after the pause that the refusal asks for, but at least a second
// later.
func (u *users) submitBurst(jobCount int) {
	var submissions sync.WaitGroup
	for range jobCount {
		j := u.newJob(sweepShape, 1)
		submissions.Go(func() { u.submitInBurst(j) })
	}
	submissions.Wait()
}

// submitInBurst submits one job of a burst, with retries, and records the outcome.
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
		u.bursts.acceptLatency.record(time.Since(began))
	})
}
