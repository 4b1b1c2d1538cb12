package scheduler

import (
	"context"

	"sagevale/internal/archive"
	"sagevale/internal/config"
	"sagevale/internal/storage"
	"sagevale/internal/upgrade"
	"sagevale/internal/upgradecontrol"
)

// ArchiveStatus holds the stored state of the job archive and the numbers of jobs in the journal, for operators.
type ArchiveStatus struct {
	Gate              upgrade.GateState // the zero value means that the gate is closed
	WaitsFor          string            // what the upgrade waits for, as a leader last stored it; "" if it waits for nothing
	Stored            archive.StoredSummary
	FinishedInJournal int // number of finished jobs that are still in the journal
	Open              int // number of jobs in the journal that aren't finished
}

// ReadArchiveStatus reads the status from the upgrade records, the archive's pages and the journal. It writes nothing.
func ReadArchiveStatus(ctx context.Context, store storage.KeyValueStore, s *config.Settings) (ArchiveStatus, error) {
	upgradeStatus, err := upgradecontrol.ReadStatus(ctx, store, s)
	if err != nil {
		return ArchiveStatus{}, err
	}
	status := ArchiveStatus{Gate: upgradeStatus.Record.Gate(upgrade.JobArchive), WaitsFor: upgradeStatus.Waiting}
	if status.Stored, err = archive.ReadStoredSummary(ctx, store); err != nil {
		return ArchiveStatus{}, err
	}
	return status, status.countJournal(ctx, store, s)
}

// countJournal sets FinishedInJournal and Open from the jobs' records in the journal.
func (a *ArchiveStatus) countJournal(ctx context.Context, store storage.KeyValueStore, s *config.Settings) error {
	journal, err := storage.OpenJournal(ctx, store, storage.NewLimitTracker(s.State), storage.Guard{})
	if err != nil {
		return err
	}
	for _, r := range journal.Records() {
		if r.Key[0] != storage.KindJob {
			continue
		}
		finished, err := storage.IsFinished(r)
		switch {
		case err != nil:
			return err
		case finished:
			a.FinishedInJournal++
		default:
			a.Open++
		}
	}
	return nil
}

// ArchiveGauges returns statistics of this process's in-memory index of the archive, as keys and values for a log line, or
// nil if the index holds no pages.
func (n *Node) ArchiveGauges() []any {
	stats := n.archive.Index.Stats()
	if stats.Pages == 0 {
		return nil
	}
	return []any{"archived", stats.Jobs, "archive_pages", stats.Pages, "archive_bytes", stats.Bytes, "archive_evicted", stats.Evicted, "archive_damaged", stats.Damaged}
}
