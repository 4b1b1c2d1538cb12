package transport

import (
	"golang.org/x/sync/semaphore"

	"sagevale/internal/protocol"
)

const (
	// maxSmallBodyBytes is the largest size of a request body for which a bodyLimiter reserves no memory. The memory for
	// such small bodies is included in connectionBytes.
	maxSmallBodyBytes = 4 << 10
	// unknownLengthBodyBytes is the memory that is reserved for a body of unknown length. The body's buffer grows by
	// doubling, so the buffer may become twice as large as the largest allowed body.
	unknownLengthBodyBytes = 2 * protocol.MaxBodyBytes
)

// bodyLimiter bounds the memory that request bodies larger than maxSmallBodyBytes occupy while the server reads and parses
// them.
type bodyLimiter struct{ memory *semaphore.Weighted }

func newBodyLimiter(limits Limits) bodyLimiter {
	return bodyLimiter{semaphore.NewWeighted(limits.bodyMemory())}
}

// acquire reserves memory for a body of length bytes. A body of at most maxSmallBodyBytes needs no reservation. If length
// is negative, the body's length is unknown, and acquire reserves enough for the largest body that the protocol allows.
// acquire never waits: if too little memory is left, it returns false. If it returns true, the caller must call release
// exactly once.
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
