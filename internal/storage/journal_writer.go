package storage

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"time"

	"sagevale/internal/clock"
)

// room is how many bytes of records a chunk holds.
func (j *Journal) room() int { return int(float64(j.limits.ValueBytes) * valueShare) }

// fragmentLarge returns the records with those in fragments that are too large for a chunk.
func (j *Journal) fragmentLarge(records []Record) []Record {
	out := records[:0:0]
	for _, r := range records {
		if r.fragment == nil && !j.fits(r) {
			j.fragmented++
			out = append(out, split(r, j.guaranteedRoom(), j.lead.Version<<20|j.fragmented&(1<<20-1))...)
		} else {
			out = append(out, r)
		}
	}
	return out
}

// Size is what a record takes in a chunk, in bytes, at the most.
func (r *Record) Size() int {
	if r.fragment != nil {
		return len(r.Key) + fragmentFrame + (len(r.fragment.data)+2)/3*4
	}
	return len(r.Key) + len(r.Data) + 8
}

// merge keeps the last record of each entity, in order of first mention.
func merge(batches []Batch) []Record {
	at := make(map[string]int)
	var out []Record
	for _, b := range batches {
		for _, r := range b.Records {
			if i, ok := at[r.Key]; ok {
				out[i] = r
				continue
			}
			at[r.Key] = len(out)
			out = append(out, r)
		}
	}
	return out
}

// chunk is one value to be written.
type chunk struct {
	records []Record
	data    json.RawMessage
}

// BytesWithin is how many bytes of records are written in a time at the journal's share of the
// changes; at the least what one transaction takes.
func (l *Limits) BytesWithin(d time.Duration) int {
	value := valueShare * float64(l.ValueBytes)
	transaction := min(float64(max(1, l.TxnOps/2))*value, txnBytes)
	return int(max(transaction, changeShare*l.ChangesPerS*d.Seconds()*value))
}

// Spare is how many bytes of records may be written at once, because less than the pace was
// written before.
func (j *Journal) Spare() int {
	saved, _, _ := j.Saved()
	return int(saved * j.ChangeBytes())
}

// Saved is how many changes could be made at once, of how many that can be saved up, and how many
// are added a second.
func (j *Journal) Saved() (changes, burst, rate float64) {
	return max(0, j.limiter.Tokens()), float64(j.limiter.Burst()), float64(j.limiter.Limit())
}

// ChangeBytes is how many bytes of records one change writes.
func (j *Journal) ChangeBytes() float64 {
	return valueShare * float64(j.limitTracker.Limits().ValueBytes)
}

// HasSavings tells whether a transaction's changes could be made at once: commits come at their
// own pace then, and not at that of the changes.
func (j *Journal) HasSavings() bool {
	return j.limiter.Tokens() >= float64(j.limitTracker.Limits().TxnOps)
}

// cut takes from the records as many chunks as one transaction holds.
func (j *Journal) cut(records []Record) (chunks []chunk, rest []Record, err error) {
	total, ops := 0, max(1, j.limits.TxnOps/2)
	for len(records) > 0 && len(chunks) < ops && (total == 0 || total+j.room() <= txnBytes) {
		n := j.howMany(records)
		full := n < len(records)
		data, err := j.encode(records[:n])
		for err == nil && len(data) > j.room() && n > 1 {
			j.updateRatio(len(data), full)
			n = max(1, min(n-1, j.howMany(records)))
			data, err = j.encode(records[:n])
		}
		if err != nil {
			return nil, nil, err
		}
		j.updateRatio(len(data), full)
		chunks = append(chunks, chunk{records[:n:n], data})
		total += len(data)
		records = records[n:]
	}
	return chunks, records, nil
}

// howMany of the first records are expected to fit into a chunk, at the least one.
func (j *Journal) howMany(records []Record) int {
	size, limit := 2, j.rawRoom(j.compressionRatio)
	for i := range records {
		if size += records[i].Size(); size > limit && i > 0 {
			return i
		}
	}
	return len(records)
}

