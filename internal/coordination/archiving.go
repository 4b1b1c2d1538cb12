package coordination

import (
	"context"
	"errors"
	"fmt"
	"time"

	"sagevale/internal/archive"
	"sagevale/internal/storage"
	"sagevale/internal/upgrade"
)

// Jobs that are over leave the leader's table and the journal for the archive: the archive's page is durable first, then the
// job's record is removed. A leader that ends in between leaves the job in both places, and the next one
// offers it again.

// ArchiveTuning is the operators' part of the archive.
type ArchiveTuning struct {
	Enabled       bool // finished jobs are archived
	KeepInJournal int  // so many of them stay in the journal
	MemoryBytes   int  // of the archive's pages held in memory
}

const (
	// finishedBytes is what a finished job takes of the leader's memory.
	finishedBytes = 560
	// keepShare of the memory quota may go to finished jobs that aren't archived: the more there are, the
	// more of them go into one write of a page.
	keepShare = 0.01
	// pagesShare of it may go to the archive's pages.
	pagesShare = 1.0 / 16
	// restoreShare of it may go to finished jobs that are brought back.
	restoreShare = 0.25
	// offerMost is how many finished jobs are offered to the archive at a time.
	offerMost = 4096
)

func (s *Settings) defaultArchive() ArchiveTuning {
	quota := s.MemoryMB * (1 << 20)
	return ArchiveTuning{KeepInJournal: int(quota * keepShare / finishedBytes), MemoryBytes: int(quota * pagesShare)}
}

// mayRestore is how many archived jobs may be brought back into the journal.
func (s *Settings) mayRestore() int {
	return int(s.MemoryMB * (1 << 20) * restoreShare / finishedBytes)
}

// newArchive makes the node's keeper of the archive.
func newArchive(s *Settings, deps Dependencies, limits *storage.LimitTracker) *archive.Archiver {
	tuning := &s.Tuning.Archive
	return archive.NewArchiver(deps.State, limits, archive.Settings{
		Refresh: s.WorkerLease, CallTime: s.callTime(), MemoryBytes: tuning.MemoryBytes, Follow: tuning.Enabled,
	}, deps.Log)
}

// Messages of the archive to the dispatcher.
type (
	archiveReadMsg struct {
		user   userMsg
		result archive.Result
		err    error
	}
	movedMsg struct {
		ranks []archive.JobNumber
		err   error
	}
	restoreMsg struct {
		entries []archive.Entry
		reply   chan error
	}
)

// archivedAnswer tells a user of an archived job.
func archivedAnswer(id string, final archive.FinalState) Answer {
	state := StateDone
	if final.Cancelled {
		state = StateCancelled
	}
	return Answer{Code: CodeOK, ID: id, State: state, Done: final.Done}
}

// archived answers a request from the archive's pages in memory, if they hold the job. Any node may.
func (n *Node) archived(req UserRequest) (a Answer, ok bool) {
	rank, ok := archive.ParseJobNumber(req.ID)
	if !ok {
		return Answer{}, false
	}
	r := n.archive.Index.Lookup(rank)
	return archivedAnswer(req.ID, r.Final), r.Knowledge == archive.Found
}

// answerArchived sees to a request for a job that isn't held, and tells whether it has answered it, or will once the job's page has been
// read. It returns false if the job is known not to be archived, or nothing may be told anyway.
func (d *dispatcher) answerArchived(m userMsg, now time.Time) bool {
	rank, ok := archive.ParseJobNumber(m.req.ID)
	if !d.archiveUsed || !ok {
		return false
	}
	r := d.archive.Index.Lookup(rank)
	switch {
	case r.Knowledge == archive.Found:
		m.reply <- archivedAnswer(m.req.ID, r.Final)
		return true
	case m.absent, r.Knowledge == archive.Absent && r.Term == d.term, !d.certain(now):
		return false
	}
	go d.readArchive(m, rank)
	return true
}

// readArchive has a job's page read and brings the result back to the dispatcher.
func (d *dispatcher) readArchive(m userMsg, rank archive.JobNumber) {
	ctx, cancel := context.WithTimeout(d.ctx, d.settings.callTime())
	defer cancel()
	result, err := d.archive.Read(ctx, rank)
	d.post(archiveReadMsg{m, result, err})
}

