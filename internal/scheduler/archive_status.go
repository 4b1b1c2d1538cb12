package scheduler

import (
	"context"

	"sagevale/internal/archive"
	"sagevale/internal/config"
	"sagevale/internal/storage"
	"sagevale/internal/upgrade"
	"sagevale/internal/upgradecontrol"
)

// ArchiveStatus is the stored state of the archive of finished jobs and of the journal's jobs, for operators.
type ArchiveStatus struct {
	Gate    upgrade.GateState // the zero state is closed
	Waiting string            // what the upgrade waits for, as a leader last recorded it; "" if nothing
	Stored  archive.StoredSummary
	Backlog int // finished jobs whose records are in the journal
	Open    int // jobs in the journal that aren't finished
}

// ReadArchiveStatus reads the status from the upgrade records, the archive's pages and the journal. It writes nothing.
func ReadArchiveStatus(ctx context.Context, store storage.KeyValueStore, s *config.Settings) (ArchiveStatus, error) {
	upgradeStatus, err := upgradecontrol.ReadStatus(ctx, store, s)
	if err != nil {
		return ArchiveStatus{}, err
	}
	status := ArchiveStatus{Gate: upgradeStatus.Record.Gate(upgrade.JobArchive), Waiting: upgradeStatus.Waiting}
	if status.Stored, err = archive.ReadStoredSummary(ctx, store); err != nil {
		return ArchiveStatus{}, err
	}
	return status, status.countJournal(ctx, store, s)
}

// countJournal sets Backlog and Open from the jobs' records in the journal.
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
			a.Backlog++
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
