package transport

import (
	"golang.org/x/sync/semaphore"

	"sagevale/internal/protocol"
)

const (
	// maxSmallBodyBytes is the size of the largest small request body. The memory for small bodies is included in
	// connectionBytes.
	maxSmallBodyBytes = 4 << 10
	// unknownLengthBodyBytes is the memory that is reserved for a body of unknown length. The body's buffer grows by
	// doubling, so the buffer may become twice as large as the largest allowed body.
	unknownLengthBodyBytes = 2 * protocol.MaxBodyBytes
)

// bodyLimiter bounds the memory that large request bodies occupy while the server reads and parses them.
type bodyLimiter struct{ memory *semaphore.Weighted }

func newBodyLimiter(limits Limits) bodyLimiter {
	return bodyLimiter{semaphore.NewWeighted(limits.bodyMemory())}
}

// acquire reserves memory for a body of length bytes. If length is negative, the body's length is unknown, and acquire
// reserves enough for the largest body that the protocol allows. acquire never waits: if too little memory is left, it
// returns false. Otherwise it returns true, and the caller must call release once.
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
