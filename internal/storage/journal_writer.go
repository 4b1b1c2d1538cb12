package storage

import (
	"context"
	"errors"
	"log/slog"
)

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
		case errors.Is(err, ErrMalformed) && j.limitTracker.Observe(err):
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

// addWritten adds chunks that were committed to the index.
func (j *Journal) addWritten(chunks []chunk, version uint64) {
	for _, c := range chunks {
		j.index.addChunk(j.nextChunk, c.records, isEncoded(c.data, c.records))
		j.nextChunk++
	}
	j.previousVersion = version
}
