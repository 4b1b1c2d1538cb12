package scheduler

import (
	"context"
	"math"
	"slices"
	"time"

	"sagevale/internal/admission"
	"sagevale/internal/cluster"
	"sagevale/internal/config"
	"sagevale/internal/groupcommit"
	"sagevale/internal/storage"
	"sagevale/internal/worker"
)

// acceptanceBytes is the typical size of an accepted job's record, in bytes. It gives the expected throughput of
// submissions until that is measured.
const acceptanceBytes = 250

// maxSubmissionWait is how long a submission may wait for its commit. By the protocol users time out after 5 s, and
// the response needs time to arrive.
const maxSubmissionWait = 3 * time.Second

// newAdmission returns the limiter that admits submissions that are expected to be committed while their users wait.
func newAdmission(s *config.Settings) *admission.Limiter {
	throughput := float64(s.State.BytesWithin(time.Second)) / acceptanceBytes
	return admission.NewLimiter(maxSubmissionWait, throughput, len(s.Teams))
}

// admitSubmission reports whether a team's submission may wait for a commit.
func (s *scheduler) admitSubmission(team string) bool {
	return s.admission.Admit(team, s.journal.SpareBytes()/acceptanceBytes)
}

// markRecord has an entity's record written in the bulk lane. data returns its value at the time of the write, or nil
// to remove the entity.
func (s *scheduler) markRecord(key string, data func() any) {
	s.queue.Mark(groupcommit.Bulk, key, data)
}

// markJob has a job's own record written. Users wait for that.
func (s *scheduler) markJob(j *cluster.Job) {
	s.queue.Mark(jobLane(j), storage.JobKey(j.Spec.ID), func() any { return j.Record() })
}

// jobLane is the lane of a job's own record. A cancellation doesn't wait behind submissions, because it frees
// resources.
func jobLane(j *cluster.Job) groupcommit.Lane {
	if j.Urgent() || j.Phase == storage.Cancelled {
		return groupcommit.Urgent
	}
	return groupcommit.Interactive
}

// pageLane is the lane of a job's pages, in which its tasks' starts become durable.
func pageLane(j *cluster.Job) groupcommit.Lane {
	if j.Urgent() {
		return groupcommit.Urgent
	}
	return groupcommit.Bulk
}

// markPage has the page of a job's task written.
func (s *scheduler) markPage(j *cluster.Job, task int) {
	p := task / storage.PageTasks
	s.queue.Mark(pageLane(j), storage.PageKey(j.Spec.ID, p), func() any {
		if rec := j.PageRecord(p); rec != nil {
			return rec
		}
		return nil
	})
}

// markMachine has a machine's record written.
func (s *scheduler) markMachine(m *cluster.Machine) {
	m.Recorded = true
	s.markRecord(storage.MachineKey(m.ID), func() any { return m.Record() })
}

// pageDurable reports whether the present value of a task's page is durable.
func (s *scheduler) pageDurable(id worker.TaskID) bool {
	return s.queue.Durable(storage.PageKey(id.Job, id.Task/storage.PageTasks))
}

// onCommit calls f once everything that is marked now is durable, or with the error of its commit.
func (s *scheduler) onCommit(f func(error)) { s.queue.OnAllDurable(f) }

// onJobCommit calls f once the present value of a job's own record is durable, or with the error of its commit.
func (s *scheduler) onJobCommit(j *cluster.Job, f func(error)) { s.queue.OnDurable(f, jobLane(j)) }

// startWhenDurable starts reserved attempts once their jobs and pages are durable. Urgent work doesn't wait for the
// rest.
func (s *scheduler) startWhenDurable(reserved []*cluster.Attempt) {
	var urgent, others []*cluster.Attempt
	for _, a := range reserved {
		if a.Job.Urgent() {
			urgent = append(urgent, a)
		} else {
			others = append(others, a)
		}
	}
	start := func(attempts []*cluster.Attempt) func(error) {
		return func(err error) {
			if err == nil {
				s.startReserved(attempts)
			}
		}
	}
	if len(urgent) > 0 {
		s.queue.OnDurable(start(urgent), groupcommit.Urgent)
	}
	if len(others) > 0 {
		s.onCommit(start(others))
	}
}

// flush starts a commit of what is marked, as much as one commit holds, unless one is in flight. It takes only as much
// of the bulk lane as leaves changes for the other lanes.
func (s *scheduler) flush(ctx context.Context) {
	if !s.queue.Idle() {
		return
	}
	s.limitBulk(time.Now())
	records, ok := s.queue.BeginCommit(s.settings.CommitBytes(), func(key string, err error) {
		s.log.Error("record encoding failed", "key", key, "error", err)
	})
	if !ok {
		return
	}
	s.commitStarted = time.Now()
	s.journal.Append(ctx, storage.Batch{Records: records, Ack: func(err error) { s.post(committedMessage{err}) }})
}

// limitBulk lets the bulk lane use the changes that the journal has saved beyond a reserve.
func (s *scheduler) limitBulk(now time.Time) {
	if s.queue.Waiting(groupcommit.Bulk) == 0 {
		return
	}
	saved, burst, _ := s.journal.Budget()
	allowed := s.bulkPacer.Allow(now, saved, burst) * s.journal.ChangeBytes()
	s.queue.LimitBulk(int(min(allowed, math.MaxInt32)))
}

// bulkThrottled reports whether records wait only because the bulk lane is throttled, and after what time to try again.
func (s *scheduler) bulkThrottled(now time.Time) (retryAfter time.Duration, held bool) {
	if !s.queue.Idle() || s.queue.Waiting(groupcommit.Bulk) == 0 {
		return 0, false
	}
	saved, burst, rate := s.journal.Budget()
	return s.bulkPacer.Due(now, saved, burst, rate), true
}

// handleCommitted ends the commit in flight. Ending it calls what waited for it, which counts acceptances.
func (s *scheduler) handleCommitted(err error) {
	duration := time.Since(s.commitStarted)
	s.commitStarted = time.Time{}
	s.acceptedInCommit = 0
	if full := s.queue.EndCommit(err); full && !s.journal.CanBurst() {
		s.admission.RecordThroughput(s.acceptedInCommit, duration)
	}
	s.waiters = slices.DeleteFunc(s.waiters, func(w *waiter) bool { return w.answered })
}

// removed is the value of an entity whose record is to be removed.
func removed() any { return nil }

// committedMessage is the result of the commit in flight.
type committedMessage struct{ err error }

func (m committedMessage) handle(s *scheduler) { s.handleCommitted(m.err) }
