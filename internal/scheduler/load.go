package scheduler

import (
	"time"

	"sagevale/internal/cluster"
	"sagevale/internal/storage"
)

// loadRecords rebuilds the cluster state from the journal's records, and resumes the work that earlier leaders left unfinished.
func (s *scheduler) loadRecords(records []storage.Record) error {
	loaded, err := s.state.Load(records, s.termStarted)
	if err != nil {
		return err
	}
	s.desired, s.openLaunches = loaded.Desired, loaded.OpenLaunches
	for j, record := range loaded.Lifecycles {
		s.activation.load(j, record)
	}
	if s.archiveInUse {
		for _, key := range loaded.OrphanPages {
			s.markRecord(key, noData) // the page's job was archived, and the removal of the page was interrupted
		}
	}
	for _, j := range s.state.Jobs.InOrder() {
		s.resumeJob(j)
	}
	s.activation.reconcile(time.Now())
	return nil
}

// resumeJob resumes a job of an earlier term.
func (s *scheduler) resumeJob(j *cluster.Job) {
	if j.Tasks != nil {
		s.state.Classes.RecordArrival(j)
	}
	if j.Phase == storage.PhaseOpen && !j.ScalesToZero() {
		s.activation.postpone(j)
	}
	if j.Phase == storage.PhaseOpen || len(j.Attempts) > 0 {
		s.state.Jobs.TrackOpen(j)
		// An earlier leader may have committed the job's pages with all tasks done, but not yet the job's own record.
		if j.Spec.Gang && j.Done > 0 {
			s.completeGang(j) // an earlier version of the program recorded the tasks of a gang one by one
		}
		s.finishIfDone(j)
	} else {
		j.Tasks, j.Waiting = nil, 0
		s.trackFinished(j)
	}
	if j.Phase != storage.PhaseOpen {
		s.state.Jobs.TrackCancelling(j)
		s.stopJob(j)
	}
}
