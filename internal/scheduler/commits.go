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

const (

	// acceptanceBytes is about what the record of an accepted job takes. It gives the pace
	// of acceptances until that is measured.
	acceptanceBytes = 250
)

// maxSubmissionWait is how long a submission may wait to be recorded: its user gives up after 5 s, by
// the protocol, and the answer has to travel.
const maxSubmissionWait = 3 * time.Second

// newAdmission admits submissions that are expected to be recorded while their users wait.
func newAdmission(s *config.Settings) *admission.Limiter {
	pace := float64(s.State.BytesWithin(time.Second)) / acceptanceBytes
	return admission.NewLimiter(maxSubmissionWait, pace, len(s.Teams))
}

// admit tells whether a team's submission may wait to be recorded.
func (d *scheduler) admit(team string) bool {
	return d.admission.Admit(team, d.journal.SpareBytes()/acceptanceBytes)
}

// markRecord notes that an entity's record must be written; data is asked for its value when it
// is. It returns nil to remove the entity.
func (d *scheduler) markRecord(key string, data func() any) {
	d.queue.Mark(groupcommit.Bulk, key, data)
}

// markJob notes that a job's own record must be written: users wait for that.
func (d *scheduler) markJob(j *cluster.Job) {
	d.queue.Mark(jobLane(j), storage.JobKey(j.Spec.ID), func() any { return j.Record() })
}

// jobLane is the lane of a job's own record. A cancelled job's tasks run to nobody's use, so it
// doesn't wait behind acceptances.
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

func (d *scheduler) markPage(j *cluster.Job, task int) {
	p := task / storage.PageTasks
	d.queue.Mark(pageLane(j), storage.PageKey(j.Spec.ID, p), func() any {
		if rec := j.PageRecord(p); rec != nil {
			return rec
		}
		return nil
	})
}

func (d *scheduler) markMachine(m *cluster.Machine) {
	m.Recorded = true
	d.markRecord(storage.MachineKey(m.ID), func() any { return m.Record() })
}

// pageDurable tells whether a task's page is durable as it stands.
func (d *scheduler) pageDurable(id worker.TaskID) bool {
	return d.queue.Durable(storage.PageKey(id.Job, id.Task/storage.PageTasks))
}

// onCommit calls f once all that is marked now is durable.
func (d *scheduler) onCommit(f func(error)) { d.queue.OnAllDurable(f) }

// onJobCommit calls f once a job's own record is durable as it is marked now.
func (d *scheduler) onJobCommit(j *cluster.Job, f func(error)) { d.queue.OnDurable(f, jobLane(j)) }

// startWhenDurable starts what was booked once its jobs and pages are durable. Urgent work doesn't
// wait for the rest.
func (d *scheduler) startWhenDurable(booked []*cluster.Attempt) {
	var urgent, others []*cluster.Attempt
	for _, a := range booked {
		if a.Job.Urgent() {
			urgent = append(urgent, a)
		} else {
			others = append(others, a)
		}
	}
	starts := func(booked []*cluster.Attempt) func(error) {
		return func(err error) {
			if err == nil {
				d.startReserved(booked)
			}
		}
	}
	if len(urgent) > 0 {
		d.queue.OnDurable(starts(urgent), groupcommit.Urgent)
	}
	if len(others) > 0 {
		d.onCommit(starts(others))
	}
}

// flush hands what is marked to the journal, as much as one commit holds, unless one is
// under way. Of the bulk lane it takes what leaves changes for the others.
func (d *scheduler) flush(ctx context.Context) {
	if !d.queue.Idle() {
		return
	}
	d.limitBulk(time.Now())
	records, ok := d.queue.BeginCommit(d.settings.CommitBytes(), func(key string, err error) {
		d.log.Error("record not encoded", "key", key, "err", err)
	})
	if !ok {
		return
	}
	d.commitStarted = time.Now()
	d.journal.Append(ctx, storage.Batch{Records: records, Ack: func(err error) { d.post(committedMessage{err}) }})
}

// limitBulk lets the bulk lane use what the journal has saved beyond a reserve.
func (d *scheduler) limitBulk(now time.Time) {
	if d.queue.Waiting(groupcommit.Bulk) == 0 {
		return
	}
	saved, burst, _ := d.journal.Budget()
	allowed := d.bulkPace.Allow(now, saved, burst) * d.journal.ChangeBytes()
	d.queue.LimitBulk(int(min(allowed, math.MaxInt32)))
}

// bulkHeld tells whether records wait only because the bulk lane is held back, and in what time
// it is to be looked at again.
func (d *scheduler) bulkHeld(now time.Time) (again time.Duration, held bool) {
	if !d.queue.Idle() || d.queue.Waiting(groupcommit.Bulk) == 0 {
		return 0, false
	}
	saved, burst, rate := d.journal.Budget()
	return d.bulkPace.Due(now, saved, burst, rate), true
}

// handleCommitted takes in what became of the commit under way.
func (d *scheduler) handleCommitted(err error) {
	took := time.Since(d.commitStarted)
	d.commitStarted = time.Time{}
	d.acceptedInCommit = 0
	if full := d.queue.EndCommit(err); full && !d.journal.CanBurst() {
		d.admission.RecordThroughput(d.acceptedInCommit, took)
	}
	d.waiters = slices.DeleteFunc(d.waiters, func(w *waiter) bool { return w.answered })
}

// removed is the value of an entity that is to be removed.
func removed() any { return nil }

// committedMessage tells what became of the commit under way.
type committedMessage struct{ err error }

func (m committedMessage) handle(d *scheduler) { d.handleCommitted(m.err) }
