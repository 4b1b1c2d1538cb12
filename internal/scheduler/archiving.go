package scheduler

import (
	"context"
	"errors"
	"fmt"
	"time"

	"sagevale/internal/api"
	"sagevale/internal/archive"
	"sagevale/internal/cluster"
	"sagevale/internal/config"
	"sagevale/internal/storage"
	"sagevale/internal/upgrade"
)

// Finished jobs move from the leader's memory and the journal to the archive. A job's record is removed from the journal
// only after the archive's page with the job is durable. If the leader's term ends between the two steps, both the journal
// and the archive contain the job, and the next leader archives it again.

// maxArchiveBatch is the maximum number of finished jobs in a batch for the archive.
const maxArchiveBatch = 4096

func newArchiver(s *config.Settings, deps Dependencies, limits *storage.LimitTracker) *archive.Archiver {
	tuning := &s.Tuning.Archive
	return archive.NewArchiver(deps.State, limits, archive.Settings{
		RefreshInterval: s.WorkerLease, RequestTimeout: s.StoreCallTimeout(), MemoryBytes: tuning.MemoryBytes, Follow: tuning.Enabled,
	}, deps.Log)
}

// Messages to the scheduler about the archive.
type (
	// archiveReadMessage carries the result of reading an archive page to answer a user's request for a job.
	archiveReadMessage struct {
		user   userMessage
		result archive.Result
		err    error
	}
	// archivedMessage carries the result of archiving a batch. jobs lists the jobs that are durable in the archive.
	archivedMessage struct {
		jobs []archive.JobNumber
		err  error
	}
	// restoreMessage requests that archived jobs be moved back to the journal.
	restoreMessage struct {
		entries []archive.Entry
		reply   chan error
	}
)

// archivedResponse returns the response to a request for an archived job.
func archivedResponse(id string, final archive.FinalState) api.Response {
	state := api.StateDone
	if final.Cancelled {
		state = api.StateCancelled
	}
	return api.Response{Code: api.CodeOK, ID: id, State: state, Done: final.Done}
}

// lookupArchived looks up the job of a request in the archive pages that this process holds in memory. If they contain the
// job, it returns the response and true. Followers may send this response too, because archived states are final.
func (n *Node) lookupArchived(req api.Request) (a api.Response, ok bool) {
	number, ok := archive.ParseJobNumber(req.ID)
	if !ok {
		return api.Response{}, false
	}
	r := n.archive.Index.Lookup(number)
	return archivedResponse(req.ID, r.FinalState), r.Status == archive.Found
}

// answerFromArchive handles a request for a job that isn't in the leader's memory. It returns true if the request has been
// answered, or if it has started to read the archive page that may contain the job. In the latter case, handleArchiveRead
// answers the request. It returns false if the job certainly isn't archived, or if this controller isn't certain to be the
// leader.
func (s *scheduler) answerFromArchive(m userMessage, now time.Time) bool {
	number, ok := archive.ParseJobNumber(m.req.ID)
	if !s.archiveInUse || !ok {
		return false
	}
	r := s.archive.Index.Lookup(number)
	switch {
	case r.Status == archive.Found:
		m.reply <- archivedResponse(m.req.ID, r.FinalState)
		return true
	case m.notArchived, r.Status == archive.Absent && r.Term == s.term, !s.leaseValid(now):
		return false
	}
	s.readArchive(m, number)
	return true
}

// readArchive starts a read of the archive page that may contain a job. The read runs in the background and sends its result
// to the scheduler.
func (s *scheduler) readArchive(m userMessage, number archive.JobNumber) {
	s.background(s.settings.StoreCallTimeout(), func(ctx context.Context) {
		result, err := s.archive.Read(ctx, number)
		s.post(archiveReadMessage{m, result, err})
	})
}

// handleArchiveRead continues to handle a user's request after the archive page that may contain its job has been read.
// Only a page that was read in this term proves that a job isn't archived.
func (s *scheduler) handleArchiveRead(m archiveReadMessage) {
	id := m.user.req.ID
	switch {
	case m.err != nil:
		m.user.reply <- api.Unavailable(id, m.err.Error())
	case m.result.Status == archive.Found:
		m.user.reply <- archivedResponse(id, m.result.FinalState)
	case m.result.Status == archive.Absent && m.result.Term == s.term:
		m.user.notArchived = true
		s.handleUser(m.user)
	case m.result.Status == archive.Damaged:
		m.user.reply <- api.Unavailable(id, fmt.Sprintf("key %s is damaged", m.result.Key))
	default:
		m.user.reply <- api.Unavailable(id, "the archive isn't read yet")
	}
}