// handleArchiveRead goes on with a request whose job's page was read. Only a page that was read in this term
// tells that a job isn't archived.
func (d *dispatcher) handleArchiveRead(m archiveReadMsg) {
	id := m.user.req.ID
	switch {
	case m.err != nil:
		m.user.reply <- Unavailable(id, m.err.Error())
	case m.result.Knowledge == archive.Found:
		m.user.reply <- archivedAnswer(id, m.result.Final)
	case m.result.Knowledge == archive.Absent && m.result.Term == d.term:
		m.user.absent = true
		d.handleUser(m.user)
	case m.result.Knowledge == archive.Damaged:
		m.user.reply <- Unavailable(id, fmt.Sprintf("key %s is damaged", m.result.Key))
	default:
		m.user.reply <- Unavailable(id, "the archive isn't read yet")
	}
}

// settleArchived makes a job final that is held as open though it is archived: the final record wins.
func (d *dispatcher) settleArchived(j *job) {
	rank, ok := archive.ParseJobNumber(j.spec.ID)
	if !d.archiveUsed || !ok || j.phase != storage.Open {
		return
	}
	r := d.archive.Index.Lookup(rank)
	if r.Knowledge != archive.Found {
		return
	}
	d.log.Error("an open job is archived as final", "job", j.spec.ID, "phase", r.Final.Phase())
	j.phase, j.done, j.known, j.settled = r.Final.Phase(), r.Final.Done, true, true
	d.activation.end(j)
	d.jobs.cancel(j)
	d.markJob(j)
	d.stopAll(j)
	d.orderStops(j)
	d.retire(j)
}

// compareArchive looks once a term, when all pages are read, for open jobs that are archived.
func (d *dispatcher) compareArchive() {
	if !d.archiveUsed || d.archiveCompared || !d.archive.Index.CompleteFor(d.term) {
		return
	}
	d.archiveCompared = true
	for _, j := range d.jobs.open {
		d.settleArchived(j)
	}
}

// useArchive notes that jobs may be archived from now on, or were in an earlier term. That holds for the rest of the term,
// whatever becomes of the gate.
func (d *dispatcher) useArchive() {
	d.archiveUsed = d.archiveUsed || d.gates.Gate(upgrade.JobArchive).Used
}

// moveFinished offers finished jobs to the archive, where there are more than are to be kept.
func (d *dispatcher) moveFinished(now time.Time) {
	tuning := &d.settings.Tuning.Archive
	if !tuning.Enabled || d.moving || !d.certain(now) || d.jobs.finished.Len() <= tuning.KeepInJournal || !d.mayUse(upgrade.JobArchive) {
		return
	}
	d.moving = true
	go d.offer(d.jobs.nextFinished(offerMost))
}

// offerCalls is how many calls to the state service an offer may take, behind others.
const offerCalls = 4

// offer hands finished jobs to the archive, and brings back which of them are durable there.
func (d *dispatcher) offer(entries []archive.Entry) {
	ctx, cancel := context.WithTimeout(d.ctx, offerCalls*d.settings.callTime())
	defer cancel()
	ranks, err := d.archive.Archive(ctx, entries)
	d.post(movedMsg{ranks, err})
}

// handleMoved forgets jobs that are archived, and has their records removed.
func (d *dispatcher) handleMoved(m movedMsg) {
	d.moving = false
	if m.err != nil {
		d.log.Debug("nothing archived", "err", m.err)
		return
	}
	for _, rank := range m.ranks {
		j := d.jobs.remove(rank)
		if j == nil {
			continue
		}
		d.queue.Mark(jobLane(j), storage.JobKey(j.spec.ID), removed)
		for _, key := range j.storedPages {
			d.mark(key, removed)
		}
	}
	if len(m.ranks) > 0 {
		d.log.Debug("archived", "jobs", len(m.ranks), "left", d.jobs.finished.Len())
	}
}

// errMoving says that jobs are on their way to the archive.
var errMoving = errors.New("jobs are being archived")

// restore takes archived jobs back into the journal. While an offer is under way nothing is taken back: its answer could remove a job
// from the journal whose page is dropped then.
func (d *dispatcher) restore(m restoreMsg) {
	if d.moving {
		m.reply <- errMoving
		return
	}
	for _, e := range m.entries {
		if d.jobs.get(e.Number.ID()) != nil {
			continue // its record was never removed
		}
		j := restored(e)
		d.jobs.load(j)
		d.finished(j)
		d.markJob(j)
	}
	d.onCommit(func(err error) { m.reply <- err })
}

// finished notes that a job may be archived.
func (d *dispatcher) finished(j *job) {
	if d.settings.Tuning.Archive.Enabled {
		d.jobs.finish(j)
	}
}
