package scheduler

import (
	"context"
	"fmt"

	"sagevale/internal/upgrade"
)

// restoreAndCountArchived returns the number of archived jobs. While the archive's feature gate is being withdrawn so that the
// archive is no longer used, each call first moves the jobs of the archive's first page back to the journal. If the term ends
// before all pages have been moved, the next leader moves the remaining pages.
func (t termGates) restoreAndCountArchived(ctx context.Context, record upgrade.Record) (int, error) {
	gate := record.Gate(upgrade.JobArchive)
	count, err := t.scheduler.archive.Count(ctx)
	if err != nil || gate.Phase != upgrade.GateWithdrawing || count == 0 {
		return count, err
	}
	if limit := t.scheduler.settings.MaxRestoredJobs(); count > limit {
		return count, &upgrade.BlockedError{Gate: upgrade.JobArchive, Reason: fmt.Sprintf("%d jobs are archived, and only %d fit in memory", count, limit)}
	}
	if err := t.restoreFirstPage(ctx); err != nil {
		return count, &upgrade.BlockedError{Gate: upgrade.JobArchive, Reason: err.Error()}
	}
	return t.scheduler.archive.Count(ctx)
}

// restoreFirstPage moves the jobs of the archive's first page back to the journal. It removes the page only after the jobs
// are durable in the journal.
func (t termGates) restoreFirstPage(ctx context.Context) error {
	page, err := t.scheduler.archive.FirstPage(ctx)
	if err != nil || page.Upper == 0 {
		return err
	}
	reply := make(chan error, 1)
	t.scheduler.post(restoreMessage{page.Entries, reply})
	select {
	case err = <-reply:
	case <-t.scheduler.closed:
		err = errTermEnded
	case <-ctx.Done():
		err = ctx.Err()
	}
	if err != nil {
		return err
	}
	return t.scheduler.archive.DropFirstPage(ctx, page.Upper)
}
