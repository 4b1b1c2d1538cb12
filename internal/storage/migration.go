package storage

import (
	"context"
	"errors"
)

// A chunk is plain if it is neither compressed nor holds fragments of records. A migration rewrites all
// other chunks as plain chunks. Afterwards, versions of the program that can read only plain chunks can
// lead. A migration consists of steps, and each step is one commit. If a leader stops between or during
// steps, the next leader resumes the migration.

// migrationRequest asks the journal's goroutine to run one migration step.
type migrationRequest struct {
	reply chan<- migrationResult
}

// migrationResult is the outcome of a migration step.
type migrationResult struct {
	nonPlainChunks int
	err            error
}

// MigrateStep runs one step of a migration, and returns how many chunks aren't plain yet. The step
// rewrites some of these chunks, as far as compactionBudget and the limits of a transaction allow. It
// rewrites nothing if the encoding set by SetEncoding is AnyEncoding, or while the migration is paused:
// see canMigrate. MigrateStep may be called from any goroutine while Run is running.
func (j *Journal) MigrateStep(ctx context.Context) (nonPlain int, err error) {
	reply := make(chan migrationResult, 1)
	select {
	case j.migrationRequests <- migrationRequest{reply}:
	case <-ctx.Done():
		return 0, ctx.Err()
	}
	select {
	case r := <-reply:
		return r.nonPlainChunks, r.err
	case <-ctx.Done():
		return 0, ctx.Err()
	}
}

// runMigrationStep runs one migration step and sends its result. If it returns an error, the
// journal must stop.
func (j *Journal) runMigrationStep(ctx context.Context, request migrationRequest) error {
	var err error
	j.applyLimits()
	if j.canMigrate() {
		err = j.commitMigration(ctx)
	}
	request.reply <- migrationResult{j.index.nonPlainChunkCount(), err}
	return err
}

// commitMigration writes a new chunk that holds only the records that compaction moves into it.
func (j *Journal) commitMigration(ctx context.Context) error {
	if err := j.changeLimiter.Wait(ctx); err != nil {
		return err
	}
	err := j.writeChunks(ctx, []chunk{{data: emptyChunkValue}})
	if errors.Is(err, ErrMalformed) && j.limitTracker.Observe(err) {
		j.applyLimits()
		return nil
	}
	return err
}

// canMigrate reports whether the journal should rewrite chunks as plain chunks. It returns false if
// the encoding is AnyEncoding or if all chunks are plain already. It also returns false while some
// record is too large for a plain chunk: the migration pauses, because it can't be completed.
func (j *Journal) canMigrate() bool {
	if j.allows(AnyEncoding) || j.index.nonPlainChunkCount() == 0 {
		return false
	}
	return !j.index.hasRecordLargerThan(j.encoder.capacity - arrayBracketBytes)
}
