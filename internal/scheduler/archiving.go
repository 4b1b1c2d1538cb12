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

// Jobs that are over leave the leader's table and the journal for the archive: the archive's page is durable first, then the
// job's record is removed. A leader that ends in between leaves the job in both places, and the next one
// offers it again.

const (

	// maxArchiveBatch is how many finished jobs are offered to the archive at a time.
	maxArchiveBatch = 4096
)

// newArchive makes the node's keeper of the archive.
func newArchive(s *config.Settings, deps Dependencies, limits *storage.LimitTracker) *archive.Archiver {
	tuning := &s.Tuning.Archive
	return archive.NewArchiver(deps.State, limits, archive.Settings{
		RefreshInterval: s.WorkerLease, RequestTimeout: s.CallTimeout(), MemoryBytes: tuning.MemoryBytes, Follow: tuning.Enabled,
	}, deps.Log)
}

// Messages of the archive to the dispatcher.
type (
	archiveReadMessage struct {
		user   userMessage
		result archive.Result
		err    error
	}
	archivedMessage struct {
		jobs []archive.JobNumber
		err  error
	}
	restoreMessage struct {
		entries []archive.Entry
		reply   chan error
	}
)

// archivedAnswer tells a user of an archived job.
func archivedAnswer(id string, final archive.FinalState) api.Response {
	state := api.StateDone
	if final.Cancelled {
		state = api.StateCancelled
	}
	return api.Response{Code: api.CodeOK, ID: id, State: state, Done: final.Done}
}

// archived answers a request from the archive's pages in memory, if they hold the job. Any node may.
func (n *Node) archived(req api.Request) (a api.Response, ok bool) {
	rank, ok := archive.ParseJobNumber(req.ID)
	if !ok {
		return api.Response{}, false
	}
	r := n.archive.Index.Lookup(rank)
	return archivedAnswer(req.ID, r.Final), r.Knowledge == archive.Found
}

// answerArchived sees to a request for a job that isn't held, and tells whether it has answered it, or will once the job's page has been
// read. It returns false if the job is known not to be archived, or nothing may be told anyway.
func (d *scheduler) answerArchived(m userMessage, now time.Time) bool {
	rank, ok := archive.ParseJobNumber(m.req.ID)
	if !d.archiveUsed || !ok {
		return false
	}
	r := d.archive.Index.Lookup(rank)
	switch {
	case r.Knowledge == archive.Found:
		m.reply <- archivedAnswer(m.req.ID, r.Final)
		return true
	case m.absent, r.Knowledge == archive.Absent && r.Term == d.term, !d.leaseValid(now):
		return false
	}
	d.readArchive(m, rank)
	return true
}

// readArchive has a job's page read and brings the result back to the dispatcher.
func (d *scheduler) readArchive(m userMessage, rank archive.JobNumber) {
	d.background(d.settings.CallTimeout(), func(ctx context.Context) {
		result, err := d.archive.Read(ctx, rank)
		d.post(archiveReadMessage{m, result, err})
	})
}

// handleArchiveRead goes on with a request whose job's page was read. Only a page that was read in this term
// tells that a job isn't archived.
func (d *scheduler) handleArchiveRead(m archiveReadMessage) {
	id := m.user.req.ID
	switch {
	case m.err != nil:
		m.user.reply <- api.Unavailable(id, m.err.Error())
	case m.result.Knowledge == archive.Found:
		m.user.reply <- archivedAnswer(id, m.result.Final)
	case m.result.Knowledge == archive.Absent && m.result.Term == d.term:
		m.user.absent = true
		d.handleUser(m.user)
	case m.result.Knowledge == archive.Damaged:
		m.user.reply <- api.Unavailable(id, fmt.Sprintf("key %s is damaged", m.result.Key))
	default:
		m.user.reply <- api.Unavailable(id, "the archive isn't read yet")
	}
}

