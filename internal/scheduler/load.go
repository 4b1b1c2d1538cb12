package scheduler

import (
	"time"

	"sagevale/internal/storage"
)

// load rebuilds the state from the journal's records, and goes on with what an earlier leader had left.
func (d *scheduler) load(records []storage.Record) error {
	loaded, err := d.state.load(records, d.termStarted)
	if err != nil {
		return err
	}
	d.desired, d.openLaunches = loaded.desired, loaded.openLaunches
	for j, record := range loaded.lifecycles {
		d.activation.load(j, record)
	}
	if d.archiveUsed {
		for _, key := range loaded.orphanPages {
			d.markRecord(key, removed) // its job was archived, and the removal cut short
		}
	}
	for _, j := range d.state.jobs.inOrder() {
		d.resumeJob(j)
	}
	d.activation.loaded(time.Now())
	return nil
}

// resumeJob goes on with a job of an earlier term.
func (d *scheduler) resumeJob(j *job) {
	if j.tasks != nil {
		d.state.classes.noteArrival(j)
	}
	if j.phase == storage.Open && !j.scalesToZero() {
		d.activation.postpone(j)
	}
	if j.phase == storage.Open || len(j.attempts) > 0 {
		d.state.jobs.trackOpen(j)
		// Its pages may have become durable and its own record not.
		if j.spec.Gang && j.done > 0 {
			d.completeGang(j) // an earlier version noted its tasks one by one
		}
		d.finish(j)
	} else {
		j.tasks, j.waiting = nil, 0
		d.trackFinished(j)
	}
	if j.phase != storage.Open {
		d.state.jobs.trackCancelling(j)
		d.stopJob(j)
	}
}
