package coordination

import (
	"sort"
	"time"

	"sagevale/internal/storage"
)

// mark notes that an entity's record must be written; data is asked for its
// value when it is.
func (d *dispatcher) mark(key string, data func() any) { d.dirty[key] = data }

func (d *dispatcher) markJob(j *job) {
	d.mark(storage.JobKey(j.spec.ID), func() any { return j.record() })
}

func (d *dispatcher) markPage(j *job, task int) {
	p := task / storage.PageTasks
	d.mark(storage.PageKey(j.spec.ID, p), func() any {
		if rec := j.page(p); rec != nil {
			return rec
		}
		return nil
	})
}

func (d *dispatcher) markMachine(m *machine) {
	m.recorded = true
	d.mark(storage.MachineKey(m.id), func() any { return m.record() })
}

// pageSettled tells whether a task's page is durable as it stands.
func (d *dispatcher) pageSettled(id TaskID) bool {
	key := storage.PageKey(id.Job, id.Task/storage.PageTasks)
	_, dirty := d.dirty[key]
	return !dirty && !d.writing[key]
}

// onCommit calls f once all that is dirty now is durable.
func (d *dispatcher) onCommit(f func(error)) { d.committed = append(d.committed, f) }

// flush hands what is dirty to the journal, unless a commit is under way:
// then it joins the next one.
func (d *dispatcher) flush() {
	if !d.commitAt.IsZero() || (len(d.dirty) == 0 && len(d.committed) == 0) {
		return
	}
	keys := make([]string, 0, len(d.dirty))
	for k := range d.dirty {
		keys = append(keys, k)
	}
	sort.Strings(keys)
	batch := storage.Batch{Ack: func(err error) { d.post(committedMsg{err}) }}
	d.writing = make(map[string]bool, len(keys))
	for _, k := range keys {
		rec, err := storage.NewRecord(k, d.dirty[k]())
		if err != nil {
			d.log.Error("record not encoded", "key", k, "err", err)
			continue
		}
		batch.Records = append(batch.Records, rec)
		d.writing[k] = true
	}
	clear(d.dirty)
	d.inCommit, d.committed = d.committed, nil
	d.commitAt = time.Now()
	d.journal.Append(d.ctx, batch)
}

func (d *dispatcher) handleCommitted(err error) {
	calls := d.inCommit
	if len(d.committed) == 0 {
		defer func() { d.waiters = d.waiters[:0] }()
	}
	d.inCommit, d.writing, d.commitAt = nil, nil, time.Time{}
	for _, f := range calls {
		f(err)
	}
}
