package transport

import "math"

// Limits bound the resources that a server uses for its clients.
type Limits struct {
	Sockets  int     // of the process, for all purposes
	MemoryMB float64 // of the process, in MB (2^20 bytes); 0: not limited
}

// Shares of the sockets. The workers of a fleet keep their connections open, and may be more than there are
// sockets: their connections must leave room for users, health checks and outgoing connections.
const (
	// workerSocketShare bounds the workers' connections that stay open between two heartbeats; a worker's
	// connection beyond it is closed after the response.
	workerSocketShare = 1.0 / 2
	// acceptedSocketShare bounds all accepted connections; at that number idle connections of workers are
	// closed to accept others.
	acceptedSocketShare = 2.0 / 3
	// commandSocketShare bounds the connections that send commands to workers, and idleCommandSocketShare those
	// that are kept for the next commands.
	commandSocketShare     = 1.0 / 6
	idleCommandSocketShare = 1.0 / 12
)

// Shares of the memory.
const (
	// connectionMemoryShare is for accepted connections, each of which takes connectionBytes: its buffers,
	// its goroutines' stacks, its latest heartbeat.
	connectionMemoryShare = 1.0 / 3
	connectionBytes       = 24 << 10
	// bodyMemoryShare is for large request bodies while they are read.
	bodyMemoryShare = 1.0 / 16
)

const bytesPerMB = 1 << 20

// socketShare returns a share of the sockets, at least one.
func socketShare(sockets int, share float64) int { return max(1, int(float64(sockets)*share)) }

// connections returns how many accepted connections may be open.
func (l Limits) connections() int {
	bySockets := socketShare(l.Sockets, acceptedSocketShare)
	if l.MemoryMB <= 0 {
		return bySockets
	}
	return min(bySockets, max(1, int(l.MemoryMB*bytesPerMB*connectionMemoryShare/connectionBytes)))
}

// workerConnections returns how many connections of workers may stay open between two heartbeats.
func (l Limits) workerConnections() int {
	shareOfAccepted := math.Round(float64(l.connections()) * workerSocketShare / acceptedSocketShare)
	return min(socketShare(l.Sockets, workerSocketShare), max(1, int(shareOfAccepted)))
}

// bodyMemory returns how many bytes large request bodies may take together. Any one body fits.
func (l Limits) bodyMemory() int64 {
	return max(unknownLengthBytes, int64(l.MemoryMB*bytesPerMB*bodyMemoryShare))
}
