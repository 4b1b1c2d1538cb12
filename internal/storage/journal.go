package storage

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"
)

const (
	// batchQueueLength is the number of batches that can be queued before Append blocks.
	batchQueueLength = 16
	// retryDelay is the delay before the journal retries a request.
	retryDelay = 100 * time.Millisecond
)

// ErrLeadershipLost means that the leadership key or the journal has changed, so that this leader
// may no longer write.
var ErrLeadershipLost = errors.New("leadership lost")

// Batch is a set of records that are acknowledged together, once all of them are durable.
type Batch struct {
	Records []Record
	// Ack, if set, is called with nil once all records are durable, or with the error that
	// stopped the journal. It is called from the journal's goroutine and must not block.
	Ack func(error)
}

// Journal reads and writes the records during one leadership term. Only the goroutine of Run may
// access its fields, except those that are safe for concurrent use.
type Journal struct {
	store         KeyValueStore
	leadership    Guard
	limitTracker  *LimitTracker
	limits        Limits        // copy of limitTracker's limits; applyLimits refreshes it
	changeLimiter *rate.Limiter // limits the journal's changes per second; each operation of a transaction is a change
	batches       chan Batch

	index                journalIndex
	encoder              chunkEncoder
	nextChunkNumber      uint64 // number of the next chunk to write
	previousChunkVersion uint64 // version of the newest existing chunk; 0: no chunk exists
	fragmentedRecords    uint64 // number of records that this journal has split into fragments

	allowedEncoding   atomic.Int32 // holds an Encoding
	onEncodingNeeded  func()
	migrationRequests chan migrationRequest
}

// OpenJournal reads all chunks and returns the journal. It retries until the store responds or
// ctx ends. The leadership guard requires the leadership key to have the version of the leader's
// own term, and is part of every transaction.
func OpenJournal(ctx context.Context, store KeyValueStore, limitTracker *LimitTracker, leadership Guard) (*Journal, error) {
	limits := limitTracker.Limits()
	j := &Journal{
		store:             store,
		leadership:        leadership,
		limitTracker:      limitTracker,
		limits:            limits,
		changeLimiter:     rate.NewLimiter(limits.changeRate()),
		batches:           make(chan Batch, batchQueueLength),
		index:             newJournalIndex(),
		encoder:           newChunkEncoder(limits.maxChunkBytes()),
		nextChunkNumber:   1,
		onEncodingNeeded:  func() {},
		migrationRequests: make(chan migrationRequest),
	}
	if err := j.readChunks(ctx); err != nil {
		return nil, err
	}
	return j, nil
}

// Records returns the durable records of all entities that aren't removed, in key order. It must not
// be called after the first Append, because the goroutine of Run changes the index from then on.
func (j *Journal) Records() []Record { return j.index.records() }

// Append queues a batch for the journal, unless ctx ends first. It may be called from any
// goroutine. It doesn't block for long if each caller has at most one unacknowledged batch.
func (j *Journal) Append(ctx context.Context, b Batch) {
	select {
	case j.batches <- b:
	case <-ctx.Done():
	}
}

// Run commits batches until ctx ends or a commit fails. It returns ErrLeadershipLost once this
// controller no longer leads.
func (j *Journal) Run(ctx context.Context) error {
	for {
		var err error
		select {
		case <-ctx.Done():
			return ctx.Err()
		case request := <-j.migrationRequests:
			err = j.runMigrationStep(ctx, request)
		case b := <-j.batches:
			err = j.groupCommit(ctx, b)
		}
		if err != nil {
			return err
		}
	}
}

// groupCommit commits a batch together with all queued batches, and acknowledges them.
func (j *Journal) groupCommit(ctx context.Context, first Batch) error {
	batches := j.appendQueuedBatches([]Batch{first})
	err := j.changeLimiter.Wait(ctx)
	if err == nil {
		batches = j.appendQueuedBatches(batches)
		err = j.commit(ctx, batches)
	}
	for _, b := range batches {
		if b.Ack != nil {
			b.Ack(err)
		}
	}
	return err
}

// appendQueuedBatches appends all queued batches to batches without waiting for more.
func (j *Journal) appendQueuedBatches(batches []Batch) []Batch {
	for {
		select {
		case b := <-j.batches:
			batches = append(batches, b)
		default:
			return batches
		}
	}
}

// applyLimits applies the present limits of limitTracker. The request timeout stays unchanged.
func (j *Journal) applyLimits() {
	timeout := j.limits.RequestTimeout
	j.limits = j.limitTracker.Limits()
	j.limits.RequestTimeout = timeout
	lowered := j.limitTracker.ValueLimitLowered()
	j.encoder.capacity = j.limits.maxChunkBytes()
	j.encoder.compressChunks = lowered && j.allows(AnyEncoding)
	if lowered && !j.encoder.compressChunks {
		j.onEncodingNeeded()
	}
	limit, burst := j.limits.changeRate()
	j.changeLimiter.SetLimit(limit)
	j.changeLimiter.SetBurst(burst)
}