// finalizeArchived makes a job final that is held as open though it is archived: the final record wins.
func (d *scheduler) finalizeArchived(j *cluster.Job) {
	rank, ok := archive.ParseJobNumber(j.Spec.ID)
	if !d.archiveUsed || !ok || j.Phase != storage.Open {
		return
	}
	r := d.archive.Index.Lookup(rank)
	if r.Knowledge != archive.Found {
		return
	}
	d.log.Error("an open job is archived as final", "job", j.Spec.ID, "phase", r.Final.Phase())
	j.Phase, j.Done, j.Acknowledged, j.FinalDurable = r.Final.Phase(), r.Final.Done, true, true
	d.activation.release(j)
	d.state.Jobs.TrackCancelling(j)
	d.markJob(j)
	d.stopJob(j)
	d.commandJobStops(j)
	d.retire(j)
}

// compareArchive looks once a term, when all pages are read, for open jobs that are archived.
func (d *scheduler) compareArchive() {
	if !d.archiveUsed || d.archiveCompared || !d.archive.Index.ExactFor(d.term) {
		return
	}
	d.archiveCompared = true
	for _, j := range d.state.Jobs.Open {
		d.finalizeArchived(j)
	}
}

// useArchive notes that jobs may be archived from now on, or were in an earlier term. That holds for the rest of the term,
// whatever becomes of the gate.
func (d *scheduler) useArchive() {
	d.archiveUsed = d.archiveUsed || d.gates.Gate(upgrade.JobArchive).Used
}

// archiveFinished offers finished jobs to the archive, where there are more than are to be kept.
func (d *scheduler) archiveFinished(now time.Time) {
	tuning := &d.settings.Tuning.Archive
	if !tuning.Enabled || d.archiving || !d.leaseValid(now) || d.state.Jobs.Finished() <= tuning.KeepInJournal || !d.mayUse(upgrade.JobArchive) {
		return
	}
	d.archiving = true
	d.offerToArchive(d.state.Jobs.NextFinished(maxArchiveBatch))
}

// archiveCalls is how many calls to the state service an offer may take, behind others.
const archiveCalls = 4

// offerToArchive hands finished jobs to the archive, and brings back which of them are durable there.
func (d *scheduler) offerToArchive(entries []archive.Entry) {
	d.background(archiveCalls*d.settings.CallTimeout(), func(ctx context.Context) {
		jobs, err := d.archive.Archive(ctx, entries)
		d.post(archivedMessage{jobs, err})
	})
}

// handleArchived forgets jobs that are archived, and has their records removed.
func (d *scheduler) handleArchived(m archivedMessage) {
	d.archiving = false
	if m.err != nil {
		d.log.Debug("nothing archived", "err", m.err)
		return
	}
	for _, rank := range m.jobs {
		j := d.state.Jobs.RemoveFinished(rank)
		if j == nil {
			continue
		}
		d.queue.Mark(jobLane(j), storage.JobKey(j.Spec.ID), removed)
		for _, key := range j.StoredPages {
			d.markRecord(key, removed)
		}
	}
	if len(m.jobs) > 0 {
		d.log.Debug("archived", "jobs", len(m.jobs), "left", d.state.Jobs.Finished())
	}
}

// errArchivingInProgress says that jobs are on their way to the archive.
var errArchivingInProgress = errors.New("jobs are being archived")

// restoreArchived takes archived jobs back into the journal. While an offer is under way nothing is taken back: its answer could remove a job
// from the journal whose page is dropped then.
func (d *scheduler) restoreArchived(m restoreMessage) {
	if d.archiving {
		m.reply <- errArchivingInProgress
		return
	}
	for _, e := range m.entries {
		if d.state.Jobs.Get(e.Number.ID()) != nil {
			continue // its record was never removed
		}
		j := cluster.RestoredJob(e)
		d.state.Jobs.Add(j)
		d.trackFinished(j)
		d.markJob(j)
	}
	d.onCommit(func(err error) { m.reply <- err })
}

// trackFinished notes that a job may be archived.
func (d *scheduler) trackFinished(j *cluster.Job) {
	if d.settings.Tuning.Archive.Enabled {
		d.state.Jobs.TrackFinished(j)
	}
}

func (m archiveReadMessage) handle(d *scheduler) { d.handleArchiveRead(m) }

func (m archivedMessage) handle(d *scheduler) { d.handleArchived(m) }

func (m restoreMessage) handle(d *scheduler) { d.restoreArchived(m) }
