package storage

import (
	"context"
	"errors"
	"log/slog"
)

// commit writes the records of the batches durably, in as many transactions as necessary.
func (j *Journal) commit(ctx context.Context, batches []Batch) error {
	j.applyLimits()
	records := j.keepUnknownFields(mergeBatches(batches))
	if err := j.awaitEncoding(ctx, records); err != nil {
		return err
	}
	pending := j.splitLargeRecords(records)
	for len(pending) > 0 {
		rest, err := j.writeNextTransaction(ctx, pending)
		switch {
		case err == nil:
			pending = rest
		case errors.Is(err, ErrMalformed) && j.limitTracker.Observe(err):
			// Write all records again in smaller chunks. The new chunks supersede those that
			// this commit has already written.
			if pending, err = j.splitUnderLowerLimits(ctx, records); err != nil {
				return err
			}
		default:
			return err
		}
	}
	return nil
}

// mergeBatches returns the last record of each entity, ordered by the first occurrence of the
// entity in the batches.
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

// splitUnderLowerLimits applies the lowered limits and splits a commit's records again.
func (j *Journal) splitUnderLowerLimits(ctx context.Context, records []Record) ([]Record, error) {
	limits := j.limitTracker.Limits()
	slog.Info("key-value store limits lowered", "value_bytes", limits.ValueBytes, "txn_ops", limits.TxnOps)
	j.applyLimits()
	if err := j.awaitEncoding(ctx, records); err != nil {
		return nil, err
	}
	j.applyLimits() // the allowed encoding may have changed while awaitEncoding waited
	return j.splitLargeRecords(records), nil
}

// fragmentTagBits is the size, in bits, of the counter in the low bits of a fragment's tag. The
// counter numbers the records that were split in this term. The high bits of the tag hold the version
// of the leadership key.
const fragmentTagBits = 20

// splitLargeRecords returns the records in the same order. It replaces each record that is too large
// for a chunk by the record's fragments.
func (j *Journal) splitLargeRecords(records []Record) []Record {
	out := records[:0:0]
	for _, r := range records {
		if r.fragment != nil || j.encoder.fitsInChunk(r) {
			out = append(out, r)
			continue
		}
		j.fragmentedRecords++
		tag := j.leadership.Version<<fragmentTagBits | j.fragmentedRecords&(1<<fragmentTagBits-1)
		out = append(out, splitRecord(r, j.encoder.guaranteedRecordBytes(), tag)...)
	}
	return out
}

// writeNextTransaction writes as many records as fit into one transaction, and returns the
// remaining records.
func (j *Journal) writeNextTransaction(ctx context.Context, records []Record) (rest []Record, err error) {
	chunks, rest, err := j.encodeNextChunks(records)
	if err != nil {
		return nil, err
	}
	return rest, j.writeChunks(ctx, chunks)
}

// encodeNextChunks encodes as many records as fit into one transaction, and returns their chunks
// and the remaining records.
func (j *Journal) encodeNextChunks(records []Record) (chunks []chunk, rest []Record, err error) {
	encodedBytes, maxChunks := 0, j.limits.maxNewChunksPerTxn()
	for len(records) > 0 && len(chunks) < maxChunks && (encodedBytes == 0 || encodedBytes+j.encoder.capacity <= maxTxnBytes) {
		var c chunk
		if c, records, err = j.encoder.encodeNext(records); err != nil {
			return nil, nil, err
		}
		chunks = append(chunks, c)
		encodedBytes += len(c.data)
	}
	return chunks, records, nil
}

// writeChunks commits the chunks in one transaction, together with as much compaction as
// compactionBudget and the limits of a transaction allow.
func (j *Journal) writeChunks(ctx context.Context, chunks []chunk) error {
	if err := j.ensurePreviousChunk(ctx); err != nil {
		return err
	}
	chunks, deletedChunks := j.compact(chunks)
	// The caller has already waited for the first change of the commit.
	if n := len(chunks) + deletedChunks - 1; n > 0 {
		if err := j.changeLimiter.WaitN(ctx, min(n, j.changeLimiter.Burst())); err != nil {
			return err
		}
	}
	version, err := j.commitTransaction(ctx, j.transactionGuards(), j.transactionOps(chunks, deletedChunks))
	if err != nil {
		return err
	}
	j.index.removeOldest(deletedChunks)
	j.indexWrittenChunks(chunks, version)
	return nil
}

// ensurePreviousChunk writes an empty first chunk if the journal has no chunk. The transaction of the
// first chunk can't be guarded by a preceding chunk. So the store could apply a late copy of this
// transaction after compaction has deleted the chunk. That does no harm if the chunk is empty.
func (j *Journal) ensurePreviousChunk(ctx context.Context) error {
	if j.previousChunkVersion != 0 {
		return nil
	}
	first := []chunk{{data: emptyChunkValue}}
	guards := []Guard{j.leadership, {Key: ChunkKey(j.nextChunkNumber)}}
	version, err := j.commitTransaction(ctx, guards, j.transactionOps(first, 0))
	if err != nil {
		return err
	}
	j.indexWrittenChunks(first, version)
	return nil
}

// indexWrittenChunks adds committed chunks to the index.
func (j *Journal) indexWrittenChunks(chunks []chunk, version uint64) {
	for _, c := range chunks {
		j.index.addChunk(j.nextChunkNumber, c.records, isNonPlain(c.data, c.records))
		j.nextChunkNumber++
	}
	j.previousChunkVersion = version
}
