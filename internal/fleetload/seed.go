package fleetload

import (
	"cmp"
	"encoding/json"
	"fmt"
	"slices"
	"time"

	"sagevale/internal/archive"
	"sagevale/internal/storage"
	"sagevale/internal/upgrade"
)

// tasksPerFinishedJob is the number of tasks of each job that is stored as finished before the controllers start.
const tasksPerFinishedJob = 10

// storeFinishedJobs stores finished jobs in the journal and in the archive, in the same format as leaders do. It must be
// called before the controllers start.
func (e *Experiment) storeFinishedJobs() error {
	if err := e.storeJournal(); err != nil {
		return fmt.Errorf("store finished jobs in the journal: %w", err)
	}
	if e.config.ArchivedJobs == 0 {
		return nil
	}
	if err := e.storeArchive(); err != nil {
		return fmt.Errorf("store finished jobs in the archive: %w", err)
	}
	return nil
}

// storeJournal stores the records of finished jobs as journal chunks.
func (e *Experiment) storeJournal() error {
	maxSize := e.fleet.Store.Service.ValueBytes * 9 / 10
	var records []storage.Record
	size, chunkNumber := 2, uint64(1)
	flush := func() error {
		if len(records) == 0 {
			return nil
		}
		data, err := storage.EncodeChunk(records)
		if err != nil {
			return err
		}
		_, err = e.fleet.Store.Service.Apply(nil, []storage.Op{{Key: storage.ChunkKey(chunkNumber), Data: data}})
		records, size, chunkNumber = nil, 2, chunkNumber+1
		return err
	}
	now := time.Now().UnixMilli()
	for i := range e.config.FinishedJobs {
		r, err := storage.NewRecord(storage.JobKey(finishedID(i)), storage.JobRecord{Phase: storage.PhaseDone, Tasks: tasksPerFinishedJob, SubmittedMS: now, DoneTasks: tasksPerFinishedJob})
		if err != nil {
			return err
		}
		if size += len(r.Key) + len(r.Data) + 8; size > maxSize {
			if err := flush(); err != nil {
				return err
			}
			size += len(r.Key) + len(r.Data) + 8
		}
		records = append(records, r)
	}
	return flush()
}

// storeArchive stores the pages of the archive together with a cluster record. In the record, all feature gates are open,
// and the archive's gate is marked as used.
func (e *Experiment) storeArchive() error {
	entries := make([]archive.Entry, 0, e.config.ArchivedJobs)
	for i := range e.config.ArchivedJobs {
		number, ok := archive.ParseJobNumber(finishedID(e.config.FinishedJobs + i))
		if !ok {
			return fmt.Errorf("%q is not a job number", finishedID(e.config.FinishedJobs+i))
		}
		entries = append(entries, archive.Entry{Number: number, FinalState: archive.FinalState{Done: tasksPerFinishedJob}})
	}
	slices.SortFunc(entries, func(a, b archive.Entry) int {
		return cmp.Compare(a.Number, b.Number)
	})
	ops, err := archive.Build(entries, &storage.Limits{ValueBytes: e.fleet.Store.Service.ValueBytes})
	if err != nil {
		return err
	}
	record := upgrade.Initial()
	record.Active, record.Phase, record.ActivatedMS = upgrade.Current, upgrade.Soaking, time.Now().UnixMilli()
	record.Gates = make(map[upgrade.GateName]upgrade.GateState)
	for _, gate := range upgrade.Gates {
		record.Gates[gate.Name] = upgrade.GateState{Since: gate.Since, Phase: upgrade.GateOpen}
	}
	if record, err = upgrade.MarkGateUsed(record, upgrade.JobArchive, 0); err != nil {
		return err
	}
	data, err := json.Marshal(record)
	if err != nil {
		return err
	}
	_, err = e.fleet.Store.Service.Apply(nil, append(ops, storage.Op{Key: "upgrade/cluster", Data: data}))
	return err
}

// Job IDs are not in the order of the jobs' numbers: a multiplier spreads consecutive numbers over idRange. The multiplier
// is coprime to idRange, so that the IDs are unique. Jobs that are stored before the controllers start have even IDs,
// submitted jobs have odd ones.
const (
	idRange      = 500_000_000
	idMultiplier = 387_420_489
)

// firstSubmittedJob is the number of the first submitted job.
const firstSubmittedJob = 1

// spreadNumber maps numbers from 0 to idRange-1 to unique numbers below idRange.
func spreadNumber(i int) int { return (i + 1) * idMultiplier % idRange }

// finishedID returns the ID, without its prefix, of the i-th finished job that is stored before the controllers start.
func finishedID(i int) string { return fmt.Sprintf("%09d", 2*spreadNumber(i)) }

// submittedID returns the ID, without its prefix, of the i-th submitted job.
func submittedID(i int) string { return fmt.Sprintf("%09d", 2*spreadNumber(i)+1) }
