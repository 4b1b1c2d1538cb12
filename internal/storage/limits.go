package storage

import (
	"context"
	"time"

	"golang.org/x/time/rate"
)

// Limits holds the limits that the key-value store enforces. Operators configure them in the
// settings.
type Limits struct {
	RequestsPerS float64 // requests per second
	ChangesPerS  float64 // transaction operations per second
	ValueBytes   int     // maximum size of a value
	TxnOps       int     // maximum number of operations of one transaction
	// RequestTimeout is how long the journal waits for a response before it retries, because
	// the response to a request may never arrive. 0: no timeout.
	RequestTimeout time.Duration
	// Next holds lower limits than these, which the store will enforce from some unannounced point in
	// time on. A limit of 0 in Next means that this limit doesn't change. If Next is nil, no lower
	// limits are known.
	Next *Limits
}

const (
	// usableValueShare is the share of ValueBytes that a chunk may use. The remaining bytes are
	// left for framing.
	usableValueShare = 0.9
	// journalChangeShare is the share of ChangesPerS that the journal may use.
	journalChangeShare = 0.7
	// maxTxnBytes limits the size of one transaction, below the protocol's limit of 64 KiB.
	maxTxnBytes = 56 << 10
)

// BytesWithin returns how many bytes of records the journal can write within a duration while it
// uses its share of ChangesPerS. The result is at least the capacity of one transaction.
func (l *Limits) BytesWithin(d time.Duration) int {
	value := usableValueShare * float64(l.ValueBytes)
	transaction := min(float64(l.maxNewChunksPerTxn())*value, maxTxnBytes)
	return int(max(transaction, journalChangeShare*l.ChangesPerS*d.Seconds()*value))
}

// changeRate returns how many changes per second the journal may make, and the burst, which is the
// maximum number of unused changes that accumulate.
func (l *Limits) changeRate() (limit rate.Limit, burst int) {
	return rate.Limit(l.ChangesPerS * journalChangeShare), max(l.TxnOps, int(l.ChangesPerS*journalChangeShare))
}

// maxChunkBytes returns the maximum size of a chunk's value.
func (l *Limits) maxChunkBytes() int { return int(float64(l.ValueBytes) * usableValueShare) }

// maxNewChunksPerTxn returns how many new chunks a commit may write in one transaction. The
// remaining operations are left for compaction.
func (l *Limits) maxNewChunksPerTxn() int { return max(1, l.TxnOps/2) }

// withTimeout returns a context that ends after a multiple of the request timeout.
func (l *Limits) withTimeout(ctx context.Context, multiple int) (context.Context, context.CancelFunc) {
	if l.RequestTimeout <= 0 {
		return ctx, func() {}
	}
	return context.WithTimeout(ctx, time.Duration(multiple)*l.RequestTimeout)
}
