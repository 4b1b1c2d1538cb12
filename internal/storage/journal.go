package storage

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"sort"
	"strings"
	"time"

	"golang.org/x/time/rate"
)

// The journal keeps the records in numbered chunks. A commit writes the
// latest state of the changed entities into a new chunk; on reading, the
// later record of an entity wins. Old chunks are compacted oldest first: what
// still lives in them is written again with a commit that deletes them.

const (
	chunkPrefix = "log/"
	// valueShare of the value limit is used, the rest is left for framing.
	valueShare = 0.9
	// changeShare of the change budget is the journal's.
	changeShare = 0.7
	// txnBytes bounds one transaction, under the protocol's 64 KiB.
	txnBytes = 56 << 10
	// compactFactor: chunks are compacted when there are more than this many times
	// what the living records need, plus compactSlack.
	compactFactor = 2
	compactSlack  = 24
	// compactBehind chunks too many are a load that a take-over feels; then each
	// commit takes at least compactForced changes to compact, though that delays the
	// next.
	compactBehind = 4 * compactSlack
	compactForced = 2 // its living records into a new one, and its deletion
	// listPatience is how many times the patience for a request a page may take:
	// it is large, and to be understood.
	listTimeouts = 8
	// mostPatience is up to how many times the patience a request gets that has
	// gone unanswered before: the service may be slow.
	maxTimeouts = 16
	// retryPause is how long the journal waits after a refused request.
	retryPause = 100 * time.Millisecond
)

// ErrDeposed says that the leadership key has changed hands.
var ErrDeposed = errors.New("leadership has moved on")

// Batch is a set of records that become durable together, and what to do
// then. Ack is called from the journal's goroutine and must not block.
type Batch struct {
	Records []Record
	Ack     func(error)
}

type entity struct {
	chunk uint64
	data  json.RawMessage
}

type chunkInfo struct {
	seq  uint64
	keys []string
}

// Journal is the actor that writes records under a leader's term.
type Journal struct {
	svc          StateService
	limitTracker *LimitTracker
	limits       Limits // the ceiling's, as of the last commit
	lead         Guard
	limiter      *rate.Limiter
	in           chan Batch

	entities         map[string]entity
	liveBytes        int
	chunks           []chunkInfo
	partial          map[string]*partialRecord // records of which not all fragments are read or written
	fragmented       uint64                    // records that were written in fragments
	compress         bool                      // chunks are compressed
	compressor       compressor
	compressionRatio float64 // by which they are expected to shrink
	compactionRatio  float64 // likewise what compaction moves, which is of other kinds
	next             uint64
	last             uint64 // version of chunk next-1, 0 if unknown
}

// OpenJournal reads all chunks; lead is the leadership key with the version
// that every write is guarded by.
func OpenJournal(ctx context.Context, svc StateService, ceiling *LimitTracker, lead Guard) (*Journal, error) {
	limits := ceiling.Limits()
	j := &Journal{
		svc: svc, limitTracker: ceiling, limits: limits, lead: lead, partial: make(map[string]*partialRecord), compressionRatio: initialRatio, compactionRatio: initialRatio,
		limiter:  rate.NewLimiter(limits.pace()),
		in:       make(chan Batch, 16),
		entities: make(map[string]entity),
		next:     1,
	}
	after := ""
	for {
		lctx, cancel := limits.bound(ctx, listTimeouts)
		items, more, _, err := svc.List(lctx, chunkPrefix, after, 1000)
		cancel()
		if errors.Is(err, ErrRefused) || errors.Is(err, ErrUnknown) {
			if !Sleep(ctx, retryPause) {
				return nil, ctx.Err()
			}
			continue
		}
		if err != nil {
			return nil, fmt.Errorf("read journal: %w", err)
		}
		for _, it := range items {
			if err := j.readChunk(it); err != nil {
				return nil, err
			}
			after = it.Key
		}
		if !more || len(items) == 0 {
			return j, nil
		}
	}
}

