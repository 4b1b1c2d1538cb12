package storage

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"

	"sagevale/internal/clock"
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
	// listTimeouts is how many times a request's timeout a page may take:
	// it is large, and to be understood.
	listTimeouts = 8
	// maxTimeouts is up to how many times the timeout a request gets that has
	// gone unanswered before: the service may be slow.
	maxTimeouts = 16
	// retryPause is how long the journal waits after a refused request.
	retryPause = 100 * time.Millisecond
)

// ErrLeadershipLost says that the leadership key has changed hands.
var ErrLeadershipLost = errors.New("leadership has moved on")

// Batch is a set of records that become durable together, and what to do
// then. Ack is called from the journal's goroutine and must not block.
type Batch struct {
	Records []Record
	Ack     func(error)
}

// Journal is the actor that writes records under a leader's term.
type Journal struct {
	svc          KeyValueStore
	limitTracker *LimitTracker
	limits       Limits // the limit tracker's, as of the last commit
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
	compressionRatio float64      // by which they are expected to shrink
	compactionRatio  float64      // likewise what compaction moves, which is of other kinds
	encoding         atomic.Int32 // an Encoding
	encodingNeeded   func()
	migrations       chan migration
	next             uint64
	last             uint64 // version of chunk next-1, 0 if unknown
}

// OpenJournal reads all chunks; lead is the leadership key with the version
// that every write is guarded by.
func OpenJournal(ctx context.Context, svc KeyValueStore, limitTracker *LimitTracker, lead Guard) (*Journal, error) {
	limits := limitTracker.Limits()
	j := &Journal{
		svc: svc, limitTracker: limitTracker, limits: limits, lead: lead, partial: make(map[string]*partialRecord), compressionRatio: initialRatio, compactionRatio: initialRatio,
		limiter:  rate.NewLimiter(limits.pace()),
		in:       make(chan Batch, 16),
		entities: make(map[string]entity),
		next:     1,

		migrations: make(chan migration), encodingNeeded: func() {},
	}
	after := ""
	for {
		lctx, cancel := limits.bound(ctx, listTimeouts)
		items, more, _, err := svc.List(lctx, chunkPrefix, after, 1000)
		cancel()
		if errors.Is(err, ErrRefused) || errors.Is(err, ErrOutcomeUnknown) {
			if !clock.Sleep(ctx, retryPause) {
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

// pace is the rate and the burst of the journal's changes.
func (l *Limits) pace() (rate.Limit, int) {
	return rate.Limit(l.ChangesPerS * changeShare), max(l.TxnOps, int(l.ChangesPerS*changeShare))
}

// applyLimits takes up what the limits have become.
func (j *Journal) applyLimits() {
	patience := j.limits.RequestTimeout
	j.limits = j.limitTracker.Limits()
	j.limits.RequestTimeout = patience
	j.compress = j.limitTracker.Lowered() && j.mayWrite(AnyEncoding)
	if j.limitTracker.Lowered() && !j.compress {
		j.encodingNeeded()
	}
	limit, burst := j.limits.pace()
	j.limiter.SetLimit(limit)
	j.limiter.SetBurst(burst)
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
// returns ErrLeadershipLost.
func (j *Journal) Run(ctx context.Context) error {
	for {
		var batches []Batch
		select {
		case <-ctx.Done():
			return ctx.Err()
		case m := <-j.migrations:
			if err := j.migrate(ctx, m); err != nil {
				return err
			}
			continue
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
	records := j.keepUnknown(merge(*batches))
	if err := j.awaitEncoding(ctx, records); err != nil {
		return err
	}
	for pending := j.fragmentLarge(records); len(pending) > 0; {
		chunks, rest, err := j.cut(pending)
		if err != nil {
			return err
		}
		err = j.write(ctx, chunks)
		if errors.Is(err, ErrMalformed) && j.limitTracker.Learn(err) {
			// The service's limits have fallen: all of it once more, cut
			// smaller. What was written stands, and the later record wins.
			slog.Info("the state service takes less", "value_bytes", j.limitTracker.Limits().ValueBytes, "txn_ops", j.limitTracker.Limits().TxnOps)
			j.applyLimits()
			if err := j.awaitEncoding(ctx, records); err != nil {
				return err
			}
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