// finalizeArchived handles a job that is open in memory although the archive contains it. The archived state is final and
// takes precedence, so the job gets the archived state and its attempts are stopped. Other jobs are left unchanged.
func (s *scheduler) finalizeArchived(j *cluster.Job) {
	number, ok := archive.ParseJobNumber(j.Spec.ID)
	if !s.archiveInUse || !ok || j.Phase != storage.PhaseOpen {
		return
	}
	r := s.archive.Index.Lookup(number)
	if r.Status != archive.Found {
		return
	}
	s.log.Error("open job found in archive", "job", j.Spec.ID, "phase", r.FinalState.Phase())
	j.Phase, j.Done, j.Acknowledged, j.FinalDurable = r.FinalState.Phase(), r.FinalState.Done, true, true
	s.activation.untrack(j)
	s.state.Jobs.TrackCancelling(j)
	s.markJob(j)
	s.stopJob(j)
	s.sendJobStops(j)
	s.releaseFinalJob(j)
}

// finalizeArchivedJobs calls finalizeArchived for all open jobs, because an open job may already have a final state in the
// archive. It does so once per term, after all pages of the archive have been read.
func (s *scheduler) finalizeArchivedJobs() {
	if !s.archiveInUse || s.archiveCompared || !s.archive.Index.ExactFor(s.term) {
		return
	}
	s.archiveCompared = true
	for _, j := range s.state.Jobs.Open {
		s.finalizeArchived(j)
	}
}

// updateArchiveInUse sets archiveInUse once the archive's gate is marked as used, because the archive may contain jobs from
// then on. archiveInUse remains set for the rest of the term, even if the gate is closed again.
func (s *scheduler) updateArchiveInUse() {
	s.archiveInUse = s.archiveInUse || s.gates.Gate(upgrade.JobArchive).Used
}

// archiveFinished starts to archive a batch of finished jobs if the journal contains more finished jobs than the setting
// KeepInJournal allows.
func (s *scheduler) archiveFinished(now time.Time) {
	tuning := &s.settings.Tuning.Archive
	if !tuning.Enabled || s.archiving || !s.leaseValid(now) || s.state.Jobs.FinishedCount() <= tuning.KeepInJournal || !s.mayUse(upgrade.JobArchive) {
		return
	}
	s.archiving = true
	s.writeToArchive(s.state.Jobs.NextFinished(maxArchiveBatch))
}

// archiveBatchCalls is the time limit for archiving a batch, as a multiple of Settings.StoreCallTimeout. The limit includes the
// time for which the batch's calls to the key-value store are queued behind other calls.
const archiveBatchCalls = 4

// writeToArchive archives finished jobs in the background. It then sends the scheduler the numbers of the jobs that are
// durable in the archive.
func (s *scheduler) writeToArchive(entries []archive.Entry) {
	s.background(archiveBatchCalls*s.settings.StoreCallTimeout(), func(ctx context.Context) {
		jobs, err := s.archive.Archive(ctx, entries)
		s.post(archivedMessage{jobs, err})
	})
}

// handleArchived removes the archived jobs from memory and from the journal.
func (s *scheduler) handleArchived(m archivedMessage) {
	s.archiving = false
	if m.err != nil {
		s.log.Debug("archiving failed", "error", m.err)
		return
	}
	for _, number := range m.jobs {
		j := s.state.Jobs.RemoveFinished(number)
		if j == nil {
			continue
		}
		s.queue.Mark(jobLane(j), storage.JobKey(j.Spec.ID), noData)
		for _, key := range j.StoredPages {
			s.markRecord(key, noData)
		}
	}
	if len(m.jobs) > 0 {
		s.log.Debug("jobs archived", "count", len(m.jobs), "remaining", s.state.Jobs.FinishedCount())
	}
}

// errArchivingInProgress reports that jobs can't be restored because a batch of jobs is being archived.
var errArchivingInProgress = errors.New("jobs are being archived")

// restoreArchived adds archived jobs to the journal again, before their page is removed from the archive. It fails while a
// batch is being archived: at the end of that batch, handleArchived could remove a restored job from the journal, and the job
// would be lost once its page is removed from the archive.
func (s *scheduler) restoreArchived(m restoreMessage) {
	if s.archiving {
		m.reply <- errArchivingInProgress
		return
	}
	for _, e := range m.entries {
		if s.state.Jobs.Get(e.Number.ID()) != nil {
			continue // the job's record was never removed from the journal
		}
		j := cluster.RestoredJob(e)
		s.state.Jobs.Add(j)
		s.trackFinished(j)
		s.markJob(j)
	}
	s.onCommit(func(err error) { m.reply <- err })
}

// trackFinished adds a job to the finished jobs that may be archived, if archiving is enabled.
func (s *scheduler) trackFinished(j *cluster.Job) {
	if s.settings.Tuning.Archive.Enabled {
		s.state.Jobs.TrackFinished(j)
	}
}

func (m archiveReadMessage) handle(s *scheduler) { s.handleArchiveRead(m) }

func (m archivedMessage) handle(s *scheduler) { s.handleArchived(m) }

func (m restoreMessage) handle(s *scheduler) { s.restoreArchived(m) }
