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

// acceptedJobBytes is the typical size of an accepted job's record, in bytes. The expected throughput of submissions is
// derived from it until the throughput has been measured.
const acceptedJobBytes = 250

// maxSubmissionWait is how long a submission may wait for its commit. The protocol lets users time out after 5 s, and the
// response needs time to arrive.
const maxSubmissionWait = 3 * time.Second

// newAdmission returns a limiter that admits submissions as long as their commits are expected within maxSubmissionWait.
func newAdmission(s *config.Settings) *admission.Limiter {
	throughput := float64(s.State.BytesWithin(time.Second)) / acceptedJobBytes
	return admission.NewLimiter(maxSubmissionWait, throughput, len(s.Teams))
}

// admitSubmission reports whether a team's submission is admitted to wait for a commit.
func (s *scheduler) admitSubmission(team string) bool {
	return s.admission.Admit(team, s.journal.AvailableBytes()/acceptedJobBytes)
}

// markRecord marks an entity's record to be written in the bulk lane. data is called when the commit begins. It returns
// the record's value, or nil to remove the record.
func (s *scheduler) markRecord(key string, data func() any) {
	s.queue.Mark(groupcommit.Bulk, key, data)
}

// markJob marks a job's own record to be written. The job's user may be waiting for it.
func (s *scheduler) markJob(j *cluster.Job) {
	s.queue.Mark(jobLane(j), storage.JobKey(j.Spec.ID), func() any { return j.Record() })
}

// jobLane returns the lane of a job's own record. A cancellation uses the urgent lane, so that it doesn't wait behind
// submissions, because it frees resources.
func jobLane(j *cluster.Job) groupcommit.Lane {
	if j.Urgent() || j.Phase == storage.PhaseCancelled {
		return groupcommit.Urgent
	}
	return groupcommit.Interactive
}

// pageLane returns the lane of a job's page records, which hold the reservations that must be durable before its tasks
// start.
func pageLane(j *cluster.Job) groupcommit.Lane {
	if j.Urgent() {
		return groupcommit.Urgent
	}
	return groupcommit.Bulk
}

// markPage marks the page record that contains a job's task to be written.
func (s *scheduler) markPage(j *cluster.Job, task int) {
	p := task / storage.TasksPerPage
	s.queue.Mark(pageLane(j), storage.TaskPageKey(j.Spec.ID, p), func() any {
		if rec := j.PageRecord(p); rec != nil {
			return rec
		}
		return nil
	})
}

// markMachine marks a machine's record to be written.
func (s *scheduler) markMachine(m *cluster.Machine) {
	m.Recorded = true
	s.markRecord(storage.MachineKey(m.ID), func() any { return m.Record() })
}

// pageDurable reports whether the current value of a task's page record is durable.
func (s *scheduler) pageDurable(id worker.TaskID) bool {
	return s.queue.Durable(storage.TaskPageKey(id.Job, id.Task/storage.TasksPerPage))
}

// onCommit calls f once all records that are marked now are durable, or with the error of a commit that failed.
func (s *scheduler) onCommit(f func(error)) { s.queue.OnAllDurable(f) }

// onJobCommit calls f once the current value of a job's own record is durable, or with the error of a commit that failed.
func (s *scheduler) onJobCommit(j *cluster.Job, f func(error)) { s.queue.OnDurable(f, jobLane(j)) }

// startWhenDurable starts reserved attempts once the records of their jobs and pages are durable. Attempts of urgent jobs
// wait only for the urgent lane.
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

// flush starts a commit of the marked records, up to the size limit of one commit, unless a commit is in flight. The
// bulk lane is limited so that journal changes are left for the other lanes.
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

// limitBulk limits the bulk lane to the changes that the journal has saved up beyond the reserve for the other lanes.
func (s *scheduler) limitBulk(now time.Time) {
	if s.queue.Waiting(groupcommit.Bulk) == 0 {
		return
	}
	saved, burst, _ := s.journal.ChangeBudget()
	allowed := s.bulkPacer.Allow(now, saved, burst) * s.journal.BytesPerChange()
	s.queue.LimitBulk(int(min(allowed, math.MaxInt32)))
}

// bulkThrottled reports whether records wait only because the bulk lane is throttled, which is so if no commit is in
// flight. It also returns after what time the lane may be written again.
func (s *scheduler) bulkThrottled(now time.Time) (retryAfter time.Duration, throttled bool) {
	if !s.queue.Idle() || s.queue.Waiting(groupcommit.Bulk) == 0 {
		return 0, false
	}
	saved, burst, rate := s.journal.ChangeBudget()
	return s.bulkPacer.RetryAfter(now, saved, burst, rate), true
}

// handleCommitted ends the commit in flight. EndCommit calls the callbacks that waited for it, and those of accepted jobs
// increment acceptedInCommit.
func (s *scheduler) handleCommitted(err error) {
	duration := time.Since(s.commitStarted)
	s.commitStarted = time.Time{}
	s.acceptedInCommit = 0
	if full := s.queue.EndCommit(err); full && !s.journal.CanBurst() {
		s.admission.RecordThroughput(s.acceptedInCommit, duration)
	}
	s.waiters = slices.DeleteFunc(s.waiters, func(w *waiter) bool { return w.answered })
}

// removed is the data function for a record that is to be removed.
func removed() any { return nil }

// committedMessage carries the result of the commit in flight.
type committedMessage struct{ err error }

func (m committedMessage) handle(s *scheduler) { s.handleCommitted(m.err) }
