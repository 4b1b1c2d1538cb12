package transport

import (
	"golang.org/x/sync/semaphore"

	"sagevale/internal/protocol"
)

const (
	// smallBodyBytes is the largest request body that is part of its connection's memory (connectionBytes).
	smallBodyBytes = 4 << 10
	// unknownLengthBytes is the memory for a body of unknown length: its buffer grows by doubling.
	unknownLengthBytes = 2 * protocol.MaxBodyBytes
)

// bodyLimiter bounds the memory that large request bodies take while they are read.
type bodyLimiter struct{ memory *semaphore.Weighted }

func newBodyLimiter(limits Limits) bodyLimiter {
	return bodyLimiter{semaphore.NewWeighted(limits.bodyMemory())}
}

// acquire reserves memory for a body of length bytes, or of any length up to the protocol's limit if length is
// negative. It never waits: ok is false if there is no memory left, and otherwise release must be called once.
func (l bodyLimiter) acquire(length int64) (release func(), ok bool) {
	bytes := length
	switch {
	case length < 0:
		bytes = unknownLengthBytes
	case length <= smallBodyBytes:
		return func() {}, true
	}
	if !l.memory.TryAcquire(bytes) {
		return nil, false
	}
	return func() { l.memory.Release(bytes) }, true
}
