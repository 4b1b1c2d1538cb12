package storage

import (
	"context"
	"time"

	"golang.org/x/time/rate"
)

// Limits are the limits of the key-value store, from the settings.
type Limits struct {
	RequestsPerS float64 // requests a second
	ChangesPerS  float64 // operations of transactions a second
	ValueBytes   int     // the largest value
	TxnOps       int     // the most operations of one transaction
	// RequestTimeout is how long the journal waits for one answer before it retries; a
	// request may never be answered. 0: no timeout.
	RequestTimeout time.Duration
	// Next are lower limits that the store will enforce from an unannounced moment on; nil:
	// none are known. A figure of 0 means that the limit stays.
	Next *Limits
}

const (
	// valueShare of the value limit is used, the rest is left for framing.
	valueShare = 0.9
	// changeShare of the change rate belongs to the journal.
	changeShare = 0.7
	// txnBytes bounds one transaction, below the protocol's 64 KiB.
	txnBytes = 56 << 10
)

// BytesWithin returns how many bytes of records can be written in the duration at the
// journal's share of the change rate, and at least what one transaction holds.
func (l *Limits) BytesWithin(d time.Duration) int {
	value := valueShare * float64(l.ValueBytes)
	transaction := min(float64(l.chunksPerTxn())*value, txnBytes)
	return int(max(transaction, changeShare*l.ChangesPerS*d.Seconds()*value))
}

// changeRate returns the rate of the journal's changes a second, and its burst.
func (l *Limits) changeRate() (limit rate.Limit, burst int) {
	return rate.Limit(l.ChangesPerS * changeShare), max(l.TxnOps, int(l.ChangesPerS*changeShare))
}

// chunkBytes returns how many bytes a chunk may take.
func (l *Limits) chunkBytes() int { return int(float64(l.ValueBytes) * valueShare) }

// chunksPerTxn returns how many new chunks one transaction may hold. The other operations
// are left for compaction.
func (l *Limits) chunksPerTxn() int { return max(1, l.TxnOps/2) }

// withTimeout bounds one request by a multiple of the request timeout.
func (l *Limits) withTimeout(ctx context.Context, multiple int) (context.Context, context.CancelFunc) {
	if l.RequestTimeout <= 0 {
		return ctx, func() {}
	}
	return context.WithTimeout(ctx, time.Duration(multiple)*l.RequestTimeout)
}