// write makes one transaction of the chunks, with compaction where the budget
// allows, and repeats it until its outcome is known.
//
// A transaction may be applied late or twice. Each one demands that its first
// chunk doesn't exist and that the chunk before it does, in the version that
// was written: so a repeat finds its own chunk, and one that comes after that
// chunk has been compacted away finds its predecessor gone.
func (j *Journal) write(ctx context.Context, chunks []chunk) error {
	if j.last == 0 {
		// The very first chunk has none before it, so its transaction may be
		// applied again once it is compacted away: it must be empty.
		version, err := j.settle(ctx, []Guard{j.lead, {Key: ChunkKey(j.next)}}, []Op{{Key: ChunkKey(j.next), Data: json.RawMessage("[]")}})
		if err != nil {
			return err
		}
		j.note(j.next, nil, false)
		j.next, j.last = j.next+1, version
	}
	chunks, compacted := j.compact(chunks)
	if n := len(chunks) + compacted - 1; n > 0 {
		if err := j.limiter.WaitN(ctx, min(n, j.limiter.Burst())); err != nil {
			return err
		}
	}
	guards := []Guard{j.lead, {Key: ChunkKey(j.next)}, {Key: ChunkKey(j.next - 1), Version: j.last}}
	var ops []Op
	for i, c := range chunks {
		ops = append(ops, Op{Key: ChunkKey(j.next + uint64(i)), Data: c.data})
	}
	for _, c := range j.chunks[:compacted] {
		ops = append(ops, Op{Key: ChunkKey(c.seq), Delete: true})
	}
	version, err := j.settle(ctx, guards, ops)
	if err != nil {
		return err
	}
	j.forget(compacted)
	for i, c := range chunks {
		j.note(j.next+uint64(i), c.records, isEncoded(c.data, c.records))
	}
	j.next += uint64(len(chunks))
	j.last = version
	return nil
}

// compact adds to the chunks what still lives in the oldest ones and returns how
// many of those may be deleted with them. Of an old chunk that is larger than the
// budget or the service now allows for, a part is moved at a time.
func (j *Journal) compact(chunks []chunk) ([]chunk, int) {
	need := j.liveBytes/j.rawRoom(j.compactionRatio) + 1
	excess := len(j.chunks) - compactFactor*need - compactSlack
	changesLeft := int(j.limiter.Tokens()) / 2
	migrating := j.migrating()
	if migrating {
		excess = max(excess, j.lastEncoded())
	}
	if migrating || excess > compactBehind {
		changesLeft = max(changesLeft, compactForced)
	}
	if excess <= 0 || changesLeft <= 0 {
		return chunks, 0
	}
	m := j.compaction(chunks, changesLeft)
	n := 0
	for most := min(excess, len(j.chunks)-1); n < most && m.moveAll(j.living(n, m.writing)) && m.delete(); n++ {
	}
	moved, err := m.encode()
	if err != nil {
		j.compactionRatio = max(minRatio, j.compactionRatio*3/4)
		return chunks, 0
	}
	if n > 0 {
		j.compactionRatio = min(maxRatio, j.compactionRatio*33/32)
	}
	return moved, n
}

// bound gives a request so many timeouts.
func (l *Limits) bound(ctx context.Context, times int) (context.Context, context.CancelFunc) {
	if l.RequestTimeout <= 0 {
		return ctx, func() {}
	}
	return context.WithTimeout(ctx, time.Duration(times)*l.RequestTimeout)
}

// settle repeats a transaction until it is known to be applied or barred. One
// that isn't answered is asked again: if both are carried out, the second finds
// the first one's chunk.
func (j *Journal) settle(ctx context.Context, guards []Guard, ops []Op) (uint64, error) {
	unsure := false
	for times := 1; ; times = min(2*times, maxTimeouts) {
		tctx, cancel := j.limits.bound(ctx, times)
		version, err := j.svc.Txn(tctx, guards, ops)
		cancel()
		var conflict *ConflictError
		switch {
		case err == nil:
			return version, nil
		case errors.As(err, &conflict):
			for _, k := range conflict.Failed {
				if k == j.lead.Key {
					return 0, ErrLeadershipLost
				}
			}
			if !unsure {
				return 0, fmt.Errorf("journal chunk %s: %w (%v)", ops[0].Key, ErrLeadershipLost, conflict.Failed)
			}
			gctx, cancel := j.limits.bound(ctx, times)
			item, err := j.svc.Get(gctx, ops[0].Key)
			cancel()
			if err == nil {
				return item.Version, nil
			}
			if errors.Is(err, ErrNotFound) {
				return 0, fmt.Errorf("journal chunk %s: %w (%v)", ops[0].Key, ErrLeadershipLost, conflict.Failed)
			}
		case errors.Is(err, ErrRefused):
		case errors.Is(err, ErrOutcomeUnknown):
			unsure = true
		default:
			return 0, fmt.Errorf("journal commit: %w", err)
		}
		if j.limitTracker.Learn(err) {
			j.applyLimits()
		}
		slog.Debug("journal retries", "chunk", ops[0].Key, "err", err)
		if !clock.Sleep(ctx, retryPause) {
			return 0, ctx.Err()
		}
	}
}

// ChunkKey is the key of a journal chunk.
func ChunkKey(seq uint64) string { return fmt.Sprintf("%s%012d", chunkPrefix, seq) }
