package storage

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"
)

const (
	// batchQueue is how many batches may wait for the journal before Append blocks.
	batchQueue = 16
	// retryPause is how long the journal waits before it retries a request.
	retryPause = 100 * time.Millisecond
)

// ErrLeadershipLost means that the leadership key has changed, so that this leader may no
// longer write.
var ErrLeadershipLost = errors.New("leadership has moved on")

// Batch is a set of records that become durable together.
type Batch struct {
	Records []Record
	// Ack, if set, is called once the records are durable, or with the error that ended the
	// journal. It is called from the journal's goroutine and must not block.
	Ack func(error)
}

// Journal is the actor that reads and writes the records of one leader's term. Its fields
// belong to the goroutine of Run, except those that are safe for concurrent use.
type Journal struct {
	store        KeyValueStore
	leadership   Guard
	limitTracker *LimitTracker
	limits       Limits        // those of limitTracker as of the last commit
	limiter      *rate.Limiter // of the journal's changes
	batches      chan Batch

	index           journalIndex
	encoder         chunkEncoder
	nextChunk       uint64 // number of the next chunk
	previousVersion uint64 // version of the chunk before that; 0: there is none
	fragmented      uint64 // how many records were split into fragments

	allowedEncoding  atomic.Int32 // an Encoding
	onEncodingNeeded func()
	migrationSteps   chan migrationStep
}

// OpenJournal reads all chunks. It retries until the store has answered, or ctx ends. The
// leadership guard names the leadership key at the version of the leader's own term; it guards
// every write.
func OpenJournal(ctx context.Context, store KeyValueStore, limitTracker *LimitTracker, leadership Guard) (*Journal, error) {
	limits := limitTracker.Limits()
	j := &Journal{
		store:            store,
		leadership:       leadership,
		limitTracker:     limitTracker,
		limits:           limits,
		limiter:          rate.NewLimiter(limits.changeRate()),
		batches:          make(chan Batch, batchQueue),
		index:            newJournalIndex(),
		encoder:          newChunkEncoder(limits.chunkBytes()),
		nextChunk:        1,
		onEncodingNeeded: func() {},
		migrationSteps:   make(chan migrationStep),
	}
	if err := j.readChunks(ctx); err != nil {
		return nil, err
	}
	return j, nil
}

// Records returns the durable records in key order. It must not be called
// once a batch has been appended: the index changes then.
func (j *Journal) Records() []Record { return j.index.records() }

// Append hands a batch to the journal, unless ctx ends first. It may be called from any
// goroutine. It doesn't block for long as long as each caller has at most one batch that isn't
// acknowledged yet.
func (j *Journal) Append(ctx context.Context, b Batch) {
	select {
	case j.batches <- b:
	case <-ctx.Done():
	}
}

// Run commits batches until ctx ends or a commit fails. Once another controller leads it
// fails with ErrLeadershipLost.
func (j *Journal) Run(ctx context.Context) error {
	for {
		var err error
		select {
		case <-ctx.Done():
			return ctx.Err()
		case step := <-j.migrationSteps:
			err = j.migrate(ctx, step)
		case b := <-j.batches:
			err = j.groupCommit(ctx, b)
		}
		if err != nil {
			return err
		}
	}
}

// groupCommit commits a batch together with all others that wait, and acknowledges them.
func (j *Journal) groupCommit(ctx context.Context, first Batch) error {
	batches := j.appendWaiting([]Batch{first})
	err := j.limiter.Wait(ctx)
	if err == nil {
		batches = j.appendWaiting(batches)
		err = j.commit(ctx, batches)
	}
	for _, b := range batches {
		if b.Ack != nil {
			b.Ack(err)
		}
	}
	return err
}

// appendWaiting appends the batches that wait.
func (j *Journal) appendWaiting(batches []Batch) []Batch {
	for {
		select {
		case b := <-j.batches:
			batches = append(batches, b)
		default:
			return batches
		}
	}
}

// applyLimits applies what the limits have become, except for the request timeout.
func (j *Journal) applyLimits() {
	timeout := j.limits.RequestTimeout
	j.limits = j.limitTracker.Limits()
	j.limits.RequestTimeout = timeout
	lowered := j.limitTracker.Lowered()
	j.encoder.capacity = j.limits.chunkBytes()
	j.encoder.compress = lowered && j.allows(AnyEncoding)
	if lowered && !j.encoder.compress {
		j.onEncodingNeeded()
	}
	limit, burst := j.limits.changeRate()
	j.limiter.SetLimit(limit)
	j.limiter.SetBurst(burst)
}