func (j *Journal) readChunk(it Item) error {
	var seq uint64
	if _, err := fmt.Sscanf(strings.TrimPrefix(it.Key, chunkPrefix), "%d", &seq); err != nil {
		return fmt.Errorf("chunk key %q: %w", it.Key, err)
	}
	var records []Record
	plain, err := decompress(it.Data)
	if err != nil {
		return fmt.Errorf("chunk %q: %w", it.Key, err)
	}
	if err := json.Unmarshal(plain, &records); err != nil {
		return fmt.Errorf("chunk %q: %w", it.Key, err)
	}
	j.note(seq, records)
	j.next, j.last = seq+1, it.Version
	return nil
}

// note enters a chunk's records into the journal's index.
func (j *Journal) note(seq uint64, records []Record) {
	info := chunkInfo{seq: seq}
	for _, r := range records {
		chunk, data := seq, r.Data
		if r.fragment != nil {
			if r.fragment.index == 0 {
				info.keys = append(info.keys, r.Key)
			}
			var whole bool
			if whole, chunk, data = j.addFragment(seq, r); !whole {
				continue
			}
		} else {
			info.keys = append(info.keys, r.Key)
		}
		if old, ok := j.entities[r.Key]; ok {
			j.liveBytes -= len(old.data) + len(r.Key)
		}
		j.entities[r.Key] = entity{chunk: chunk, data: data}
		j.liveBytes += len(data) + len(r.Key)
	}
	j.chunks = append(j.chunks, info)
}

// pace is the rate and the burst of the journal's changes.
func (l *Limits) pace() (rate.Limit, int) {
	return rate.Limit(l.ChangesPerS * changeShare), max(l.TxnOps, int(l.ChangesPerS*changeShare))
}

// heed takes up what the ceiling has become.
func (j *Journal) applyLimits() {
	patience := j.limits.RequestTimeout
	j.limits = j.limitTracker.Limits()
	j.limits.RequestTimeout = patience
	j.compress = j.limitTracker.Lowered()
	limit, burst := j.limits.pace()
	j.limiter.SetLimit(limit)
	j.limiter.SetBurst(burst)
}

// room is how many bytes of records a chunk holds.
func (j *Journal) room() int { return int(float64(j.limits.ValueBytes) * valueShare) }

// fitted returns the records with those in fragments that are too large for a chunk.
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

// size is what a record takes in a chunk, at the most.
func (r *Record) size() int {
	if r.fragment != nil {
		return len(r.Key) + fragmentFrame + (len(r.fragment.data)+2)/3*4
	}
	return len(r.Key) + len(r.Data) + 8
}

// Records returns the living records in key order.
func (j *Journal) Records() []Record {
	out := make([]Record, 0, len(j.entities))
	for k, e := range j.entities {
		if e.data != nil {
			out = append(out, Record{Key: k, Data: e.data})
		}
	}
	sort.Slice(out, func(a, b int) bool { return out[a].Key < out[b].Key })
	return out
}

// Append hands a batch to the journal. Each sender keeps at most one batch
// unacknowledged, so this never blocks for long.
func (j *Journal) Append(ctx context.Context, b Batch) {
	select {
	case j.in <- b:
	case <-ctx.Done():
	}
}

// Run commits batches until ctx ends or the leadership has moved on; then it
// returns ErrDeposed.
func (j *Journal) Run(ctx context.Context) error {
	for {
		var batches []Batch
		select {
		case <-ctx.Done():
			return ctx.Err()
		case b := <-j.in:
			batches = append(batches, b)
		}
		batches = j.drain(batches)
		err := j.commit(ctx, &batches)
		for _, b := range batches {
			if b.Ack != nil {
				b.Ack(err)
			}
		}
		if err != nil {
			return err
		}
	}
}

func (j *Journal) drain(batches []Batch) []Batch {
	for {
		select {
		case b := <-j.in:
			batches = append(batches, b)
		default:
			return batches
		}
	}
}

