package fleetload

import (
	"encoding/json"
	"fmt"
	"slices"
	"time"

	"sagevale/internal/archive"
	"sagevale/internal/storage"
	"sagevale/internal/upgrade"
)

// Finished jobs that are stored before the start have so many tasks, all done.
const finishedTasks = 10

// seed stores finished jobs as an earlier leader left them, in the journal and in the archive.
func (e *Experiment) seed() error {
	if err := e.seedJournal(); err != nil {
		return fmt.Errorf("store finished jobs: %w", err)
	}
	if e.config.Archived == 0 {
		return nil
	}
	if err := e.seedArchive(); err != nil {
		return fmt.Errorf("store an archive: %w", err)
	}
	return nil
}

// seedJournal stores chunks of final records.
func (e *Experiment) seedJournal() error {
	room := int(e.fleet.State.Store.ValueBytes * 9 / 10)
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
		_, err = e.fleet.State.Store.Apply(nil, []storage.Op{{Key: storage.ChunkKey(chunk), Data: data}})
		records, size, chunk = nil, 2, chunk+1
		return err
	}
	now := time.Now().UnixMilli()
	for i := range e.config.Finished {
		r, err := storage.NewRecord(storage.JobKey(finishedID(i)), storage.JobRecord{Phase: storage.Done, Tasks: finishedTasks, SubmittedMS: now, DoneTasks: finishedTasks})
		if err != nil {
			return err
		}
		if size += len(r.Key) + len(r.Data) + 8; size > room {
			if err := flush(); err != nil {
				return err
			}
			size += len(r.Key) + len(r.Data) + 8
		}
		records = append(records, r)
	}
	return flush()
}

// seedArchive stores pages, and a cluster record under which they are in use.
func (e *Experiment) seedArchive() error {
	entries := make([]archive.Entry, 0, e.config.Archived)
	for i := range e.config.Archived {
		rank, ok := archive.ParseJobNumber(finishedID(e.config.Finished + i))
		if !ok {
			return fmt.Errorf("%q is no id", finishedID(e.config.Finished+i))
		}
		entries = append(entries, archive.Entry{Number: rank, FinalState: archive.FinalState{Done: finishedTasks}})
	}
	slices.SortFunc(entries, func(a, b archive.Entry) int {
		if a.Number < b.Number {
			return -1
		}
		return 1
	})
	ops, err := archive.Build(entries, &storage.Limits{ValueBytes: e.fleet.State.Store.ValueBytes})
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
	_, err = e.fleet.State.Store.Apply(nil, append(ops, storage.Op{Key: "upgrade/cluster", Data: data}))
	return err
}

// Ids come in no order: consecutive numbers are spread over idRange by a multiplier that is prime to it, so that no
// two meet. Jobs that are stored before the start have the even ones, and those that are submitted the odd ones.
const (
	idRange      = 500_000_000
	idMultiplier = 387_420_489
)

func scatter(i int) int { return int(int64(i+1) * idMultiplier % idRange) }

// finishedID is the id, without its prefix, of a finished job that is stored before the start.
func finishedID(i int) string { return fmt.Sprintf("%09d", 2*scatter(i)) }

// submittedID is the same of a job that is submitted.
func submittedID(i int) string { return fmt.Sprintf("%09d", 2*scatter(i)+1) }
