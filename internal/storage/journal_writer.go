package storage

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"slices"

	"sagevale/internal/clock"
)

// maxTimeouts is the most request timeouts that a retry may take. Each retry gets twice the
// time of the one before, because the store may be slow.
const maxTimeouts = 16

// commit makes the records of the batches durable, in as many transactions as they need.
func (j *Journal) commit(ctx context.Context, batches []Batch) error {
	j.applyLimits()
	records := j.keepUnknown(mergeBatches(batches))
	if err := j.awaitEncoding(ctx, records); err != nil {
		return err
	}
	pending := j.splitLarge(records)
	for len(pending) > 0 {
		rest, err := j.writeNext(ctx, pending)
		switch {
		case err == nil:
			pending = rest
		case errors.Is(err, ErrMalformed) && j.limitTracker.Learn(err):
			// All records once more, in smaller chunks: those that are written already are
			// superseded.
			if pending, err = j.splitUnderLowerLimits(ctx, records); err != nil {
				return err
			}
		default:
			return err
		}
	}
	return nil
}

// mergeBatches returns the last record of each entity, in the order of the first ones.
func mergeBatches(batches []Batch) []Record {
	position := make(map[string]int)
	var records []Record
	for _, b := range batches {
		for _, r := range b.Records {
			if i, ok := position[r.Key]; ok {
				records[i] = r
				continue
			}
			position[r.Key] = len(records)
			records = append(records, r)
		}
	}
	return records
}

// splitUnderLowerLimits applies limits that have fallen and prepares a commit's records anew.
func (j *Journal) splitUnderLowerLimits(ctx context.Context, records []Record) ([]Record, error) {
	limits := j.limitTracker.Limits()
	slog.Info("key-value store limits lowered", "value_bytes", limits.ValueBytes, "txn_ops", limits.TxnOps)
	j.applyLimits()
	if err := j.awaitEncoding(ctx, records); err != nil {
		return nil, err
	}
	j.applyLimits() // the encoding may be another one by now
	return j.splitLarge(records), nil
}

// fragmentTagBits is how many bits of a fragment's tag count the records that were split in
// this term. The bits above them are the version of the leadership key.
const fragmentTagBits = 20

// splitLarge returns the records, with fragments in place of each that is too large for a chunk.
func (j *Journal) splitLarge(records []Record) []Record {
	out := records[:0:0]
	for _, r := range records {
		if r.fragment != nil || j.encoder.fits(r) {
			out = append(out, r)
			continue
		}
		j.fragmented++
		tag := j.leadership.Version<<fragmentTagBits | j.fragmented&(1<<fragmentTagBits-1)
		out = append(out, split(r, j.encoder.guaranteedBytes(), tag)...)
	}
	return out
}

// writeNext writes as many of the records as one transaction holds, and returns the rest.
func (j *Journal) writeNext(ctx context.Context, records []Record) (rest []Record, err error) {
	chunks, rest, err := j.nextChunks(records)
	if err != nil {
		return nil, err
	}
	return rest, j.write(ctx, chunks)
}

// nextChunks encodes as many of the records as one transaction holds, and returns the rest.
func (j *Journal) nextChunks(records []Record) (chunks []chunk, rest []Record, err error) {
	bytes, most := 0, j.limits.chunksPerTxn()
	for len(records) > 0 && len(chunks) < most && (bytes == 0 || bytes+j.encoder.capacity <= txnBytes) {
		var c chunk
		if c, records, err = j.encoder.next(records); err != nil {
			return nil, nil, err
		}
		chunks = append(chunks, c)
		bytes += len(c.data)
	}
	return chunks, records, nil
}

// write commits the chunks in one transaction, together with as much compaction as the budget
// allows.
func (j *Journal) write(ctx context.Context, chunks []chunk) error {
	if err := j.ensurePrevious(ctx); err != nil {
		return err
	}
	chunks, compacted := j.compact(chunks)
	// One change was waited for before the commit was put together.
	if n := len(chunks) + compacted - 1; n > 0 {
		if err := j.limiter.WaitN(ctx, min(n, j.limiter.Burst())); err != nil {
			return err
		}
	}
	version, err := j.commitTransaction(ctx, j.guards(), j.operations(chunks, compacted))
	if err != nil {
		return err
	}
	j.index.removeOldest(compacted)
	j.addWritten(chunks, version)
	return nil
}

