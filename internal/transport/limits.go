package transport

import "math"

// Limits are limits on the process. A server derives from them how many connections it accepts and how much memory it uses
// for request bodies.
type Limits struct {
	Sockets  int     // number of sockets for accepted and outgoing connections
	MemoryMB float64 // memory of the process in MB of 2^20 bytes; 0: connections aren't limited by memory
}

// Shares of the process's sockets. Workers keep their connections open, and a fleet may have more workers than a process
// has sockets. The shares leave sockets for users, health checks and outgoing connections.
const (
	// workerSocketShare limits the worker connections that stay open between two heartbeats. A worker connection above
	// this limit is closed after the response to its heartbeat.
	workerSocketShare = 1.0 / 2
	// acceptedSocketShare limits all accepted connections. At the limit, idle worker connections are closed so that
	// new connections can be accepted.
	acceptedSocketShare = 2.0 / 3
	// commandSocketShare limits the connections on which commands are being sent to workers. idleCommandSocketShare
	// limits the idle connections that are kept for later commands.
	commandSocketShare     = 1.0 / 6
	idleCommandSocketShare = 1.0 / 12
)

// Shares of the process's memory.
const (
	// connectionMemoryShare is the share for accepted connections. Each connection takes connectionBytes for its
	// buffers, the stacks of its goroutines and the latest heartbeat received on it.
	connectionMemoryShare = 1.0 / 3
	connectionBytes       = 24 << 10
	// bodyMemoryShare is the share for request bodies larger than maxSmallBodyBytes while they are read and
	// parsed.
	bodyMemoryShare = 1.0 / 16
)

const bytesPerMB = 1 << 20

// socketShare returns how many of the given sockets a share amounts to, rounded down but at least one.
func socketShare(sockets int, share float64) int { return max(1, int(float64(sockets)*share)) }

// connections returns how many accepted connections may be open at once.
func (l Limits) connections() int {
	bySockets := socketShare(l.Sockets, acceptedSocketShare)
	if l.MemoryMB <= 0 {
		return bySockets
	}
	return min(bySockets, max(1, int(l.MemoryMB*bytesPerMB*connectionMemoryShare/connectionBytes)))
}

// workerConnections returns how many worker connections may stay open between two heartbeats.
func (l Limits) workerConnections() int {
	shareOfAccepted := math.Round(float64(l.connections()) * workerSocketShare / acceptedSocketShare)
	return min(socketShare(l.Sockets, workerSocketShare), max(1, int(shareOfAccepted)))
}

// bodyMemory returns how many bytes the request bodies larger than maxSmallBodyBytes may occupy together. The result is
// always enough for one body of any allowed size.
func (l Limits) bodyMemory() int64 {
	return max(unknownLengthBodyBytes, int64(l.MemoryMB*bytesPerMB*bodyMemoryShare))
}