// commit makes the batches durable, in as many transactions as they need.
func (j *Journal) commit(ctx context.Context, batches *[]Batch) error {
	if err := j.limiter.Wait(ctx); err != nil {
		return err
	}
	*batches = j.drain(*batches)
	j.applyLimits()
	records := merge(*batches)
	for pending := j.fragmentLarge(records); len(pending) > 0; {
		chunks, rest, err := j.cut(pending)
		if err != nil {
			return err
		}
		err = j.write(ctx, chunks)
		if errors.Is(err, ErrMalformed) && j.limitTracker.Learn(err) {
			// The service's limits have fallen: all of it once more, in smaller
			// pieces. What was written stands, and the later record wins.
			slog.Info("the state service takes less", "value_bytes", j.limitTracker.Limits().ValueBytes, "txn_ops", j.limitTracker.Limits().TxnOps)
			j.applyLimits()
			pending = j.fragmentLarge(records)
			continue
		}
		if err != nil {
			return err
		}
		pending = rest
	}
	return nil
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
		if size += records[i].size(); size > limit && i > 0 {
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
		version, err := j.settle(ctx, []Guard{j.lead, {Key: chunkKey(j.next)}}, []Op{{Key: chunkKey(j.next), Data: json.RawMessage("[]")}})
		if err != nil {
			return err
		}
		j.note(j.next, nil)
		j.next, j.last = j.next+1, version
	}
	chunks, compacted := j.compact(chunks)
	if n := len(chunks) + compacted - 1; n > 0 {
		if err := j.limiter.WaitN(ctx, min(n, j.limiter.Burst())); err != nil {
			return err
		}
	}
	guards := []Guard{j.lead, {Key: chunkKey(j.next)}, {Key: chunkKey(j.next - 1), Version: j.last}}
	var ops []Op
	for i, c := range chunks {
		ops = append(ops, Op{Key: chunkKey(j.next + uint64(i)), Data: c.data})
	}
	for _, c := range j.chunks[:compacted] {
		ops = append(ops, Op{Key: chunkKey(c.seq), Delete: true})
	}
	version, err := j.settle(ctx, guards, ops)
	if err != nil {
		return err
	}
	j.forget(compacted)
	for i, c := range chunks {
		j.note(j.next+uint64(i), c.records)
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
	spare := int(j.limiter.Tokens()) / 2
	if excess > compactBehind {
		spare = max(spare, compactForced)
	}
	if excess <= 0 || spare <= 0 {
		return chunks, 0
	}
	m := j.compaction(chunks, spare)
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

// living lists what still lives in the nth oldest chunk and isn't being written.
func (j *Journal) living(n int, writing map[string]bool) []Record {
	var out []Record
	for _, k := range j.chunks[n].keys {
		if e, ok := j.entities[k]; ok && e.chunk == j.chunks[n].seq && e.data != nil && !writing[k] {
			out = append(out, Record{Key: k, Data: e.data})
		}
	}
	return out
}

// forget drops the n oldest chunks from the index.
func (j *Journal) forget(n int) {
	for _, c := range j.chunks[:n] {
		for _, k := range c.keys {
			if e, ok := j.entities[k]; ok && e.chunk == c.seq {
				j.liveBytes -= len(e.data) + len(k)
				delete(j.entities, k)
			}
		}
	}
	j.chunks = append([]chunkInfo(nil), j.chunks[n:]...)
}

// bound gives a request so many times the patience.
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
					return 0, ErrDeposed
				}
			}
			if !unsure {
				return 0, fmt.Errorf("journal chunk %s: %w (%v)", ops[0].Key, ErrDeposed, conflict.Failed)
			}
			gctx, cancel := j.limits.bound(ctx, times)
			item, err := j.svc.Get(gctx, ops[0].Key)
			cancel()
			if err == nil {
				return item.Version, nil
			}
			if errors.Is(err, ErrNotFound) {
				return 0, fmt.Errorf("journal chunk %s: %w (%v)", ops[0].Key, ErrDeposed, conflict.Failed)
			}
		case errors.Is(err, ErrRefused):
		case errors.Is(err, ErrUnknown):
			unsure = true
		default:
			return 0, fmt.Errorf("journal commit: %w", err)
		}
		if j.limitTracker.Learn(err) {
			j.applyLimits()
		}
		slog.Debug("journal retries", "chunk", ops[0].Key, "err", err)
		if !Sleep(ctx, retryPause) {
			return 0, ctx.Err()
		}
	}
}

func chunkKey(seq uint64) string { return fmt.Sprintf("%s%012d", chunkPrefix, seq) }

// Sleep waits for d, or until ctx ends; it returns whether d passed.
func Sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}
