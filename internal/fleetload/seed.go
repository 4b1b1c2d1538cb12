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

// finishedTasks is the number of tasks of a finished job that is stored before the start.
const finishedTasks = 10

// storeFinished stores finished jobs in the journal and in the archive, as earlier leaders would have.
func (e *Experiment) storeFinished() error {
	if err := e.storeJournal(); err != nil {
		return fmt.Errorf("store finished jobs: %w", err)
	}
	if e.config.Archived == 0 {
		return nil
	}
	if err := e.storeArchive(); err != nil {
		return fmt.Errorf("store an archive: %w", err)
	}
	return nil
}

// storeJournal stores journal chunks of final job records.
func (e *Experiment) storeJournal() error {
	maxSize := e.fleet.Store.Service.ValueBytes * 9 / 10
	var records []storage.Record
	size, chunk := 2, uint64(1)
	flush := func() error {
		if len(records) == 0 {
			return nil
		}
		data, err := storage.EncodeChunk(records)
		if err != nil {
			return err
		}
		_, err = e.fleet.Store.Service.Apply(nil, []storage.Op{{Key: storage.ChunkKey(chunk), Data: data}})
		records, size, chunk = nil, 2, chunk+1
		return err
	}
	now := time.Now().UnixMilli()
	for i := range e.config.Finished {
		r, err := storage.NewRecord(storage.JobKey(finishedID(i)), storage.JobRecord{Phase: storage.PhaseDone, Tasks: finishedTasks, SubmittedMS: now, DoneTasks: finishedTasks})
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

// storeArchive stores archive pages, and a cluster record under which the archive is in use.
func (e *Experiment) storeArchive() error {
	entries := make([]archive.Entry, 0, e.config.Archived)
	for i := range e.config.Archived {
		number, ok := archive.ParseJobNumber(finishedID(e.config.Finished + i))
		if !ok {
			return fmt.Errorf("%q is no id", finishedID(e.config.Finished+i))
		}
		entries = append(entries, archive.Entry{Number: number, FinalState: archive.FinalState{Done: finishedTasks}})
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

// Job IDs are in no order: consecutive numbers are spread over idRange by a multiplier that is coprime to it, so that
// they stay unique. Jobs that are stored before the start have even IDs, submitted jobs odd ones.
const (
	idRange      = 500_000_000
	idMultiplier = 387_420_489
)

// firstJob is the number of the first submitted job.
const firstJob = 1

func spreadNumber(i int) int { return (i + 1) * idMultiplier % idRange }

// finishedID returns the ID, without its prefix, of the i-th finished job that is stored before the start.
func finishedID(i int) string { return fmt.Sprintf("%09d", 2*spreadNumber(i)) }

// submittedID returns the ID, without its prefix, of the i-th submitted job.
func submittedID(i int) string { return fmt.Sprintf("%09d", 2*spreadNumber(i)+1) }
