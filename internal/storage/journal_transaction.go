package storage

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"slices"

	"sagevale/internal/clock"
)

// maxTimeouts is the most request timeouts that an attempt of a transaction may take. Each
// gets twice the time of the one before, because the store may be slow.
const maxTimeouts = 16

// guards returns the guards of the next transaction. Because it demands that its first chunk
// is absent and the one before it is present at the version that was written, a transaction
// that is applied twice finds its own chunk, and one that is applied after that chunk has been
// compacted away misses the one before it.
func (j *Journal) guards() []Guard {
	return []Guard{
		j.leadership,
		{Key: ChunkKey(j.nextChunk)},
		{Key: ChunkKey(j.nextChunk - 1), Version: j.previousVersion},
	}
}

// operations returns the puts of new chunks and the deletions of the oldest ones.
func (j *Journal) operations(chunks []chunk, compacted int) []Op {
	var ops []Op
	for i, c := range chunks {
		ops = append(ops, Op{Key: ChunkKey(j.nextChunk + uint64(i)), Data: c.data})
	}
	for _, c := range j.index.chunks[:compacted] {
		ops = append(ops, Op{Key: ChunkKey(c.number), Delete: true})
	}
	return ops
}

// pendingTransaction is a transaction whose outcome isn't known yet. Its first operation puts a
// chunk that its guards demand to be absent.
type pendingTransaction struct {
	guards       []Guard
	ops          []Op
	timeouts     int  // how many request timeouts the next attempt may take
	mayBeApplied bool // an attempt had no answer
}

func (t *pendingTransaction) chunkKey() string { return t.ops[0].Key }

// commitTransaction retries a transaction until it is known to be applied, or known to be
// impossible, and returns its revision. If an attempt without an answer was applied, the next
// one conflicts with its chunk.
func (j *Journal) commitTransaction(ctx context.Context, guards []Guard, ops []Op) (revision uint64, err error) {
	t := &pendingTransaction{guards: guards, ops: ops, timeouts: 1}
	for {
		revision, err := j.attempt(ctx, t)
		if err == nil {
			return revision, nil
		}
		var conflict *ConflictError
		switch {
		case errors.As(err, &conflict):
			version, resolveErr := j.resolveConflict(ctx, t, conflict)
			if resolveErr == nil || errors.Is(resolveErr, ErrLeadershipLost) {
				return version, resolveErr
			}
		case errors.Is(err, ErrRefused):
		case errors.Is(err, ErrOutcomeUnknown):
			t.mayBeApplied = true
		default:
			return 0, fmt.Errorf("journal commit: %w", err)
		}
		if j.limitTracker.Observe(err) {
			j.applyLimits()
		}
		slog.Debug("journal commit retried", "chunk", t.chunkKey(), "error", err)
		if !clock.Sleep(ctx, retryPause) {
			return 0, ctx.Err()
		}
		t.timeouts = min(2*t.timeouts, maxTimeouts)
	}
}

// attempt sends the transaction once.
func (j *Journal) attempt(ctx context.Context, t *pendingTransaction) (revision uint64, err error) {
	ctx, cancel := j.limits.withTimeout(ctx, t.timeouts)
	defer cancel()
	return j.store.Txn(ctx, t.guards, t.ops)
}

// resolveConflict finds out why a transaction conflicts. If an earlier attempt may have been
// applied, its chunk shows whether it was: then the chunk's version is returned. Otherwise
// another controller leads, and the error is ErrLeadershipLost. All other errors mean that the
// chunk couldn't be read, so that the reason isn't known yet.
func (j *Journal) resolveConflict(ctx context.Context, t *pendingTransaction, conflict *ConflictError) (version uint64, err error) {
	if slices.Contains(conflict.Failed, j.leadership.Key) {
		return 0, ErrLeadershipLost
	}
	lost := fmt.Errorf("journal chunk %s: %w (%v)", t.chunkKey(), ErrLeadershipLost, conflict.Failed)
	if !t.mayBeApplied {
		return 0, lost
	}
	ctx, cancel := j.limits.withTimeout(ctx, t.timeouts)
	defer cancel()
	item, err := j.store.Get(ctx, t.chunkKey())
	if errors.Is(err, ErrNotFound) {
		return 0, lost
	}
	return item.Version, err
}
