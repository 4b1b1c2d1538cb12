package scheduler

import (
	"time"

	"sagevale/internal/cluster"
	"sagevale/internal/storage"
)

// load rebuilds the state from the journal's records, and goes on with what an earlier leader had left.
func (d *scheduler) load(records []storage.Record) error {
	loaded, err := d.state.Load(records, d.termStarted)
	if err != nil {
		return err
	}
	d.desired, d.openLaunches = loaded.Desired, loaded.OpenLaunches
	for j, record := range loaded.Lifecycles {
		d.activation.load(j, record)
	}
	if d.archiveUsed {
		for _, key := range loaded.OrphanPages {
			d.markRecord(key, removed) // its job was archived, and the removal cut short
		}
	}
	for _, j := range d.state.Jobs.InOrder() {
		d.resumeJob(j)
	}
	d.activation.loaded(time.Now())
	return nil
}

// resumeJob goes on with a job of an earlier term.
func (d *scheduler) resumeJob(j *cluster.Job) {
	if j.Tasks != nil {
		d.state.Classes.NoteArrival(j)
	}
	if j.Phase == storage.Open && !j.ScalesToZero() {
		d.activation.postpone(j)
	}
	if j.Phase == storage.Open || len(j.Attempts) > 0 {
		d.state.Jobs.TrackOpen(j)
		// Its pages may have become durable and its own record not.
		if j.Spec.Gang && j.Done > 0 {
			d.completeGang(j) // an earlier version noted its tasks one by one
		}
		d.finish(j)
	} else {
		j.Tasks, j.Waiting = nil, 0
		d.trackFinished(j)
	}
	if j.Phase != storage.Open {
		d.state.Jobs.TrackCancelling(j)
		d.stopJob(j)
	}
}
