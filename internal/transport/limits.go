package transport

import (
	"math"

	"golang.org/x/sync/semaphore"

	"sagevale/internal/protocol"
)

// Bounds is what a node may use for those who speak to it.
type Bounds struct {
	Sockets  int
	MemoryMB float64
}

const (
	// connMemoryShare of the memory may go to accepted connections, each of which takes
	// connBytes: its buffers, its goroutines' stacks, its last report.
	connMemoryShare = 1.0 / 3
	connBytes       = 24 << 10
	// bodyMemoryShare of the memory may go to large bodies that are being read; bodies
	// of up to smallBody count to their connection.
	bodyMemoryShare = 1.0 / 16
	smallBody       = 4 << 10
	// pooledBody is the largest buffer that is kept for further requests.
	pooledBody = 4 * smallBody
)

// connections is how many accepted connections may be open.
func (b Bounds) connections() int {
	open := socketShare(b.Sockets, acceptedShare)
	if b.MemoryMB <= 0 {
		return open
	}
	return min(open, max(1, int(b.MemoryMB*(1<<20)*connMemoryShare/connBytes)))
}

// workers is how many of them workers may keep open between two reports.
func (b Bounds) workers() int {
	ofAccepted := math.Round(float64(b.connections()) * workerShare / acceptedShare)
	return min(socketShare(b.Sockets, workerShare), max(1, int(ofAccepted)))
}

// bodyAdmission admits large bodies within the memory for them.
type bodyAdmission struct{ bytes *semaphore.Weighted }

func newBodyAdmission(b Bounds) bodyAdmission {
	return bodyAdmission{semaphore.NewWeighted(max(2*protocol.MaxBody, int64(b.MemoryMB*(1<<20)*bodyMemoryShare)))}
}

// admit makes room for a body of that length, of any length up to the protocol's limit
// if it is negative. It returns how to give the room back; ok is false if there is none.
func (a bodyAdmission) admit(length int64) (release func(), ok bool) {
	weight := length
	switch {
	case length < 0:
		weight = 2 * protocol.MaxBody // its buffer grows by doubling
	case length <= smallBody:
		return func() {}, true
	}
	if !a.bytes.TryAcquire(weight) {
		return nil, false
	}
	return func() { a.bytes.Release(weight) }, true
}