// ensurePrevious writes the first chunk of the whole journal if there is none. Its transaction
// can't be guarded by the chunk before it, so it could be applied again after the chunk has
// been compacted away: it must be empty.
func (j *Journal) ensurePrevious(ctx context.Context) error {
	if j.previousVersion != 0 {
		return nil
	}
	first := []chunk{{data: emptyChunk}}
	guards := []Guard{j.leadership, {Key: ChunkKey(j.nextChunk)}}
	version, err := j.commitTransaction(ctx, guards, j.operations(first, 0))
	if err != nil {
		return err
	}
	j.addWritten(first, version)
	return nil
}

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

// addWritten adds chunks that were committed to the index.
func (j *Journal) addWritten(chunks []chunk, version uint64) {
	for _, c := range chunks {
		j.index.addChunk(j.nextChunk, c.records, isEncoded(c.data, c.records))
		j.nextChunk++
	}
	j.previousVersion = version
}

// commitTransaction retries a transaction until it is known to be applied, or known to be
// impossible, and returns its revision. The first operation must put a chunk that the guards
// demand to be absent: if a transaction without an answer was applied, its retry conflicts
// with that chunk.
func (j *Journal) commitTransaction(ctx context.Context, guards []Guard, ops []Op) (uint64, error) {
	chunkKey, mayBeApplied := ops[0].Key, false
	for timeouts := 1; ; timeouts = min(2*timeouts, maxTimeouts) {
		revision, err := j.sendTransaction(ctx, timeouts, guards, ops)
		if err == nil {
			return revision, nil
		}
		var conflict *ConflictError
		switch {
		case errors.As(err, &conflict):
			version, resolveErr := j.resolveConflict(ctx, timeouts, conflict, chunkKey, mayBeApplied)
			if resolveErr == nil || errors.Is(resolveErr, ErrLeadershipLost) {
				return version, resolveErr
			}
		case errors.Is(err, ErrRefused):
		case errors.Is(err, ErrOutcomeUnknown):
			mayBeApplied = true
		default:
			return 0, fmt.Errorf("journal commit: %w", err)
		}
		if j.limitTracker.Learn(err) {
			j.applyLimits()
		}
		slog.Debug("journal commit retried", "chunk", chunkKey, "error", err)
		if !clock.Sleep(ctx, retryPause) {
			return 0, ctx.Err()
		}
	}
}

func (j *Journal) sendTransaction(ctx context.Context, timeouts int, guards []Guard, ops []Op) (revision uint64, err error) {
	ctx, cancel := j.limits.withTimeout(ctx, timeouts)
	defer cancel()
	return j.store.Txn(ctx, guards, ops)
}

// resolveConflict finds out why a transaction conflicts. If an earlier attempt may have been
// applied, its chunk shows whether it was: then the chunk's version is returned. Otherwise
// another controller leads, and the error is ErrLeadershipLost. All other errors mean that the
// chunk couldn't be read, so the reason is not known yet.
func (j *Journal) resolveConflict(ctx context.Context, timeouts int, conflict *ConflictError, chunkKey string, mayBeApplied bool) (version uint64, err error) {
	if slices.Contains(conflict.Failed, j.leadership.Key) {
		return 0, ErrLeadershipLost
	}
	lost := func() error {
		return fmt.Errorf("journal chunk %s: %w (%v)", chunkKey, ErrLeadershipLost, conflict.Failed)
	}
	if !mayBeApplied {
		return 0, lost()
	}
	ctx, cancel := j.limits.withTimeout(ctx, timeouts)
	defer cancel()
	item, err := j.store.Get(ctx, chunkKey)
	if errors.Is(err, ErrNotFound) {
		return 0, lost()
	}
	return item.Version, err
}
