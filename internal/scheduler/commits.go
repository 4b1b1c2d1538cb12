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

// acceptedJobBytes is the typical size of an accepted job's record, in bytes. It converts numbers of bytes to numbers of
// submissions. newAdmission uses it for the initial throughput, which applies until the throughput has been measured.
const acceptedJobBytes = 250

// maxSubmissionWait is how long a submission may wait for its commit. The protocol lets users time out after 5 s, and the
// response needs time to arrive.
const maxSubmissionWait = 3 * time.Second

// newAdmission returns a limiter that admits a submission if its commit is expected within maxSubmissionWait.
func newAdmission(s *config.Settings) *admission.Limiter {
	throughput := float64(s.State.BytesWithin(time.Second)) / acceptedJobBytes
	return admission.NewLimiter(maxSubmissionWait, throughput, len(s.Teams))
}

// admitSubmission reports whether a team's submission may wait for a commit. An admitted submission counts as waiting until
// admission.MarkRecorded is called.
func (s *scheduler) admitSubmission(team string) bool {
	return s.admission.Admit(team, s.journal.AvailableBytes()/acceptedJobBytes)
}

// markRecord marks a record to be written in the bulk lane. A lane is a priority class of the records that wait for a commit.
// The bulk lane is for records that neither users nor urgent jobs wait for. data is called when the commit begins. It returns
// the record's value, or nil to remove the record.
func (s *scheduler) markRecord(key string, data func() any) {
	s.queue.Mark(groupcommit.Bulk, key, data)
}

// markJob marks a job's own record to be written. The job's user may be waiting until the record is durable.
func (s *scheduler) markJob(j *cluster.Job) {
	s.queue.Mark(jobLane(j), storage.JobKey(j.Spec.ID), func() any { return j.Record() })
}

// jobLane returns the lane of a job's own record. Urgent jobs and cancelled jobs use the urgent lane. A cancellation frees
// resources, so it must not wait behind submissions.
func jobLane(j *cluster.Job) groupcommit.Lane {
	if j.Urgent() || j.Phase == storage.PhaseCancelled {
		return groupcommit.Urgent
	}
	return groupcommit.Interactive
}

// pageLane returns the lane of a job's page records. They hold the reservations of the job's tasks. A task is started only
// after its reservation is durable.
func pageLane(j *cluster.Job) groupcommit.Lane {
	if j.Urgent() {
		return groupcommit.Urgent
	}
	return groupcommit.Bulk
}

// markPage marks the page record of a job's task to be written. A page record holds the states of several tasks.
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
	return s.queue.IsDurable(storage.TaskPageKey(id.Job, id.Task/storage.TasksPerPage))
}

// onCommit calls f with nil once all records that are marked at the time of the call are durable. If a commit fails before
// that, it calls f with the commit's error.
func (s *scheduler) onCommit(f func(error)) { s.queue.OnAllDurable(f) }

// onJobCommit calls f with nil once the current value of a job's own record is durable. If a commit fails before that, it calls
// f with the commit's error.
func (s *scheduler) onJobCommit(j *cluster.Job, f func(error)) { s.queue.OnDurable(f, jobLane(j)) }

// startWhenDurable starts reserved attempts once their job records and page records are durable. Attempts of urgent jobs wait
// only for the urgent lane. The other attempts wait for all lanes.
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

// flush starts a commit of the marked records, up to the size limit of one commit. If a commit is in flight it does nothing.
// The bulk lane is limited, so that enough of the journal's change budget remains for the other lanes. The budget limits the
// rate of the operations that the journal may send to the key-value store.
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

// limitBulk limits how many bytes of records the next commit may take from the bulk lane. The journal's change budget is a
// token bucket, and each operation of a transaction takes one token. bulkPacer reserves part of the bucket for the other
// lanes, and returns how many tokens above this part the bulk lane may use. BytesPerChange is the number of bytes for each
// token. Once the bulk lane has been held back for too long, bulkPacer lets one commit take any number of bytes from the lane.
func (s *scheduler) limitBulk(now time.Time) {
	if s.queue.Waiting(groupcommit.Bulk) == 0 {
		return
	}
	saved, burst, _ := s.journal.ChangeBudget()
	allowed := s.bulkPacer.Allow(now, saved, burst) * s.journal.BytesPerChange()
	s.queue.LimitBulk(int(min(allowed, math.MaxInt32)))
}

// bulkThrottled reports whether records of the bulk lane wait although no commit is in flight. In that case they wait only
// because the lane is throttled, and retryAfter is the time after which the lane may be written again.
func (s *scheduler) bulkThrottled(now time.Time) (retryAfter time.Duration, throttled bool) {
	if !s.queue.Idle() || s.queue.Waiting(groupcommit.Bulk) == 0 {
		return 0, false
	}
	saved, burst, rate := s.journal.ChangeBudget()
	return s.bulkPacer.RetryAfter(now, saved, burst, rate), true
}

// handleCommitted ends the commit in flight. EndCommit calls the callbacks that waited for the commit. The callbacks of
// accepted jobs increment acceptedInCommit, from which the throughput of submissions is measured.
func (s *scheduler) handleCommitted(err error) {
	duration := time.Since(s.commitStarted)
	s.commitStarted = time.Time{}
	s.acceptedInCommit = 0
	if full := s.queue.EndCommit(err); full && !s.journal.CanBurst() {
		s.admission.RecordThroughput(s.acceptedInCommit, duration)
	}
	s.waiters = slices.DeleteFunc(s.waiters, func(w *waiter) bool { return w.answered })
}

// noData returns nil. It is passed to Mark as the data function of a record that is to be removed.
func noData() any { return nil }

// committedMessage carries the result of the commit in flight.
type committedMessage struct{ err error }

func (m committedMessage) handle(s *scheduler) { s.handleCommitted(m.err) }
