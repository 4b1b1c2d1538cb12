package storage

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"slices"

	"sagevale/internal/clock"
)

// maxTimeoutMultiple limits the timeout of a transaction request, as a multiple of the request
// timeout. Each retry has twice the timeout of the one before, because the store may be slow.
const maxTimeoutMultiple = 16

// transactionGuards returns the guards of the next transaction: the leadership key, the absence
// of the transaction's first chunk, and the presence of the chunk before it at the version at
// which it was written. If the store applies the transaction a second time, the guards fail: the
// transaction's first chunk exists, or, if that chunk has been compacted away since, the chunk
// before it no longer exists.
func (j *Journal) transactionGuards() []Guard {
	return []Guard{
		j.leadership,
		{Key: ChunkKey(j.nextChunkNumber)},
		{Key: ChunkKey(j.nextChunkNumber - 1), Version: j.previousChunkVersion},
	}
}

// transactionOps returns the puts of the new chunks and the deletions of the oldest
// deletedChunks chunks.
func (j *Journal) transactionOps(chunks []chunk, deletedChunks int) []Op {
	var ops []Op
	for i, c := range chunks {
		ops = append(ops, Op{Key: ChunkKey(j.nextChunkNumber + uint64(i)), Data: c.data})
	}
	for _, c := range j.index.chunks[:deletedChunks] {
		ops = append(ops, Op{Key: ChunkKey(c.number), Delete: true})
	}
	return ops
}

// pendingTransaction is a transaction whose outcome isn't known yet. Its first operation puts a
// chunk that must not exist according to its guards.
type pendingTransaction struct {
	guards          []Guard
	ops             []Op
	timeoutMultiple int  // timeout of the next request, as a multiple of the request timeout
	mayBeApplied    bool // the outcome of an earlier request is unknown
}

func (t *pendingTransaction) firstChunkKey() string { return t.ops[0].Key }

// commitTransaction sends a transaction until it is known to be applied, and returns its
// revision, or until it is known that it can't be applied. If a request without a response was
// applied, the guards of its retry fail because the first chunk exists; resolveConflict detects
// that.
func (j *Journal) commitTransaction(ctx context.Context, guards []Guard, ops []Op) (revision uint64, err error) {
	t := &pendingTransaction{guards: guards, ops: ops, timeoutMultiple: 1}
	for {
		revision, err := j.sendTransaction(ctx, t)
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
		slog.Debug("journal commit retried", "chunk", t.firstChunkKey(), "error", err)
		if !clock.Sleep(ctx, retryDelay) {
			return 0, ctx.Err()
		}
		t.timeoutMultiple = min(2*t.timeoutMultiple, maxTimeoutMultiple)
	}
}

// sendTransaction sends the transaction once.
func (j *Journal) sendTransaction(ctx context.Context, t *pendingTransaction) (revision uint64, err error) {
	ctx, cancel := j.limits.withTimeout(ctx, t.timeoutMultiple)
	defer cancel()
	return j.store.Txn(ctx, t.guards, t.ops)
}

// resolveConflict determines why the guards of a transaction failed. If an earlier request of
// the transaction may have been applied, resolveConflict reads the transaction's first chunk: if
// it exists, that request was applied, and the chunk's version is returned. Otherwise this leader
// may no longer write, usually because another controller leads, and the error is
// ErrLeadershipLost. Any other error means that the chunk couldn't be read, so that the cause
// isn't known yet.
func (j *Journal) resolveConflict(ctx context.Context, t *pendingTransaction, conflict *ConflictError) (version uint64, err error) {
	if slices.Contains(conflict.Failed, j.leadership.Key) {
		return 0, ErrLeadershipLost
	}
	leadershipLost := fmt.Errorf("journal chunk %s: %w (failed guards: %v)", t.firstChunkKey(), ErrLeadershipLost, conflict.Failed)
	if !t.mayBeApplied {
		return 0, leadershipLost
	}
	ctx, cancel := j.limits.withTimeout(ctx, t.timeoutMultiple)
	defer cancel()
	item, err := j.store.Get(ctx, t.firstChunkKey())
	if errors.Is(err, ErrNotFound) {
		return 0, leadershipLost
	}
	return item.Version, err
}
