package storage

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"slices"

	"sagevale/internal/clock"
)

// maxTimeoutMultiple is the maximum timeout of a transaction request, as a multiple of the request
// timeout. Each retry doubles the timeout up to this maximum, because the store may be slow.
const maxTimeoutMultiple = 16

// transactionGuards returns the guards of the next transaction. They require that the leadership key
// has the version of this leader's term, that the transaction's first chunk doesn't exist, and that
// the preceding chunk exists at the version at which it was written.
//
// These guards prevent the store from applying the transaction a second time. As long as the
// transaction's first chunk exists, the guard on that chunk fails. Once compaction has deleted that
// chunk, the guard on the preceding chunk fails: compaction deletes the oldest chunks first, so it
// has deleted the preceding chunk too.
func (j *Journal) transactionGuards() []Guard {
	return []Guard{
		j.leadership,
		{Key: ChunkKey(j.nextChunkNumber)},
		{Key: ChunkKey(j.nextChunkNumber - 1), Version: j.previousChunkVersion},
	}
}

// transactionOps returns the operations that put the new chunks and delete old chunks. deletedChunks
// is the number of chunks to delete, the oldest first.
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

// pendingTransaction is a transaction whose outcome isn't known yet. Its first operation writes a
// chunk, and its guards require that this chunk doesn't exist yet.
type pendingTransaction struct {
	guards          []Guard
	ops             []Op
	timeoutMultiple int  // timeout of the next request, as a multiple of the request timeout
	mayBeApplied    bool // an earlier request with this transaction has an unknown outcome
}

func (t *pendingTransaction) firstChunkKey() string { return t.ops[0].Key }

// commitTransaction sends a transaction repeatedly until it is known whether the transaction has been
// applied or can't be applied any more. If it has been applied, commitTransaction returns its
// revision. If it can't be applied any more, or ctx ends, commitTransaction returns an error.
//
// The store may apply the transaction although no response arrives. When the transaction is sent
// again, its guards fail, because its first chunk exists already. resolveConflict detects this case.
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

// resolveConflict determines why the guards of a transaction failed. It has three results:
//
//   - No error: the transaction's first chunk exists, so an earlier request has applied the
//     transaction. The version of this chunk is returned.
//   - ErrLeadershipLost: this leader may no longer write, usually because another controller leads.
//     Either the guard of the leadership key failed, or no earlier request applied the transaction.
//   - Any other error: the transaction's first chunk couldn't be read. The cause isn't known yet.
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
