package transport

import (
	"golang.org/x/sync/semaphore"

	"sagevale/internal/protocol"
)

const (
	// maxSmallBodyBytes is the largest request body that connectionBytes already accounts for.
	maxSmallBodyBytes = 4 << 10
	// unknownLengthBodyBytes is the memory that is reserved for a body of unknown length. Its buffer grows by
	// doubling, so it may become twice as large as the largest body.
	unknownLengthBodyBytes = 2 * protocol.MaxBodyBytes
)

// bodyLimiter bounds the memory that large request bodies occupy while the server reads and parses them.
type bodyLimiter struct{ memory *semaphore.Weighted }

func newBodyLimiter(limits Limits) bodyLimiter {
	return bodyLimiter{semaphore.NewWeighted(limits.bodyMemory())}
}

// acquire reserves memory for a body of length bytes. If length is negative, the body's length is unknown, and acquire
// reserves enough for the largest body that the protocol allows. It never waits: if too little memory is left, ok is
// false. Otherwise the caller must call release once.
func (l bodyLimiter) acquire(length int64) (release func(), ok bool) {
	bytes := length
	switch {
	case length < 0:
		bytes = unknownLengthBodyBytes
	case length <= maxSmallBodyBytes:
		return func() {}, true
	}
	if !l.memory.TryAcquire(bytes) {
		return nil, false
	}
	return func() { l.memory.Release(bytes) }, true
}
