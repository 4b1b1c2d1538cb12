package storage

import (
	"context"
	"errors"
)

// A migration rewrites what the journal holds as plain chunks, so that versions can lead which
// read nothing else. It goes in steps, each of one commit, and the next leader continues where
// one has stopped.

// migrationStep asks the journal's goroutine for one step.
type migrationStep struct {
	reply chan<- migrationResult
}

type migrationResult struct {
	encodedChunks int
	err           error
}

// MigrateStep applies what SetEncoding has set, and returns how many chunks are left that are
// compressed or hold fragments. If such chunks may no longer be written, it first rewrites
// some of them, within the budget of changes, in one commit. It may be called from any
// goroutine while Run runs.
func (j *Journal) MigrateStep(ctx context.Context) (encoded int, err error) {
	reply := make(chan migrationResult, 1)
	select {
	case j.migrationSteps <- migrationStep{reply}:
	case <-ctx.Done():
		return 0, ctx.Err()
	}
	select {
	case r := <-reply:
		return r.encodedChunks, r.err
	case <-ctx.Done():
		return 0, ctx.Err()
	}
}

// migrate carries out one step. After an error the journal can't go on.
func (j *Journal) migrate(ctx context.Context, step migrationStep) error {
	var err error
	j.applyLimits()
	if j.canMigrate() {
		err = j.commitMigration(ctx)
	}
	step.reply <- migrationResult{j.index.encodedChunks(), err}
	return err
}

// commitMigration writes a chunk that holds only what compaction moves into it.
func (j *Journal) commitMigration(ctx context.Context) error {
	if err := j.limiter.Wait(ctx); err != nil {
		return err
	}
	err := j.write(ctx, []chunk{{data: emptyChunk}})
	if errors.Is(err, ErrMalformed) && j.limitTracker.Observe(err) {
		j.applyLimits()
		return nil
	}
	return err
}

// canMigrate reports whether encoded chunks are left that can be rewritten as plain ones. As
// long as some record is too large for a plain chunk the migration can't end, so it waits.
func (j *Journal) canMigrate() bool {
	if j.allows(AnyEncoding) || j.index.encodedChunks() == 0 {
		return false
	}
	return !j.index.anyLargerThan(j.encoder.capacity - arrayBytes)
}
